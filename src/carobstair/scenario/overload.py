"""Plays a load on the placement and admission of several routers, on virtual time.

The routers are those of the edge: each has its own tracker, directory and admission,
and learns of the others from digests and of the engines from their responses. Callers
return once after a refusal.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from carobstair.core.admission import (
    AdmissionDecision,
    WaitingRequest,
)
from carobstair.core.engine_load import PromptShape
from carobstair.core.routing import EngineShape, ServicePool
from carobstair.scenario.batch_engine import BatchEngine, EngineJob
from carobstair.scenario.load_exchange import LoadExchange
from carobstair.scenario.load_plan import CallerGroup, LoadPlan, LoadReport
from carobstair.scenario.load_router import (
    POOL,
    PlayedRequest,
    PlayedRouter,
    make_router,
)

__all__ = ["CallerGroup", "LoadPlan", "LoadReport", "play_load"]

# One way between a router and an engine.
HOP_S = 0.001
# Engines count as able to take a request in the ideal case up to this backlog, relative
# to its objective.
IDEAL_BACKLOG = 0.5
# Interval at which waiting requests are decided on, and the part of the objective up to
# which they wait.
WAIT_TICK_S = 0.01
WAIT_PART = 0.7


def play_load(plan: LoadPlan) -> LoadReport:
    """Play a load and return what the callers got."""
    return _Play(plan).run()


class _Play:
    def __init__(self, plan: LoadPlan):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._engines = {
            f"e{n}": BatchEngine(
                f"e{n}",
                plan.spec,
                plan.speeds[n % len(plan.speeds)] if plan.speeds else 1.0,
                plan.slowdowns.get(n, ()),
            )
            for n in range(plan.engines)
        }
        for engine in self._engines.values():
            engine.on_shared_read = self._note_shared_read
        self._stepping: set[str] = set()
        self._routers = [
            make_router(f"r{n}", plan, self._engines, plan.zones[n % len(plan.zones)])
            for n in range(len(plan.router_weights))
        ]
        self._pool = ServicePool(POOL, engine=EngineShape(plan.spec.slots, 0))
        self._exchange = LoadExchange(plan, self._routers, self._at)
        # Requests on the way to each engine.
        self._on_the_way: Counter[str] = Counter()
        self._report = LoadReport()

    def run(self) -> LoadReport:
        """Play the whole load."""
        plan = self._plan
        for group in plan.groups:
            self._at(group.begin_s, lambda t, g=group: self._next_arrival(g, t))
        self._exchange.start()
        for second in range(int(plan.seconds)):
            self._at(second + 0.5, self._note_load)
        if plan.lost_engines:
            self._at(plan.lost_at_s, self._lose_engines)
        if plan.restarted_part:
            self._at(plan.restarted_s, self._restart_routers)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            if now_s > plan.seconds + 15.0:
                break
            action(now_s)
        for engine in self._engines.values():
            self._report.rejected += engine.rejected
            self._report.read_tokens += engine.read_tokens
            work = engine.work_tokens / engine.mean_speed(plan.seconds)
            self._report.weighed_work[engine.name] = work
        return self._report

    def _note_shared_read(self, segment: str, tokens: int) -> None:
        self._report.shared_reads[segment] += 1
        if any(engine.holds(segment) for engine in self._engines.values()):
            self._report.repeated_tokens += tokens

    def _note_load(self, now_s: float) -> None:
        running = sum(len(e.running) + len(e.waiting) for e in self._engines.values())
        slots = self._plan.spec.slots * len(self._engines)
        factors = [
            factor
            for router in self._routers
            for factor, _ in router.admission.throughput_factors().values()
        ]
        mean = sum(factors) / max(1, len(factors))
        self._report.loads[int(now_s)] = [running / slots, mean]

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _lose_engines(self, now_s: float) -> None:
        for name in list(self._engines)[: self._plan.lost_engines]:
            engine = self._engines.pop(name)
            self._on_the_way.pop(name, None)
            self._report.rejected += engine.rejected
            for router in self._routers:
                router.dispatcher.directory.remove(name, 2, None)
            for job in (*engine.running, *engine.waiting):
                job.cancelled = True
                job.on_end(now_s)

    def _restart_routers(self, now_s: float) -> None:
        """Let some routers lose their requests, and what they know."""
        count = round(self._plan.restarted_part * len(self._routers))
        for number, router in enumerate(self._routers[:count]):
            for job, request in list(router.open.values()):
                job.cancelled = True
                self._end(request, "failed")
            zone = self._plan.zones[number % len(self._plan.zones)]
            router.restart(make_router(router.name, self._plan, self._engines, zone))

    def _next_arrival(self, group: CallerGroup, now_s: float) -> None:
        if now_s >= min(group.end_s, self._plan.seconds):
            return
        gap_s = self._rng.expovariate(group.rate_per_s)
        self._at(now_s + gap_s, lambda t: self._next_arrival(group, t))
        shared = f"{group.workspace}-{self._rng.randrange(group.segments)}"
        own = max(1, round(group.own_tokens * self._rng.lognormvariate(-0.2, 0.6)))
        output = max(
            1, round(group.output_tokens * self._rng.lognormvariate(-0.1, 0.4))
        )
        segments = ((shared, group.shared_tokens), (f"own-{next(self._order)}", own))
        prompt = PromptShape(group.shared_tokens + own, output, segments)
        self._arrive(PlayedRequest(group, prompt, now_s), now_s)

    def _arrive(self, request: PlayedRequest, now_s: float) -> None:
        router = self._pick_router(request)
        self._note_arrival(request, now_s)
        if self._plan.ideal:
            self._arrive_ideal(request, router, now_s)
            return
        decision = router.decide(request, now_s)
        if not decision.admitted:
            if not self._wait(request, router, decision, now_s):
                self._refuse(request, decision.retry_after_s, now_s)
            return
        self._send(request, router, frozenset(), now_s)

    def _wait(
        self,
        request: PlayedRequest,
        router: PlayedRouter,
        decision: AdmissionDecision,
        now_s: float,
    ) -> bool:
        """Let a refused request wait if it may begin in time."""
        if not router.admission.settings.max_waiting:
            return False
        latest_s = request.arrived_s + WAIT_PART * request.group.aim_s
        if now_s + decision.retry_after_s >= latest_s:
            return False
        asked = router.asked(request, now_s)
        waiting = WaitingRequest(
            next(self._order), asked, decision.share, now_s, latest_s
        )
        if not len(router.waiting):
            self._at(now_s + WAIT_TICK_S, lambda t: self._pump(router, t))
        refused = router.waiting.offer(waiting, now_s)
        router.held[waiting.request_id] = request
        if refused is not None:
            held = router.held.pop(refused.request_id)
            self._refuse(held, decision.retry_after_s, now_s)
        return True

    def _pump(self, router: PlayedRouter, now_s: float) -> None:
        """Let begin what may, as the gate of the edge does."""
        waiting, passed = router.waiting, set()
        for late in waiting.expired(now_s):
            held = router.held.pop(late.request_id)
            asked = router.asked(held, now_s)
            decision = router.admission.reconsider(asked, WAIT_TICK_S, now_s)
            if decision.admitted:
                self._send(held, router, frozenset(), now_s)
            else:
                self._refuse(held, decision.retry_after_s, now_s)
        while (first := waiting.next(now_s, passed)) is not None:
            held = router.held[first.request_id]
            asked = router.asked(held, now_s)
            if router.admission.reconsider(asked, WAIT_TICK_S, now_s).admitted:
                waiting.begin(first)
                self._report.waited_begun += 1
                self._send(
                    router.held.pop(first.request_id), router, frozenset(), now_s
                )
            else:
                passed.add(first.key)
        if len(waiting):
            self._at(now_s + WAIT_TICK_S, lambda t: self._pump(router, t))

    def _pick_router(self, request: PlayedRequest) -> PlayedRouter:
        routers, weights = self._routers, self._plan.router_weights
        if request.group.routers and not request.refusals:
            numbers = request.group.routers
            routers = [routers[number] for number in numbers]
            weights = tuple(weights[number] for number in numbers)
        return self._rng.choices(routers, weights)[0]

    def _note_arrival(self, request: PlayedRequest, now_s: float) -> None:
        if request.refusals:
            self._report.returned += 1
            return
        self._report.requests += 1
        tokens = request.weighted_tokens(self._plan.admission.output_weight)
        self._report.asked[int(now_s)][request.group.workspace] += tokens

    def _note_begun(self, request: PlayedRequest, now_s: float) -> None:
        self._report.returned_begun += request.refusals > 0
        tokens = request.weighted_tokens(self._plan.admission.output_weight)
        self._report.begun[int(now_s)][request.group.workspace] += tokens

    def _arrive_ideal(
        self, request: PlayedRequest, router: PlayedRouter, now_s: float
    ) -> None:
        unable = [e.name for e in self._engines.values() if not self._takes(e, request)]
        if len(unable) == len(self._engines):
            self._refuse(request, 0.3, now_s)
        else:
            self._send(request, router, frozenset(unable), now_s)

    def _takes(self, engine: BatchEngine, request: PlayedRequest) -> bool:
        """Return whether an engine really has room for a request."""
        present = len(engine.running) + len(engine.waiting)
        if present + self._on_the_way[engine.name] >= engine.spec.slots:
            return False
        unread = sum(job.unread_tokens for job in engine.running)
        unread += sum(job.prompt.prompt_tokens for job in engine.waiting)
        backlog_s = unread / engine.spec.prefill_tokens_per_s
        return backlog_s < IDEAL_BACKLOG * request.group.aim_s

    def _send(
        self,
        request: PlayedRequest,
        router: PlayedRouter,
        avoided: frozenset[str],
        now_s: float,
    ) -> None:
        entry = router.dispatcher.choose(self._pool, request.prompt, avoided, now_s)
        if entry is None:
            self._refuse(request, 0.5, now_s)
            return
        name = entry.upstream_id
        router.dispatcher.confirm(entry, self._pool, now_s)
        if entry.zone != router.loads.zone:
            self._report.other_zone_sends += 1
            self._report.other_zone_tokens += request.prompt.prompt_tokens
        sent = router.loads.begin(name, request.prompt, now_s)
        engine = self._engines[name]

        def first_token(at_s: float) -> None:
            self._report_load(router, engine, at_s)
            router.loads.note_first_byte(sent, at_s + HOP_S)
            if not request.ended:
                request.waited_s = at_s + HOP_S - request.arrived_s
                self._report.first_token_s.append(request.waited_s)
                waits_s = self._report.slot_waits_s[int(job.arrived_s)]
                waits_s.append(job.slot_s - job.arrived_s)
                self._note_begun(request, at_s + HOP_S)

        def end(at_s: float) -> None:
            if request.ended:
                return
            router.loads.end(sent, at_s + HOP_S)
            router.open.pop(id(job), None)
            if job.cancelled:
                self._end(request, "failed")
            else:
                in_aim = request.waited_s <= request.group.aim_s
                self._end(request, "in-aim" if in_aim else "late")

        job = EngineJob(request.prompt, first_token, end)
        router.open[id(job)] = job, request

        def give_up(at_s: float) -> None:
            if not request.ended:
                self._end(request, "gave-up")
                job.cancelled = True
                router.open.pop(id(job), None)
                router.loads.end(sent, at_s)

        def reach(at_s: float) -> None:
            self._on_the_way[name] -= 1
            if job.cancelled:
                return
            job.arrived_s = at_s
            if engine.submit(job):
                self._run_engine(engine, at_s)
                left_s = request.arrived_s + request.group.deadline_s
                self._at(left_s, give_up)
                return
            self._report_load(router, engine, at_s)
            router.open.pop(id(job), None)
            router.loads.end(sent, at_s)
            if request.rejected:
                self._refuse(request, 0.3, at_s + HOP_S)
            else:
                request.rejected = True
                self._send(request, router, avoided | {name}, at_s + HOP_S)

        self._on_the_way[name] += 1
        self._at(now_s + HOP_S, reach)

    def _report_load(
        self, router: PlayedRouter, engine: BatchEngine, now_s: float
    ) -> None:
        router.loads.note_report(
            engine.name,
            len(engine.running),
            len(engine.waiting),
            engine.spec.slots,
            now_s + HOP_S,
            engine.slowdown_at(now_s) if self._plan.states_slowdown else None,
            POOL,
            1,
        )

    def _refuse(
        self, request: PlayedRequest, retry_after_s: float, now_s: float
    ) -> None:
        request.refusals += 1
        self._report.refusals[int(now_s)][request.group.workspace] += 1
        self._report.refused_again += request.refusals > 1
        left_s = request.arrived_s + request.group.deadline_s - now_s
        if request.refusals > 1 or left_s <= 0:
            self._end(request, "refused")
            return
        wait_s = min(retry_after_s * self._rng.uniform(0.7, 1.3), left_s / 3)
        self._at(now_s + wait_s, lambda t: self._arrive(request, t))

    def _end(self, request: PlayedRequest, outcome: str) -> None:
        request.ended = True
        counter = self._report.counts.setdefault(request.group.workspace, Counter())
        counter[outcome] += 1
        second = self._report.timeline.setdefault(int(request.arrived_s), Counter())
        second[outcome] += 1

    def _run_engine(self, engine: BatchEngine, now_s: float) -> None:
        if engine.name in self._stepping or engine.idle:
            return
        self._stepping.add(engine.name)
        ends_s = engine.step(now_s)

        def end_step(at_s: float) -> None:
            self._stepping.discard(engine.name)
            if engine.name in self._engines:
                self._run_engine(engine, at_s)

        self._at(ends_s, end_step)
