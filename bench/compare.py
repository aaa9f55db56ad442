"""Compares the capacity node with two baselines on the same cases and seeds.

Usage: PYTHONPATH=src python bench/compare.py [--seeds N] [--case NAME ...]
"""

from __future__ import annotations

import statistics
import sys
from dataclasses import dataclass
from multiprocessing import Pool
from typing import Annotated

import cyclopts

from carobstair.core.capacity import CapacityNode
from carobstair.scenario.log import RunLog
from carobstair.scenario.measures import (
    first_token_s,
    idle_while_waiting,
    largest_gap,
    percentile,
    utilisation,
)
from carobstair.scenario.plan import Scenario
from carobstair.scenario.world import run_world
from cases import CASES, DRAFT
from policies import FifoNode, LocalFairNode

POLICIES = {"fifo": FifoNode, "local": LocalFairNode, "design": CapacityNode}
HEADER = (
    "case",
    "policy",
    "gap",
    "gap/bound",
    "pair",
    "util",
    "idle-wait",
    "quick p50/p95/p99 s",
    "long p50/p95/p99 s",
    "B/s/node",
    "overloads",
    "not answered",
)


@dataclass(frozen=True)
class Measurements:
    """Measurements of a run of one policy."""

    gap: float
    gap_relative: float
    pair: str
    utilisation: float
    idle_fraction: float
    quick_s: tuple[float, ...]
    long_s: tuple[float, ...]
    control_bytes_per_s: float
    cold_overloads: int
    not_answered: int


def measure(scenario: Scenario, log: RunLog) -> Measurements:
    """Return the measurements of a run over its measured span."""
    span = (scenario.measure_from_s, scenario.duration_s)
    gap = largest_gap(log, *span)
    quick, long = (first_token_s(log, c, *span) for c in ("quick", "long"))
    sent = sum(log.sent_bytes.values())
    return Measurements(
        gap.tokens,
        gap.relative,
        "/".join(gap.pair),
        utilisation(log, DRAFT, *span),
        idle_while_waiting(log, DRAFT, *span),
        _percentiles(quick),
        _percentiles(long),
        sent / len(scenario.routers) / scenario.duration_s,
        sum(len(times) for times in log.overloads.values()),
        sum(n for outcome, n in log.outcomes.items() if outcome != "answered"),
    )


def run_one(job: tuple[str, str, int]) -> Measurements:
    """Run a case under a policy with a seed and return its measurements."""
    case, policy, seed = job
    scenario = CASES[case]().with_seed(seed)
    return measure(scenario, run_world(scenario, POLICIES[policy]))


def combine(runs: list[Measurements]) -> Measurements:
    """Combine the runs of several seeds.

    Returns
    -------
    Measurements
        The largest gap and number of overloads, the sum of the requests without an
        answer, and the medians of the other measurements.
    """
    worst = max(runs, key=lambda run: run.gap_relative)
    return Measurements(
        worst.gap,
        worst.gap_relative,
        worst.pair,
        statistics.median(r.utilisation for r in runs),
        statistics.median(r.idle_fraction for r in runs),
        tuple(
            statistics.median(v) for v in zip(*(r.quick_s for r in runs), strict=True)
        ),
        tuple(
            statistics.median(v) for v in zip(*(r.long_s for r in runs), strict=True)
        ),
        statistics.median(r.control_bytes_per_s for r in runs),
        max(r.cold_overloads for r in runs),
        sum(r.not_answered for r in runs),
    )


def row(case: str, policy: str, measurements: Measurements) -> str:
    """Return a line of the table."""
    cells = (
        case,
        policy,
        f"{measurements.gap:.0f}",
        f"{measurements.gap_relative:.2f}",
        measurements.pair,
        f"{measurements.utilisation:.1%}",
        f"{measurements.idle_fraction:.1%}",
        "/".join(f"{v:.2f}" for v in measurements.quick_s),
        "/".join(f"{v:.2f}" for v in measurements.long_s),
        f"{measurements.control_bytes_per_s:.0f}",
        f"{measurements.cold_overloads}",
        f"{measurements.not_answered}",
    )
    return "| " + " | ".join(cells) + " |"


def _percentiles(waits: list[float]) -> tuple[float, ...]:
    return tuple(percentile(waits, fraction) for fraction in (0.5, 0.95, 0.99))


def main(
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Seeds per case.")] = 3,
    case: Annotated[list[str] | None, cyclopts.Parameter(help="Cases.")] = None,
    workers: Annotated[int, cyclopts.Parameter(help="Processes.")] = 3,
) -> None:
    """Measure every case under every policy and print a table."""
    names = case or list(CASES)
    jobs = [(c, p, s + 1) for c in names for p in POLICIES for s in range(seeds)]
    print("| " + " | ".join(HEADER) + " |")
    print("|" + " --- |" * len(HEADER))
    with Pool(workers) as pool:
        results = pool.imap(run_one, jobs)
        for c in names:
            for p in POLICIES:
                runs = [next(results) for _ in range(seeds)]
                print(row(c, p, combine(runs)), flush=True)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
