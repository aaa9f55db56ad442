"""Restarts all routers one after another under load, on real processes.

The callers choose among the routers that `/readyz` reported as ready at the last
poll, as behind a load balancer with lag. Prints a table, and exits with 1 if a
request failed, an action ran twice or a router exited with an error.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from collections import Counter

import aiohttp

from carobstair.standins.engine import answer_token
from fleet import Fleet, FleetPlan, PlannedUpstream, key_of

ROUTERS = ("entry-1", "entry-2", "entry-3")
ZONES = ("zone-a", "zone-b", "zone-c")
PLAN = FleetPlan(
    routers=tuple(zip(ROUTERS, ZONES, strict=True)),
    upstreams=(
        *(
            PlannedUpstream(
                f"engine-{n}", "drafts", "engine", zone, 8, 8, (), ("--cold-s", "0")
            )
            for n, zone in enumerate(ZONES)
        ),
        PlannedUpstream("ledger-1", "ledger", "service", "zone-a", 16, 8),
    ),
    workspaces={"drafts": 1.0, "bookings": 1.0},
)
# Interval between polls of `/readyz`; the balancer lag set in the routers is 1 s.
BALANCER_POLL_S = 0.3
STREAMS = 12
ACTIONS_PER_S = 15.0


class Balancer:
    """Keeps the routers that were ready at the last poll."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self.ready: list[str] = list(ROUTERS)

    async def run(self) -> None:
        """Poll the routers until cancelled."""
        while True:
            seen = [n for n in ROUTERS if await self.is_ready(n)]
            self.ready = seen or self.ready
            await asyncio.sleep(BALANCER_POLL_S)

    async def is_ready(self, name: str) -> bool:
        """Return whether a router reports that it is ready."""
        with contextlib.suppress(aiohttp.ClientError):
            async with self._fleet.session.get(
                self._fleet.address(name) + "/readyz"
            ) as response:
                return response.status == 200
        return False


class Load:
    """Sends long streams, and keyed actions that are each sent twice."""

    def __init__(self, fleet: Fleet, balancer: Balancer):
        self._fleet, self._balancer = fleet, balancer
        self._random = random.Random(11)
        self.outcomes: Counter = Counter()
        self.failures: list[str] = []
        self.ended = False
        self._keys = 0

    async def run(self) -> None:
        """Send load until `ended` is set, then wait for the open requests."""
        async with asyncio.TaskGroup() as group:
            for _ in range(STREAMS):
                group.create_task(self._stream_loop())
            while not self.ended:
                self._keys += 1
                for _ in range(2):
                    group.create_task(self._send_action(f"hold-{self._keys}"))
                await asyncio.sleep(self._random.expovariate(ACTIONS_PER_S))

    async def _stream_loop(self) -> None:
        while not self.ended:
            await self._stream(self._random.randint(30, 150))

    async def _stream(self, tokens: int) -> None:
        prompt = f"{self._random.random()} answer_tokens={tokens}"
        body = {
            "model": "drafts",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        router, parts = self._random.choice(self._balancer.ready), []
        url = self._fleet.address(router) + "/v1/chat/completions"
        try:
            async with self._fleet.session.post(
                url, json=body, headers=_headers("drafts")
            ) as response:
                if response.status != 200:
                    self._record(f"stream {response.status} at {router}", False)
                    return
                async for line in response.content:
                    if line.startswith(b'data: {"id"'):
                        delta = json.loads(line[5:])["choices"][0]["delta"]
                        parts.append(delta.get("content", ""))
        except aiohttp.ClientError as error:
            self._record(f"stream {error!r} at {router}", False)
            return
        user = f"user: {prompt}"
        expected = "".join(answer_token(user, n) for n in range(1, tokens + 1))
        self._record(f"stream of {len(parts)} parts", "".join(parts) == expected)

    async def _send_action(self, key: str) -> None:
        headers = {**_headers("bookings"), "Idempotency-Key": key}
        router = self._random.choice(self._balancer.ready)
        url = self._fleet.address(router) + "/services/ledger/holds"
        try:
            async with self._fleet.session.post(
                url, data=key.encode(), headers=headers
            ) as response:
                await response.read()
                self._record(f"action {response.status}", response.status == 200)
        except aiohttp.ClientError as error:
            self._record(f"action {error!r} at {router}", False)

    def _record(self, description: str, succeeded: bool) -> None:
        self.outcomes["whole" if succeeded else "cut or refused"] += 1
        if not succeeded:
            self.failures.append(description)


def _headers(workspace: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key_of(workspace)}"}


async def restart_all(fleet: Fleet, balancer: Balancer) -> tuple[list, list[float]]:
    """Restart the routers one after another; return exit statuses and stop times."""
    exit_statuses, times_s = [], []
    for name in ROUTERS:
        began_s = time.monotonic()
        exit_statuses.append(await fleet.end(name))
        times_s.append(round(time.monotonic() - began_s, 1))
        fleet.start_router(name)
        while not await balancer.is_ready(name):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
    return exit_statuses, times_s


async def run_bench() -> int:
    """Run the bench and return the exit status."""
    async with Fleet(PLAN) as fleet:
        await asyncio.sleep(3.0)
        balancer = Balancer(fleet)
        polling = asyncio.create_task(balancer.run())
        load = Load(fleet, balancer)
        running = asyncio.create_task(load.run())
        await asyncio.sleep(2.0)
        exit_statuses, times_s = await restart_all(fleet, balancer)
        load.ended = True
        await running
        polling.cancel()
        ledger = fleet.upstream_address("ledger-1")
        journal = (await fleet.get_json(ledger + "/journal"))["journal"]
        double_runs = len(journal) - len({entry["body"] for entry in journal})
    print("requests:", dict(load.outcomes))
    print("actions run:", len(journal), "double runs:", double_runs)
    print("exit statuses:", exit_statuses, "seconds to stop:", times_s)
    for line in load.failures[:10]:
        print("failed:", line)
    return 1 if load.failures or double_runs or any(exit_statuses) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_bench()))
