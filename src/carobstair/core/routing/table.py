"""Routes, services and workspace keys of a configuration, and their lookup."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "EngineShape",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RoutingConfig",
    "RoutingTable",
    "ServicePool",
    "WorkspaceKeys",
]


class RequestKind(StrEnum):
    """Whether a router may repeat a request whose outcome is unknown."""

    REPEATABLE = "repeatable"
    UNREPEATABLE = "unrepeatable"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes
    ----------
    split : tuple of (str, float)
        Services among which the requests are divided, with their weights.
    max_attempts : int
        Most upstreams that one request may be sent to.
    resumable : bool
        Whether a stream can be resumed after its last event on another upstream.
    max_gap_s : float
        Objective for the longest pause between two events of an answer.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    split: tuple[tuple[str, float], ...]
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an unknown outcome."""
        return self.kind is RequestKind.REPEATABLE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Capacity of each model engine of a service."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ServicePool:
    """A service, with the properties that all its upstreams share.

    Attributes
    ----------
    max_connections : int
        Connections that one upstream accepts from all callers together.
    cold_start_s : float
        How long an upstream stays cold after its start.
    cold_rate : float
        Requests a second that a cold upstream can serve.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_rate: float = 0.0
    engine: EngineShape | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and duration of requests, and the fleet's capacity."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    tokens_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace with its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One numbered version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServicePool, ...]
    limits: RequestLimits = RequestLimits()
    workspaces: tuple[WorkspaceKeys, ...] = ()


@dataclass(slots=True)
class RoutingTable:
    """Lookup tables of a configuration."""

    config: RoutingConfig
    services: dict[str, ServicePool] = field(init=False)
    _by_host: dict[str, dict[str, Route]] = field(init=False)
    _by_key: dict[str, WorkspaceKeys] = field(init=False)

    def __post_init__(self):
        self.services = {pool.name: pool for pool in self.config.services}
        self._by_host = {}
        for route in self.config.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._by_key = {
            key: workspace
            for workspace in self.config.workspaces
            for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        # Every prefix ends with a slash, so only paths cut after a slash can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_workspace(self, key: str | None) -> WorkspaceKeys | None:
        """Return the workspace that a key belongs to, or None."""
        return self._by_key.get(key) if key else None

    @property
    def requires_key(self) -> bool:
        """Whether routes that aren't public require a key."""
        return bool(self.config.workspaces)

    def pick_service(
        self, route: Route, served: Iterable[str], rng: random.Random
    ) -> str | None:
        """Choose one of the route's served services at random by weight, or None."""
        allowed = set(served)
        choices = [(s, w) for s, w in route.split if s in allowed and w > 0]
        if not choices:
            return None
        if len(choices) == 1:
            return choices[0][0]
        names, weights = zip(*choices, strict=True)
        return rng.choices(names, weights)[0]
