"""Interface to the state store, independent of the platform that provides it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from carobstair.core.fleet_view import StateKind, StoreChange

__all__ = [
    "RevisionExpired",
    "Listing",
    "StateStore",
    "StoreConflict",
    "StoreCut",
    "StoreError",
    "StoreTimedOut",
    "StoreUnavailable",
]


class StoreError(Exception):
    """A call to the store failed."""


class StoreUnavailable(StoreError):
    """The store did not respond or refused to serve; a write may have succeeded."""


class StoreCut(StoreUnavailable):
    """The connection of a call ended before its answer."""


class StoreTimedOut(StoreUnavailable):
    """The store did not respond in time."""


class StoreConflict(StoreError):
    """The object has another revision, already exists, or does not exist.

    Attributes
    ----------
    current : StoreChange or None
        The object as the store has it, if it said so.
    """

    def __init__(self, message: str, current: StoreChange | None = None):
        super().__init__(message)
        self.current = current


class RevisionExpired(StoreError):
    """Changes since the given revision are no longer available; list again.

    Also raised if the store was restored from a copy since that revision.
    """


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes, with the store's revision and era when they were read."""

    changes: Sequence[StoreChange]
    revision: int
    era: int = 0


class StateStore(Protocol):
    """Client for the kinds of objects that routers read and write."""

    async def list(self, kind: StateKind) -> Listing:
        """Return all objects of a kind."""

    async def watch(
        self, kind: StateKind, revision: int, wait_s: float, era: int = 0
    ) -> Listing:
        """Return the changes after a revision; wait for one if there are none.

        Parameters
        ----------
        wait_s : float
            Maximum time to wait for a change.
        era : int
            Era of the revision.

        Raises
        ------
        RevisionExpired, StoreUnavailable
        """

    async def put(self, kind: StateKind, name: str, spec: object) -> None:
        """Create or replace an object that belongs to this router."""

    async def put_status(
        self, kind: StateKind, name: str, status: object, revision: int
    ) -> StoreChange | None:
        """Write the status of an object, if it still has the revision.

        Returns
        -------
        StoreChange or None
            The object after the write, if the store returned it.

        Raises
        ------
        StoreConflict
            If the object has another revision or does not exist.
        StoreUnavailable
            The write may have succeeded.
        """

    async def delete(self, kind: StateKind, name: str) -> None:
        """Delete an object that belongs to this router."""

    async def close(self) -> None:
        """Close all connections."""
