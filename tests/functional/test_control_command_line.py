"""The operators' command line against real daemons."""

import os
import subprocess
import threading
import unittest

from support import ServiceTestCase, call, wait_until

from loopback import BIN  # noqa: E402, found by way of support

TOKENS = "operate ana operators-own-secret\nread bea readers-own-secret-1\n"


class CommandLineCase(ServiceTestCase):
    engine_count = 1
    service_count = 1

    def run_cli(self, *arguments, token=""):
        environment = dict(os.environ, TOPAZTACK_TOKEN=token)
        done = subprocess.run([str(BIN / "topaztack"), *map(str, arguments)], capture_output=True, text=True,
                              timeout=40, env=environment)
        return done.returncode, done.stdout, done.stderr

    def node(self, vm=0):
        return ("--node", f"127.0.0.1:{self.operators[vm]}")

    def write(self, name, text):
        file = self.cluster.directory / name
        file.write_text(text)
        return file

    def variant(self, budget):
        return self.document().replace("[limits]\n", f"[limits]\nretry_budget = {budget}\n")


class CommandLine(CommandLineCase):
    def test_check_names_file_line_key_fault_and_remedy(self):
        file = self.write("bad.ini", self.document().replace("pool = lm\nstaleness", "pool = none\nstaleness"))
        code, _, errors = self.run_cli("check", file)
        line = 1 + file.read_text().splitlines().index("[trainer t1]")
        self.assertEqual((code, errors), (1, f"{file}:{line}: pool: no pool `none`; "
                                             "add `[pool none]` or correct the name\n"))
        self.assertEqual(self.run_cli("accept", file, "--base", 1, *self.node())[0], 2)

    def test_check_exits_with_2_if_a_file_cannot_be_read(self):
        missing = self.cluster.directory / "missing.ini"
        self.assertEqual(self.run_cli("check", missing)[0], 2)
        self.assertEqual(self.run_cli("check", self.write("good.ini", self.document()), "--against", missing)[0], 2)

    def test_check_prints_the_differences_from_another_document(self):
        before = self.write("before.ini", self.document())
        after = self.write("after.ini", self.variant(41))
        self.assertEqual(self.run_cli("check", after, "--against", before), (0, "+ [limits] retry_budget = 41\n", ""))
        self.assertIn('"after":"41"', self.run_cli("check", after, "--against", before, "--json")[1])

    def test_check_reads_the_configuration_of_gateways(self):
        file = self.write("gateways.json", '{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/a/",'
                          '"type":"safe","timeoutMs":100,"targetLatencyMs":150,"service":"none"}],"services":[]}')
        code, output, errors = self.run_cli("check", file)
        self.assertEqual((code, output), (1, ""))
        self.assertIn(f"{file}: route r: no pool `none`; add the pool or correct the name\n", errors)
        self.assertIn("time limit of 100 ms is under its objective of 150 ms", errors)
        self.assertEqual(self.run_cli("check", self.write("broken.json", '{"version":1,'))[0], 1)

    def test_accept_diff_history_and_revert(self):
        file = self.write("new.ini", self.variant(41))
        self.assertEqual(self.run_cli("diff", file, *self.node()), (0, "+ [limits] retry_budget = 41\n", ""))
        self.assertEqual(self.run_cli("accept", file, "--base", 1, *self.node())[0], 0)
        code, _, errors = self.run_cli("accept", file, "--base", 1, *self.node(1))
        self.assertEqual(code, 1)
        self.assertIn("[limits] retry_budget: (absent) -> 41", errors)
        self.assertEqual(self.run_cli("revert", "--to", 1, "--base", 2, *self.node())[0], 0)
        self.assertEqual(self.run_cli("diff", 1, 3, *self.node()), (0, "", ""))
        self.assertIn('"version":3', self.run_cli("history", *self.node())[1])

    def test_a_node_that_dies_while_it_accepts_is_found_out_at_another(self):
        file = self.write("new.ini", self.variant(42))
        call(self.platform, "POST", "/standin/faults", {"delay_ms": 1500})
        killer = threading.Timer(0.7, lambda: self.cluster.kill("vm-0"))
        killer.start()
        code, output, _ = self.run_cli("accept", file, "--base", 1, *self.node(0), *self.node(1))
        killer.join()
        call(self.platform, "POST", "/standin/faults", {"delay_ms": 0})
        made = call(self.operators[1], "GET", "/v1/config/versions/2").status == 200
        self.assertEqual((code, made), (0, True) if "accepted" in output else (3, made))

    def test_without_the_platform_it_says_unknown_with_its_own_exit_code(self):
        file = self.write("new.ini", self.variant(43))
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 1.0, "outage": "none"})
        threading.Timer(0.3, lambda: call(self.platform, "POST", "/standin/faults", {"outage": "refuse"})).start()
        call(self.platform, "POST", "/standin/faults", {"delay_ms": 600})
        code, output, errors = self.run_cli("accept", file, "--base", 1, "--operation", "op-9", *self.node())
        self.assertIn(code, (0, 1, 3), errors)
        if code == 3:
            self.assertIn("--operation op-9", errors)
        call(self.platform, "POST", "/standin/faults",
             {"lose_answer_probability": 0.0, "outage": "none", "delay_ms": 0})
        self.assertEqual(self.run_cli("accept", file, "--base", 1, "--operation", "op-9", *self.node())[0], 0)
        versions = call(self.operators[1], "GET", "/v1/config/history").json()["versions"]
        self.assertEqual([entry["version"] for entry in versions], [2, 1])

    def test_drain_ends_the_vm_gracefully(self):
        self.assertEqual(self.run_cli("drain", *self.node(2))[0], 0)
        self.assertEqual(self.cluster.processes.pop("vm-2").wait(20), 0)

    def test_status_tells_accepted_from_in_force(self):
        code, output, _ = self.run_cli("status", *self.node())
        self.assertEqual(code, 0)
        self.assertIn("accepted: version 1 (from platform)", output)
        self.assertIn("vm-0  version 1", output)


class Tokens(CommandLineCase):
    vm_count = 1

    def start_vm(self, index):
        super().start_vm(index)
        settings = self.cluster.directory / f"vm-{index}.ini"
        if "operator_token" in settings.read_text():
            return
        self.cluster.stop(f"vm-{index}")
        tokens = self.write("tokens", TOKENS)
        settings.write_text(settings.read_text().replace("threads = 2", f"threads = 2\noperator_token = {tokens}"))
        self.cluster.start(f"vm-{index}", "topaztackd", "--settings", settings)
        wait_until(lambda: call(self.operators[index], "GET", "/healthz").status == 200, what="VM alive")

    def accept(self, document, base=0, vm=0):
        self.write("first.ini", document)
        code, _, errors = self.run_cli("accept", self.cluster.directory / "first.ini", "--base", 0, *self.node(),
                                       token="operators-own-secret")
        self.assertEqual(code, 0, errors)

    def test_only_a_token_opens_the_port_and_only_operate_changes(self):
        self.assertEqual(call(self.operators[0], "GET", "/v1/config").status, 401)
        self.assertEqual(call(self.operators[0], "GET", "/debug/state").status, 401)
        self.assertEqual(self.run_cli("show", *self.node(), token="readers-own-secret-1")[0], 0)
        self.assertEqual(self.run_cli("drain", *self.node(), token="readers-own-secret-1")[0], 1)
        self.assertEqual(self.run_cli("drain", *self.node(), token="operators-own-secret!")[0], 1)
        log = (self.cluster.directory / "vm-0.log").read_text()
        self.assertIn("event=audit", log)
        self.assertIn("operator=bea", log)


if __name__ == "__main__":
    unittest.main()
