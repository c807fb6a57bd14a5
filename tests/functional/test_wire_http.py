"""Hostile, broken and slow callers: a precise 4xx or a closed connection, and nothing smuggled behind."""

import http.client
import json
import socket
import unittest

from support import ServiceTestCase, call, free_ports, wait_until

PATH = "/v1/services/app/bookings"
SMUGGLED = f"POST {PATH}/smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


class HttpCallers(ServiceTestCase):
    vm_count = 1
    engine_count = 1
    service_count = 1
    engine_options = ("--token-time-us", "200")
    limits_lines = "drain_time = 10s\ncaller_idle = 1s\nmax_body = 64KiB\n"

    def raw(self, data, timeout=20):
        """Sends bytes and reads until the VM closes the connection."""
        with socket.create_connection(("127.0.0.1", self.callers[0]), timeout=timeout) as connection:
            connection.sendall(data if isinstance(data, bytes) else data.encode("latin-1"))
            answer = b""
            try:
                while piece := connection.recv(65536):
                    answer += piece
            except ConnectionResetError:
                pass
            return answer.decode("latin-1")

    def service_runs(self):
        return call(self.services[0], "GET", "/standin/runs").json()["total"]

    def assert_refused(self, data, *statuses):
        answer = self.raw(data)
        if answer:
            self.assertIn(answer.split(" ")[1], statuses or ("400",), (data, answer))
            self.assertIn("Topaztack-Outcome: not-run", answer)
        self.assertLessEqual(answer.count("HTTP/1.1 "), 1, (data, answer))

    def test_ambiguous_requests_are_refused_and_nothing_is_smuggled(self):
        head = f"POST {PATH} HTTP/1.1\r\nHost: a\r\n"
        for data in (
            head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head + "Content-Length: 0\r\nContent-Length: 70\r\n\r\n" + SMUGGLED,
            head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
            head + "Content-Length: 0, 70\r\n\r\n" + SMUGGLED,
            head + "Content-Length: +0\r\n\r\n" + SMUGGLED,
            head + "Content-Length: 0x0\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: xchunked\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head + "A: b\r\n Content-Length: 0\r\n\r\n" + SMUGGLED,
            head + "A: b\nContent-Length: 0\r\n\r\n" + SMUGGLED,
            head + "A: b\rContent-Length: 0\r\n\r\n" + SMUGGLED,
            head + "A: \0\r\n\r\n" + SMUGGLED,
            head + "Host: b\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
            head.replace("1.1", "1.0") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
            head.replace("\r\n", "\n") + "\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n\r\n" + SMUGGLED,
            head + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 9\r\n\r\n" + SMUGGLED,
            "GET\r\n\r\n" + SMUGGLED,
            "\0\1\2\3\r\n\r\n" + SMUGGLED,
        ):
            with self.subTest(data=data):
                self.assert_refused(data, "400", "413")
        self.assertEqual(self.service_runs(), 0)

    def test_oversized_and_slow_input_is_bounded(self):
        head = f"POST {PATH} HTTP/1.1\r\nHost: a\r\n"
        self.assert_refused(head + "A: " + "x" * 40000 + "\r\n\r\n", "413")
        self.assert_refused(head + "A: b\r\n" * 200 + "\r\n", "413")
        self.assert_refused(head + "Content-Length: 100000\r\n\r\n" + "x" * 100000, "413")
        self.assert_refused(head + "Transfer-Encoding: chunked\r\n\r\n1;" + "x" * 100000, "400", "413")
        self.assert_refused(head + "Content-Length: 10\r\n\r\nslow", "408")
        self.assert_refused(head, "408")
        self.assertEqual(self.service_runs(), 0)

    def test_pipelined_requests_are_answered_in_order(self):
        one = f"POST {PATH}/one HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
        two = f"POST {PATH}/two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\nA: b\r\n\r\n"
        last = f"POST {PATH}/end HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        answer = self.raw(one + two + last)
        places = [answer.find(f"bookings/{name}") for name in ("one", "two", "end")]
        self.assertEqual(places, sorted(places))
        self.assertGreater(places[0], 0)
        self.assertEqual(self.service_runs(), 3)

    def test_caller_gone_cancels_its_generation(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.callers[0])
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": "lm", "prompt": "p", "max_tokens": 100000, "stream": True}))
        connection.getresponse().read(100)
        connection.close()
        wait_until(lambda: call(self.engines[0], "GET", "/engine/load").json()["running"] == 0, what="slot freed")

    def test_slow_reader_holds_back_the_engine_and_is_cut_off(self):
        """About 100 bytes a token: 20,000 tokens are more than the sockets' buffers hold."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect(("127.0.0.1", self.callers[0]))
        body = json.dumps({"model": "lm", "prompt": "p", "max_tokens": 1000000, "stream": True})
        connection.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        wait_until(lambda: call(self.engines[0], "GET", "/engine/load").json()["running"] == 1, what="generation runs")
        wait_until(lambda: call(self.engines[0], "GET", "/engine/load").json()["running"] == 0, timeout=40,
                   what="slow reader cut off")
        connection.close()


class StandinIpv6(unittest.TestCase):
    def test_servers_listen_on_ipv6(self):
        import tempfile
        from support import Cluster
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        cluster = Cluster(directory.name)
        self.addCleanup(cluster.stop_all)
        port = free_ports(1)[0]
        cluster.start("service", "topaztack-standin", "service", "--listen", f"[::1]:{port}")

        def answers():
            connection = http.client.HTTPConnection("::1", port, timeout=10)
            connection.request("GET", "/standin/runs")
            return connection.getresponse().status == 200

        wait_until(answers, what="service on IPv6")


del ServiceTestCase

if __name__ == "__main__":
    unittest.main()
