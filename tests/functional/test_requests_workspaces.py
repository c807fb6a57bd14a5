"""Workspaces of a node's document: callers need a key, and backend servers get the name in its place."""

import http.server
import threading
import unittest

from support import ServiceTestCase, call

WORKSPACES = """
[workspace one]
keys = first-key-of-one-00 second-key-of-one-0

[workspace two]
keys = the-key-of-two-0000
rank = 3
"""


class Service(http.server.BaseHTTPRequestHandler):
    """Records the headers of each request."""

    seen = []

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.seen.append(dict(self.headers))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class Workspaces(ServiceTestCase):
    vm_count = 1
    engine_count = 1
    service_count = 1

    def start_standins(self):
        super().start_standins()
        Service.seen = []
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Service)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.services = [server.server_address[1]]

    def book(self, authorization=None, **headers):
        if authorization:
            headers["Authorization"] = authorization
        return call(self.callers[0], "POST", "/v1/services/app/bookings", "chapel two", headers)

    def test_a_key_is_needed_and_servers_get_the_name(self):
        self.assertEqual(self.book("Bearer own").status, 200)
        self.assertEqual(Service.seen[-1].get("Authorization"), "Bearer own")
        self.accept(self.document() + WORKSPACES, base=1)
        for authorization in (None, "Bearer wrong", "first-key-of-one-00", "Basic first-key-of-one-00"):
            refused = self.book(authorization)
            self.assertEqual(refused.status, 401)
            self.assertEqual(refused.outcome, "not-run")
            self.assertEqual(refused.headers["www-authenticate"], "Bearer")
            self.assertIn("caller-not-identified", refused.body if isinstance(refused.body, str) else refused.body.decode())
        for path in ("/v1/tickets", "/v1/completions"):
            self.assertEqual(call(self.callers[0], "POST", path, "{}", {}).status, 401)
        self.assertEqual(len(Service.seen), 1)
        for key, name in (("first-key-of-one-00", "one"), ("second-key-of-one-0", "one"), ("the-key-of-two-0000", "two")):
            self.assertEqual(self.book("Bearer " + key, **{"Topaztack-Workspace": "forged"}).status, 200)
            seen = {header.lower(): value for header, value in Service.seen[-1].items()}
            self.assertEqual(seen["topaztack-workspace"], name)
            self.assertNotIn("authorization", seen)
        state = call(self.operators[0], "GET", "/debug/state").body
        logs = "".join(path.read_text(errors="replace") for path in self.cluster.directory.rglob("vm-0*.log"))
        self.assertIn("caller-refused", logs)
        for text in (state if isinstance(state, str) else state.decode(), logs):
            self.assertNotIn("-key-of-", text)


if __name__ == "__main__":
    unittest.main()
