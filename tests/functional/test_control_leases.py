"""Leases through real daemons: one holder, SIGSTOP past the lease, kill, graceful release, lost answers, outage."""

import signal
import time
import unittest

from support import ServiceTestCase, call, wait_until


class Leases(ServiceTestCase):
    engine_count = 1
    service_count = 1

    def setUp(self):
        super().setUp()
        wait_until(lambda: self.holder() is not None, what="a holder")

    def running(self):
        return [vm for vm in range(3) if f"vm-{vm}" in self.cluster.processes]

    def leases(self, vm):
        return call(self.operators[vm], "GET", "/debug/state").json()["leases"]

    def lease(self, vm):
        """The first lease by name; all VMs compete for it."""
        leases = self.leases(vm)
        return leases[min(leases)] if leases else {"held": False, "number": 0}

    def holders(self, vms):
        return [vm for vm in vms if self.lease(vm)["held"]]

    def holder(self, vms=None):
        found = self.holders(self.running() if vms is None else vms)
        self.assertLessEqual(len(found), 1)
        return found[0] if found else None

    def test_a_holder_that_slept_past_its_lease_wakes_without_it(self):
        old = self.holder()
        number = self.lease(old)["number"]
        others = [vm for vm in self.running() if vm != old]
        self.cluster.signal(f"vm-{old}", signal.SIGSTOP)
        wait_until(lambda: self.holder(others) is not None, timeout=25, what="takeover")
        new = self.holder(others)
        self.assertGreater(self.lease(new)["number"], number)
        self.cluster.signal(f"vm-{old}", signal.SIGCONT)
        for _ in range(20):
            self.assertFalse(self.lease(old)["held"])
            time.sleep(0.05)
        self.assertEqual(self.holder(), new)

    def test_a_killed_holder_is_followed_and_a_stopped_one_gives_up_its_lease(self):
        old = self.holder()
        number = self.lease(old)["number"]
        self.cluster.kill(f"vm-{old}")
        wait_until(lambda: self.holder() is not None, timeout=25, what="takeover after a kill")
        second = self.holder()
        self.assertGreater(self.lease(second)["number"], number)
        number = self.lease(second)["number"]
        self.assertEqual(self.cluster.stop(f"vm-{second}"), 0)
        rows = call(self.platform, "POST", "/table/scan", {"prefix": "lease/", "after": "", "limit": 99}).json()["rows"]
        self.assertFalse([row for row in rows if f'"vm":"vm-{second}"' in row["value"]
                          and '"released":false' in row["value"]])
        wait_until(lambda: self.holder() is not None, timeout=25, what="takeover after a release")
        self.assertGreater(self.lease(self.holder())["number"], number)

    def test_lost_answers_and_an_outage_never_make_two_holders(self):
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 0.5, "seed": 11})
        last = 0
        for _ in range(40):
            holder = self.holder()
            if holder is not None:
                number = self.lease(holder)["number"]
                self.assertGreaterEqual(number, last)
                last = number
            time.sleep(0.1)
        self.assertGreater(last, 0)
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 0.0, "outage": "drop"})
        wait_until(lambda: self.holder() is None, timeout=25, what="lapse in the outage")
        call(self.platform, "POST", "/standin/faults", {"outage": "none"})
        wait_until(lambda: self.holder() is not None, timeout=25, what="a holder after the outage")
        self.assertGreaterEqual(self.lease(self.holder())["number"], last)


if __name__ == "__main__":
    unittest.main()
