#!/usr/bin/env python3
"""Measures what control costs an idle VM at several sizes. Not part of CI.

Run in a network namespace of its own, so that loopback's counters hold this cluster's bytes alone:
    unshare -n sh -c 'ip link set lo up && python3 -B tests/functional/control_cost.py'
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time

from support import ServiceTestCase, call, wait_until

from loopback import BIN

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_TIMEOUT_S = 60.0


class IdleCluster(ServiceTestCase):
    engine_count = 1
    service_count = 1
    trainer_count = 1

    def runTest(self):
        """The cluster's owner; not a test."""

    def document(self):
        more = [f"[trainer t{index}]\npool = lm\n{self.trainer_lines}\n" for index in range(2, self.trainer_count + 1)]
        return super().document() + "\n" + "\n".join(more)

    def vm_pids(self):
        return [process.pid for name, process in self.cluster.processes.items() if name.startswith("vm-")]

    def known_members(self, index):
        return len(call(self.operators[index], "GET", "/debug/state").json().get("members", []))


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def sent_bytes():
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[8])
    return 0


def sent_datagrams():
    lines = [line.split() for line in pathlib.Path("/proc/net/snmp").read_text().splitlines() if line.startswith("Udp:")]
    return int(lines[1][lines[0].index("OutDatagrams")])


def seconds_to_in_force(cluster):
    """From the acceptance of a new document until every VM has it in force."""
    begin = time.monotonic()
    cluster.accept(cluster.document().replace("drain_time = 10s", "drain_time = 11s"), base=1)
    return time.monotonic() - begin


def seconds_to_detect(cluster):
    """From the kill of vm-3 until vm-0, of the same data centre, believes it dead; nothing if there are too few."""
    if cluster.vm_count < 4:
        return None
    cluster.cluster.kill("vm-3")
    begin = time.monotonic()

    def is_dead():
        members = call(cluster.operators[0], "GET", "/debug/state").json()["members"]
        return any(member["vm"] == "vm-3" and member["state"] == "dead" for member in members)

    wait_until(is_dead, SETTLE_TIMEOUT_S, "vm-3 believed dead")
    return round(time.monotonic() - begin, 2)


def platform_calls(cluster):
    counts = call(cluster.platform, "GET", "/standin/counts").json()
    return {name: counts.get(name, 0) for name in ("reads", "writes")}


def measure(count, seconds, trainers, engines):
    cluster = IdleCluster()
    cluster.vm_count = count
    cluster.trainer_count = trainers
    cluster.engine_count = engines
    cluster.setUp()
    try:
        wait_until(lambda: all(cluster.known_members(index) == count for index in range(count)), SETTLE_TIMEOUT_S,
                   "every VM knows every other")
        time.sleep(2.0)
        pids = cluster.vm_pids()
        calls = platform_calls(cluster)
        before = [processor_seconds(pid) for pid in pids]
        bytes_before, datagrams_before, begin = sent_bytes(), sent_datagrams(), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - begin
        after = [processor_seconds(pid) for pid in pids]
        bytes_after, datagrams_after = sent_bytes(), sent_datagrams()
        calls_after = platform_calls(cluster)
        used = [(last - first) / elapsed for first, last in zip(before, after)]
        resident = [resident_megabytes(pid) for pid in pids]
        return {
            "vms": count,
            "trainers": trainers,
            "engines": engines,
            "core_percent_mean": round(100 * sum(used) / count, 3),
            "core_percent_max": round(100 * max(used), 3),
            "resident_mb_mean": round(sum(resident) / count, 1),
            "resident_mb_max": round(max(resident), 1),
            "bytes_sent_per_vm_s": round((bytes_after - bytes_before) / elapsed / count),
            "datagrams_per_vm_s": round((datagrams_after - datagrams_before) / elapsed / count, 2),
            "platform_reads_s": round((calls_after["reads"] - calls["reads"]) / elapsed, 2),
            "platform_writes_s": round((calls_after["writes"] - calls["writes"]) / elapsed, 2),
            "seconds_to_in_force": round(seconds_to_in_force(cluster), 2),
            "seconds_to_detect": seconds_to_detect(cluster),
        }
    finally:
        cluster.doCleanups()


def measure_load(seconds, bookers, completers):
    """Processor time of three VMs for each answer of `topaztack-bench play`."""
    cluster = IdleCluster()
    cluster.engine_count = 4
    cluster.engine_options = ("--token-time-us", "100")
    cluster.setUp()
    try:
        pids = cluster.vm_pids()
        before = sum(processor_seconds(pid) for pid in pids)
        figures = cluster.cluster.directory / "play.json"
        vms = ",".join(f"127.0.0.1:{port}" for port in cluster.callers)
        command = [BIN / "topaztack-bench", "play", "--vms", vms, "--services", f"127.0.0.1:{cluster.services[0]}",
                   "--service-pool", "app", "--engine-pool", "lm", "--trainer", "t1", "--seconds", seconds, "--bookers",
                   bookers, "--completers", completers, "--groups", 1, "--samples", 1, "--json", figures]
        code = subprocess.run(list(map(str, command)), check=False, stdout=subprocess.DEVNULL).returncode
        used = sum(processor_seconds(pid) for pid in pids) - before
        requests = json.loads(figures.read_text())["requests"]
        return {"bookers": bookers, "completers": completers, "play_exit_code": code, "requests": requests,
                "vm_microseconds_per_request": round(1e6 * used / max(requests, 1), 1),
                "resident_mb_max": round(max(resident_megabytes(pid) for pid in pids), 1)}
    finally:
        cluster.doCleanups()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="3,11,25,50", help="numbers of VMs, one after the other")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of each measurement")
    parser.add_argument("--trainers", type=int, default=1, help="trainers of the document")
    parser.add_argument("--engines", type=int, default=1, help="engines of the document")
    parser.add_argument("--load", action="store_true", help="measure a request's processor time instead")
    options = parser.parse_args()
    if options.load:
        for bookers, completers in ((8, 0), (0, 8)):
            print(json.dumps(measure_load(int(options.seconds), bookers, completers)), flush=True)
        return 0
    for size in options.sizes.split(","):
        print(json.dumps(measure(int(size), options.seconds, options.trainers, options.engines)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
