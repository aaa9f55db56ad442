"""Sends keyed actions to real processes while routers, store and ledgers fail.

Prints a table, and exits with 1 if an action ran twice, an action ran that was
refused as not run, an outcome was lost or changed, or a caller got no answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from fleet import Fleet, FleetPlan, PlannedUpstream, key_of

ROUTERS = ("entry-1", "entry-2", "entry-3")
LEDGERS = ("ledger-1", "ledger-2")
ZONES = ("zone-a", "zone-b", "zone-c")
PLAN = FleetPlan(
    routers=tuple(zip(ROUTERS, ZONES, strict=True)),
    upstreams=tuple(
        PlannedUpstream(name, "ledger", "service", zone, 16, 8)
        for name, zone in zip(LEDGERS, ZONES, strict=False)
    ),
    workspaces={"bookings": 1.0},
)
# Type of a refusal that applies to one request only; see docs/REFUSALS.md.
PER_REQUEST_REFUSAL = "record-store-unavailable"


@dataclass
class Action:
    """Answers that the callers of one key received."""

    key: str
    answers: list[tuple[int, str, str, bytes]] = field(default_factory=list)
    lost_connections: int = 0


class Callers:
    """Sends each action one to three times through randomly chosen routers."""

    def __init__(self, fleet: Fleet, seed: int, per_s: float, length_s: float):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._per_s, self._length_s = per_s, length_s
        self.actions: dict[str, Action] = {}

    async def run(self) -> None:
        """Send open-loop load."""
        end_s = time.monotonic() + self._length_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                key = f"hold-{len(self.actions)}"
                self.actions[key] = Action(key)
                for _ in range(self._random.randint(1, 3)):
                    delay_s = (
                        self._random.choice((0, 0.05, 1.0)) * self._random.random()
                    )
                    group.create_task(self._send_later(self.actions[key], delay_s))
                await asyncio.sleep(self._random.expovariate(self._per_s))

    async def _send_later(self, action: Action, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        timeout_s = 0.05 if self._random.random() < 0.1 else 30.0
        await self.send(action, self._random.choice(ROUTERS), timeout_s)

    async def send(self, action: Action, router: str, timeout_s: float) -> None:
        """Send an action once and record the answer."""
        headers = {
            "Authorization": f"Bearer {key_of('bookings')}",
            "Idempotency-Key": action.key,
            "X-Deadline-Ms": "8000",
        }
        url = self._fleet.address(router) + "/services/ledger/holds"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._fleet.session.post(
                url, data=action.key.encode(), headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            action.lost_connections += 1
            return
        kind, ran = "", ""
        if "problem" in response.headers.get("Content-Type", ""):
            problem = json.loads(body)
            kind, ran = problem["type"].rpartition(":")[2], problem["ran"]
        action.answers.append((response.status, kind, ran, body))


class Faults:
    """Injects random faults, by a seed, into routers, store and ledgers."""

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)
        self.counts: Counter = Counter()

    async def run(self) -> None:
        """Inject faults until cancelled."""
        kinds = (self._kill, self._pause, self._store, self._ledger, self._ledger)
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            fault = self._random.choice(kinds)
            self.counts[fault.__name__.strip("_")] += 1
            await fault()

    async def heal(self) -> None:
        """Clear all faults of the store and the ledgers."""
        await self._set_store(down=False, lose_answers=0, delay_s=0.0)
        for name in LEDGERS:
            await self._set_ledger(name, drop_answers=0.0, refuse=0.0, answer_s=0.01)
            await self._set_ledger(name, cross_answers=0)

    async def _kill(self) -> None:
        name = self._random.choice(ROUTERS)
        await self._fleet.end(name, signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        self._fleet.start_router(name)
        await asyncio.sleep(2.0)

    async def _pause(self) -> None:
        process = self._fleet.processes[self._random.choice(ROUTERS)]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 3.0))
        process.send_signal(signal.SIGCONT)

    async def _store(self) -> None:
        kind = self._random.choice(("down", "lose_answers", "delay_s"))
        await self._set_store(
            **{kind: {"down": True, "lose_answers": 20, "delay_s": 1.5}[kind]}
        )
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        await self._set_store(down=False, lose_answers=0, delay_s=0.0)

    async def _ledger(self) -> None:
        name = self._random.choice(LEDGERS)
        kind = self._random.choice(("drop", "cross", "refuse", "slow"))
        faults = {
            "drop": {"drop_answers": 0.5},
            "cross": {"cross_answers": 5},
            "refuse": {"refuse": 0.7},
            "slow": {"answer_s": 1.5},
        }
        await self._set_ledger(name, **faults[kind])
        await asyncio.sleep(self._random.uniform(0.3, 1.0))
        await self._set_ledger(name, drop_answers=0.0, refuse=0.0, answer_s=0.01)

    async def _set_store(self, **values) -> None:
        await self._fleet.put_json(self._fleet.store_address + "/control", values)

    async def _set_ledger(self, name: str, **values) -> None:
        address = self._fleet.upstream_address(name)
        await self._fleet.put_json(address + "/control", values)


async def store_calls(fleet: Fleet) -> Counter:
    """Return the calls that the store has counted, by method and path."""
    found = await fleet.get_json(fleet.store_address + "/control")
    return Counter(found["calls"])


async def journal(fleet: Fleet) -> Counter:
    """Return how often each key ran, over all ledgers."""
    runs: Counter = Counter()
    for name in LEDGERS:
        found = await fleet.get_json(fleet.upstream_address(name) + "/journal")
        runs.update(entry["body"] for entry in found["journal"])
    return runs


def count_violations(actions: dict[str, Action], runs: Counter) -> dict[str, int]:
    """Return the number of violations of each invariant."""
    violations: Counter = Counter()
    violations["double runs"] = sum(n - 1 for n in runs.values() if n > 1)
    for action in actions.values():
        bodies = {body for status, _, _, body in action.answers if status == 200}
        violations["outcomes that differ"] += len(bodies) > 1
        violations["outcomes without a run"] += bool(bodies) and not runs[action.key]
        all_not_run = bool(action.answers) and all(
            ran == "no" for _, _, ran, _ in action.answers
        )
        all_not_run = all_not_run and not action.lost_connections
        violations['"not run" that ran'] += all_not_run and runs[action.key] > 0
        # The last answer was sent after all faults had ended.
        final = action.answers[-1:] if action.answers else []
        violations["outcomes lost after they were given"] += bool(bodies) and (
            not final or final[0][0] != 200
        )
        violations["actions without a final answer"] += not final
        violations['final "not run" that ran'] += (
            bool(final) and final[0][2] == "no" and runs[action.key] > 0
        )
    return dict(violations)


async def run_bench(seed: int, per_s: float, length_s: float, calm: bool) -> int:
    """Run the bench and return the exit status."""
    async with Fleet(PLAN) as fleet:
        await asyncio.sleep(3.0)
        callers, faults = Callers(fleet, seed, per_s, length_s), Faults(fleet, seed)
        before = await store_calls(fleet)
        injecting = asyncio.create_task(asyncio.sleep(0) if calm else faults.run())
        await callers.run()
        injecting.cancel()
        await asyncio.gather(injecting, return_exceptions=True)
        for process in fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        for name in ROUTERS:
            if name not in fleet.processes:
                fleet.start_router(name)
        await faults.heal()
        await asyncio.sleep(8.0)
        under_faults = await store_calls(fleet) - before
        answers = Counter(
            kind or status
            for action in callers.actions.values()
            for status, kind, _, _ in action.answers
        )
        lost = sum(a.lost_connections for a in callers.actions.values())
        # Sends each key once more, now without faults.
        limit, generator = asyncio.Semaphore(20), random.Random(seed)

        async def send_again(action: Action) -> None:
            async with limit:
                await callers.send(action, generator.choice(ROUTERS), 30.0)

        await asyncio.gather(*map(send_again, callers.actions.values()))
        await asyncio.sleep(2.0)
        runs = await journal(fleet)
    final = Counter(a.answers[-1][1] or "outcome" for a in callers.actions.values())
    violations = count_violations(callers.actions, runs)
    print(f"seed {seed}: {len(callers.actions)} actions, {sum(runs.values())} runs")
    print("faults:", dict(faults.counts))
    print("answers under faults:", dict(answers), "connections lost:", lost)
    print("answers after the faults:", dict(final))
    per_action = {
        name: round(count / len(callers.actions), 2)
        for name, count in under_faults.items()
        if name.endswith("objects")
    }
    print("store calls per action, with all other calls:", per_action)
    for name, count in violations.items():
        print(f"{name:<40} {count}")
    return 1 if any(violations.values()) else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--per-s", type=float, default=20.0)
    parser.add_argument("--length-s", type=float, default=40.0)
    parser.add_argument("--calm", action="store_true", help="inject no faults")
    arguments = parser.parse_args()
    sys.exit(
        asyncio.run(
            run_bench(
                arguments.seed, arguments.per_s, arguments.length_s, arguments.calm
            )
        )
    )
