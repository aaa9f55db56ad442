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
from carobstair.core.share_collector import ShareSettings
from carobstair.core.share_exchange import ShareExchange, ShareMessage
from carobstair.core.share_messages import ShareReport, ShareTotals

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
    cut_s : tuple of float
        From when to when the first zone's messages to others, and back, are lost.
    stopped : tuple of (float, float, int)
        From when to when routers are stopped, and their numbers.
    """

    surges: tuple[Surge, ...]
    routers: int = 84
    zones: int = 3
    seconds: float = 24.0
    nominal_tokens_per_s: float = 800_000.0
    engine_tokens_per_s: float = 1_500_000.0
    pressure_error: float = 0.2
    request_tokens: float = 6_000.0
    cut_s: tuple[float, float] = (math.inf, math.inf)
    stopped: tuple[tuple[float, float, int], ...] = ()
    admission: AdmissionSettings = AdmissionSettings()
    exchange: ShareSettings = ShareSettings()
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
    exchange: ShareExchange
    pressure_error: float
    stopped: bool = False

    @property
    def name(self) -> str:
        return self.exchange.name

    @property
    def admission(self) -> FairAdmission:
        return self.exchange.admission


def play_surges(plan: ShareLoadPlan) -> SurgeReport:
    """Play a load and return what the workspaces got."""
    return _Play(plan).run()


class _Play:
    def __init__(self, plan: ShareLoadPlan):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._routers = [self._make_router(n) for n in range(plan.routers)]
        self._by_name = {router.name: router for router in self._routers}
        self._heard: dict[str, list[str]] = {}
        for router in self._routers:
            self._heard.setdefault(router.exchange.zone, []).append(router.name)
        self._taken = 0.0
        self._taken_s = 0.0
        self._report = SurgeReport()

    def _make_router(self, number: int) -> _Router:
        plan = self._plan
        admission = FairAdmission(
            plan.admission, random.Random(f"{plan.seed} {number}")
        )
        zone = f"z{number % plan.zones}"
        return _Router(
            ShareExchange(f"r{number}", zone, admission, plan.exchange),
            self._rng.lognormvariate(0.0, plan.pressure_error),
        )

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
        for begin_s, end_s, number in plan.stopped:
            self._at(begin_s, lambda t, n=number: self._stop(n))
            self._at(end_s, lambda t, n=number: self._start(n))
        for router in self._routers:
            self._at(0.2 * self._rng.random(), lambda t, r=router: self._tick(r, t))
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
        self._arrive(surge, tokens, self._pick(reached), True, now_s)

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
            other = self._pick(self._routers)
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

    def _stop(self, number: int) -> None:
        self._routers[number].stopped = True

    def _start(self, number: int) -> None:
        router = self._routers[number]
        router.stopped = False
        router.exchange = self._make_router(number).exchange

    def _pick(self, routers: list[_Router]) -> _Router:
        """Return a router that runs; the balancer leaves out the others."""
        running = [router for router in routers if not router.stopped]
        return self._rng.choice(running or self._running())

    def _running(self) -> list[_Router]:
        return [router for router in self._routers if not router.stopped]

    def _tick(self, router: _Router, now_s: float) -> None:
        if router.stopped:
            self._at(now_s + 0.1, lambda t: self._tick(router, t))
            return
        for pool in router.admission.pools():
            pressure = self._pressure(router, now_s)
            router.admission.refresh(pool, pressure, 0.0, now_s)
        heard = {
            zone: [name for name in names if name != router.name]
            for zone, names in self._heard.items()
        }
        for message in router.exchange.tick(heard, now_s):
            self._send(router, message, now_s)
        wait_s = router.exchange.interval_s(heard) * self._rng.uniform(0.9, 1.1)
        self._at(now_s + wait_s, lambda t: self._tick(router, t))

    def _send(self, sender: _Router, message: ShareMessage, now_s: float) -> None:
        receivers, payload = message
        for name in receivers:
            if self._is_lost(sender, self._by_name[name], now_s):
                continue
            receiver = self._by_name[name].exchange
            handler = receiver.on_zone_totals
            if isinstance(payload, ShareReport):
                handler = receiver.on_report
            elif isinstance(payload, ShareTotals):
                handler = receiver.on_totals
            self._at(now_s + HOP_S, lambda t, h=handler: h(sender.name, payload, t))

    def _is_lost(self, sender: _Router, receiver: _Router, now_s: float) -> bool:
        begin_s, end_s = self._plan.cut_s
        zones = {sender.exchange.zone, receiver.exchange.zone}
        is_cut = begin_s <= now_s < end_s and len(zones) > 1 and "z0" in zones
        return receiver.stopped or is_cut
