"""The stand-ins' fault switches do what docs/PLATFORM.md says of them."""

import http.client
import tempfile
import unittest

from support import Cluster, call, free_ports, wait_until


def commit(row, version, value):
    return {"operation": "op", "conditions": [{"row": row, "version": version}],
            "writes": [{"row": row, "value": value}]}


class StandinTestCase(unittest.TestCase):
    kind = ""

    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addCleanup(self.cluster.stop_all)
        self.port = free_ports(1)[0]
        self.start()

    def start(self, *options):
        self.cluster.start("standin", "topaztack-standin", self.kind, "--listen", f"127.0.0.1:{self.port}", *options)
        wait_until(lambda: call(self.port, "GET", "/standin/runs"), what="stand-in alive")

    def fault(self, **faults):
        answer = call(self.port, "POST", "/standin/faults", faults)
        self.assertEqual(answer.status, 200, answer.body)

    def assert_dropped(self, *arguments):
        with self.assertRaises((http.client.HTTPException, OSError)):
            call(self.port, *arguments)


class Platform(StandinTestCase):
    kind = "platform"

    def counts(self):
        return call(self.port, "GET", "/standin/counts").json()

    def read(self, row):
        return call(self.port, "POST", "/table/read", {"rows": [row]})

    def test_lost_answer_took_effect(self):
        self.fault(lose_next_answers=1)
        self.assert_dropped("POST", "/table/commit", commit("a", 0, "x"))
        self.assertEqual(self.read("a").json()["rows"][0]["value"], "x")
        self.assertEqual(call(self.port, "POST", "/table/commit", commit("a", 1, "y")).status, 200)

    def test_outage_has_no_effect_and_ends(self):
        self.fault(outage="drop")
        self.assert_dropped("POST", "/table/commit", commit("a", 0, "x"))
        self.fault(outage="refuse")
        self.assertEqual(call(self.port, "POST", "/table/commit", commit("a", 0, "x")).status, 503)
        self.fault(outage="none")
        self.assertEqual(self.read("a").json()["rows"][0]["version"], 0)

    def test_rate_limits_refuse_without_effect_and_are_counted(self):
        self.fault(writes_per_second=2)
        statuses = [call(self.port, "POST", "/table/commit", commit(f"row-{n}", 0, "x")).status for n in range(20)]
        accepted = statuses.count(200)
        self.assertGreaterEqual(accepted, 2)
        self.assertEqual(accepted + statuses.count(429), 20)
        counts = self.counts()
        self.assertEqual((counts["rows_written"], counts["refusals"]), (accepted, 20 - accepted))

    def test_vm_list_is_settable(self):
        vm = {"name": "vm-1", "address": "127.0.0.1:1", "data_centre": "north", "state": "leaving"}
        self.assertEqual(call(self.port, "POST", "/standin/vms", {"vms": [vm]}).status, 200)
        self.assertEqual(call(self.port, "GET", "/vms").json()["vms"], [vm])

    def test_unknown_faults_are_refused(self):
        self.assertEqual(call(self.port, "POST", "/standin/faults", {"outag": "drop"}).status, 400)
        self.assertEqual(call(self.port, "POST", "/standin/faults", {"outage": "later"}).status, 400)


class Service(StandinTestCase):
    kind = "service"

    def booking(self, key="k"):
        return "POST", "/bookings", "body", {"Idempotency-Key": key}

    def runs(self):
        listed = call(self.port, "GET", "/standin/runs").json()
        return {run["key"]: run["runs"] for run in listed["runs"]}

    def test_drops_count_a_run_unless_they_come_before_it(self):
        for fault, runs in (("drop-before", {}), ("drop-during", {"k": 1}), ("drop-after", {"k": 2}),
                            ("drop-answering", {"k": 3})):
            self.fault(fault=fault, next=1)
            self.assert_dropped(*self.booking())
            self.assertEqual(self.runs(), runs, fault)

    def test_not_run_and_leaving_are_said(self):
        self.fault(fault="not-run", next=1, leaving=True)
        answer = call(self.port, *self.booking())
        self.assertEqual((answer.status, answer.headers.get("topaztack-not-run")), (503, "1"))
        self.assertEqual(call(self.port, *self.booking()).headers.get("topaztack-leaving"), "1")
        self.assertEqual(self.runs(), {"k": 1})

    def test_death_ends_the_process(self):
        self.fault(fault="die-after", next=1)
        self.assert_dropped(*self.booking())
        self.assertEqual(self.cluster.processes["standin"].wait(10), 3)

    def test_requests_without_a_key_have_a_count_of_their_own(self):
        call(self.port, "POST", "/bookings", "a")
        call(self.port, "POST", "/bookings", "b")
        listed = call(self.port, "GET", "/standin/runs").json()
        self.assertEqual((listed["unkeyed"], listed["runs"]), (2, []))

    def test_faults_may_be_set_at_start(self):
        self.cluster.stop("standin")
        self.cluster.start("standin", "topaztack-standin", "service", "--listen", f"127.0.0.1:{self.port}",
                           "--fault", "fault=drop-after", "--fault", "next=1")
        wait_until(lambda: call(self.port, "GET", "/standin/runs").status == 200, what="stand-in alive")
        self.assert_dropped(*self.booking())
        self.assertEqual(self.runs(), {"k": 1})


del StandinTestCase

if __name__ == "__main__":
    unittest.main()
