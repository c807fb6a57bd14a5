"""The processes of a run: VMs, a store, workers, and the proxies between them."""

import asyncio
import base64
import itertools
import json
import pathlib
import signal
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "examples" / "lib"))

from loopback import BIN, free_ports, thread_states  # noqa: E402,F401
from proxy import Proxy  # noqa: E402
from web import Broken, ask_once  # noqa: E402

HEARTBEAT_S = 0.3
MISSED_HEARTBEATS = 3
SHUTDOWN_S = 8
POOLS = {"app": 3, "lm": 4}
MODELS = ["m"]


def settings_text(vm, store_port):
    return f"""[vm {vm.name}]
data_centre = {vm.zone}
region = here
callers = 127.0.0.1:{vm.callers}
operators = 127.0.0.1:{vm.operators}
peers = 127.0.0.1:{vm.peers}
threads = 1
log_level = debug

[platform]
address = 127.0.0.1:{store_port}
timeout = 1500ms

[gateway]
shutdown_time = {SHUTDOWN_S}s
order_silence = 3000ms
result_retention = 120s
row_size = 65536B
object_size = 8388608B
"""


class Vm:
    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.callers, self.operators, self.peers = ports
        self.process = None
        self.store_link = None
        # Set while a planned or unplanned end of its process is under way.
        self.is_expected_to_end = False
        self.incarnation = 0

    def takes_callers(self):
        return self.process is not None and not self.is_expected_to_end


class Worker:
    def __init__(self, name, pool, port):
        self.name = name
        self.pool = pool
        self.port = port
        self.process = None
        self.link = None
        self.state = "ready"
        # It says in its answers that it leaves, while its record still says that it is ready.
        self.announces = False
        self.version = 1
        self.sequence = 0
        self.born_ms = 0
        self.missed = 0
        self.is_listed = False


class World:
    def __init__(self, directory, vm_count, ledger, generator, other_build=None):
        self.other_build = other_build
        self.directory = pathlib.Path(directory)
        self.ledger = ledger
        self.random = generator
        ports = iter(free_ports(1 + 3 * vm_count + sum(POOLS.values())))
        self.store_port = next(ports)
        self.store = None
        self.vms = [Vm(f"vm-{index}", f"z{index % 3}", [next(ports) for _ in range(3)]) for index in range(vm_count)]
        self.workers = [Worker(f"i-{pool}-{index}", pool, next(ports))
                        for pool, count in POOLS.items() for index in range(count)]
        self.config_version = 0
        self.extra_routes = []
        self.tasks = []
        self.names = itertools.count()

    def spawn(self, name, program, *arguments):
        with open(self.directory / f"{name}.log", "ab") as log:
            return subprocess.Popen([str(BIN / program), *map(str, arguments)], stdout=log, stderr=log,
                                    stdin=subprocess.DEVNULL, start_new_session=True)

    async def start(self):
        self.store = self.spawn("store", "soak-standin", "store", "--listen", self.store_port)
        await self.until(lambda: self.put_row("op", "config", self.configuration()))
        for worker in self.workers:
            worker.link = Proxy(worker.port, self.random)
            await worker.link.start()
            self.start_worker(worker)
        for vm in self.vms:
            vm.store_link = Proxy(self.store_port, self.random)
            await vm.store_link.start()
            self.start_vm(vm)
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        self.tasks.append(asyncio.create_task(self.watch_vms()))
        for vm in self.vms:
            await self.until(lambda vm=vm: self.is_ready(vm))

    async def until(self, condition, longest=15.0):
        end = time.monotonic() + longest
        while time.monotonic() < end:
            try:
                if await condition():
                    return
            except Broken:
                pass  # not up yet
            await asyncio.sleep(0.05)
        raise TimeoutError("a process of the soak did not come up")

    async def is_ready(self, vm):
        return (await ask_once(vm.operators, "GET", "/-/readyz", timeout=1.0)).status == 200

    def start_vm(self, vm):
        settings = self.directory / f"{vm.name}.ini"
        settings.write_text(settings_text(vm, vm.store_link.port))
        vm.incarnation += 1
        # VMs of two builds serve side by side, and each changes its build with every restart.
        is_other = self.other_build and (self.vms.index(vm) + vm.incarnation) % 2
        vm.process = self.spawn(vm.name, self.other_build if is_other else "topaztackd", "--settings", settings)
        vm.is_expected_to_end = False

    def start_worker(self, worker):
        log = self.directory / f"{worker.name}.runs"
        self.ledger.logs[worker.name] = log
        worker.born_ms = int(time.time() * 1000)
        worker.state = "ready"
        worker.process = self.spawn(worker.name, "soak-standin", "worker", "--listen", worker.port, "--name", worker.name,
                                    "--log", log, "--events", self.ledger.events, "--version", worker.version,
                                    "--born-ms", worker.born_ms)

    # The operator and the workers write into the store by themselves, past the proxies.

    async def put_row(self, table, key, value):
        row = {"table": table, "part": "", "key": key}
        if value is None:
            body = {"expected": [], "puts": [], "remove": [row]}
        else:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            body = {"expected": [], "puts": [{**row, "value": encoded}], "remove": []}
        answer = await ask_once(self.store_port, "POST", "/-/rows-tx", body=json.dumps(body).encode(), timeout=2.0)
        return answer.status == 200

    def configuration(self):
        self.config_version += 1 + self.random.randrange(3)
        routes = [self.route("jobs", "/j/", "rollout", "lm"),
                  {**self.route("streams", "/s/", "streaming", "lm"), "resumable": True, "maxAttempts": 3},
                  self.route("safe", "/b/", "safe", "app"),
                  self.route("once", "/u/", "unsafe", "app"),
                  *(self.route(name, f"/{name}/", "unsafe", "app") for name in self.extra_routes)]
        return {"version": self.config_version, "routes": routes,
                "services": [{"name": "lm", "engine": {"slots": 4, "models": [{"name": name} for name in MODELS]}},
                             {"name": "app"}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "idleTimeoutMs": 15000}}

    def route(self, name, prefix, kind, pool):
        return {"name": name, "hostname": "a.example", "prefix": prefix, "type": kind, "timeoutMs": 2000,
                "targetLatencyMs": 150, "service": pool, "maxAttempts": 2, "retentionS": 60.0, "runTargetMs": 7500}

    async def add_route(self):
        name = f"r{next(self.names)}"
        self.extra_routes.append(name)
        if not await self.put_row("op", "config", self.configuration()):
            raise Broken("the store refused the configuration", True)
        return name

    async def name_version(self, model, version):
        return await self.put_row("op", f"version/{model}", {"model": model, "version": version})

    def record(self, worker):
        worker.sequence += 1
        return {"service": worker.pool, "address": f"127.0.0.1:{worker.link.port}", "zone": "z0",
                "version": self.ledger.software(worker.name),
                "slots": 4, "state": worker.state, "coldRemainingMs": 0, "sequence": worker.sequence,
                "born": worker.born_ms,
                "models": [{"name": name, "version": worker.version} for name in MODELS] if worker.pool == "lm" else []}

    async def heartbeats(self):
        while True:
            await asyncio.gather(*(self.heartbeat(worker) for worker in self.workers))
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self, worker):
        try:
            report = await ask_once(worker.port, "GET", "/-/report", timeout=HEARTBEAT_S)
            worker.missed = 0
            worker.version = json.loads(report.body)["models"][0]["version"]
        except Broken:
            worker.missed += 1
        try:
            if worker.missed == 0:
                worker.is_listed = await self.put_row("servers", worker.name, self.record(worker))
            elif worker.missed >= MISSED_HEARTBEATS and worker.is_listed:
                worker.is_listed = not await self.put_row("servers", worker.name, None)
        except Broken:
            pass  # the store is paused; the next heartbeat tries again

    async def watch_vms(self):
        """A VM's process that ends by itself is a fault of its own."""
        while True:
            for vm in self.vms:
                if vm.process and not vm.is_expected_to_end and vm.process.poll() is not None:
                    self.ledger.violate("processes", f"{vm.name} ended by itself with {vm.process.returncode}")
                    self.start_vm(vm)
            await asyncio.sleep(0.2)

    async def end(self, process, number=signal.SIGTERM, longest=15.0):
        process.send_signal(number)
        end = time.monotonic() + longest
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()
            return False
        return True

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in [vm.process for vm in self.vms] + [worker.process for worker in self.workers] + [self.store]:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
