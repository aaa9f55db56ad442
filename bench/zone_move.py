"""Compares service before, during and after a zone is out of service with baselines.

Usage: PYTHONPATH=src python bench/zone_move.py [--seed N]. Runs on virtual time; the
zone is out of service from 20 s to 35 s of 60 s, at a load of 70 and 90 % of the
fleet's capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from multiprocessing import Pool

import cyclopts

from carobstair.scenario.log import RunLog
from carobstair.scenario.measures import (
    first_token_s,
    idle_while_waiting,
    percentile,
    utilisation,
)
from carobstair.scenario.world import run_world
from cases import CASES, DRAFT
from compare import POLICIES

SITES = ("three-zones", "four-zones")
LOADS = ("zone-out-70", "zone-out-90")
PHASES = {"before": (12.0, 20.0), "during": (20.0, 35.0), "after": (35.0, 60.0)}


@dataclass(frozen=True)
class Service:
    """Service to callers in one phase, with times in seconds as (p95, p99)."""

    quick_s: tuple[float, float]
    long_s: tuple[float, float]
    used_fraction: float
    idle_fraction: float


def service(log: RunLog, span: tuple[float, float]) -> Service:
    """Return the service of one phase."""
    quick, long = (
        (percentile(waits, 0.95), percentile(waits, 0.99))
        for waits in (first_token_s(log, c, *span) for c in ("quick", "long"))
    )
    used_fraction, idle_fraction = (
        utilisation(log, DRAFT, *span),
        idle_while_waiting(log, DRAFT, *span),
    )
    return Service(quick, long, used_fraction, idle_fraction)


def run_one(job: tuple[str, str, int]) -> tuple[dict[str, Service], int]:
    """Return the service in each phase and the number of unanswered requests."""
    case, policy, seed = job
    log = run_world(CASES[case]().with_seed(seed), POLICIES[policy])
    unanswered = sum(n for outcome, n in log.outcomes.items() if outcome != "answered")
    return {name: service(log, span) for name, span in PHASES.items()}, unanswered


def main(*, seed: int = 1, workers: int = 3) -> None:
    """Run all cases under all policies and print a table."""
    cases = [f"{site}/{load}" for site in SITES for load in LOADS]
    jobs = [(case, policy, seed) for case in cases for policy in POLICIES]
    print("| case | policy | phase | quick p95/p99 s | long p95/p99 s | used | idle |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    with Pool(workers) as pool:
        for job, (phases, unanswered) in zip(
            jobs, pool.imap(run_one, jobs), strict=True
        ):
            for name, found in phases.items():
                print(
                    f"| {job[0]} | {job[1]} | {name} "
                    f"| {found.quick_s[0]:.2f}/{found.quick_s[1]:.2f} "
                    f"| {found.long_s[0]:.2f}/{found.long_s[1]:.2f} "
                    f"| {found.used_fraction:.1%} | {found.idle_fraction:.1%} |"
                )
            print(f"| {job[0]} | {job[1]} | not answered: {unanswered} | | | | |")


if __name__ == "__main__":
    cyclopts.run(main)
