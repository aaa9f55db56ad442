"""Driver of a capacity node: timers, peer messages, load reports and futures."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from carobstair import clock
from carobstair.core.allocator import AllocatorSettings
from carobstair.core.bad_input import BadInputDeltas, bad_input_counts
from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.effects import Effect, Granted, RefuseWaiting, Send
from carobstair.core.grants import HeldGrant
from carobstair.core.messages import (
    DemandUpdate,
    Envelope,
    FreeSlots,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    PeerAddress,
    TotalsUpdate,
    UpstreamUseReport,
)
from carobstair.core.queueing import WaitingRequest
from carobstair.core.refusals import Refusal
from carobstair.core.reserve import QuickReserveSettings
from carobstair.core.state import FleetState, UpstreamKind
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.net.events import UpstreamError
from carobstair.net.peers import PeerTransport
from carobstair.net.upstream import UpstreamClient
from carobstair.settings import RouterSettings

__all__ = ["CapacityDriver"]

logger = get_logger(__name__)

TICK_S = 0.05
BAD_INPUT_REPORT_S = 10.0
LOAD_POLL_S = 0.5
CACHE_POLL_S = 1.0
# Coalesces requests that arrive at nearly the same time into one message per
# allocator.
DEMAND_DELAY_S = 0.002
HANDLED_MESSAGES = (
    DemandUpdate,
    Offer,
    GrantReturn,
    GrantRenewal,
    GrantRenewed,
    TotalsUpdate,
    LimitAnnouncement,
    UpstreamUseReport,
    FreeSlots,
)


class CapacityDriver:
    """Obtains grants for requests that wait at this router or at other routers.

    Parameters
    ----------
    own : PeerAddress
    settings : RouterSettings
    peers : PeerTransport
    upstreams : UpstreamClient
    metrics : RouterMetrics
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: RouterSettings,
        peers: PeerTransport,
        upstreams: UpstreamClient,
        metrics: RouterMetrics,
    ):
        self._peers = peers
        self._upstreams = upstreams
        self._metrics = metrics
        node_settings = CapacitySettings(
            totals_every_s=settings.peers.exchange_s,
            allocator=AllocatorSettings(
                quick=QuickReserveSettings(settings.gateway.quick_fraction)
            ),
        )
        self.node = CapacityNode(
            (own.instance, own.incarnation),
            node_settings,
            random.Random(f"{settings.seed}/{own.instance}/capacity"),
        )
        # Called with an upstream and whether its load report says that it is leaving.
        self.on_leaving_report: Callable[[str, bool], None] = lambda name, leaves: None
        self._futures: dict[str, asyncio.Future[HeldGrant]] = {}
        self._demand_timer: asyncio.TimerHandle | None = None
        metrics.refreshers.append(self._set_gauges)
        for payload_type in HANDLED_MESSAGES:
            peers.subscribe(payload_type, self._on_message)

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self.node.state

    def set_state(self, state: FleetState) -> None:
        """Apply the fleet state in force."""
        self._execute_effects(self.node.set_state(state, clock.now_s()))

    def set_live_peers(self, instances: Iterable[str]) -> None:
        """Set which other routers are believed to be alive."""
        self.node.live_peers = frozenset(instances)

    async def acquire(
        self, request: WaitingRequest, at_front: bool = False
    ) -> HeldGrant:
        """Wait for a grant.

        Raises
        ------
        Refusal
            If the queue is full or the deadline passes.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[HeldGrant] = loop.create_future()
        self._futures[request.request_id] = future
        try:
            self._execute_effects(self.node.enqueue(request, clock.now_s(), at_front))
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(future.result())
            raise
        finally:
            self._futures.pop(request.request_id, None)
            self.node.withdraw(request)

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all requests that are still waiting for a grant."""
        for future in self._futures.values():
            if not future.done():
                future.set_exception(refusal)

    def release(self, grant: HeldGrant) -> None:
        """Release a grant's slot."""
        self._execute_effects(self.node.release(grant, clock.now_s()))

    def is_valid(self, grant: HeldGrant) -> bool:
        """Return whether a grant may still be used."""
        return clock.now_s() < grant.expires_s

    async def run(self) -> None:
        """Run the tick, the polls and the reports until cancelled."""
        await asyncio.gather(
            self._tick(),
            self._poll_loads(),
            self._poll_caches(),
            self._report_bad_input(),
        )

    async def _tick(self) -> None:
        while True:
            try:
                self._execute_effects(self.node.tick(clock.now_s()))
            except Exception:
                logger.exception("capacity_tick_failed")
            await asyncio.sleep(TICK_S)

    async def _report_bad_input(self) -> None:
        increases = BadInputDeltas()
        while True:
            await asyncio.sleep(BAD_INPUT_REPORT_S)
            for source, count in increases.take(bad_input_counts(self.node)).items():
                self._metrics.bad_input.labels(source).inc(count)
                logger.warning("bad_input_dropped", source=str(source), count=count)

    def _on_message(self, envelope: Envelope, payload) -> None:
        now_s = clock.now_s()
        self._execute_effects(self.node.on_message(envelope.sender, payload, now_s))

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            self._execute_effect(effect)
        if self.node.demand_due and self._demand_timer is None:
            loop = asyncio.get_running_loop()
            self._demand_timer = loop.call_later(DEMAND_DELAY_S, self._flush_demand)

    def _flush_demand(self) -> None:
        self._demand_timer = None
        self._execute_effects(self.node.flush_demand(clock.now_s()))

    @singledispatchmethod
    def _execute_effect(self, effect) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_execute_effect.register
    def _(self, effect: Send) -> None:
        # Not retried if lost: an offer expires, state messages are sent periodically.
        self._peers.send(effect.to, effect.payload)

    @_execute_effect.register
    def _(self, effect: Granted) -> None:
        future = self._futures.get(effect.request_id)
        if future is None or future.done():
            self.release(effect.grant)
        else:
            future.set_result(effect.grant)

    @_execute_effect.register
    def _(self, effect: RefuseWaiting) -> None:
        future = self._futures.get(effect.request_id)
        if future is not None and not future.done():
            future.set_exception(effect.refusal)

    def _set_gauges(self) -> None:
        for name in self.state.upstreams:
            held, used = self.node.share_of(name), self.node.allocator.in_use(name)
            self._metrics.slots.labels(name, "held").set(held.request_slots)
            self._metrics.slots.labels(name, "used").set(used.request_slots)
        self._metrics.waiting.clear()
        for pool, workspace in self.node.queue.backlogged():
            count = self.node.queue.waiting(pool, workspace)
            self._metrics.waiting.labels(pool, workspace).set(count)

    async def _poll_loads(self) -> None:
        while True:
            names = self.node.estimated_upstreams()
            await asyncio.gather(*(self._poll_load(name) for name in names))
            await asyncio.sleep(LOAD_POLL_S)

    async def _poll_load(self, name: str) -> None:
        upstream = self.state.upstreams.get(name)
        if upstream is None:
            return
        try:
            report = await self._upstreams.load(upstream)
        except UpstreamError as error:
            logger.debug("load_report_failed", upstream=name, error=str(error))
            return
        self.on_leaving_report(name, report.leaving)
        self._execute_effects(self.node.on_load_report(name, report, clock.now_s()))
        if name in self.state.upstreams:
            self._metrics.limit.labels(name).set(self.node.limit_of(name))

    async def _poll_caches(self) -> None:
        while True:
            names = self.node.held_upstreams()
            await asyncio.gather(*(self._poll_cache(name) for name in names))
            await asyncio.sleep(CACHE_POLL_S)

    async def _poll_cache(self, name: str) -> None:
        upstream = self.state.upstreams.get(name)
        if upstream is None or upstream.kind is not UpstreamKind.ENGINE:
            return
        try:
            since = self.node.prefixes.position(name)
            incarnation, events = await self._upstreams.cache_events(upstream, since)
        except UpstreamError as error:
            logger.debug("cache_events_failed", upstream=name, error=str(error))
            return
        self.node.on_cache_events(name, incarnation, events)
