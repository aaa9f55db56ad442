"""Baseline: first in, first out, round robin over the upstreams."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict

from carobstair.core.capacity import CapacitySettings
from carobstair.core.effects import Effect, Granted, RefuseWaiting
from carobstair.core.grants import HeldGrant
from carobstair.core.messages import Offer
from carobstair.core.placement import PrefixIndex
from carobstair.core.queueing import GatewayQueue, WaitingRequest
from carobstair.core.refusals import refuse
from carobstair.core.shares import MemberId, ShareTable
from carobstair.core.state import FleetState

__all__ = ["FifoNode"]

# Time for which an upstream that failed is left out of the rotation, as a simple load
# balancer does.
EJECTION_S = 5.0
NO_LEASE_S = float("inf")


class FifoNode:
    """Serves requests in order of arrival, each by the next upstream in turn.

    Each router's share of the configured limit of an upstream is fixed.

    Parameters
    ----------
    own : tuple of (str, int)
    settings : CapacitySettings
    generator : random.Random
    """

    def __init__(
        self, own: MemberId, settings: CapacitySettings, generator: random.Random
    ):
        del generator
        self._own = own
        self.state = FleetState()
        self.live_peers: frozenset[str] = frozenset()
        self.prefixes = PrefixIndex()
        self.shares = ShareTable(own, 0.0)
        self.queue = GatewayQueue()
        self.demand_due = False
        self._arrivals: OrderedDict[str, WaitingRequest] = OrderedDict()
        self._ejected_until_s: dict[str, float] = {}
        self._in_use: Counter[str] = Counter()
        self._next_index: Counter[str] = Counter()
        self._last_grant = 0

    def set_state(self, state: FleetState, now_s: float) -> list[Effect]:
        """Set the fleet state in force."""
        self.state = state
        return self._dispatch(now_s)

    def enqueue(
        self, request: WaitingRequest, now_s: float, at_front: bool = False
    ) -> list[Effect]:
        """Queue a request; a returned one ejects the upstreams on which it failed."""
        workspace = self.state.workspaces[request.workspace]
        self.queue.push(
            request,
            workspace.max_waiting_requests,
            workspace.max_waiting_bytes,
            at_front,
        )
        self._arrivals[request.request_id] = request
        if at_front:
            self._arrivals.move_to_end(request.request_id, last=False)
            for name in request.excluded:
                self._ejected_until_s[name] = now_s + EJECTION_S
        return self._dispatch(now_s)

    def withdraw(self, request: WaitingRequest) -> None:
        """Remove a request whose caller has left."""
        self.queue.remove(request)
        self._arrivals.pop(request.request_id, None)

    def charge(self, grant: HeldGrant, tokens: float) -> None:
        """Ignore service; only the order of arrival counts."""

    def release(self, grant: HeldGrant, now_s: float) -> list[Effect]:
        """Free a slot."""
        self._in_use[grant.offer.upstream] -= 1
        return self._dispatch(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Refuse requests whose deadline has passed, and dispatch others."""
        effects: list[Effect] = []
        for request in self.queue.expired(now_s):
            self.withdraw(request)
            effects.append(
                RefuseWaiting(request.request_id, refuse("deadline-exceeded"))
            )
        return effects + self._dispatch(now_s)

    def note_token_interval(self, upstream: str, interval_ms: float) -> None:
        """Ignore the time between tokens."""

    def note_service_call(self, upstream: str, duration_s: float) -> None:
        """Ignore the duration of calls."""

    def note_failure(self, upstream: str, now_s: float) -> None:
        """Ignore failures; `enqueue` sees the upstream that a request excludes."""

    def on_cache_events(self, upstream: str, incarnation: str, events) -> None:
        """Ignore prefix caches."""

    def on_load_report(self, name: str, report, now_s: float) -> list[Effect]:
        """Ignore load reports."""
        return []

    def on_message(self, sender: str, payload, now_s: float) -> list[Effect]:
        """Ignore messages from peers."""
        return []

    def flush_demand(self, now_s: float) -> list[Effect]:
        """Return no effects, since demand is not announced."""
        return []

    def estimated_upstreams(self) -> list[str]:
        """Return no upstreams, since load reports are not used."""
        return []

    def held_upstreams(self) -> list[str]:
        """Return no upstreams, since cache events are not used."""
        return []

    def fits_newest_epoch(self) -> bool:
        """Return true, since fixed shares fit any epoch."""
        return True

    def _dispatch(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        exhausted_pools: set[str] = set()
        for request in list(self._arrivals.values()):
            if request.pool in exhausted_pools:
                continue
            upstream = self._next_upstream(request, now_s)
            if upstream is None:
                exhausted_pools.add(request.pool)
                continue
            self.withdraw(request)
            effects.append(Granted(request.request_id, self._grant(request, upstream)))
        return effects

    def _next_upstream(self, request: WaitingRequest, now_s: float) -> str | None:
        names = [
            u.name
            for u in self.state.pool_upstreams(request.pool)
            if self.state.accepts_work(u)
        ]
        for step in range(len(names)):
            name = names[(self._next_index[request.pool] + step) % len(names)]
            if self._is_free(name, now_s):
                self._next_index[request.pool] += step + 1
                return name
        return None

    def _is_free(self, name: str, now_s: float) -> bool:
        upstream = self.state.upstreams[name]
        limits = (name, upstream.max_requests, upstream.max_kv_tokens, 0.0)
        bound = self.shares.epoch.share(self._own, *limits).request_slots
        healthy = self._ejected_until_s.get(name, 0.0) <= now_s
        return healthy and self._in_use[name] < bound

    def _grant(self, request: WaitingRequest, upstream: str) -> HeldGrant:
        self._last_grant += 1
        self._in_use[upstream] += 1
        offer = Offer(
            self._last_grant,
            0,
            upstream,
            request.pool,
            request.workspace,
            request.work_class,
            request.kv_tokens,
            request.cost_tokens,
            NO_LEASE_S,
        )
        return HeldGrant(self._own[0], offer, NO_LEASE_S)
