"""TLS between VMs, as settings say."""

import subprocess
import unittest

from support import ServiceTestCase, call, wait_until


class PeersOverTls(ServiceTestCase):
    vm_count = 3
    plain_vm = "vm-2"

    def openssl(self, *arguments):
        subprocess.run(["openssl", *arguments], cwd=self.cluster.directory, check=True, capture_output=True)

    def start_vm(self, index):
        directory = self.cluster.directory
        if not (directory / "vm.pem").exists():
            self.openssl("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=ca", "-keyout", "ca.key", "-out", "ca.pem")
            self.openssl("req", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=vm", "-keyout", "vm.key", "-out", "vm.csr")
            self.openssl("x509", "-req", "-in", "vm.csr", "-CA", "ca.pem", "-CAkey", "ca.key", "-CAcreateserial", "-out", "vm.pem")
        super().start_vm(index)

    def start_standins(self):
        super().start_standins()
        start = self.cluster.start

        def start_with_tls(name, program, *arguments):
            if program == "topaztackd" and name != self.plain_vm:
                settings = arguments[-1]
                settings.write_text(settings.read_text() + "\n[tls]\n" + "".join(
                    f"{key} = {self.cluster.directory / file}\n"
                    for key, file in (("certificate", "vm.pem"), ("key", "vm.key"), ("authority", "ca.pem"))))
            start(name, program, *arguments)

        self.cluster.start = start_with_tls

    def test_ticket_is_forwarded_home_over_tls(self):
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        first = call(self.callers[1], "POST", "/v1/services/app/bookings", "a", {"Idempotency-Key": ticket})
        second = call(self.callers[0], "POST", "/v1/services/app/bookings", "a", {"Idempotency-Key": ticket})
        self.assertEqual((first.status, first.outcome, first.body), (200, "ran", second.body))
        self.assertEqual([runs for key, _, runs in self.runs() if key == ticket], [1])

    def test_a_vm_without_keys_is_not_let_in(self):
        ticket = call(self.callers[0], "POST", "/v1/tickets").json()["ticket"]
        answer = call(self.callers[2], "POST", "/v1/services/app/bookings", "a", {"Idempotency-Key": ticket})
        self.assertEqual((answer.outcome, answer.json()["error"]["kind"]), ("unknown", "home-unreachable"))
        self.assertEqual(self.runs(), [])

    def test_replaced_keys_are_taken_into_use(self):
        self.openssl("x509", "-req", "-in", "vm.csr", "-CA", "ca.pem", "-CAkey", "ca.key", "-CAcreateserial", "-out",
                     "fresh.pem")
        (self.cluster.directory / "fresh.pem").replace(self.cluster.directory / "vm.pem")
        log = self.cluster.directory / "vm-0.log"
        wait_until(lambda: "event=keys-reloaded" in log.read_text(), what="keys read again")
        self.test_ticket_is_forwarded_home_over_tls()


if __name__ == "__main__":
    unittest.main()
