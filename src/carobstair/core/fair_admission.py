"""Admission by fair shares of what the engines give, without a queue of its own.

Answers the load of a few workspaces that ask for many times their share: engines
admit in order of arrival, so work beyond the fair shares would make everybody
late. Each router knows the demand of all others from their digests, computes the
same max-min shares and lets its own part of each share through. What is shared out
follows the engines: more while they have room, less while prompts pile up, so that
nothing is refused that they could serve.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

__all__ = [
    "AdmissionSettings",
    "FairAdmission",
    "ThroughputControl",
    "Verdict",
    "max_min_shares",
]

# Tokens a second that count as demand.
LEAST_RATE = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of the admission by shares.

    Attributes
    ----------
    demand_window_s : float
        Time constant of the demand estimate.
    control_s : float
        Time between two corrections of the throughput that is given out.
    gain : float
        Correction for each unit of pressure on the engines above or below 1.
    most_change : float
        Largest correction at a time.
    smoothing : float
        Weight of the newest pressure: single long prompts make it jump.
    least_factor, most_factor : float
        Bounds of the throughput, as a part of the nominal one. Callers are owed
        the nominal one, so slow engines lower it only a little.
    output_weight : float
        Weight of a generated token against a prompt token that is read.
    burst_s : float
        How many seconds of its share a workspace may have saved up.
    least_retry_s, longest_retry_s : float
        Bounds of the time after which a refused caller should come back.
    """

    demand_window_s: float = 1.0
    control_s: float = 0.1
    gain: float = 0.1
    most_change: float = 0.05
    smoothing: float = 0.15
    least_factor: float = 0.8
    most_factor: float = 2.5
    output_weight: float = 2.0
    burst_s: float = 1.0
    least_retry_s: float = 0.4
    longest_retry_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request is let through, and what decided it.

    Attributes
    ----------
    share, demand : float
        Of the workspace, over all routers, in tokens a second.
    usable, pressure : float
        Throughput that is shared out, and the last pressure on the engines.
    """

    admitted: bool
    share: float
    demand: float
    retry_after_s: float = 0.0
    usable: float = 0.0
    pressure: float = 0.0


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return what each gets if nobody gets more while another lacks.

    Parameters
    ----------
    demands : mapping
        Tokens a second by workspace.
    capacity : float
        Tokens a second for all.
    """
    shares: dict[str, float] = {}
    left = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, left / (len(ordered) - index))
        left -= shares[name]
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
    """Corrects the nominal throughput by how loaded the engines are.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings
    factor: float = 1.0
    # A router that has just started takes the engines to be as loaded as they
    # should be, until it knows.
    pressure: float = 1.0
    _at_s: float = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether it is time for a correction."""
        return now_s - self._at_s >= self.settings.control_s

    def correct(self, pressure: float, short: bool, now_s: float) -> None:
        """Take in the pressure on the engines.

        Parameters
        ----------
        short : bool
            Whether more is asked than is given out. Otherwise room says nothing
            about what the engines could give.
        """
        rules = self.settings
        self._at_s = now_s
        self.pressure += rules.smoothing * (pressure - self.pressure)
        change = rules.gain * (1.0 - self.pressure)
        if change > 0 and not short:
            self.factor += rules.most_change * (1.0 - self.factor)
            return
        self.factor *= 1.0 + min(max(change, -rules.most_change), rules.most_change)
        self.factor = min(max(self.factor, rules.least_factor), rules.most_factor)


@dataclass(slots=True)
class FairAdmission:
    """Shares per pool and workspace.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings = AdmissionSettings()
    _own: dict[tuple[str, str], _Demand] = field(default_factory=dict)
    _peers: dict[str, dict[tuple[str, str], float]] = field(default_factory=dict)
    # Sums over the peers by pool and workspace: every request reads them.
    _peer_totals: dict[str, dict[str, float]] = field(default_factory=dict)
    _controls: dict[str, ThroughputControl] = field(default_factory=dict)
    _buckets: dict[tuple[str, str], _Bucket] = field(default_factory=dict)

    def note_peer(self, peer: str, rows: Iterable[tuple[str, str, float]]) -> None:
        """Replace a peer's demand: pool, workspace and tokens a second."""
        self.forget_peer(peer)
        self._peers[peer] = {(pool, name): rate for pool, name, rate in rows}
        self._add_peer(peer, 1)

    def forget_peer(self, peer: str) -> None:
        """Forget the demand of a peer that is gone."""
        self._add_peer(peer, -1)
        self._peers.pop(peer, None)

    def own_rows(self, now_s: float) -> list[tuple[str, str, float]]:
        """Return the demand at this router, and forget what has faded."""
        window_s = self.settings.demand_window_s
        rows = []
        for key, demand in list(self._own.items()):
            rate = demand.rate(now_s, window_s)
            if rate < LEAST_RATE:
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
    ) -> Verdict:
        """Count a request and return whether it is let through.

        Parameters
        ----------
        tokens : float
            Weighted tokens of the request.
        capacity : float
            Weighted tokens a second that the pool's engines nominally give.
        pressure : callable
            Returns how loaded they are; 1 is as much as they should be.
        """
        window_s = self.settings.demand_window_s
        key = (pool, workspace)
        own = self._own.setdefault(key, _Demand(0.0, now_s))
        own.add(tokens, now_s, window_s)
        demands = self._demands(pool, now_s)
        asked = sum(demands.values())
        control = self._controls.get(pool)
        if control is None:
            control = self._controls[pool] = ThroughputControl(self.settings)
        if control.is_due(now_s):
            control.correct(pressure(), asked > capacity * control.factor, now_s)
        usable = capacity * control.factor
        demand = demands[workspace]
        if asked <= usable:
            self._buckets.pop(key, None)
            return Verdict(True, demand, demand)
        share = max_min_shares(demands, usable)[workspace]
        part = share * own.rate(now_s, window_s) / demand
        if share >= demand:
            self._buckets.pop(key, None)
            return Verdict(True, share, demand)
        verdict = self._take(key, tokens, part, share, demand, now_s)
        return replace(verdict, usable=usable, pressure=control.pressure)

    def _take(
        self,
        key: tuple[str, str],
        tokens: float,
        rate: float,
        share: float,
        demand: float,
        now_s: float,
    ) -> Verdict:
        depth = rate * self.settings.burst_s
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(depth, now_s)
        bucket.tokens = min(depth, bucket.tokens + rate * (now_s - bucket.at_s))
        bucket.at_s = now_s
        # A request may overdraw, so that large ones get their turn as well.
        if bucket.tokens > 0:
            bucket.tokens -= tokens
            return Verdict(True, share, demand)
        wait_s = (tokens - bucket.tokens) / max(rate, 1.0)
        rules = self.settings
        wait_s = min(max(wait_s, rules.least_retry_s), rules.longest_retry_s)
        return Verdict(False, share, demand, wait_s)

    def _demands(self, pool: str, now_s: float) -> dict[str, float]:
        window_s = self.settings.demand_window_s
        demands = dict(self._peer_totals.get(pool, {}))
        for (name, workspace), demand in self._own.items():
            if name == pool:
                rate = demand.rate(now_s, window_s)
                demands[workspace] = demands.get(workspace, 0.0) + rate
        return demands

    def _add_peer(self, peer: str, sign: int) -> None:
        for (pool, name), rate in self._peers.get(peer, {}).items():
            totals = self._peer_totals.setdefault(pool, {})
            totals[name] = totals.get(name, 0.0) + sign * rate
            # What is left of fractions that don't cancel is no demand.
            if totals[name] < LEAST_RATE:
                del totals[name]
