"""The engine and weight store stand-ins do what docs/ENGINE.md says."""

import concurrent.futures
import http.client
import json
import tempfile
import unittest

from support import Cluster, call, free_ports, wait_until


class Engine(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addCleanup(self.cluster.stop_all)
        self.pool = concurrent.futures.ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)
        self.port, self.weights = free_ports(2)

    def start(self, *options):
        self.cluster.start("engine", "topaztack-standin", "engine", "--listen", f"127.0.0.1:{self.port}",
                           "--fault", "load_lag_ms=0", "--fault", "event_lag_ms=0", "--fault", "event_gap=0", *options)
        wait_until(lambda: call(self.port, "GET", "/engine/load").status == 200, what="engine alive")

    def fault(self, **faults):
        self.assertEqual(call(self.port, "POST", "/standin/faults", faults).status, 200)

    def generate(self, prompt="p", tokens=4, request_id="r", **more):
        body = {"request_id": request_id, "prompt": prompt, "max_tokens": tokens, "stream": True, **more}
        text = call(self.port, "POST", "/v1/completions", body).body.decode()
        events = [event[len("data: "):] for event in text.split("\n\n") if event]
        self.assertEqual(events.pop(), "[DONE]")
        chunks = [json.loads(event) for event in events]
        return {"tokens": [token for chunk in chunks for token in chunk["choices"][0]["token_ids"]],
                "versions": [chunk["weight_version"] for chunk in chunks if chunk["choices"][0]["token_ids"]],
                "finish": chunks[-1]["choices"][0]["finish_reason"]}

    def order(self, version, fencing=1, mode="finish"):
        return call(self.port, "POST", "/engine/orders", {"order": "load-weights", "version": version,
                                                          "fencing": fencing, "mode": mode, "operation": "op"})

    def load(self):
        return call(self.port, "GET", "/engine/load").json()

    def running(self, count):
        wait_until(lambda: self.load()["running"] == count, what=f"{count} running")

    def test_resumed_generation_goes_on_with_the_same_tokens(self):
        self.start()
        whole = self.generate(tokens=6)["tokens"]
        rest = self.generate(tokens=4, resume={"token_ids": whole[:2]})
        self.assertEqual((rest["tokens"], rest["finish"]), (whole[2:], "length"))

    def test_generations_beyond_the_slots_wait_in_order(self):
        self.start("--slots", "1", "--token-time-us", "20000")
        first = self.pool.submit(self.generate, tokens=500, request_id="a")
        self.running(1)
        second = self.pool.submit(self.generate, tokens=1, request_id="b")
        wait_until(lambda: self.load()["queued"] == 1, what="one queued")
        self.assertTrue(call(self.port, "POST", "/engine/cancel", {"request_id": "a"}).json()["cancelled"])
        self.assertEqual(len(second.result()["tokens"]), 1)
        with self.assertRaises((http.client.HTTPException, AssertionError, IndexError)):
            first.result()

    def test_closed_connection_frees_its_slot(self):
        self.start("--slots", "1", "--token-time-us", "20000")
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        connection.request("POST", "/v1/completions",
                           json.dumps({"request_id": "a", "prompt": "p", "max_tokens": 5000, "stream": True}))
        self.running(1)
        connection.close()
        self.running(0)

    def test_orders_are_fenced_unless_the_engine_ignores_it(self):
        self.start()
        self.assertEqual(self.order(2, fencing=5).json()["version"], 2)
        refused = self.order(3, fencing=4)
        self.assertEqual((refused.status, refused.json()), (409, {"refused": "fencing", "newest": 5}))
        self.cluster.stop("engine")
        self.start("--ignores-fencing")
        self.order(2, fencing=5)
        self.assertEqual(self.order(3, fencing=4).status, 200)

    def test_modes_of_a_swap(self):
        self.start("--token-time-us", "5000")
        finishing = self.pool.submit(self.generate, tokens=40)
        self.running(1)
        self.assertEqual(self.order(2).status, 200)
        self.assertEqual((set(finishing.result()["versions"]), finishing.result()["finish"]), ({1}, "length"))
        interrupted = self.pool.submit(self.generate, tokens=4000)
        self.running(1)
        self.assertEqual(self.order(3, mode="interrupt").status, 200)
        self.assertEqual((set(interrupted.result()["versions"]) <= {2}, interrupted.result()["finish"]),
                         (True, "interrupted"))
        mixed = self.pool.submit(self.generate, tokens=200)
        self.running(1)
        self.assertEqual(self.order(4, mode="in-place").status, 200)
        self.assertEqual((sorted(mixed.result()["versions"])[-1], mixed.result()["finish"]), (4, "length"))

    def test_half_swap_leaves_the_version_unknown_until_an_order_succeeds(self):
        self.start()
        self.fault(swap="fail-half", swap_next=1)
        self.assertEqual(self.order(2).status, 500)
        self.assertIsNone(self.load()["version"])
        self.assertEqual(call(self.port, "POST", "/v1/completions", {"prompt": "p", "max_tokens": 1}).status, 503)
        self.assertEqual(self.order(2).status, 200)
        self.assertEqual(set(self.generate()["versions"]), {2})

    def test_lying_engine_reports_its_chunks_truly(self):
        self.start()
        self.fault(swap="lie", swap_next=1)
        self.assertEqual(self.order(2).json(), {"done": True, "version": 2})
        self.assertEqual(set(self.generate()["versions"]), {1})

    def test_broken_stream_ends_after_its_tokens(self):
        self.start()
        self.fault(break_next=1, break_after_tokens=2)
        with self.assertRaises(http.client.IncompleteRead):
            self.generate(tokens=10)
        self.assertEqual(len(self.generate(tokens=10)["tokens"]), 10)

    def test_prefixes_are_cached_within_limits_and_told(self):
        self.start("--cache-blocks", "2")
        self.generate(prompt="a" * 128)
        self.generate(prompt="b" * 64)
        answer = call(self.port, "GET", "/engine/events?after=0").json()
        self.assertEqual([event["kind"] for event in answer["events"]], ["stored", "stored", "stored", "evicted"])
        self.assertEqual(call(self.port, "GET", f"/engine/events?after={answer['next']}").json()["events"], [])

    def test_cache_is_exported_and_imported(self):
        self.start("--token-time-us", "20000")
        running = self.pool.submit(self.generate, tokens=40)
        self.running(1)
        exported = call(self.port, "POST", "/engine/kv/export", {"request_id": "r"}).json()
        self.assertEqual(exported["version"], 1)
        self.assertIn("kv", call(self.port, "POST", "/engine/kv/import", {"kv": exported["kv"]}).json())
        self.assertEqual(exported["token_ids"], running.result()["tokens"][:len(exported["token_ids"])])
        self.assertEqual(call(self.port, "POST", "/engine/kv/export", {"request_id": "r"}).status, 404)

    def test_weights_are_fetched_under_the_stores_limit(self):
        self.cluster.start("weights", "topaztack-standin", "weights", "--listen", f"127.0.0.1:{self.weights}",
                           "--fault", "fetches_per_second=1")
        wait_until(lambda: call(self.weights, "GET", "/weights/1").status == 200, what="weight store alive")
        self.start("--weights", f"127.0.0.1:{self.weights}")
        self.assertEqual(self.order(2).status, 200)
        counts = call(self.weights, "GET", "/standin/counts").json()
        self.assertEqual(counts["fetches"], 2)
        self.assertGreater(counts["refusals"], 0)

    def test_crash_ends_the_process(self):
        self.start()
        with self.assertRaises((http.client.HTTPException, OSError)):
            call(self.port, "POST", "/standin/faults", {"crash": True})
        self.assertEqual(self.cluster.processes["engine"].wait(10), 3)


if __name__ == "__main__":
    unittest.main()
