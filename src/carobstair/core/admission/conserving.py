"""Decisions that refuse nothing while engines have room.

Shares are those of the supply that engines are seen to take. A request beyond the share
of its workspace is admitted all the same while an engine has room for it; its
workspace owes the tokens. When there is no room for all, shares decide.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from carobstair.core.admission.credits import Credit, Credits
from carobstair.core.admission.demand_book import DemandBook
from carobstair.core.admission.fill_limit import FillLimit
from carobstair.core.admission.pool_shares import PoolShares
from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.room import EngineLoad
from carobstair.core.admission.settings import AdmissionDecision, AdmissionSettings
from carobstair.core.admission.supply import SupplyControl
from carobstair.core.share_messages import PoolDemand, ShareTotals

__all__ = ["ROOM", "WorkConservingShares"]

# Reason of requests that are admitted beyond their share.
ROOM = "room"
# Least age of the sums: faster corrections would follow the noise of single requests.
MIN_LAG_S = 0.05
# A lower demand does not count, to divide by.
MIN_DEMAND_PER_S = 1.0
# Load below which any request is admitted for which an engine has room: then too little
# is known of what engines take, which may be many times the configured throughput.
EMPTY_LOAD = 0.5
# Load for which unread prompts count at most. Those of a few crowded engines would
# otherwise stop the admission to all others.
MAX_WAIT_LOAD = 1.2


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
    pools: dict[str, PoolShares] = field(default_factory=dict)
    _credits: Credits = field(init=False)

    def __post_init__(self) -> None:
        self._credits = Credits(self.settings, self.rng)

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Count a request towards the demand and decide on its admission."""
        settings = self.settings
        key = request.pool, request.workspace
        rate_before, own_rate, drained = self.book.add(*key, request.tokens, now_s)
        if request.returned:
            self.book.note_returned(*key, request.tokens, now_s)
        pool, demand, first = self._shares(request, own_rate, now_s)
        share = min(first, pool.level)
        if not pool.is_beyond(request.workspace, first):
            self._credits.by_key.pop(key, None)
            reason = ""
            if not self._may_begin(request, pool, first):
                reason = "surge"
            elif self._waits_too_long(request, pool, settings.max_wait):
                reason = "wait"
            if reason:
                return self._refuse(
                    request, pool, share, demand, own_rate, reason, now_s
                )
            self._note_admitted(request, pool, now_s)
            return AdmissionDecision(True, demand, demand)
        part = share / demand
        credit = self._credits.earn(request, pool, part, rate_before, drained, now_s)
        earned_per_s = part * own_rate
        overdraft = 0.0
        if request.returned:
            overdraft = settings.return_credit_s * earned_per_s
        within = credit.tokens + overdraft > 0
        reason = ""
        if not within:
            # What the share covers is not limited: the supply that is shared falls in
            # an overload of the engines, for all workspaces alike.
            if not self._may_begin(request, pool, first):
                return self._refuse(
                    request, pool, share, demand, own_rate, "surge", now_s
                )
            if not self._has_room(request, pool, credit):
                return self._refuse(
                    request, pool, share, demand, own_rate, "share", now_s
                )
            reason = ROOM
        max_wait = settings.max_wait if request.returned else settings.beyond_max_wait
        if within and self._waits_too_long(request, pool, max_wait):
            return self._refuse(request, pool, share, demand, own_rate, "wait", now_s)
        self._credits.charge(credit, request.tokens, reason == ROOM, earned_per_s)
        self._note_admitted(request, pool, now_s)
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
        if not pool.is_beyond(request.workspace, first):
            self._credits.by_key.pop(key, None)
            if self._waits_too_long(request, pool, settings.max_wait):
                return self._refuse(
                    request, pool, share, demand, own_rate, "wait", now_s
                )
        else:
            part = share / demand
            credit = self._credits.earn(
                request, pool, part, rate_before, drained, now_s
            )
            within = credit.tokens > 0
            if within and self._waits_too_long(request, pool, settings.max_wait):
                within = False
            if not within:
                if not self._has_room(request, pool, credit):
                    return self._refuse(
                        request, pool, share, demand, own_rate, "share", now_s
                    )
                reason = ROOM
            self._credits.charge(
                credit, request.tokens, reason == ROOM, part * own_rate
            )
        self._note_admitted(request, pool, now_s)
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

    def is_loaded(self, limit: float) -> bool:
        """Return whether engines of a pool with demand here exceed a load."""
        return any(
            max(self.pools[name].control.load, self.pools[name].control.ahead) > limit
            for name in self.book.pools()
            if name in self.pools
        )

    def unseen_part(self, now_s: float) -> float:
        """Return the part of the requests at engines that may be unknown here.

        It is larger than the part that ends within the age of the sums, as routers
        place requests at random.
        """
        return self.settings.spread * self.lag_s(now_s) / self.settings.hold_s

    def lag_s(self, now_s: float) -> float:
        """Return the age of the sums of all routers."""
        interval_s = self.book.interval_s(now_s)
        if not interval_s:
            return self.settings.lag_s
        return max(self.settings.lag_intervals * interval_s, MIN_LAG_S)

    def refresh(self, name: str, engines: EngineLoad, now_s: float) -> None:
        """Correct the supply of a pool if that is due."""
        pool = self.pools.get(name)
        if pool is None:
            return
        # Reports state the requests at the engines as they are now.
        pool.engines = engines
        if pool.control.is_due(now_s):
            self.correct(name, engines, now_s)

    def correct(self, name: str, engines: EngineLoad, now_s: float) -> None:
        """Estimate the supply of a pool from the load that all routers report."""
        pool = self.pools[name]
        control = pool.control
        control.lag_s = self.lag_s(now_s)
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
        self._credits.note_demand((pool, workspace), rate, drained)

    def give_back(self, pool: str, workspace: str, tokens: float) -> None:
        """Return the tokens of a request that was admitted and did not begin."""
        credit = self._credits.by_key.get((pool, workspace))
        if credit is not None:
            credit.tokens += tokens

    def is_beyond_share(self, pool: str, workspace: str) -> bool:
        """Return whether a workspace exceeded its share when it last asked."""
        return (pool, workspace) in self._credits.by_key

    def forget(self, key: tuple[str, str]) -> None:
        """Drop what is known of a workspace that asks no more."""
        self._credits.forget(key)

    def _shares(
        self, request: AdmissionRequest, own_rate: float, now_s: float
    ) -> tuple[PoolShares, float, float]:
        """Return the pool, and its workspace's demand with and without repetitions."""
        pool = self._pool(request)
        if pool.control.is_due(now_s):
            self.correct(request.pool, request.engines(), now_s)
        if now_s - pool.computed_s >= self.settings.shares_ttl_s:
            pool.compute(request.pool, self.book, now_s)
        pool.limit.refill(request.engines(), pool.own_part, pool.control.lag_s, now_s)
        demand = own_rate + pool.others.get(request.workspace, 0.0)
        demand = max(demand, MIN_DEMAND_PER_S)
        return pool, demand, pool.first.get(request.workspace, demand)

    def _pool(self, request: AdmissionRequest) -> PoolShares:
        pool = self.pools.get(request.pool)
        if pool is None:
            control = SupplyControl(self.settings)
            pool = PoolShares(control, FillLimit(self.settings))
            self.pools[request.pool] = pool
            row = self.book.last_row(request.pool)
            if row is not None and row.samples:
                pool.control.adopt(math.exp(row.log_factors / row.samples))
        pool.capacity, pool.limited_per_s = request.capacity, request.limited_per_s
        return pool

    def _has_room(
        self, request: AdmissionRequest, pool: PoolShares, credit: Credit
    ) -> bool:
        if pool.control.ahead >= EMPTY_LOAD and credit.room_tokens <= 0:
            return False
        return request.room()

    def _note_admitted(
        self, request: AdmissionRequest, pool: PoolShares, now_s: float
    ) -> None:
        pool.limit.note_sent()
        self._credits.note_admitted(request, now_s)
        self.book.note_admitted(request.pool, request.tokens, now_s)

    def _may_begin(
        self, request: AdmissionRequest, pool: PoolShares, first: float
    ) -> bool:
        """Return whether a request may be sent before a surge shows in the sums."""
        if request.returned or not pool.is_surge(request.workspace, first):
            return True
        return pool.limit.is_open(request.running)

    def _waits_too_long(
        self, request: AdmissionRequest, pool: PoolShares, max_wait: float
    ) -> bool:
        return pool.control.is_loaded and request.wait() > max_wait

    def _refuse(
        self,
        request: AdmissionRequest,
        pool: PoolShares,
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
            self._credits.retry_after_s(
                request, part, part * own_rate, pool.control.ahead, now_s
            ),
            pool.capacity * pool.control.factor,
            pool.control.pressure,
            0.0,
            reason,
        )
