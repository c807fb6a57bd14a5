"""Callers' own keys through real daemons: claimed in the table service before dispatch, many in one commit."""

import threading
import unittest

from support import ServiceTestCase, call, wait_until


class OwnKeyCase(ServiceTestCase):
    engine_count = 1

    def book(self, key, body="chapel two", vm=0, headers=None):
        return call(self.callers[vm], "POST", "/v1/services/app/bookings", body,
                    {"Idempotency-Key": key, **(headers or {})})

    def runs_of(self, key):
        return sum(runs for name, _, runs in self.runs() if name == key)

    def fault(self, port, **faults):
        self.assertEqual(call(port, "POST", "/standin/faults", faults).status, 200)

    def metric(self, name, vm=0):
        text = call(self.operators[vm], "GET", "/metrics").body.decode()
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name))


class OneVm(OwnKeyCase):
    vm_count = 1

    def test_a_key_runs_once_and_repeats_its_answer(self):
        first = self.book("own-1")
        second = self.book("own-1")
        self.assertEqual((first.outcome, second.outcome, first.body), ("ran", "ran", second.body))
        self.assertEqual(self.book("own-1", "another body").json()["error"]["kind"], "key-reused")
        self.assertEqual(self.runs_of("own-1"), 1)

    def test_many_keys_share_commits(self):
        answers = []
        crowd = [threading.Thread(target=lambda key=key: answers.append(self.book(f"own-{key}"))) for key in range(60)]
        for member in crowd:
            member.start()
        for member in crowd:
            member.join()
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})
        self.assertEqual({runs for _, _, runs in self.runs()}, {1})
        self.assertLess(self.metric("topaztack_claim_commits_total"), 30)

    def test_a_lost_answer_of_the_table_is_read_back(self):
        self.fault(self.platform, lose_next_answers=1)
        self.assertEqual(self.book("own-lost").outcome, "ran")
        self.assertEqual(self.runs_of("own-lost"), 1)

    def test_store_out_is_not_run_and_names_tickets(self):
        self.fault(self.platform, outage="refuse")
        answer = self.book("own-out")
        self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
        self.assertIn("ticket", answer.json()["error"]["remedy"])
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        self.assertEqual(self.book(ticket).outcome, "ran")
        self.fault(self.platform, outage="none")
        wait_until(lambda: self.book("own-out").outcome == "ran", what="claims after the outage")
        self.assertEqual(self.runs_of("own-out"), 1)

    def test_a_repeat_while_the_store_is_out_gets_the_first_answer(self):
        first = self.book("own-kept")
        self.fault(self.platform, outage="refuse")
        self.assertEqual(self.book("own-kept").body, first.body)

    def test_a_claim_of_an_ended_incarnation_is_never_run(self):
        self.assertEqual(self.book("own-gone").outcome, "ran")
        self.cluster.kill("vm-0")
        self.start_vm(0)
        wait_until(lambda: call(self.operators[0], "GET", "/readyz").status == 200, what="VM back")
        answer = self.book("own-gone")
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "incarnation-gone"))
        self.assertEqual(self.runs_of("own-gone"), 1)


class TwoVms(OwnKeyCase):
    vm_count = 2

    def test_a_vm_that_was_replaced_hides_its_claims_and_nobody_vouches_for_them(self):
        self.assertEqual(self.book("own-3", vm=0).outcome, "ran")
        self.cluster.kill("vm-0")
        self.start_vm(0)
        wait_until(lambda: call(self.operators[0], "GET", "/readyz").status == 200, what="VM back")
        self.fault(self.platform, outage="refuse")
        for vm in (0, 1):
            self.assertEqual(self.book("own-3", vm=vm).outcome, "unknown")
        self.assertEqual(self.runs_of("own-3"), 1)

    def test_store_out_and_a_vm_lost_is_not_called_not_run(self):
        self.assertEqual(self.book("own-2", vm=0).outcome, "ran")
        self.fault(self.platform, outage="refuse")
        self.cluster.kill("vm-0")
        answer = self.book("own-2", vm=1)
        self.assertEqual((answer.outcome, answer.headers["topaztack-settling"]), ("unknown", "ask-again"))
        self.assertEqual(self.runs_of("own-2"), 1)


if __name__ == "__main__":
    unittest.main()
