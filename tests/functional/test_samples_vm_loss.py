"""Samples whose collecting VM dies or stops: generated again elsewhere, none lost, none twice."""

import unittest

from support import call, wait_until
from test_samples_delivery import SamplesTestCase


class VmLoss(SamplesTestCase):
    engine_options = ("--token-time-us", "20000")
    trainer_lines = "staleness_bound = 2\nmax_tokens = 40\n"

    def collector(self):
        """A VM that generates for the trainer."""
        for index, port in enumerate(self.operators):
            if f"vm-{index}" in self.cluster.processes:
                state = call(port, "GET", "/debug/state").json()["trainers"].get("t1", {})
                if state.get("running", 0) > 0:
                    return index
        return None

    def test_vm_killed_while_it_generates(self):
        self.post(1, ["a", "b"])
        wait_until(lambda: self.collector() is not None, what="a VM generates")
        dead = self.collector()
        self.cluster.kill(f"vm-{dead}")
        self.take_all(8, vms=[vm for vm in range(3) if vm != dead])

    def test_vm_stopped_while_it_generates(self):
        self.post(1, ["a", "b"])
        wait_until(lambda: self.collector() is not None, what="a VM generates")
        stopped = self.collector()
        self.assertEqual(self.cluster.stop(f"vm-{stopped}"), 0)
        self.take_all(8, vms=[vm for vm in range(3) if vm != stopped])

    def test_vm_killed_between_commit_and_delivery(self):
        self.post(1, ["a"])
        wait_until(lambda: self.step(1).json()["filled"] > 0, what="a commit")
        dead = self.collector()
        dead = 0 if dead is None else dead
        self.cluster.kill(f"vm-{dead}")
        self.take_all(4, vms=[vm for vm in range(3) if vm != dead])


if __name__ == "__main__":
    unittest.main()
