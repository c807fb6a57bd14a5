"""Configuration through real daemons: races, lost answers, outages, replaced VMs, history."""

import threading
import unittest

from support import ServiceTestCase, call, wait_until


class Configuration(ServiceTestCase):
    engine_count = 1
    service_count = 1

    def post(self, vm, text, base, operation=""):
        headers = {"If-Match": str(base)}
        if operation:
            headers["Topaztack-Operation"] = operation
        return call(self.operators[vm], "POST", "/v1/config", text, headers)

    def in_force(self, vm):
        return call(self.operators[vm], "GET", "/v1/config").headers["etag"]

    def faults(self, **switches):
        self.assertEqual(call(self.platform, "POST", "/standin/faults", switches).status, 200)

    def variant(self, budget):
        return self.document().replace("[limits]\n", f"[limits]\nretry_budget = {budget}\n")

    def test_of_racing_operators_one_wins_and_the_others_learn_which_keys_changed(self):
        answers = [None] * 3

        def accept(vm):
            answers[vm] = self.post(vm, self.variant(20 + vm), 1)

        threads = [threading.Thread(target=accept, args=(vm,)) for vm in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(answer.status for answer in answers), [200, 409, 409])
        for answer in answers:
            if answer.status == 409:
                self.assertEqual(answer.json()["newest"], 2)
                self.assertEqual([change["key"] for change in answer.json()["changed"]], ["retry_budget"])

    def test_a_lost_answer_is_read_back_and_confirmed_once(self):
        self.faults(lose_next_answers=1)
        answer = self.post(0, self.variant(31), 1, "op-lost")
        self.assertEqual((answer.status, answer.json()["accepted"]), (200, 2))
        self.assertEqual([entry["version"] for entry in call(
            self.operators[1], "GET", "/v1/config/history").json()["versions"]], [2, 1])

    def test_a_repeat_of_an_operation_gets_the_version_that_it_made(self):
        self.assertEqual(self.post(0, self.variant(32), 1, "op-a").json()["accepted"], 2)
        self.assertEqual(self.post(1, self.variant(33), 2, "op-b").json()["accepted"], 3)
        self.assertEqual(self.post(2, self.variant(32), 1, "op-a").json()["accepted"], 2)

    def test_what_can_not_be_found_out_is_unknown_and_found_out_later(self):
        self.faults(lose_answer_probability=1.0)
        stopper = threading.Timer(1.0, lambda: self.faults(outage="drop"))
        stopper.start()
        answer = self.post(0, self.variant(34), 1, "op-u")
        stopper.join()
        self.faults(outage="none", lose_answer_probability=0.0)
        found = call(self.operators[1], "GET", "/v1/config/operations/op-u?base=1").json()["state"]
        if answer.status == 200:
            self.assertEqual(found, "accepted")
        else:
            self.assertEqual(answer.json()["state"], "unknown")
            self.assertIn(found, ("accepted", "unknown"))

    def test_with_the_platform_out_nothing_is_accepted_and_nothing_reverts(self):
        self.faults(outage="refuse")
        answer = self.post(0, self.variant(35), 1)
        self.assertGreaterEqual(answer.status, 500)
        self.assertNotIn("state", answer.json())
        self.assertEqual([self.in_force(vm) for vm in range(3)], ['"1"'] * 3)
        status = call(self.operators[0], "GET", "/v1/config/status").json()
        self.assertEqual((status["accepted"], status["accepted_from"]), (1, "newest-known"))

    def test_a_way_back_is_a_new_version(self):
        first = call(self.operators[0], "GET", "/v1/config/versions/1").body.decode()
        self.post(0, self.variant(36), 1)
        self.assertEqual(self.post(0, first, 2).json()["accepted"], 3)
        wait_until(lambda: all(self.in_force(vm) == '"3"' for vm in range(3)), what="version 3 in force")
        self.assertEqual(call(self.operators[1], "GET", "/v1/config").body.decode(), first)


if __name__ == "__main__":
    unittest.main()
