"""The README's main job: both examples run to their end, and Ctrl-C stops one that goes on serving."""

import os
import pathlib
import signal
import subprocess
import tempfile
import unittest

from support import wait_until

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
HELD = "every promise that was checked held"


class Examples(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def run_example(self, name):
        done = subprocess.run([EXAMPLES / name / "run", "--seconds", "3", "--dir", self.directory], text=True,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=120, check=False)
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertIn(HELD, done.stdout)

    def test_velandino(self):
        self.run_example("velandino")

    def test_possession(self):
        self.run_example("possession")

    def test_an_interrupt_stops_every_process(self):
        log = self.directory / "run.log"
        with open(log, "wb") as output:
            example = subprocess.Popen([EXAMPLES / "possession" / "run", "--seconds", "1", "--serve", "--dir",
                                        self.directory], stdout=output, stderr=output)
        wait_until(lambda: "serving" in log.read_text(), timeout=90, what="serving")
        pids = [int(line.split()[1]) for line in (self.directory / "pids").read_text().splitlines()]
        self.assertEqual(len(pids), 9)
        example.send_signal(signal.SIGINT)
        self.assertEqual(example.wait(90), 0)
        for pid in pids:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)


if __name__ == "__main__":
    unittest.main()
