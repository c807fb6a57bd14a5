"""Requests that reach another VM than their ticket's home, through real daemons."""

import unittest

from support import ServiceTestCase, call, wait_until


class Homes(ServiceTestCase):
    engine_count = 1
    vm_count = 3

    def setUp(self):
        super().setUp()
        self.ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]

    def book(self, key, body="chapel two", vm=0, headers=None):
        return call(self.callers[vm], "POST", "/v1/services/app/bookings", body,
                    {"Idempotency-Key": key, **(headers or {})})

    def runs_of(self, key):
        return sum(runs for name, _, runs in self.runs() if name == key)

    def restart_home(self):
        self.cluster.kill("vm-0")
        self.start_vm(0)
        wait_until(lambda: call(self.operators[0], "GET", "/readyz").status == 200, what="VM back")

    def test_a_ticket_is_settled_by_its_home_wherever_it_is_sent(self):
        answers = [self.book(self.ticket, vm=vm) for vm in (1, 2, 0, 1)]
        self.assertEqual({(answer.status, answer.outcome, answer.body) for answer in answers},
                         {(200, "ran", answers[0].body)})
        self.assertEqual(self.runs_of(self.ticket), 1)

    def test_another_body_is_refused_from_any_vm(self):
        self.assertEqual(self.book(self.ticket, "a", vm=1).outcome, "ran")
        other = self.book(self.ticket, "b", vm=2)
        self.assertEqual((other.status, other.outcome), (422, "not-run"))
        self.assertEqual(self.runs_of(self.ticket), 1)

    def test_a_home_that_was_replaced_is_never_asked_to_run(self):
        self.restart_home()
        answer = self.book(self.ticket, vm=1)
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "incarnation-gone"))
        self.assertEqual(answer.headers["topaztack-settling"], "never")
        self.assertEqual(self.runs_of(self.ticket), 0)

    def test_a_request_that_ran_before_its_home_died_stays_unknown(self):
        self.assertEqual(self.book(self.ticket, vm=1).outcome, "ran")
        self.restart_home()
        self.assertEqual(self.book(self.ticket, vm=2).outcome, "unknown")
        self.assertEqual(self.runs_of(self.ticket), 1)

    def test_a_callers_own_ticket_header_is_ignored(self):
        answer = self.book("own-1", vm=1, headers={"Topaztack-Ticket": self.ticket})
        self.assertEqual(answer.outcome, "ran")
        self.assertEqual(self.book(self.ticket, "other", vm=0).outcome, "ran")

    def test_an_own_key_repeated_at_another_vm_gets_the_first_answer(self):
        first = self.book("own-2", vm=0)
        second = self.book("own-2", vm=1)
        self.assertEqual((first.outcome, second.outcome, second.body), ("ran", "ran", first.body))
        self.assertEqual(self.runs_of("own-2"), 1)

    def test_an_own_key_repeated_elsewhere_while_the_table_is_out_gets_the_first_answer(self):
        first = self.book("own-3", vm=0)
        self.assertEqual(call(self.platform, "POST", "/standin/faults", {"outage": "refuse"}).status, 200)
        second = self.book("own-3", vm=1)
        self.assertEqual((second.outcome, second.body), ("ran", first.body))
        fresh = self.book("own-4", vm=2)
        self.assertEqual(fresh.outcome, "not-run")
        self.assertIn("ticket", fresh.json()["error"]["remedy"])
        self.assertEqual((self.runs_of("own-3"), self.runs_of("own-4")), (1, 0))

    def test_an_own_key_claimed_by_a_vm_that_was_replaced_is_never_run(self):
        self.assertEqual(self.book("own-5", vm=0).outcome, "ran")
        self.restart_home()
        answer = self.book("own-5", vm=1)
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "incarnation-gone"))
        self.assertEqual(self.runs_of("own-5"), 1)


if __name__ == "__main__":
    unittest.main()
