"""Samples of routers and stand-ins while the load of the demo runs."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

from fleet import Fleet

__all__ = ["Scrape", "SlotSampler", "engines_of", "stand_in_control"]

SAMPLE_S = 0.5


@dataclass
class Scrape:
    """Metrics summed over all routers.

    Attributes
    ----------
    served : Counter
        Weighted tokens served, by (pool, workspace).
    waiting : Counter
        Waiting requests by (pool, workspace).
    held : Counter
        Request slots held, by upstream.
    control_bytes : float
        Bytes sent and received between routers.
    """

    at_s: float = field(default_factory=time.monotonic)
    served: Counter = field(default_factory=Counter)
    waiting: Counter = field(default_factory=Counter)
    held: Counter = field(default_factory=Counter)
    control_bytes: float = 0.0

    @classmethod
    async def of(cls, fleet: Fleet) -> Scrape:
        """Scrape all routers at once."""
        names = [name for name, _ in fleet.plan.routers]
        pages = await asyncio.gather(*map(fleet.metrics, names))
        found = cls()
        for page in pages:
            for family in text_string_to_metric_families(page):
                for sample in family.samples:
                    found._add(sample.name, sample.labels, sample.value)
        return found

    def _add(self, name: str, labels: dict[str, str], value: float) -> None:
        if name == "carobstair_served_tokens_total":
            self.served[labels["pool"], labels["workspace"]] += value
        elif name == "carobstair_waiting_requests":
            self.waiting[labels["pool"], labels["workspace"]] += value
        elif name == "carobstair_upstream_slots" and labels["state"] == "held":
            self.held[labels["upstream"]] += value
        elif name == "carobstair_peer_bytes_total":
            self.control_bytes += value


def engines_of(fleet: Fleet, zone: str | None = None) -> list[str]:
    """Return the names of the engines, or only of those in a zone."""
    return [
        u.name
        for u in fleet.plan.upstreams
        if u.kind == "engine" and zone in (None, u.zone)
    ]


async def stand_in_control(fleet: Fleet, names: list[str]) -> dict[str, dict]:
    """Return the control documents of stand-ins by name."""
    urls = [fleet.upstream_address(name) + "/control" for name in names]
    return dict(
        zip(names, await asyncio.gather(*map(fleet.get_json, urls)), strict=True)
    )


@dataclass
class SlotSampler:
    """Samples waiting requests and idle slots.

    A slot is idle while work waits if a router holds it, the engine doesn't run a
    request in it, and a request waits for the pool at any router. Engines of a
    zone that is out of service don't count.

    Attributes
    ----------
    excluded : set of str
        Engines that don't count.
    samples_waiting : Counter
        Number of samples in which a workspace had waiting requests, by name.
    """

    fleet: Fleet
    pool: str
    excluded: set[str] = field(default_factory=set)
    samples: int = 0
    held_slots: float = 0.0
    idle_slots: float = 0.0
    samples_waiting: Counter = field(default_factory=Counter)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await self._sample()
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self) -> None:
        names = [n for n in engines_of(self.fleet) if n not in self.excluded]
        scrape, controls = await asyncio.gather(
            Scrape.of(self.fleet), stand_in_control(self.fleet, names)
        )
        self.samples += 1
        waiting = {ws: n for (p, ws), n in scrape.waiting.items() if p == self.pool}
        self.samples_waiting.update(ws for ws, n in waiting.items() if n)
        for name in names:
            held, running = scrape.held[name], controls[name]["running"]
            self.held_slots += held
            self.idle_slots += max(0.0, held - running) if any(waiting.values()) else 0

    def idle_fraction(self) -> float:
        """Return the fraction of held slots that were idle while requests waited."""
        return self.idle_slots / self.held_slots if self.held_slots else 0.0

    def backlogged(self, names: list[str]) -> list[str]:
        """Return those workspaces that waited in at least 95 % of the samples."""
        return [n for n in names if self.samples_waiting[n] >= 0.95 * self.samples]
