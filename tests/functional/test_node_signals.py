"""Signals that come while a daemon starts."""

import os
import pathlib
import signal
import subprocess
import tempfile
import unittest

from support import call, free_ports, vm_settings, wait_until
from loopback import BIN  # on the path since support was imported


class EarlySignals(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="topaztack-")
        self.addCleanup(directory.cleanup)
        self.fifo = pathlib.Path(directory.name) / "vm.ini"
        os.mkfifo(self.fifo)
        self.ports = free_ports(4)
        # Reading its settings, the daemon waits for someone to write them.
        self.process = subprocess.Popen([BIN / "topaztackd", "--settings", self.fifo], stdout=subprocess.DEVNULL,
                                        stdin=subprocess.DEVNULL)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.writer = os.open(self.fifo, os.O_WRONLY)

    def write_settings(self):
        callers, operators, peers, platform = self.ports
        os.write(self.writer, vm_settings("vm-0", "north", callers, operators, peers, platform).encode())
        os.close(self.writer)

    def test_a_hang_up_before_the_settings_are_read_does_not_end_it(self):
        self.process.send_signal(signal.SIGHUP)
        self.write_settings()
        wait_until(lambda: call(self.ports[1], "GET", "/healthz").status == 200, what="VM alive")
        self.assertIsNone(self.process.poll())

    def test_a_shutdown_before_the_settings_are_read_ends_it_in_order(self):
        self.process.send_signal(signal.SIGTERM)
        self.write_settings()
        self.assertEqual(self.process.wait(timeout=60), 0)


if __name__ == "__main__":
    unittest.main()
