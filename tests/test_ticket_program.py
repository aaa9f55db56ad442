"""Tests of carobstair-ticket against a scripted router."""

import contextlib
import io
import json
import tempfile
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from unittest import mock

from carobstair.cli import ticket as program
from carobstair.core.refusals import refuse

TICKET = {"zones": {"z0": {"in_service": False}}}


class ScriptedRouter(ThreadingHTTPServer):
    """Answers each request with the next of the scripted answers."""

    def __init__(self, answers):
        super().__init__(("127.0.0.1", 0), ScriptedHandler)
        self.answers = list(answers)
        self.bodies = []


class ScriptedHandler(BaseHTTPRequestHandler):
    """Records the body of a request and sends the next answer."""

    def do_POST(self):
        size = int(self.headers.get("Content-Length") or 0)
        self.server.bodies.append(json.loads(self.rfile.read(size) or b"null"))
        status, document = self.server.answers.pop(0)
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST

    def log_message(self, *arguments):
        pass


def refused(name: str):
    """Return a refusal as the router sends it."""
    refusal = refuse(name, "the detail")
    return refusal.status, refusal.problem("r1")


class TicketProgramTest(unittest.TestCase):
    """Guards against exit statuses that misreport the outcome to the operator."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        patch = mock.patch.object(program, "RETRY_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def call(self, answers, *arguments):
        """Run the program and return (exit status, output, bodies sent)."""
        server = ScriptedRouter(answers)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        ini = self.folder / "ticket.ini"
        address = f"http://127.0.0.1:{server.server_port}"
        ini.write_text(f"[operator]\naddress = {address}\napi_key = k\n")
        path = self.folder / "ticket.json"
        path.write_text(json.dumps(TICKET))
        names = [str(path) if a == "TICKET" else a for a in arguments]
        out = io.StringIO()
        try:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                program.app([*names, "--settings", str(ini)], exit_on_error=False)
            status = 0
        except SystemExit as error:
            status = error.code or 0
        finally:
            server.shutdown()
            thread.join()
            server.server_close()
        return status, out.getvalue(), server.bodies

    def test_file_prints_the_number(self):
        status, text, _ = self.call([(201, {"number": 7})], "file", "TICKET")
        self.assertEqual((status, json.loads(text)["number"]), (0, 7))

    def test_unknown_outcome_is_retried_under_the_same_submission(self):
        answers = [refused("ticket-unknown"), (201, {"number": 7})]
        status, _, bodies = self.call(answers, "file", "TICKET")
        self.assertEqual(status, 0)
        self.assertEqual(len({body["submission_id"] for body in bodies}), 1)
        self.assertEqual(len(bodies), 2)

    def test_outcome_that_stays_unknown_exits_with_4_and_names_the_submission(self):
        answers = [refused("ticket-unknown")] * 3
        status, text, bodies = self.call(answers, "file", "TICKET")
        self.assertEqual(status, 4)
        self.assertIn(bodies[0]["submission_id"], text)

    def test_refusal_that_did_not_run_is_not_repeated(self):
        status, text, bodies = self.call([refused("ticket-conflict")], "file", "TICKET")
        self.assertEqual((status, len(bodies)), (1, 1))
        self.assertIn("409 ticket-conflict", text)
        self.assertIn("the detail", text)

    def test_status_counts_the_instances_and_exits_with_3_if_one_is_behind(self):
        answers = [(200, {"number": 2, "instances": {"a": 2, "b": 1}})]
        status, text, _ = self.call(answers, "status", "2")
        found = json.loads(text)
        self.assertEqual(status, 3)
        self.assertEqual(found["in_force"], "1 of 2 instances")
        self.assertEqual((found["in_force_on"], found["behind"]), (["a"], {"b": 1}))

    def test_status_waits_until_the_ticket_is_in_force_everywhere(self):
        answers = [
            (200, {"number": 2, "instances": {"a": 2, "b": held}}) for held in (1, 1, 2)
        ]
        status, text, bodies = self.call(answers, "status", "2", "--wait", "60")
        self.assertEqual((status, len(bodies)), (0, 3))
        self.assertIn("2 of 2 instances", text)
