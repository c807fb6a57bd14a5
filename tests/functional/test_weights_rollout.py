"""Weight rollouts through real daemons: all engines, failed and lying swaps, true labels across a swap."""

import unittest

from support import ServiceTestCase, call, wait_until


class WeightsTestCase(ServiceTestCase):
    engine_count = 3
    engine_options = ("--token-time-us", "2000", "--swap-time-ms", "100")

    def post_version(self, version, vm=0):
        return call(self.callers[vm], "POST", "/v1/trainers/t1/versions", {"version": version})

    def engine_versions(self):
        return [call(port, "GET", "/engine/load").json()["version"] for port in self.engines]

    def fault(self, engine, **faults):
        self.assertEqual(call(self.engines[engine], "POST", "/standin/faults", faults).status, 200)

    def rollout(self):
        """The rollout as the VM that holds the lease sees it."""
        for port in self.operators:
            state = call(port, "GET", "/debug/state").json()["weights"].get("lm")
            if state and state["wanted"]:
                return state
        return None

    def wait_for(self, version):
        wait_until(lambda: self.engine_versions() == [version] * self.engine_count, timeout=40,
                   what=f"version {version} on all engines")


class Rollout(WeightsTestCase):
    def test_version_posted_at_any_vm_reaches_all_engines(self):
        self.assertEqual(self.post_version(2, vm=2).status, 202)
        self.wait_for(2)
        self.assertEqual(self.post_version(2, vm=1).status, 202)
        self.assertEqual(self.post_version(1).status, 400)
        wait_until(lambda: self.rollout()["rolled_out"], what="the rollout known to be complete")
        known = {engine["version"] for engine in self.rollout()["engines"].values()}
        self.assertEqual(known, {2})

    def test_swap_that_fails_half_way_is_ordered_again(self):
        self.fault(0, swap="fail-half", swap_next=2)
        self.post_version(2)
        self.wait_for(2)

    def test_engine_that_only_says_it_swapped_is_found_out(self):
        self.fault(1, swap="lie", swap_next=1)
        self.post_version(2)
        self.wait_for(2)
        wait_until(lambda: self.rollout()["engines"]["lm-1"]["reasserted"] >= 1, what="the order given again")

    def test_order_of_a_former_holder_is_refused_by_engines_that_check(self):
        self.post_version(2)
        self.wait_for(2)
        late = {"order": "load-weights", "version": 1, "fencing": 0, "mode": "in-place", "operation": "late"}
        self.assertEqual(call(self.engines[0], "POST", "/engine/orders", late).status, 409)
        self.assertEqual(self.engine_versions(), [2] * 3)

    def test_orderer_killed_its_successor_rolls_out(self):
        self.post_version(2)
        self.wait_for(2)
        holder = next(index for index, port in enumerate(self.operators)
                      if call(port, "GET", "/debug/state").json()["weights"].get("lm", {}).get("wanted"))
        self.cluster.kill(f"vm-{holder}")
        self.assertEqual(self.post_version(3, vm=(holder + 1) % 3).status, 202)
        self.wait_for(3)


class IgnoredFencing(WeightsTestCase):
    engine_options = ("--token-time-us", "2000", "--swap-time-ms", "100", "--ignores-fencing")

    def test_engine_set_back_by_a_late_order_is_brought_forward_again(self):
        self.post_version(2)
        self.wait_for(2)
        late = {"order": "load-weights", "version": 1, "fencing": 0, "mode": "in-place", "operation": "late"}
        self.assertEqual(call(self.engines[0], "POST", "/engine/orders", late).status, 200)
        wait_until(lambda: self.engine_versions()[0] == 1, what="the late order seen in the engine's report")
        self.wait_for(2)
        wait_until(lambda: self.rollout()["engines"]["lm-0"]["reasserted"] >= 1, what="the order given again")


if __name__ == "__main__":
    unittest.main()
