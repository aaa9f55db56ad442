"""Driver of queue, shares, allocator, limits and service totals."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict

from carobstair.core.allocator import Allocator, AllocatorSettings
from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime
from carobstair.core.grants import GrantTimings, HeldGrant, HeldGrants
from carobstair.core.limits import LimiterSettings, UpstreamLimiter
from carobstair.core.messages import (
    DemandUpdate,
    Envelope,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    PeerAddress,
    TotalsUpdate,
)
from carobstair.core.placement import Placement, PrefixIndex
from carobstair.core.queueing import GatewayQueue, WaitingRequest
from carobstair.core.refusals import Refusal, refuse
from carobstair.core.shares import ShareTable, SlotShare
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.net.peers import PeerTransport
from carobstair.net.upstream import UpstreamClient, UpstreamError
from carobstair.settings import RouterSettings

__all__ = ["CapacityDriver"]

logger = get_logger(__name__)

TICK_S = 0.05
LOAD_POLL_S = 0.5
LIMIT_VALID_S = 3.0
# Coalesces the arrivals of one moment into one message per allocator.
DEMAND_DELAY_S = 0.002
DEMAND_REFRESH_S = 1.0
REMEMBERED_DEMANDS = 2000


class CapacityDriver:
    """Gives waiting requests their grants, here and at other routers.

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
        self._own = own
        self._settings = settings
        self._peers = peers
        self._upstreams = upstreams
        self._metrics = metrics
        self._timings = GrantTimings()
        fairness = FairnessSettings()
        self.state = FleetState()
        self.live_peers: set[str] = set()
        self.totals = ServiceTotals(own.instance, own.incarnation, fairness)
        self.virtual_time = VirtualTime(self.totals, fairness)
        self.prefixes = PrefixIndex()
        self.shares = ShareTable(
            (own.instance, own.incarnation),
            self._timings.lease_s + self._timings.margin_s,
        )
        placement = Placement(self.prefixes, random.Random(settings.seed))
        self.allocator = Allocator(
            own.instance,
            AllocatorSettings(),
            self._timings,
            self.virtual_time,
            placement,
        )
        self.queue = GatewayQueue()
        self.held = HeldGrants(self._timings)
        self._futures: dict[str, asyncio.Future[HeldGrant]] = {}
        self._limiters: dict[str, UpstreamLimiter] = {}
        self._announced: dict[str, tuple[LimitAnnouncement, float]] = {}
        self._demand_sequence = 0
        self._demand_sent: OrderedDict[int, float] = OrderedDict()
        self._last_offer: dict[str, int] = {}
        self._returns: dict[str, list[int]] = {}
        self._demand_timer: asyncio.TimerHandle | None = None
        self._limit_sequence = 0
        for payload_type, handler in (
            (DemandUpdate, self._on_demand),
            (Offer, self._on_offer),
            (GrantReturn, self._on_return),
            (GrantRenewal, self._on_renewal),
            (GrantRenewed, self._on_renewed),
            (TotalsUpdate, self._on_totals),
            (LimitAnnouncement, self._on_limit),
        ):
            peers.subscribe(payload_type, handler)

    def set_state(self, state: FleetState) -> None:
        """Take over the fleet state in force."""
        now_s = time.monotonic()
        returned = {
            zone
            for zone in state.zones
            if state.zone_in_service(zone) and not self.state.zone_in_service(zone)
        }
        self.state = state
        self.allocator.set_state(state)
        weights = {name: ws.weight for name, ws in state.workspaces.items()}
        self.virtual_time.set_weights(weights)
        for name in set(self._limiters) - set(state.upstreams):
            del self._limiters[name]
        for name, upstream in state.upstreams.items():
            limiter = self._limiters.get(name)
            if limiter is None:
                self._limiters[name] = UpstreamLimiter(
                    upstream, LimiterSettings(), now_s
                )
                continue
            limiter.set_upstream(upstream, now_s)
            if upstream.zone in returned:
                limiter.turn_cold(now_s)
        self._allocate()

    async def acquire(
        self, request: WaitingRequest, at_front: bool = False
    ) -> HeldGrant:
        """Wait for a grant.

        Raises
        ------
        Refusal
            If the queue is full or the deadline passes.
        """
        now_s = time.monotonic()
        workspace = self.state.workspaces[request.workspace]
        already = self.queue.waiting(request.pool, request.workspace)
        self.queue.push(
            request,
            workspace.max_waiting_requests,
            workspace.max_waiting_bytes,
            at_front,
        )
        future: asyncio.Future[HeldGrant] = asyncio.get_running_loop().create_future()
        self._futures[request.request_id] = future
        if not already:
            self.virtual_time.on_backlogged(request.pool, request.workspace, now_s)
        self._note_demand()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(future.result())
            raise
        finally:
            self._futures.pop(request.request_id, None)
            if self.queue.remove(request):
                self._note_demand()

    def release(self, grant: HeldGrant) -> None:
        """Give back a grant's slot."""
        if not self.held.remove(grant):
            return
        offer = grant.offer
        if grant.allocator == self._own.instance:
            self.allocator.release(self._own.instance, [offer.grant_id])
            self._allocate()
        else:
            self._return(grant.allocator, offer.grant_id)

    def renewal_allowed(self, grant: HeldGrant) -> bool:
        """Return whether a grant may still be used."""
        return time.monotonic() < grant.expires_s

    def note_token_interval(self, upstream: str, interval_ms: float) -> None:
        """Take in the time between two tokens."""
        limiter = self._limiters.get(upstream)
        if limiter is not None:
            limiter.on_token_interval(interval_ms)

    async def run(self) -> None:
        """Drive all periodic work until cancelled."""
        await asyncio.gather(
            self._every(TICK_S, self._tick),
            self._every(DEMAND_REFRESH_S, self._send_demand),
            self._every(self._timings.renew_every_s, self._renew),
            self._every(self._settings.peers.exchange_s, self._send_totals),
            self._poll_loads(),
        )

    async def _every(self, period_s: float, action) -> None:
        while True:
            try:
                action()
            except Exception:
                logger.exception("periodic_work_failed", action=action.__name__)
            await asyncio.sleep(period_s)

    def _tick(self) -> None:
        now_s = time.monotonic()
        self.shares.settle(now_s)
        self.allocator.expire(now_s)
        for request in self.queue.expired(now_s):
            self._refuse(request, refuse("deadline-exceeded"))
        for limiter in self._limiters.values():
            limiter.tick(now_s)
        self._allocate()

    # Allocation at this router

    def _allocate(self) -> None:
        now_s = time.monotonic()
        self._local_demand(now_s)
        for grant in self.allocator.allocate(self.share_of, now_s):
            if grant.gateway == self._own.instance:
                self._bind(self._own.instance, grant.offer, now_s)
            elif not self._peers.send(grant.gateway, grant.offer):
                self.allocator.release(grant.gateway, [grant.offer.grant_id])

    def _local_demand(self, now_s: float) -> None:
        self._demand_sequence += 1
        update = DemandUpdate(
            self._demand_sequence,
            self._last_offer.get(self._own.instance, 0),
            self.queue.demand(),
        )
        self.allocator.update_demand(self._own.instance, update, now_s)
        self.totals.set_backlogged(self.queue.backlogged())

    def share_of(self, upstream: str) -> SlotShare:
        """Return the slots of this process on an upstream now."""
        max_requests, max_kv_tokens = self._limits(upstream)
        fraction = self._settings.gateway.quick_fraction
        return self.shares.share(upstream, max_requests, max_kv_tokens, fraction)

    def _limits(self, name: str) -> tuple[int, int]:
        upstream = self.state.upstreams[name]
        if self._is_estimator(name):
            return self._limiters[name].limit, upstream.max_kv_tokens
        found = self._announced.get(name)
        if found is None or found[1] < time.monotonic():
            return upstream.cold_limit, upstream.max_kv_tokens
        return found[0].max_requests, found[0].max_kv_tokens

    def _is_estimator(self, upstream: str) -> bool:
        for instance, _ in self.shares.epoch.holders(upstream):
            if instance == self._own.instance:
                return True
            if instance in self.live_peers:
                return False
        return False

    # Demand and offers of this gateway

    def _note_demand(self) -> None:
        self._allocate()
        if self._demand_timer is None:
            loop = asyncio.get_running_loop()
            self._demand_timer = loop.call_later(DEMAND_DELAY_S, self._send_demand)

    def _send_demand(self) -> None:
        if self._demand_timer is not None:
            self._demand_timer.cancel()
            self._demand_timer = None
        self._demand_sequence += 1
        self._demand_sent[self._demand_sequence] = time.monotonic()
        while len(self._demand_sent) > REMEMBERED_DEMANDS:
            self._demand_sent.popitem(last=False)
        entries = self.queue.demand()
        for peer in self.live_peers:
            last_offer = self._last_offer.get(peer, 0)
            update = DemandUpdate(self._demand_sequence, last_offer, entries)
            self._peers.send(peer, update)

    def _on_offer(self, envelope: Envelope, offer: Offer) -> None:
        asked_s = self._demand_sent.get(offer.demand_sequence)
        allocator = envelope.sender
        self._last_offer[allocator] = max(
            self._last_offer.get(allocator, 0), offer.grant_id
        )
        now_s = time.monotonic()
        too_old = asked_s is None or now_s > asked_s + self._timings.lease_s / 2
        if too_old or not self._bind(allocator, offer, asked_s):
            self._return(allocator, offer.grant_id)
        self._note_demand()

    def _bind(self, allocator: str, offer: Offer, asked_s: float) -> bool:
        """Give an offer to the best waiting request of its workspace."""
        if allocator == self._own.instance:
            self._last_offer[allocator] = offer.grant_id
        request = self.queue.pop(
            offer.pool, offer.workspace, offer.work_class, offer.upstream
        )
        if request is None:
            if allocator == self._own.instance:
                self.allocator.release(allocator, [offer.grant_id])
            return False
        grant = self.held.add(allocator, offer, asked_s)
        future = self._futures.get(request.request_id)
        if future is None or future.done():
            self.release(grant)
            return True
        future.set_result(grant)
        return True

    def _refuse(self, request: WaitingRequest, refusal: Refusal) -> None:
        self.queue.remove(request)
        future = self._futures.get(request.request_id)
        if future is not None and not future.done():
            future.set_exception(refusal)

    def _return(self, allocator: str, grant_id: int) -> None:
        self._peers.send(allocator, GrantReturn([grant_id]))

    def _renew(self) -> None:
        now_s = time.monotonic()
        for allocator, (number, grant_ids) in self.held.renewals(now_s).items():
            if allocator == self._own.instance:
                renewed = self.allocator.renew(allocator, grant_ids, now_s)
                self.held.renewed(allocator, number, renewed)
            else:
                self._peers.send(allocator, GrantRenewal(number, grant_ids))

    # Messages

    def _on_demand(self, envelope: Envelope, update: DemandUpdate) -> None:
        self.allocator.update_demand(envelope.sender, update, time.monotonic())
        self._allocate()

    def _on_return(self, envelope: Envelope, message: GrantReturn) -> None:
        self.allocator.release(envelope.sender, message.grant_ids)
        self._allocate()

    def _on_renewal(self, envelope: Envelope, message: GrantRenewal) -> None:
        renewed = self.allocator.renew(
            envelope.sender, message.grant_ids, time.monotonic()
        )
        self._peers.send(envelope.sender, GrantRenewed(message.request, renewed))

    def _on_renewed(self, envelope: Envelope, message: GrantRenewed) -> None:
        self.held.renewed(envelope.sender, message.request, message.grant_ids)

    def _on_totals(self, envelope: Envelope, message: TotalsUpdate) -> None:
        self.totals.merge(message.totals, time.monotonic())
        self.virtual_time.merge_lifts(message.lifts)

    def _on_limit(self, envelope: Envelope, message: LimitAnnouncement) -> None:
        known = self._announced.get(message.upstream)
        now_s = time.monotonic()
        if known is None or known[1] < now_s or known[0].sequence < message.sequence:
            self._announced[message.upstream] = (message, now_s + message.valid_s)

    def _send_totals(self) -> None:
        now_s = time.monotonic()
        entries = self.totals.entries(now_s, own_only=True)
        message = TotalsUpdate(entries, self.virtual_time.lifts())
        for peer in self.live_peers:
            self._peers.send(peer, message)

    # Load reports and limits

    async def _poll_loads(self) -> None:
        while True:
            names = [n for n in self.state.upstreams if self._is_estimator(n)]
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
        limiter = self._limiters.get(name)
        if limiter is None:
            return
        limiter.on_report(report, time.monotonic())
        self._metrics.limit.labels(name).set(limiter.limit)
        self._limit_sequence += 1
        message = LimitAnnouncement(
            name,
            report.incarnation,
            self._limit_sequence,
            limiter.limit,
            upstream.max_kv_tokens,
            report.running,
            LIMIT_VALID_S,
        )
        for peer in self.live_peers:
            self._peers.send(peer, message)
