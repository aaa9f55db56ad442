"""The store as the router needs it, whatever platform provides it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from carobstair.core.fleet_view import StateKind, StoreChange

__all__ = [
    "HistoryLost",
    "Listing",
    "StateStore",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
]


class StoreError(Exception):
    """A call to the store that did not succeed."""


class StoreUnavailable(StoreError):
    """No answer, or a refusal to serve; a write may have taken effect."""


class StoreConflict(StoreError):
    """The object has another revision, exists already, or is missing."""


class HistoryLost(StoreError):
    """Changes since that revision are no longer known; list again."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes with the store's revision at which they were read."""

    changes: Sequence[StoreChange]
    revision: int


class StateStore(Protocol):
    """Lists, watches and writes of the kinds that routers use."""

    async def list(self, kind: StateKind) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: StateKind, revision: int, wait_s: float) -> Listing:
        """Return the changes after a revision, after a wait if there are none.

        Raises
        ------
        HistoryLost, StoreUnavailable
        """

    async def put(self, kind: StateKind, name: str, spec: object) -> None:
        """Create or replace an object of the router's own."""

    async def delete(self, kind: StateKind, name: str) -> None:
        """Remove an object of the router's own."""

    async def close(self) -> None:
        """Close all connections."""
