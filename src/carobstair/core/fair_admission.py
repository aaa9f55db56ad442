"""Admission by max-min fair shares of the engines' throughput, without a queue.

Intended for a few workspaces that ask for many times their share: engines admit
requests in order of arrival, so work beyond the fair shares would delay every
workspace. Each router knows the demand at all others from their digests, computes
the same max-min shares and admits its own fraction of each share. The throughput
that is shared follows the load of the engines: it rises while they have spare
capacity and falls while prompts queue up, so that nothing is refused that they
could serve. When the engines become overloaded, it starts from the demand, which may
be a small part of the configured throughput.

Shares follow with a delay, so requests that would miss their objective by waiting are
refused at once as well.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

__all__ = [
    "AdmissionSettings",
    "FairAdmission",
    "ThroughputControl",
    "AdmissionDecision",
    "max_min_shares",
]

# At a lower pressure no request waits, so that the wait need not be estimated.
LIGHT_PRESSURE = 0.4
# Age up to which a factor is sent to peers.
FACTOR_LIFETIME_S = 0.5
# A lower rate does not count as demand.
MIN_DEMAND_TOKENS_PER_S = 1.0


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
    peer_weight : float
        Weight of the mean factor of the peers in each correction of the own one,
        while the pool is overloaded there.
    output_weight : float
        Weight of a generated token relative to a prompt token.
    burst_s : float
        Capacity of a token bucket, in seconds of the share of its workspace.
    min_retry_after_s, max_retry_after_s : float
        Bounds of the time after which a refused caller should retry.
    """

    demand_window_s: float = 1.0
    control_s: float = 0.1
    gain: float = 0.1
    max_change: float = 0.05
    smoothing: float = 0.15
    min_factor: float = 0.02
    promised_factor: float = 0.8
    overload_slots_used: float = 0.8
    max_factor: float = 2.5
    max_wait: float = 1.0
    peer_weight: float = 0.5
    output_weight: float = 2.0
    burst_s: float = 1.0
    min_retry_after_s: float = 0.4
    max_retry_after_s: float = 3.0


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
        What the request exceeds if it is refused: ``share`` or ``wait``.
    """

    admitted: bool
    share: float
    demand: float
    retry_after_s: float = 0.0
    supply: float = 0.0
    pressure: float = 0.0
    wait: float = 0.0
    reason: str = ""


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair shares of a capacity.

    Parameters
    ----------
    demands : mapping
        Tokens a second by workspace.
    capacity : float
        Tokens a second to share.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, remaining / (len(ordered) - index))
        remaining -= shares[name]
    return shares


@dataclass(slots=True)
class _Demand:
    tokens: float = 0.0
    at_s: float = 0.0

    def add(self, tokens: float, now_s: float, window_s: float) -> None:
        self.tokens = self.rate(now_s, window_s) * window_s + tokens
        self.at_s = now_s

    def rate(self, now_s: float, window_s: float) -> float:
        return self.tokens * math.exp((self.at_s - now_s) / window_s) / window_s


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at_s: float


@dataclass(slots=True)
class ThroughputControl:
    """Corrects the nominal throughput by the load of the engines.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings
    factor: float = 1.0
    # Until the first sample, the engines are assumed to be at their target load.
    pressure: float = 1.0
    newest: float = 1.0
    slots_used: float = 0.0
    corrected_s: float = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether the next correction is due."""
        return now_s - self.corrected_s >= self.settings.control_s

    @property
    def is_loaded(self) -> bool:
        """Whether some engine may have a queue."""
        return max(self.pressure, self.newest) > LIGHT_PRESSURE

    def correct(
        self, pressure: float, demand: float, now_s: float, slots_used: float = 0.0
    ) -> None:
        """Correct the factor by a sample of the pressure on the engines.

        Parameters
        ----------
        demand : float
            Demand relative to the nominal throughput. If it is below the factor, a low
            pressure does not show that the engines could give more.
        slots_used : float
            Running and waiting requests of the engines relative to their slots.
        """
        settings = self.settings
        self.corrected_s = now_s
        self.newest = pressure
        self.pressure += settings.smoothing * (pressure - self.pressure)
        self.slots_used += settings.smoothing * (slots_used - self.slots_used)
        change = settings.gain * (1.0 - self.pressure)
        if change > 0 and demand <= self.factor:
            self.factor += settings.max_change * (1.0 - self.factor)
            return
        floor = min(self.factor, settings.promised_factor)
        if self.slots_used > settings.overload_slots_used:
            floor = settings.min_factor
            self.factor = min(self.factor, max(demand, floor))
        self.factor *= 1.0 + min(max(change, -settings.max_change), settings.max_change)
        self.factor = min(max(self.factor, floor), settings.max_factor)


@dataclass(slots=True)
class FairAdmission:
    """Admission by fair shares per pool and workspace.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings = AdmissionSettings()
    _own: dict[tuple[str, str], _Demand] = field(default_factory=dict)
    _peers: dict[str, dict[tuple[str, str], float]] = field(default_factory=dict)
    # Sums over all peers by pool and workspace, as every request reads them.
    _peer_totals: dict[str, dict[str, float]] = field(default_factory=dict)
    _controls: dict[str, ThroughputControl] = field(default_factory=dict)
    # Factors below the promised one, by peer and pool.
    _peer_factors: dict[str, dict[str, float]] = field(default_factory=dict)
    _buckets: dict[tuple[str, str], _Bucket] = field(default_factory=dict)

    def note_peer(self, peer: str, rows: Iterable[tuple[str, str, float]]) -> None:
        """Replace a peer's demand: pool, workspace and tokens a second."""
        self.forget_peer(peer)
        self._peers[peer] = {(pool, name): rate for pool, name, rate in rows}
        self._adjust_peer_totals(peer, 1)

    def forget_peer(self, peer: str) -> None:
        """Drop the demand of a peer that has left or failed."""
        self._adjust_peer_totals(peer, -1)
        self._peers.pop(peer, None)
        self._peer_factors.pop(peer, None)

    def own_factors(self, now_s: float) -> dict[str, float]:
        """Return the factors of overloaded pools, those below the promised one.

        Without those that were not corrected lately, for lack of requests.
        """
        promised = self.settings.promised_factor
        return {
            pool: control.factor
            for pool, control in self._controls.items()
            if control.factor < promised
            and now_s - control.corrected_s < FACTOR_LIFETIME_S
        }

    def note_peer_factors(self, peer: str, factors: Mapping[str, float]) -> None:
        """Replace a peer's factors of overloaded pools."""
        self._peer_factors[peer] = dict(factors)

    def throughput_factors(self) -> dict[str, tuple[float, float]]:
        """Return factor and smoothed pressure of each pool that had requests."""
        return {
            pool: (control.factor, control.pressure)
            for pool, control in self._controls.items()
        }

    def own_rows(self, now_s: float) -> list[tuple[str, str, float]]:
        """Return the demand at this router, and drop what has decayed."""
        window_s = self.settings.demand_window_s
        rows = []
        for key, demand in list(self._own.items()):
            rate = demand.rate(now_s, window_s)
            if rate < MIN_DEMAND_TOKENS_PER_S:
                del self._own[key]
                self._buckets.pop(key, None)
            else:
                rows.append((*key, round(rate, 1)))
        return rows

    def decide(
        self,
        pool: str,
        workspace: str,
        tokens: float,
        capacity: float,
        pressure: Callable[[], float],
        now_s: float,
        wait: Callable[[], float] = lambda: 0.0,
        slots_used: Callable[[], float] = lambda: 0.0,
    ) -> AdmissionDecision:
        """Count a request towards the demand and decide on its admission.

        Parameters
        ----------
        tokens : float
            Weighted tokens of the request.
        capacity : float
            Nominal throughput of the pool's engines, in weighted tokens a second.
        pressure : callable
            Returns the load of the engines relative to its target (1.0).
        wait : callable
            Returns the expected wait for the first token, without the time for the
            request's own prompt, as a fraction of its objective.
        slots_used : callable
            Returns the requests at the engines relative to their slots.
        """
        window_s = self.settings.demand_window_s
        key = (pool, workspace)
        own = self._own.setdefault(key, _Demand(0.0, now_s))
        own.add(tokens, now_s, window_s)
        demands = self._demands(pool, now_s)
        total_demand = sum(demands.values())
        control = self._controls.get(pool)
        if control is None:
            control = self._controls[pool] = ThroughputControl(self.settings)
        if control.is_due(now_s):
            self._approach_peers(pool, control)
            control.correct(pressure(), total_demand / capacity, now_s, slots_used())
        supply = capacity * control.factor
        demand = demands[workspace]
        expected = wait() if control.is_loaded else 0.0
        share = demand
        if total_demand > supply:
            share = max_min_shares(demands, supply)[workspace]
        if expected > self.settings.max_wait:
            return AdmissionDecision(
                False,
                share,
                demand,
                self.settings.min_retry_after_s,
                supply,
                control.pressure,
                expected,
                "wait",
            )
        if share >= demand:
            self._buckets.pop(key, None)
            return AdmissionDecision(True, share, demand)
        own_share = share * own.rate(now_s, window_s) / demand
        decision = self._take_tokens(key, tokens, own_share, share, demand, now_s)
        return replace(decision, supply=supply, pressure=control.pressure)

    def _take_tokens(
        self,
        key: tuple[str, str],
        tokens: float,
        rate: float,
        share: float,
        demand: float,
        now_s: float,
    ) -> AdmissionDecision:
        depth = rate * self.settings.burst_s
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(depth, now_s)
        bucket.tokens = min(depth, bucket.tokens + rate * (now_s - bucket.at_s))
        bucket.at_s = now_s
        # A request may overdraw the bucket, so that large ones are admitted as well.
        if bucket.tokens > 0:
            bucket.tokens -= tokens
            return AdmissionDecision(True, share, demand)
        wait_s = (tokens - bucket.tokens) / max(rate, 1.0)
        settings = self.settings
        wait_s = min(
            max(wait_s, settings.min_retry_after_s), settings.max_retry_after_s
        )
        return AdmissionDecision(False, share, demand, wait_s, reason="share")

    def _approach_peers(self, pool: str, control: ThroughputControl) -> None:
        """Move the factor of an overloaded pool towards that of the peers.

        Each router samples the engines at other times. If their factors drifted
        apart, workspaces would get different shares at different routers.
        """
        factors = [f[pool] for f in self._peer_factors.values() if pool in f]
        if not factors:
            return
        mean = sum(factors) / len(factors)
        control.factor += self.settings.peer_weight * (mean - control.factor)

    def _demands(self, pool: str, now_s: float) -> dict[str, float]:
        window_s = self.settings.demand_window_s
        demands = dict(self._peer_totals.get(pool, {}))
        for (name, workspace), demand in self._own.items():
            if name == pool:
                rate = demand.rate(now_s, window_s)
                demands[workspace] = demands.get(workspace, 0.0) + rate
        return demands

    def _adjust_peer_totals(self, peer: str, sign: int) -> None:
        for (pool, name), rate in self._peers.get(peer, {}).items():
            totals = self._peer_totals.setdefault(pool, {})
            totals[name] = totals.get(name, 0.0) + sign * rate
            # Rounding errors may leave a small remainder, which is no demand.
            if totals[name] < MIN_DEMAND_TOKENS_PER_S:
                del totals[name]
