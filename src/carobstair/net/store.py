"""Executes object API calls and watches for the agent node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Result, Success

from carobstair.core.store_calls import (
    InstanceEntry,
    StoreAnswer,
    StoreCall,
    StoreCreate,
    StoredObject,
    StoreGet,
    StoreInstances,
    StoreList,
    StoreOutcome,
    StoreUpdate,
    WatchChange,
    WatchClose,
    WatchEnded,
    WatchOpen,
)
from carobstair.logs import get_logger
from carobstair.platform import (
    ApiObject,
    Conflict,
    Missing,
    NotSent,
    ObjectApi,
    StoreError,
    WatchEvent,
    WatchExpired,
)

__all__ = ["StoreDriver"]

logger = get_logger(__name__)


class StoreDriver:
    """Runs each call and each watch as a task and passes the results to callbacks.

    Parameters
    ----------
    store : ObjectApi
    on_answer : callable
        Called with each `StoreAnswer`.
    on_watch : callable
        Called with each `WatchChange` and `WatchEnded`.
    """

    def __init__(
        self,
        store: ObjectApi,
        on_answer: Callable[[StoreAnswer], None],
        on_watch: Callable[[WatchChange | WatchEnded], None],
    ):
        self._store = store
        self._on_answer = on_answer
        self._on_watch = on_watch
        self._tasks: set[asyncio.Task] = set()
        self._watches: dict[int, asyncio.Task] = {}

    def carry_out(self, effect: StoreCall | WatchOpen | WatchClose) -> None:
        """Start a call or a watch, or end a watch."""
        if isinstance(effect, WatchClose):
            task = self._watches.pop(effect.watch, None)
            if task is not None:
                task.cancel()
        elif isinstance(effect, WatchOpen):
            self._watches[effect.watch] = self._start(self._run_watch(effect))
        else:
            self._start(self._run(effect))

    def close(self) -> None:
        """Cancel all running calls and watches."""
        for task in self._tasks:
            task.cancel()

    def _start(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, call: StoreCall) -> None:
        try:
            answer = await self._call(call)
        except Exception:
            # Without an answer the node would wait for this call forever.
            logger.exception("store_call_failed")
            answer = StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
        self._on_answer(answer)

    @singledispatchmethod
    async def _call(self, call) -> StoreAnswer:
        raise TypeError(f"unknown call {call!r}")

    @_call.register
    async def _(self, call: StoreGet) -> StoreAnswer:
        return _object_answer(call.call, await self._store.get(call.name))

    @_call.register
    async def _(self, call: StoreCreate) -> StoreAnswer:
        return _object_answer(
            call.call, await self._store.create(call.name, call.value)
        )

    @_call.register
    async def _(self, call: StoreUpdate) -> StoreAnswer:
        result = await self._store.update(call.name, call.value, call.version)
        return _object_answer(call.call, result)

    @_call.register
    async def _(self, call: StoreList) -> StoreAnswer:
        result = await self._store.list(call.prefix, call.after)
        if not isinstance(result, Success):
            return _failure_answer(call.call, result.failure())
        version, found = result.unwrap()
        objects = tuple(_to_stored_object(stored) for stored in found)
        return StoreAnswer(call.call, StoreOutcome.OK, version, objects)

    @_call.register
    async def _(self, call: StoreInstances) -> StoreAnswer:
        result = await self._store.instances()
        if not isinstance(result, Success):
            return _failure_answer(call.call, result.failure())
        entries = tuple(
            InstanceEntry(i.name, i.state == "leaving") for i in result.unwrap()
        )
        return StoreAnswer(call.call, StoreOutcome.OK, instances=entries)

    async def _run_watch(self, watch: WatchOpen) -> None:
        expired = False
        try:
            async for event in self._store.watch(watch.prefix, watch.since):
                self._on_watch(_to_watch_change(watch.watch, event))
        except WatchExpired:
            expired = True
        except StoreError as error:
            logger.info("watch_ended", prefix=watch.prefix, error=repr(error))
        except Exception:
            logger.exception("watch_failed", prefix=watch.prefix)
        self._watches.pop(watch.watch, None)
        self._on_watch(WatchEnded(watch.watch, expired))


def _to_watch_change(watch: int, event: WatchEvent) -> WatchChange:
    is_deleted = event.stored is None or event.deleted
    return WatchChange(
        watch, event.version, None if is_deleted else _to_stored_object(event.stored)
    )


def _to_stored_object(stored: ApiObject) -> StoredObject:
    return StoredObject(stored.name, stored.version, stored.value)


def _object_answer(call: int, result: Result) -> StoreAnswer:
    if not isinstance(result, Success):
        return _failure_answer(call, result.failure())
    stored = result.unwrap()
    return StoreAnswer(
        call, StoreOutcome.OK, stored.version, (_to_stored_object(stored),)
    )


def _failure_answer(call: int, error: StoreError) -> StoreAnswer:
    for kind, outcome in (
        (Conflict, StoreOutcome.CONFLICT),
        (Missing, StoreOutcome.MISSING),
        (NotSent, StoreOutcome.NOT_SENT),
    ):
        if isinstance(error, kind):
            return StoreAnswer(call, outcome)
    return StoreAnswer(call, StoreOutcome.UNAVAILABLE)
