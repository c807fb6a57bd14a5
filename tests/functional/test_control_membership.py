"""Membership and leases of configuration through real daemons: kill, pause, replacement, platform outage."""

import signal
import unittest

from support import ServiceTestCase, call, wait_until


class Membership(ServiceTestCase):
    vm_count = 4
    engine_count = 1
    service_count = 1

    def setUp(self):
        super().setUp()
        wait_until(lambda: all(self.alive(vm) == 4 for vm in range(4)), what="four members alive")

    def members(self, vm):
        return call(self.operators[vm], "GET", "/debug/state").json()["members"]

    def alive(self, vm):
        return sum(member["state"] == "alive" for member in self.members(vm))

    def state_of(self, name, seen_by):
        return [member["state"] for member in self.members(seen_by) if member["vm"] == name]

    def in_force(self, vm):
        return call(self.operators[vm], "GET", "/v1/config").headers["etag"]

    def test_a_killed_vm_is_dead_and_its_successor_alive(self):
        # vm-0 and vm-3 stand in one data centre.
        self.cluster.kill("vm-3")
        wait_until(lambda: self.state_of("vm-3", 0) == ["dead"], what="vm-3 dead")
        self.start_vm(3)
        wait_until(lambda: sorted(self.state_of("vm-3", 1)) in (["alive"], ["alive", "dead"]), what="successor alive")

    def test_a_paused_vm_is_dead_and_alive_again_once_it_wakes(self):
        self.cluster.signal("vm-3", signal.SIGSTOP)
        wait_until(lambda: self.state_of("vm-3", 0) == ["dead"], what="vm-3 dead")
        self.cluster.signal("vm-3", signal.SIGCONT)
        wait_until(lambda: all(self.alive(vm) == 4 for vm in range(4)), what="vm-3 alive again")

    def test_a_stopped_vm_is_seen_leaving(self):
        self.cluster.stop("vm-3")
        wait_until(lambda: self.state_of("vm-3", 0) in (["leaving"], ["suspect"], ["dead"]), what="vm-3 left")

    def test_a_replaced_vm_gets_the_document_from_peers_while_the_platform_is_down(self):
        call(self.platform, "POST", "/standin/faults", {"outage": "drop"})
        self.cluster.kill("vm-1")
        self.start_vm(1)
        wait_until(lambda: self.in_force(1) == '"1"', what="document at the replaced VM")
        state = call(self.operators[1], "GET", "/debug/state").json()
        self.assertEqual(state["config"]["source"], "peer")

    def test_a_cut_off_vm_gets_a_new_document_from_peers(self):
        self.cluster.signal("vm-2", signal.SIGSTOP)
        document = self.document().replace("[limits]\n", "[limits]\nretry_budget = 21\n")
        answer = call(self.operators[0], "POST", "/v1/config", document, {"If-Match": "1"})
        self.assertEqual(answer.status, 200)
        call(self.platform, "POST", "/standin/faults", {"outage": "refuse"})
        self.cluster.signal("vm-2", signal.SIGCONT)
        wait_until(lambda: self.in_force(2) == '"2"', what="version 2 at the woken VM")

    def test_status_names_vms_that_do_not_answer(self):
        wait_until(lambda: call(self.operators[0], "GET", "/v1/config/status").json()["in_force_everywhere"],
                   what="in force everywhere")
        self.cluster.signal("vm-2", signal.SIGSTOP)
        status = call(self.operators[0], "GET", "/v1/config/status").json()
        self.assertEqual((status["in_force_everywhere"], status["unreachable"]), (False, ["vm-2"]))


if __name__ == "__main__":
    unittest.main()
