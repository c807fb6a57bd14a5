"""Samples while the platform loses answers, is out, or engines break: none lost, none twice."""

import unittest

from support import call, wait_until
from test_samples_delivery import SamplesTestCase


class PlatformFaults(SamplesTestCase):
    def fault(self, port, **faults):
        self.assertEqual(call(port, "POST", "/standin/faults", faults).status, 200)

    def counted(self, name):
        total = 0
        for port in self.operators:
            for line in call(port, "GET", "/metrics").body.decode().splitlines():
                if line.startswith(name + " "):
                    total += float(line.split()[-1])
        return total

    def take_patiently(self, count):
        """As take_all, for a trainer whose calls may fail: it asks again with the same `after`."""
        taken = {}
        after = 0

        def take():
            nonlocal after
            answer = call(self.callers[len(taken) % 3], "GET", f"/v1/trainers/t1/samples?after={after}&wait_ms=100")
            for sample in answer.json().get("samples", []):
                slot = (sample["step"], sample["group"], sample["index"])
                self.assertNotIn(slot, taken)
                taken[slot] = sample
                after = sample["seq"]
            return len(taken) >= count

        wait_until(take, timeout=45, what=f"{count} samples")
        return taken

    def post_until_accepted(self, step, groups):
        wait_until(lambda: self.post(step, groups).status == 202, timeout=30, what="groups accepted")

    def test_commits_whose_answer_is_lost(self):
        self.fault(self.platform, lose_answer_probability=0.25, seed=5)
        for step in range(1, 4):
            self.post_until_accepted(step, ["a", "b"])
        self.assertEqual(len(self.take_patiently(24)), 24)
        self.assertGreater(self.counted("topaztack_row_ambiguous_total"), 0)

    def test_platform_out_while_samples_are_made(self):
        self.post_until_accepted(1, ["a", "b"])
        self.fault(self.platform, outage="refuse")
        refused = self.post(2, ["c"])
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
        self.fault(self.platform, outage="none")
        self.post_until_accepted(2, ["c"])
        self.assertEqual(len(self.take_patiently(12)), 12)

    def test_engines_that_break_their_streams(self):
        for port in self.engines:
            self.fault(port, break_probability=0.3, break_after_tokens=3, seed=9)
        self.post(1, ["a", "b"])
        for sample in self.take_all(8).values():
            covered = [(span["from"], span["to"]) for span in sample["weight_versions"]]
            self.assertEqual((covered[0][0], covered[-1][1]), (0, len(sample["token_ids"])))
            self.assertEqual(len(sample["token_ids"]), 8)


if __name__ == "__main__":
    unittest.main()
