"""Up to which stamp a router has read each kind of state without a gap."""

from __future__ import annotations

from dataclasses import dataclass, field

from carobstair.core.fleet_view import StateKind
from carobstair.core.store_stamp import Stamp

__all__ = ["ReadStamps"]


@dataclass(slots=True)
class _Reading:
    read: Stamp
    changed: Stamp
    floor: Stamp


@dataclass(slots=True)
class ReadStamps:
    """Stamps up to which every change of a kind is known.

    The newest change that a router knows says nothing of earlier ones: it may have
    come from a peer, or by a write of its own. A reading therefore moves only by a
    list, by the changes of a watch, or by a peer's statement of all changes since a
    stamp that this router has reached.
    """

    _kinds: dict[StateKind, _Reading] = field(default_factory=dict)

    def read(self, kind: StateKind) -> Stamp | None:
        """Return the stamp up to which a kind is known; None before its first list."""
        reading = self._kinds.get(kind)
        return None if reading is None else reading.read

    def changed(self, kind: StateKind) -> Stamp:
        """Return the stamp below which a router may have missed a change.

        After a list this is its own stamp, since a list does not show when the objects
        that it lacks were removed.
        """
        reading = self._kinds.get(kind)
        return Stamp(0, 0) if reading is None else reading.changed

    def floor(self, kind: StateKind) -> Stamp | None:
        """Return the stamp since which all removals of a kind are known."""
        reading = self._kinds.get(kind)
        return None if reading is None else reading.floor

    def forget(self, kind: StateKind) -> None:
        """Require a new list of a kind."""
        self._kinds.pop(kind, None)

    def note_list(self, kind: StateKind, stamp: Stamp) -> None:
        """Record a complete list of a kind as of a stamp."""
        self._kinds[kind] = _Reading(stamp, stamp, stamp)

    def note_changes(
        self, kind: StateKind, since: Stamp, through: Stamp, has_changes: bool
    ) -> bool:
        """Record that all changes between two stamps are known.

        Returns
        -------
        bool
            False if the kind was not read up to the first of the stamps, so that
            changes before it may be missing.
        """
        reading = self._kinds.get(kind)
        if reading is None or since > reading.read:
            return False
        if through > reading.read:
            reading.read = through
            if has_changes:
                reading.changed = through
        return True
