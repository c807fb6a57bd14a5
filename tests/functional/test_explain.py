"""`topaztack explain` prints one id's story from the logs of several VMs."""

import pathlib
import subprocess
import tempfile
import unittest

import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "examples" / "lib"))

from loopback import BIN  # noqa: E402

LOG_A = """time=2026-01-01T00:00:03.000000Z level=info event=item-moved process=a job=j1 item=i1 server=s1
time=2026-01-01T00:00:01.000000Z level=info event=job-answered process=a job=j1 status=202
time=2026-01-01T00:00:04.000000Z level=info event=item-moved process=a job=j1 item=i2 server=s1
not a log line
"""
LOG_B = """time=2026-01-01T00:00:02.000000Z level=info event=job-started process=b job=j1 items=2
time=2026-01-01T00:00:02.500000Z level=info event=request-answered process=b id=r1 status=503
"""


class Explain(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.files = [pathlib.Path(directory.name) / name for name in ("a.log", "b.log")]
        self.files[0].write_text(LOG_A)
        self.files[1].write_text(LOG_B)

    def explain(self, *arguments):
        return subprocess.run([BIN / "topaztack", "explain", *arguments], text=True, stdout=subprocess.PIPE,
                              stderr=subprocess.PIPE, check=False)

    def test_an_item_is_told_with_its_job_in_order_of_time(self):
        done = self.explain("i1", *self.files)
        self.assertEqual(done.returncode, 0)
        events = [line.split("event=")[1].split()[0] for line in done.stdout.splitlines()]
        self.assertEqual(events, ["job-answered", "job-started", "item-moved"])

    def test_a_request_is_told_alone(self):
        self.assertEqual(len(self.explain("r1", *self.files).stdout.splitlines()), 1)

    def test_an_id_that_is_nowhere_and_a_file_that_is_missing_are_errors_with_remedies(self):
        done = self.explain("r9", *self.files)
        self.assertEqual(done.returncode, 1)
        self.assertIn("log files of all VMs", done.stderr)
        done = self.explain("r1", "/nowhere.log")
        self.assertEqual(done.returncode, 2)
        self.assertIn("/nowhere.log", done.stderr)


if __name__ == "__main__":
    unittest.main()
