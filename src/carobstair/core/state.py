"""Fleet state: the result of the tickets in force, as immutable data classes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from types import MappingProxyType

__all__ = [
    "AvailabilityZone",
    "FleetState",
    "Route",
    "Ticket",
    "Upstream",
    "UpstreamKind",
    "UpstreamState",
    "Workspace",
]

# Methods that HTTP defines as safe; the route of a service may override this.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# A ticket filed again is recognised within this many later tickets. Without a limit,
# the snapshot would exceed the object API's maximum value size.
MAX_KEPT_SUBMISSIONS = 1000


class UpstreamKind(StrEnum):
    """What an upstream serves."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(StrEnum):
    """Whether an upstream takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix of a plain service and whether its calls may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether this route applies to a call."""
        return self.method in ("*", method) and path.startswith(self.path_prefix)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its weight, API keys, permitted pools and limits.

    Attributes
    ----------
    key_hashes : tuple of str
        Hexadecimal SHA-256 digests of the workspace's API keys.
    pools : frozenset of str
        Names of the models and services that it may use; empty means none.
    """

    name: str
    weight: float
    key_hashes: tuple[str, ...] = ()
    pools: frozenset[str] = frozenset()
    max_waiting_requests: int = 200
    max_waiting_bytes: int = 8_000_000
    max_connections: int = 500


@dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine or an instance of a plain service."""

    name: str
    pool: str
    kind: UpstreamKind
    address: str
    zone: str
    state: UpstreamState = UpstreamState.LIVE
    cold_limit: int = 1
    max_requests: int = 16
    max_kv_tokens: int = 200_000
    checks_fencing: bool = False
    wanted_versions: tuple[str, ...] = ()
    wanted_role: str = ""
    routes: tuple[Route, ...] = ()

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be sent more than once."""
        for route in self.routes:
            if route.matches(method, path):
                return route.repeatable
        return method in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone and whether it is in service."""

    name: str
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class Ticket:
    """A numbered change with the complete new state of each object that it changes.

    A value of ``None`` removes the object.
    """

    number: int
    submission_id: str
    author: str = ""
    workspaces: Mapping[str, Workspace | None] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream | None] = field(default_factory=dict)
    zones: Mapping[str, AvailabilityZone | None] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetState:
    """The result of applying tickets 1 to `number` in order.

    Attributes
    ----------
    submissions : Mapping of str to int
        Ticket number by submission id, of the newest tickets, oldest first.
    """

    number: int = 0
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    zones: Mapping[str, AvailabilityZone] = field(default_factory=dict)
    submissions: Mapping[str, int] = field(default_factory=dict)

    def apply(self, ticket: Ticket) -> FleetState:
        """Return the state after a ticket.

        Parameters
        ----------
        ticket : Ticket
            Must carry the next number.

        Returns
        -------
        FleetState
            The same object if the ticket is already in force.

        Raises
        ------
        ValueError
            If the ticket would leave a gap in the numbers.
        """
        if ticket.number <= self.number:
            return self
        if ticket.number != self.number + 1:
            raise ValueError(
                f"ticket {ticket.number} does not follow ticket {self.number}"
            )
        return replace(
            self,
            number=ticket.number,
            workspaces=_merge(self.workspaces, ticket.workspaces),
            upstreams=_merge(self.upstreams, ticket.upstreams),
            zones=_merge(self.zones, ticket.zones),
            submissions=self._submissions_with(ticket),
        )

    def with_leaving(self, names: Iterable[str]) -> FleetState:
        """Return the state with the live upstreams of these names set to leaving."""
        leaving = {
            name: replace(self.upstreams[name], state=UpstreamState.LEAVING)
            for name in names
            if name in self.upstreams
            and self.upstreams[name].state is UpstreamState.LIVE
        }
        if not leaving:
            return self
        return replace(self, upstreams=_merge(self.upstreams, leaving))

    def _submissions_with(self, ticket: Ticket) -> Mapping[str, int]:
        if not ticket.submission_id:
            return self.submissions
        kept = list(self.submissions.items())[1 - MAX_KEPT_SUBMISSIONS :]
        return MappingProxyType(dict(kept) | {ticket.submission_id: ticket.number})

    def zone_in_service(self, zone: str) -> bool:
        """Return whether a zone takes new work; a zone that no ticket names does."""
        known = self.zones.get(zone)
        return known is None or known.in_service

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether new work may be sent to an upstream."""
        return upstream.state is UpstreamState.LIVE and self.zone_in_service(
            upstream.zone
        )

    def pool_upstreams(self, pool: str) -> list[Upstream]:
        """Return all upstreams of a model or service, sorted by name."""
        return [u for _, u in sorted(self.upstreams.items()) if u.pool == pool]

    def pool_kind(self, pool: str) -> UpstreamKind | None:
        """Return the kind of a pool's upstreams, or None if it has none."""
        upstreams = self.pool_upstreams(pool)
        return upstreams[0].kind if upstreams else None

    def is_repeatable(self, pool: str, method: str, path: str) -> bool:
        """Return whether a call may be repeated on every upstream of a pool."""
        upstreams = self.pool_upstreams(pool)
        return all(u.is_repeatable(method, path) for u in upstreams)


def _merge(old: Mapping, changes: Mapping) -> Mapping:
    merged = dict(old)
    for name, value in changes.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = value
    return MappingProxyType(merged)
