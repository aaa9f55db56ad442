"""Measures attempts per request while half of the engines fail, on real processes.

Two baselines are simulated on virtual time beside the policy in use: up to four
attempts without a retry budget, and budgets without ejection.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from carobstair.core.retries import EjectionSettings, RetryPolicy, RetrySettings
from fleet import Fleet, FleetPlan, PlannedUpstream, key_of

# Allowed attempts per request.
MAX_RATIO = 1.2
LOAD_S = 20.0
REQUESTS_PER_S = 40.0
ENGINES = tuple(f"engine-{n}" for n in range(1, 7))
PLAN = FleetPlan(
    routers=(("entry-1", "zone-a"), ("entry-2", "zone-b"), ("entry-3", "zone-c")),
    upstreams=tuple(
        PlannedUpstream(
            name,
            "drafts",
            "engine",
            f"zone-{'abc'[n % 3]}",
            16,
            16,
            (),
            ("--cold-s", "0", "--base-interval-ms", "5"),
        )
        for n, name in enumerate(ENGINES)
    ),
    workspaces={f"workspace-{n}": 1.0 for n in range(4)},
)


def simulate(with_budget: bool, with_ejection: bool) -> tuple[float, float]:
    """Return attempts per request and answered fraction if 3 of 6 engines fail."""
    generator = random.Random(5)
    policy = RetryPolicy(RetrySettings(), EjectionSettings(), generator)
    requests, attempts, answered = 20_000, 0, 0
    for number in range(requests):
        now_s, workspace = number / REQUESTS_PER_S, f"workspace-{number % 4}"
        policy.note_request(workspace, now_s)
        for attempt in range(1, 100):
            ejected_engines = (
                policy.ejections.ejected(ENGINES, now_s) if with_ejection else ()
            )
            engine = generator.choice([e for e in ENGINES if e not in ejected_engines])
            attempts += 1
            policy.note_attempt(engine, now_s)
            if engine not in ENGINES[:3]:
                policy.ejections.note_success(engine)
                answered += 1
                break
            policy.ejections.note_failure(engine, now_s)
            if (
                attempt >= 4
                if not with_budget
                else not policy.allow(workspace, engine, now_s)
            ):
                break
    return attempts / requests, answered / requests


async def load(fleet: Fleet, outcomes: Counter) -> None:
    """Send open-loop load through all routers."""
    generator, end_s = random.Random(6), time.monotonic() + LOAD_S
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            group.create_task(_ask(fleet, generator, outcomes))
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))


async def _ask(fleet: Fleet, generator: random.Random, outcomes: Counter) -> None:
    message = {"role": "user", "content": f"{generator.random()} answer_tokens=8"}
    body = {"model": "drafts", "max_tokens": 8, "messages": [message]}
    workspace = f"workspace-{generator.randrange(4)}"
    router = generator.choice(PLAN.routers)[0]
    headers = {"Authorization": f"Bearer {key_of(workspace)}"}
    url = fleet.address(router) + "/v1/chat/completions"
    try:
        async with fleet.session.post(url, json=body, headers=headers) as response:
            await response.read()
            outcomes[response.status] += 1
    except aiohttp.ClientError as error:
        outcomes[type(error).__name__] += 1


async def scrape(fleet: Fleet) -> Counter:
    """Return the metrics of all routers, summed by name."""
    found: Counter = Counter()
    for name, _ in PLAN.routers:
        for family in text_string_to_metric_families(await fleet.metrics(name)):
            for sample in family.samples:
                found[sample.name] += sample.value
    return found


async def run_bench() -> int:
    """Run the bench and return the exit status."""
    for name, flags in (
        ("four attempts, no budget", (False, False)),
        ("budgets only", (True, False)),
        ("budgets and ejection", (True, True)),
    ):
        ratio, answered = simulate(*flags)
        print(f"virtual time, {name}: {ratio:.3f} attempts, {answered:.1%} answered")
    worst = 0.0
    for fault in ("refusing", "dead"):
        outcomes: Counter = Counter()
        async with Fleet(PLAN) as fleet:
            await asyncio.sleep(3.0)
            for engine in ENGINES[:3]:
                if fault == "dead":
                    await fleet.end(engine)
                else:
                    address = fleet.upstream_address(engine)
                    await fleet.put_json(address + "/control", {"failing": True})
            await load(fleet, outcomes)
            found = await scrape(fleet)
        requests = sum(outcomes.values())
        attempts = found["carobstair_upstream_attempts_total"]
        worst = max(worst, attempts / requests)
        print(
            f"real processes, half {fault}: {attempts / requests:.3f} attempts, "
            f"{outcomes[200] / requests:.1%} answered, {dict(outcomes)}, "
            f"{found['carobstair_upstream_ejections_total']:.0f} ejections"
        )
    print(f"limit {MAX_RATIO}: {'kept' if worst <= MAX_RATIO else 'exceeded'}")
    return 0 if worst <= MAX_RATIO else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run_bench()))
