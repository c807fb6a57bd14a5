"""The whole path, thin: a booking, a rollout and a sample from end to end."""

import json
import unittest

from support import ServiceTestCase, call, wait_until


class WholePath(ServiceTestCase):
    def test_booking_is_answered_whole_with_its_outcome(self):
        answer = call(self.callers[0], "POST", "/v1/services/app/bookings?hour=9", "wake at nine")
        self.assertEqual((answer.status, answer.outcome), (200, "ran"))
        self.assertEqual(answer.json()["target"], "/bookings?hour=9")

    def test_ticket_runs_once_and_repeats_the_first_answer(self):
        ticket = call(self.callers[1], "POST", "/v1/tickets").json()["ticket"]
        first = call(self.callers[1], "POST", "/v1/services/app/bookings", "a", {"Idempotency-Key": ticket})
        second = call(self.callers[1], "POST", "/v1/services/app/bookings", "a", {"Idempotency-Key": ticket})
        self.assertEqual((first.outcome, first.body), ("ran", second.body))
        self.assertEqual([runs for key, _, runs in self.runs() if key == ticket], [1])

    def test_rollout_names_its_weight_versions(self):
        answer = call(self.callers[2], "POST", "/v1/completions", {"model": "lm", "prompt": "p", "max_tokens": 5})
        self.assertEqual((answer.status, answer.outcome), (200, "ran"))
        self.assertEqual(answer.json()["weight_versions"], [{"version": 1, "from": 0, "to": 5}])

    def test_streamed_rollout_ends_with_spans_and_outcome(self):
        body = {"model": "lm", "prompt": "p", "max_tokens": 4, "stream": True}
        answer = call(self.callers[0], "POST", "/v1/completions", body)
        events = [event[len("data: "):] for event in answer.body.decode().split("\n\n") if event]
        self.assertEqual(events[-1], "[DONE]")
        last = json.loads(events[-2])
        self.assertEqual((last["outcome"], last["weight_versions"]), ("ran", [{"version": 1, "from": 0, "to": 4}]))

    def test_samples_reach_their_trainer(self):
        group = {"step": 1, "groups": [{"id": "g1", "prompt": "p", "samples": 3}]}
        self.assertEqual(call(self.callers[0], "POST", "/v1/trainers/t1/groups", group).status, 202)

        def fetch():
            return call(self.callers[0], "GET", "/v1/trainers/t1/samples?after=0").json()["samples"]

        wait_until(lambda: len(fetch()) == 3, what="three samples")
        self.assertEqual(sorted(sample["index"] for sample in fetch()), [0, 1, 2])

    def test_unknown_pool_is_not_run(self):
        answer = call(self.callers[0], "POST", "/v1/services/none/x", "a")
        self.assertEqual((answer.status, answer.outcome), (404, "not-run"))
        self.assertIn("remedy", answer.json()["error"])


if __name__ == "__main__":
    unittest.main()
