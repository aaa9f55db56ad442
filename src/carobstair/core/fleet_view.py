"""A router's replica of the objects in the store, and the state derived from it.

Objects arrive from lists, watches and peers, in any order. Each carries the store's
revision of its last change, which decides which version is newer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.routing import RoutingConfig, RoutingTable

__all__ = ["FleetView", "StateKind", "StoreChange", "StoreAvailability"]

# Removed names that are kept, so that peers can be told of the removals.
MAX_REMOVED_NAMES = 2000


class StateKind(StrEnum):
    """Kind of the objects that the store holds for routers."""

    ROUTING = "routing"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"
    ROUTERS = "routers"


@dataclass(frozen=True, slots=True)
class StoreChange:
    """An object of the store, or its removal where `spec` is None."""

    name: str
    revision: int
    spec: bytes | None


@dataclass(slots=True)
class StoreAvailability:
    """Whether the absence of an upstream from the store is reliable.

    Entries expire while the store is unavailable and return soon after it recovers.
    """

    grace_s: float
    _failing_since_s: float | None = None
    _returned_s: float = float("-inf")
    last_success_s: float = float("-inf")

    def note_failure(self, now_s: float) -> None:
        """Record a failed call."""
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    def note_success(self, now_s: float) -> bool:
        """Record a successful call; return whether it ended an outage."""
        self.last_success_s = now_s
        if self._failing_since_s is None:
            return False
        self._failing_since_s = None
        self._returned_s = now_s
        return True

    def grace_until_s(self, now_s: float) -> float | None:
        """Return until when a missing upstream may be used; None for not at all."""
        if self._failing_since_s is not None:
            return now_s + self.grace_s
        until_s = self._returned_s + self.grace_s
        return until_s if now_s < until_s else None


@dataclass(slots=True)
class _ObjectSet:
    known: dict[str, StoreChange] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    revision: int = 0

    def apply(self, change: StoreChange) -> bool:
        known = self.known.get(change.name)
        newest = max(known.revision if known else -1, self.removed.get(change.name, -1))
        if change.revision <= newest:
            return False
        self.revision = max(self.revision, change.revision)
        if change.spec is None:
            self.known.pop(change.name, None)
            self.removed.pop(change.name, None)
            self.removed[change.name] = change.revision
            if len(self.removed) > MAX_REMOVED_NAMES:
                self.removed.pop(next(iter(self.removed)))
        else:
            self.removed.pop(change.name, None)
            self.known[change.name] = change
        return True


@dataclass(slots=True)
class FleetView:
    """Routing, upstreams, evacuations and routers, as known to this process.

    Parameters
    ----------
    directory : UpstreamDirectory
    decode_routing : callable
        Decodes the configuration in an object, or returns None.
    decode_upstream : callable
        Decodes the upstream in an object, or returns None if the object describes
        no usable upstream.
    """

    directory: UpstreamDirectory
    decode_routing: Callable[[bytes], RoutingConfig | None]
    decode_upstream: Callable[[str, bytes], UpstreamEntry | None]
    table: RoutingTable | None = None
    undecodable_count: int = 0
    _kinds: dict[StateKind, _ObjectSet] = field(
        default_factory=lambda: {kind: _ObjectSet() for kind in StateKind}
    )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.table.config.version if self.table else 0

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last known change of each kind."""
        return {kind.value: objects.revision for kind, objects in self._kinds.items()}

    def objects(self, kind: StateKind) -> dict[str, StoreChange]:
        """Return the objects of a kind by name."""
        return self._kinds[kind].known

    def changes_since(self, kind: StateKind, revision: int) -> list[StoreChange]:
        """Return the changes and removals after a revision, oldest first."""
        objects = self._kinds[kind]
        changes = [c for c in objects.known.values() if c.revision > revision]
        changes += [
            StoreChange(name, removed, None)
            for name, removed in objects.removed.items()
            if removed > revision
        ]
        return sorted(changes, key=lambda change: change.revision)

    def apply_list(
        self,
        kind: StateKind,
        listed: Iterable[StoreChange],
        revision: int,
        grace_until_s: float | None,
        now_s: float,
    ) -> list[str]:
        """Apply a complete list; return the names that changed."""
        listed = list(listed)
        names = {change.name for change in listed}
        missing = [
            StoreChange(name, revision, None)
            for name, known in self._kinds[kind].known.items()
            if name not in names and known.revision < revision
        ]
        return self.apply(kind, [*listed, *missing], grace_until_s, now_s)

    def apply(
        self,
        kind: StateKind,
        changes: Iterable[StoreChange],
        grace_until_s: float | None,
        now_s: float,
    ) -> list[str]:
        """Apply changes; return the names of those that were newer.

        Parameters
        ----------
        grace_until_s : float or None
            Monotonic time until which a removed upstream may still be used.
        """
        objects = self._kinds[kind]
        accepted = [change for change in changes if objects.apply(change)]
        for change in accepted:
            if kind is StateKind.UPSTREAMS:
                self._apply_upstream(change, grace_until_s, now_s)
            elif kind is StateKind.ROUTING:
                self._apply_routing(change)
        if kind is StateKind.EVACUATIONS and accepted:
            self.directory.set_evacuated(objects.known, now_s)
        return [change.name for change in accepted]

    def _apply_upstream(
        self, change: StoreChange, grace_until_s: float | None, now_s: float
    ) -> None:
        if change.spec is None:
            self.directory.remove(change.name, change.revision, grace_until_s)
            return
        entry = self.decode_upstream(change.name, change.spec)
        if entry is None:
            self.undecodable_count += 1
            self.directory.remove(change.name, change.revision, None)
            return
        self.directory.put(entry, change.revision, now_s)

    def _apply_routing(self, change: StoreChange) -> None:
        config = self.decode_routing(change.spec) if change.spec is not None else None
        if config is None:
            self.undecodable_count += change.spec is not None
            return
        # A process never reverts to an older version, whatever the source.
        if config.version > self.version:
            self.table = RoutingTable(config)
