"""Crowds of callers that don't behave: the process lives within its machine's memory and descriptors, and serves others.

The machine is the smallest in force: 88 MB. Bytes that were received and not read count.
"""

import signal
import tempfile
import unittest

from crowd import Crowd, EndlessStreams, GatewayWorld, LargeAnswers, Sender, SilentServer, Watch, head
from support import ServiceTestCase, call, wait_until

MEMORY = 88 * 1000 * 1000
DESCRIPTORS = 256
MEBIBYTE = 1024 * 1024
MAX_BODY = 4 * MEBIBYTE
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 20000, "idleTimeoutMs": 60000}
CROWD = 48
SMUGGLED = b"POST /app/smuggled HTTP/1.1\r\nHost: a.example\r\nTopaztack-Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
FILL = SMUGGLED * 500


def chunked(total, size):
    """A body of this size in chunks, without the last one."""
    data = (SMUGGLED * (size // len(SMUGGLED) + 1))[:size]
    return (f"{size:x}\r\n".encode() + data + b"\r\n") * (total // size)


def announced(path, number, length=MAX_BODY):
    return head(path, f"crowd{number}", f"Content-Length: {length}")


def job_of(size):
    """A submission of about this many bytes."""
    item = b'{"id":"i%d","path":"/jobs/a","body":"' + b"QUFB" * 10000 + b'","tokenCount":10},'
    items = b"".join(item % place for place in range(size // (len(item) + 4)))
    return b'{"step":0,"model":"m","minVersion":1,"desiredCount":1,"items":[' + items[:-1] + b"]}"


class GatewayCase(unittest.TestCase):
    """A gateway, and what it holds from its start on."""

    limits = LIMITS
    vm_lines = f"memory = {MEMORY}B\n"

    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.world = GatewayWorld(directory.name, self.limits, self.vm_lines)
        self.addCleanup(self.world.stop)
        self.watch = Watch(self.world.pid, [self.world.callers, self.world.operators, self.world.peers], [self.world.bulk])
        self.addCleanup(self.watch.stop)

    def start_mute(self, **options):
        server = SilentServer(self.world.mute, **options)
        self.addCleanup(server.stop)
        return server

    def gather(self, senders, port=None, **options):
        crowd = Crowd(port or self.world.callers, senders, **options)
        self.addCleanup(crowd.close)
        crowd.run()
        return crowd

    def check(self):
        """The process lives, within its bounds, and answers one request of an ordinary caller, who retries refusals."""
        self.assertTrue(self.world.is_alive(), "the process ended")
        wait_until(lambda: self.world.ask().status == 200, timeout=20, what="an ordinary request answered")
        self.assertTrue(self.world.is_alive(), "the process ended")
        self.watch.stop()
        self.assertLessEqual(self.watch.most_memory, MEMORY)

    def check_none_ran(self, crowd):
        """No part of the crowd's requests ran, which its answers must not contradict."""
        self.check()
        self.assertEqual(set(crowd.statuses()) - {400, 408, 413, 429, 503}, set())
        self.assertNotIn("smuggled", self.world.runs())
        self.assertNotIn("crowd", self.world.runs())


class GatewayCrowds(GatewayCase):
    """Each test is one kind of crowd, which stays connected until the ordinary request is answered."""

    def test_whole_bodies_at_a_server_that_does_not_answer(self):
        self.start_mute()
        self.gather([Sender((announced("/mute/a", n), FILL), len(announced("/mute/a", n)) + MAX_BODY)
                     for n in range(CROWD)])
        self.check()

    def test_whole_bodies_at_a_server_that_does_not_read(self):
        self.start_mute(reads=False)
        self.gather([Sender((announced("/mute/a", n), FILL), len(announced("/mute/a", n)) + MAX_BODY)
                     for n in range(CROWD)])
        self.check()

    def test_announced_bodies_that_stop_short_of_their_end(self):
        crowd = self.gather([Sender((announced("/app/a", n), FILL), len(announced("/app/a", n)) + MAX_BODY - 1)
                     for n in range(CROWD)])
        self.check_none_ran(crowd)

    def test_bodies_that_arrive_piece_by_piece_and_stop_short_of_their_end(self):
        crowd = self.gather([Sender((announced("/app/a", n), FILL), len(announced("/app/a", n)) + MAX_BODY - 1)
                     for n in range(CROWD)], piece=4096)
        self.check_none_ran(crowd)

    def test_large_chunks_without_a_last_one(self):
        body = chunked(MAX_BODY, 65536)
        crowd = self.gather([Sender(head("/app/a", f"crowd{n}", "Transfer-Encoding: chunked") + body) for n in range(CROWD)])
        self.check_none_ran(crowd)

    def test_small_chunks_without_a_last_one(self):
        body = chunked(MAX_BODY, 16)
        crowd = self.gather([Sender(head("/app/a", f"crowd{n}", "Transfer-Encoding: chunked") + body) for n in range(CROWD)])
        self.check_none_ran(crowd)

    def test_bodies_beyond_the_limit_that_were_announced(self):
        crowd = self.gather([Sender((announced("/app/a", n, 1024 * MEBIBYTE), FILL), 32 * MEBIBYTE)
                             for n in range(CROWD)])
        self.check_none_ran(crowd)

    def test_bodies_beyond_the_limit_that_were_not_announced(self):
        body = chunked(16 * MEBIBYTE, 65536)
        crowd = self.gather([Sender(head("/app/a", f"crowd{n}", "Transfer-Encoding: chunked") + body)
                             for n in range(CROWD)])
        self.check_none_ran(crowd)

    def test_requests_behind_one_that_is_not_answered(self):
        self.start_mute()
        self.gather([Sender((head("/mute/a", f"first{n}", "Content-Length: 0") + announced("/app/b", n), FILL),
                            8 * MEBIBYTE) for n in range(1200)])
        self.check()

    def test_submissions_of_jobs_while_the_store_does_not_answer(self):
        body = job_of(MAX_BODY)
        self.world.cluster.signal("store", signal.SIGSTOP)
        self.gather([Sender(announced("/jobs/a", n, len(body)) + body) for n in range(CROWD)])
        self.world.cluster.signal("store", signal.SIGCONT)
        self.check()

    def test_submissions_of_many_small_values(self):
        body = b'{"step":0,"items":[' + b"[]," * (MAX_BODY // 3 - 20) + b"[]]}"
        self.gather([Sender(announced("/jobs/a", n, len(body)) + body) for n in range(CROWD)])
        self.check()

    def check_unread_answers(self, size):
        """The requests come one after the other, so that each answer is read from the server alone."""
        server = LargeAnswers(self.world.bulk, size)
        self.addCleanup(server.stop)
        for n in range(CROWD):
            crowd = Crowd(self.world.callers, [Sender(head("/bulk/a", f"crowd{n}", "Content-Length: 0"), reads=False)],
                          receive_buffer=4096)
            self.addCleanup(crowd.close)
            crowd.run(quiet=0.1)
        self.check()

    def test_answers_that_are_not_read(self):
        self.check_unread_answers(7 * MEBIBYTE)

    def test_answers_of_a_size_that_is_passed_on_and_that_are_not_read(self):
        self.check_unread_answers(4 * MEBIBYTE)

    def test_streams_that_are_not_read(self):
        server = EndlessStreams(self.world.bulk, 1000)
        self.addCleanup(server.stop)
        self.gather([Sender(head("/streams/a", f"crowd{n}", "Content-Length: 0"), reads=False) for n in range(600)],
                    receive_buffer=4096)
        server.wait_until_stalled()
        self.check()

    def test_bodies_at_the_operators_port_that_stop_short_of_their_end(self):
        request = head("/v1/config", "o", f"Content-Length: {MEBIBYTE}")
        self.gather([Sender((request, FILL), len(request) + MEBIBYTE - 1) for _ in range(4 * CROWD)],
                    port=self.world.operators)
        self.assertEqual(call(self.world.operators, "GET", "/-/readyz").status, 200)
        self.check()


class LoadedGateway(GatewayCase):
    """A gateway whose own state takes much of its memory."""

    def test_bodies_that_stop_short_of_their_end_beside_accepted_jobs(self):
        body = job_of(MAX_BODY)
        for n in range(12):
            call(self.world.callers, "POST", "/jobs/a", body, {
                "Host": "a.example", "Topaztack-Request-Id": f"job{n}", "Topaztack-Deadline-Ms": "20000"})
        self.gather([Sender((announced("/app/a", n), FILL), len(announced("/app/a", n)) + MAX_BODY - 1)
                     for n in range(CROWD)])
        self.check()


class GatewayInCalm(GatewayCase):
    """One request at a time, of the largest size that the deployments in force allow."""

    limits = {**LIMITS, "maxBodyBytes": 32 * MEBIBYTE}

    def check_forwarded(self, sender):
        server = self.start_mute()
        self.gather([sender])
        wait_until(lambda: server.taken > 32 * MEBIBYTE, what="the body forwarded whole")
        self.check()

    def test_an_announced_body_is_forwarded(self):
        request = announced("/mute/a", 0, 32 * MEBIBYTE)
        self.check_forwarded(Sender((request, FILL), len(request) + 32 * MEBIBYTE))

    def test_a_chunked_body_is_forwarded(self):
        body = chunked(32 * MEBIBYTE, 65536) + b"0\r\n\r\n"
        self.check_forwarded(Sender(head("/mute/a", "crowd0", "Transfer-Encoding: chunked") + body))

    def submit(self, body):
        return call(self.world.callers, "POST", "/jobs/a", body, {
            "Host": "a.example", "Topaztack-Request-Id": "job", "Topaztack-Deadline-Ms": "20000"})

    def check_accepted(self, body):
        answer = self.submit(body)
        self.assertEqual(answer.status, 202, answer.body)
        self.check()

    def test_a_job_is_accepted(self):
        self.check_accepted(job_of(MAX_BODY))

    def test_a_job_of_the_largest_size_is_accepted(self):
        self.check_accepted(job_of(32 * MEBIBYTE))

    def test_a_job_that_finds_no_memory_is_refused_with_the_cause(self):
        answer = self.submit(b'{"step":0,"items":[' + b"[]," * (8 * MEBIBYTE) + b"[]]}")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertIn(b"no memory for the job", answer.body)
        self.check()


class Descriptors(unittest.TestCase):
    """More connections than the process may have descriptors."""

    vm_lines = f"descriptors = {DESCRIPTORS}\n"

    def check(self, data, port="callers", has_mute=False):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        world = GatewayWorld(directory.name, LIMITS, self.vm_lines)
        self.addCleanup(world.stop)
        watch = Watch(world.pid, [world.callers])
        self.addCleanup(watch.stop)
        if has_mute:
            self.addCleanup(SilentServer(world.mute).stop)
        crowd = Crowd(getattr(world, port), [Sender(data) for _ in range(400)])
        self.addCleanup(crowd.close)
        crowd.run()
        wait_until(lambda: world.ask().status == 200, timeout=20, what="an ordinary request answered")
        self.assertTrue(world.is_alive())
        self.assertEqual(call(world.operators, "GET", "/-/readyz").status, 200)
        watch.stop()
        self.assertLessEqual(watch.most_descriptors, DESCRIPTORS)

    def test_connections_that_send_nothing(self):
        self.check(b"")

    def test_connections_that_send_a_part_of_a_head(self):
        self.check(head("/app/a", "c")[:-2])

    def test_connections_that_send_a_part_of_a_body(self):
        self.check(announced("/app/a", 0, 1000) + b"x")

    def test_requests_at_a_server_that_does_not_answer(self):
        self.check(head("/mute/a", "crowd", "Content-Length: 0"), has_mute=True)

    def test_connections_to_the_operators_port(self):
        self.check(b"", port="operators")


class NodeCrowds(ServiceTestCase):
    """A VM that keeps no gateway, which answers callers and operators through the same code."""

    vm_count = 1
    engine_count = 1
    service_count = 1
    vm_lines = f"memory = {MEMORY}B\n"
    limits_lines = "drain_time = 10s\ncaller_idle = 60s\nmax_body = 4MiB\n"

    def check(self, port, request, length):
        watch = Watch(self.cluster.processes["vm-0"].pid, [self.callers[0], self.operators[0]])
        self.addCleanup(watch.stop)
        crowd = Crowd(port, [Sender((request, FILL), len(request) + length - 1) for _ in range(CROWD)])
        self.addCleanup(crowd.close)
        crowd.run()

        def is_answered():
            return call(self.callers[0], "POST", "/v1/services/app/bookings", "chapel two").status == 200

        wait_until(is_answered, timeout=20, what="an ordinary request answered")
        self.assertEqual(call(self.operators[0], "GET", "/healthz").status, 200)
        watch.stop()
        self.assertLessEqual(watch.most_memory, MEMORY)

    def test_bodies_that_stop_short_of_their_end(self):
        request = f"POST /v1/services/app/bookings HTTP/1.1\r\nHost: a\r\nContent-Length: {MAX_BODY}\r\n\r\n".encode()
        self.check(self.callers[0], request, MAX_BODY)

    def test_documents_that_stop_short_of_their_end(self):
        request = f"POST /v1/config HTTP/1.1\r\nHost: a\r\nContent-Length: {MAX_BODY}\r\n\r\n".encode()
        self.check(self.operators[0], request, MAX_BODY)


if __name__ == "__main__":
    unittest.main()
