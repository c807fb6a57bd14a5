"""Graceful shutdown under load: no request that a VM took is cut off, on new and on kept connections."""

import http.client
import json
import signal
import socket
import threading
import time
import unittest

from support import ServiceTestCase, call, wait_until

CALLERS_AT_ONCE = 12


class SteadyCaller(threading.Thread):
    """Sends one request after the other, on a kept connection or a new one each, until connections are refused."""

    def __init__(self, port, keeps, request):
        super().__init__(daemon=True)
        self.port = port
        self.keeps = keeps
        self.request = request
        self.answers = []
        self.cut_off = []

    def run(self):
        connection = None
        while True:
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=30)
                try:
                    connection.connect()
                except ConnectionRefusedError:
                    return
            try:
                method, path, body = self.request
                connection.request(method, path, body, {} if self.keeps else {"Connection": "close"})
                response = connection.getresponse()
                text = response.read().decode()
                self.answers.append((response.status, response.getheader("Topaztack-Outcome"), text))
            except (OSError, http.client.HTTPException) as failure:
                self.cut_off.append(repr(failure))
                connection.close()
                connection = None
                continue
            if response.will_close:
                connection.close()
                connection = None


class Shutdown(ServiceTestCase):
    engine_options = ("--token-time-us", "2000")

    def run_under_load(self, requests):
        crowd = [SteadyCaller(self.callers[0], bool(index % 2), requests[index % len(requests)])
                 for index in range(CALLERS_AT_ONCE)]
        for caller in crowd:
            caller.start()
        wait_until(lambda: all(len(caller.answers) >= 5 for caller in crowd), what="a steady load")
        self.cluster.signal("vm-0", signal.SIGTERM)
        for caller in crowd:
            caller.join(30)
            self.assertFalse(caller.is_alive(), "connections were still taken 30 s after SIGTERM")
        self.assertEqual(self.cluster.processes["vm-0"].wait(30), 0)
        self.assertEqual([failure for caller in crowd for failure in caller.cut_off], [])
        return [answer for caller in crowd for answer in caller.answers]

    def test_bookings_in_flight_are_answered(self):
        answers = self.run_under_load([("POST", "/v1/services/app/bookings", "wake"),
                                       ("GET", "/v1/services/app/bookings", None)])
        outcomes = {(status, outcome) for status, outcome, _ in answers}
        self.assertLessEqual(outcomes, {(200, "ran"), (503, "not-run")})
        ran = sum(1 for _, outcome, _ in answers if outcome == "ran")
        self.assertEqual(ran, sum(call(port, "GET", "/standin/runs").json()["total"] for port in self.services))

    def test_streams_in_flight_come_to_their_end(self):
        body = json.dumps({"model": "lm", "prompt": "p", "max_tokens": 40, "stream": True})
        answers = self.run_under_load([("POST", "/v1/completions", body)])
        for status, outcome, text in answers:
            self.assertIn((status, outcome), [(200, "ran"), (503, "not-run")])
            if outcome == "ran":
                self.assertTrue(text.rstrip().endswith("data: [DONE]"), text[-300:])


class EndOfDrain(ServiceTestCase):
    """Requests that outlive `drain_time` get an answer; those that come too late for it are not passed on."""

    vm_count = 1
    limits_lines = "drain_time = 4s\n"

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.callers[0]), timeout=20)
        self.addCleanup(connection.close)
        return connection

    def test_late_bookings_are_refused_and_long_ones_answered(self):
        for port in self.services:
            call(port, "POST", "/standin/faults", {"delay_ms": 6000})
        total_runs = lambda: sum(call(port, "GET", "/standin/runs").json()["total"] for port in self.services)  # noqa: E731
        head = b"POST /v1/services/app/bookings HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
        running, late = self.connect(), self.connect()
        late.sendall(head)
        running.sendall(head + b"\r\n")
        wait_until(lambda: total_runs() == 1, what="a booking under way")
        stopped_at = time.monotonic()
        self.cluster.signal("vm-0", signal.SIGTERM)
        time.sleep(3.2 - (time.monotonic() - stopped_at))
        late.sendall(b"\r\n")
        answers = {}
        for name, connection in (("late", late), ("running", running)):
            response = http.client.HTTPResponse(connection)
            response.begin()
            answers[name] = (response.status, response.getheader("Topaztack-Outcome"))
            response.read()
        self.assertEqual(answers, {"late": (503, "not-run"), "running": (502, "unknown")})
        self.assertEqual(total_runs(), 1)
        self.assertEqual(self.cluster.processes["vm-0"].wait(10), 0)


if __name__ == "__main__":
    unittest.main()
