"""Data model of a scenario: fleet, load, faults and expectations."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from carobstair.core.queueing import WorkClass
from carobstair.core.state import (
    AvailabilityZone,
    FleetState,
    Upstream,
    UpstreamKind,
    Workspace,
)

__all__ = [
    "EngineSpec",
    "Expectation",
    "FLEET_START_S",
    "FaultEvent",
    "FaultKind",
    "LinkSpec",
    "LoadSpec",
    "RouterSpec",
    "Scenario",
    "WorkspaceSpec",
]


# A fleet without any stored state is ready about 2 s after its start.
FLEET_START_S = 3.0


class FaultKind(StrEnum):
    """Kinds of scripted events."""

    PARTITION = "partition"
    PARTITION_ONE_WAY = "partition-one-way"
    HEAL = "heal"
    KILL = "kill"
    RESTART = "restart"
    PAUSE = "pause"
    CRASH = "crash"
    CHILL = "chill"
    STALL = "stall"
    SILENCE = "silence"
    LOSS = "loss"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES = "store-loses"
    STOP = "stop"
    NOTICE = "notice"
    LIST_LEAVING = "list-leaving"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class RouterSpec:
    """A router and its availability zone."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """A simulated upstream, with its capacity and speed.

    Attributes
    ----------
    cold_bears : int
        Requests that a cold engine can run; more make it crash.
    cold_factor : float
        Factor on the time between tokens while the engine is cold.
    service_s : float
        Mean duration of a call to a plain service.
    """

    name: str
    pool: str
    zone: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    max_requests: int = 8
    cold_limit: int = 2
    cold_bears: int = 2
    cold_s: float = 3.0
    cold_factor: float = 1.0
    down_s: float = 1.0
    base_interval_s: float = 0.020
    interval_per_request_s: float = 0.001
    prefill_tokens_per_s: float = 20_000.0
    load_lag_s: float = 0.5
    max_kv_tokens: int = 200_000
    cache_blocks: int = 2_000
    service_s: float = 0.05

    def upstream(self) -> Upstream:
        """Return the upstream as it appears in a ticket."""
        return Upstream(
            self.name,
            self.pool,
            self.kind,
            "http://127.0.0.1:1",
            self.zone,
            cold_limit=self.cold_limit,
            max_requests=self.max_requests,
            max_kv_tokens=self.max_kv_tokens,
        )

    def rate_tokens_per_s(self) -> float:
        """Return the service rate with a full batch, in weighted tokens per second."""
        if self.kind is UpstreamKind.SERVICE:
            return 20.0 * self.max_requests
        return self.max_requests / self.full_interval_s()

    def full_interval_s(self) -> float:
        """Return the time between tokens with a full batch."""
        return self.base_interval_s + self.interval_per_request_s * self.max_requests


@dataclass(frozen=True, slots=True)
class WorkspaceSpec:
    """A workspace, with its weight and the limit on its waiting requests."""

    name: str
    weight: float = 1.0
    max_waiting: int = 200


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """Load of one workspace: open loop at a rate, or closed loop with clients.

    Attributes
    ----------
    per_s : float
        Rate of Poisson arrivals; 0 if `clients` is set.
    clients : int
        Callers that each send a request when their previous one has ended.
    idempotent : bool
        Whether each request is an action with an idempotency key, which its caller
        retries until it has an outcome or the deadline has passed.
    hint_factor : float
        Output length that the caller states, as a multiple of the actual length.
    prefixes : int
        Number of prompt prefixes that requests share; 0 makes every prompt unique.
    """

    workspace: str
    pool: str
    work_class: WorkClass
    output_tokens: tuple[int, int]
    input_tokens: tuple[int, int]
    per_s: float = 0.0
    clients: int = 0
    through: tuple[str, ...] = ()
    start_s: float = FLEET_START_S
    end_s: float = float("inf")
    deadline_s: float = 60.0
    hint_factor: float = 1.0
    prefixes: int = 0
    idempotent: bool = False

    def largest_cost_tokens(self) -> float:
        """Return the cost of the largest request, in weighted tokens."""
        return self.output_tokens[1] + 0.25 * self.input_tokens[1]

    def mean_cost_tokens(self) -> float:
        """Return the mean cost of a request, in weighted tokens."""
        return sum(self.output_tokens) / 2 + 0.25 * sum(self.input_tokens) / 2


@dataclass(frozen=True, slots=True)
class LinkSpec:
    """Properties of the links between routers, upstreams and callers."""

    delay_s: float = 0.0015
    jitter_s: float = 0.0005
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A scripted event at a point in time.

    Attributes
    ----------
    names : tuple of str
        Targets of the event; for a partition, the first group of endpoints.
    others : tuple of str
        For a partition, the second group of endpoints.
    value : float
        Duration, delay or fraction, depending on the kind.
    duration_s : float
        Duration, if `value` has another meaning.
    change : tuple of str
        Change that a ticket makes, as in ``zone lac out``.
    """

    at_s: float
    kind: FaultKind
    names: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    value: float = 0.0
    duration_s: float = 0.0
    change: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Expectation:
    """A measure and the bound that it must meet.

    Attributes
    ----------
    bound : float or None
        None selects the analytical bound of the measure.
    """

    text: str
    measure: str
    names: tuple[str, ...] = ()
    operator: str = "<="
    bound: float | None = None
    start_s: float | None = None
    end_s: float | None = None
    line: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A complete scenario for one simulated run."""

    name: str
    routers: tuple[RouterSpec, ...]
    engines: tuple[EngineSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    loads: tuple[LoadSpec, ...]
    faults: tuple[FaultEvent, ...] = ()
    expectations: tuple[Expectation, ...] = ()
    link: LinkSpec = field(default_factory=LinkSpec)
    duration_s: float = 40.0
    measure_from_s: float = 10.0
    seed: int = 1

    def with_seed(self, seed: int) -> Scenario:
        """Return a copy of the scenario with another seed."""
        return replace(self, seed=seed)

    def initial_state(self) -> FleetState:
        """Return the fleet state that the first ticket sets up."""
        pools = frozenset(e.pool for e in self.engines)
        zones = {r.zone for r in self.routers} | {e.zone for e in self.engines}
        return FleetState(
            0,
            {
                w.name: Workspace(
                    w.name, w.weight, (), pools, max_waiting_requests=w.max_waiting
                )
                for w in self.workspaces
            },
            {e.name: e.upstream() for e in self.engines},
            {zone: AvailabilityZone(zone) for zone in sorted(zones)},
        )
