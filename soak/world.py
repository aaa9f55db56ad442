"""A small deployment on loopback: store, engines, routers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from callers import Callers
from carobstair.standins.proxy import TcpProxy
from disruptions import DisruptionLog
from engines import COLD_PER_S, COLD_START_S, Arrival, Engine
from platform_standins import StoreStandIn, make_config, make_route
from routers import Router, free_port_block

__all__ = ["SoakPlan", "World"]

ZONES = ("a", "b")
ROUTE_TIMEOUT_MS = 2000
REBOOT_S = 1.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Seed, duration and size of one run."""

    seed: int
    seconds: float = 30.0
    routers: int = 4
    engines: int = 5
    rate_per_s: float = 60.0


@dataclass(slots=True)
class AcceptedChanges:
    """Times at which the store accepted each change, by its subject."""

    versions: dict[int, float] = field(default_factory=dict)
    drained: dict[str, float] = field(default_factory=dict)
    # Zone, start, end; the end is None while the evacuation lasts.
    evacuated: list[list] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)


class World:
    """Starts, changes and stops the components of a deployment.

    Parameters
    ----------
    plan : SoakPlan
    folder : Path
        Directory for settings files and logs.
    """

    def __init__(self, plan: SoakPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.rng = random.Random(plan.seed)
        self.store = StoreStandIn()
        self.arrivals: list[Arrival] = []
        self.engines: list[Engine] = []
        self.routers: list[Router] = []
        self.disruptions = DisruptionLog()
        self.accepted_changes = AcceptedChanges()
        self.keys = ["key1", "key2"]
        self.version = 0
        self.callers = Callers(self.routers, self.rng, ["key1"], plan.rate_per_s)
        self.restarts: set[asyncio.Task] = set()
        self.bad_segments: set[str] = set()
        # Segment and time of each engine that ended under a bad segment.
        self.segment_ends: list[tuple[str, float]] = []

    async def start(self) -> None:
        """Start all components and wait until all routers are ready."""
        await self.store.start()
        self.change_configuration()
        for number in range(self.plan.engines):
            zone = ZONES[number % len(ZONES)]
            engine = Engine(f"e{number}", zone, self.store, self.arrivals)
            engine.bad_segments = self.bad_segments
            engine.on_bad_segment = self.end_engine
            await engine.boot(cold=False)
            self.engines.append(engine)
        base = free_port_block(4 * self.plan.routers)
        seed_nodes = [
            f"127.0.0.1:{base + 4 * n}" for n in range(min(3, self.plan.routers))
        ]
        for number in range(self.plan.routers):
            proxy = TcpProxy("127.0.0.1", self.store.port)
            await proxy.start()
            zone = ZONES[number % len(ZONES)]
            router = Router(
                f"r{number}", zone, self.folder, base + 4 * number, proxy, seed_nodes
            )
            await router.start()
            self.routers.append(router)
        await self.wait_ready(20.0)

    def end_engine(self, engine: Engine, segment: str) -> None:
        """End an engine under a bad segment; it is back after a second."""
        if engine.up:
            self.segment_ends.append((segment, time.monotonic()))
            span = self.disruptions.begin(("engine", engine.name))
            engine.crash()
            task = asyncio.create_task(self._reboot(engine, span))
            self.restarts.add(task)
            task.add_done_callback(self.restarts.discard)

    async def _reboot(self, engine: Engine, span: int) -> None:
        await asyncio.sleep(REBOOT_S)
        # An overlapping fault may have started it already.
        if not engine.up:
            engine.remove_entry()
            await engine.boot(cold=False)
        self.disruptions.end(span)

    async def close(self) -> None:
        """Stop all components."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            await router.wait_exited(5.0)
            await router.store_proxy.close()
        for engine in self.engines:
            await engine.proxy.close()
            await engine.stop()
        await self.store.stop()

    def change_configuration(self) -> None:
        """Store a new configuration version; the former version route is removed."""
        self.version += 1
        routes = [
            make_route("/safe/", timeoutMs=ROUTE_TIMEOUT_MS),
            make_route("/unsafe/", kind="unsafe", timeoutMs=ROUTE_TIMEOUT_MS),
            make_route("/stream/", kind="streaming", timeoutMs=ROUTE_TIMEOUT_MS),
            make_route(
                "/resume/", kind="streaming", resumable=True, timeoutMs=ROUTE_TIMEOUT_MS
            ),
            make_route(f"/ver-{self.version}/", timeoutMs=ROUTE_TIMEOUT_MS),
        ]
        service = {
            "name": "plain",
            "healthPath": "/health",
            "maxConnections": 90,
            "coldStartS": COLD_START_S,
            "coldPerS": COLD_PER_S,
        }
        tenants = [{"name": "team", "apiKeys": list(self.keys)}]
        config = make_config(
            self.version, routes=routes, services=[service], tenants=tenants
        )
        self.store.put("config", "main", config)
        self.accepted_changes.versions[self.version] = time.monotonic()
        self.callers.version = self.version

    def revoke(self, key: str) -> None:
        """Revoke an API key by a new configuration version."""
        if key in self.keys:
            self.keys.remove(key)
            self.change_configuration()
            self.accepted_changes.revoked[key] = time.monotonic()

    def evacuate(self, zone: str) -> None:
        """Start the evacuation of an availability zone."""
        self.store.put("evacuations", zone, {})
        self.accepted_changes.evacuated.append([zone, time.monotonic(), None])

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of an availability zone."""
        if ("evacuations", zone) not in self.store.objects:
            return
        for span in self.accepted_changes.evacuated:
            if span[0] == zone and span[2] is None:
                span[2] = time.monotonic()
        self.store.delete("evacuations", zone)

    def write_again(self) -> None:
        """Write what operators and engines keep in a store that was restored."""
        for zone, _, ended_s in self.accepted_changes.evacuated:
            stored = ("evacuations", zone) in self.store.objects
            if ended_s is None and not stored:
                self.store.put("evacuations", zone, {})
            elif ended_s is not None and stored:
                self.store.delete("evacuations", zone)
        for engine in self.engines:
            engine.write_entry_again()
        self.change_configuration()

    async def is_ready(self, router: Router) -> bool:
        """Return whether a router reports that it is ready."""
        url = f"http://127.0.0.1:{router.ready_port}/v1/ready"
        timeout = aiohttp.ClientTimeout(total=1.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, timeout=timeout) as response,
            ):
                return response.status == 200
        return False

    async def wait_ready(self, timeout_s: float) -> list[str]:
        """Wait until all routers are ready; return the names of those that are not."""
        until_s = time.monotonic() + timeout_s
        while True:
            not_ready = [r.name for r in self.routers if not await self.is_ready(r)]
            if not not_ready or time.monotonic() > until_s:
                return not_ready
            await asyncio.sleep(0.1)
