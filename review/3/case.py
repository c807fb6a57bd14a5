"""LOST: a machine that gets SIGTERM takes requests that it does not finish, and ends 1.5 s before its time is up."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from case import main  # noqa: E402
from standins import BOUNDS, HOST, ZONES, Closed, Connection, PlainWorker, now, with_trouble  # noqa: E402

CLIENTS = 12
THINK_S = 0.8
SHORT_WORK_MS = 60
# When the long request of a client is sent, in seconds after the SIGTERM, and how long a worker works on it.
LONG_AT_S = 3.15
LONG_WORK_MS = [3500 + 80 * client for client in range(CLIENTS)]
DEADLINE_MS = 12000
TIMEOUT_MS = 10000
GRACE_S = BOUNDS["graceS"]

CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "booking", "hostname": HOST, "prefix": "/booking/", "type": "unsafe", "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2, "service": "booking-app"}],
    "services": [{"name": "booking-app", "healthPath": "/healthz", "maxConnections": 110}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}}


class Request:
    def __init__(self, identity, sent_at):
        self.identity, self.sent_at = identity, sent_at
        self.status, self.ended_at, self.problem = None, None, None


class Client:
    """A sound client: it keeps its connection for many requests, until an answer says `Connection: close`."""

    def __init__(self, number, machines, record):
        self.number, self.machines, self.record = number, machines, record
        self.connection = Connection(machines[0].frontend)
        self.is_first_machine = True
        self.sent = 0

    async def request(self, work_ms):
        self.sent += 1
        identity = f"{self.number:02d}{self.sent:04d}b7e2"
        headers = [("Topaztack-Request-Id", identity), ("Topaztack-Deadline-Ms", str(DEADLINE_MS))]
        request = Request(identity, None)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await self.connection.send("POST", f"/booking/{work_ms}", headers, b"chapel 2, nine o clock")
                request.sent_at = now()
                self.record(f"client {self.number} sends {identity}, work {work_ms} ms, "
                            f"to {self.machines[0 if self.is_first_machine else 1].name}")
                answer = await self.connection.receive()
            request.status = answer.status
            if answer.headers.get("connection", "").lower() == "close":
                self.leave()
        except (Closed, OSError, TimeoutError) as problem:
            request.problem = repr(problem)
            self.connection.close()
        request.ended_at = now()
        self.record(f"client {self.number} {identity}: {request.status or request.problem}")
        return request

    def leave(self):
        """The balancer sends new connections to another machine."""
        self.connection.close()
        self.connection = Connection(self.machines[1].frontend)
        self.is_first_machine = False

    async def run(self, stop_at):
        """Short requests with pauses, then a long one. Returns the long one, if it went to the first machine."""
        long_at = stop_at + LONG_AT_S
        # The requests lie so that the last pause, too, is THINK_S.
        step = THINK_S + SHORT_WORK_MS / 1000
        at = long_at - step * int((long_at - now()) / step)
        while at < long_at - step / 2:
            await asyncio.sleep(max(0.0, at - now()))
            await self.request(SHORT_WORK_MS)
            at += step
        await asyncio.sleep(max(0.0, long_at - now()))
        is_first_machine = self.is_first_machine
        request = await self.request(LONG_WORK_MS[self.number])
        self.connection.close()
        return request if is_first_machine else None


async def play(deployment, record):
    workers = [PlainWorker(deployment.store, "booking-app", zone, record, slots=6) for zone in ZONES]
    await deployment.start(3, CONFIGURATION, workers)
    machine = deployment.machines[0]
    stop_at = now() + 4.0
    clients = [Client(number, deployment.machines, record) for number in range(CLIENTS)]
    running = [asyncio.create_task(client.run(stop_at)) for client in clients]
    await asyncio.sleep(stop_at - now())
    if with_trouble():
        machine.signal(signal.SIGTERM)
    while now() < stop_at + GRACE_S:
        if not machine.is_running() and with_trouble():
            record(f"machine {machine.name} ended {now() - stop_at:.3f} s after the SIGTERM")
            break
        await asyncio.sleep(0.01)
    if machine.is_running() and with_trouble():
        machine.signal(signal.SIGKILL)
    requests = [request for request in await asyncio.gather(*running) if request]
    record(f"{len(requests)} long requests at {machine.name}")
    return sum(is_lost(request, workers, stop_at, record) for request in requests)


def is_lost(request, workers, stop_at, record):
    """The rule, with its excuses."""
    runs = [worker.runs[request.identity] for worker in workers if request.identity in worker.runs]
    if request.status is not None or not runs:
        return False
    # In its last sixth of the time to stop, had the worker still been at work on a request sent in the first 3 s?
    is_excused = request.sent_at - stop_at <= 3.0 and any(
        began < stop_at + GRACE_S and ended > stop_at + GRACE_S * 5 / 6 for began, ended, _ in runs)
    is_over = request.ended_at - request.sent_at >= min(DEADLINE_MS, TIMEOUT_MS) / 1000
    is_planned = request.ended_at <= stop_at + GRACE_S + 1.0
    is_broken = is_planned and not is_excused and not is_over and with_trouble()
    record(f"{request.identity} sent {request.sent_at - stop_at:.3f} s after the SIGTERM, "
           f"closed without an answer after {request.ended_at - stop_at:.3f} s: {'LOST' if is_broken else 'excused'}")
    return is_broken


main(HERE, play)
