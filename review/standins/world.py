"""A small deployment on loopback: the platform's store, workers and clients as stand-ins, and the system's VMs.

The stand-ins follow PROTOCOL.md and run in this process; every VM is a process of its own, started with the command of
deploy/system.toml and settings rendered from deploy/settings.ini.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "topaztackd"
HOST = "127.0.0.1"
# As in DEPLOY.md and the sheet of velandino.
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
ROW_BYTES = 65536
BLOB_BYTES = 8388608
HEARTBEAT_S = 1.2
COULD_NOT_RUN = 2


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run: one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = now()

    def line(self, *words):
        self.file.write(f"{now() - self.started:8.3f} " + " ".join(str(word) for word in words) + "\n")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: rows with versions and a feed, raw objects."""

    def __init__(self):
        self.rows = {}
        self.blobs = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.port = 0
        self.server = None

    async def start(self):
        self.server, self.port = await self.listen({})

    async def listen(self, paths):
        """One more address of the store. `paths`: the addresses at which the VM that uses it finds the workers."""
        server = await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, paths), HOST, 0,
                                            limit=1 << 26)
        return server, server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer, paths):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                status, answer = await self.handle(method, target, head[1], body)
                if paths and "table=servers" in target and status == 200:
                    answer = self.seen_over(paths, answer)
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        parsed = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(parsed.query, keep_blank_values=True).items()}
        path = parsed.path
        if path == "/-/rows-tx":
            return self.commit(json.loads(body), len(body))
        if path == "/-/rows-get":
            return self.page(query)
        if path == "/-/rows-feed":
            return await self.feed(query)
        name = urllib.parse.unquote(path.rpartition("/")[2])
        if path.startswith("/-/blob-put/"):
            if headers.get("if-none-match") == "*" and name in self.blobs:
                return 412, b""
            if len(body) > BLOB_BYTES:
                return 413, b""
            self.blobs[name] = body
            return 200, b""
        if path.startswith("/-/blob-get/"):
            return (200, self.blobs[name]) if name in self.blobs else (404, b"")
        if path.startswith("/-/blob-drop/"):
            self.blobs.pop(name, None)
            return 200, b""
        return 404, b""

    def seen_over(self, paths, answer):
        rows = []
        for row in answer["rows"]:
            if "value" in row:
                record = json.loads(base64.b64decode(row["value"]))
                record["address"] = paths.get(record["address"], record["address"])
                row = {**row, "value": base64.b64encode(json.dumps(record).encode()).decode()}
            rows.append(row)
        return {**answer, "rows": rows}

    def stamp(self):
        return {"ver": self.version, "nowMs": int(now() * 1000)}

    def row(self, place, full=True):
        value, version = self.rows.get(place, (None, 0))
        row = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
        if value is not None and full:
            row["value"] = value
        return row

    def commit(self, call, size):
        place = lambda row: (row["table"], row.get("part", ""), row["key"])  # noqa: E731
        expected, puts, removed = call.get("expected", []), call.get("puts", []), call.get("remove", [])
        if len(expected) + len(puts) + len(removed) > MAX_ENTRIES or size > MAX_CALL_BYTES:
            return 413, {"error": "the call is too large"}
        if any(len(base64.b64decode(row["value"])) > ROW_BYTES for row in puts):
            return 413, {"error": "a value is too large"}
        if any(self.rows.get(place(row), (None, 0))[1] != row["ver"] for row in expected):
            return 412, {"rows": [self.row(place(row)) for row in expected], **self.stamp()}
        self.version += 1
        for row in puts:
            self.rows[place(row)] = (row["value"], self.version)
            self.history.append((self.version, place(row), row["value"]))
        for row in removed:
            if self.rows.pop(place(row), None):
                self.history.append((self.version, place(row), None))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self.stamp()

    def put(self, table, key, value):
        """A write of the operator or of a worker, who reach the store by themselves."""
        row = {"table": table, "part": "", "key": key}
        if value is None:
            self.commit({"remove": [row]}, 0)
        else:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.commit({"puts": [row]}, 0)

    def page(self, query):
        places = sorted(place for place in self.rows if place[:2] == (query["table"], query.get("part", ""))
                        and place[2] >= query.get("from", "") and (not query.get("to") or place[2] < query["to"]))
        rows, size = [], 0
        for place in places:
            size += len(self.rows[place][0])
            if rows and (len(rows) == MAX_PAGE_ROWS or size > MAX_PAGE_BYTES):
                return 200, {"rows": rows, "morePages": True, **self.stamp()}
            rows.append(self.row(place))
        return 200, {"rows": rows, "morePages": False, **self.stamp()}

    async def feed(self, query):
        after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = []
            for version, place, value in reversed(self.history):
                if version <= after:
                    break
                if place[0] == query["table"]:
                    row = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
                    rows.append({**row, "removed": True} if value is None else {**row, "value": value})
            if rows or now() >= end:
                return 200, {"rows": rows[::-1], **self.stamp()}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except (asyncio.TimeoutError, TimeoutError):
                pass


class Path:
    """A path to a port that can be cut: open connections are reset then, and new ones are refused."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        await asyncio.gather(self.pass_on(reader, far_writer), self.pass_on(far_reader, writer))
        self.writers -= ends

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    def cut(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers = set()


class Worker:
    """A worker of a service. Without `models` it runs plain requests, with them generations."""

    def __init__(self, world, name, service, slots=4, models=(), work_s=0.02, events=12, event_s=0.02):
        self.world = world
        self.name = name
        self.service = service
        self.slots = slots
        self.models = {model: 1 for model in models}
        self.work_s = work_s
        self.events = events
        self.event_s = event_s
        self.running = 0
        self.orders = 0
        self.beats = 0
        self.stamps = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()

    def beat(self):
        self.beats += 1
        self.world.store.put("servers", self.name, {
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": "z0", "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "stage": "both", "sequence": self.beats,
            "models": [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]})

    def log(self, *words):
        self.world.record.line(self.name, *words)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def common(self, headers):
        self.stamps += 1
        request = headers.get("topaztack-request-id")
        return [("Topaztack-Request-Id", request)] if request else []

    async def send(self, writer, status, headers=(), body=b""):
        writer.write(answer_bytes(status, headers, body))
        await writer.drain()
        return True

    async def handle(self, method, target, headers, body, reader, writer):
        """Answers one request. @return whether the connection goes on."""
        expected = headers.get("topaztack-expect-instance")
        if expected and expected != self.name:
            return await self.send(writer, 421, [("Topaztack-Instance-Id", self.name)])
        if target == "/-/report":
            return await self.send(writer, 200, [("Content-Type", "application/json")], json.dumps({
                "stage": "both", "busy": False, "sequence": self.orders, "waiting": 0, "running": self.running,
                "kvUsed": 0, "kvTotal": 45276, "handles": 0,
                "models": [{"name": name, "version": version, "adapters": []}
                           for name, version in self.models.items()]}).encode())
        if target == "/-/order":
            return await self.take_order(writer, json.loads(body))
        if self.running >= self.slots:
            return await self.shed(headers, writer)
        self.running += 1
        try:
            if self.models:
                return await self.generate(target, headers, writer)
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running -= 1

    async def shed(self, headers, writer):
        self.log("sheds", headers.get("topaztack-request-id"))
        return await self.send(writer, 503, [*self.common(headers), ("Topaztack-Not-Executed", "1")])

    async def take_order(self, writer, order):
        self.log("order", order)
        if order.get("expected", self.orders) != self.orders:
            return await self.send(writer, 409)
        self.orders += 1
        self.models[order["model"]] = order["version"]
        self.beat()
        return await self.send(writer, 202)

    async def run(self, method, target, headers, body, writer):
        request = headers.get("topaztack-request-id")
        self.log("runs", request, target)
        await asyncio.sleep(self.work_s)
        return await self.send(writer, 200, [*self.common(headers), ("Topaztack-Server-Stamp", f"{self.name}.{self.stamps}")],
                               f"{request} served by {self.name}".encode())

    def event(self, request, number):
        return f"id: {number}\ndata: {request}-{number}\n\n".encode()

    async def generate(self, target, headers, writer):
        request, first = headers["topaztack-request-id"], int(headers.get("last-event-id", 0)) + 1
        version = max(self.models.values())
        self.log("runs", request, "from", first, "version", version)
        names = [*self.common(headers), ("Topaztack-Server-Stamp", f"{self.name}.{self.stamps}"),
                 ("Topaztack-Weight-Versions", version), ("Content-Type", "text/event-stream"),
                 ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in names) + "\r\n").encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            piece = self.event(request, number)
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Vm:
    """One VM of the system: a process with settings as the platform renders them."""

    def __init__(self, world, name, zone, memory_mb=290):
        self.world = world
        self.name = name
        self.zone = zone
        self.memory_mb = memory_mb
        self.callers, self.operators, self.peers = free_ports(3)
        self.process = None
        self.store_port = world.store.port

    def settings(self):
        values = {"nodeName": self.name, "zone": self.zone, "region": "here", "ip": HOST,
                  "listen.frontend": f"{HOST}:{self.callers}", "listen.readiness": f"{HOST}:{self.operators}",
                  "internalPorts.0": str(self.peers), "platform.address": f"{HOST}:{self.store_port}",
                  "platform.rowBytes": str(ROW_BYTES), "platform.blobBytes": str(BLOB_BYTES), "bounds.graceS": "8",
                  "bounds.leaseMs": "3000", "bounds.statusS": "120", "limits.cpuShare": "0.5", "limits.cores": "1"}
        text = (ROOT / "deploy" / "settings.ini").read_text()
        # No such deployment has the platform's further API.
        text = re.sub(r"\{\{#cloud.address\}\}.*?\{\{/cloud.address\}\}", "", text, flags=re.S)
        text = re.sub(r"\{\{\^cloud.address\}\}(.*?)\{\{/cloud.address\}\}", r"\1", text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match.group(1)], text)

    def start(self):
        path = self.world.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        log = open(self.world.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(PROGRAM), "--settings", str(path)], stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL, cwd=ROOT,
                                        env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})
        self.world.record.line(self.name, "starts")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            return (await ask(self.operators, "GET", "/-/readyz", timeout=1.0)).status == 200
        except Broken:
            return False


class Broken(Exception):
    """No whole answer."""


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def ask(port, method, path, headers=(), body=b"", timeout=5.0, host="a.example"):
    """One request on a connection of its own."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 26)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}",
                     *(f"{name}: {value}" for name, value in headers)]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise Broken("the connection ended without an answer")
            return Answer(int(head[0].split()[1]), head[1], await read_body(reader, head[1]))
    except (OSError, EOFError, TimeoutError, ValueError) as problem:
        raise Broken(repr(problem)) from problem
    finally:
        if writer:
            writer.transport.abort()


def route(name, prefix, kind, service, **more):
    return {"name": name, "hostname": "a.example", "prefix": prefix, "type": kind, "timeoutMs": 2000,
            "targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 3, **more}


class World:
    """Everything that a script starts. Leaving it ends all of it."""

    def __init__(self, here, vm_count=3):
        self.here = pathlib.Path(here)
        self.record = Record(self.here / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="topaztack-review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.workers = []
        self.vms = []
        self.vm_count = vm_count
        self.tasks = []
        self.config_version = 0

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.is_running():
                vm.process.send_signal(signal.SIGCONT)
            vm.kill()
        for worker in self.workers:
            worker.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", str(self.directory), keep], check=False)
        self.temporary.cleanup()

    def configure(self, routes, services):
        self.config_version += 3
        self.store.put("op", "config", {
            "version": self.config_version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    async def start(self, workers, prepare=None):
        """@param prepare is awaited before the VMs are started."""
        self.workers += workers
        for worker in workers:
            await worker.start()
        self.vms = [Vm(self, f"edge-{index}", f"z{index % 3}") for index in range(self.vm_count)]
        if prepare:
            await prepare(self)
        for vm in self.vms:
            vm.start()
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        end = now() + 20
        while not all([await vm.is_ready() for vm in self.vms]):
            if now() > end:
                raise RuntimeError("the VMs did not become ready")
            for vm in self.vms:
                if not vm.is_running():
                    # Another process has taken one of the ports meanwhile.
                    vm.callers, vm.operators, vm.peers = free_ports(3)
                    vm.start()
            await asyncio.sleep(0.1)
        # The VMs learn of each other and of the workers.
        await asyncio.sleep(3.0)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.server and worker.server.is_serving():
                    worker.beat()


def main(play, here):
    """Runs a case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not PROGRAM.exists():
        print(f"{PROGRAM} is missing; build by the deploy file first")
        sys.exit(COULD_NOT_RUN)
    # Connections that are still open at the end are closed with the loop, about which Python complains.
    sys.unraisablehook = lambda _: None
    try:
        broken = asyncio.run(play(here, trouble))
    except Exception as problem:  # noqa: BLE001
        print(f"could not run: {problem!r}")
        sys.exit(COULD_NOT_RUN)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
