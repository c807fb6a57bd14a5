"""How a case runs: its exit code, its temporary folder, and the end of all processes that it started."""

import asyncio
import os
import pathlib
import resource
import signal
import tempfile
import traceback

from standins import ZONES, CannotRun, Machine, Record, Store, until

LONGEST_S = 115


class Deployment:
    """The platform's store and the machines of a small deployment."""

    def __init__(self, folder, record, max_fds):
        self.folder, self.record, self.max_fds = folder, record, max_fds
        self.store = Store()
        self.machines, self.workers = [], []

    async def start(self, count, configuration, workers):
        await self.store.start()
        await self.store.put("op", "config", configuration)
        self.workers = workers
        for worker in workers:
            await worker.start()
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            self.machines.append(Machine(f"edge-{zone}-{index + 1}", zone, self.store.port, self.folder, self.record))
        for machine in self.machines:
            machine.max_fds = self.max_fds
            machine.start()
        for machine in self.machines:
            await until(machine.is_ready, machine.name)
        # Until every machine knows the others.
        await asyncio.sleep(4.0)

    def stop(self):
        for machine in self.machines:
            machine.end()
        for worker in self.workers:
            worker.stop()
        self.store.server.stop()


def main(folder, play, max_fds=None):
    """Runs `play(deployment, record)`, which returns how often the rule was broken."""
    # The stand-ins hold both ends of many connections.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    enough = 16384 if most == resource.RLIM_INFINITY else min(most, 16384)
    resource.setrlimit(resource.RLIMIT_NOFILE, (enough, most))
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory(prefix="topaztack-review-") as temporary:
            deployment = Deployment(pathlib.Path(temporary), record, max_fds)
            code = 2
            try:
                async with asyncio.timeout(LONGEST_S):
                    broken = await play(deployment, record)
                verdict = f"rule broken {broken} times" if broken else "rule held"
                code = 1 if broken else 0
            except (CannotRun, OSError, TimeoutError) as problem:
                verdict = f"could not run: {problem!r}"
            except Exception:
                verdict = f"could not run: {traceback.format_exc()}"
            finally:
                deployment.stop()
        record(verdict)
        print(verdict, flush=True)
        # The tasks of the stand-ins are not waited for.
        os._exit(code)

    def interrupt(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    asyncio.run(run())
