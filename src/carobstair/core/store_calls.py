"""Calls to the object API as effects, and their answers as events.

Each call has a number. The driver answers every call exactly once; a call that times
out is answered by `StoreOutcome.UNAVAILABLE`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

__all__ = [
    "InstanceEntry",
    "StoreAnswer",
    "StoreCall",
    "StoreCalls",
    "StoreCreate",
    "StoreGet",
    "StoreInstances",
    "StoreList",
    "StoreOutcome",
    "StoreUpdate",
    "StoredObject",
    "WatchChange",
    "WatchClose",
    "WatchEnded",
    "WatchOpen",
]


class StoreOutcome(StrEnum):
    """Result of a call.

    After `NOT_SENT` nothing was written; after `UNAVAILABLE` a write may have
    taken effect or may still do so.
    """

    OK = "ok"
    CONFLICT = "conflict"
    MISSING = "missing"
    NOT_SENT = "not-sent"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its version."""

    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An entry of the platform's instance list."""

    name: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class StoreGet:
    """Read one object."""

    call: int
    name: str


@dataclass(frozen=True, slots=True)
class StoreCreate:
    """Write an object if none of this name exists."""

    call: int
    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Replace an object if it still has this version."""

    call: int
    name: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class StoreList:
    """Read the objects with a prefix whose names sort after `after`."""

    call: int
    prefix: str
    after: str


@dataclass(frozen=True, slots=True)
class StoreInstances:
    """Read the platform's instance list."""

    call: int


@dataclass(frozen=True, slots=True)
class WatchOpen:
    """Watch the changes to objects with a prefix, made after a version."""

    watch: int
    prefix: str
    since: int


@dataclass(frozen=True, slots=True)
class WatchClose:
    """Close a watch; no events follow."""

    watch: int


StoreCall = StoreGet | StoreCreate | StoreUpdate | StoreList | StoreInstances


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Answer to a call.

    Attributes
    ----------
    version : int
        Version of the object, or of the store for a list.
    """

    call: int
    outcome: StoreOutcome
    version: int = 0
    objects: tuple[StoredObject, ...] = ()
    instances: tuple[InstanceEntry, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return self.outcome is StoreOutcome.OK


@dataclass(frozen=True, slots=True)
class WatchChange:
    """A change on a watch; an event without an object only shows that it works."""

    watch: int
    version: int
    stored: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch ended; if it `expired`, a list is needed before the next watch."""

    watch: int
    expired: bool = False


_Handler = Callable[[StoreAnswer, float], list[Any]]


class StoreCalls:
    """Numbers the calls of one process and passes each answer to its handler."""

    def __init__(self) -> None:
        self._last = 0
        self._handlers: dict[int, _Handler] = {}

    def next_number(self) -> int:
        """Return an unused number, for a call, a watch or an order."""
        self._last += 1
        return self._last

    def get(self, name: str, handler: _Handler) -> StoreGet:
        """Return the call that reads an object."""
        return StoreGet(self._register(handler), name)

    def create(self, name: str, value: bytes, handler: _Handler) -> StoreCreate:
        """Return the call that creates an object."""
        return StoreCreate(self._register(handler), name, value)

    def write(
        self, name: str, value: bytes, version: int | None, handler: _Handler
    ) -> StoreCreate | StoreUpdate:
        """Return a call that updates an object, or creates it if `version` is None."""
        if version is None:
            return self.create(name, value, handler)
        return StoreUpdate(self._register(handler), name, value, version)

    def list(self, prefix: str, after: str, handler: _Handler) -> StoreList:
        """Return the call that reads the objects with a prefix after a name."""
        return StoreList(self._register(handler), prefix, after)

    def instances(self, handler: _Handler) -> StoreInstances:
        """Return the call that reads the instance list."""
        return StoreInstances(self._register(handler))

    def answer(self, answer: StoreAnswer, now_s: float) -> list[Any]:
        """Pass an answer to its handler; an answer to an unknown call has no effect."""
        handler = self._handlers.pop(answer.call, None)
        return [] if handler is None else handler(answer, now_s)

    def _register(self, handler: _Handler) -> int:
        number = self.next_number()
        self._handlers[number] = handler
        return number
