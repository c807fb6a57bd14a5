"""Callers that don't behave, and what a process holds while they are connected."""

import base64
import itertools
import json
import pathlib
import selectors
import signal
import socket
import threading
import time

from support import Cluster, call, free_ports, wait_until

SAMPLE_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 20
PIECE = 64 * 1024


class Sender:
    """One caller: sends its bytes as far as they are taken, then stays connected. It reads only if `reads` is set."""

    def __init__(self, data, total=None, reads=True):
        # `data` is sent again and again until `total` bytes were sent.
        self.head, self.data = data if isinstance(data, tuple) else (data, b"")
        self.total = total if total is not None else len(self.head)
        self.sent = 0
        self.reads = reads
        self.answer = b""
        self.is_closed = False

    def next_piece(self, size):
        if self.sent < len(self.head):
            return self.head[self.sent:self.sent + size]
        place = (self.sent - len(self.head)) % len(self.data)
        return self.data[place:place + min(size, self.total - self.sent)]


class Crowd:
    """Drives many senders from one thread; ends when each has sent its bytes, was closed, or is no longer read from."""

    def __init__(self, port, senders, piece=PIECE, receive_buffer=None):
        self.selector = selectors.DefaultSelector()
        self.senders = senders
        self.piece = piece
        self.sockets = []
        for sender in senders:
            connection = socket.socket()
            if receive_buffer:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            connection.settimeout(CONNECT_TIMEOUT_S)
            try:
                connection.connect(("127.0.0.1", port))
            except OSError:
                sender.is_closed = True
                connection.close()
                continue
            connection.setblocking(False)
            self.sockets.append(connection)
            self.selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE, sender)

    def drop(self, connection, sender):
        sender.is_closed = True
        self.selector.unregister(connection)
        connection.close()

    def step(self, connection, sender, events):
        """@return whether anything moved."""
        if events & selectors.EVENT_READ and sender.reads:
            piece = connection.recv(PIECE)
            if not piece:
                self.drop(connection, sender)
                return True
            sender.answer += piece[:4096]
        if events & selectors.EVENT_WRITE and sender.sent < sender.total:
            sender.sent += connection.send(sender.next_piece(self.piece))
            return True
        if sender.sent >= sender.total:
            self.selector.modify(connection, selectors.EVENT_READ, sender)
        return False

    def run(self, quiet=1.0, longest=60.0):
        """Sends until nothing has moved for `quiet` seconds."""
        end = time.monotonic() + longest
        moved = time.monotonic()
        while time.monotonic() < min(end, moved + quiet) and self.selector.get_map():
            for key, events in self.selector.select(0.05):
                try:
                    if self.step(key.fileobj, key.data, events):
                        moved = time.monotonic()
                except BlockingIOError:
                    pass
                except OSError:
                    self.drop(key.fileobj, key.data)

    def close(self):
        for connection in self.sockets:
            connection.close()
        self.selector.close()

    def statuses(self):
        """The statuses of the first answers of callers that got one."""
        return [int(sender.answer.split(b" ")[1]) for sender in self.senders if sender.answer.startswith(b"HTTP/1.1 ")]


def unread_bytes(ports, servers):
    """Bytes that the kernel has received for connections of these local ports, or to servers at these, and that no process
    has read."""
    unread = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(fields[place].split(":")[1], 16) for place in (1, 2))
        if (local in ports or remote in servers) and fields[3] != "0A":  # not the listening socket
            unread += int(fields[4].split(":")[1], 16)
    return unread


class Watch:
    """Samples a process's resident memory, the bytes that it has not read yet, and its open descriptors."""

    def __init__(self, pid, ports, servers=()):
        self.pid = pid
        self.ports = set(ports)
        self.servers = set(servers)
        self.most_memory = 0
        self.most_descriptors = 0
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.sample_all, daemon=True)
        self.thread.start()

    def sample_all(self):
        while not self.is_stopped.is_set():
            try:
                self.sample()
            except (FileNotFoundError, ProcessLookupError):
                return
            self.is_stopped.wait(SAMPLE_INTERVAL_S)

    def status(self, name):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024
        return 0

    def sample(self):
        held = self.status("VmRSS") + unread_bytes(self.ports, self.servers)
        self.most_memory = max(self.most_memory, held)
        descriptors = len(list(pathlib.Path(f"/proc/{self.pid}/fd").iterdir()))
        self.most_descriptors = max(self.most_descriptors, descriptors)

    def stop(self):
        """Also counts the highest resident memory between two samples."""
        self.is_stopped.set()
        self.thread.join()
        try:
            self.most_memory = max(self.most_memory, self.status("VmHWM"))
        except FileNotFoundError:
            pass


class SilentServer:
    """A backend server that takes each request whole and answers none."""

    def __init__(self, port, reads=True):
        self.reads = reads
        self.listener = socket.create_server(("127.0.0.1", port), backlog=1024)
        self.connections = []
        self.selector = selectors.DefaultSelector()
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.taken = 0
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        while not self.is_stopped.is_set():
            for key, _ in self.selector.select(0.05):
                if key.fileobj is self.listener:
                    connection, _ = self.listener.accept()
                    self.connections.append(connection)
                    connection.setblocking(False)
                    if self.reads:
                        self.selector.register(connection, selectors.EVENT_READ)
                    continue
                try:
                    taken = len(key.fileobj.recv(1 << 20))
                except OSError:
                    taken = 0
                self.taken += taken
                if taken == 0:
                    self.selector.unregister(key.fileobj)
                    key.fileobj.close()

    def stop(self):
        self.is_stopped.set()
        self.thread.join()
        for connection in [*self.connections, self.listener]:
            connection.close()


class LargeAnswers:
    """A backend server whose answers are all of one size."""

    def __init__(self, port, size):
        self.size = size
        self.listener = socket.create_server(("127.0.0.1", port), backlog=1024)
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        try:
            while True:
                request = b""
                while b"\r\n\r\n" not in request:
                    piece = connection.recv(PIECE)
                    if not piece:
                        return
                    request += piece
                name = next(line.split(b":", 1)[1].strip() for line in request.split(b"\r\n")
                            if line.lower().startswith(b"topaztack-request-id:"))
                self.send(connection, b"HTTP/1.1 200 OK\r\nTopaztack-Request-Id: " + name
                          + b"\r\nTopaztack-Server-Stamp: s\r\n")
        except OSError:
            pass

    def send(self, connection, first):
        connection.sendall(first + f"Content-Length: {self.size}\r\n\r\n".encode() + b"x" * self.size)

    def stop(self):
        for connection in [*self.connections, self.listener]:
            connection.close()


class EndlessStreams(LargeAnswers):
    """A backend server whose answers are streams without end; `size` is that of an event."""

    def __init__(self, port, size):
        super().__init__(port, size)
        self.sent = 0

    def send(self, connection, first):
        connection.sendall(first + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in itertools.count(1):
            event = f"id: {number}\ndata: ".encode() + b"x" * self.size + b"\n\n"
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.sent += 1

    def wait_until_stalled(self):
        """Until no stream takes another event."""
        seen = -1
        while self.sent != seen:
            seen = self.sent
            time.sleep(1)


class GatewayWorld:
    """A store, one gateway, and servers of the pools `app` (answers), `mute` (never answers) and `bulk` (large answers,
    or streams)."""

    def __init__(self, directory, limits, vm_lines="", vm_name="vm-0"):
        self.cluster = Cluster(directory)
        self.store, self.worker, self.mute, self.bulk, self.callers, self.operators, self.peers = free_ports(7)
        self.cluster.start("store", "soak-standin", "store", "--listen", self.store)
        self.cluster.start("worker", "soak-standin", "worker", "--listen", self.worker, "--name", "i-app", "--log",
                           self.cluster.directory / "runs")
        wait_until(lambda: self.put("op", "config", self.configuration(limits)), what="store alive")
        for pool, port in (("app", self.worker), ("mute", self.mute), ("bulk", self.bulk)):
            self.put("servers", f"i-{pool}", {
                "service": pool, "address": f"127.0.0.1:{port}", "zone": "z0", "version": "v1", "slots": 4000,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1, "models": []})
        settings = self.cluster.directory / "vm.ini"
        settings.write_text(f"""[vm {vm_name}]
data_centre = z0
callers = 127.0.0.1:{self.callers}
operators = 127.0.0.1:{self.operators}
peers = 127.0.0.1:{self.peers}
threads = 1
{vm_lines}
[platform]
address = 127.0.0.1:{self.store}
timeout = 1500ms

[gateway]
shutdown_time = 8s
""")
        self.cluster.start("vm", "topaztackd", "--settings", settings)
        wait_until(lambda: call(self.operators, "GET", "/-/readyz").status == 200, what="VM ready")
        wait_until(lambda: self.ask().status == 200, what="server known")

    def put(self, table, key, value):
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}
        body = {"expected": [], "puts": [row], "remove": []}
        return call(self.store, "POST", "/-/rows-tx", body).status == 200

    @staticmethod
    def configuration(limits):
        def route(name, prefix, kind, pool):
            return {"name": name, "hostname": "a.example", "prefix": prefix, "type": kind, "timeoutMs": 60000,
                    "targetLatencyMs": 30000, "service": pool, "maxAttempts": 1, "retentionS": 60.0, "runTargetMs": 30000}

        return {"version": 1, "limits": limits,
                "routes": [route("app", "/app/", "safe", "app"), route("mute", "/mute/", "unsafe", "mute"),
                           route("bulk", "/bulk/", "safe", "bulk"), route("jobs", "/jobs/", "rollout", "mute"),
                           route("streams", "/streams/", "streaming", "bulk")],
                "services": [{"name": "app"}, {"name": "bulk"}, {"name": "mute"}]}

    @property
    def pid(self):
        return self.cluster.processes["vm"].pid

    def is_alive(self):
        return self.cluster.processes["vm"].poll() is None

    def ask(self, body="x" * 1000, path="/app/ordinary"):
        return call(self.callers, "POST", path, body, {
            "Host": "a.example", "Topaztack-Request-Id": f"q{time.monotonic_ns():x}", "Topaztack-Deadline-Ms": "20000"})

    def runs(self):
        """What the server of `app` began to run."""
        file = self.cluster.directory / "runs"
        return file.read_text() if file.exists() else ""

    def stop(self):
        self.cluster.signal("store", signal.SIGCONT)
        for name in list(self.cluster.processes):
            self.cluster.kill(name)


def head(path, request_id, *fields):
    lines = [f"POST {path} HTTP/1.1", "Host: a.example", f"Topaztack-Request-Id: {request_id}",
             "Topaztack-Deadline-Ms: 60000", *fields, "", ""]
    return "\r\n".join(lines).encode()
