"""Tests of invalid settings: each program prints one line and exits with 2."""

import contextlib
import importlib
import io
import tempfile
import unittest
from pathlib import Path

from carobstair.cli.program import run

VALID = {
    "router": "[instance]\nname = entry-1\nzone = a\nhttp_port = 8080\n"
    "[platform]\naddress = http://127.0.0.1:1\napi_key = hush-1\n"
    "[gateway]\noperator_key = hush-2\n",
    "ticket": "[operator]\naddress = http://127.0.0.1:1\napi_key = hush-1\n",
    "report": "[report]\nrouters = r-1=http://127.0.0.1:1\nmetrics_key = hush-1\n",
    "load": "[load]\nrouters = http://127.0.0.1:1, http://127.0.0.1:2\n"
    "[workspace.w]\nkey = hush-1\nmodel = m\n",
}
# Section, key, invalid value and what the error must say is allowed.
INVALID_VALUES = {
    "router": [
        ("instance", "http_port", "many", "valid integer"),
        ("instance", "http_port", "99999", "less than or equal to 65535"),
        ("platform", "address", "nowhere", "https?://"),
        ("gateway", "quick_fraction", "1", "less than 1"),
        ("peers", "seeds", "entry-2", "HOST:PORT"),
        # With a suspicion time below two heartbeats, live peers are declared dead in
        # turn.
        ("peers", "suspicion_s", "0.6", "at least 1.0, 2 x heartbeat_s"),
        ("instance", "peer_port", "8080", "differ from http_port"),
        ("gateway", "metrics_key", "hush-2", "differ from operator_key"),
        ("peers", "server_secret_key", "hush-3", "40 characters"),
    ],
    "ticket": [("operator", "address", "nowhere", "https?://")],
    "report": [
        ("report", "routers", "entry-1", "NAME=http://HOST:PORT"),
        ("report", "interval_s", "300", "less than or equal to 100"),
        ("report", "history_days", "2", "at least 7.0, the value of budget_days"),
        ("objectives", "whole", "1", "less than 1"),
    ],
    "load": [
        ("load", "routers", "entry-1", "http://HOST:PORT"),
        ("load", "rate_per_s", "0", "greater than 0"),
        ("load", "router_weights", "1", "2 numbers from 0, one per router"),
        ("workspace.w", "median_tokens", "9000", "at most 2000, the value of max"),
        ("workspace.w", "action_fraction", "2", "less than or equal to 1"),
        ("workspace.w", "model", "", "must be named"),
    ],
}
SECRETS = ("hush-1", "hush-2", "hush-3", "hush-4")


def invoke(program, *arguments):
    """Run a program in this process; return its exit status, output and errors."""
    module = importlib.import_module(f"carobstair.cli.{program}")
    output, errors = io.StringIO(), io.StringIO()
    status = 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            run(module.app, [str(argument) for argument in arguments])
        except SystemExit as stop:
            status = stop.code or 0
    return status, output.getvalue(), errors.getvalue()


def with_value(text, section, key, value):
    """Return the INI text with a key set to a value."""
    lines = [line for line in text.splitlines() if not line.startswith(f"{key} =")]
    if f"[{section}]" not in lines:
        lines.append(f"[{section}]")
    lines.insert(lines.index(f"[{section}]") + 1, f"{key} = {value}")
    return "\n".join(lines) + "\n"


class TestInvalidSettings(unittest.TestCase):
    """Guards against unclear settings errors and against secrets in output."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "program.ini"

    def check(self, program, text, *expected):
        """Check that a text is refused with one line that contains all parts."""
        if text is not None:
            self.path.write_bytes(text if isinstance(text, bytes) else text.encode())
        status, output, errors = invoke(program, "--settings", self.path)
        self.assertEqual(status, 2, errors)
        self.assertEqual(output, "")
        self.assertEqual(errors.count("\n"), 1, errors)
        for part in (str(self.path), *expected):
            self.assertIn(part, errors)
        for secret in SECRETS:
            self.assertNotIn(secret, errors)

    def test_each_kind_of_error_in_each_program(self):
        for program, valid in VALID.items():
            section = valid[1 : valid.index("]")]
            key = valid.splitlines()[1].split(" = ")[0]
            kinds = {
                "no such file": (None, "No such file"),
                "not text": (b"\xff\xfe", "codec"),
                "no section": ("name = x\n", "no section headers", "name"),
                "key twice": (valid + valid, "already exists", section),
                "unknown section": (valid + "[gate]\n", "[gate]", "allowed: "),
                "section [DEFAULT]": (valid + "[DEFAULT]\nx = 1\n", "[DEFAULT]"),
                "unknown key": (
                    with_value(valid, section, "zzz", "7"),
                    f"[{section}] zzz = 7",
                    f"allowed: {key}",
                ),
                "misspelt secret": (
                    with_value(valid, section, "operatr_key", "hush-4"),
                    "operatr_key = (hidden)",
                ),
                "section missing": ("", f"[{section}]", "missing and required"),
                "key missing": (
                    valid.replace(valid.splitlines()[1] + "\n", ""),
                    f"[{section}] {key}",
                    "missing and required",
                ),
            }
            for name, (text, *expected) in kinds.items():
                with self.subTest(program=program, kind=name):
                    self.path.unlink(missing_ok=True)
                    self.check(program, text, *expected)

    def test_errors_for_invalid_and_conflicting_values_name_what_is_allowed(self):
        for program, cases in INVALID_VALUES.items():
            for section, key, value, allowed in cases:
                with self.subTest(program=program, key=key, value=value):
                    text = with_value(VALID[program], section, key, value)
                    shown = "(hidden)" if value in SECRETS else value
                    self.check(
                        program, text, f"[{section}]", f"{key} = {shown}", allowed
                    )

    def test_check_settings_prints_effective_settings_without_secrets(self):
        for program, valid in VALID.items():
            with self.subTest(program=program):
                self.path.write_text(valid)
                status, output, errors = invoke(
                    program, "--settings", self.path, "--check-settings"
                )
                self.assertEqual((status, errors), (0, ""))
                for secret in SECRETS:
                    self.assertNotIn(secret, output)
                if "hush" in valid:
                    self.assertIn("key = (hidden)", output)
                again = self.path.with_name("again.ini")
                again.write_text(output)
                self.assertEqual(
                    invoke(program, "--settings", again, "--check-settings")[1], output
                )

    def test_usage_errors_are_one_line_with_status_2(self):
        for program in VALID:
            for arguments in ((), ("--bogus",), ("--settings",)):
                with self.subTest(program=program, arguments=arguments):
                    status, _, errors = invoke(program, *arguments)
                    self.assertEqual(status, 2)
                    self.assertEqual(errors.count("\n"), 1, errors)
                    self.assertIn(f"carobstair-{program}: ", errors)


if __name__ == "__main__":
    unittest.main()
