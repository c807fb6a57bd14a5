"""Runs topaztack's processes on loopback, for the examples and the functional tests."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import time

SOURCE = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("TOPAZTACK_BIN", SOURCE / "build" / "release" / "bin"))
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 40.0


def free_ports(count):
    """Ports that were free a moment ago, outside the range that outgoing connections draw from."""
    ports = []
    candidate = 20000 + (os.getpid() * 37) % 10000
    while len(ports) < count:
        candidate = 20000 + (candidate - 20000 + 1) % 12000
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", candidate))
                udp.bind(("127.0.0.1", candidate))
            except OSError:
                continue
            ports.append(candidate)
    return ports


class Answer:
    """An HTTP answer read to its end."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("topaztack-outcome")

    def json(self):
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout=30.0):
    """One HTTP call to a port of loopback."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.getheaders(), response.read())
    finally:
        connection.close()


def wait_until(condition, timeout=START_TIMEOUT_S, what="condition"):
    """Waits until a condition holds; a refused connection counts as not yet."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"{what} did not hold within {timeout} s")


def thread_states(pid):
    """The states of a process's threads, as in /proc/PID/task/TID/stat."""
    stats = pathlib.Path(f"/proc/{pid}/task").glob("*/stat")
    return {stat.read_text().rsplit(")", 1)[1].split()[0] for stat in stats}


class Cluster:
    """Processes started here, with one log each; `pids` lists them as `name pid`."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.processes = {}

    def start(self, name, program, *arguments):
        log = open(self.directory / f"{name}.log", "ab")
        command = [str(BIN / program), *map(str, arguments)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                start_new_session=True)
        log.close()
        self.write_pids()

    def write_pids(self):
        lines = [f"{name} {process.pid}\n" for name, process in self.processes.items()]
        (self.directory / "pids").write_text("".join(lines))

    def signal(self, name, number):
        """Sends a signal; after SIGSTOP every thread stands still when this returns."""
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGSTOP:
            wait_until(lambda: thread_states(process.pid) == {"T"}, what=f"{name} stopped")

    def kill(self, name):
        """Ends a process at once, as a VM's loss does."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name):
        """Ends a process gracefully; returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name in list(self.processes):
            self.stop(name)


def vm_settings(name, data_centre, callers, operators, peers, platform, others=(), threads=2, region="default", extra=""):
    """The settings file of one VM; `others` are (name, data centre, peers' port)."""
    text = f"""[vm {name}]
data_centre = {data_centre}
region = {region}
callers = 127.0.0.1:{callers}
operators = 127.0.0.1:{operators}
peers = 127.0.0.1:{peers}
threads = {threads}
{extra}
[platform]
address = 127.0.0.1:{platform}
"""
    for other, other_data_centre, port in others:
        text += f"\n[peer {other}]\ndata_centre = {other_data_centre}\naddress = 127.0.0.1:{port}\n"
    return text
