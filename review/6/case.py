"""Half of the engines spoil one answer in fifty for five seconds: a few bytes of one event are wrong."""

import asyncio
import base64
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from world import Broken, Worker, World, ask, main, now, route  # noqa: E402

ENGINES = 4
GARBLING = 2
# Of `garble`: the share of the answers that are spoiled, and for how long.
SPOILED_SHARE = 0.02
GARBLE_S = 5.0
# Of the sheet: a job of 52 groups of 4, due after 7.5 s; the bench gives it 10 s more at the end.
GROUPS = 52
GROUP_SIZE = 4
DUE_S = 7.5
FINISH_S = 10.0
EVENT_BYTES = 340


class Engine(Worker):
    spoils = False
    answers = 0
    spoiled = None

    async def generate(self, target, headers, writer):
        self.answers += 1
        each = round(1 / SPOILED_SHARE)
        if self.spoils and self.answers % each == each // 2:
            self.spoiled = headers["topaztack-request-id"]
            self.log("spoils a few bytes of event 5 of", self.spoiled)
        return await super().generate(target, headers, writer)

    def event(self, request, number):
        data = (f"{request}-{number} " * EVENT_BYTES)[:EVENT_BYTES].encode()
        if request == self.spoiled and number == 5:
            self.spoiled = None
            place = EVENT_BYTES // 2
            data = data[:place] + bytes(random.Random(request).randrange(128, 256) for _ in range(4)) + data[place + 4:]
        return f"id: {number}\ndata: ".encode() + data + b"\n\n"


def submission():
    items = []
    for number in range(GROUPS * GROUP_SIZE):
        items.append({"id": f"item{number}", "path": f"/j/{number}", "body": base64.b64encode(b"prompt").decode(),
                      "group": f"group{number // GROUP_SIZE}", "tokenCount": 300,
                      "headers": {"Topaztack-Model": "m", "Topaztack-Token-Usage": "271,29"}})
    return json.dumps({"step": 0, "model": "m", "minVersion": 1, "desiredCount": round(GROUPS * 0.9),
                       "items": items}).encode()


async def read_from_start(vm, record):
    """The ids of all results that a VM hands out from position 0 on."""
    listed = []
    while len(listed) < GROUPS * GROUP_SIZE:
        try:
            answer = await ask(vm.callers, "GET", f"/-/lots/job1?after={len(listed)}")
        except Broken as broken:
            record.line(vm.name, "read after", len(listed), broken)
            break
        record.line(vm.name, "read after", len(listed), answer.status, answer.body[:160] if answer.status != 200 else "")
        results = json.loads(answer.body)["results"] if answer.status == 200 else []
        if not results:
            break
        listed += [result["id"] for result in results]
    return listed


async def play(here, trouble):
    async with World(here) as world:
        engines = [Engine(world, f"i-{index}", "lm", slots=12, models=["m"]) for index in range(ENGINES)]
        world.configure([route("jobs", "/j/", "rollout", "lm", timeoutMs=10000, targetLatencyMs=400, retentionS=40.0,
                               runTargetMs=7500, singleVersion=False, resumable=True)],
                        [{"name": "lm", "healthPath": "/healthz", "maxConnections": 160,
                          "engine": {"slots": 12, "kvCapacity": 45276, "models": [{"name": "m"}]}}])
        await world.start(engines)
        for engine in engines[:GARBLING]:
            engine.spoils = trouble
        garbled_until = now() + GARBLE_S
        answer = await ask(world.vms[0].callers, "POST", "/j/job1", [("Topaztack-Request-Id", "job1")], submission())
        world.record.line("job1 submitted:", answer.status)
        if answer.status != 202:
            raise RuntimeError("the job was not accepted")
        due = now() + DUE_S + FINISH_S
        await asyncio.sleep(garbled_until - now())
        for engine in engines:
            engine.spoils = False
        world.record.line("no engine spoils answers any more")
        await asyncio.sleep(due - now())
        for vm in world.vms:
            listed = await read_from_start(vm, world.record)
            world.record.line(vm.name, "has", len(listed), "of", GROUPS * GROUP_SIZE, "results")
            if len(listed) < GROUPS * GROUP_SIZE:
                return f"LOST: {vm.name} hands out {len(listed)} of the {GROUPS * GROUP_SIZE} results of an accepted job"
        return None


main(play, pathlib.Path(__file__).parent)
