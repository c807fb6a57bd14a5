"""Samples through real daemons: recorded, generated, committed, delivered once."""

import unittest

from support import ServiceTestCase, call, wait_until


class SamplesTestCase(ServiceTestCase):
    def post(self, step, groups, samples=4, vm=0):
        body = {"step": step, "groups": [{"id": name, "prompt": f"prompt {name}", "samples": samples}
                                         for name in groups]}
        return call(self.callers[vm], "POST", "/v1/trainers/t1/groups", body)

    def fetch(self, after, vm=0, most=1000, wait_ms=0):
        path = f"/v1/trainers/t1/samples?after={after}&max={most}&wait_ms={wait_ms}"
        answer = call(self.callers[vm], "GET", path)
        self.assertEqual(answer.status, 200, answer.body)
        return answer.json()["samples"]

    def step(self, number, vm=0):
        return call(self.callers[vm], "GET", f"/v1/trainers/t1/steps/{number}")

    def take_all(self, count, vms=(0,)):
        """Fetches by cursor, at the VMs in turn, until as many samples arrived; checks that no slot comes twice."""
        taken = {}
        after = 0

        def take():
            nonlocal after
            vm = vms[len(taken) % len(vms)]
            for sample in self.fetch(after, vm, wait_ms=200):
                slot = (sample["step"], sample["group"], sample["index"])
                self.assertNotIn(slot, taken)
                taken[slot] = sample
                after = sample["seq"]
            return len(taken) >= count

        wait_until(take, timeout=30, what=f"{count} samples")
        self.assertEqual(self.fetch(after, vms[0]), [])
        return taken


class Delivery(SamplesTestCase):
    def test_step_is_whole_and_any_vm_delivers_it(self):
        self.assertEqual(self.post(1, ["a", "b"]).status, 202)
        taken = self.take_all(8, vms=(2, 1, 0))
        self.assertEqual(sorted(taken), [(1, group, index) for group in "ab" for index in range(4)])
        state = self.step(1, vm=1).json()
        self.assertEqual((state["whole"], state["missing"], state["filled"]), (True, [], 8))

    def test_same_after_gives_the_same_samples(self):
        self.post(1, ["a"])
        wait_until(lambda: len(self.fetch(0)) == 4, what="four samples")
        first = self.fetch(0, vm=0, most=2)
        self.assertEqual(first, self.fetch(0, vm=1, most=2))
        rest = self.fetch(first[-1]["seq"], vm=2)
        self.assertEqual(self.fetch(0, vm=1), first + rest)

    def test_repeated_post_adds_nothing_and_another_prompt_is_refused(self):
        for vm in range(3):
            self.assertEqual(self.post(1, ["a"], vm=vm).json()["slots"], 4)
        self.take_all(4)
        refused = self.post(1, ["a"], samples=5)
        self.assertEqual((refused.status, refused.json()["error"]["kind"]), (422, "key-reused"))

    def test_missing_slots_are_named_while_no_engine_serves(self):
        for index in range(self.engine_count):
            self.cluster.kill(f"engine-{index}")
        self.post(3, ["a"], samples=2)
        wait_until(lambda: [slot["reason"] for slot in self.step(3).json()["missing"]] == ["generation-failed"] * 2,
                   what="both slots named with their reason")
        self.assertFalse(self.step(3).json()["whole"])

    def test_cursor_never_handed_out_is_refused(self):
        answer = call(self.callers[0], "GET", "/v1/trainers/t1/samples?after=7")
        self.assertEqual((answer.status, answer.json()["error"]["kind"]), (400, "bad-request"))
        self.assertEqual(self.step(9).status, 400)


if __name__ == "__main__":
    unittest.main()
