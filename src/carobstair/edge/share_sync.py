"""Sends and receives the messages about demand, from which shares are computed."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.admission import EngineRoom
from carobstair.core.dispatch import Dispatcher
from carobstair.core.messages import Envelope
from carobstair.core.share_exchange import ShareExchange
from carobstair.core.share_messages import ShareReport, ShareTotals, ZoneTotals
from carobstair.net.peers import PeerTransport

__all__ = ["ShareSync"]


@dataclass(slots=True)
class ShareSync:
    """Runs the exchange of demand over the links between routers.

    Parameters
    ----------
    exchange : ShareExchange
    transport : PeerTransport
    heard_by_zone : callable
        Returns the names of the peers that are heard, by zone.
    dispatcher : Dispatcher
        Estimates the load of the engines.
    rng : random.Random
    room : EngineRoom
        Room at the engines of pools where nothing is refused while there is some.
    """

    exchange: ShareExchange
    transport: PeerTransport
    heard_by_zone: Callable[[], dict[str, list[str]]]
    dispatcher: Dispatcher
    rng: random.Random
    room: EngineRoom

    def __post_init__(self) -> None:
        self.transport.subscribe(ShareReport, self._on_report)
        self.transport.subscribe(ZoneTotals, self._on_zone_totals)
        self.transport.subscribe(ShareTotals, self._on_totals)

    async def run(self) -> None:
        """Send what is due until cancelled."""
        while True:
            interval_s = self.exchange.check_interval_s(self.heard_by_zone())
            await asyncio.sleep(interval_s * self.rng.uniform(0.9, 1.1))
            now_s = time.monotonic()
            if self.exchange.is_due(self.heard_by_zone(), now_s):
                self.tick(now_s)

    def tick(self, now_s: float) -> None:
        """Correct the throughput of each pool and send what is due."""
        admission = self.exchange.admission
        for pool in admission.pools():
            if admission.conserves_work(pool):
                admission.refresh_conserving(pool, self.room.read(pool, now_s), now_s)
                continue
            pressure = self.dispatcher.pressure(pool, now_s)
            slots_used = self.dispatcher.slots_used(pool, now_s)
            admission.refresh(pool, pressure, slots_used, now_s)
        for receivers, payload in self.exchange.tick(self.heard_by_zone(), now_s):
            self.transport.send_all(receivers, payload)

    def _on_report(self, envelope: Envelope, report: ShareReport) -> None:
        self.exchange.on_report(envelope.sender, report, time.monotonic())

    def _on_zone_totals(self, envelope: Envelope, totals: ZoneTotals) -> None:
        self.exchange.on_zone_totals(envelope.sender, totals, time.monotonic())

    def _on_totals(self, envelope: Envelope, totals: ShareTotals) -> None:
        self.exchange.on_totals(envelope.sender, totals, time.monotonic())
