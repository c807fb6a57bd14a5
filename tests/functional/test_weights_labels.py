"""True labels and fresh samples while engines swap their weights."""

import json
import unittest

from support import call, wait_until
from test_weights_rollout import WeightsTestCase


class Labels(WeightsTestCase):
    engine_options = ("--token-time-us", "20000", "--swap-time-ms", "50")
    trainer_lines = "staleness_bound = 0\nmax_tokens = 100\n"

    def test_swap_in_the_middle_of_a_generation_is_labelled_by_chunk(self):
        self.post_version(2)
        self.wait_for(2)
        one = {"model": "lm", "prompt": "p", "max_tokens": 1}
        wait_until(lambda: call(self.callers[0], "POST", "/v1/completions", one).status == 200, what="engines known")
        self.post_version(3)
        body = {"model": "lm", "prompt": "p", "max_tokens": 400, "stream": True}
        answer = call(self.callers[0], "POST", "/v1/completions", body, timeout=60)
        self.assertEqual(answer.status, 200, answer.body)
        events = [json.loads(event[len("data: "):]) for event in answer.body.decode().split("\n\n")
                  if event and not event.endswith("[DONE]")]
        reported = [event["weight_version"] for event in events[:-1] for _ in event["choices"][0]["token_ids"]]
        labelled = [span["version"] for span in events[-1]["weight_versions"]
                    for _ in range(span["from"], span["to"])]
        self.assertEqual(labelled, reported)
        self.assertEqual(sorted(set(labelled)), [2, 3])

    def test_samples_overtaken_by_a_version_are_made_again(self):
        group = {"step": 1, "groups": [{"id": "g", "prompt": "p", "samples": 4}]}
        call(self.callers[0], "POST", "/v1/trainers/t1/groups", group)
        wait_until(lambda: any(
            call(port, "GET", "/debug/state").json()["trainers"].get("t1", {}).get("running", 0) > 0
            for port in self.operators), what="generations under way")
        self.assertEqual(self.post_version(2).status, 202)

        def samples():
            return call(self.callers[1], "GET", "/v1/trainers/t1/samples?after=0&wait_ms=200").json()["samples"]

        wait_until(lambda: len(samples()) == 4, timeout=40, what="four samples")
        for sample in samples():
            self.assertEqual({span["version"] for span in sample["weight_versions"]}, {2})


if __name__ == "__main__":
    unittest.main()
