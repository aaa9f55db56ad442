"""Runs scenario files: ``python -m carobstair.scenario FILE...``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from carobstair.scenario.expectations import judge
from carobstair.scenario.parser import ScenarioError, read_scenario
from carobstair.scenario.world import run_world

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_MISTAKE = 2


def main(
    files: list[Path],
    /,
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Runs per file.")] = 1,
) -> int:
    """Run scenario files on virtual time and print a line per expectation."""
    failed = 0
    for path in files:
        try:
            scenario = read_scenario(path)
        except (ScenarioError, OSError) as error:
            print(error, file=sys.stderr)
            return EXIT_MISTAKE
        for seed in range(scenario.seed, scenario.seed + seeds):
            for verdict in judge(run_world(scenario.with_seed(seed))):
                failed += not verdict.holds
                print(f"{scenario.name} seed {seed}: {verdict}")
    return EXIT_FAILED if failed else 0


if __name__ == "__main__":
    app = cyclopts.App(name="carobstair.scenario", result_action="return_value")
    app.default(main)
    sys.exit(app())
