"""Limits, shedding, leaving and drain through real daemons."""

import signal
import threading
import unittest

from support import ServiceTestCase, call, wait_until


class LimitCase(ServiceTestCase):
    engine_count = 1

    def book(self, body="chapel two", vm=0, headers=None):
        return call(self.callers[vm], "POST", "/v1/services/app/bookings", body, headers)

    def fault(self, index, **faults):
        self.assertEqual(call(self.services[index], "POST", "/standin/faults", faults).status, 200)

    def crowd(self, count, **arguments):
        answers = []
        threads = [threading.Thread(target=lambda number=number: answers.append(self.book(f"{number}", **arguments)))
                   for number in range(count)]
        for thread in threads:
            thread.start()
        return threads, answers

    def total_runs(self):
        return sum(call(port, "GET", "/standin/runs").json()["total"] for port in self.services)

    def state(self, vm=0):
        return call(self.operators[vm], "GET", "/debug/state").json()

    def pool(self, vm=0):
        """The pool's state; it stands in the dump once it has been asked for."""
        return self.state(vm)["pools"].get("app", {"waiting": 0, "servers": {}})

    def in_flight(self):
        return sum(server["in_flight"] for server in self.pool()["servers"].values())


class Overload(LimitCase):
    vm_count = 1
    pool_lines = "in_flight_per_backend = 2\nqueue = 4\n"

    def test_what_is_shed_was_not_run_and_is_told_when_to_come_back(self):
        for index in range(self.service_count):
            self.fault(index, delay_ms=300)
        threads, answers = self.crowd(40)
        for thread in threads:
            thread.join()
        ran = [answer for answer in answers if answer.outcome == "ran"]
        shed = [answer for answer in answers if answer.outcome == "not-run"]
        self.assertEqual(len(ran) + len(shed), 40)
        self.assertGreaterEqual(len(ran), 8)
        self.assertGreater(len(shed), 0)
        self.assertEqual({answer.status for answer in shed} - {429, 503}, set())
        self.assertTrue(all(int(answer.headers["retry-after"]) >= 1 for answer in shed))
        self.assertEqual(self.total_runs(), len(ran))

    def test_no_backend_server_has_more_than_its_slots(self):
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGSTOP)
        threads, answers = self.crowd(8)
        wait_until(lambda: self.pool()["waiting"] == 4, what="queue full")
        in_flight = [server["in_flight"] for server in self.state()["pools"]["app"]["servers"].values()]
        self.assertEqual(in_flight, [2, 2])
        refused = self.book("one too many")
        self.assertEqual((refused.outcome, refused.json()["error"]["kind"]), ("not-run", "queue-full"))
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGCONT)
        for thread in threads:
            thread.join()
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})

    def test_a_request_without_time_left_is_given_up_as_not_run(self):
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGSTOP)
        threads, _ = self.crowd(4)
        wait_until(lambda: self.in_flight() == 4, what="slots taken")
        late = self.book("late", headers={"Topaztack-Deadline-Ms": "200"})
        self.assertEqual((late.outcome, late.json()["error"]["kind"]), ("not-run", "deadline-too-short"))
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGCONT)
        for thread in threads:
            thread.join()


class CallerLimit(LimitCase):
    vm_count = 1
    limits_lines = "drain_time = 10s\ncaller_in_flight = 2\n"

    def test_one_caller_cannot_crowd_out_another(self):
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGSTOP)
        threads, answers = self.crowd(2, headers={"Topaztack-Caller": "greedy"})
        wait_until(lambda: self.in_flight() == 2, what="two in flight")
        refused = self.book("third", headers={"Topaztack-Caller": "greedy"})
        self.assertEqual((refused.status, refused.outcome), (429, "not-run"))
        self.assertGreaterEqual(int(refused.headers["retry-after"]), 1)
        others, more = self.crowd(1, headers={"Topaztack-Caller": "modest"})
        wait_until(lambda: self.in_flight() == 3, what="another caller served")
        for index in range(self.service_count):
            self.cluster.signal(f"service-{index}", signal.SIGCONT)
        for thread in threads + others:
            thread.join()
        self.assertEqual({answer.outcome for answer in answers + more}, {"ran"})


class Leaving(LimitCase):
    vm_count = 1

    def test_a_leaving_backend_server_gets_no_new_work(self):
        self.fault(0, leaving=True)
        wait_until(lambda: self.book().status == 200
                   and self.state()["pools"]["app"]["servers"]["app-0"]["leaving"], what="sign of leaving seen")
        before = call(self.services[0], "GET", "/standin/runs").json()["total"]
        for _ in range(20):
            self.assertEqual(self.book().outcome, "ran")
        self.assertEqual(call(self.services[0], "GET", "/standin/runs").json()["total"], before)

    def test_a_draining_backend_server_gets_no_new_work(self):
        self.accept(self.document().replace("[backend app-0]", "[backend app-0]\ndraining = yes"), base=1)
        before = call(self.services[0], "GET", "/standin/runs").json()["total"]
        for _ in range(20):
            self.assertEqual(self.book().outcome, "ran")
        self.assertEqual(call(self.services[0], "GET", "/standin/runs").json()["total"], before)


class Drain(LimitCase):
    vm_count = 2

    def test_a_graceful_shutdown_ends_what_another_vm_sent_on(self):
        for index in range(self.service_count):
            self.fault(index, delay_ms=1000)
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        threads, answers = self.crowd(1, vm=1, headers={"Idempotency-Key": ticket})
        wait_until(lambda: self.state(0)["tickets"]["kept"] == 1, what="request at its home")
        self.assertEqual(self.cluster.stop("vm-0"), 0)
        threads[0].join()
        self.assertEqual((answers[0].outcome, self.total_runs()), ("ran", 1))

    def test_a_graceful_shutdown_cuts_off_nothing(self):
        for index in range(self.service_count):
            self.fault(index, delay_ms=1000)
        threads, answers = self.crowd(10)
        wait_until(lambda: self.state()["in_flight"] >= 10, what="requests in flight")
        self.assertEqual(self.cluster.stop("vm-0"), 0)
        for thread in threads:
            thread.join()
        self.assertEqual([answer.outcome for answer in answers], ["ran"] * 10)
        self.assertEqual(self.total_runs(), 10)


if __name__ == "__main__":
    unittest.main()
