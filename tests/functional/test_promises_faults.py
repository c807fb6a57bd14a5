"""Promises under faults that no other file provokes: frozen VMs, platform outages, late answers, racing operators."""

import concurrent.futures
import signal
import unittest

from support import ServiceTestCase, call, wait_until

KEY = "Idempotency-Key"


def config_version(port):
    return call(port, "GET", "/v1/config").headers.get("etag")


class FrozenHome(ServiceTestCase):
    def test_a_frozen_home_leaves_the_outcome_unknown_and_settles_it_when_it_wakes(self):
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        first = call(self.callers[0], "POST", "/v1/services/app/bookings", "wake", {KEY: ticket})
        self.assertEqual(first.outcome, "ran")
        self.cluster.signal("vm-0", signal.SIGSTOP)
        while_frozen = call(self.callers[1], "POST", "/v1/services/app/bookings", "wake", {KEY: ticket})
        self.assertEqual(while_frozen.outcome, "unknown")
        self.cluster.signal("vm-0", signal.SIGCONT)

        def repeat():
            return call(self.callers[1], "POST", "/v1/services/app/bookings", "wake", {KEY: ticket})

        wait_until(lambda: repeat().outcome == "ran", what="outcome settled by the woken home")
        self.assertEqual(repeat().body, first.body)
        self.assertEqual([runs for key, _, runs in self.runs() if key == ticket], [1])

    def test_an_unused_ticket_of_a_frozen_home_is_not_run_elsewhere(self):
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        self.cluster.signal("vm-0", signal.SIGSTOP)
        answer = call(self.callers[2], "POST", "/v1/services/app/bookings", "wake", {KEY: ticket})
        self.cluster.signal("vm-0", signal.SIGCONT)
        self.assertEqual(answer.outcome, "unknown")
        wait_until(lambda: call(self.operators[0], "GET", "/healthz").status == 200, what="VM 0 awake")
        self.assertLessEqual(sum(runs for key, _, runs in self.runs() if key == ticket), 1)


class PlatformOutage(ServiceTestCase):
    def set_outage(self, kind):
        self.assertEqual(call(self.platform, "POST", "/standin/faults", {"outage": kind}).status, 200)

    def test_tickets_and_completions_go_on_and_keys_recover_by_themselves(self):
        self.set_outage("drop")
        for port in self.callers:
            ticket = call(port, "POST", "/v1/tickets").json()["ticket"]
            booked = call(port, "POST", "/v1/services/app/bookings", "wake", {KEY: ticket})
            self.assertEqual((booked.status, booked.outcome), (200, "ran"))
            body = {"model": "lm", "prompt": "p", "max_tokens": 3}
            self.assertEqual(call(port, "POST", "/v1/completions", body).outcome, "ran")
        refused = call(self.callers[0], "POST", "/v1/services/app/bookings", "wake", {KEY: "own-1"})
        self.assertNotEqual(refused.outcome, "ran")
        self.assertEqual([runs for key, _, runs in self.runs() if key == "own-1"], [])
        self.set_outage("none")

        def book():
            return call(self.callers[1], "POST", "/v1/services/app/bookings", "wake", {KEY: "own-1"}).outcome

        wait_until(lambda: book() == "ran", what="claims after the outage")
        self.assertEqual([runs for key, _, runs in self.runs() if key == "own-1"], [1])


class LateAnswers(ServiceTestCase):
    def test_each_caller_gets_the_answer_to_its_own_request(self):
        for index, port in enumerate(self.services):
            call(port, "POST", "/standin/faults", {"delay_ms": 5 + 20 * index})

        def book(number):
            target = f"/slots/{number}"
            answer = call(self.callers[number % 3], "GET", f"/v1/services/app{target}")
            return answer.outcome == "ran" and answer.json()["target"] == target

        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            right = list(pool.map(book, range(240)))
        self.assertEqual(right.count(True), 240)


class RacingOperators(ServiceTestCase):
    def post_document(self, vm, base, drain_time):
        document = self.document().replace("drain_time = 10s", f"drain_time = {drain_time}s")
        return call(self.operators[vm], "POST", "/v1/config", document, {"If-Match": str(base)})

    def in_force(self):
        return [config_version(port) for port in self.operators]

    def test_one_of_two_wins_each_version_and_all_vms_follow(self):
        for base in range(1, 6):
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                posted = [pool.submit(self.post_document, vm, base, 10 + base + vm) for vm in (0, 1)]
                statuses = sorted(answer.result().status for answer in posted)
            self.assertEqual(statuses, [200, 409])
            wait_until(lambda: self.in_force() == [f'"{base + 1}"'] * 3, what=f"version {base + 1} everywhere")

    def test_a_lost_answer_is_never_confirmed_wrongly(self):
        for base in range(1, 4):
            call(self.platform, "POST", "/standin/faults", {"lose_next_answers": 1})
            answer = self.post_document(0, base, 10 + base)
            call(self.platform, "POST", "/standin/faults", {"lose_next_answers": 0})
            if answer.status != 200:
                self.assertEqual(answer.json()["error"]["kind"], "platform-ambiguous")
                again = self.post_document(1, base, 10 + base)
                self.assertIn(again.status, (200, 409))
            wait_until(lambda: self.in_force() == [f'"{base + 1}"'] * 3, what=f"version {base + 1} everywhere")

    def test_a_frozen_and_a_replaced_vm_come_to_the_newest_and_never_go_back(self):
        self.cluster.signal("vm-2", signal.SIGSTOP)
        self.assertEqual(self.post_document(0, 1, 12).status, 200)
        wait_until(lambda: config_version(self.operators[1]) == '"2"', what="version 2 at VM 1")
        self.assertEqual(self.post_document(1, 2, 13).status, 200)
        self.cluster.signal("vm-2", signal.SIGCONT)
        seen = []

        def caught_up():
            seen.append(int((config_version(self.operators[2]) or '"0"').strip('"')))
            return seen[-1] == 3

        wait_until(caught_up, what="version 3 at the woken VM")
        self.assertEqual(seen, sorted(seen))
        self.cluster.kill("vm-1")
        self.start_vm(1)
        wait_until(lambda: config_version(self.operators[1]) == '"3"', what="version 3 at the replaced VM")


if __name__ == "__main__":
    unittest.main()
