"""Stand-ins for a small deployment on loopback: the platform's store, workers, clients, and the system's processes.

Everything here follows PROTOCOL.md and DEPLOY.md. The stand-ins run in the process of the case; the system's processes
are started with the command of deploy/system.toml, each with a settings file rendered from deploy/settings.ini.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import struct
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ZONES = ["bog-chapinero", "bog-usaquen", "bog-fontibon"]
HEARTBEAT_S = 1.2
# The bounds of the site velandino.
BOUNDS = {"graceS": 8, "leaseMs": 3000, "statusS": 120, "windowS": 5, "usageLateS": 10, "thawMs": 300,
          "drainMs": 2000, "configApplyMs": 2000, "stableMs": 3000, "lossSlackMs": 200, "cancelMs": 3000,
          "settleMs": 1000}


class CannotRun(Exception):
    """The case could not be set up."""


def now():
    return time.monotonic()


class Record:
    """record.txt of a case: what was sent, answered and run, in seconds since the case began."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = now()

    def __call__(self, text, at=None):
        print(f"{(at or now()) - self.began:9.3f} {text}", file=self.file, flush=True)


# Below the range from which outgoing connections draw their ports.
PORTS = range(20000, 32000)
given_ports = set()


def free_ports(count):
    ports = []
    candidate = random.choice(PORTS)
    while len(ports) < count:
        candidate = PORTS.start + (candidate + 1 - PORTS.start) % len(PORTS)
        with socket.socket() as tcp:
            try:
                tcp.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        if candidate not in given_ports:
            given_ports.add(candidate)
            ports.append(candidate)
    return ports


# HTTP/1.1

class Closed(Exception):
    """The other side closed or reset the connection."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as problem:
        raise Closed(repr(problem)) from problem
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return body
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as problem:
        raise Closed(repr(problem)) from problem


def encode_answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """One listening socket; `handle` gets each request and writes its answer."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=32 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(method, target, headers, body, reader, writer)
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store

class Store:
    """Rows and objects as in PROTOCOL.md; every answer is linearizable, since one process gives them one by one."""

    def __init__(self):
        self.rows = {}
        self.blobs = {}
        self.version = 0
        # One event for each feed that waits.
        self.waiting = set()
        self.server = Server(0, self.handle)

    async def start(self):
        await self.server.start()

    @property
    def port(self):
        return self.server.port

    async def put(self, table, key, value, part=""):
        """A write of the operator, a trainer or a worker. Its return is the store's acknowledgement."""
        self.version += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[(table, part, key)] = (self.version, raw)
        self.notify()

    async def drop(self, table, key, part=""):
        self.version += 1
        self.rows[(table, part, key)] = (self.version, None)
        self.notify()

    def notify(self):
        for event in self.waiting:
            event.set()

    def row(self, place):
        version, raw = self.rows[place]
        entry = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
        if raw is None:
            return {**entry, "removed": True}
        return {**entry, "value": base64.b64encode(raw).decode()}

    def answer(self, rows=None):
        body = {"ver": self.version, "nowMs": int(now() * 1000)}
        if rows is not None:
            body |= {"rows": rows, "morePages": False}
        return json.dumps(body).encode()

    async def transact(self, body):
        call = json.loads(body)
        current, holds = [], True
        for entry in call.get("expected", []):
            place = (entry["table"], entry["part"], entry["key"])
            version, raw = self.rows.get(place, (0, None))
            version = 0 if raw is None else version
            holds = holds and version == entry["ver"]
            if version:
                current.append(self.row(place))
        if not holds:
            return 412, self.answer(current)
        self.version += 1
        for entry in call.get("puts", []):
            self.rows[(entry["table"], entry["part"], entry["key"])] = (self.version, base64.b64decode(entry["value"]))
        for entry in call.get("remove", []):
            self.rows[(entry["table"], entry["part"], entry["key"])] = (self.version, None)
        self.notify()
        return 200, self.answer()

    def get(self, query):
        low, high = query.get("from", ""), query.get("to", "")
        found = [place for place, (_, raw) in self.rows.items()
                 if raw is not None and place[0] == query["table"] and place[1] == query.get("part", "")
                 and place[2] >= low and (not high or place[2] < high)]
        return 200, self.answer([self.row(place) for place in sorted(found, key=lambda place: place[2].encode())])

    async def feed(self, query):
        end = now() + int(query.get("waitMs", 0)) / 1000
        after = int(query["after"])
        while True:
            found = sorted((version, place) for place, (version, _) in self.rows.items()
                           if place[0] == query["table"] and version > after)
            left = end - now()
            if found or left <= 0:
                return 200, self.answer([self.row(place) for _, place in found])
            event = asyncio.Event()
            self.waiting.add(event)
            await asyncio.wait({waiter := asyncio.ensure_future(event.wait())}, timeout=left)
            waiter.cancel()
            self.waiting.discard(event)

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        query = {name: re.sub("%([0-9A-Fa-f]{2})", lambda code: chr(int(code[1], 16)), value)
                 for name, value in query.items()}
        name = path.rpartition("/")[2]
        if path == "/-/rows-tx":
            status, answer = await self.transact(body)
        elif path == "/-/rows-get":
            status, answer = self.get(query)
        elif path == "/-/rows-feed":
            status, answer = await self.feed(query)
        elif path.startswith("/-/blob-put/"):
            status, answer = (412 if name in self.blobs else 200), b"{}"
            self.blobs.setdefault(name, body)
        elif path.startswith("/-/blob-get/"):
            status, answer = (200, self.blobs[name]) if name in self.blobs else (404, b"{}")
        elif path.startswith("/-/blob-drop/"):
            self.blobs.pop(name, None)
            status, answer = 200, b"{}"
        else:
            status, answer = 404, b"{}"
        writer.write(encode_answer(status, [("Content-Type", "application/json")], answer))
        await writer.drain()


# Processes of the system

def render(template, values):
    """The part of DEPLOY.md's templates that deploy/settings.ini uses."""
    def look(name, scope):
        for part in name.split("."):
            if isinstance(scope, list) and part.isdigit():
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        mark, name, inner = match[1], match[2], match[3]
        value = look(name, values)
        if (mark == "^") == (not value):
            return render(inner, values)
        return ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look(match[1], values) if look(match[1], values) is not None
                                                         else ""), text)


class Machine:
    """A machine of class `edge` and its process."""

    def __init__(self, name, zone, store_port, folder, record):
        self.name, self.zone, self.folder, self.record = name, zone, pathlib.Path(folder), record
        self.frontend, self.readiness, self.internal = free_ports(3)
        self.store_port = store_port
        self.process = None
        # The limit that the platform sets for a process; none if it isn't reached.
        self.max_fds = None

    def settings(self):
        local = "127.0.0.1"
        return {"nodeName": self.name, "zone": self.zone, "region": "bogota", "ip": local,
                "internalPorts": [self.internal, self.internal],
                "listen": {"frontend": f"{local}:{self.frontend}", "readiness": f"{local}:{self.readiness}"},
                "platform": {"address": f"{local}:{self.store_port}", "rowBytes": 65536, "blobBytes": 8388608},
                "limits": {"cpuShare": 0.5, "cores": 1}, "bounds": BOUNDS}

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        file = self.folder / f"{self.name}.ini"
        file.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        command = [str(file) if word == "/etc/topaztack/settings.toml" else word for word in role["run"].split()]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        if self.max_fds:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))
        self.record(f"machine {self.name} started")

    def signal(self, number):
        self.record(f"machine {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await ask(self.readiness, "GET", "/-/readyz", timeout=1.0)
            return answer.status == 200
        except (Closed, TimeoutError, OSError):
            return False


async def until(condition, what, longest=20.0):
    end = now() + longest
    while now() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"{what} did not come up")


# Clients

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """A client's connection that it keeps."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port, limit=32 * 1024 * 1024), 1.0)

    async def send(self, method, target, headers=(), body=b""):
        if self.writer is None:
            await self.open()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}",
                 *(f"{name}: {value}" for name, value in headers)]
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self):
        first, headers = await read_head(self.reader)
        return Answer(int(first.split(" ")[1]), headers, await read_body(self.reader, headers))

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


async def ask(port, method, target, headers=(), body=b"", timeout=5.0):
    connection = Connection(port)
    try:
        async with asyncio.timeout(timeout):
            await connection.send(method, target, [*headers, ("Connection", "close")], body)
            return await connection.receive()
    finally:
        connection.close()


# Workers

class Worker:
    """What all workers share: the list of workers, the report, orders, and 421 for another instance's requests."""

    numbers = itertools.count(1)

    def __init__(self, store, service, zone, record, slots, software="1"):
        self.name = f"i-{service}-{next(self.numbers):02d}"
        self.store, self.service, self.zone, self.record, self.slots = store, service, zone, record, slots
        self.software = software
        self.models = []
        self.orders = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = Server(0, self.handle)
        self.beat = None

    async def start(self):
        await self.server.start()
        self.beat = asyncio.create_task(self.heartbeats())

    def stop(self):
        if self.beat:
            self.beat.cancel()
        self.server.stop()

    async def heartbeats(self):
        while True:
            self.sequence += 1
            await self.store.put("servers", self.name, {
                "service": self.service, "address": f"127.0.0.1:{self.server.port}", "zone": self.zone,
                "version": self.software, "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born, "stage": "both", "models": self.models})
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, target, headers, body, reader, writer):
        identity = headers.get("topaztack-request-id", "")
        expected = headers.get("topaztack-expect-instance", self.name)
        if target == "/-/report":
            report = {"stage": "both", "models": self.models, "busy": False, "sequence": self.orders, "waiting": 0,
                      "running": 0, "kvUsed": 0, "kvTotal": 45276, "handles": 0}
            writer.write(encode_answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif expected != self.name:
            writer.write(encode_answer(421, [("Topaztack-Request-Id", identity), ("Topaztack-Not-Executed", "1")]))
        elif target == "/-/order":
            writer.write(encode_answer(self.take_order(json.loads(body))))
        else:
            await self.run(identity, method, target, headers, body, reader, writer)
        await writer.drain()

    def take_order(self, order):
        if order["expected"] != self.orders:
            return 409
        for model in self.models:
            if model["name"] == order["model"]:
                if model["version"] == order["version"]:
                    return 200
                model["version"] = order["version"]
        self.orders += 1
        self.record(f"worker {self.name} takes an order of {order['holder']} {order['fencingToken']}: "
                    f"version {order['version']}")
        return 202

    async def run(self, identity, method, target, headers, body, reader, writer):
        raise NotImplementedError


async def wait_for_close(reader):
    """Ends when the connection ends; whatever else arrives is not read."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class PlainWorker(Worker):
    """Works on a request for the milliseconds at the end of its path, and drops it when its connection closes."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.running = 0
        # When each request began and ended here, and whether it was answered.
        self.runs = {}

    async def run(self, identity, method, target, headers, body, reader, writer):
        if self.running >= self.slots:
            writer.write(encode_answer(503, [("Topaztack-Request-Id", identity), ("Topaztack-Not-Executed", "1")]))
            return
        self.running += 1
        self.runs[identity] = [now(), None, False]
        self.record(f"worker {self.name} begins {identity} {target}")
        closed = asyncio.create_task(wait_for_close(reader))
        try:
            await asyncio.wait({closed}, timeout=int(target.rpartition("/")[2]) / 1000)
            is_dropped = closed.done()
        finally:
            closed.cancel()
            self.running -= 1
        self.runs[identity][1:] = [now(), not is_dropped]
        self.record(f"worker {self.name} {'drops' if is_dropped else 'answers'} {identity}")
        if not is_dropped:
            writer.write(encode_answer(200, [("Topaztack-Request-Id", identity),
                                             ("Topaztack-Server-Stamp", f"stamp.{self.name}.{identity}")],
                                       f"{identity} done by {self.name}".encode()))


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Engine(Worker):
    """A model worker: streams events, and loads a version on order. While it loads, its runs wait; then they go on."""

    def __init__(self, *arguments, model, event_s, load_s, **options):
        super().__init__(*arguments, **options)
        self.model, self.event_s, self.load_s = model, event_s, load_s
        self.models = [{"name": model, "version": 1, "adapters": []}]
        self.loading = None
        self.running = 0
        # Of each request: how many events were made, whether the last one was, and whether its connection was closed.
        self.runs = {}

    def version(self):
        return self.models[0]["version"]

    def take_order(self, order):
        if order["expected"] != self.orders or self.loading:
            return 409
        if self.version() == order["version"]:
            return 200
        self.orders += 1
        self.record(f"worker {self.name} takes an order of {order['holder']} {order['fencingToken']}: "
                    f"version {order['version']}, {order['mode']}")
        self.holder = order["holder"]
        self.loading = asyncio.create_task(self.load(order["version"]))
        return 202

    async def load(self, version):
        await asyncio.sleep(self.load_s)
        self.models = [{"name": self.model, "version": version, "adapters": []}]
        self.loading = None
        self.record(f"worker {self.name} has version {version}")

    async def run(self, identity, method, target, headers, body, reader, writer):
        """The number of events is the last part of the path."""
        if self.running >= self.slots or self.loading:
            writer.write(encode_answer(503, [("Topaztack-Request-Id", identity), ("Topaztack-Not-Executed", "1")]))
            return
        events = int(target.rpartition("/")[2])
        number = int(headers.get("last-event-id", 0))
        version = self.version()
        self.running += 1
        run = self.runs.setdefault(identity, {"events": 0, "whole": False, "dropped": False, "began": now()})
        self.record(f"worker {self.name} begins {identity} after event {number}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"Topaztack-Request-Id: {identity}", f"Topaztack-Server-Stamp: stamp.{self.name}.{identity}",
                 f"Topaztack-Weight-Versions: {version}"]
        closed = asyncio.create_task(wait_for_close(reader))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            while number < events:
                await asyncio.wait({closed}, timeout=self.event_s)
                while self.loading and not closed.done():
                    await asyncio.wait({closed}, timeout=0.01)
                if closed.done():
                    run["dropped"] = True
                    self.record(f"worker {self.name} drops {identity} after event {number}")
                    raise Closed("the system closed the connection")
                number += 1
                text = f"id: {number}\ndata: {identity}-{number}\n\n"
                if self.version() != version:
                    version = self.version()
                    text = f"topaztack-weight-versions: {version}\n" + text
                writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
                await writer.drain()
                run["events"] = number
            writer.write(b"0\r\n\r\n")
            run["whole"] = True
            self.record(f"worker {self.name} ends {identity} after event {number}")
        finally:
            closed.cancel()
            self.running -= 1
            run["last_at"] = now()
