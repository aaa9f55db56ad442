"""Settings of the estimates of each upstream, and of the placement by them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CapacitySettings"]


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Times and weights for services whose upstreams state a slowdown.

    Attributes
    ----------
    always : bool
        Learn the capacity of all upstreams that report their load, also of those that
        state no slowdown.
    prefill_tokens_per_s : float
        Read rate of an upstream until requests have shown it.
    objective_s : float
        Longest wait for the first token, beyond the time to read the request's own
        prompt, at which the concurrency of an upstream is kept: the shortest objective
        of the deployments is 250 ms.
    sample_weight : float
        Fraction of an upstream's evidence that a new first token replaces: with those
        of peers, some dozen come in each second.
    evidence_half_life_s : float
        Time in which the evidence of an upstream without requests halves, so that its
        estimate returns to the mean and it is tried again.
    late_half_life_s : float
        Time in which unexplained waits of an upstream without requests halve: long
        enough to avoid one that reports wrongly, and short enough to try it again.
    prior_s : float
        Weight of the mean against measured waits, in seconds of waits: about two first
        tokens.
    max_ratio : float
        Bound of the ratio of a single wait to its expectation, in both directions.
    slowdown_decay_s : float
        Time constant in which a reported slowdown returns to the upstream's usual
        one: neighbours take their machine for some tenths of a second.
    slowdown_mean_s : float
        Time constant of the usual slowdown.
    occupancy_decay_s : float
        Time constant of the smoothed occupancy of plain upstreams, whose requests
        are shorter than the age of most reports.
    late_factor : float
        Ratio to the service's expected wait from which a first token counts as late:
        if all upstreams are late, lower concurrencies do not help.
    decrease : float
        Factor of the concurrency after a late first token.
    decrease_interval_s : float
        Least time between two decreases: requests sent before the first decrease
        say nothing of it.
    min_concurrency_fraction : float
        Bound of the concurrency as a fraction of the slots.
    recovery_s : float
        Time constant in which a lowered concurrency without evidence returns to the
        slots.
    max_transient_slowdown : float
        Slowdown above which a late first token is ascribed to neighbours and leaves
        the concurrency as it is.
    refresh_s : float
        Interval at which the coefficients of all upstreams are computed anew.
    fill_s : float
        Interval at which the mean fill of a service's upstreams is measured.
    backlog_weight : float
        Weight of the time to read the prompts queued ahead of a request.
    uncached_weight : float
        Weight of the time to read the request's own uncached prompt, far above 1, as
        others wait for it too. In plays near the limit of the engines, 10 read more
        and served fewer in time than 24, while the balance was the same.
    usual_ratio : float
        Slowness relative to the mean from which an upstream costs its whole wait:
        upstreams of 0.7 of the mean speed are not slow ones.
    full_s : float
        Cost of an upstream whose concurrency is used up, in proportion below it.
    balance_slack : float
        Relative excess over the mean fill up to which an upstream costs nothing more.
    balance_s : float
        Cost of an excess over that as large as the concurrency itself: parts in
        demand are read by a second upstream before the first is the bottleneck.
    margin_s : float
        Upstreams whose costs differ by less are chosen at random: all routers read
        the same reports, and would choose the same one otherwise.
    near_s : float
        Cost of an upstream in another zone while those of the own zone have room.
    near_fill, spill_fill : float
        Fill of the own zone below which it has room, and from which it has none.
    kv_fraction : float
        Fraction of an engine's KV cache that requests may hold by estimate; the
        growth of answers is known only roughly.
    """

    always: bool = False
    prefill_tokens_per_s: float = 56_600.0
    objective_s: float = 0.25
    sample_weight: float = 0.03
    evidence_half_life_s: float = 10.0
    late_half_life_s: float = 2.0
    prior_s: float = 0.1
    max_ratio: float = 4.0
    slowdown_decay_s: float = 0.4
    slowdown_mean_s: float = 10.0
    occupancy_decay_s: float = 0.5
    late_factor: float = 1.5
    decrease: float = 0.9
    decrease_interval_s: float = 0.5
    min_concurrency_fraction: float = 0.25
    recovery_s: float = 30.0
    max_transient_slowdown: float = 1.3
    refresh_s: float = 0.2
    fill_s: float = 0.05
    backlog_weight: float = 3.0
    uncached_weight: float = 20.0
    usual_ratio: float = 1.6
    full_s: float = 0.3
    balance_slack: float = 0.1
    balance_s: float = 3.0
    margin_s: float = 0.01
    near_s: float = 0.1
    near_fill: float = 0.5
    spill_fill: float = 0.85
    kv_fraction: float = 0.9
