"""LOST: a machine that took a job over after a failed hand-over never takes it over again."""

import asyncio
import base64
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from case import main  # noqa: E402
from standins import HOST, ZONES, CannotRun, Closed, Engine, ask, now, with_trouble  # noqa: E402

MODEL = "daka510000"
ENGINES = 4
GROUPS, SIZE = 6, 2
# A run takes 12 s: longer than the machines are away one after the other.
EVENTS = 120
EVENT_S = 0.1
DARK_S = 3.5
FROZEN_S = 4.0
# The trainer gives the step up this long after the last disruption. A run takes 12 s.
PATIENCE_S = 30.0
STABLE_S = 3.0
AT_NO_WORKER_S = 5.0

CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "rollout", "hostname": HOST, "prefix": "/rollout/", "type": "rollout", "timeoutMs": 10000,
                "targetLatencyMs": 400, "maxAttempts": 3, "priority": 1, "service": "lm-rollout",
                "retentionS": 100.0, "runTargetMs": 30000}],
    "services": [{"name": "lm-rollout", "healthPath": "/healthz", "maxConnections": 160,
                  "engine": {"slots": 12, "kvCapacity": 45276, "models": [{"name": MODEL}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}}


class Step:
    def __init__(self, number, events, machines, record):
        self.identity, self.events, self.record = f"7c41e09b52d6{number:04d}", events, record
        self.machines = machines
        self.items = [f"e5b2{number:02d}{group:02d}{item:02d}14da" for group in range(GROUPS) for item in range(SIZE)]
        self.results = {}

    def body(self):
        return json.dumps({"step": 0, "model": MODEL, "minVersion": 1, "desiredCount": GROUPS, "items": [
            {"id": item, "path": f"/rollout/{self.events}", "group": f"g{index // SIZE}", "tokenCount": 16 + self.events,
             "headers": {"Topaztack-Model": MODEL, "Topaztack-Token-Usage": f"16,{self.events}"},
             "body": base64.b64encode(b"prompt").decode()} for index, item in enumerate(self.items)]}).encode()

    async def submit(self, machine):
        headers = [("Topaztack-Request-Id", self.identity), ("Content-Type", "application/json"),
                   ("Topaztack-Deadline-Ms", "4000")]
        answer = await ask(machine.frontend, "POST", f"/rollout/{self.identity[:6]}", headers, self.body(), 5.0)
        self.record(f"trainer submits {self.identity} to {machine.name}: {answer.status}")
        if answer.status != 202:
            raise CannotRun("the job was not accepted")

    async def read(self):
        """One read at a machine that runs; clients read about twice a second."""
        for machine in self.machines:
            if not machine.is_running() or machine.is_frozen:
                continue
            try:
                answer = await ask(machine.frontend, "GET", f"/-/lots/{self.identity}?after={len(self.results)}",
                                   timeout=2.5)
            except (Closed, OSError, TimeoutError):
                continue
            if answer.status != 200:
                self.record(f"read at {machine.name}: {answer.status}")
                continue
            for result in json.loads(answer.body)["results"]:
                self.results[len(self.results)] = result
                self.record(f"{machine.name} lists {result['id']} {result['state']}")
            return

    def is_complete(self):
        return len(self.results) == len(self.items)

    async def finish(self, longest):
        end = now() + longest
        while not self.is_complete() and now() < end:
            await self.read()
            await asyncio.sleep(0.5)


def owner_of(store, step):
    for (table, _, key), (_, raw) in store.rows.items():
        if table == "job-heads" and key == step.identity and raw is not None:
            return json.loads(raw)["owner"]
    return None


async def play(deployment, record):
    engines = [Engine(deployment.store, "lm-rollout", ZONES[index % 3], record, slots=12, model=MODEL,
                      event_s=EVENT_S, load_s=0.9) for index in range(ENGINES)]
    await deployment.start(2, CONFIGURATION, engines)
    for machine in deployment.machines:
        machine.is_frozen = False
    # The next job of a trainer goes to the machine that ran its last one.
    first = Step(1, 3, deployment.machines, record)
    await first.submit(deployment.machines[0])
    await first.finish(15.0)
    ran = owner_of(deployment.store, first)
    gone = next(machine for machine in deployment.machines if machine.name == ran)
    stays = next(machine for machine in deployment.machines if machine.name != ran)
    record(f"{gone.name} ran the first job")

    step = Step(2, EVENTS, deployment.machines, record)
    if with_trouble():
        gone.signal(signal.SIGKILL)
        gone.process.wait()
        await asyncio.sleep(0.2)
    await step.submit(stays)
    await asyncio.sleep(DARK_S)
    if with_trouble():
        gone.start()
        await asyncio.sleep(STABLE_S)
        record(f"owner: {owner_of(deployment.store, step)}")
        stays.signal(signal.SIGSTOP)
        stays.is_frozen = True
        await asyncio.sleep(FROZEN_S)
        stays.signal(signal.SIGCONT)
        stays.is_frozen = False
        await asyncio.sleep(STABLE_S)
        record(f"owner: {owner_of(deployment.store, step)}")
        gone.signal(signal.SIGKILL)
        gone.process.wait()
        record(f"{gone.name} is removed for good")
    calm_at = now() + STABLE_S
    await step.finish(PATIENCE_S)
    record(f"{len(step.results)} of {len(step.items)} results; owner: {owner_of(deployment.store, step)}")
    return lost_items(step, engines, calm_at, record)


def lost_items(step, engines, calm_at, record):
    """Items that no worker has finished, and that were at no worker for 5 s of steady state when time ran out."""
    if step.is_complete():
        return 0
    lost = 0
    for item in step.items:
        runs = [engine.runs[item] for engine in engines if item in engine.runs]
        if any(run["whole"] for run in runs):
            continue
        last = max([run["last_at"] for run in runs], default=0.0)
        idle = now() - max(last, calm_at)
        record(f"{item}: at no worker for {idle:.1f} s of steady state")
        lost += idle >= AT_NO_WORKER_S
    return lost


main(HERE, play)
