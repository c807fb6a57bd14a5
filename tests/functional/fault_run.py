#!/usr/bin/env python3
"""The long fault run: `topaztack-bench play` while VMs are killed and frozen and answers are lost. Not part of CI.

Prints the summary of the play, the faults that struck, and ends with the play's exit code.
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import time

from support import ServiceTestCase, call

from loopback import BIN

SERVICE_FAULTS = ["drop-before", "drop-after", "drop-answering"]


class FaultRun(ServiceTestCase):
    vm_count = 5
    engine_count = 4
    service_count = 3
    engine_options = ("--token-time-us", "200")

    def runTest(self):
        """The cluster's owner; not a test."""

    def spread_lost_answers(self, share):
        for index, port in enumerate(self.services):
            faults = {"fault": SERVICE_FAULTS[index % len(SERVICE_FAULTS)], "probability": share, "seed": 7 + index}
            assert call(port, "POST", "/standin/faults", faults).status == 200
        faults = {"lose_answer_probability": share, "seed": 11}
        assert call(self.platform, "POST", "/standin/faults", faults).status == 200

    def heal(self):
        for port in self.services:
            call(port, "POST", "/standin/faults", {"fault": "none", "probability": 0})
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 0, "outage": "none"})

    def strike(self, chance, struck):
        index = chance.randrange(self.vm_count)
        kind = chance.choice(["kill", "kill", "freeze", "outage"])
        struck[kind] = struck.get(kind, 0) + 1
        if kind == "kill":
            self.cluster.kill(f"vm-{index}")
            time.sleep(0.3)
            self.start_vm(index)
        elif kind == "freeze":
            self.cluster.signal(f"vm-{index}", signal.SIGSTOP)
            time.sleep(1.0)
            self.cluster.signal(f"vm-{index}", signal.SIGCONT)
        else:
            call(self.platform, "POST", "/standin/faults", {"outage": "drop"})
            time.sleep(0.7)
            call(self.platform, "POST", "/standin/faults", {"outage": "none"})

    def play(self, options):
        addresses = lambda ports: ",".join(f"127.0.0.1:{port}" for port in ports)  # noqa: E731
        command = [BIN / "topaztack-bench", "play", "--vms", addresses(self.callers), "--services",
                   addresses(self.services), "--service-pool", "app", "--engine-pool", "lm", "--trainer", "t1",
                   "--requests", options.requests, "--seconds", options.seconds, "--seed", options.seed,
                   "--bookers", 16, "--completers", 4, "--settle-seconds", options.settle, "--json", options.json]
        return subprocess.Popen(list(map(str, command)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--seconds", type=int, default=240, help="longest time of the load")
    parser.add_argument("--settle", type=int, default=30)
    parser.add_argument("--seed", type=int, default=20261203)
    parser.add_argument("--share", type=float, default=0.02, help="share of answers that are lost")
    parser.add_argument("--json", default="build/fault-run.json")
    options = parser.parse_args()
    run = FaultRun()
    run.setUp()
    struck = {}
    try:
        run.spread_lost_answers(options.share)
        chance = random.Random(options.seed)
        play = run.play(options)
        end = time.monotonic() + options.seconds
        while play.poll() is None and time.monotonic() < end:
            time.sleep(1.0)
            if play.poll() is None:
                run.strike(chance, struck)
        run.heal()
        code = play.wait()
        print("faults:", json.dumps(struck))
        return code
    finally:
        run.doCleanups()


if __name__ == "__main__":
    sys.exit(main())
