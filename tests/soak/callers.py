"""Callers of a run: bookings over kept connections, trainers, and readers of other people's jobs."""

import asyncio
import base64
import json
import time

from ledger import APPLY_S, REVERT_SLACK_S, SETTLE_S, Booking, Job
from web import Broken, Connection, ask_once, stream_once

DEADLINE_MS = 2000
MARGIN_S = 1.0
JOB_TIME_S = 8.0
ITEMS_EACH = 12
GROUPS = 4
MODEL = "m"


class Callers:
    def __init__(self, world, ledger, generator):
        self.world = world
        self.ledger = ledger
        self.random = generator
        self.is_over = False
        self.count = 0
        # When each VM first served a route, by process and route.
        self.served_at = {}
        self.added_at = {}

    def new_id(self, kind):
        self.count += 1
        return f"{kind}{self.ledger.seed}x{self.count}"

    async def book_for_long(self, vm):
        """One caller with one connection that it keeps as long as the VM does."""
        connection = Connection(vm.callers)
        while not self.is_over:
            if vm.takes_callers() or connection.writer is not None:
                await self.book(vm, connection, self.random.choice(["safe", "once", "route"]))
            await asyncio.sleep(self.random.uniform(0.02, 0.15))
        connection.close()

    async def book(self, vm, connection, kind):
        prefix = {"safe": "/b/", "once": "/u/"}.get(kind)
        route = None
        if kind == "route":
            if not self.world.extra_routes:
                return
            route = self.random.choice(self.world.extra_routes)
            prefix, kind = f"/{route}/", "once"
        request = self.new_id("b")
        process = (vm.name, vm.incarnation)
        booking = Booking(kind, process, time.monotonic())
        self.ledger.bookings[request] = booking
        headers = [("Topaztack-Request-Id", request), ("Topaztack-Deadline-Ms", str(DEADLINE_MS))]
        was_open = connection.writer is not None
        try:
            answer = await connection.ask("POST", prefix + "1", headers, b"chapel", DEADLINE_MS / 1000 + MARGIN_S)
        except Broken as broken:
            self.lost(vm, request, booking, was_open, broken)
            return
        self.ledger.booked(request, booking, answer)
        if route:
            self.check_route(vm, process, route, booking, answer)

    def lost(self, vm, request, booking, was_open, broken):
        self.ledger.counts[f"{booking.kind} lost"] += 1
        now = time.monotonic()
        # A new connection to a VM that has stopped accepting was never read.
        is_refused = not broken.was_sent or (not was_open and vm.is_expected_to_end)
        if not is_refused and self.ledger.is_calm(booking.sent_at, now):
            self.ledger.violate("planned work cuts nothing", f"{request} at {vm.name} lost: {broken}")

    def check_route(self, vm, process, route, booking, answer):
        added = self.added_at.get(route)
        is_missing = answer.status == 404
        if not is_missing and answer.status != 503:
            self.served_at.setdefault((process, route), time.monotonic())
        served = self.served_at.get((process, route))
        slack = REVERT_SLACK_S * (8 if self.ledger.is_disturbed({vm.name, "store"}, booking.sent_at, booking.sent_at) else 1)
        if is_missing and served and booking.sent_at > served + slack:
            self.ledger.violate("configuration never reverts", f"{vm.name} served {route}, then answered 404")
        if is_missing and added and booking.sent_at > added + APPLY_S \
                and not self.ledger.is_disturbed({vm.name, "store"}, added, booking.sent_at):
            self.ledger.violate("configuration in force", f"{vm.name} does not know {route} "
                                f"{booking.sent_at - added:.2f} s after it was accepted")

    async def stream_for_long(self):
        while not self.is_over:
            await self.stream()
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def stream(self):
        """One stream, taken up at any VM while it breaks off."""
        got, first = [], None
        for attempt in range(4):
            vm = self.any_vm()
            request = self.new_id("s")
            booking = Booking("stream", (vm.name, vm.incarnation), time.monotonic())
            self.ledger.bookings[request] = booking
            headers = [("Topaztack-Request-Id", request), ("Topaztack-Deadline-Ms", "2000"), ("Topaztack-Model", MODEL)]
            if got:
                headers += [("Last-Event-Id", str(got[-1][0])), ("Resumes", first)]
            booking.status, events, is_complete = await stream_once(vm.callers, "/s/1", headers, 2.5)
            self.ledger.counts[f"stream {booking.status}{' again' if got else ''}"] += 1
            self.ledger.streamed(request, got, events, is_complete)
            first = first or (request if events else None)
            got += events
            if is_complete:
                return
            await asyncio.sleep(0.1)
        self.ledger.counts["stream given up"] += 1

    def any_vm(self):
        able = [vm for vm in self.world.vms if vm.takes_callers()]
        return self.random.choice(able or self.world.vms)

    async def train(self, model):
        version, step, carried = 1, 0, []
        while not self.is_over:
            job_id = self.new_id("j")
            groups = carried[:GROUPS // 2]
            while len(groups) < GROUPS:
                groups.append([self.new_id("i") for _ in range(ITEMS_EACH // GROUPS)])
            carried = await self.run_step(job_id, model, step, max(1, version - 1), groups)
            version, step = version + 1, step + 1
            try:
                await self.world.name_version(model, version)
            except Broken:
                version -= 1  # the store is paused: the next step names it
            await asyncio.sleep(0.2)

    async def run_step(self, job_id, model, step, oldest, groups):
        items = [item for group in groups for item in group]
        job = Job(items, oldest)
        self.ledger.jobs[job_id] = job
        for item in items:
            self.ledger.item_jobs[item].append(job_id)
        started = time.monotonic()
        if not await self.submit(job_id, job, self.submission(job_id, model, step, oldest, groups)):
            return []
        while not self.is_over and len(job.results) < len(items) and time.monotonic() < started + JOB_TIME_S:
            await self.read(job_id, job.first_missing())
            await asyncio.sleep(0.1)
        self.ledger.counts["steps whole" if len(job.results) == len(items) else "steps late"] += 1
        done = {result["id"] for result in job.results.values()}
        if not self.is_over:
            await self.end(job_id, job)
        return [group for group in groups if not set(group) <= done]

    def submission(self, job_id, model, step, oldest, groups):
        items = [{"id": item, "path": f"/j/{item}", "body": base64.b64encode(item.encode()).decode(),
                  "group": f"{job_id}-{index}", "tokenCount": 10, "headers": {"Topaztack-Model": model}}
                 for index, group in enumerate(groups) for item in group]
        return json.dumps({"step": step, "model": model, "minVersion": oldest, "desiredCount": len(groups),
                           "items": items}).encode()

    async def submit(self, job_id, job, body):
        end = time.monotonic() + JOB_TIME_S
        while time.monotonic() < end and not self.is_over:
            try:
                answer = await ask_once(self.any_vm().callers, "POST", f"/j/{job_id}",
                                        [("Topaztack-Request-Id", job_id)], body)
                self.ledger.counts[f"submit {answer.status}"] += 1
                if answer.status == 202:
                    job.accepted_at = time.monotonic()
                    return True
                job.was_only_refused = job.was_only_refused and answer.status in (429, 503)
            except Broken as broken:
                self.ledger.counts["submit lost"] += 1
                job.was_only_refused = job.was_only_refused and not broken.was_sent
            await asyncio.sleep(0.3)
        return False

    async def read(self, job_id, position, vm=None):
        job = self.ledger.jobs[job_id]
        vm = vm or self.any_vm()
        asked_at = time.monotonic()
        try:
            answer = await ask_once(vm.callers, "GET", f"/-/lots/{job_id}?after={position}",
                                    [("Topaztack-Wait-Ms", "500")])
        except Broken:
            self.ledger.counts["read lost"] += 1
            return
        self.ledger.counts[f"read {answer.status}"] += 1
        if answer.status == 200:
            page = json.loads(answer.body)
            self.ledger.took_results(job_id, position, page)
            # Any VM has what was read a while ago.
            if not page["results"] and any(place >= position for place in job.results):
                if asked_at > max(job.read_at, default=asked_at) + SETTLE_S:
                    self.ledger.violate("no result lost", f"{vm.name} has nothing of {job_id} at {position}")
            if page["results"]:
                job.read_at.append(time.monotonic())
        elif answer.status in (404, 410) and job.accepted_at and asked_at > job.accepted_at + SETTLE_S:
            self.ledger.violate("no job lost", f"{vm.name} answers {answer.status} for {job_id}")

    async def end(self, job_id, job):
        job.end_asked = True
        for _ in range(20):
            try:
                answer = await ask_once(self.any_vm().callers, "DELETE", f"/-/lots/{job_id}")
                if answer.status == 200:
                    job.ended_at = time.monotonic()
                    return
                if answer.status == 404:
                    self.ledger.violate("no job lost", f"404 for the end of {job_id}")
            except Broken:
                self.ledger.counts["end lost"] += 1
            await asyncio.sleep(0.3)

    async def look_around(self):
        """Reads any job from any position at any VM, and bodies of items not listed."""
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.05, 0.2))
            accepted = [job_id for job_id, job in self.ledger.jobs.items() if job.accepted_at]
            if not accepted:
                continue
            job_id = self.random.choice(accepted[-6:])
            job = self.ledger.jobs[job_id]
            await self.read(job_id, self.random.randrange(len(job.items)))
            if self.random.random() < 0.3:
                await self.read_body(job_id, job)

    async def read_body(self, job_id, job):
        listed = {result["id"] for result in job.results.values()}
        left = sorted(job.items - listed)
        if not left or job.end_asked:
            return
        item = self.random.choice(left)
        asked_at = time.monotonic()
        try:
            answer = await ask_once(self.any_vm().callers, "GET", f"/-/items/{job_id}?id={item}")
        except Broken:
            return
        if answer.status == 200 and answer.body != item.encode():
            self.ledger.violate("bodies", f"{item} came back as {answer.body[:60]!r}")
        if answer.status == 404 and asked_at > job.accepted_at + SETTLE_S:
            self.ledger.violate("bodies", f"404 for {item} of {job_id}")

    async def check_at_the_end(self):
        """After the faults every accepted job that was not ended is whole, and reads the same everywhere."""
        for job_id, job in self.ledger.jobs.items():
            if not job.accepted_at:
                continue
            end = time.monotonic() + 20.0
            while not job.end_asked and len(job.results) < len(job.items) and time.monotonic() < end:
                await self.read(job_id, job.first_missing())
                await asyncio.sleep(0.1)
            if not job.end_asked and len(job.results) < len(job.items):
                self.ledger.violate("no result lost", f"{job_id} has {len(job.results)} of {len(job.items)} at the end")
            for vm in self.world.vms:
                await self.read(job_id, 0, vm)
