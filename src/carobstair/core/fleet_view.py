"""A router's replica of the objects in the store, and the state derived from it.

Objects arrive from lists, watches and peers, in any order. Each carries a stamp of
its last change, which decides which version is newer: the era of the store and its
revision. A store that was restored from a copy starts a new era, in which revisions
of the previous one are given out again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.document_bounds import is_within_bounds
from carobstair.core.routing import RoutingConfig, RoutingTable
from carobstair.core.store_stamp import Stamp

__all__ = [
    "BASE_KINDS",
    "FleetView",
    "Stamp",
    "StateKind",
    "StoreChange",
    "StoreAvailability",
]

# Removed names that are kept, so that peers can be told of the removals.
MAX_REMOVED_NAMES = 2000


class StateKind(StrEnum):
    """Kind of the objects that the store holds for routers."""

    ROUTING = "routing"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"
    ROUTERS = "routers"
    REFUSED_SEGMENTS = "refused_segments"
    ROLLOUTS = "rollouts"


# Kinds that every router follows. The others cost calls to the store and are followed
# where the settings ask for it.
BASE_KINDS = tuple(kind for kind in StateKind if kind is not StateKind.ROLLOUTS)
# Stands for a document that is not read; no decoder accepts it.
UNREADABLE = b"null"
# Kinds that routers write: a store that was restored from a copy may lack them, and
# their owners write them again.
WRITTEN_BY_ROUTERS = frozenset({StateKind.ROUTERS, StateKind.REFUSED_SEGMENTS})


@dataclass(frozen=True, slots=True)
class StoreChange:
    """An object of the store, or its removal where `spec` is None."""

    name: str
    revision: int
    spec: bytes | None
    era: int = 0

    @property
    def stamp(self) -> Stamp:
        """Era and revision of the change."""
        return Stamp(self.era, self.revision)


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

    def note_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy, which lacks newer entries."""
        self._returned_s = now_s

    def failing_for_s(self, now_s: float) -> float:
        """Return for how long all calls have failed; 0 if the last one succeeded."""
        since_s = self._failing_since_s
        return 0.0 if since_s is None else now_s - since_s

    def follow(self, steady: bool, now_s: float) -> bool:
        """Record what routers that call the store say; return whether it is new.

        Steady means that removals may be applied at once, so that no further grace
        follows.
        """
        was_steady = self._failing_since_s is None
        if steady:
            self._failing_since_s = None
        else:
            self.note_failure(now_s)
        return steady is not was_steady

    def grace_until_s(self, now_s: float) -> float | None:
        """Return until when a missing upstream may be used; None for not at all."""
        if self._failing_since_s is not None:
            return now_s + self.grace_s
        until_s = self._returned_s + self.grace_s
        return until_s if now_s < until_s else None


@dataclass(slots=True)
class _ObjectSet:
    known: dict[str, StoreChange] = field(default_factory=dict)
    removed: dict[str, Stamp] = field(default_factory=dict)
    stamp: Stamp = Stamp(0, 0)
    # Newest removal that is no longer kept.
    forgotten: Stamp = Stamp(0, 0)

    def apply(self, change: StoreChange) -> bool:
        known = self.known.get(change.name)
        removed = self.removed.get(change.name)
        if known is not None and change.stamp <= known.stamp:
            return False
        if removed is not None and change.stamp <= removed:
            return False
        self.stamp = max(self.stamp, change.stamp)
        if change.spec is None:
            self.known.pop(change.name, None)
            self.removed.pop(change.name, None)
            self.removed[change.name] = change.stamp
            if len(self.removed) > MAX_REMOVED_NAMES:
                dropped = self.removed.pop(next(iter(self.removed)))
                self.forgotten = max(self.forgotten, dropped)
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
    kinds : tuple of StateKind
        Kinds that this process follows, in the order of `StateKind`.
    """

    directory: UpstreamDirectory
    decode_routing: Callable[[bytes], RoutingConfig | None]
    decode_upstream: Callable[[str, bytes], UpstreamEntry | None]
    table: RoutingTable | None = None
    kinds: tuple[StateKind, ...] = BASE_KINDS
    undecodable_count: int = 0
    # Kinds of which a complete list has been read.
    listed: set[StateKind] = field(default_factory=set)
    # Upstreams of which a restored store has an entry of an earlier start.
    _copied: dict[str, Stamp] = field(default_factory=dict)
    _kinds: dict[StateKind, _ObjectSet] = field(
        default_factory=lambda: {kind: _ObjectSet() for kind in StateKind}
    )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.table.config.version if self.table else 0

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last known change of each kind."""
        return {kind: stamp.revision for kind, stamp in self.stamps().items()}

    def stamps(self) -> dict[str, Stamp]:
        """Return the stamp of the last known change of each kind."""
        return {kind.value: self._kinds[kind].stamp for kind in self.kinds}

    def objects(self, kind: StateKind) -> dict[str, StoreChange]:
        """Return the objects of a kind by name."""
        return self._kinds[kind].known

    def forgotten(self, kind: StateKind) -> Stamp:
        """Return the stamp up to which removals of a kind are no longer kept."""
        return self._kinds[kind].forgotten

    def changes_since(
        self, kind: StateKind, revision: int, era: int = 0
    ) -> list[StoreChange]:
        """Return the changes and removals after a revision, oldest first."""
        objects, since = self._kinds[kind], Stamp(era, revision)
        changes = [c for c in objects.known.values() if c.stamp > since]
        changes += [
            StoreChange(name, removed.revision, None, removed.era)
            for name, removed in objects.removed.items()
            if removed > since
        ]
        return sorted(changes, key=lambda change: change.stamp)

    def apply_list(
        self,
        kind: StateKind,
        listed: Iterable[StoreChange],
        revision: int,
        grace_until_s: float | None,
        now_s: float,
        era: int = 0,
    ) -> list[str]:
        """Apply a complete list; return the names that changed.

        A list of a new era may lack what was written after the copy was made.
        What routers write is kept: limits are divided by their number, and those
        that run write again.
        """
        self.listed.add(kind)
        objects, listed = self._kinds[kind], list(listed)
        names = {change.name for change in listed}
        missing = [
            StoreChange(name, revision, None, era)
            for name, known in objects.known.items()
            if name not in names
            and known.stamp < Stamp(era, revision)
            and (known.era == era or kind not in WRITTEN_BY_ROUTERS)
        ]
        self._enter_era(kind, era, now_s)
        return self.apply(kind, [*listed, *missing], grace_until_s, now_s)

    def _enter_era(self, kind: StateKind, era: int, now_s: float) -> None:
        """Prepare for changes of an era; keep what a restored store may have lost."""
        objects = self._kinds[kind]
        if era <= objects.stamp.era:
            return
        objects.stamp = Stamp(era, 0)
        if kind is StateKind.UPSTREAMS:
            self.directory.keep_draining(now_s)
        elif kind is StateKind.EVACUATIONS:
            self.directory.keep_evacuated(now_s)

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
        objects, changes = self._kinds[kind], list(changes)
        self._enter_era(kind, max((c.era for c in changes), default=0), now_s)
        if kind is not StateKind.ROUTING:
            changes = list(map(self._bounded, changes))
        accepted = [change for change in changes if objects.apply(change)]
        for change in accepted:
            if kind is StateKind.UPSTREAMS:
                self._apply_upstream(change, grace_until_s, now_s)
            elif kind is StateKind.ROUTING:
                self._apply_routing(change)
        if kind is StateKind.EVACUATIONS and accepted:
            self.directory.set_evacuated(objects.known, now_s)
        return [change.name for change in accepted]

    def apply_response(self, kind: StateKind, change: StoreChange) -> bool:
        """Apply the object in the response to a write; return whether it is newer.

        Only for kinds without decoded form. Changes of other objects before it may
        still be on their way, so that the stamp of the kind stays as it is; and a
        new era is entered by the list, which shows what the restored store lacks.
        """
        objects = self._kinds[kind]
        stamp = objects.stamp
        if change.era != stamp.era:
            return False
        accepted = objects.apply(self._bounded(change))
        objects.stamp = stamp
        return accepted

    def _bounded(self, change: StoreChange) -> StoreChange:
        """Return the change without a document that no decoder should be given."""
        if change.spec is None or is_within_bounds(change.spec):
            return change
        self.undecodable_count += 1
        return replace(change, spec=UNREADABLE)

    def _apply_upstream(
        self, change: StoreChange, grace_until_s: float | None, now_s: float
    ) -> None:
        if change.spec is None:
            self._copied.pop(change.name, None)
            self.directory.remove(change.name, change.stamp, grace_until_s)
            return
        entry = self.decode_upstream(change.name, change.spec)
        if entry is None:
            self.undecodable_count += 1
            self.directory.remove(change.name, change.stamp, None)
        elif not self._is_of_copy(entry, change):
            self.directory.put(entry, change.stamp, now_s)

    def _is_of_copy(self, entry: UpstreamEntry, change: StoreChange) -> bool:
        """Return whether an entry is of an earlier start, from before a restore.

        The upstream writes its own entry again. One that has restarted with an earlier
        clock does so too, and is believed the second time.
        """
        known = self.directory.find(entry.upstream_id)
        if (
            known is None
            or change.era <= known.revision.era
            or entry.born_ms >= known.entry.born_ms
        ):
            self._copied.pop(entry.upstream_id, None)
            return False
        first = self._copied.setdefault(entry.upstream_id, change.stamp)
        if first.era < change.era:
            first = self._copied[entry.upstream_id] = change.stamp
        return change.stamp <= first

    def _apply_routing(self, change: StoreChange) -> None:
        config = self.decode_routing(change.spec) if change.spec is not None else None
        if config is None:
            self.undecodable_count += change.spec is not None
            return
        # A process never reverts to an older version, whatever the source.
        if config.version > self.version:
            self.table = RoutingTable(config)
