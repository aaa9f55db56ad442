"""Settings of the homes of shared prompt parts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HomeSettings"]


@dataclass(frozen=True, slots=True)
class HomeSettings:
    """Prices of a part's engines, and the bounds of what is kept.

    Attributes
    ----------
    min_tokens : int
        Tokens that the shared segments of a prompt have in all, from which it has
        homes: reading fewer again costs less than an uneven load.
    rank_prices : tuple of float
        Parts of the price of reading a shared part twice that apply at the engines of
        the first ranks: none at the first home, and less than all at the next ones, so
        that routers that need more engines choose the same ones. At engines of lower
        rank the whole price applies.
    near_second_price : float
        The same at the second home for routers of its zone, if the first is in
        another zone. Long parts are then still read at the first home alone, while
        bytes between zones cost more than a second reading of short ones.
    max_keys : int
        Parts whose ranks are kept: several times those of the deployments, 1,100.
    ranks_kept : int
        Engines that are kept for each part. If fewer than two of them may be used,
        all engines are ranked again.
    weights_s : float
        Interval at which weights are compared with the estimates. A changed weight
        moves parts, so it follows lasting differences only.
    low_weight, high_weight : float
        Weights of engines far below and above the mean; that of all others is 1.
    load_interval_s : float
        Interval at which the load of the engines is measured.
    balance_slack, balance_requests : float
        Relative excess over the mean load up to which an engine costs nothing more,
        and requests beyond that: at small loads parts of a request are no imbalance.
    balance_s : float
        Cost of an excess as large as what the engine takes: a part in demand is read
        at its next home before the first is the bottleneck.
    balance_deviations : float
        Standard deviations of a random load by which a momentary load may exceed it
        at no cost.
    backlog_part : float
        Part of the cost of queued prompts that applies to requests with homes. The
        prompts that peers have queued are known 1 to 4 s late and are read within a
        second, so that at the full cost parts move because of queues that are gone.
    report_lifetime_s : float
        How long the load that an engine reported is used for such requests. It is
        longer than for others, as the digests that it replaces are up to 4 s old.
    demand_s : float
        Interval in which sends of a part are counted: peers' digests are up to 4 s
        apart.
    home_requests_per_s : float
        Requests a second for a part up to which one home is enough: a quarter of the
        slots of an engine of 16 whose requests run for two seconds, as it has others.
    spread_s : float
        Cost of the homes that a request is not to prefer, where a part needs several,
        so that the stale loads of its homes decide only if they differ much.
    enter_low, leave_low, enter_high, leave_high : float
        What an engine takes relative to the mean at which it gets and loses these
        weights. The distances exceed the deviation of routers' estimates, 0.2.
    """

    min_tokens: int = 512
    rank_prices: tuple[float, ...] = (0.0, 0.25, 0.6, 0.8)
    near_second_price: float = 0.15
    max_keys: int = 4_096
    ranks_kept: int = 8
    weights_s: float = 2.0
    low_weight: float = 0.5
    high_weight: float = 2.0
    load_interval_s: float = 0.05
    balance_slack: float = 0.1
    balance_requests: float = 0.3
    balance_s: float = 5.0
    balance_deviations: float = 1.0
    backlog_part: float = 0.33
    report_lifetime_s: float = 1.5
    demand_s: float = 2.0
    home_requests_per_s: float = 2.0
    spread_s: float = 0.25
    enter_low: float = 0.5
    leave_low: float = 0.75
    enter_high: float = 1.9
    leave_high: float = 1.4
