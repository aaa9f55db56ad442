"""Admission by fair shares of what the engines give, without a queue of its own.

Answers the load of a few workspaces that ask for many times their share: engines
admit in order of arrival, so work beyond the fair shares would make everybody
late. Each router knows the demand of all others from their digests, computes the
same max-min shares and lets its own part of each share through. Nothing is refused
while the engines keep up with all that is asked.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["AdmissionSettings", "FairAdmission", "Verdict", "max_min_shares"]


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of the admission by shares.

    Attributes
    ----------
    demand_window_s : float
        Time constant of the demand estimate.
    usable_fraction : float
        Part of the nominal capacity that is given out.
    output_weight : float
        Weight of a generated token against a prompt token that is read.
    burst_s : float
        How many seconds of its share a workspace may have saved up.
    least_retry_s, longest_retry_s : float
        Bounds of the time after which a refused caller should come back.
    """

    demand_window_s: float = 1.0
    usable_fraction: float = 1.0
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
    """

    admitted: bool
    share: float
    demand: float
    retry_after_s: float = 0.0


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
class FairAdmission:
    """Shares per pool and workspace.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings = AdmissionSettings()
    _own: dict[tuple[str, str], _Demand] = field(default_factory=dict)
    _peers: dict[str, dict[tuple[str, str], float]] = field(default_factory=dict)
    _buckets: dict[tuple[str, str], _Bucket] = field(default_factory=dict)

    def note_peer(self, peer: str, rows: Iterable[tuple[str, str, float]]) -> None:
        """Replace a peer's demand: pool, workspace and tokens a second."""
        self._peers[peer] = {(pool, name): rate for pool, name, rate in rows}

    def forget_peer(self, peer: str) -> None:
        """Forget the demand of a peer that is gone."""
        self._peers.pop(peer, None)

    def own_rows(self, now_s: float) -> list[tuple[str, str, float]]:
        """Return the demand at this router, and forget what has faded."""
        window_s = self.settings.demand_window_s
        rows = []
        for key, demand in list(self._own.items()):
            rate = demand.rate(now_s, window_s)
            if rate < 1.0:
                del self._own[key]
                self._buckets.pop(key, None)
            else:
                rows.append((*key, round(rate, 1)))
        return rows

    def decide(
        self, pool: str, workspace: str, tokens: float, capacity: float, now_s: float
    ) -> Verdict:
        """Count a request and return whether it is let through.

        Parameters
        ----------
        tokens : float
            Weighted tokens of the request.
        capacity : float
            Weighted tokens a second that the pool's engines give now.
        """
        window_s = self.settings.demand_window_s
        key = (pool, workspace)
        own = self._own.setdefault(key, _Demand(0.0, now_s))
        own.add(tokens, now_s, window_s)
        demands = self._demands(pool, now_s)
        usable = capacity * self.settings.usable_fraction
        demand = demands[workspace]
        if sum(demands.values()) <= usable:
            self._buckets.pop(key, None)
            return Verdict(True, demand, demand)
        share = max_min_shares(demands, usable)[workspace]
        part = share * own.rate(now_s, window_s) / demand
        if share >= demand:
            self._buckets.pop(key, None)
            return Verdict(True, share, demand)
        return self._take(key, tokens, part, share, demand, now_s)

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
        demands: dict[str, float] = {}
        for (name, workspace), demand in self._own.items():
            if name == pool:
                rate = demand.rate(now_s, window_s)
                demands[workspace] = demands.get(workspace, 0.0) + rate
        for rows in self._peers.values():
            for (name, workspace), rate in rows.items():
                if name == pool:
                    demands[workspace] = demands.get(workspace, 0.0) + rate
        return demands
