"""Estimates of an upstream's load, and placement by the time to the first token.

Intended for many callers with long prompts that share prefix segments. Engines
prefill prompts at a limited rate and cache the segments, so placement decides both
how long a request waits and whether a segment has to be prefilled again.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from carobstair.core.prompt_homes import NO_TERMS, HomeTerms, PromptHomes
from carobstair.core.rate_limits import PermitOutlook
from carobstair.core.request_shapes import (
    PlacementSettings,
    PromptShape,
    SentRequest,
)
from carobstair.core.upstream_capacity import (
    Incarnation,
    ServiceCapacities,
    UpstreamCapacity,
    UpstreamRecord,
    WaitRow,
    choose_engine,
    choose_plain,
)

__all__ = ["LoadTracker", "PlacementSettings", "PromptShape", "SentRequest"]

# KV-cache capacity of an engine until the configuration gives it.
DEFAULT_KV_TOKENS = 500_000

# Recently sent segments that are kept for digests; peers gain little from older ones.
MAX_RECENT_SEGMENTS = 256

NO_LOAD = (0, 0)
NOTHING: Mapping[str, Any] = {}
# Of no engine at all, to divide by.
MIN_PARTS = 1e-3
# Far below any cost difference, so that it only breaks ties.
TIE_BREAK_S = 1e-6

NO_PROMPT = PromptShape()


@dataclass(slots=True)
class _Load:
    backlog_tokens: int = 0
    running: int = 0
    unanswered: dict[int, SentRequest] = field(default_factory=dict)
    last_byte_s: float = 0.0
    reported_requests: int = 0
    reported_slots: int = 0
    reported_s: float = -math.inf
    # Own requests in flight when the upstream reported its load.
    own_at_report: int = 0
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    held_tokens: int = 0
    # Set where upstreams of the service have stated a slowdown.
    capacity: UpstreamCapacity | None = None
    incarnation: Incarnation | None = None
    record: UpstreamRecord | None = None
    # Waits of a cold upstream say nothing of its speed.
    is_cold: bool = False


@dataclass(slots=True)
class LoadTracker:
    """Load per upstream, from own requests, digests of peers and response headers.

    Attributes
    ----------
    kv_tokens : int
        KV-cache capacity of one engine.
    capacities : ServiceCapacities
        Estimates of the services whose upstreams state a slowdown.
    homes : PromptHomes
        Engines at which all routers have shared prompt parts read, once enabled.
    """

    settings: PlacementSettings
    zone: str
    kv_tokens: int = DEFAULT_KV_TOKENS
    # Reported loads of which some figure could not be read.
    unreadable_reports: int = 0
    _loads: dict[str, _Load] = field(default_factory=dict)
    _peers: dict[str, dict[str, tuple[int, int]]] = field(default_factory=dict)
    # Sums over all peers, as placement reads them for every upstream and request.
    _peer_totals: dict[str, list[int]] = field(default_factory=dict)
    _recent_segments: deque[tuple[str, str, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_SEGMENTS)
    )
    _segment_count: int = 0
    capacities: ServiceCapacities = field(init=False)
    homes: PromptHomes = field(init=False)

    def __post_init__(self) -> None:
        self.capacities = ServiceCapacities(self.settings.capacity)
        self.homes = PromptHomes(self.settings.homes, self.zone)

    # Own requests

    def begin(self, upstream_id: str, prompt: PromptShape, now_s: float) -> SentRequest:
        """Add a request that is being sent."""
        load = self._load(upstream_id)
        sent = SentRequest(
            upstream_id, self.uncached_tokens(upstream_id, prompt), now_s
        )
        sent.held_tokens = prompt.prompt_tokens + prompt.output_tokens
        if self.homes.enabled:
            self.homes.note_send(
                upstream_id, prompt, sent.uncached_tokens, self._is_held
            )
        load.held_tokens += sent.held_tokens
        if load.capacity is not None and load.incarnation and not load.is_cold:
            sent.incarnation = load.incarnation
            sent.tokens_ahead = self.backlog_tokens(upstream_id)
            sent.running_at_send = self.occupancy(upstream_id, now_s)
            load.capacity.note_held(sent.held_tokens)
        load.backlog_tokens += sent.uncached_tokens
        load.running += 1
        load.unanswered[id(sent)] = sent
        for segment, tokens in prompt.segments:
            self._keep_segment(load, segment, tokens)
        # The last segment belongs to this request only, so peers need not know it.
        self._recent_segments.extend(
            (upstream_id, s, t) for s, t in prompt.segments[:-1]
        )
        self._segment_count += len(prompt.segments[:-1])
        return sent

    def note_first_byte(self, sent: SentRequest, now_s: float) -> None:
        """Record the first byte of an answer: its prompt has been prefilled."""
        load = self._load(sent.upstream_id)
        load.last_byte_s = now_s
        if sent.first_byte_s is None:
            sent.first_byte_s = now_s
            load.backlog_tokens -= sent.uncached_tokens
            load.unanswered.pop(id(sent), None)
            if sent.incarnation is not None:
                self._note_wait(load, sent, now_s)

    def note_activity(self, upstream_id: str, now_s: float) -> None:
        """Record that bytes arrived from an upstream."""
        self._load(upstream_id).last_byte_s = now_s

    def end(self, sent: SentRequest, now_s: float) -> None:
        """Remove a request that has ended."""
        load = self._load(sent.upstream_id)
        if sent.first_byte_s is None:
            load.backlog_tokens -= sent.uncached_tokens
            load.unanswered.pop(id(sent), None)
            if sent.incarnation is not None:
                self._note_no_first_byte(load, sent, now_s)
        load.running -= 1
        load.held_tokens -= sent.held_tokens

    # Cached segments

    def note_segment(self, upstream_id: str, segment: str, tokens: int) -> None:
        """Record that a peer has sent a request with a segment to an engine."""
        if self.homes.enabled:
            self.homes.demand.note(segment)
        self._keep_segment(self._load(upstream_id), segment, tokens)

    def _keep_segment(self, load: _Load, segment: str, tokens: int) -> None:
        """Record that an engine has prefilled a segment or is prefilling it."""
        load.cached_tokens += tokens - load.cached.pop(segment, 0)
        load.cached[segment] = tokens
        # Least recently used segments are evicted first, as in the engine.
        while load.cached_tokens > self.settings.cache_fraction * self.kv_tokens:
            load.cached_tokens -= load.cached.popitem(last=False)[1]

    def forget_segments(self, upstream_id: str) -> None:
        """Drop the cached segments of an engine that has restarted."""
        load = self._load(upstream_id)
        load.cached.clear()
        load.cached_tokens = 0

    def uncached_tokens(self, upstream_id: str, prompt: PromptShape) -> int:
        """Return the prompt tokens that an engine would have to prefill."""
        cached = self._load(upstream_id).cached
        uncached = prompt.prompt_tokens
        for segment, tokens in prompt.segments:
            if segment not in cached:
                break
            uncached -= tokens
        return max(0, uncached)

    def _is_held(self, segment: str) -> bool:
        """Return whether some engine is known to hold a segment."""
        return any(segment in load.cached for load in self._loads.values())

    # Load reported by others

    def note_report(
        self,
        upstream_id: str,
        running: int,
        waiting: int,
        slots: int,
        now_s: float,
        slowdown: float | None = None,
        service: str = "",
        born_ms: int = 0,
    ) -> None:
        """Record the load that a response reported.

        Parameters
        ----------
        slowdown : float, optional
            How long work takes there relative to its usual time, if stated.
        service : str
            Empty if the response came from another incarnation than this one.
        """
        load = self._load(upstream_id)
        if service and (slowdown is not None or self.settings.capacity.always):
            self.capacities.switch_on(service)
        if service in self.capacities.by_service:
            self.note_incarnation(upstream_id, service, born_ms)
            self.capacities.by_service[service].note_report(
                (upstream_id, born_ms), running, waiting, slots, slowdown, now_s
            )
        load.reported_requests = running + waiting
        load.reported_slots, load.reported_s = slots, now_s
        load.own_at_report = load.running

    def note_peer(self, peer: str, rows: Iterable[tuple[str, int, int]]) -> None:
        """Replace the load of a peer: upstream, backlog tokens, running requests."""
        self.forget_peer(peer)
        self._peers[peer] = {u: (tokens, running) for u, tokens, running in rows}
        self._adjust_peer_totals(peer, 1)

    def forget_peer(self, peer: str) -> None:
        """Drop the load of a peer that has left or failed."""
        self._adjust_peer_totals(peer, -1)
        self._peers.pop(peer, None)

    def own_rows(self) -> list[tuple[str, int, int]]:
        """Return this router's load: upstream, backlog tokens, running requests."""
        return [
            (u, load.backlog_tokens, load.running)
            for u, load in self._loads.items()
            if load.running
        ]

    def recent_segments(
        self, since: int, limit: int
    ) -> tuple[list[tuple[str, str, int]], int]:
        """Return the segments sent since an earlier call: upstream, id and tokens.

        Parameters
        ----------
        since : int
            Position returned by the earlier call; 0 for the first.
        limit : int
            Maximum number of rows; the oldest are left out.
        """
        count = min(self._segment_count - since, len(self._recent_segments), limit)
        rows = list(self._recent_segments)[-count:] if count > 0 else []
        return rows, self._segment_count

    def keep(self, upstream_ids: set[str]) -> None:
        """Drop removed upstreams at which this router has no running request."""
        for upstream_id in [u for u in self._loads if u not in upstream_ids]:
            if not self._loads[upstream_id].running:
                del self._loads[upstream_id]
        self.homes.keep(upstream_ids)

    # Capacity by upstream

    @property
    def on_capacity_enabled(self) -> Callable[[str], None] | None:
        """Called with a service when its upstreams first state a slowdown."""
        return self.capacities.on_capacity_enabled

    @on_capacity_enabled.setter
    def on_capacity_enabled(self, callback: Callable[[str], None] | None) -> None:
        self.capacities.on_capacity_enabled = callback

    def has_capacity_estimates(self, service: str) -> bool:
        """Return whether upstreams of a service have stated a slowdown."""
        return service in self.capacities.by_service

    def note_incarnation(self, upstream_id: str, service: str, born_ms: int) -> None:
        """Record which incarnation of an upstream receives requests now."""
        capacity = self.capacities.by_service.get(service)
        if capacity is None:
            return
        load, incarnation = self._load(upstream_id), (upstream_id, born_ms)
        if load.incarnation == incarnation:
            return
        if load.incarnation is not None and load.incarnation[1] > born_ms:
            # A late answer of an incarnation that has ended.
            return
        if load.incarnation is not None:
            # It has restarted, and holds no prompts.
            self.forget_segments(upstream_id)
            load.reported_s = -math.inf
        load.capacity, load.incarnation = capacity, incarnation
        load.record = capacity.record(incarnation)

    def note_send(
        self, upstream_id: str, service: str, born_ms: int, is_cold: bool
    ) -> None:
        """Record which incarnation is about to get a request, and if it is cold."""
        self.note_incarnation(upstream_id, service, born_ms)
        self._load(upstream_id).is_cold = is_cold

    def keep_incarnations(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the estimates of incarnations that are gone."""
        self.capacities.keep(incarnations)
        for load in self._loads.values():
            if load.incarnation is not None and load.incarnation not in incarnations:
                load.incarnation = load.record = None

    def note_peer_wait(self, service: str, row: WaitRow, now_s: float) -> None:
        """Record the wait of a peer's request at an upstream of a service."""
        self.capacities.switch_on(service)
        self.note_incarnation(row[0], service, row[1])
        self.capacities.note_peer_wait(service, row, now_s)

    def _note_wait(self, load: _Load, sent: SentRequest, now_s: float) -> None:
        if load.record is not None and load.incarnation == sent.incarnation:
            self.capacities.note_wait(
                load.capacity,
                sent.incarnation,
                sent.tokens_ahead + sent.uncached_tokens,
                sent.running_at_send,
                now_s - sent.sent_s,
                now_s,
            )

    def _note_no_first_byte(self, load: _Load, sent: SentRequest, now_s: float) -> None:
        """Count a request that ended without an answer for the time that it waited.

        A short one was rejected or its caller left, which says nothing of the speed.
        """
        wait_s = now_s - sent.sent_s
        if wait_s > self.settings.capacity.objective_s + self.expected_wait_s(
            sent.upstream_id, NO_PROMPT
        ):
            self._note_wait(load, sent, now_s)

    # Estimates

    def backlog_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens queued at an engine by all routers."""
        peers = self._peer_totals.get(upstream_id, NO_LOAD)[0]
        return self._load(upstream_id).backlog_tokens + peers

    def running(self, upstream_id: str) -> int:
        """Return the requests that all routers have running at an upstream."""
        peers = self._peer_totals.get(upstream_id, NO_LOAD)[1]
        return self._load(upstream_id).running + peers

    def occupancy(self, upstream_id: str, now_s: float) -> int:
        """Return the requests that run or wait at an upstream.

        A recent report of the upstream counts the requests of all routers at once;
        digests of peers may be older than the time that a request runs.
        """
        load = self._load(upstream_id)
        if now_s - load.reported_s > self.settings.report_lifetime_s:
            return self.running(upstream_id)
        return max(
            load.running, load.reported_requests + load.running - load.own_at_report
        )

    def own_running(self, upstream_id: str) -> int:
        """Return the requests that this router has running at an upstream."""
        return self._load(upstream_id).running

    def stall_durations_s(
        self, upstream_ids: Iterable[str], now_s: float
    ) -> dict[str, float]:
        """Return how long upstreams with unanswered requests have sent nothing.

        Upstreams without unanswered requests are left out.
        """
        stall_durations_s = {}
        for upstream_id in upstream_ids:
            load = self._loads.get(upstream_id)
            if load is not None and load.unanswered:
                oldest_s = next(iter(load.unanswered.values())).sent_s
                stall_durations_s[upstream_id] = max(
                    0.0, now_s - max(oldest_s, load.last_byte_s)
                )
        return stall_durations_s

    def first_token_s(self, upstream_id: str, zone: str, prompt: PromptShape) -> float:
        """Return the weighted cost of an upstream that placement compares."""
        settings = self.settings
        work_s = (
            settings.backlog_weight * self.backlog_tokens(upstream_id)
            + settings.uncached_weight * self.uncached_tokens(upstream_id, prompt)
        ) / settings.prefill_tokens_per_s
        hop_s = 0.0 if zone == self.zone else settings.other_zone_s
        return work_s + settings.running_request_s * self.running(upstream_id) + hop_s

    def expected_wait_s(self, upstream_id: str, prompt: PromptShape) -> float:
        """Return the unweighted estimate of the time to the first token."""
        tokens = self.backlog_tokens(upstream_id)
        tokens += self.uncached_tokens(upstream_id, prompt)
        record = self._load(upstream_id).record
        if record is not None:
            return tokens * record.token_s
        return tokens / self.settings.prefill_tokens_per_s

    def queue_wait_s(self, upstream_id: str, slots: int, now_s: float) -> float:
        """Return the time that a request would wait before its prompt is read."""
        settings = self.settings
        record = self._load(upstream_id).record
        if record is not None:
            wait_s = self.backlog_tokens(upstream_id) * record.token_s
            excess = self.occupancy(upstream_id, now_s) - record.concurrency + 1.0
            return wait_s + settings.slot_wait_s * max(0.0, excess)
        wait_s = self.backlog_tokens(upstream_id) / settings.prefill_tokens_per_s
        excess = self.occupancy(upstream_id, now_s) - slots + 1
        if slots > 0 and excess > 0:
            wait_s += settings.slot_wait_s * excess
        return wait_s

    def slots_used(self, upstreams: Mapping[str, int], now_s: float) -> float:
        """Return the requests at some engines relative to their slots.

        Parameters
        ----------
        upstreams : mapping
            Slots by upstream id.
        """
        running = sum(self.occupancy(upstream, now_s) for upstream in upstreams)
        room = sum(
            slots
            if (record := self._load(upstream).record) is None
            # A concurrency of an upstream that reported no slots is a guess.
            else min(record.concurrency, slots or record.concurrency)
            for upstream, slots in upstreams.items()
        )
        return running / max(1, room)

    def pressure(
        self,
        upstreams: Mapping[str, int],
        now_s: float = math.inf,
        permits: Mapping[str, PermitOutlook] = NOTHING,
        limited_parts: Mapping[str, float] = NOTHING,
    ) -> float:
        """Return the load of some engines relative to the target load (1.0).

        Parameters
        ----------
        upstreams : mapping
            Slots by upstream id.
        permits, limited_parts : mapping
            Of engines that limit their requests: the next permit, and what they give
            relative to others. Room that nobody may use is not counted.
        """
        settings = self.settings
        parts = wait_s = running = target_total = 0.0
        for upstream, slots in upstreams.items():
            part = limited_parts.get(upstream, 1.0)
            backlog = self.backlog_tokens(upstream)
            own_wait_s = backlog / settings.prefill_tokens_per_s
            target = min(settings.target_running, settings.target_slot_fraction * slots)
            record = self._load(upstream).record
            if record is not None:
                own_wait_s = backlog * record.token_s
                target = min(target, record.concurrency)
                # An even mean would follow the slowest upstream.
                part *= record.speed
            parts += part
            if upstream in permits:
                own_wait_s += permits[upstream].wait_s
            wait_s += part * own_wait_s
            running += part * self.occupancy(upstream, now_s)
            target_total += part * target
        wait_s /= max(parts, MIN_PARTS)
        return max(wait_s / settings.target_wait_s, running / max(1.0, target_total))

    def pick(
        self,
        candidates: Iterable[tuple[str, str]],
        prompt: PromptShape,
        rng: random.Random,
        now_s: float = math.inf,
        permits: Mapping[str, PermitOutlook] = NOTHING,
        service: str = "",
        cold: Collection[str] = (),
        homes: HomeTerms | None = None,
    ) -> str:
        """Return the engine with the least `first_token_s`, ties at random.

        The cost is computed inline: with hundreds of engines, method calls would
        take most of the time of a request.

        Parameters
        ----------
        candidates : iterable of (str, str)
            Upstream id and zone, at least one.
        permits : mapping, optional
            Permits of engines that limit their requests.
        service : str, optional
            Given so that its upstreams' capacity counts where they state a slowdown.
        cold : collection of str
            Candidates that are cold, and thus no homes.
        homes : HomeTerms, optional
            As returned by `home_terms`, if more engines than the candidates count.
        """
        capacity = self.capacities.by_service.get(service)
        if homes is None:
            candidates = list(candidates)
            homes = self.home_terms(candidates, prompt, service, now_s, cold, rng)
        if capacity is not None:
            return choose_engine(
                candidates,
                prompt,
                capacity,
                self.settings,
                self.zone,
                self.kv_tokens,
                self._loads,
                self._peer_totals,
                permits,
                rng,
                now_s,
                homes,
            )
        settings = self.settings
        per_backlog_s = settings.backlog_weight / settings.prefill_tokens_per_s
        per_backlog_s *= homes.backlog_part
        per_uncached_s = settings.uncached_weight / settings.prefill_tokens_per_s
        per_limited_uncached_s = (
            settings.limited_uncached_weight / settings.prefill_tokens_per_s
        )
        fresh_s = now_s - max(settings.report_lifetime_s, homes.report_lifetime_s)
        # The time to read the request's own prompt is no price that others pay.
        own_token_s = 1.0 / settings.prefill_tokens_per_s
        discounts, own_tokens = homes.discounts, homes.own_tokens
        preferred, spread_s = homes.preferred, homes.spread_s
        bound_requests = homes.bound_requests
        best, lowest_s = "", math.inf
        for upstream_id, zone in candidates:
            backlog, running = self._peer_totals.get(upstream_id, NO_LOAD)
            uncached = prompt.prompt_tokens
            load = self._loads.get(upstream_id)
            if load is not None:
                backlog += load.backlog_tokens
                running += load.running
                if load.reported_s > fresh_s:
                    running = load.reported_requests + load.running - load.own_at_report
                for segment, tokens in prompt.segments:
                    if segment not in load.cached:
                        break
                    uncached -= tokens
            cost_s = per_backlog_s * backlog + settings.running_request_s * running
            limited = upstream_id in permits
            if uncached > 0:
                per_token_s = per_limited_uncached_s if limited else per_uncached_s
                cost_s += per_token_s * uncached
                if discounts and upstream_id in discounts and uncached > own_tokens:
                    price_s = (per_token_s - own_token_s) * (uncached - own_tokens)
                    cost_s -= discounts[upstream_id] * price_s
            if upstream_id == preferred:
                cost_s -= spread_s
            if running > bound_requests:
                room = load.reported_slots if load is not None else 0
                excess = (running - bound_requests) / (room or settings.target_running)
                cost_s += homes.balance_s * excess
            if load is not None and 0 < load.reported_slots <= running:
                cost_s += settings.slot_wait_s * (running - load.reported_slots + 1)
            if zone != self.zone:
                cost_s += settings.other_zone_s
            if limited:
                permit = permits[upstream_id]
                cost_s += settings.backlog_weight * permit.wait_s
                send_s = settings.limited_send_weight * permit.interval_s
                cost_s += min(send_s, settings.max_limited_send_s)
            cost_s += TIE_BREAK_S * rng.random()
            if cost_s < lowest_s:
                best, lowest_s = upstream_id, cost_s
        return best

    def pick_plain(
        self,
        candidates: Iterable[tuple[str, str]],
        rng: random.Random,
        permits: Mapping[str, PermitOutlook] = NOTHING,
        now_s: float = math.inf,
        service: str = "",
    ) -> str:
        """Return the upstream of a plain service with the fewest running requests.

        Those with the shortest wait for a permit come first. Where upstreams state a
        slowdown, the one with the least expected time is returned.
        """
        capacity = self.capacities.by_service.get(service)
        if capacity is not None:
            return choose_plain(
                candidates,
                capacity,
                self.settings,
                self.zone,
                self._loads,
                permits,
                rng,
                now_s,
            )
        ranked = []
        for u, zone in candidates:
            cost = float(self.running(u))
            if u in permits:
                cost += permits[u].wait_s / self.settings.slot_wait_s
            if zone != self.zone:
                cost += 0.5
            ranked.append((cost, rng.random(), u))
        return min(ranked)[2]

    def home_terms(
        self,
        engines: Iterable[tuple[str, str]],
        prompt: PromptShape,
        service: str,
        now_s: float,
        cold: Collection[str],
        rng: random.Random,
    ) -> HomeTerms:
        """Return what homes change in the costs of engines for a request.

        Parameters
        ----------
        engines : iterable of (str, str)
            Upstream id and zone of the engines that may be used.
        """
        homes = self.homes
        keyed = homes.key(prompt) if homes.enabled else None
        if keyed is None:
            return NO_TERMS
        zones = dict(engines)
        if homes.is_due(service, now_s):
            running = {u: self.occupancy(u, now_s) for u in zones}
            homes.update(service, running, self._home_capacities(zones), now_s)
        return homes.terms(service, keyed, prompt, zones, cold, rng)

    def _home_capacities(self, upstream_ids: Iterable[str]) -> dict[str, float]:
        """Return what engines take, of those for which it is estimated.

        The concurrency is left out: routers learn it from their own requests only, and
        would not agree.
        """
        capacities = {}
        for upstream_id in upstream_ids:
            record = self._load(upstream_id).record
            if record is not None and record.slots:
                speed = record.speed / record.usual_slowdown
                capacities[upstream_id] = record.slots * speed
        return capacities

    def _adjust_peer_totals(self, peer: str, sign: int) -> None:
        for upstream_id, (tokens, running) in self._peers.get(peer, {}).items():
            totals = self._peer_totals.setdefault(upstream_id, [0, 0])
            totals[0] += sign * tokens
            totals[1] += sign * running
            if totals == [0, 0]:
                del self._peer_totals[upstream_id]

    def _load(self, upstream_id: str) -> _Load:
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = _Load()
        return load
