"""Generations through real daemons: broken streams go on at another engine, callers that go away free the engine."""

import http.client
import json
import socket
import unittest

from support import ServiceTestCase, call, wait_until
from loopback import Answer  # on the path since support was imported

TOKENS = 60


class Resume(ServiceTestCase):
    vm_count = 1
    service_count = 1
    engine_count = 2
    engine_options = ("--token-time-us", "5000")

    def fault(self, index, **faults):
        self.assertEqual(call(self.engines[index], "POST", "/standin/faults", faults).status, 200)

    def complete(self, prompt="a wake at nine", **more):
        return call(self.callers[0], "POST", "/v1/completions",
                    {"model": "lm", "prompt": prompt, "max_tokens": TOKENS, **more})

    def reference(self, prompt="a wake at nine"):
        """The tokens of an unbroken generation, from an engine itself."""
        answer = call(self.engines[0], "POST", "/v1/completions",
                      {"request_id": "reference", "prompt": prompt, "max_tokens": TOKENS, "stream": True})
        return self.tokens_of(answer)[0]

    def tokens_of(self, answer):
        events = [json.loads(event[len("data: "):]) for event in answer.body.decode().split("\n\n")
                  if event.startswith("data: {")]
        tokens = [token for event in events if "choices" in event for token in event["choices"][0]["token_ids"]]
        return tokens, events

    def running(self, index):
        return call(self.engines[index], "GET", "/engine/load").json()["running"]

    def break_all(self, after):
        for index in range(self.engine_count):
            self.fault(index, break_after_tokens=after, break_next=1)

    def test_a_broken_stream_goes_on_without_repeated_or_missing_tokens(self):
        wanted = self.reference()
        self.break_all(7)
        answer = self.complete()
        self.assertEqual((answer.status, answer.outcome), (200, "ran"), answer.body)
        self.assertEqual(answer.json()["choices"][0]["token_ids"], wanted)
        self.assertEqual(answer.json()["weight_versions"], [{"version": 1, "from": 0, "to": TOKENS}])

    def test_a_generation_that_breaks_before_its_first_token_is_run_elsewhere(self):
        wanted = self.reference()
        self.break_all(0)
        answer = self.complete()
        self.assertEqual((answer.status, answer.outcome), (200, "ran"), answer.body)
        self.assertEqual(answer.json()["choices"][0]["token_ids"], wanted)

    def test_a_streamed_answer_shows_no_seam(self):
        wanted = self.reference()
        self.break_all(7)
        tokens, events = self.tokens_of(self.complete(stream=True))
        self.assertEqual(tokens, wanted)
        self.assertEqual((events[-1]["outcome"], events[-1]["weight_versions"]),
                         ("ran", [{"version": 1, "from": 0, "to": TOKENS}]))

    def test_an_engine_that_dies_is_replaced_in_the_midst(self):
        wanted = self.reference()
        connection = socket.create_connection(("127.0.0.1", self.callers[0]), timeout=20)
        self.addCleanup(connection.close)
        body = json.dumps({"model": "lm", "prompt": "a wake at nine", "max_tokens": TOKENS})
        connection.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                            f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        wait_until(lambda: any(self.running(index) for index in range(2)), what="generation under way")
        self.cluster.kill("engine-0" if self.running(0) else "engine-1")
        received = b""
        while piece := connection.recv(65536):
            received += piece
        answer = json.loads(received.split(b"\r\n\r\n", 1)[1])
        self.assertEqual(answer["choices"][0]["token_ids"], wanted)

    def complete_and_act(self, act):
        """A streamed generation; `act` is called once its first token has arrived."""
        connection = http.client.HTTPConnection("127.0.0.1", self.callers[0], timeout=30)
        self.addCleanup(connection.close)
        body = {"model": "lm", "prompt": "a wake at nine", "max_tokens": TOKENS, "stream": True}
        connection.request("POST", "/v1/completions", body=json.dumps(body))
        response = connection.getresponse()
        text = b""
        while b"token_ids" not in text:
            piece = response.read1()
            self.assertTrue(piece, "the stream ended before its first token")
            text += piece
        act()
        return self.tokens_of(Answer(response.status, response.getheaders(), text + response.read()))

    def swap_engines(self):
        for port in self.engines:
            order = {"order": "load-weights", "version": 2, "fencing": 1, "mode": "interrupt", "operation": "swap"}
            self.assertEqual(call(port, "POST", "/engine/orders", order).status, 200)

    def test_a_swap_in_the_midst_is_gone_on_with_and_labelled(self):
        wanted = self.reference()
        tokens, events = self.complete_and_act(self.swap_engines)
        self.assertEqual(tokens, wanted)
        spans = events[-1]["weight_versions"]
        self.assertEqual([span["version"] for span in spans], [1, 2])
        self.assertEqual((spans[0]["from"], spans[0]["to"], spans[1]["to"]), (0, spans[1]["from"], TOKENS))

    def test_a_caller_that_goes_away_frees_the_engine(self):
        connection = socket.create_connection(("127.0.0.1", self.callers[0]), timeout=20)
        body = json.dumps({"model": "lm", "prompt": "p", "max_tokens": 100000, "stream": True})
        connection.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                            f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        wait_until(lambda: any(self.running(index) for index in range(2)), what="generation under way")
        connection.close()
        wait_until(lambda: not any(self.running(index) for index in range(2)), what="engine free")

    def test_a_leaving_engine_gets_no_new_rollouts(self):
        self.fault(0, leaving=True)

        def server(name):
            pools = call(self.operators[0], "GET", "/debug/state").json()["pools"]
            return pools["lm"]["servers"][name] if "lm" in pools else {"leaving": False}

        wait_until(lambda: self.complete(max_tokens=2) and server("lm-0")["leaving"], what="sign of leaving seen")
        self.fault(1, break_after_tokens=0, break_probability=1.0)
        answer = self.complete(max_tokens=2)
        self.assertNotEqual(answer.status, 200)
        self.assertEqual(server("lm-0")["in_flight"], 0)


if __name__ == "__main__":
    unittest.main()
