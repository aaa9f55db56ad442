"""Settings and outcome of the admission by fair shares."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["AdmissionDecision", "AdmissionSettings"]


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the admission by fair shares.

    Attributes
    ----------
    demand_window_s : float
        Time constant of the demand estimate.
    control_s : float
        Time between two corrections of the throughput that is shared.
    gain : float
        Correction per unit of pressure on the engines above or below 1.
    max_change : float
        Largest single correction.
    smoothing : float
        Weight of the newest pressure sample, which single long prompts make jump.
    min_factor, max_factor : float
        Bounds of the throughput, as multiples of the nominal one.
    promised_factor : float
        Lower bound unless the engines are overloaded: callers are promised the
        nominal throughput, so slow engines lower it only a little.
    overload_slots_used : float
        Fraction of the slots in use, waiting requests included, above which the
        engines count as overloaded, whatever was promised.
    max_wait : float
        Expected wait for the first token, as a fraction of its objective, above which
        requests are refused. The same for all workspaces: with a lower one for those
        beyond their share, they got less than it.
    agreement : float
        Part of the distance to the mean factor of all routers by which the own one
        is moved whenever totals arrive.
    output_weight : float
        Weight of a generated token relative to a prompt token.
    burst_s : float
        Capacity of a token bucket, in seconds of the share of its workspace.
    min_retry_after_s, max_retry_after_s : float
        Bounds of the time after which a refused caller should retry.
    work_conserving : bool
        Refuse nothing while engines have room, and share what they really take instead
        of a corrected nominal throughput. The attributes below apply only then.
    max_waiting : int
        Requests that may wait at this router for room at the engines; 0 for none.
    target_slots_used : float
        Slots in use relative to all, waiting requests included, at which engines are at
        their target load. Routers learn of each other's sends late, so engines differ,
        and some have a free slot while others have a queue: more begins at a higher
        target, and first tokens are later.
    hold_s : float
        Mean time that a request holds its slot, over which admitted tokens are
        averaged.
    mix_s : float
        Time over which the tokens that a slot takes are averaged: they vary with the
        sizes of requests by a fifth from one half second to the next.
    lag_s : float
        Age of the sums of all routers while the interval of exchanges is unknown.
    lag_intervals : float
        Age of the sums of all routers in intervals of their exchange.
    fill_gain, drain_gain : float
        Rate at which the load approaches its target, from below and from above,
        relative to `hold_s`. Filled faster, engines are overrun when a surge begins.
    least_part : float
        Least supply relative to what engines were given lately.
    room_fill : float
        Time in which requests beyond their share fill the room of the engines, relative
        to `lag_s`. Each router admits its part of them: all see the same free slots.
    spread : float
        Requests for which engines are filled evenly when one is placed, relative to
        those that end within the age of the sums. With less, all routers send to the
        few engines that had the least load then.
    beyond_max_wait : float
        `max_wait` of workspaces beyond their share, so that an overload of the engines
        is first met by those who make it. Their supply does not fall by it.
    max_debt_s : float
        What a workspace owes at most for requests admitted beyond its share, in seconds
        of its share. With more, those that surge at many routers, each of which admits
        some requests at first, get less than those that surge at one.
    return_credit_s : float
        Credit that the requests of callers that return may overdraw, in seconds
        of the share of their workspace.
    returned_after_s : float
        A caller that states so much less time than its route's time-out has been
        refused before. Set it only where first attempts state the whole time-out; the
        deadlines of most callers are their own.
    promise_part : float
        Part of the objective within which a refused request is promised to begin.
    shares_ttl_s : float
        How long shares are used before they are computed again.
    """

    demand_window_s: float = 0.5
    control_s: float = 0.1
    gain: float = 0.1
    max_change: float = 0.05
    smoothing: float = 0.15
    min_factor: float = 0.02
    promised_factor: float = 0.8
    overload_slots_used: float = 0.8
    max_factor: float = 2.5
    max_wait: float = 1.0
    agreement: float = 0.5
    output_weight: float = 2.0
    burst_s: float = 1.0
    min_retry_after_s: float = 0.4
    max_retry_after_s: float = 3.0
    work_conserving: bool = False
    max_waiting: int = 0
    target_slots_used: float = 0.97
    hold_s: float = 1.2
    mix_s: float = 3.0
    lag_s: float = 0.4
    lag_intervals: float = 2.0
    fill_gain: float = 0.8
    drain_gain: float = 3.2
    least_part: float = 0.5
    room_fill: float = 2.0
    spread: float = 2.4
    beyond_max_wait: float = 0.5
    max_debt_s: float = 0.5
    return_credit_s: float = 1.0
    returned_after_s: float = math.inf
    promise_part: float = 0.5
    shares_ttl_s: float = 0.025


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, with the values that decided it.

    Attributes
    ----------
    share, demand : float
        Share and demand of the workspace over all routers, in tokens a second.
    supply, pressure, wait : float
        Throughput that is shared, smoothed pressure on the engines, and expected
        wait as a fraction of the objective. All are 0 for admitted requests.
    reason : str
        What the request exceeds if it is refused: ``share``, ``wait`` or, where the
        sums of all routers do not show its workspace's demand yet, ``surge``. ``room``
        if it is admitted although it exceeds its share.
    """

    admitted: bool
    share: float
    demand: float
    retry_after_s: float = 0.0
    supply: float = 0.0
    pressure: float = 0.0
    wait: float = 0.0
    reason: str = ""
