"""Requests that crash the backend servers that run them, through real daemons."""

import unittest

from support import ServiceTestCase, call


class DeadlyRequest(ServiceTestCase):
    vm_count = 1
    engine_count = 1
    service_count = 8

    def get(self, path):
        return call(self.callers[0], "GET", f"/v1/services/app/{path}")

    def alive(self):
        return [index for index, port in enumerate(self.services) if self.is_alive(port)]

    def is_alive(self, port):
        try:
            return call(port, "GET", "/standin/runs").status == 200
        except OSError:
            return False

    def test_it_is_rejected_at_once_while_others_are_served(self):
        """One request took every server of its pool, four with each attempt of its caller."""
        for port in self.services:
            call(port, "POST", "/standin/faults", {"fault": "die-during", "probability": 1})
        answers = [self.get("chapels/deadly") for _ in range(6)]
        alive = self.alive()
        self.assertGreaterEqual(len(alive), 3)
        self.assertEqual(answers[-1].status, 503)
        self.assertEqual(answers[-1].outcome, "not-run")
        self.assertIn("request-held", answers[-1].body if isinstance(answers[-1].body, str) else answers[-1].body.decode())
        for index in alive:
            call(self.services[index], "POST", "/standin/faults", {"fault": "none"})
        self.assertEqual(self.get("chapels/sound").status, 200)


if __name__ == "__main__":
    unittest.main()
