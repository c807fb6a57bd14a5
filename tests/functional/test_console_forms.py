"""The console over HTTP: forms to a document, errors beside fields, review, acceptance, forged forms."""

import html
import re
import unittest
import urllib.parse

from support import ServiceTestCase, call, free_ports, wait_until


class Forms(ServiceTestCase):
    engine_count = 1
    service_count = 1

    def setUp(self):
        super().setUp()
        self.console = free_ports(1)[0]
        self.cluster.start("console", "topaztack-console", "--listen", f"127.0.0.1:{self.console}",
                           "--node", f"127.0.0.1:{self.operators[0]}", "--node", f"127.0.0.1:{self.operators[1]}")
        wait_until(lambda: call(self.console, "GET", "/login").status == 200, what="console alive")

    def open(self, path):
        answer = call(self.console, "GET", path)
        self.cookie = answer.headers["set-cookie"].split(";")[0]
        return answer

    def fields(self, answer):
        """What a browser would send back: every input that is no checkbox."""
        inputs = re.findall(r'<input type="(?:hidden|text)"[^>]*>', answer.body.decode())
        return {re.search(r'name="([^"]*)"', tag)[1]: html.unescape(re.search(r'value="([^"]*)"', tag)[1])
                for tag in inputs}

    def send(self, path, fields, **headers):
        headers = {"Content-Type": "application/x-www-form-urlencoded", "Cookie": self.cookie, **headers}
        return call(self.console, "POST", path, urllib.parse.urlencode(fields), headers)

    def name_of(self, fields, kind, key):
        """The field of the first section of a kind."""
        section = next(name for name, value in fields.items() if name.endswith(".kind") and value == kind)
        return section.replace(".kind", ".key." + key)

    def test_a_change_is_reviewed_then_accepted_then_in_force(self):
        fields = self.fields(self.open("/edit"))
        fields[self.name_of(fields, "limits", "retry_budget")] = "17"
        review = self.send("/review", fields)
        self.assertEqual(review.status, 200)
        self.assertIn("+ [limits] retry_budget = 17", review.body.decode())
        self.assertEqual(call(self.operators[0], "GET", "/v1/config").headers["etag"], '"1"')
        result = self.send("/accept", self.fields(review))
        self.assertIn("Accepted as version 2", result.body.decode())
        wait_until(lambda: "In force on every VM" in self.open("/").body.decode(), what="in force everywhere")
        self.assertIn("retry_budget = 17", call(self.operators[2], "GET", "/v1/config").body.decode())

    def test_errors_stand_beside_their_fields_and_nothing_is_sent(self):
        fields = self.fields(self.open("/edit"))
        name = self.name_of(fields, "limits", "retry_budget")
        fields[name] = "1000"
        answer = self.send("/review", fields)
        self.assertEqual(answer.status, 422)
        shown = self.fields(answer)
        name = self.name_of(shown, "limits", "retry_budget")
        self.assertEqual(shown[name], "1000")
        page = answer.body.decode()
        self.assertEqual(re.findall(r'id="([^"]*)[.]error"', page), [name])
        self.assertRegex(page, rf'<input type="text" id="{name}"[^>]*{name}[.]error" aria-invalid="true"')

    def test_of_two_consoles_the_later_learns_which_keys_changed(self):
        fields = self.fields(self.open("/edit"))
        fields[self.name_of(fields, "limits", "retry_budget")] = "18"
        review = self.fields(self.send("/review", fields))
        other = self.document().replace("[limits]\n", "[limits]\nmax_body = 2MiB\n")
        self.assertEqual(call(self.operators[1], "POST", "/v1/config", other, {"If-Match": "1"}).status, 200)
        result = self.send("/accept", review)
        self.assertEqual(result.status, 409)
        self.assertIn("[limits] max_body", result.body.decode())

    def test_a_form_of_another_site_is_refused(self):
        fields = self.fields(self.open("/edit"))
        review = self.fields(self.send("/review", fields))
        self.assertEqual(self.send("/accept", review, Origin="http://evil.example").status, 403)
        self.assertEqual(self.send("/accept", dict(review, anti_forgery="0" * 32)).status, 403)
        self.assertEqual(self.send("/accept", review, Cookie="a=b").status, 403)
        self.assertEqual(call(self.operators[0], "GET", "/v1/config").headers["etag"], '"1"')

    def test_a_lost_answer_is_unknown_and_can_be_found_out(self):
        fields = self.fields(self.open("/edit"))
        fields[self.name_of(fields, "limits", "retry_budget")] = "19"
        review = self.fields(self.send("/review", fields))
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 1.0, "delay_ms": 1500})
        call(self.platform, "POST", "/standin/faults", {"delay_ms": 2500})
        result = self.send("/accept", review)
        self.assertIn("not known whether", result.body.decode())
        call(self.platform, "POST", "/standin/faults", {"lose_answer_probability": 0.0, "delay_ms": 0})
        found = self.send("/accept", self.fields(result))
        self.assertIn("Accepted as version 2", found.body.decode())

    def test_every_input_has_a_label_and_values_are_escaped(self):
        page = self.open("/edit").body.decode()
        for name in re.findall(r'<input type="text" id="([^"]*)"', page):
            self.assertIn(f'<label for="{name}">', page)
        fields = self.fields(self.open("/edit"))
        fields[self.name_of(fields, "limits", "retry_budget")] = '"><script>x</script>'
        self.assertNotIn("<script>", self.send("/review", fields).body.decode())
        for path in ("/", "/vms", "/trainers"):
            self.assertEqual(self.open(path).status, 200)


if __name__ == "__main__":
    unittest.main()
