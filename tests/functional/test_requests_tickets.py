"""Tickets through real daemons: at most once, whole answers for repeats, honest answers where nothing is kept."""

import signal
import threading
import unittest

from support import ServiceTestCase, call, wait_until


class Tickets(ServiceTestCase):
    engine_count = 1
    vm_count = 2

    def ticket(self, vm=0):
        return call(self.callers[vm], "POST", "/v1/tickets").json()["ticket"]

    def book(self, key, body="chapel two", vm=0, headers=None):
        return call(self.callers[vm], "POST", "/v1/services/app/bookings", body,
                    {"Idempotency-Key": key, **(headers or {})})

    def runs_of(self, key):
        return sum(runs for name, _, runs in self.runs() if name == key)

    def test_blocks_of_tickets(self):
        answer = call(self.callers[0], "POST", "/v1/tickets?n=100")
        self.assertEqual(len(set(answer.json()["tickets"])), 100)
        for wrong in ("0", "1001", "x", "-1"):
            self.assertEqual(call(self.callers[0], "POST", f"/v1/tickets?n={wrong}").status, 400)

    def test_same_key_with_another_body_is_refused_and_not_run(self):
        key = self.ticket()
        self.assertEqual(self.book(key, "a").outcome, "ran")
        other = self.book(key, "b")
        self.assertEqual((other.status, other.outcome, other.json()["error"]["kind"]), (422, "not-run", "key-reused"))
        self.assertEqual(self.runs_of(key), 1)

    def test_a_crowd_of_repeats_gets_one_answer(self):
        key = self.ticket()
        answers = []
        crowd = [threading.Thread(target=lambda: answers.append(self.book(key))) for _ in range(16)]
        for member in crowd:
            member.start()
        for member in crowd:
            member.join()
        self.assertEqual({(answer.status, answer.outcome) for answer in answers}, {(200, "ran")})
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.runs_of(key), 1)

    def test_repeat_while_the_first_runs_waits_for_its_answer(self):
        key = self.ticket()
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGSTOP)
        answers = []
        first = threading.Thread(target=lambda: answers.append(self.book(key)))
        first.start()
        wait_until(lambda: call(self.operators[0], "GET", "/debug/state").json()["tickets"]["kept"] == 1,
                   what="first request under way")
        early = self.book(key, headers={"Topaztack-Deadline-Ms": "100"})
        self.assertEqual((early.outcome, early.json()["error"]["kind"]), ("unknown", "still-running"))
        self.assertEqual(early.headers["topaztack-settling"], "ask-again")
        second = threading.Thread(target=lambda: answers.append(self.book(key)))
        second.start()
        wait_until(lambda: call(self.operators[0], "GET", "/debug/state").json()["tickets"]["waited_for"] == 1,
                   what="repeat waits")
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGCONT)
        first.join()
        second.join()
        self.assertEqual({(answer.outcome, answer.body) for answer in answers}, {("ran", answers[0].body)})
        self.assertEqual(self.runs_of(key), 1)

    def test_ticket_of_an_incarnation_that_has_ended_is_never_run(self):
        key = self.ticket()
        self.cluster.kill("vm-0")
        self.start_vm(0)
        wait_until(lambda: call(self.operators[0], "GET", "/readyz").status == 200, what="VM back")
        answer = self.book(key)
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "incarnation-gone"))
        self.assertEqual(answer.headers["topaztack-settling"], "never")
        self.assertEqual(self.runs_of(key), 0)

    def test_home_that_is_dead_leaves_the_outcome_unknown(self):
        key = self.ticket()
        self.cluster.kill("vm-0")
        answer = self.book(key, vm=1)
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "home-unreachable"))
        self.assertEqual(answer.headers["topaztack-settling"], "ask-again")
        self.assertEqual(self.runs_of(key), 0)

    def test_backend_server_that_refuses_connections_is_passed_over(self):
        self.cluster.kill("service-0")
        for _ in range(10):
            answer = call(self.callers[0], "POST", "/v1/services/app/bookings", "a")
            self.assertEqual((answer.status, answer.outcome), (200, "ran"))

    def test_no_backend_server_left_is_not_run_with_a_time_to_come_back(self):
        for index in range(self.service_count):
            self.cluster.kill(f"service-{index}")
        key = self.ticket()
        answer = self.book(key)
        self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)

    def test_service_that_dies_with_the_request_leaves_it_unknown(self):
        key = self.ticket()
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGSTOP)
        answers = []
        first = threading.Thread(target=lambda: answers.append(self.book(key)))
        first.start()
        wait_until(lambda: call(self.operators[0], "GET", "/debug/state").json()["tickets"]["kept"] == 1,
                   what="request under way")
        threading.Event().wait(0.2)
        for index in range(self.service_count):
            self.cluster.kill(f"service-{index}")
        first.join()
        self.assertEqual(answers[0].outcome, "unknown")
        self.assertEqual(self.book(key).body, answers[0].body)


if __name__ == "__main__":
    unittest.main()
