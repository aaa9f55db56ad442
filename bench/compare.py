"""Compares the design with two baselines, in one run with the same seeds.

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
    "falls",
    "not answered",
)


@dataclass(frozen=True)
class Figures:
    """What one run of one policy gave."""

    gap: float
    gap_relative: float
    pair: str
    utilisation: float
    idle: float
    quick_s: tuple[float, ...]
    long_s: tuple[float, ...]
    control_bytes_per_s: float
    falls: int
    not_answered: int


def measure(scenario: Scenario, log: RunLog) -> Figures:
    """Return the figures of a run, from the start of its measured span."""
    span = (scenario.measure_from_s, scenario.duration_s)
    gap = largest_gap(log, *span)
    quick, long = (first_token_s(log, c, *span) for c in ("quick", "long"))
    sent = sum(log.sent_bytes.values())
    return Figures(
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


def run_one(job: tuple[str, str, int]) -> Figures:
    """Run a case under a policy with a seed."""
    case, policy, seed = job
    scenario = CASES[case]().with_seed(seed)
    return measure(scenario, run_world(scenario, POLICIES[policy]))


def combine(runs: list[Figures]) -> Figures:
    """Return the worst gap and the medians of the other figures."""
    worst = max(runs, key=lambda run: run.gap_relative)
    return Figures(
        worst.gap,
        worst.gap_relative,
        worst.pair,
        statistics.median(r.utilisation for r in runs),
        statistics.median(r.idle for r in runs),
        tuple(
            statistics.median(v) for v in zip(*(r.quick_s for r in runs), strict=True)
        ),
        tuple(
            statistics.median(v) for v in zip(*(r.long_s for r in runs), strict=True)
        ),
        statistics.median(r.control_bytes_per_s for r in runs),
        max(r.falls for r in runs),
        sum(r.not_answered for r in runs),
    )


def row(case: str, policy: str, figures: Figures) -> str:
    """Return a line of the table."""
    cells = (
        case,
        policy,
        f"{figures.gap:.0f}",
        f"{figures.gap_relative:.2f}",
        figures.pair,
        f"{figures.utilisation:.1%}",
        f"{figures.idle:.1%}",
        "/".join(f"{v:.2f}" for v in figures.quick_s),
        "/".join(f"{v:.2f}" for v in figures.long_s),
        f"{figures.control_bytes_per_s:.0f}",
        f"{figures.falls}",
        f"{figures.not_answered}",
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
