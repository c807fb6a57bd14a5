"""What happens to a run: planned work, and troubles injected from outside the processes."""

import asyncio
import signal
import time

from web import Broken

LONGEST_HEAL_S = 1.0


class Faults:
    def __init__(self, world, callers, ledger, generator):
        self.world = world
        self.callers = callers
        self.ledger = ledger
        self.random = generator

    def planned(self):
        return [self.vm_term, self.vm_hup, self.config_change, self.config_storm, self.worker_drain]

    def unplanned(self):
        return [self.vm_kill, self.vm_pause, self.store_pause, self.store_refuses, self.store_loses_answers,
                self.store_late, self.vm_cut_one_way, self.vm_cut, self.vms_turned_away, self.worker_kill,
                self.worker_pause, self.worker_resets, self.worker_cut_one_way, self.worker_late, self.worker_silent,
                self.all_killed]

    async def run(self, kinds, until):
        """Starts troubles in series that overlap; done when the last one has ended."""
        running = set()
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            self.ledger.counts[f"fault {kind.__name__}"] += 1
            running.add(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.2, 1.6))
            if len(running) >= 4:
                _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        for task in running:
            await task

    def some_time(self, longest=3.5):
        return self.random.uniform(0.2, longest)

    def free_vm(self):
        able = [vm for vm in self.world.vms if vm.takes_callers()]
        return self.random.choice(able) if able else None

    def is_free(self, worker):
        return worker.process and worker.state == "ready" and not worker.announces

    def free_worker(self):
        return self.random.choice([worker for worker in self.world.workers if self.is_free(worker)])

    # Planned work

    async def vm_term(self):
        vm = self.free_vm()
        if vm is None or sum(each.takes_callers() for each in self.world.vms) < 3:
            return
        vm.is_expected_to_end = True
        if not await self.world.end(vm.process):
            self.ledger.violate("processes", f"{vm.name} did not stop in time")
        self.world.start_vm(vm)

    async def vm_hup(self):
        vm = self.free_vm()
        if vm:
            vm.process.send_signal(signal.SIGHUP)

    async def config_change(self):
        try:
            route = await self.world.add_route()
            self.callers.added_at[route] = time.monotonic()
        except Broken:  # the store is paused
            self.ledger.counts["configuration not taken"] += 1

    async def config_storm(self):
        for _ in range(5):
            await self.config_change()
            await asyncio.sleep(0.05)

    async def worker_drain(self):
        """A worker leaves as planned, and a new one takes its place under a new id."""
        worker = self.free_worker()
        if sum(each.pool == worker.pool and bool(self.is_free(each)) for each in self.world.workers) < 3:
            return
        worker.state = "draining"
        try:
            await self.world.put_row("servers", worker.name, self.world.record(worker))
        except Broken:  # the store is paused: the worker goes on as it was
            self.ledger.counts["drain not taken"] += 1
            worker.state = "ready"
            return
        self.ledger.draining_since[worker.name] = time.monotonic()
        await asyncio.sleep(4.0)
        await self.world.end(worker.process)
        old, worker.name = worker.name, worker.name + "n"
        try:
            await self.world.put_row("servers", old, None)
        except Broken:
            self.ledger.counts["removal not taken"] += 1
        self.world.start_worker(worker)

    async def announce_departures(self, until, generator):
        """Workers announce their departure in their answers alone, leave, and come back under a new id."""
        while time.monotonic() < until:
            await asyncio.sleep(generator.uniform(1.0, 3.0))
            free = [worker for worker in self.world.workers if self.is_free(worker)]
            able = [worker for worker in free if sum(each.pool == worker.pool for each in free) >= 3]
            if able:
                await self.worker_announces(generator.choice(able))

    async def worker_announces(self, worker):
        self.ledger.counts["fault worker_announces"] += 1
        worker.announces = True
        worker.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(5.0)
        # To a VM that had no answer of it this looks like a crash.
        self.ledger.disturb(worker.name, time.monotonic() + 1.0)
        await self.world.end(worker.process)
        old, worker.name = worker.name, worker.name + "a"
        try:
            await self.world.put_row("servers", old, None)
        except Broken:
            self.ledger.counts["removal not taken"] += 1
        worker.announces = False
        self.world.start_worker(worker)

    async def name_limits(self, until, generator):
        """Plain workers name a limit for a while, one after the other."""
        while time.monotonic() < until:
            await asyncio.sleep(generator.uniform(0.5, 2.0))
            free = [worker for worker in self.world.workers if worker.pool == "app" and self.is_free(worker)]
            if len(free) >= 2:
                worker = generator.choice(free)
                # The worker may be replaced meanwhile, and then has another name and names no limit.
                name, process, since = worker.name, worker.process, time.monotonic()
                self.ledger.counts["fault worker_limits"] += 1
                process.send_signal(signal.SIGUSR2)
                await asyncio.sleep(8.0)
                if process.poll() is None:
                    process.send_signal(signal.SIGUSR2)
                self.ledger.limits.append((name, since, time.monotonic()))

    # Troubles of VMs

    async def vm_kill(self):
        vm = self.free_vm()
        if vm is None:
            return
        self.ledger.disturb(vm.name, time.monotonic() + 1.0)
        vm.is_expected_to_end = True
        vm.process.kill()
        vm.process.wait()
        await asyncio.sleep(self.some_time(2.5))
        self.world.start_vm(vm)

    async def all_killed(self):
        if self.random.random() < 0.5:
            return
        able = [vm for vm in self.world.vms if vm.takes_callers()]
        for vm in able:
            self.ledger.disturb(vm.name, time.monotonic() + 1.5)
            vm.is_expected_to_end = True
            vm.process.kill()
            vm.process.wait()
        await asyncio.sleep(0.5)
        for vm in able:
            self.world.start_vm(vm)

    async def vm_pause(self):
        vm = self.free_vm()
        if vm:
            length = self.some_time()
            self.ledger.disturb(vm.name, time.monotonic() + length)
            await self.pause(vm.process, length)

    async def pause(self, process, length):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def on_link(self, link, subjects, length, **modes):
        for subject in subjects:
            self.ledger.disturb(subject, time.monotonic() + length)
        for name, value in modes.items():
            setattr(link, name, value)
        await asyncio.sleep(length)
        link.heal()

    async def vm_cut(self):
        vm = self.free_vm()
        if vm:
            await self.on_link(vm.store_link, [vm.name], self.some_time(), silent={"up", "down"})

    async def vm_cut_one_way(self):
        vm = self.free_vm()
        if vm:
            await self.on_link(vm.store_link, [vm.name], self.some_time(), silent={self.random.choice(["up", "down"])})

    async def vms_turned_away(self):
        able = [vm for vm in self.world.vms if vm.takes_callers()]
        away = self.random.sample(able, len(able) // 2)
        length = self.some_time()
        for vm in away:
            vm.store_link.reset_all()
        await asyncio.gather(*(self.on_link(vm.store_link, [vm.name], length, is_refusing=True) for vm in away))

    # Troubles of the store

    async def store_pause(self):
        length = self.some_time(2.5)
        self.ledger.disturb("store", time.monotonic() + length)
        await self.pause(self.world.store, length)

    async def on_store_links(self, length, **modes):
        self.ledger.disturb("store", time.monotonic() + length)
        await asyncio.gather(*(self.on_link(vm.store_link, [], length, **modes) for vm in self.world.vms))

    async def store_refuses(self):
        for vm in self.world.vms:
            vm.store_link.reset_all()
        await self.on_store_links(self.some_time(), is_refusing=True)

    async def store_loses_answers(self):
        await self.on_store_links(self.some_time(), lost_answers=0.3)

    async def store_late(self):
        await self.on_store_links(self.some_time(), delay_s=self.random.choice([0.1, 0.5, 1.6]))

    # Troubles of workers

    async def worker_kill(self):
        """It comes back under its id, with the weights it had and no memory of orders."""
        worker = self.free_worker()
        self.ledger.disturb(worker.name, time.monotonic() + 1.0)
        process, worker.process = worker.process, None
        process.kill()
        process.wait()
        worker.link.reset_all()
        await asyncio.sleep(self.some_time(2.0))
        self.world.start_worker(worker)

    async def worker_pause(self):
        worker = self.free_worker()
        length = self.some_time()
        self.ledger.disturb(worker.name, time.monotonic() + length)
        await self.pause(worker.process, length)

    async def worker_resets(self):
        worker = self.free_worker()
        self.ledger.disturb(worker.name, time.monotonic() + 0.2)
        worker.link.reset_all()

    async def worker_cut_one_way(self):
        worker = self.free_worker()
        await self.on_link(worker.link, [worker.name], self.some_time(), silent={self.random.choice(["up", "down"])})

    async def worker_silent(self):
        worker = self.free_worker()
        await self.on_link(worker.link, [worker.name], self.some_time(), silent={"up", "down"})

    async def worker_late(self):
        worker = self.free_worker()
        await self.on_link(worker.link, [worker.name], self.some_time(), delay_s=self.random.choice([0.05, 0.4, 1.2]))
