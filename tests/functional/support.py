"""What functional tests share: a small service on free ports, in a directory of its own."""

import pathlib
import sys
import tempfile
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "examples" / "lib"))

from loopback import Cluster, call, free_ports, vm_settings, wait_until  # noqa: E402,F401

DATA_CENTRES = ["north", "south", "east"]


class ServiceTestCase(unittest.TestCase):
    """Platform, engines, services and VMs; the document is accepted before each test."""

    vm_count = 3
    engine_count = 2
    service_count = 2
    engine_options = ("--token-time-us", "500")
    pool_lines = ""
    vm_lines = ""
    trainer_lines = "staleness_bound = 2\nmax_tokens = 8\n"
    limits_lines = "drain_time = 10s\n"

    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addCleanup(self.cluster.stop_all)
        ports = iter(free_ports(1 + self.engine_count + self.service_count + 3 * self.vm_count))
        self.platform = next(ports)
        self.engines = [next(ports) for _ in range(self.engine_count)]
        self.services = [next(ports) for _ in range(self.service_count)]
        self.callers = [next(ports) for _ in range(self.vm_count)]
        self.operators = [next(ports) for _ in range(self.vm_count)]
        self.peers = [next(ports) for _ in range(self.vm_count)]
        self.start_standins()
        for index in range(self.vm_count):
            self.start_vm(index)
        self.accept(self.document())

    def start_standins(self):
        self.cluster.start("platform", "topaztack-standin", "platform", "--listen", f"127.0.0.1:{self.platform}")
        for index, port in enumerate(self.engines):
            self.cluster.start(f"engine-{index}", "topaztack-standin", "engine", "--listen", f"127.0.0.1:{port}",
                               *self.engine_options)
        for index, port in enumerate(self.services):
            self.cluster.start(f"service-{index}", "topaztack-standin", "service", "--listen", f"127.0.0.1:{port}")

    def start_vm(self, index):
        others = [(f"vm-{other}", DATA_CENTRES[other % 3], self.peers[other])
                  for other in range(self.vm_count) if other != index]
        settings = self.cluster.directory / f"vm-{index}.ini"
        settings.write_text(vm_settings(f"vm-{index}", DATA_CENTRES[index % 3], self.callers[index],
                                        self.operators[index], self.peers[index], self.platform, others,
                                        extra=self.vm_lines))
        self.cluster.start(f"vm-{index}", "topaztackd", "--settings", settings)
        wait_until(lambda: call(self.operators[index], "GET", "/healthz").status == 200, what=f"VM {index} alive")

    def document(self):
        text = f"[pool lm]\nkind = engine\ndeadline = 30s\n{self.pool_lines}\n[pool app]\nkind = service\ndeadline = 5s\n{self.pool_lines}\n"
        for pool, ports in (("lm", self.engines), ("app", self.services)):
            for index, port in enumerate(ports):
                text += (f"[backend {pool}-{index}]\npool = {pool}\naddress = 127.0.0.1:{port}\n"
                         f"data_centre = {DATA_CENTRES[index % 3]}\n\n")
        return text + f"[trainer t1]\npool = lm\n{self.trainer_lines}\n[limits]\n{self.limits_lines}"

    def accept(self, document, base=0, vm=0):
        wait_until(lambda: call(self.platform, "GET", "/vms").status == 200, what="platform alive")
        answer = call(self.operators[vm], "POST", "/v1/config", document, {"If-Match": str(base)})
        self.assertEqual(answer.status, 200, answer.body)
        for index, port in enumerate(self.operators):
            if f"vm-{index}" in self.cluster.processes:
                wait_until(lambda port=port: call(port, "GET", "/v1/config").headers.get("etag") == f'"{base + 1}"',
                           what=f"document {base + 1} in force at VM {index}")

    def runs(self):
        """All runs that the services counted: a list of (key, digest, runs)."""
        return [(run["key"], run["digest"], run["runs"])
                for port in self.services for run in call(port, "GET", "/standin/runs").json()["runs"]]
