"""Admission by max-min fair shares of the engines' throughput, without a queue.

Intended for a few workspaces that ask for many times their share: engines admit
requests in order of arrival, so work beyond the fair shares would delay every
workspace. Each router knows the sum of the demand at all others, computes the same
max-min shares and admits its own fraction of each share. The throughput that is
shared follows the load of the engines: it rises while they have spare capacity and
falls while prompts queue up, so that nothing is refused that they could serve. When
the engines become overloaded, it starts from the demand, which may be a small part of
the configured throughput.

Each router estimates the load of the engines at other times and from other digests.
Corrections follow the mean of all estimates, and the corrected throughputs are drawn
together, so that a workspace gets the same wherever its callers connect.

Shares follow with a delay, so requests that would miss their objective by waiting are
refused at once as well.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from carobstair.core.admission.conserving import WorkConservingShares
from carobstair.core.admission.demand_book import DemandBook
from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.room import EngineLoad
from carobstair.core.admission.settings import AdmissionDecision, AdmissionSettings
from carobstair.core.admission.shares import max_min_shares
from carobstair.core.admission.throughput import ThroughputControl
from carobstair.core.share_messages import PoolDemand, ShareTotals

__all__ = ["FairAdmission"]


@dataclass(slots=True)
class _Credit:
    """Tokens that a workspace beyond its share may still begin.

    `part` is the part of its demand that its share is, as of the last decision.
    """

    tokens: float
    part: float


@dataclass(slots=True)
class FairAdmission:
    """Admission by fair shares per pool and workspace.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings = AdmissionSettings()
    rng: random.Random = field(default_factory=random.Random)
    _book: DemandBook = field(init=False)
    _controls: dict[str, ThroughputControl] = field(default_factory=dict)
    # Nominal and limited throughput of each pool, as given with the last request.
    _capacities: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Workspaces beyond their share.
    _credits: dict[tuple[str, str], _Credit] = field(default_factory=dict)
    # Decides on pools where nothing is refused while engines have room.
    _conserving: WorkConservingShares = field(init=False)
    _conserving_pools: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._book = DemandBook(self.settings.demand_window_s)
        self._conserving = WorkConservingShares(self.settings, self._book, self.rng)

    def conserve_work(self, pool: str) -> None:
        """Refuse nothing of a pool from now on while its engines have room."""
        self._conserving_pools.add(pool)

    def conserves_work(self, pool: str) -> bool:
        """Return whether nothing of a pool is refused while its engines have room."""
        return self.settings.work_conserving or pool in self._conserving_pools

    @property
    def may_be_loaded(self) -> bool:
        """Whether a pool that conserves work has demand here."""
        return any(name in self._conserving.pools for name in self.pools())

    def is_loaded(self, limit: float) -> bool:
        """Return whether engines of a pool that conserves work exceed a load.

        Parameters
        ----------
        limit : float
            Relative to the target load.
        """
        return self._conserving.is_loaded(limit)

    def decide_conserving(
        self, request: AdmissionRequest, now_s: float
    ) -> AdmissionDecision:
        """Count a request of a pool that `conserves_work`, and decide on it."""
        return self._conserving.decide(request, now_s)

    def reconsider(
        self, request: AdmissionRequest, tick_s: float, now_s: float
    ) -> AdmissionDecision:
        """Decide on a request that waits and that was decided on `tick_s` ago."""
        return self._conserving.reconsider(request, tick_s, now_s)

    def load_of_others(self, pool: str, now_s: float) -> PoolDemand | None:
        """Return what all other routers report of a pool, None if unknown."""
        return self._conserving.load_of_others(pool, now_s)

    def lag_s(self, now_s: float) -> float:
        """Return the age of the sums of all routers."""
        return self._conserving.lag_s(now_s)

    def unseen_part(self, now_s: float) -> float:
        """Return the part of the requests at engines that may be unknown here."""
        return self._conserving.unseen_part(now_s)

    def refresh_conserving(self, pool: str, engines: EngineLoad, now_s: float) -> None:
        """Correct the supply of a pool in time, whether requests arrive or not."""
        self._conserving.refresh(pool, engines, now_s)

    def note_totals(self, totals: ShareTotals, now_s: float) -> None:
        """Replace the demand of the other routers, and approach their throughput."""
        self._book.note_totals(totals, now_s)
        self._conserving.note_totals(totals)
        for pool, row in totals.pools.items():
            if not row.samples:
                continue
            control = self._controls.get(pool)
            reported = totals.reported.get(pool)
            if control is None:
                continue
            if reported is None:
                # Without requests there is no estimate of the own.
                control.factor = math.exp(row.log_factors / row.samples)
                control.pressure = row.pressures / row.samples
            else:
                mean = (row.log_factors + reported) / (row.samples + 1)
                control.approach(mean, reported)

    def report(self, now_s: float) -> dict[str, PoolDemand]:
        """Return the demand at this router by pool, and drop what has decayed."""
        for key in self._book.expire(now_s):
            self._credits.pop(key, None)
            self._conserving.forget(key)
        return {
            pool: self._report_row(pool, row, now_s)
            for pool, row in self._book.own_demands(now_s).items()
        }

    def _report_row(
        self, pool: str, demands: dict[str, int], now_s: float
    ) -> PoolDemand:
        limited_tokens, limited_requests = self._book.limited_per_s(pool, now_s)
        if pool in self._conserving.pools:
            row = PoolDemand(
                demands,
                round(self._book.admitted_per_s(pool, now_s)),
                limited_tokens=round(limited_tokens),
                limited_requests_per_ks=round(limited_requests * 1000.0),
            )
            return self._conserving.add_report(pool, row, now_s)
        control = self._controls[pool]
        return PoolDemand(
            demands,
            round(self._book.admitted_per_s(pool, now_s)),
            1,
            round(math.log(control.factor), 4),
            round(control.own_pressure, 3),
            round(control.own_slots_used, 3),
            round(limited_tokens),
            round(limited_requests * 1000.0),
        )

    def refresh(
        self, pool: str, pressure: float, slots_used: float, now_s: float
    ) -> None:
        """Correct the throughput of a pool in time, whether requests arrive or not."""
        control = self._controls.get(pool)
        if control is not None and control.is_due(now_s):
            demand = sum(self._demands(pool, now_s).values())
            self._correct(pool, control, pressure, slots_used, demand, now_s)

    def pools(self) -> list[str]:
        """Return the pools with demand at this router."""
        return self._book.pools()

    def give_back(self, pool: str, workspace: str, tokens: float) -> None:
        """Return the tokens of a request that was admitted and did not begin."""
        self._conserving.give_back(pool, workspace, tokens)
        credit = self._credits.get((pool, workspace))
        if credit is not None:
            credit.tokens += tokens

    def is_beyond_share(self, pool: str, workspace: str) -> bool:
        """Return whether a workspace exceeded its share when it last asked."""
        if pool in self._conserving.pools:
            return self._conserving.is_beyond_share(pool, workspace)
        return (pool, workspace) in self._credits

    def note_demand(
        self, pool: str, workspace: str, tokens: float, now_s: float
    ) -> None:
        """Count a request that is refused without a decision towards the demand."""
        if pool in self._conserving.pools:
            self._conserving.note_demand(pool, workspace, tokens, now_s)
            return
        key = (pool, workspace)
        _, rate, drained = self._book.add(pool, workspace, tokens, now_s)
        credit = self._credits.get(key)
        if credit is not None:
            saved = rate * self.settings.burst_s
            earned = credit.tokens + credit.part * drained
            credit.tokens = min(earned, credit.part * saved)

    def throughput_factors(self) -> dict[str, tuple[float, float]]:
        """Return factor and smoothed pressure of each pool that had requests."""
        return {
            pool: (control.factor, control.pressure)
            for pool, control in (self._controls | self._conserving.controls()).items()
        }

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
        limited_tokens_per_s: float = 0.0,
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
        limited_tokens_per_s : float
            Throughput of engines that limit their requests, which is shared as well
            and does not follow the load.
        """
        key = (pool, workspace)
        rate_before, own_rate, drained = self._book.add(pool, workspace, tokens, now_s)
        demands = self._demands(pool, now_s)
        total_demand = sum(demands.values())
        control = self._controls.get(pool)
        if control is None:
            control = self._controls[pool] = self._new_control(pool)
        self._capacities[pool] = capacity, limited_tokens_per_s
        if control.is_due(now_s):
            self._correct(pool, control, pressure(), slots_used(), total_demand, now_s)
        supply = capacity * control.factor + limited_tokens_per_s
        demand = demands[workspace]
        share = demand
        if total_demand > supply:
            share = max_min_shares(demands, supply)[workspace]
        refused = AdmissionDecision(
            False,
            share,
            demand,
            self.settings.min_retry_after_s,
            supply,
            control.pressure,
        )
        credit = math.inf
        if share < demand:
            part = share / demand
            if control.is_wait_due(now_s):
                control.note_wait(wait(), now_s)
            if control.is_loaded and control.wait > self.settings.max_wait:
                # Saved credit would be used at once when the engines have room again.
                drained = 0.0
            credit = self._credit(key, part, tokens, rate_before, drained)
            self._credits[key] = _Credit(credit, part)
        else:
            self._credits.pop(key, None)
        # A request may overdraw the credit, so that large ones are admitted as well.
        if credit <= 0:
            rate = share / demand * own_rate
            retry_after_s = self._bound_retry_s((tokens - credit) / max(rate, 1.0))
            return replace(refused, retry_after_s=retry_after_s, reason="share")
        # The estimate looks at all engines, so only requests within the share pay it.
        expected = wait() if control.is_loaded else 0.0
        control.note_wait(expected, now_s)
        if expected > self.settings.max_wait:
            return replace(refused, wait=expected, reason="wait")
        if key in self._credits:
            self._credits[key].tokens = credit - tokens
        self._book.note_admitted(pool, tokens, now_s)
        return AdmissionDecision(True, share, demand)

    def _bound_retry_s(self, wait_s: float) -> float:
        settings = self.settings
        return min(max(wait_s, settings.min_retry_after_s), settings.max_retry_after_s)

    def note_limited_send(self, pool: str, tokens: float, now_s: float) -> None:
        """Count a request that is sent to an engine that limits its requests."""
        self._book.note_limited_send(pool, tokens, now_s)

    def factor(self, pool: str) -> float:
        """Return the throughput of a pool relative to the nominal one."""
        control = self._conserving.controls().get(pool, self._controls.get(pool))
        return 1.0 if control is None else control.factor

    def limited_request_tokens(self, pool: str, now_s: float) -> float:
        """Return the mean weighted tokens of requests at engines that limit them.

        They are the sends of all routers; 0 if there were none lately.
        """
        return self._book.limited_request_tokens(pool, now_s)

    def _credit(
        self,
        key: tuple[str, str],
        part: float,
        tokens: float,
        rate_before: float,
        drained: float,
    ) -> float:
        """Return the credit of a workspace when a request arrives.

        Credit grows by the admitted part of the demand as it leaves the estimate, so
        the tokens that begin do not depend on how often a router sees the workspace:
        a bucket that fills with time is full at each rare request.

        Parameters
        ----------
        part : float
            Share of the workspace relative to its demand.
        rate_before : float
            Demand without the request, in tokens a second.
        drained : float
            Tokens that left the estimate of the demand since the last request.
        """
        saved = part * rate_before * self.settings.burst_s
        credit = self._credits.get(key)
        if credit is None:
            # Until now all was admitted; what exceeded the share is owed. Of all
            # first requests the same part is admitted.
            owed = (1.0 - part) * rate_before * self.settings.demand_window_s
            return tokens * (part - self.rng.random()) - owed
        return min(credit.tokens + part * drained, saved + part * tokens)

    def _new_control(self, pool: str) -> ThroughputControl:
        control = ThroughputControl(self.settings)
        row = self._book.last_row(pool)
        if row is not None and row.samples:
            control.factor = math.exp(row.log_factors / row.samples)
            control.pressure = row.pressures / row.samples
        return control

    def _correct(
        self,
        pool: str,
        control: ThroughputControl,
        pressure: float,
        slots_used: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Correct a throughput by the mean of all routers' estimates of the load."""
        own_pressure, own_slots_used = pressure, slots_used
        admitted = self._book.admitted_per_s(pool, now_s)
        row = self._book.estimates(pool, now_s)
        if row is not None:
            admitted += row.admitted
            pressure = (pressure + row.pressures) / (1 + row.samples)
            slots_used = (slots_used + row.slots_used) / (1 + row.samples)
        capacity, limited = self._capacities[pool]
        control.correct(
            pressure,
            max(0.0, demand - limited) / capacity,
            now_s,
            slots_used,
            max(0.0, admitted - limited) / capacity,
        )
        control.own_pressure, control.own_slots_used = own_pressure, own_slots_used

    def _demands(self, pool: str, now_s: float) -> dict[str, float]:
        return self._book.demands(pool, now_s)
