"""Choice of an upstream by what each can take."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

from carobstair.core.prompt_homes import NO_TERMS, HomeTerms
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
PLAIN_SATURATION = 1.25
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
    homes: HomeTerms = NO_TERMS,
) -> str:
    """Return the engine with the least cost, at random among near-equal ones.

    The cost is computed without calls, as there may be hundreds of engines.

    Parameters
    ----------
    candidates : iterable of (str, str)
        Upstream id and zone, at least one.
    homes : HomeTerms
        What homes of the prompt's shared part change.
    """
    capacity.refresh(now_s)
    candidates = list(candidates)
    fresh_s = now_s - max(weights.report_lifetime_s, homes.report_lifetime_s)
    if capacity.wants_fill(now_s):
        _measure_fill(candidates, capacity, zone, loads, peer_totals, fresh_s)
    settings, typical = capacity.settings, capacity.typical
    random_value, margin_s = rng.random, settings.margin_s
    # What others lose is the same wherever a prompt is read twice; at the rate of each
    # engine, fast ones would attract all reads.
    others_token_s = (settings.uncached_weight - 1.0) * typical.token_s
    slot_wait_s = weights.slot_wait_s
    discounts, own_tokens = homes.discounts, homes.own_tokens
    backlog_part = homes.backlog_part
    preferred, spread_s = homes.preferred, homes.spread_s
    spare_requests = homes.spare_requests if discounts else BALANCE_REQUESTS
    fair_fill = capacity.fill * (1.0 + settings.balance_slack)
    other_zone_s = _other_zone_s(capacity, weights)
    balance_s = homes.balance_s if discounts else settings.balance_s
    prompt_tokens, segments = prompt.prompt_tokens, prompt.segments
    loads_get, totals_get = loads.get, peer_totals.get
    without_memory: set[str] = set()
    while True:
        best, lowest_s = "", math.inf
        for upstream_id, its_zone in candidates:
            backlog, running = totals_get(upstream_id, NO_TOTALS)
            uncached = prompt_tokens
            record = typical
            load = loads_get(upstream_id)
            if load is not None:
                backlog += load.backlog_tokens
                if load.reported_s > fresh_s:
                    running = load.reported_requests + load.running
                    running -= load.own_at_report
                else:
                    running += load.running
                if load.record is not None:
                    record = load.record
                cached = load.cached
                for segment, tokens in segments:
                    if segment not in cached:
                        break
                    uncached -= tokens
            room = record.concurrency
            cost_s = (
                record.wait_s
                + record.backlog_token_s * (backlog_part * backlog)
                + record.running_s * running
                + margin_s * random_value()
            )
            if uncached > 0:
                cost_s += (record.token_s + others_token_s) * uncached
                if discounts and upstream_id in discounts and uncached > own_tokens:
                    price_s = others_token_s * (uncached - own_tokens)
                    cost_s -= discounts[upstream_id] * price_s
            if upstream_id == preferred:
                cost_s -= spread_s
            if running >= room:
                cost_s += slot_wait_s * (running - room + 1.0)
            excess = running - fair_fill * room - spare_requests
            if excess > 0.0:
                cost_s += balance_s * excess / room
            if its_zone != zone:
                cost_s += other_zone_s
            if permits and upstream_id in permits:
                permit = permits[upstream_id]
                send_s = weights.limited_send_weight * permit.interval_s
                cost_s += settings.backlog_weight * permit.wait_s
                cost_s += min(send_s, weights.max_limited_send_s)
            if without_memory and upstream_id in without_memory:
                cost_s += NO_MEMORY_S
            if cost_s < lowest_s:
                best, lowest_s = upstream_id, cost_s
        # Checked for the chosen one only, as engines seldom are without memory.
        if lowest_s >= NO_MEMORY_S or best in without_memory:
            return best
        load, running = loads_get(best), totals_get(best, NO_TOTALS)[1]
        if _has_memory(load, running, prompt, capacity, kv_tokens, fresh_s):
            return best
        without_memory.add(best)


def _has_memory(
    load: PlacementLoad | None,
    peers_running: int,
    prompt: Any,
    capacity: UpstreamCapacity,
    kv_tokens: int,
    fresh_s: float,
) -> bool:
    """Return whether an engine can hold a request and its whole answer.

    What other routers' requests hold is estimated by the mean. Requests that wait
    beyond the slots hold nothing yet.
    """
    held = prompt.prompt_tokens + prompt.output_tokens
    others, slots = peers_running, 0
    if load is not None:
        held += load.held_tokens
        slots = load.record.slots if load.record is not None else 0
        if load.reported_s > fresh_s:
            others = max(0, load.reported_requests - load.own_at_report)
    if slots:
        others = min(others, slots)
    held += capacity.mean_held_tokens * others
    return held <= capacity.settings.kv_fraction * kv_tokens


def _measure_fill(
    candidates: Sequence[tuple[str, str]],
    capacity: UpstreamCapacity,
    zone: str,
    loads: Mapping[str, PlacementLoad],
    peer_totals: Mapping[str, Sequence[int]],
    fresh_s: float,
) -> None:
    """Measure the load that balance and the cost of other zones refer to."""
    all_running = all_room = near_running = near_room = near_wait_s = 0.0
    near_count = 0
    for upstream_id, its_zone in candidates:
        backlog, running = peer_totals.get(upstream_id, NO_TOTALS)
        record = capacity.typical
        load = loads.get(upstream_id)
        if load is not None:
            backlog += load.backlog_tokens
            running += load.running
            if load.reported_s > fresh_s:
                running = load.reported_requests + load.running - load.own_at_report
            if load.record is not None:
                record = load.record
        all_running += running
        all_room += record.concurrency
        if its_zone == zone:
            near_running += running
            near_room += record.concurrency
            near_wait_s += record.token_s * backlog
            near_count += 1
    if all_room:
        capacity.fill = max(0.0, all_running / all_room)
    if near_count:
        capacity.near_fill = near_running / near_room
        capacity.near_wait_s = near_wait_s / near_count


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
        saturation = PLAIN_SATURATION * room
        time_s *= 1.0 + running / max(saturation - running, 0.1 * room)
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
