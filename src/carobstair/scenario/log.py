"""Records of a run: service per workspace, queueing, idle capacity and outcomes."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from carobstair.core.effects import FilingFinished
from carobstair.core.state import FleetState
from carobstair.scenario.gateway import Exchange
from carobstair.scenario.plan import Scenario
from carobstair.scenario.ticket_operator import contradicts_store

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter
    from carobstair.scenario.world import World

__all__ = ["RequestResult", "ActionResult", "RunLog", "Sample"]


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of one request.

    Attributes
    ----------
    admitted : bool
        Whether an upstream accepted an attempt of the request.
    max_token_gap_s : float
        Longest time between two tokens, including any change of upstream.
    """

    workspace: str
    work_class: str
    created_s: float
    first_token_s: float | None
    end_s: float
    outcome: str
    complete: bool
    admitted: bool
    deadline_s: float
    max_token_gap_s: float


@dataclass(frozen=True, slots=True)
class ActionResult:
    """Result of one action for its caller, after all retries.

    Attributes
    ----------
    said_not_run : bool
        Whether the last answer stated that the action did not run.
    """

    record: str
    created_s: float
    end_s: float
    answered: bool
    said_not_run: bool


@dataclass(frozen=True, slots=True)
class Sample:
    """Snapshot of the fleet.

    Attributes
    ----------
    service : dict
        Weighted tokens served so far, by (pool, workspace).
    waiting : frozenset
        (pool, workspace) of all requests that wait at a running gateway.
    capacity : dict
        Requests that the upstreams in service can run now, by pool.
    running : dict
        Requests that they run, up to their capacity, by pool.
    usable_idle : dict
        Idle slots that waiting requests could use, by pool.
    """

    at_s: float
    service: dict[tuple[str, str], float]
    waiting: frozenset[tuple[str, str]]
    capacity: dict[str, int]
    running: dict[str, int]
    usable_idle: dict[str, int]


@dataclass
class RunLog:
    """Collects the data from which the expectations of a run are checked.

    Attributes
    ----------
    accepted_s : dict
        Time at which the store accepted a ticket, by ticket number.
    in_force_s : dict
        Time at which a fleet state came into force, by number and router.
    untrue_filings : int
        Answers to tickets that contradict the store.
    executions : Counter
        How often plain services executed an action, by record.
    reverts : int
        How often a router process went back to a lower state number.
    live_routers : set of str
        Routers that run at the end.
    """

    scenario: Scenario
    samples: list[Sample] = field(default_factory=list)
    ended: list[RequestResult] = field(default_factory=list)
    open_requests: dict[str, Exchange] = field(default_factory=dict)
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
    executions: Counter = field(default_factory=Counter)
    actions: list[ActionResult] = field(default_factory=list)
    open_actions: dict[str, float] = field(default_factory=dict)
    reverts: int = 0
    live_routers: set[str] = field(default_factory=set)
    _service: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _highest: dict[tuple[str, int], int] = field(default_factory=dict)

    def charge(self, pool: str, workspace: str, tokens: float) -> None:
        """Add service that an upstream actually gave."""
        self._service[(pool, workspace)] += tokens

    def opened(self, exchange: Exchange) -> None:
        """Record that a caller sent a request."""
        self.open_requests[exchange.request.request_id] = exchange

    def closed(self, exchange: Exchange, outcome: str, now_s: float) -> None:
        """Record the result of a request."""
        request = exchange.request
        self.open_requests.pop(request.request_id, None)
        self.outcomes[outcome] += 1
        self.ended.append(
            RequestResult(
                request.workspace,
                request.work_class,
                exchange.created_s,
                exchange.first_token_s,
                now_s,
                outcome,
                _is_complete(exchange, self.scenario, request.pool),
                exchange.admitted,
                request.deadline_s,
                exchange.max_token_gap_s,
            )
        )

    def note_execution(self, record: str) -> None:
        """Record that a plain service executed an action."""
        self.executions[record] += 1

    def sample(self, world: World) -> None:
        """Record a snapshot of the fleet."""
        waiting: Counter[tuple[str, str, str]] = Counter()
        for router in world.routers.values():
            if not router.is_dead:
                for request in router.node.queue:
                    waiting[(request.pool, request.workspace, router.name)] += 1
        capacity, running = Counter(), Counter()
        idle: dict[str, int] = {}
        state = world.store.state
        for name, engine in world.engines.items():
            if state.accepts_work(state.upstreams[name]) and not engine.leaving:
                engine_capacity = engine.current_capacity()
                runs = min(len(engine.running), engine_capacity)
                capacity[engine.spec.pool] += engine_capacity
                running[engine.spec.pool] += runs
                idle[name] = engine_capacity - runs
        self.samples.append(
            Sample(
                world.clock.now_s,
                dict(self._service),
                frozenset((pool, workspace) for pool, workspace, _ in waiting),
                dict(capacity),
                dict(running),
                _usable_idle(world, idle, waiting),
            )
        )

    def finish(self, world: World) -> None:
        """Copy the counts of upstreams, store and links at the end of the run."""
        for name, engine in world.engines.items():
            self.admissions[name] = engine.admissions
            self.overloads[name] = engine.overloads
            self.over_limit[name] = engine.over_limit
        self.live_routers = {r.name for r in world.routers.values() if not r.is_dead}
        self.accepted_s = world.store.accepted_s
        self.sent_bytes = world.network.sent_bytes

    def note_filing_result(
        self, world: World, result: FilingFinished, submission_id: str
    ) -> None:
        """Compare the answer to a ticket with the content of the store."""
        written = submission_id in world.store.state.submissions
        self.untrue_filings += contradicts_store(result, written)

    def note_state(self, router: SimRouter, state: FleetState, now_s: float) -> None:
        """Record that a fleet state came into force at a router process."""
        key = (router.name, router.address.incarnation)
        highest = self._highest.get(key, 0)
        if state.number < highest:
            self.reverts += 1
        self._highest[key] = max(highest, state.number)
        for number in range(highest + 1, state.number + 1):
            self.in_force_s[number][router.name] = now_s


def _usable_idle(
    world: World, idle: dict[str, int], waiting: Counter
) -> dict[str, int]:
    """Match idle slots with waiting requests that can reach them, by pool."""
    usable_idle: Counter[str] = Counter()
    unmatched = Counter()
    for (pool, _, router), count in waiting.items():
        unmatched[(pool, router)] += count
    for name, slots in idle.items():
        pool = world.engines[name].spec.pool
        for key in [k for k in unmatched if k[0] == pool]:
            if world.network.connected(key[1], name):
                matched = min(slots, unmatched[key])
                slots -= matched
                unmatched[key] -= matched
                usable_idle[pool] += matched
    return dict(usable_idle)


def _is_complete(exchange: Exchange, scenario: Scenario, pool: str) -> bool:
    services = {e.pool for e in scenario.engines if e.kind == "service"}
    if pool in services:
        return len(exchange.received) == 1
    return exchange.received == list(range(1, exchange.output_tokens + 1))
