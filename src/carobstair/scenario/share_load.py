"""Plays surges of hot workspaces on the admission of a whole fleet, on virtual time.

Engines are one throughput: what is admitted begins at once, and the pressure on them
is the throughput taken relative to it. Each router estimates the pressure with an
error of its own, as reports and digests reach it at other times. Callers of a
workspace may reach one router, a few or all; a refused caller returns once, at
another router.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.fair_admission import AdmissionSettings, FairAdmission
from carobstair.edge.settings import SyncSettings

__all__ = ["ShareLoadPlan", "Surge", "SurgeReport", "play_surges"]

POOL = "model"
# Time over which the throughput taken is measured.
TAKEN_WINDOW_S = 0.3
HOP_S = 0.002


@dataclass(frozen=True, slots=True)
class Surge:
    """Requests of one workspace during a part of the time.

    Attributes
    ----------
    tokens_per_s : float
        Weighted tokens that callers ask for, first tries only.
    routers : int
        Number of routers that the callers reach; 0 for all.
    """

    workspace: str
    tokens_per_s: float
    routers: int = 0
    begin_s: float = 0.0
    end_s: float = math.inf


@dataclass(frozen=True, slots=True)
class ShareLoadPlan:
    """A load, and the fleet that it is played on.

    Attributes
    ----------
    nominal_tokens_per_s, engine_tokens_per_s : float
        Configured throughput, and what the engines can really do.
    pressure_error : float
        Standard deviation of the logarithm of each router's error.
    request_tokens : float
        Mean size of a request.
    """

    surges: tuple[Surge, ...]
    routers: int = 84
    zones: int = 3
    seconds: float = 24.0
    nominal_tokens_per_s: float = 800_000.0
    engine_tokens_per_s: float = 1_500_000.0
    pressure_error: float = 0.2
    request_tokens: float = 6_000.0
    admission: AdmissionSettings = AdmissionSettings()
    sync: SyncSettings = SyncSettings(store_address="store:1")
    seed: int = 1


@dataclass(slots=True)
class SurgeReport:
    """Tokens asked and begun, by second and workspace, and refusals.

    Attributes
    ----------
    factors : list of float
        Throughput factor of each router with requests at the end.
    """

    asked: dict[int, dict[str, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    begun: dict[int, dict[str, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    refused: dict[int, dict[str, int]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(int))
    )
    factors: list[float] = field(default_factory=list)

    def worst_part(self, span_s: int = 6, begin_s: int = 2, end_s: int = 24) -> float:
        """Return the least part of its due that a workspace with refusals got.

        Its due in a span is the least of what it asked and what the best served
        workspace got. Only workspaces with a refusal in each second count.
        """
        worst = 1.0
        for first in range(begin_s, end_s - span_s + 1):
            seconds = range(first, first + span_s)
            got = self._sums(self.begun, seconds)
            asked = self._sums(self.asked, seconds)
            best = max(got.values(), default=0.0)
            for workspace in asked:
                if not all(self.refused[s][workspace] for s in seconds):
                    continue
                due = min(asked[workspace], best)
                worst = min(worst, got.get(workspace, 0.0) / due)
        return worst

    def throughput(self, begin_s: int, end_s: int) -> float:
        """Return the tokens that began per second."""
        sums = self._sums(self.begun, range(begin_s, end_s))
        return sum(sums.values()) / (end_s - begin_s)

    def refused_part(self, workspace: str) -> float:
        """Return the tokens that never began relative to those asked for."""
        asked = sum(row[workspace] for row in self.asked.values())
        begun = sum(row[workspace] for row in self.begun.values())
        return 1.0 - begun / asked

    def _sums(self, rows, seconds) -> dict[str, float]:
        sums: dict[str, float] = defaultdict(float)
        for second in seconds:
            for workspace, tokens in rows[second].items():
                sums[workspace] += tokens
        return sums


@dataclass(slots=True)
class _Router:
    name: str
    zone: int
    admission: FairAdmission
    pressure_error: float
    ready: bool = True


def play_surges(plan: ShareLoadPlan) -> SurgeReport:
    """Play a load and return what the workspaces got."""
    return _Play(plan).run()


class _Play:
    def __init__(self, plan: ShareLoadPlan):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._routers = [
            _Router(
                f"r{number}",
                number % plan.zones,
                FairAdmission(plan.admission),
                self._rng.lognormvariate(0.0, plan.pressure_error),
            )
            for number in range(plan.routers)
        ]
        self._taken = 0.0
        self._taken_s = 0.0
        self._report = SurgeReport()

    def run(self) -> SurgeReport:
        """Play the whole load."""
        plan = self._plan
        for number, surge in enumerate(plan.surges):
            reached = self._routers
            if surge.routers:
                # Each workspace has routers of its own.
                first = 7 * number % len(reached)
                reached = (reached + reached)[first : first + surge.routers]
            self._at(surge.begin_s, lambda t, s=surge, r=reached: self._next(s, r, t))
        self._schedule_exchange()
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            if now_s > plan.seconds:
                break
            action(now_s)
        self._report.factors = [
            factor
            for router in self._routers
            for factor, _ in router.admission.throughput_factors().values()
        ]
        return self._report

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _next(self, surge: Surge, reached: list[_Router], now_s: float) -> None:
        if now_s >= surge.end_s:
            return
        mean = self._plan.request_tokens
        gap_s = self._rng.expovariate(surge.tokens_per_s / mean)
        self._at(now_s + gap_s, lambda t: self._next(surge, reached, t))
        tokens = mean * self._rng.lognormvariate(-0.32, 0.8)
        self._report.asked[int(now_s)][surge.workspace] += tokens
        self._arrive(surge, tokens, self._rng.choice(reached), True, now_s)

    def _arrive(
        self, surge: Surge, tokens: float, router: _Router, returns: bool, now_s: float
    ) -> None:
        decision = router.admission.decide(
            POOL,
            surge.workspace,
            tokens,
            self._plan.nominal_tokens_per_s,
            lambda: self._pressure(router, now_s),
            now_s,
        )
        if decision.admitted:
            self._take(tokens, now_s)
            self._report.begun[int(now_s)][surge.workspace] += tokens
            return
        self._report.refused[int(now_s)][surge.workspace] += 1
        if returns:
            other = self._rng.choice(self._routers)
            back_s = now_s + decision.retry_after_s * self._rng.uniform(0.7, 1.3)
            self._at(back_s, lambda t: self._arrive(surge, tokens, other, False, t))

    def _take(self, tokens: float, now_s: float) -> None:
        self._taken = self._rate(now_s) * TAKEN_WINDOW_S + tokens
        self._taken_s = now_s

    def _rate(self, now_s: float) -> float:
        decay = math.exp((self._taken_s - now_s) / TAKEN_WINDOW_S)
        return self._taken * decay / TAKEN_WINDOW_S

    def _pressure(self, router: _Router, now_s: float) -> float:
        taken = self._rate(now_s) / self._plan.engine_tokens_per_s
        return taken * router.pressure_error

    def _schedule_exchange(self) -> None:
        for router in self._routers:
            for cross_zone in (False, True):
                self._at(
                    self._rng.random() * 0.3,
                    lambda t, r=router, c=cross_zone: self._send_demand(r, c, t),
                )

    def _send_demand(self, sender: _Router, cross_zone: bool, now_s: float) -> None:
        sync, peers = self._plan.sync, len(self._routers) - 1
        interval_s = max(sync.demand_s, sync.digest_interval_s(peers, cross_zone))
        self._at(now_s + interval_s, lambda t: self._send_demand(sender, cross_zone, t))
        rows = sender.admission.own_rows(now_s)
        factors = sender.admission.own_factors(now_s)
        for router in self._routers:
            if router is not sender and (router.zone != sender.zone) is cross_zone:
                router.admission.note_peer(sender.name, rows)
                router.admission.note_peer_factors(sender.name, factors)
