"""What callers and workers saw, and the promises that it must keep."""

import collections
import pathlib
import re
import time

ORDER_LEASE_S = 3.0
DRAIN_S = 2.0
CANCEL_S = 3.0
SETTLE_S = 1.0
APPLY_S = 2.0
REVERT_SLACK_S = 0.25
REFUSALS = {408, 421, 429, 503}
# A VM or worker counts as undisturbed if nothing unplanned has happened to it, the store or its links for this long.
STABLE_S = 3.0
# What workers name as their limit, and the time over which it is judged.
NAMED_LIMIT = 3
LIMIT_WINDOW_S = 4.0


class Booking:
    def __init__(self, kind, process, sent_at):
        self.kind = kind
        # Name of the VM and number of its start.
        self.process = process
        self.vm = process[0]
        self.sent_at = sent_at
        self.status = None


class Job:
    def __init__(self, items, oldest_version):
        self.items = set(items)
        self.oldest_version = oldest_version
        self.accepted_at = None
        self.was_only_refused = True
        self.end_asked = False
        self.ended_at = None
        self.results = {}
        # When each read that brought results ended.
        self.read_at = []

    def first_missing(self):
        return next(place for place in range(len(self.items) + 1) if place not in self.results)


class Ledger:
    def __init__(self, seed, events):
        self.seed = seed
        self.events = events
        self.violations = []
        self.counts = collections.Counter()
        self.bookings = {}
        self.jobs = {}
        self.item_jobs = collections.defaultdict(list)
        self.disturbances = []
        self.draining_since = {}
        # When a process of a VM first passed on an answer in which a worker announced its departure.
        self.announced = {}
        self.logs = {}
        self.lines_read = collections.Counter()
        self.runs = collections.defaultdict(list)
        self.orders = collections.defaultdict(list)
        # Workers that named a limit, since when and until when.
        self.limits = []

    def violate(self, promise, what):
        self.violations.append(f"{promise}: {what}")
        print(f"seed {self.seed}: VIOLATION {promise}: {what}", flush=True)

    def disturb(self, subject, until):
        """`subject` is a VM, a worker, or `store`; planned work is not noted here."""
        self.disturbances.append((subject, time.monotonic(), until))

    def is_disturbed(self, subjects, since, until):
        return any(subject in subjects and start - 0.1 <= until and end + STABLE_S >= since
                   for subject, start, end in self.disturbances)

    def is_calm(self, since, until):
        return not any(start - 0.1 <= until and end + STABLE_S >= since for _, start, end in self.disturbances)

    def booked(self, request, booking, answer):
        booking.status = answer.status
        self.counts[f"{booking.kind} {answer.status}"] += 1
        if answer.status == 200 and not answer.body.startswith(request.encode() + b" served by "):
            self.violate("own whole answer", f"{request} got {answer.body[:80]!r}")
        if answer.status == 200 and "server-leaving" in answer.headers:
            worker = answer.body.decode().rpartition(" ")[2]
            self.announced.setdefault((booking.process, worker), time.monotonic())
        if answer.status == 200 and "topaztack-server-stamp" not in answer.headers:
            self.violate("own whole answer", f"{request} got a success without its worker's mark")

    def software(self, worker):
        """Of two engines one has newer software; a worker keeps the number in its name over restarts."""
        return "v2" if int(re.search(r"(\d+)[an]*$", worker).group(1)) % 2 else "v1"

    def check_software(self, what, texts):
        made = {self.software(text.split("@")[2]) for text in texts}
        if len(made) > 1:
            self.violate("one software version", f"{what} was made by {sorted(made)}")

    def streamed(self, request, before, events, is_complete):
        start = before[-1][0] if before else 0
        if [number for number, _ in events] != list(range(start + 1, start + 1 + len(events))):
            self.violate("streams", f"{request} went on after {start} with {[number for number, _ in events]}")
        if any(not data.startswith(f"{request}-{number}@") for number, data in events):
            self.violate("streams", f"{request} has events of another request: {events}")
        if is_complete and start + len(events) != self.events:
            self.violate("streams", f"{request} ended as complete after {start + len(events)} of {self.events} events")
        self.check_software(request, [data for _, data in before + events])

    def check_limits(self):
        """What a worker gets while it names a limit, where nothing was disturbed."""
        for worker, since, until in self.limits:
            others = {subject for subject, _, _ in self.disturbances if subject.startswith("vm")}
            if self.is_disturbed({worker, "store", *others}, since, until):
                continue
            self.counts["limits checked"] += 1
            times = sorted(at for runs in self.runs.values() for name, at in runs if name == worker)
            counted = [at for at in times if since + STABLE_S <= at <= until]
            allowed = 1.5 * NAMED_LIMIT * LIMIT_WINDOW_S + 5
            for start in counted:
                got = sum(start <= at < start + LIMIT_WINDOW_S for at in counted)
                if got > allowed:
                    self.violate("limits", f"{worker} named {NAMED_LIMIT} a second and got {got} in {LIMIT_WINDOW_S} s")
                    break

    def took_results(self, job_id, position, page):
        job = self.jobs[job_id]
        if page["total"] != len(job.items):
            self.violate("results", f"{job_id} has total {page['total']}, submitted {len(job.items)}")
        for offset, result in enumerate(page["results"]):
            place = position + offset
            known = job.results.get(place)
            if known is None:
                self.check_result(job_id, job, place, result)
            elif known != result:
                self.violate("results", f"{job_id} at {place} was {known['id']}, is {result['id']} or has other content")

    def check_result(self, job_id, job, place, result):
        if result["id"] not in job.items:
            self.violate("results", f"{job_id} lists {result['id']} of another job")
        if any(known["id"] == result["id"] for known in job.results.values()):
            self.violate("results", f"{job_id} lists {result['id']} twice")
        job.results[place] = result
        self.counts[result["state"]] += 1
        if result["state"] != "completed":
            if not job.end_asked:
                self.violate("results", f"{job_id} lists {result['id']} as {result['state']}")
            return
        lines = result["output"].split("\n")
        names = [line.partition("@")[0] for line in lines]
        if names != [f"{result['id']}-{event}" for event in range(1, self.events + 1)]:
            self.violate("whole text", f"{result['id']} has {names}")
        made = {int(line.split("@")[1]) for line in lines}
        self.check_software(result["id"], lines)
        if made != set(result["versions"]):
            self.violate("honest labels", f"{result['id']} is labelled {result['versions']}, made by {sorted(made)}")
        if min(made) < job.oldest_version:
            self.violate("fresh samples", f"{result['id']} made by {sorted(made)}, allowed from {job.oldest_version}")

    def read_logs(self):
        """Takes in what workers have logged since the last time."""
        for worker, path in self.logs.items():
            lines = pathlib.Path(path).read_text().splitlines() if pathlib.Path(path).exists() else []
            for line in lines[self.lines_read[worker]:]:
                at, kind, *rest = line.split()
                at = int(at) / 1000.0
                if kind == "run":
                    self.ran(worker, rest[0], at)
                else:
                    self.ordered(worker, rest, at)
            self.lines_read[worker] = len(lines)

    def ran(self, worker, request, at):
        self.runs[request].append((worker, at))
        booking = self.bookings.get(request)
        if booking is None and request not in self.item_jobs:
            self.violate("unasked", f"{worker} ran {request}, which nobody sent")
            return
        if booking and booking.kind == "once" and len(self.runs[request]) > 1:
            self.violate("at most once", f"{request} ran at {self.runs[request]}")
        since = self.draining_since.get(worker)
        subjects = {"store", worker, booking.vm if booking else None}
        if booking and since and at > since + DRAIN_S and not self.is_disturbed(subjects, since, at):
            self.violate("drain", f"{request} reached {worker} {at - since:.2f} s after it was draining")
        announced = self.announced.get((booking.process, worker)) if booking else None
        if announced and booking.sent_at > announced + DRAIN_S and not self.is_disturbed({booking.vm}, announced, at):
            self.violate("drain", f"{request} reached {worker} {at - announced:.2f} s after {booking.vm} was told")
        for job_id in self.item_jobs.get(request, ()):
            self.check_cancelled(request, at, self.jobs[job_id])

    def check_cancelled(self, request, at, job):
        others = [self.jobs[other] for other in self.item_jobs[request] if self.jobs[other] is not job]
        is_wanted = any(other.ended_at is None or at < other.ended_at + CANCEL_S for other in others)
        if job.ended_at and at > job.ended_at + CANCEL_S and not is_wanted and self.is_calm(job.ended_at, at):
            self.violate("cancel", f"{request} began {at - job.ended_at:.2f} s after the end of its job")

    def ordered(self, worker, rest, at):
        holder, fence = rest[0], int(rest[1])
        self.counts["orders"] += 1
        for other_holder, other_fence, other_at in self.orders[worker]:
            is_late = self.is_disturbed({worker, holder, other_holder}, other_at, at)
            if other_fence == fence and other_holder != holder:
                self.violate("one holder", f"{worker}: {holder} and {other_holder} order under {fence}")
            if other_fence > fence and not is_late:
                self.violate("one holder", f"{worker}: {fence} by {holder} after {other_fence} by {other_holder}")
            if other_holder != holder and at - other_at < ORDER_LEASE_S and not is_late:
                self.violate("one holder", f"{worker}: {holder} {at - other_at:.2f} s after {other_holder}")
        self.orders[worker].append((holder, fence, at))

    def check_refusals(self):
        """What was refused as not run must not have run, at any time."""
        for request, booking in self.bookings.items():
            if booking.status in REFUSALS and request in self.runs:
                self.violate("true refusals", f"{request} was answered {booking.status} and ran at {self.runs[request]}")
            if booking.status == 200 and request not in self.runs:
                self.violate("own whole answer", f"{request} was answered 200 and never ran")
        for job_id, job in self.jobs.items():
            if job.accepted_at is None and job.was_only_refused:
                ran = [item for item in job.items if item in self.runs and self.item_jobs[item] == [job_id]]
                if ran:
                    self.violate("true refusals", f"{job_id} was refused each time and {ran[0]} ran")
