"""Demand of the workspaces at this router and at all others."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from carobstair.core.admission.shares import DemandRate
from carobstair.core.share_messages import PoolDemand, ShareTotals

__all__ = ["DemandBook", "FleetDemand"]

# Age up to which the demand of the other routers is used: long enough for another
# collector to take over.
TOTALS_LIFETIME_S = 4.0
# Age up to which the other routers' estimates of the load are used.
ESTIMATES_LIFETIME_S = 1.0
# Part by which the interval of the sums follows the newest one.
INTERVAL_WEIGHT = 0.4
# A lower rate does not count as demand.
MIN_DEMAND_TOKENS_PER_S = 1.0
# At a lower rate of requests their mean size is not known.
MIN_REQUESTS_PER_S = 0.1


@dataclass(slots=True)
class FleetDemand:
    """Demand at the other routers, and their estimates of the load."""

    row: PoolDemand
    at_s: float


@dataclass(slots=True)
class DemandBook:
    """Rates by pool and workspace, and the sums of the other routers.

    Parameters
    ----------
    window_s : float
        Time constant of the rates.
    """

    window_s: float
    _own: dict[tuple[str, str], DemandRate] = field(default_factory=dict)
    _others: dict[str, FleetDemand] = field(default_factory=dict)
    # The part of `_own` whose callers were refused before.
    _returned: dict[tuple[str, str], DemandRate] = field(default_factory=dict)
    # Tokens admitted lately, by pool.
    _admitted: dict[str, DemandRate] = field(default_factory=dict)
    # Tokens and requests sent lately to engines that limit their requests, by pool.
    _limited_tokens: dict[str, DemandRate] = field(default_factory=dict)
    _limited_requests: dict[str, DemandRate] = field(default_factory=dict)
    # Mean interval of the sums; 0 until two have arrived.
    _interval_s: float = 0.0
    _totals_s: float = -math.inf

    def note_totals(self, totals: ShareTotals, now_s: float) -> None:
        """Replace the demand of the other routers."""
        elapsed_s = now_s - self._totals_s
        self._totals_s = now_s
        if elapsed_s < ESTIMATES_LIFETIME_S:
            weight = INTERVAL_WEIGHT if self._interval_s else 1.0
            self._interval_s += weight * (elapsed_s - self._interval_s)
        self._others = {
            pool: FleetDemand(row, now_s) for pool, row in totals.pools.items()
        }

    def interval_s(self, now_s: float) -> float:
        """Return the interval at which sums arrive, 0 if it is not known."""
        if now_s - self._totals_s >= ESTIMATES_LIFETIME_S:
            return 0.0
        return self._interval_s

    def own_rate(self, pool: str, workspace: str, now_s: float) -> float:
        """Return the demand of a workspace at this router."""
        own = self._own.get((pool, workspace))
        return 0.0 if own is None else own.rate(now_s, self.window_s)

    def add(
        self, pool: str, workspace: str, tokens: float, now_s: float
    ) -> tuple[float, float, float]:
        """Count a request.

        Returns
        -------
        tuple of (float, float, float)
            Demand here in tokens a second without and with the request, and the tokens
            that left the estimate since the last one.
        """
        own = self._own.setdefault((pool, workspace), DemandRate(0.0, now_s))
        rate_before = own.rate(now_s, self.window_s)
        drained = own.tokens - rate_before * self.window_s
        own.add(tokens, now_s, self.window_s)
        return rate_before, own.rate(now_s, self.window_s), drained

    def expire(self, now_s: float) -> list[tuple[str, str]]:
        """Drop demand that has decayed; return its pools and workspaces."""
        ended = [
            key
            for key, demand in self._own.items()
            if demand.rate(now_s, self.window_s) < MIN_DEMAND_TOKENS_PER_S
        ]
        for key in ended:
            del self._own[key]
            self._returned.pop(key, None)
        return ended

    def own_demands(self, now_s: float) -> dict[str, dict[str, int]]:
        """Return the demand at this router by pool and workspace."""
        demands: dict[str, dict[str, int]] = {}
        for (pool, workspace), demand in self._own.items():
            rate = round(demand.rate(now_s, self.window_s))
            demands.setdefault(pool, {})[workspace] = rate
        return demands

    def note_returned(
        self, pool: str, workspace: str, tokens: float, now_s: float
    ) -> None:
        """Count a request, in addition to `add`, whose caller was refused before."""
        returned = self._returned.setdefault((pool, workspace), DemandRate(0.0, now_s))
        returned.add(tokens, now_s, self.window_s)

    def own_returned(self, pool: str, now_s: float) -> dict[str, float]:
        """Return the part of the demand here that is asked for again, by workspace."""
        return {
            workspace: returned.rate(now_s, self.window_s)
            for (name, workspace), returned in self._returned.items()
            if name == pool
        }

    def first_demands(self, pool: str, now_s: float) -> dict[str, float]:
        """Return the demand at all routers without what is asked for again.

        A caller asks again once, so this is at least half of the demand; callers with a
        short time-out of their own look as if they had been refused.
        """
        demands = self.demands(pool, now_s)
        row = self.others(pool, now_s)
        again: dict[str, float] = {} if row is None else dict(row.returned)
        for workspace, rate in self.own_returned(pool, now_s).items():
            again[workspace] = again.get(workspace, 0.0) + rate
        for workspace, rate in again.items():
            demand = demands.get(workspace, 0.0)
            demands[workspace] = max(demand - rate, 0.5 * demand)
        return demands

    def pools(self) -> list[str]:
        """Return the pools with demand at this router."""
        return list({pool for pool, _ in self._own})

    def demands(self, pool: str, now_s: float) -> dict[str, float]:
        """Return the demand at all routers by workspace."""
        row = self.others(pool, now_s)
        demands: dict[str, float] = {} if row is None else dict(row.demands)
        for (name, workspace), demand in self._own.items():
            if name == pool:
                rate = demand.rate(now_s, self.window_s)
                demands[workspace] = demands.get(workspace, 0.0) + rate
        return demands

    def others(
        self, pool: str, now_s: float, lifetime_s: float = TOTALS_LIFETIME_S
    ) -> PoolDemand | None:
        """Return the sums of the other routers, unless they are too old."""
        others = self._others.get(pool)
        if others is None or now_s - others.at_s >= lifetime_s:
            return None
        return others.row

    def estimates(self, pool: str, now_s: float) -> PoolDemand | None:
        """Return the other routers' estimates of the load, unless they are too old."""
        return self.others(pool, now_s, ESTIMATES_LIFETIME_S)

    def last_row(self, pool: str) -> PoolDemand | None:
        """Return the newest sums of the other routers, however old."""
        others = self._others.get(pool)
        return None if others is None else others.row

    def note_admitted(self, pool: str, tokens: float, now_s: float) -> None:
        """Count an admitted request."""
        self._add(self._admitted, pool, tokens, now_s)

    def admitted_per_s(self, pool: str, now_s: float) -> float:
        """Return the tokens a second that this router admitted lately."""
        return self._rate(self._admitted, pool, now_s)

    def note_limited_send(self, pool: str, tokens: float, now_s: float) -> None:
        """Count a request that is sent to an engine that limits its requests."""
        self._add(self._limited_tokens, pool, tokens, now_s)
        self._add(self._limited_requests, pool, 1.0, now_s)

    def limited_per_s(self, pool: str, now_s: float) -> tuple[float, float]:
        """Return the tokens and requests a second sent to such engines from here."""
        tokens = self._rate(self._limited_tokens, pool, now_s)
        return tokens, self._rate(self._limited_requests, pool, now_s)

    def limited_request_tokens(self, pool: str, now_s: float) -> float:
        """Return the mean weighted tokens of requests at engines that limit them.

        They are the sends of all routers; 0 if there were none lately.
        """
        tokens, requests = self.limited_per_s(pool, now_s)
        row = self.others(pool, now_s)
        if row is not None:
            tokens += row.limited_tokens
            requests += row.limited_requests_per_ks / 1000.0
        return tokens / requests if requests > MIN_REQUESTS_PER_S else 0.0

    def _add(
        self, sums: dict[str, DemandRate], pool: str, amount: float, now_s: float
    ) -> None:
        sums.setdefault(pool, DemandRate(0.0, now_s)).add(amount, now_s, self.window_s)

    def _rate(self, sums: Mapping[str, DemandRate], pool: str, now_s: float) -> float:
        demand = sums.get(pool)
        return 0.0 if demand is None else demand.rate(now_s, self.window_s)
