"""Calls to the object API as effects, and their answers as events.

Each call carries a number. The driver answers every call exactly once; a call
without an answer in time counts as `StoreOutcome.UNAVAILABLE`.
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
    """How a call ended.

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
    """Write an object if there is none of this name."""

    call: int
    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Write an object if it still has this version."""

    call: int
    name: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class StoreList:
    """Read the objects of a prefix whose names follow `after`."""

    call: int
    prefix: str
    after: str


@dataclass(frozen=True, slots=True)
class StoreInstances:
    """Read the platform's instance list."""

    call: int


@dataclass(frozen=True, slots=True)
class WatchOpen:
    """Follow the changes of a prefix after a version."""

    watch: int
    prefix: str
    since: int


@dataclass(frozen=True, slots=True)
class WatchClose:
    """End a watch; it reports nothing from then on."""

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
    """A change on a watch; without an object it only shows that the watch works."""

    watch: int
    version: int
    stored: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch broke off, or expired so that a list has to come first."""

    watch: int
    expired: bool = False


_Handler = Callable[[StoreAnswer, float], list[Any]]


class StoreCalls:
    """Numbers the calls of one process and finds the handler of each answer."""

    def __init__(self) -> None:
        self._last = 0
        self._handlers: dict[int, _Handler] = {}

    def next_number(self) -> int:
        """Return a number for a watch or another call."""
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
        """Return the conditional write; without a version it creates."""
        if version is None:
            return self.create(name, value, handler)
        return StoreUpdate(self._register(handler), name, value, version)

    def list(self, prefix: str, after: str, handler: _Handler) -> StoreList:
        """Return the call that reads the objects of a prefix."""
        return StoreList(self._register(handler), prefix, after)

    def instances(self, handler: _Handler) -> StoreInstances:
        """Return the call that reads the instance list."""
        return StoreInstances(self._register(handler))

    def answer(self, answer: StoreAnswer, now_s: float) -> list[Any]:
        """Return the effects of an answer; an unknown call has none."""
        handler = self._handlers.pop(answer.call, None)
        return [] if handler is None else handler(answer, now_s)

    def _register(self, handler: _Handler) -> int:
        number = self.next_number()
        self._handlers[number] = handler
        return number
