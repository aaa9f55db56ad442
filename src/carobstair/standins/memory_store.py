"""In-memory object API for simulations of agent nodes on virtual time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import singledispatchmethod

from carobstair.core.store_calls import (
    InstanceEntry,
    StoreAnswer,
    StoreCreate,
    StoredObject,
    StoreGet,
    StoreInstances,
    StoreList,
    StoreOutcome,
    StoreUpdate,
)

__all__ = ["MemoryStore"]


@dataclass
class MemoryStore:
    """Versioned objects, with faults that tests enable.

    Attributes
    ----------
    down : bool
        Every call fails without effect.
    lose_answers : int
        Number of further writes that take effect but are answered as unavailable.
    reads_from : int or None
        Reads return the objects as of this version, as from a stale replica.
    """

    version: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    history: list[StoredObject] = field(default_factory=list)
    instances: tuple[InstanceEntry, ...] = ()
    calls: Counter = field(default_factory=Counter)
    down: bool = False
    lose_answers: int = 0
    reads_from: int | None = None

    def answer(self, call) -> StoreAnswer:
        """Carry out a call and return its answer."""
        self.calls[type(call).__name__] += 1
        if self.down:
            return StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
        return self._answer(call)

    @singledispatchmethod
    def _answer(self, call) -> StoreAnswer:
        raise TypeError(f"unknown call {call!r}")

    @_answer.register
    def _(self, call: StoreGet) -> StoreAnswer:
        found = self._visible_objects().get(call.name)
        if found is None:
            return StoreAnswer(call.call, StoreOutcome.MISSING)
        return StoreAnswer(call.call, StoreOutcome.OK, found.version, (found,))

    @_answer.register
    def _(self, call: StoreList) -> StoreAnswer:
        found = tuple(
            stored
            for name, stored in sorted(self._visible_objects().items())
            if name.startswith(call.prefix) and name > call.after
        )
        version = self.version if self.reads_from is None else self.reads_from
        return StoreAnswer(call.call, StoreOutcome.OK, version, found)

    @_answer.register
    def _(self, call: StoreInstances) -> StoreAnswer:
        return StoreAnswer(call.call, StoreOutcome.OK, instances=self.instances)

    @_answer.register
    def _(self, call: StoreCreate) -> StoreAnswer:
        if call.name in self.objects:
            return StoreAnswer(call.call, StoreOutcome.CONFLICT)
        return self._write(call)

    @_answer.register
    def _(self, call: StoreUpdate) -> StoreAnswer:
        found = self.objects.get(call.name)
        if found is None or found.version != call.version:
            return StoreAnswer(call.call, StoreOutcome.CONFLICT)
        return self._write(call)

    def _write(self, call: StoreCreate | StoreUpdate) -> StoreAnswer:
        self.version += 1
        stored = StoredObject(call.name, self.version, call.value)
        self.objects[call.name] = stored
        self.history.append(stored)
        if self.lose_answers:
            self.lose_answers -= 1
            return StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
        return StoreAnswer(call.call, StoreOutcome.OK, self.version)

    def _visible_objects(self) -> dict[str, StoredObject]:
        if self.reads_from is None:
            return self.objects
        return {s.name: s for s in self.history if s.version <= self.reads_from}
