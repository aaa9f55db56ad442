"""Decisions that refuse nothing while engines have room.

Shares are those of the supply that engines are seen to take. A request beyond the share
of its workspace is admitted all the same while an engine has room for it; its
workspace owes the tokens. When there is no room for all, shares decide.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from carobstair.core.admission.demand_book import DemandBook
from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.room import EngineLoad
from carobstair.core.admission.settings import AdmissionDecision, AdmissionSettings
from carobstair.core.admission.supply import SupplyControl
from carobstair.core.share_messages import PoolDemand, ShareTotals

__all__ = ["ROOM", "WorkConservingShares"]

# Reason of requests that are admitted beyond their share.
ROOM = "room"
# Time in which a waiting request asks for room as often as an arriving one.
ROOM_INTERVAL_S = 0.2
# A lower demand does not count, to divide by.
MIN_DEMAND_PER_S = 1.0
# Load below which any request is admitted for which an engine has room: then too little
# is known of what engines take, which may be many times the configured throughput.
EMPTY_LOAD = 0.5
# Load for which unread prompts count at most. Those of a few crowded engines would
# otherwise stop the admission to all others.
MAX_WAIT_LOAD = 1.2
# Below this a retry arrives before anything can have changed.
MIN_RETRY_S = 0.03
# Retry-After of requests without a promise, for each multiple of the share that their
# workspace asks for: overloads last for seconds, and returns are spread over them.
RETRY_PER_LOAD_S = 1.0


@dataclass(slots=True)
class _Credit:
    """Tokens that a workspace beyond its share may still begin.

    `promised_s` is the time until which what it earns is promised to refused callers.
    """

    tokens: float
    part: float
    promised_s: float = -math.inf


@dataclass(slots=True)
class _Pool:
    """Shares of one pool.

    Attributes
    ----------
    level : float
        Largest share of a workspace.
    excess_per_s : float
        Demand of all workspaces beyond the supply.
    others : mapping
        Demand at the other routers by workspace.
    first : mapping
        Demand at all routers without what is asked for again. The repeated requests of
        small workspaces would otherwise make them look as large as their share.
    """

    control: SupplyControl
    capacity: float = 1.0
    limited_per_s: float = 0.0
    engines: EngineLoad = field(default_factory=EngineLoad)
    level: float = math.inf
    excess_per_s: float = 0.0
    others: Mapping[str, int] = field(default_factory=dict)
    first: Mapping[str, float] = field(default_factory=dict)
    computed_s: float = -math.inf


@dataclass(slots=True)
class WorkConservingShares:
    """Admission by fair shares of what engines take, and by their room.

    Parameters
    ----------
    settings : AdmissionSettings
    book : DemandBook
    rng : random.Random
    """

    settings: AdmissionSettings
    book: DemandBook
    rng: random.Random
    pools: dict[str, _Pool] = field(default_factory=dict)
    _credits: dict[tuple[str, str], _Credit] = field(default_factory=dict)

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Count a request towards the demand and decide on its admission."""
        settings = self.settings
        key = request.pool, request.workspace
        rate_before, own_rate, drained = self.book.add(*key, request.tokens, now_s)
        if request.returned:
            self.book.note_returned(*key, request.tokens, now_s)
        pool, demand, first = self._shares(request, own_rate, now_s)
        share = min(first, pool.level)
        if first <= pool.level:
            self._credits.pop(key, None)
            if not self._waits_too_long(request, pool, settings.max_wait):
                self.book.note_admitted(request.pool, request.tokens, now_s)
                return AdmissionDecision(True, demand, demand)
            return self._refuse(request, pool, share, demand, own_rate, "wait", now_s)
        part = share / demand
        credit = self._credit(key, part, request.tokens, rate_before, drained)
        self._credits[key] = credit
        earned_per_s = part * own_rate
        overdraft = 0.0
        if request.returned:
            overdraft = settings.return_credit_s * earned_per_s
        within = credit.tokens + overdraft > 0
        reason = ""
        if not within:
            if not self._has_room(request, pool):
                return self._refuse(
                    request, pool, share, demand, own_rate, "share", now_s
                )
            reason = ROOM
        max_wait = settings.max_wait if request.returned else settings.beyond_max_wait
        if within and self._waits_too_long(request, pool, max_wait):
            return self._refuse(request, pool, share, demand, own_rate, "wait", now_s)
        debt = settings.max_debt_s * earned_per_s
        credit.tokens = max(credit.tokens - request.tokens, -debt - request.tokens)
        self.book.note_admitted(request.pool, request.tokens, now_s)
        return AdmissionDecision(True, share, demand, reason=reason)

    def reconsider(
        self, request: AdmissionRequest, tick_s: float, now_s: float
    ) -> AdmissionDecision:
        """Decide on a request that waits, which was counted when it arrived.

        Parameters
        ----------
        tick_s : float
            Time since it was last decided on.
        """
        settings = self.settings
        key = request.pool, request.workspace
        rate_before, own_rate, drained = self.book.add(*key, 0.0, now_s)
        pool, demand, first = self._shares(request, own_rate, now_s)
        share = min(first, pool.level)
        reason = ""
        if first <= pool.level:
            self._credits.pop(key, None)
            if self._waits_too_long(request, pool, settings.max_wait):
                return self._refuse(
                    request, pool, share, demand, own_rate, "wait", now_s
                )
        else:
            part = share / demand
            credit = self._credit(key, part, request.tokens, rate_before, drained)
            self._credits[key] = credit
            within = credit.tokens > 0
            if within and self._waits_too_long(request, pool, settings.max_wait):
                within = False
            # A request that waits asks for room again and again.
            if not within:
                asks = self.rng.random() < tick_s / ROOM_INTERVAL_S
                if not asks or not self._has_room(request, pool):
                    return self._refuse(
                        request, pool, share, demand, own_rate, "share", now_s
                    )
                reason = ROOM
            debt = settings.max_debt_s * part * own_rate
            credit.tokens = max(credit.tokens - request.tokens, -debt - request.tokens)
        self.book.note_admitted(request.pool, request.tokens, now_s)
        return AdmissionDecision(True, share, demand, reason=reason)

    def controls(self) -> dict[str, SupplyControl]:
        """Return the control of each pool."""
        return {name: pool.control for name, pool in self.pools.items()}

    def note_totals(self, totals: ShareTotals) -> None:
        """Let pools without requests here follow the supply of the other routers."""
        for name, pool in self.pools.items():
            row = totals.pools.get(name)
            if row is not None and row.samples and name not in totals.reported:
                pool.control.adopt(math.exp(row.log_factors / row.samples))
            pool.computed_s = -math.inf

    def refresh(self, name: str, engines: EngineLoad, now_s: float) -> None:
        """Correct the supply of a pool if that is due."""
        pool = self.pools.get(name)
        if pool is not None and pool.control.is_due(now_s):
            self.correct(name, engines, now_s)

    def correct(self, name: str, engines: EngineLoad, now_s: float) -> None:
        """Estimate the supply of a pool from the load that all routers report."""
        pool = self.pools[name]
        control = pool.control
        pool.engines = engines
        admitted = self.book.admitted_per_s(name, now_s)
        row = self.book.estimates(name, now_s)
        if row is not None and row.samples:
            admitted += row.admitted
        control.own_slots_used = control.slots_used = engines.slots_used
        load = max(
            engines.slots_used / self.settings.target_slots_used,
            min(engines.wait_s / engines.target_wait_s, MAX_WAIT_LOAD),
        )
        control.own_pressure = load
        known = self.book.last_row(name)
        are_sums_missing = row is None and known is not None and known.samples
        if are_sums_missing or not engines.engines:
            control.observe(load, now_s)
            return
        admitted = max(0.0, admitted - pool.limited_per_s) / pool.capacity
        control.correct(load, admitted, now_s)

    def add_report(self, name: str, row: PoolDemand, now_s: float) -> PoolDemand:
        """Return a report with the load that this router makes."""
        pool = self.pools[name]
        engines = pool.engines
        return PoolDemand(
            row.demands,
            row.admitted,
            1,
            round(math.log(pool.control.factor), 4),
            round(pool.control.own_pressure, 3),
            round(pool.control.own_slots_used, 3),
            row.limited_tokens,
            row.limited_requests_per_ks,
            dict(engines.own),
            engines.backlog_tokens,
            {
                workspace: round(rate)
                for workspace, rate in self.book.own_returned(name, now_s).items()
                if rate >= 1.0
            },
        )

    def load_of_others(self, name: str, now_s: float) -> PoolDemand | None:
        """Return what all other routers report of a pool, None if unknown."""
        row = self.book.estimates(name, now_s)
        return None if row is None or not row.samples else row

    def note_demand(
        self, pool: str, workspace: str, tokens: float, now_s: float
    ) -> None:
        """Count a request that is refused without a decision towards the demand."""
        _, rate, drained = self.book.add(pool, workspace, tokens, now_s)
        credit = self._credits.get((pool, workspace))
        if credit is not None:
            saved = credit.part * rate * self.settings.burst_s
            credit.tokens = min(credit.tokens + credit.part * drained, saved)

    def give_back(self, pool: str, workspace: str, tokens: float) -> None:
        """Return the tokens of a request that was admitted and did not begin."""
        credit = self._credits.get((pool, workspace))
        if credit is not None:
            credit.tokens += tokens

    def is_beyond_share(self, pool: str, workspace: str) -> bool:
        """Return whether a workspace exceeded its share when it last asked."""
        return (pool, workspace) in self._credits

    def forget(self, key: tuple[str, str]) -> None:
        """Drop what is known of a workspace that asks no more."""
        self._credits.pop(key, None)

    def _shares(
        self, request: AdmissionRequest, own_rate: float, now_s: float
    ) -> tuple[_Pool, float, float]:
        """Return the pool, and its workspace's demand with and without repetitions."""
        pool = self._pool(request)
        if pool.control.is_due(now_s):
            self.correct(request.pool, request.engines(), now_s)
        if now_s - pool.computed_s >= self.settings.shares_ttl_s:
            self._compute_shares(request.pool, pool, now_s)
        demand = own_rate + pool.others.get(request.workspace, 0.0)
        demand = max(demand, MIN_DEMAND_PER_S)
        return pool, demand, pool.first.get(request.workspace, demand)

    def _pool(self, request: AdmissionRequest) -> _Pool:
        pool = self.pools.get(request.pool)
        if pool is None:
            pool = self.pools[request.pool] = _Pool(SupplyControl(self.settings))
            row = self.book.last_row(request.pool)
            if row is not None and row.samples:
                pool.control.adopt(math.exp(row.log_factors / row.samples))
        pool.capacity, pool.limited_per_s = request.capacity, request.limited_per_s
        return pool

    def _compute_shares(self, name: str, pool: _Pool, now_s: float) -> None:
        """Find the level up to which the demand of each workspace is met."""
        pool.computed_s = now_s
        row = self.book.others(name, now_s)
        pool.others = {} if row is None else row.demands
        pool.first = self.book.first_demands(name, now_s)
        demands = sorted(pool.first.values())
        left = pool.capacity * pool.control.factor + pool.limited_per_s
        pool.excess_per_s = sum(self.book.demands(name, now_s).values()) - left
        pool.level = math.inf
        for index, demand in enumerate(demands):
            level = left / (len(demands) - index)
            if demand > level:
                pool.level = level
                return
            left -= demand

    def _credit(
        self,
        key: tuple[str, str],
        part: float,
        tokens: float,
        rate_before: float,
        drained: float,
    ) -> _Credit:
        """Return the credit of a workspace when a request arrives.

        It grows by the admitted part of the demand as that leaves the estimate, so the
        tokens that begin do not depend on how often a router sees the workspace.
        """
        credit = self._credits.get(key)
        if credit is None:
            # Of all first requests the same part is admitted.
            owed = (1.0 - part) * rate_before * self.settings.demand_window_s
            return _Credit(tokens * (part - self.rng.random()) - owed, part)
        saved = part * rate_before * self.settings.burst_s
        credit.tokens = min(credit.tokens + part * drained, saved + part * tokens)
        credit.part = part
        return credit

    def _has_room(self, request: AdmissionRequest, pool: _Pool) -> bool:
        if pool.control.ahead < EMPTY_LOAD:
            return request.room()
        # Many routers see the same free slot.
        room_per_s = pool.capacity * pool.control.room()
        if self.rng.random() * pool.excess_per_s >= room_per_s:
            return False
        return request.room()

    def _waits_too_long(
        self, request: AdmissionRequest, pool: _Pool, max_wait: float
    ) -> bool:
        return pool.control.is_loaded and request.wait() > max_wait

    def _refuse(
        self,
        request: AdmissionRequest,
        pool: _Pool,
        share: float,
        demand: float,
        own_rate: float,
        reason: str,
        now_s: float,
    ) -> AdmissionDecision:
        part = share / demand
        return AdmissionDecision(
            False,
            share,
            demand,
            self._retry_after_s(request, part, part * own_rate, now_s),
            pool.capacity * pool.control.factor,
            pool.control.pressure,
            0.0,
            reason,
        )

    def _retry_after_s(
        self,
        request: AdmissionRequest,
        part: float,
        earned_per_s: float,
        now_s: float,
    ) -> float:
        """Return when a refused request will begin by the share of its workspace.

        What the workspace earns is promised to as many callers as can begin in time;
        the others are told to come back when the load may have fallen.
        """
        settings = self.settings
        in_time_s = settings.promise_part * max(request.objective_s, 0.0)
        ahead = self.pools[request.pool].control.ahead
        drained_s = max(0.0, ahead - 1.0) * settings.hold_s
        credit = self._credits.get((request.pool, request.workspace))
        if credit is None:
            return max(in_time_s, drained_s, MIN_RETRY_S)
        earned_per_s = max(earned_per_s, 1.0)
        owed_s = max(0.0, -credit.tokens) / earned_per_s
        begins_s = max(now_s + owed_s + drained_s, credit.promised_s)
        if not request.returned and begins_s - now_s <= in_time_s:
            credit.promised_s = begins_s + request.tokens / earned_per_s
            return max(begins_s - now_s, MIN_RETRY_S)
        retry_s = max(in_time_s, RETRY_PER_LOAD_S / part) + drained_s
        return min(retry_s, settings.max_retry_after_s)
