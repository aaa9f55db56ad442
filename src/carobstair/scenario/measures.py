"""Measures of a run, and the analytical bounds on them.

Service is in weighted tokens, divided by the workspace's weight where two
workspaces are compared. Bounds are computed from the scenario alone, never from
results of the run.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from carobstair.scenario.log import RunLog, Sample
from carobstair.scenario.plan import LoadSpec, Scenario

__all__ = [
    "Gap",
    "first_token_s",
    "gap_bound",
    "idle_while_waiting",
    "largest_gap",
    "pairwise_gap",
    "percentile",
    "unserved_bound_s",
    "unserved_s",
    "utilisation",
]

EXCHANGE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Gap:
    """The largest service gap between two workspaces while both are backlogged."""

    pair: tuple[str, str]
    tokens: float
    bound: float

    @property
    def relative(self) -> float:
        """The gap as a multiple of the bound."""
        return self.tokens / self.bound


def pairwise_gap(
    log: RunLog, pool: str, pair: tuple[str, str], start_s: float, end_s: float
) -> float:
    """Return the largest gap between two workspaces, in tokens per weight.

    Over all intervals during which both are backlogged throughout, this is the
    largest difference between the service that the two received.
    """
    weights = {w.name: w.weight for w in log.scenario.workspaces}
    first, second = ((pool, name) for name in pair)
    largest, low, high = 0.0, math.inf, -math.inf
    for sample in _within(log, start_s, end_s):
        if first not in sample.waiting or second not in sample.waiting:
            low, high = math.inf, -math.inf
            continue
        lead = sample.service.get(first, 0.0) / weights[pair[0]]
        lead -= sample.service.get(second, 0.0) / weights[pair[1]]
        low, high = min(low, lead), max(high, lead)
        largest = max(largest, high - low)
    return largest


def largest_gap(log: RunLog, start_s: float, end_s: float) -> Gap | None:
    """Return the largest gap of any two workspaces, relative to its bound."""
    gaps = []
    for pool in sorted({load.pool for load in log.scenario.loads}):
        names = sorted({x.workspace for x in log.scenario.loads if x.pool == pool})
        for i, first in enumerate(names):
            for second in names[i + 1 :]:
                pair = (first, second)
                tokens = pairwise_gap(log, pool, pair, start_s, end_s)
                gaps.append(Gap(pair, tokens, gap_bound(log.scenario, pool, pair)))
    return max(gaps, key=lambda gap: gap.relative, default=None)


def gap_bound(scenario: Scenario, pool: str, pair: tuple[str, str]) -> float:
    """Return the bound ``R x D + 2 x (W_max + C_max)`` for two workspaces.

    R is the service rate of the pool with full batches. D is two exchange
    intervals plus the largest one-way delay. W_max is the cost reserved by the grants
    that can be made within D: as many as there are mean requests in R x D, at most
    one per slot, each with the cost C_max of the largest request. W_max and C_max
    are divided by the weight of their workspace, and R x D by the lower weight.
    """
    weights = {w.name: w.weight for w in scenario.workspaces}
    rate = _service_rate(scenario, pool)
    delay_s = 2 * EXCHANGE_INTERVAL_S + scenario.link.delay_s + scenario.link.jitter_s
    slots = sum(e.max_requests for e in scenario.engines if e.pool == pool)
    largest_cost = largest_in_flight = 0.0
    for name in pair:
        for load in _loads(scenario, pool, name):
            cost = load.largest_cost_tokens() / weights[name]
            unreported = min(slots, math.ceil(rate * delay_s / load.mean_cost_tokens()))
            largest_cost = max(largest_cost, cost)
            largest_in_flight = max(largest_in_flight, unreported * cost)
    least_weight = min(weights[name] for name in pair)
    return rate * delay_s / least_weight + 2 * (largest_in_flight + largest_cost)


def unserved_s(log: RunLog, workspace: str, start_s: float, end_s: float) -> float:
    """Return the longest time that a backlogged workspace received no service."""
    longest, since, last = 0.0, None, {}
    for sample in _within(log, start_s, end_s):
        service = {k: v for k, v in sample.service.items() if k[1] == workspace}
        is_waiting = any(key[1] == workspace for key in sample.waiting)
        if not is_waiting or service != last:
            since, last = sample.at_s, service
        longest = max(longest, sample.at_s - (since or sample.at_s))
    return longest


def unserved_bound_s(scenario: Scenario, workspace: str) -> float:
    """Return the longest time without service that the gap bound allows.

    While a backlogged workspace receives nothing, the others share the rate R, so
    one of them gains a lead of at least R x T / (sum of weights) within a time T.
    """
    weights = {w.name: w.weight for w in scenario.workspaces}
    longest_s = 0.0
    for pool in sorted({x.pool for x in scenario.loads if x.workspace == workspace}):
        names = {load.workspace for load in scenario.loads if load.pool == pool}
        rate = _service_rate(scenario, pool)
        for other in names - {workspace}:
            bound = gap_bound(scenario, pool, (workspace, other))
            total = sum(weights[name] for name in names)
            longest_s = max(longest_s, bound * total / rate)
    return longest_s


def idle_while_waiting(log: RunLog, pool: str, start_s: float, end_s: float) -> float:
    """Return the fraction of a pool's capacity that idled while requests waited.

    An idle slot counts if it can be matched with a waiting request of its own, at a
    router that can reach the upstream. Only upstreams in service count, up to their
    current capacity.
    """
    samples = list(_within(log, start_s, end_s))
    capacity = sum(s.capacity.get(pool, 0) for s in samples)
    return (
        sum(s.usable_idle.get(pool, 0) for s in samples) / capacity if capacity else 0.0
    )


def utilisation(log: RunLog, pool: str, start_s: float, end_s: float) -> float:
    """Return the fraction of the capacity in service that ran requests."""
    samples = list(_within(log, start_s, end_s))
    capacity = sum(s.capacity.get(pool, 0) for s in samples)
    running = sum(s.running.get(pool, 0) for s in samples)
    return running / capacity if capacity else 0.0


def first_token_s(
    log: RunLog,
    work_class: str,
    start_s: float,
    end_s: float,
    workspace: str | None = None,
) -> list[float]:
    """Return sorted times to the first token for requests created in an interval.

    A request that is still open without a token counts with its age, one that ended
    without a token with the time to its end. Requests refused with ``queue-full``
    are left out.
    """
    waits = []
    for ended in log.ended:
        if _is_counted(ended, work_class, start_s, end_s, workspace):
            until_s = (
                ended.end_s if ended.first_token_s is None else ended.first_token_s
            )
            waits.append(until_s - ended.created_s)
    for exchange in log.open_requests.values():
        request = exchange.request
        if (
            request.work_class != work_class
            or not start_s <= exchange.created_s < end_s
        ):
            continue
        if workspace is None or request.workspace == workspace:
            until_s = exchange.first_token_s or log.scenario.duration_s
            waits.append(until_s - exchange.created_s)
    return sorted(waits)


def percentile(ordered: list[float], fraction: float) -> float:
    """Return a percentile of sorted values, or NaN if there are none."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _is_counted(ended, work_class, start_s, end_s, workspace) -> bool:
    return (
        ended.work_class == work_class
        and start_s <= ended.created_s < end_s
        and workspace in (None, ended.workspace)
        and ended.outcome != "queue-full"
    )


def _service_rate(scenario: Scenario, pool: str) -> float:
    """Return the service rate with full batches, in weighted tokens per second.

    Engines are rated in output tokens. Input adds to the service, so the rate is
    scaled by the highest ratio of total cost to output among the loads.
    """
    speed = sum(e.rate_tokens_per_s() for e in scenario.engines if e.pool == pool)
    if any(e.kind == "service" for e in scenario.engines if e.pool == pool):
        return speed
    loads = [load for load in scenario.loads if load.pool == pool]
    cost_ratios = [x.mean_cost_tokens() * 2 / sum(x.output_tokens) for x in loads]
    return speed * max(cost_ratios, default=1.0)


def _loads(scenario: Scenario, pool: str, workspace: str) -> list[LoadSpec]:
    return [x for x in scenario.loads if x.pool == pool and x.workspace == workspace]


def _within(log: RunLog, start_s: float, end_s: float) -> Iterable[Sample]:
    return (s for s in log.samples if start_s <= s.at_s <= end_s)
