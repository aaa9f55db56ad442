"""Runs every scenario file, unchanged and with a named defect enabled."""

import os
import unittest
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

from carobstair.scenario.expectations import Verdict, evaluate
from carobstair.scenario.parser import ScenarioError, parse_scenario, read_scenario
from carobstair.scenario.world import run_world
from scenario_defects import DEFECTS, defect

FOLDER = Path(__file__).resolve().parent.parent / "scenarios"
FILES = {path.stem: path for path in sorted(FOLDER.glob("*.scenario"))}
WORKERS = min(6, os.cpu_count() or 1)

IGNORE_EPOCH = "shares that ignore the epoch"
NO_ORDER = "order without fairness"
NO_COLD = "no cold limit"
NO_EPOCH_CHANGE = "epoch that never changes"
NO_STATE = "zones and leaving ignored"
STUCK = "tickets stuck"
DOUBT = "doubtful ticket refused"
NO_CONDITION = "action records that replace others"
NO_DEADLINE = "no progress deadline"

DEFECT_OF = {
    "cold-limit-below-routers": "no peer believed alive",
    "failure-cold-without-warning": NO_COLD,
    "failure-flood": "queue without bound",
    "failure-lost-store-answer": DOUBT,
    "failure-one-way-partition": IGNORE_EPOCH,
    "failure-partition-and-rejoin": IGNORE_EPOCH,
    "failure-paused-holder": "grants that lapse at once",
    "failure-racing-operators": STUCK,
    "failure-rack": NO_EPOCH_CHANGE,
    "failure-router-alone": IGNORE_EPOCH,
    "failure-router-gone": NO_EPOCH_CHANGE,
    "failure-router-restart": NO_EPOCH_CHANGE,
    "failure-silent-connection": NO_DEADLINE,
    "failure-stalled-engine": NO_DEADLINE,
    "failure-store-outage": STUCK,
    "failure-store-slow": STUCK,
    "invariant-01-bounded-gap": "fairness without exchange",
    "invariant-02-no-starvation": NO_ORDER,
    "invariant-02-short-queue": "longest queue first",
    "invariant-03-cold-start": NO_COLD,
    "invariant-04-zone-out": NO_STATE,
    "invariant-05-whole-answers": "answers start again",
    "invariant-06-true-refusals": "untrue refusals",
    "invariant-07-actions-at-most-once": NO_CONDITION,
    "invariant-08-upstream-leaves": NO_STATE,
    "invariant-09-graceful-shutdown": "shutdown cuts",
    "invariant-10-ticket-in-force": STUCK,
    "invariant-11-no-idle-capacity": "no peer believed alive",
    "invariant-12-final-answer-at-once": "deadlines noticed late",
    "invariant-12-no-upstream-left": STUCK,
    "pair-actions-and-partition": NO_CONDITION,
    "pair-actions-and-store-outage": NO_CONDITION,
    "pair-flood-and-cold-engine": NO_COLD,
    "pair-flood-and-restart": NO_ORDER,
    "pair-partition-and-flood": NO_ORDER,
    "pair-partition-and-restart": NO_EPOCH_CHANGE,
    "pair-partition-and-store-outage": IGNORE_EPOCH,
    "pair-pause-and-cold-engine": NO_COLD,
    "pair-pause-and-restart": NO_EPOCH_CHANGE,
    "pair-racing-operators-and-lost-answers": DOUBT,
    "pair-restart-and-store-outage": IGNORE_EPOCH,
    "pair-shutdown-and-store-outage": "shutdown cuts",
    "pair-silence-and-crash": NO_DEADLINE,
    "pair-zone-out-and-loss": NO_STATE,
    "pair-zone-out-and-lost-answers": DOUBT,
    "pair-zone-out-and-partition": STUCK,
    "pair-zone-out-and-restart": NO_STATE,
    "quick-beside-long": "quick requests last",
}


def run_file(name: str, with_defect: str | None) -> list[Verdict]:
    """Run a scenario file and return its verdicts."""
    scenario = read_scenario(FILES[name])
    if with_defect is None:
        return evaluate(run_world(scenario))
    with defect(with_defect):
        return evaluate(run_world(scenario))


class ScenarioRuns:
    """Runs of all files, submitted together to a pool of processes."""

    def __init__(self) -> None:
        self._pool = ProcessPoolExecutor(WORKERS)
        self._started: dict[tuple[str, str | None], Future] = {}
        for name in FILES:
            for with_defect in (None, DEFECT_OF.get(name)):
                job = (name, with_defect)
                self._started[job] = self._pool.submit(run_file, *job)

    def failures(self, name: str, with_defect: str | None) -> set[str]:
        """Return the expectations that a run did not meet."""
        verdicts = self._started[(name, with_defect)].result()
        return {
            str(v) if with_defect is None else v.expectation.text
            for v in verdicts
            if not v.holds
        }

    def unmet_texts(self, name: str) -> set[str]:
        """Return what the run without a defect did not meet, without values."""
        verdicts = self._started[(name, None)].result()
        return {v.expectation.text for v in verdicts if not v.holds}

    def close(self) -> None:
        """Shut down the pool."""
        self._pool.shutdown(cancel_futures=True)


class _ScenarioRunsCase(unittest.TestCase):
    runs: ScenarioRuns | None = None

    @classmethod
    def setUpClass(cls):
        if _ScenarioRunsCase.runs is None:
            _ScenarioRunsCase.runs = ScenarioRuns()
            unittest.addModuleCleanup(_close_runs)


def _close_runs() -> None:
    _ScenarioRunsCase.runs.close()
    _ScenarioRunsCase.runs = None


class ScenarioFilesTest(_ScenarioRunsCase):
    """Guards against changes that break a guarantee of the design."""


class ScenarioDefectsTest(_ScenarioRunsCase):
    """Guards against scenarios that pass whatever the decision code does."""


def _add_tests(name: str) -> None:
    method = "test_" + name.replace("-", "_")

    def passes(self):
        self.assertEqual(self.runs.failures(name, None), set())

    def detects_defect(self):
        detected = self.runs.failures(name, DEFECT_OF[name]) - self.runs.unmet_texts(
            name
        )
        self.assertTrue(detected, f"{DEFECT_OF[name]} changes no verdict")

    setattr(ScenarioFilesTest, method, passes)
    setattr(ScenarioDefectsTest, method, detects_defect)


for _name in FILES:
    _add_tests(_name)


class CoverageTest(unittest.TestCase):
    """Guards against files without a defect and defects that nothing uses."""

    def test_every_file_has_a_defect_and_every_defect_a_file(self):
        self.assertEqual(set(DEFECT_OF), set(FILES))
        self.assertEqual(set(DEFECT_OF.values()), set(DEFECTS))

    def test_every_file_is_documented(self):
        page = (FOLDER.parent / "docs" / "SCENARIOS.md").read_text()
        missing = [name for name in FILES if f"`{name}`" not in page]
        self.assertEqual(missing, [])


FLEET = "router a zone z\nengine e pool p zone z\nworkspace w sends quick at 1/s\n"


class ParserTest(unittest.TestCase):
    """Guards against errors in files that are accepted or reported without a line."""

    def assert_error(self, line: str, pattern: str):
        with self.assertRaisesRegex(ScenarioError, pattern):
            parse_scenario(FLEET + line, "x", "x.scenario")

    def test_errors_name_file_line_and_what_is_allowed(self):
        self.assert_error("run 5\n", r"x\.scenario:4: found '5'; allowed: a duration")
        self.assert_error("at 1s kill b\n", r":4: router b is not defined; allowed: a")
        self.assert_error("expect reverts <= bound\n", r":4: only gap and unserved")
        self.assert_error("expect gap w\n", r":4: found .*; allowed: a name")

    def test_scenario_that_checks_nothing_is_an_error(self):
        self.assert_error("", "no expectations")

    def test_values_carry_their_units(self):
        text = FLEET + "at 150ms loss 5%\nexpect idle-while-waiting p <= 1%\n"
        scenario = parse_scenario(text, "x", "x.scenario")
        fault = scenario.faults[0]
        self.assertEqual((fault.at_s, fault.value), (0.15, 0.05))
        self.assertEqual(scenario.expectations[0].bound, 0.01)


if __name__ == "__main__":
    unittest.main()
