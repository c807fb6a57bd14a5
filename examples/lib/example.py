"""The main job on loopback: stand-ins, three VMs, a mixed load, a summary."""

import argparse
import dataclasses
import pathlib
import signal
import subprocess
import sys

from loopback import BIN, SOURCE, Cluster, call, vm_settings, wait_until

PLATFORM = 1
CALLERS = 101
OPERATORS = 201
PEERS = 251
ENGINES = 301
SERVICES = 401


@dataclasses.dataclass
class Example:
    """One user's example. Ports are `base` + the offsets above."""

    directory: pathlib.Path
    base: int
    data_centres: list
    engines: int
    services: int
    engine_pool: str
    service_pool: str
    trainer: str


def start_all(example, cluster):
    base = example.base
    cluster.start("platform", "topaztack-standin", "platform", "--listen", f"127.0.0.1:{base + PLATFORM}")
    for index in range(example.engines):
        cluster.start(f"engine-{index + 1}", "topaztack-standin", "engine", "--listen",
                      f"127.0.0.1:{base + ENGINES + index}")
    for index in range(example.services):
        cluster.start(f"service-{index + 1}", "topaztack-standin", "service", "--listen",
                      f"127.0.0.1:{base + SERVICES + index}")
    vms = [(f"vm-{name}", name, base + PEERS + index) for index, name in enumerate(example.data_centres)]
    for index, (name, data_centre, peers) in enumerate(vms):
        others = [vm for vm in vms if vm[0] != name]
        settings = cluster.directory / f"{name}.ini"
        settings.write_text(vm_settings(name, data_centre, base + CALLERS + index, base + OPERATORS + index, peers,
                                        base + PLATFORM, others))
        cluster.start(name, "topaztackd", "--settings", settings)
    for index in range(len(vms)):
        wait_until(lambda port=base + OPERATORS + index: call(port, "GET", "/healthz").status == 200,
                   what=f"VM {index + 1} alive")


def accept_document(example):
    document = example.directory / "rollout.ini"
    subprocess.run([BIN / "topaztack", "accept", document, "--base", "0", "--node",
                    f"127.0.0.1:{example.base + OPERATORS}"], check=True)
    for index in range(len(example.data_centres)):
        wait_until(lambda port=example.base + OPERATORS + index: call(port, "GET", "/readyz").status == 200,
                   what=f"document in force at VM {index + 1}")


def play(example, seconds):
    callers = ",".join(f"127.0.0.1:{example.base + CALLERS + index}" for index in range(len(example.data_centres)))
    services = ",".join(f"127.0.0.1:{example.base + SERVICES + index}" for index in range(example.services))
    command = [BIN / "topaztack-bench", "play", "--vms", callers, "--services", services, "--service-pool",
               example.service_pool, "--engine-pool", example.engine_pool, "--trainer", example.trainer,
               "--seconds", str(seconds)]
    return subprocess.run(command, check=False).returncode


def run(example):
    parser = argparse.ArgumentParser(description=f"Runs {example.directory.name} on loopback and plays a mixed load.")
    parser.add_argument("--dir", default=str(SOURCE / "run" / example.directory.name), help="logs, pids and settings go here")
    parser.add_argument("--seconds", type=int, default=10, help="how long to play the load")
    parser.add_argument("--serve", action="store_true", help="go on serving until Ctrl-C")
    options = parser.parse_args()
    cluster = Cluster(options.dir)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        start_all(example, cluster)
        accept_document(example)
        code = play(example, options.seconds)
        if options.serve and code == 0:
            print(f"serving; callers at 127.0.0.1:{example.base + CALLERS}, Ctrl-C stops", flush=True)
            signal.pause()
        return code
    except KeyboardInterrupt:
        return 0
    finally:
        cluster.stop_all()
