"""An audit of outcomes: tickets and own keys sent to any VM while answers are lost and a VM is killed.

Afterwards the services' own counts are held against what callers were told. TOPAZTACK_AUDIT_REQUESTS sets the number
of requests.
"""

import collections
import http.client
import json
import os
import random
import threading
import unittest

from support import ServiceTestCase, call, wait_until

REQUESTS = int(os.environ.get("TOPAZTACK_AUDIT_REQUESTS", "3000"))
THREADS = 8
MOST_REPEATS = 4
OWN_KEY_SHARE = 0.1
REPEAT_AFTER_ANSWER_SHARE = 0.1
SEED = 20261203


class Caller(threading.Thread):
    """Sends requests, each until its outcome is settled or repeats are used up."""

    def __init__(self, ports, count, seed):
        super().__init__()
        self.ports = ports
        self.count = count
        self.random = random.Random(seed)
        self.name_of_keys = f"own-{seed}"
        self.links = {}
        self.tickets = []
        self.told = {}

    def send(self, port, method, path, body=None, headers=None):
        link = self.links.setdefault(port, http.client.HTTPConnection("127.0.0.1", port, timeout=20))
        try:
            link.request(method, path, body=body, headers=headers or {})
            response = link.getresponse()
            return response, response.read()
        except (OSError, http.client.HTTPException):
            link.close()
            return None, b""

    def key(self, number):
        if self.random.random() < OWN_KEY_SHARE:
            return f"{self.name_of_keys}-{number}"
        while not self.tickets:
            response, body = self.send(self.random.choice(self.ports), "POST", "/v1/tickets?n=20")
            if response is not None and response.status == 200:
                self.tickets = json.loads(body)["tickets"]
        return self.tickets.pop()

    def ask(self, key):
        response, body = self.send(self.random.choice(self.ports), "POST", "/v1/services/app/bookings",
                                   f"body of {key}", {"Idempotency-Key": key})
        if response is None:
            return ("unknown", "ask-again", b"")
        return (response.getheader("Topaztack-Outcome"), response.getheader("Topaztack-Settling"), body)

    def run(self):
        for number in range(self.count):
            key = self.key(number)
            answers = [self.ask(key)]
            while answers[-1][:2] == ("unknown", "ask-again") and len(answers) < MOST_REPEATS:
                answers.append(self.ask(key))
            if answers[-1][0] == "ran" and self.random.random() < REPEAT_AFTER_ANSWER_SHARE:
                answers.append(self.ask(key))
            self.told[key] = answers
        for link in self.links.values():
            link.close()


class Audit(ServiceTestCase):
    engine_count = 1
    vm_count = 3
    limits_lines = "drain_time = 10s\ncaller_in_flight = 1000\n"

    def fault(self, port, **faults):
        self.assertEqual(call(port, "POST", "/standin/faults", faults).status, 200)

    def total(self, name):
        """A counter's sum over the VMs that were not killed."""
        lines = [line for port in self.operators[1:]
                 for line in call(port, "GET", "/metrics").body.decode().splitlines()]
        return int(sum(float(line.split()[-1]) for line in lines if line.startswith(name + " ")))

    def disturb(self, stop):
        """Kills and restarts one VM until told to stop."""
        while not stop.wait(1.0):
            self.cluster.kill("vm-0")
            self.start_vm(0)

    def play(self):
        self.fault(self.services[0], fault="drop-after", probability=0.05, seed=1)
        self.fault(self.services[1], fault="drop-before", probability=0.05, seed=2)
        self.fault(self.platform, lose_answer_probability=0.05)
        callers = [Caller(self.callers, REQUESTS // THREADS, SEED + number) for number in range(THREADS)]
        stop = threading.Event()
        disturber = threading.Thread(target=self.disturb, args=(stop,))
        disturber.start()
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        stop.set()
        disturber.join()
        return {key: answers for caller in callers for key, answers in caller.told.items()}

    def test_outcomes_told_agree_with_what_ran(self):
        told = self.play()
        runs = collections.Counter()
        for key, _, count in self.runs():
            runs[key] += count
        doubles = [key for key in told if runs[key] > 1]
        losses = [key for key, answers in told.items()
                  if any(outcome == "ran" for outcome, _, _ in answers) and runs[key] == 0]
        false_not_run = [key for key, answers in told.items() if answers[-1][0] == "not-run" and runs[key] > 0]
        changed = [key for key, answers in told.items()
                   if len({body for outcome, _, body in answers if outcome == "ran"}) > 1]
        outcomes = collections.Counter(answers[-1][0] for answers in told.values())
        print(f"\nrequests {len(told)}, outcomes {dict(outcomes)}, doubles {len(doubles)}, losses {len(losses)}, "
              f"false not-run {len(false_not_run)}, changed answers {len(changed)}; "
              f"claims {self.total('topaztack_claims_total')} in "
              f"{self.total('topaztack_claim_commits_total')} commits")
        self.assertEqual((doubles, losses, false_not_run, changed), ([], [], [], []))
        self.assertGreater(outcomes["ran"], len(told) // 2)


if __name__ == "__main__":
    unittest.main()
