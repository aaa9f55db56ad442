"""A router's copy of what the store holds, and what follows from it.

Objects come from lists, from watches and from peers, in any order. Each carries
the store's revision of its last change, which decides what is newer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.routing import RoutingConfig, RoutingTable

__all__ = ["FleetView", "StateKind", "StoreChange", "StoreTrust"]

# Removed names are remembered so that peers hear of them.
MAX_REMOVED = 2000


class StateKind(StrEnum):
    """What the store holds for routers."""

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
class StoreTrust:
    """Whether the absence of an upstream can be believed.

    Entries lapse while the store is away and come back soon after its return.
    """

    grace_s: float
    _failed_s: float | None = None
    _returned_s: float = float("-inf")
    heard_s: float = float("-inf")

    def note_failure(self, now_s: float) -> None:
        """Note a call that failed."""
        if self._failed_s is None:
            self._failed_s = now_s

    def note_success(self, now_s: float) -> bool:
        """Note a call that succeeded; return whether the store is back."""
        self.heard_s = now_s
        if self._failed_s is None:
            return False
        self._failed_s = None
        self._returned_s = now_s
        return True

    def lapse_until_s(self, now_s: float) -> float | None:
        """Return until when a vanished upstream may still be there."""
        if self._failed_s is not None:
            return now_s + self.grace_s
        until_s = self._returned_s + self.grace_s
        return until_s if now_s < until_s else None


@dataclass(slots=True)
class _Objects:
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
            if len(self.removed) > MAX_REMOVED:
                self.removed.pop(next(iter(self.removed)))
        else:
            self.removed.pop(change.name, None)
            self.known[change.name] = change
        return True


@dataclass(slots=True)
class FleetView:
    """Routing, upstreams, evacuations and routers, as far as this process knows.

    Parameters
    ----------
    directory : UpstreamDirectory
    decode_routing : callable
        Returns the configuration in the bytes of an object, or None.
    decode_upstream : callable
        Returns the upstream in the bytes of an object, or None where it names no
        upstream that can be used.
    """

    directory: UpstreamDirectory
    decode_routing: Callable[[bytes], RoutingConfig | None]
    decode_upstream: Callable[[str, bytes], UpstreamEntry | None]
    table: RoutingTable | None = None
    unreadable: int = 0
    _kinds: dict[StateKind, _Objects] = field(
        default_factory=lambda: {kind: _Objects() for kind in StateKind}
    )

    @property
    def version(self) -> int:
        """Number of the configuration in force; 0 before the first."""
        return self.table.config.version if self.table else 0

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last known change of each kind."""
        return {kind.value: objects.revision for kind, objects in self._kinds.items()}

    def objects(self, kind: StateKind) -> dict[str, StoreChange]:
        """Return the objects of a kind by name."""
        return self._kinds[kind].known

    def changes_since(self, kind: StateKind, revision: int) -> list[StoreChange]:
        """Return what has changed after a revision."""
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
        lapse_until_s: float | None,
        now_s: float,
    ) -> list[str]:
        """Take in a complete list; return the names that changed."""
        listed = list(listed)
        names = {change.name for change in listed}
        missing = [
            StoreChange(name, revision, None)
            for name, known in self._kinds[kind].known.items()
            if name not in names and known.revision < revision
        ]
        return self.apply(kind, [*listed, *missing], lapse_until_s, now_s)

    def apply(
        self,
        kind: StateKind,
        changes: Iterable[StoreChange],
        lapse_until_s: float | None,
        now_s: float,
    ) -> list[str]:
        """Take in changes; return the names of those that were news.

        Parameters
        ----------
        lapse_until_s : float or None
            Monotonic time until which an upstream that has vanished may be used.
        """
        objects = self._kinds[kind]
        news = [change for change in changes if objects.apply(change)]
        for change in news:
            if kind is StateKind.UPSTREAMS:
                self._apply_upstream(change, lapse_until_s, now_s)
            elif kind is StateKind.ROUTING:
                self._apply_routing(change)
        if kind is StateKind.EVACUATIONS and news:
            self.directory.set_evacuated(objects.known, now_s)
        return [change.name for change in news]

    def _apply_upstream(
        self, change: StoreChange, lapse_until_s: float | None, now_s: float
    ) -> None:
        if change.spec is None:
            self.directory.remove(change.name, change.revision, lapse_until_s)
            return
        entry = self.decode_upstream(change.name, change.spec)
        if entry is None:
            self.unreadable += 1
            self.directory.remove(change.name, change.revision, None)
            return
        self.directory.put(entry, change.revision, now_s)

    def _apply_routing(self, change: StoreChange) -> None:
        config = self.decode_routing(change.spec) if change.spec is not None else None
        if config is None:
            self.unreadable += change.spec is not None
            return
        # A process never goes back to an older version, whatever it is told.
        if config.version > self.version:
            self.table = RoutingTable(config)
