"""What a scenario states: the fleet, the load, the faults and the expectations."""

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


# A fleet that starts from nothing is ready after about 2 s.
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
    """An upstream stand-in: what it bears and how fast it is.

    Attributes
    ----------
    cold_bears : int
        Requests that a cold engine runs without falling over.
    cold_factor : float
        Multiple of the time between tokens while cold.
    service_s : float
        Time of one call of a plain service.
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
        """Return the upstream as a ticket states it."""
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
        """Return the weighted tokens per second that the full batch produces."""
        if self.kind is UpstreamKind.SERVICE:
            return 20.0 * self.max_requests
        return self.max_requests / self.full_interval_s()

    def full_interval_s(self) -> float:
        """Return the time between tokens with a full batch."""
        return self.base_interval_s + self.interval_per_request_s * self.max_requests


@dataclass(frozen=True, slots=True)
class WorkspaceSpec:
    """A workspace, its weight and its queue bound."""

    name: str
    weight: float = 1.0
    max_waiting: int = 200


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """Requests of one workspace: open loop at a rate, or a number of clients.

    Attributes
    ----------
    per_s : float
        Poisson arrivals per second; 0 with `clients`.
    clients : int
        Callers that each send the next request when the last one has ended.
    keyed : bool
        Whether each request is an action under a key, which its caller repeats
        until it has an outcome or the deadline has passed.
    hint_factor : float
        Multiple of the true output length that the caller states.
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
    keyed: bool = False

    def largest_cost_tokens(self) -> float:
        """Return the weighted tokens of the largest request."""
        return self.output_tokens[1] + 0.25 * self.input_tokens[1]

    def mean_cost_tokens(self) -> float:
        """Return the weighted tokens of the mean request."""
        return sum(self.output_tokens) / 2 + 0.25 * sum(self.input_tokens) / 2


@dataclass(frozen=True, slots=True)
class LinkSpec:
    """Links between routers, upstreams and callers."""

    delay_s: float = 0.0015
    jitter_s: float = 0.0005
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """Something that happens at a time.

    Attributes
    ----------
    names : tuple of str
        What it strikes; the first group of a partition.
    others : tuple of str
        The second group of a partition.
    value : float
        Duration, delay or fraction, by kind.
    duration_s : float
        How long it lasts, where `value` is something else.
    change : str
        What a ticket sets, as in ``zone lac out``.
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
    """A measure and what it must be.

    Attributes
    ----------
    bound : float or None
        None stands for the bound of the formula.
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
    """A whole run on virtual time."""

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
        """Return the same scenario with another seed."""
        return replace(self, seed=seed)

    def first_state(self) -> FleetState:
        """Return the objects that the first ticket sets."""
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
