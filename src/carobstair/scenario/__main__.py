"""Run scenario files in simulation: ``python -m carobstair.scenario FILE...``."""

from __future__ import annotations

import sys
from multiprocessing import Pool
from pathlib import Path
from typing import Annotated

import cyclopts

from carobstair.scenario.expectations import Verdict, evaluate
from carobstair.scenario.parser import ScenarioError, read_scenario
from carobstair.scenario.plan import Scenario
from carobstair.scenario.world import run_world

__all__ = ["main", "run_and_evaluate"]

EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2


def main(
    files: list[Path],
    /,
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Runs per file.")] = 1,
    workers: Annotated[int, cyclopts.Parameter(help="Worker processes.")] = 4,
) -> int:
    """Simulate scenario files and print one line per expectation."""
    try:
        scenarios = [read_scenario(path) for path in files]
    except (ScenarioError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_INPUT
    jobs = [s.with_seed(s.seed + i) for s in scenarios for i in range(seeds)]
    failed = 0
    with Pool(min(workers, len(jobs))) as pool:
        runs = pool.imap(run_and_evaluate, jobs)
        for scenario, verdicts in zip(jobs, runs, strict=True):
            for verdict in verdicts:
                failed += not verdict.holds
                print(f"{scenario.name} seed {scenario.seed}: {verdict}", flush=True)
    return EXIT_FAILED if failed else 0


def run_and_evaluate(scenario: Scenario) -> list[Verdict]:
    """Run one scenario and return its verdicts."""
    return evaluate(run_world(scenario))


if __name__ == "__main__":
    app = cyclopts.App(name="carobstair.scenario", result_action="return_value")
    app.default(main)
    sys.exit(app())
