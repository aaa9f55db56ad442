"""What happened in a run: service per workspace, waits, idle capacity, outcomes."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from carobstair.core.effects import FilingFinished
from carobstair.core.state import FleetState
from carobstair.scenario.filing import is_untrue
from carobstair.scenario.gateway import Exchange
from carobstair.scenario.plan import Scenario

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter
    from carobstair.scenario.world import World

__all__ = ["Ended", "EndedAction", "RunLog", "Sample"]


@dataclass(frozen=True, slots=True)
class Ended:
    """How one request ended.

    Attributes
    ----------
    admitted : bool
        Whether an upstream ever took it in.
    longest_silence_s : float
        Longest time between two tokens, which includes a change of the upstream.
    """

    workspace: str
    work_class: str
    born_s: float
    first_token_s: float | None
    end_s: float
    outcome: str
    whole: bool
    admitted: bool
    deadline_s: float
    longest_silence_s: float


@dataclass(frozen=True, slots=True)
class EndedAction:
    """How one action ended for its caller, after all repeats.

    Attributes
    ----------
    said_not_run : bool
        Whether the last answer said that the action did not run.
    """

    record: str
    born_s: float
    end_s: float
    answered: bool
    said_not_run: bool


@dataclass(frozen=True, slots=True)
class Sample:
    """State of the fleet at one moment.

    Attributes
    ----------
    service : dict
        Weighted tokens so far by (pool, workspace).
    waiting : frozenset
        (pool, workspace) of everything that waits at a live gateway.
    borne : dict
        Requests that the upstreams of a pool bear now, by pool.
    running : dict
        Requests that they run, up to what they bear, by pool.
    wasted : dict
        Idle slots that waiting requests could use, by pool.
    """

    at_s: float
    service: dict[tuple[str, str], float]
    waiting: frozenset[tuple[str, str]]
    borne: dict[str, int]
    running: dict[str, int]
    wasted: dict[str, int]


@dataclass
class RunLog:
    """Collects what the measures need."""

    scenario: Scenario
    samples: list[Sample] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    open: dict[str, Exchange] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    admissions: dict[str, list[float]] = field(default_factory=dict)
    overloads: dict[str, list[float]] = field(default_factory=dict)
    over_limit: dict[str, list[float]] = field(default_factory=dict)
    sent_bytes: Counter = field(default_factory=Counter)
    in_force_s: dict[int, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    accepted_s: dict[int, float] = field(default_factory=dict)
    untrue_filings: int = 0
    runs: Counter = field(default_factory=Counter)
    actions: list[EndedAction] = field(default_factory=list)
    open_actions: dict[str, float] = field(default_factory=dict)
    reverted: int = 0
    alive: set[str] = field(default_factory=set)
    _service: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _highest: dict[tuple[str, int], int] = field(default_factory=dict)

    def charge(self, pool: str, workspace: str, tokens: float) -> None:
        """Add true service of an upstream."""
        self._service[(pool, workspace)] += tokens

    def opened(self, exchange: Exchange) -> None:
        """Record that a caller sent a request."""
        self.open[exchange.waiting.request_id] = exchange

    def closed(self, exchange: Exchange, outcome: str, now_s: float) -> None:
        """Record how a request ended."""
        request = exchange.waiting
        self.open.pop(request.request_id, None)
        self.outcomes[outcome] += 1
        self.ended.append(
            Ended(
                request.workspace,
                request.work_class,
                exchange.born_s,
                exchange.first_token_s,
                now_s,
                outcome,
                _is_whole(exchange, self.scenario, request.pool),
                exchange.admitted,
                request.deadline_s,
                exchange.longest_silence_s,
            )
        )

    def note_run(self, record: str) -> None:
        """Record that a plain service carried an action out."""
        self.runs[record] += 1

    def sample(self, world: World) -> None:
        """Record the state of the fleet."""
        waiting: Counter[tuple[str, str, str]] = Counter()
        for router in world.routers.values():
            if not router.is_dead:
                for request in router.node.queue:
                    waiting[(request.pool, request.workspace, router.name)] += 1
        borne, running = Counter(), Counter()
        idle: dict[str, int] = {}
        state = world.store.state
        for name, engine in world.engines.items():
            if state.accepts_work(state.upstreams[name]) and not engine.leaving:
                bears = engine.bears()
                runs = min(len(engine.running), bears)
                borne[engine.spec.pool] += bears
                running[engine.spec.pool] += runs
                idle[name] = bears - runs
        self.samples.append(
            Sample(
                world.clock.now_s,
                dict(self._service),
                frozenset((pool, workspace) for pool, workspace, _ in waiting),
                dict(borne),
                dict(running),
                _wasted(world, idle, waiting),
            )
        )

    def finish(self, world: World) -> None:
        """Take over what the upstreams and links counted."""
        for name, engine in world.engines.items():
            self.admissions[name] = engine.admissions
            self.overloads[name] = engine.overloads
            self.over_limit[name] = engine.over_limit
        self.alive = {r.name for r in world.routers.values() if not r.is_dead}
        self.accepted_s = world.store.accepted_s
        self.sent_bytes = world.network.sent_bytes

    def note_settled(
        self, world: World, settled: FilingFinished, submission_id: str
    ) -> None:
        """Compare the answer to a filing with what the store holds."""
        written = submission_id in world.store.state.submissions
        self.untrue_filings += is_untrue(settled, written)

    def note_state(self, router: SimRouter, state: FleetState, now_s: float) -> None:
        """Record that a fleet state is in force at a process."""
        key = (router.name, router.address.incarnation)
        highest = self._highest.get(key, 0)
        if state.number < highest:
            self.reverted += 1
        self._highest[key] = max(highest, state.number)
        for number in range(highest + 1, state.number + 1):
            self.in_force_s[number][router.name] = now_s


def _wasted(world: World, idle: dict[str, int], waiting: Counter) -> dict[str, int]:
    """Match idle slots with the requests that can reach them, pool by pool."""
    wasted: Counter[str] = Counter()
    left = Counter()
    for (pool, _, router), count in waiting.items():
        left[(pool, router)] += count
    for name, slots in idle.items():
        pool = world.engines[name].spec.pool
        for key in [k for k in left if k[0] == pool]:
            if world.network.connected(key[1], name):
                matched = min(slots, left[key])
                slots -= matched
                left[key] -= matched
                wasted[pool] += matched
    return dict(wasted)


def _is_whole(exchange: Exchange, scenario: Scenario, pool: str) -> bool:
    services = {e.pool for e in scenario.engines if e.kind == "service"}
    if pool in services:
        return len(exchange.received) == 1
    return exchange.received == list(range(1, exchange.output_tokens + 1))
