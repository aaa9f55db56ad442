"""Choice of an upstream by what each can take."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

from carobstair.core.rate_limits import PermitOutlook
from carobstair.core.upstream_capacity.capacity import UpstreamCapacity
from carobstair.core.upstream_capacity.record import UpstreamRecord

__all__ = ["PlacementLoad", "PlacementWeights", "choose_engine", "choose_plain"]

# Above every cost of time: an engine crashes if requests exceed its memory.
NO_MEMORY_S = 1000.0
# Cost of a plain upstream without a free slot, which rejects the request.
NO_SLOT_S = 10.0
# Requests beyond the mean fill that cost nothing: at small loads fractions of a
# request are no imbalance. With 1.0, the busiest of 30 engines at two fifths of their
# load had 1.44 times the mean work in a play, and 1.21 times with 0.3.
BALANCE_REQUESTS = 0.3
# Fill at which a plain upstream's wait counts as endless: above 1, as full ones are
# known by their slots.
PLAIN_POLE = 1.25
# Differences of plain upstreams below this fraction of their time do not count.
PLAIN_MARGIN = 0.15


class PlacementLoad(Protocol):
    """What `LoadTracker` knows of an upstream."""

    backlog_tokens: int
    running: int
    held_tokens: int
    reported_requests: int
    reported_s: float
    own_at_report: int
    cached: Mapping[str, int]
    record: UpstreamRecord | None


class PlacementWeights(Protocol):
    """Weights of `PlacementSettings` that hold here too."""

    report_lifetime_s: float
    other_zone_s: float
    slot_wait_s: float
    target_wait_s: float
    limited_send_weight: float
    max_limited_send_s: float


NO_TOTALS: Sequence[int] = (0, 0)


def choose_engine(
    candidates: Iterable[tuple[str, str]],
    prompt: Any,
    capacity: UpstreamCapacity,
    weights: PlacementWeights,
    zone: str,
    kv_tokens: int,
    loads: Mapping[str, PlacementLoad],
    peer_totals: Mapping[str, Sequence[int]],
    permits: Mapping[str, PermitOutlook],
    rng: random.Random,
    now_s: float,
) -> str:
    """Return the engine with the least cost, at random among near-equal ones.

    All is computed in one pass without calls, as there may be hundreds of engines.
    The mean fill that the balance refers to is that of the pass before.

    Parameters
    ----------
    candidates : iterable of (str, str)
        Upstream id and zone, at least one.
    """
    capacity.refresh(now_s)
    settings, typical = capacity.settings, capacity.typical
    random_value, margin_s = rng.random, settings.margin_s
    backlog_weight = settings.backlog_weight
    # What others lose is the same wherever a prompt is read twice; at the rate of each
    # engine, fast ones would attract all reads.
    others_token_s = (settings.uncached_weight - 1.0) * typical.token_s
    fresh_s = now_s - weights.report_lifetime_s
    fair_fill = capacity.fill * (1.0 + settings.balance_slack)
    other_zone_s = _other_zone_s(capacity, weights)
    full_s, balance_s = settings.full_s, settings.balance_s
    prompt_tokens, segments = prompt.prompt_tokens, prompt.segments
    held = prompt_tokens + prompt.output_tokens
    mean_held = capacity.mean_held_tokens
    free_tokens = settings.kv_fraction * kv_tokens - held
    all_running = all_room = near_running = near_room = near_wait_s = 0.0
    near_count = 0
    best, lowest_s = "", math.inf
    for upstream_id, its_zone in candidates:
        backlog, running = peer_totals.get(upstream_id, NO_TOTALS)
        uncached, others, held_own = prompt_tokens, running, 0
        record = typical
        load = loads.get(upstream_id)
        if load is not None:
            backlog += load.backlog_tokens
            own = load.running
            running += own
            if load.reported_s > fresh_s:
                running = max(load.reported_requests + own - load.own_at_report, own)
                others = running - own
            held_own = load.held_tokens
            if load.record is not None:
                record = load.record
            cached = load.cached
            for segment, tokens in segments:
                if segment not in cached:
                    break
                uncached -= tokens
        token_s, room = record.token_s, record.concurrency
        read_s = token_s * backlog
        fill = running / room
        cost_s = backlog_weight * read_s + record.late_s + margin_s * random_value()
        cost_s += full_s * record.transient * fill
        if uncached > 0:
            cost_s += (token_s + others_token_s) * uncached
        if running >= room:
            cost_s += weights.slot_wait_s * (running - room + 1.0)
        if running > fair_fill * room + BALANCE_REQUESTS:
            cost_s += balance_s * (fill - fair_fill - BALANCE_REQUESTS / room)
        # Requests that wait beyond the slots hold no memory yet.
        if held_own + mean_held * min(others, record.slots or others) > free_tokens:
            cost_s += NO_MEMORY_S
        all_running += running
        all_room += room
        if its_zone == zone:
            near_running += running
            near_room += room
            near_wait_s += read_s
            near_count += 1
        else:
            cost_s += other_zone_s
        if upstream_id in permits:
            permit = permits[upstream_id]
            send_s = weights.limited_send_weight * permit.interval_s
            cost_s += backlog_weight * permit.wait_s
            cost_s += min(send_s, weights.max_limited_send_s)
        if cost_s < lowest_s:
            best, lowest_s = upstream_id, cost_s
    if all_room:
        capacity.fill = all_running / all_room
    if near_count:
        capacity.near_fill = near_running / near_room
        capacity.near_wait_s = near_wait_s / near_count
    return best


def choose_plain(
    candidates: Iterable[tuple[str, str]],
    capacity: UpstreamCapacity,
    weights: PlacementWeights,
    zone: str,
    loads: Mapping[str, PlacementLoad],
    permits: Mapping[str, PermitOutlook],
    rng: random.Random,
    now_s: float,
) -> str:
    """Return the plain upstream with the least expected time.

    Its occupancy is the smoothed one of its reports and the own sends since the last:
    requests are over sooner than a report ages. One without a free slot comes last.
    """
    capacity.refresh(now_s)
    base_s = capacity.base_s
    other_zone_s = _other_zone_s(capacity, weights)
    all_running = all_room = near_running = near_room = 0.0
    best, lowest_s = "", math.inf
    for upstream_id, its_zone in candidates:
        load = loads.get(upstream_id)
        record, running = capacity.typical, 0.0
        if load is not None:
            if load.record is not None:
                record = load.record
            own_since = max(0, load.running - load.own_at_report)
            running = max(record.occupancy + own_since, load.running)
            if load.reported_s > now_s - weights.report_lifetime_s:
                running = max(running, load.reported_requests + own_since)
        room = record.concurrency
        slots = record.slots or room
        time_s = base_s * record.transient * record.usual_slowdown / record.speed
        pole = PLAIN_POLE * room
        time_s *= 1.0 + running / max(pole - running, 0.1 * room)
        cost_s = time_s + record.late_s + PLAIN_MARGIN * base_s * rng.random()
        if running >= slots:
            cost_s += NO_SLOT_S + running - slots
        if its_zone == zone:
            near_running += running
            near_room += room
        else:
            cost_s += other_zone_s
        if upstream_id in permits:
            cost_s += permits[upstream_id].wait_s
        all_running += running
        all_room += room
        if cost_s < lowest_s:
            best, lowest_s = upstream_id, cost_s
    if all_room:
        capacity.fill = all_running / all_room
    if near_room:
        capacity.near_fill = near_running / near_room
    return best


def _other_zone_s(capacity: UpstreamCapacity, weights: PlacementWeights) -> float:
    """Return the cost of an upstream in another zone, by the load of the own zone."""
    settings = capacity.settings
    span = settings.spill_fill - settings.near_fill
    room = (settings.spill_fill - capacity.near_fill) / span
    room = min(room, 1.0 - capacity.near_wait_s / weights.target_wait_s, 1.0)
    return weights.other_zone_s + settings.near_s * max(0.0, room)
