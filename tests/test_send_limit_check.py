"""Tests of the check of a configuration against the fleet's limits on sends."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from carobstair.cli import ticket as program
from carobstair.core.config_check import CheckSettings, check_routing, unchecked_rules
from carobstair.platform.config_check import parse_routing
from platform_standins import make_config
from test_boot import BOOT

ATTEMPTS = "attempts-beyond-budget"
COLD = "cold-rate-above-engines"


def with_attempts(count):
    """Return a configuration whose first route allows so many attempts."""
    config = make_config()
    config["routes"][0]["maxAttempts"] = count
    return config


def with_cold_rate(rate, **changes):
    """Return a configuration whose engines take 10 requests of 200 ms each."""
    config = make_config()
    config["services"][0] |= {"coldPerS": rate, "maxConnections": 10} | changes
    return config


def rules_of(document, **figures):
    """Return the rules of the findings on a configuration."""
    config, _ = parse_routing(json.dumps(document).encode())
    return [f.rule for f in check_routing(config, None, CheckSettings(**figures))]


class SendLimitCheckTest(unittest.TestCase):
    """Guards against limits that have no effect, seen only in the next outage."""

    def test_attempts_and_resend_ratio(self):
        for ratio, most in ((0.0, 1), (0.01, 1), (0.1, 2), (0.2, 3), (1.0, 7)):
            with self.subTest(ratio):
                config = make_config(routes=with_attempts(most)["routes"][:1])
                # Without objective, time-out and attempts don't contradict each other.
                config["routes"][0]["targetLatencyMs"] = 0
                self.assertEqual(rules_of(config, resend_ratio=ratio), [])
                config["routes"][0]["maxAttempts"] = most + 1
                found = rules_of(config, resend_ratio=ratio)
                self.assertEqual(found, [ATTEMPTS])

    def test_any_number_of_attempts_is_judged(self):
        config = with_attempts(10**400)
        config["routes"][0]["targetLatencyMs"] = 0
        self.assertEqual(rules_of(config, resend_ratio=0.2), [ATTEMPTS])
        self.assertEqual(rules_of(config, resend_ratio=1e300), [])

    def test_cold_rate_and_number_of_engines(self):
        # Two engines take 100 requests a second; the limit is 1.5 times the rate + 5.
        figures = {"engines": {"plain": 2}}
        self.assertEqual(rules_of(with_cold_rate(63), **figures), [])
        self.assertEqual(rules_of(with_cold_rate(64), **figures), [COLD])
        self.assertEqual(rules_of(with_cold_rate(64), engines={"plain": 3}), [])
        exact = figures | {"cold_overshoot": 1.0, "cold_slack": 0.0}
        self.assertEqual(rules_of(with_cold_rate(100), **exact), [])
        self.assertEqual(rules_of(with_cold_rate(101), **exact), [COLD])

    def test_slots_of_engines_precede_connections(self):
        shape = {"slots": 5, "kvCapacityTokens": 1_000}
        config = with_cold_rate(24, engine=shape)
        self.assertEqual(rules_of(config, engines={"plain": 1}), [COLD])

    def test_rules_without_figures_are_named(self):
        config, _ = parse_routing(json.dumps(with_cold_rate(64)).encode())
        missing = {entry.rule for entry in unchecked_rules(config, CheckSettings())}
        self.assertEqual(missing, {ATTEMPTS, COLD})
        known = CheckSettings(resend_ratio=0.2, engines={"plain": 2})
        self.assertEqual(unchecked_rules(config, known), [])
        self.assertEqual(rules_of(with_cold_rate(64)), [])


class SendLimitOptionTest(unittest.TestCase):
    """Guards against a check that passes as it did not know a figure."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_check(self, document, *options):
        """Return the exit status and the output of the program."""
        path = self.folder / "document.json"
        path.write_text(json.dumps(document))
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            try:
                program.app(["check", str(path), *options], exit_on_error=False)
            except SystemExit as error:
                return error.code or 0, out.getvalue()
        return 0, out.getvalue()

    def test_missing_figures_are_printed(self):
        status, text = self.run_check(with_cold_rate(5))
        self.assertEqual(status, 0)
        self.assertIn(f"{ATTEMPTS} not checked, needs --retry-ratio", text)
        self.assertIn(f"{COLD} not checked, needs --engines plain=N", text)
        _, text = self.run_check(with_cold_rate(5), "--json")
        rows = json.loads(text)["not_checked"]
        self.assertEqual({row["rule"] for row in rows}, {ATTEMPTS, COLD})
        self.assertEqual(rows[-1]["path"], "services[0].coldPerS")

    def test_options(self):
        options = ("--retry-ratio", "0", "--engines", "plain=1")
        status, text = self.run_check(with_cold_rate(60), *options)
        self.assertEqual(status, 1)
        self.assertIn(f"routes[0].maxAttempts: warning {ATTEMPTS}", text)
        self.assertIn(f"services[0].coldPerS: warning {COLD}", text)
        self.assertNotIn("not checked", text)

    def test_settings_file_of_a_router(self):
        path = self.folder / "node.toml"
        text = BOOT.format(peer=1, last=16, front=2, ready=3, store=4)
        path.write_text(text.replace("graceS = 3", "retryBudgetRatio = 0.01"))
        options = ("--settings", str(path))
        status, text = self.run_check(make_config(), *options)
        self.assertEqual(status, 1)
        self.assertIn(ATTEMPTS, text)
        # An option precedes the file.
        options += ("--retry-ratio", "0.2")
        self.assertEqual(self.run_check(make_config(), *options)[0], 0)

    def test_options_that_say_nothing_are_refused(self):
        for options in (
            ("--engines", "plain"),
            ("--engines", "plain=0"),
            ("--engines", "=2"),
            ("--retry-ratio", "-1"),
            ("--retry-ratio", "nan"),
            ("--settings", str(self.folder / "missing.toml")),
        ):
            with self.subTest(options):
                status, text = self.run_check(make_config(), *options)
                self.assertEqual(status, 2, text)


if __name__ == "__main__":
    unittest.main()
