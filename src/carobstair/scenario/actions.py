"""Keyed actions of a simulated router: drives its action machines."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from carobstair.core import action_events as ev
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import (
    LocalAttempts,
    Outcome,
    OwnerState,
    decode_outcome,
    decode_record,
    encode_outcome,
    encode_record,
)
from carobstair.core.action_registry import ActionRegistry, ActionRegistryLimits
from carobstair.core.actions import ActionMachine
from carobstair.core.grants import HeldGrant
from carobstair.core.messages import Envelope, OutcomeAnswer, OutcomeQuery
from carobstair.core.queueing import WaitingRequest, WorkClass
from carobstair.core.refusals import Refusal
from carobstair.core.store_calls import (
    StoreAnswer,
    StoreCreate,
    StoreGet,
    StoreOutcome,
    StoreUpdate,
)
from carobstair.scenario.engine import Attempt
from carobstair.scenario.store import StoreClient, StoreDelete

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter

__all__ = ["KeyedCall", "SimActions"]

PEER_ANSWER_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 10.0
COST_TOKENS = 2.0
# Where peers differ, the one that knows most is right.
OWNER_STATE_PRECEDENCE = (
    OwnerState.DONE,
    OwnerState.LOST,
    OwnerState.RUNNING,
    OwnerState.SILENT,
    OwnerState.NOT_SENT,
    OwnerState.NONE,
)


@dataclass(slots=True, eq=False)
class KeyedCall:
    """One call of an action by its caller.

    Attributes
    ----------
    on_end : callable
        Receives an outcome or a refusal, once, or None for a closed connection.
    """

    record: str
    pool: str
    workspace: str
    deadline_s: float
    on_end: Callable[[Outcome | Refusal | None], None]
    ended: bool = False

    def end(self, result: Outcome | Refusal | None) -> None:
        """Tell the caller the result, once."""
        if not self.ended:
            self.ended = True
            self.on_end(result)


@dataclass(slots=True, eq=False)
class _Run:
    call: KeyedCall
    machine: ActionMachine
    callers: list[KeyedCall] = field(default_factory=list)
    effects: deque = field(default_factory=deque)
    grant: HeldGrant | None = None
    result: Outcome | Refusal | None = None
    sends: int = 0


@dataclass(slots=True, eq=False)
class _Query:
    awaited: set[str]
    answers: list[ev.OwnerAnswer] = field(default_factory=list)


class SimActions:
    """The actions of one router process.

    Parameters
    ----------
    router : SimRouter
    """

    def __init__(self, router: SimRouter):
        self._router = router
        own = (router.address.instance, router.address.incarnation)
        generator = random.Random(f"{router.world.scenario.seed}/{own}/actions")
        attempts = LocalAttempts(own, generator)
        self.registry = ActionRegistry(
            attempts, ActionSettings(), ActionRegistryLimits()
        )
        self._runs: dict[str, _Run] = {}
        self._store_calls: dict[int, tuple[_Run, Callable]] = {}
        self._queries: dict[int, tuple[_Run, _Query]] = {}
        self._last = 0
        self._client = StoreClient(
            router.name,
            lambda answer: router.run(lambda: self._on_store_answer(answer)),
            lambda event: None,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no action is at work."""
        return not self._runs

    def call(self, call: KeyedCall) -> None:
        """Take in a caller's action."""
        router = self._router
        try:
            known = self.registry.cached_outcome(call.record, "", router.now_s)
            if known is not None:
                call.end(known)
                return
            machine = self.registry.join(call.record, "", call.deadline_s)
        except Refusal as refusal:
            call.end(refusal)
            return
        run = self._runs.get(call.record)
        if run is None or run.machine is not machine:
            run = self._runs[call.record] = _Run(call, machine)
            run.effects.extend(machine.begin())
        run.callers.append(call)
        if run.result is not None:
            call.end(run.result)
        left_s = call.deadline_s - router.now_s
        router.world.clock.after(
            left_s, lambda: router.run(lambda: self._time_out(run, call))
        )
        if len(run.callers) == 1:
            self._advance(run)

    def close(self) -> None:
        """Close the callers' connections, as the end of the process does."""
        for run in self._runs.values():
            for call in run.callers:
                call.end(None)
        self._runs.clear()

    def on_query(self, envelope: Envelope, query: OutcomeQuery) -> None:
        """Answer a peer that asks for an action's outcome."""
        found = self.registry.answer(query.record, query.attempt_id, self._router.now_s)
        data = encode_outcome(found.outcome)
        answer = OutcomeAnswer(query.request, query.record, str(found.state), data)
        self._router.send(envelope.sender, answer)

    def on_answer(self, envelope: Envelope, answer: OutcomeAnswer) -> None:
        """Take in a peer's answer; the last one awaited ends the question."""
        if answer.request not in self._queries:
            return
        _, query = self._queries[answer.request]
        query.awaited.discard(envelope.sender)
        outcome = decode_outcome(answer.outcome)
        query.answers.append(ev.OwnerAnswer(OwnerState(answer.state), outcome))
        if not query.awaited:
            self._end_query(answer.request)

    # Machines

    def _time_out(self, run: _Run, call: KeyedCall) -> None:
        if call.ended:
            return
        only = len(run.callers) == 1
        call.end(run.machine.deadline_refusal(only))
        run.callers.remove(call)
        if only and run.result is None:
            run.machine.abandon()

    def _on(self, run: _Run, event: ev.Event) -> None:
        router = self._router
        if router.is_dead:
            return
        run.effects.extend(run.machine.on(event, router.now_s, router.now_s))
        self._advance(run)

    def _advance(self, run: _Run) -> None:
        while run.effects:
            if self._do(run.effects.popleft(), run):
                return
        if run.machine.phase is Phase.ENDED:
            self._release(run)
            if self._runs.get(run.call.record) is run:
                del self._runs[run.call.record]
            self.registry.close(run.call.record, run.machine, self._router.now_s)

    @singledispatchmethod
    def _do(self, effect, run: _Run) -> bool:
        """Carry out an effect; return whether the machine waits for its event."""
        raise TypeError(f"unknown effect {effect!r}")

    @_do.register
    def _(self, effect: ev.Finish, run: _Run) -> bool:
        run.result = effect.result
        for call in run.callers:
            call.end(effect.result)
        return False

    @_do.register
    def _(self, effect: ev.ReleaseSlot, run: _Run) -> bool:
        self._release(run)
        return False

    @_do.register
    def _(self, effect: ev.Wait, run: _Run) -> bool:
        return self._later(effect.delay_s, lambda: self._on(run, ev.DelayElapsed()))

    @_do.register
    def _(self, effect: ev.AcquireSlot, run: _Run) -> bool:
        self._last += 1
        call, router = run.call, self._router
        request = WaitingRequest(
            f"action-{router.name}-{router.address.incarnation}-{self._last}",
            call.pool,
            call.workspace,
            WorkClass.QUICK,
            COST_TOKENS,
            0,
            0,
            router.now_s,
            run.machine.deadline_s,
        )
        router.gateway.acquire(request, lambda got: self._on_slot(run, got))
        return True

    def _on_slot(self, run: _Run, got: HeldGrant | Refusal) -> None:
        if isinstance(got, Refusal):
            self._on(run, ev.SlotRefused(got))
            return
        run.grant = got
        self._on(run, ev.SlotGranted())

    def _release(self, run: _Run) -> None:
        grant, run.grant = run.grant, None
        if grant is not None:
            router = self._router
            router.gateway.carry_out(router.node.release(grant, router.now_s))

    def _later(self, delay_s: float, action: Callable[[], None]) -> bool:
        router = self._router
        router.world.clock.after(delay_s, lambda: router.run(action))
        return True

    # Upstream

    @_do.register
    def _(self, effect: ev.SendAction, run: _Run) -> bool:
        router, call = self._router, run.call
        run.sends += 1
        number, admitted = run.sends, []

        def settle(event: ev.Event) -> None:
            if run.sends == number:
                run.sends += 1
                self._on(run, event)

        def broken() -> None:
            if admitted:
                settle(ev.AnswerLost("the upstream closed the connection"))
            else:
                settle(ev.NotRun("connection refused"))

        outcome = Outcome(200, [], effect.send_id.encode())
        attempt = Attempt(
            effect.send_id,
            router.name,
            call.pool,
            call.workspace,
            1,
            1,
            0,
            (),
            lambda: admitted.append(True),
            lambda token, cached: router.world.reply(
                router, lambda: settle(ev.Answered(outcome))
            ),
            lambda: router.world.reply(router, broken),
            on_run=lambda: router.world.log.note_run(call.record),
        )
        router.world.dispatch(router, run.grant.offer.upstream, attempt)
        return self._later(SEND_TIMEOUT_S, lambda: settle(ev.AnswerLost("silence")))

    # Store

    @_do.register
    def _(self, effect: ev.ReadRecord, run: _Run) -> bool:
        return self._call_store(run, StoreGet(0, run.call.record), _read)

    @_do.register
    def _(self, effect: ev.CreateRecord, run: _Run) -> bool:
        data = encode_record(effect.record)
        return self._call_store(run, StoreCreate(0, run.call.record, data), _written)

    @_do.register
    def _(self, effect: ev.UpdateRecord, run: _Run) -> bool:
        data = encode_record(effect.record)
        call = StoreUpdate(0, run.call.record, data, effect.version)
        return self._call_store(run, call, _written)

    @_do.register
    def _(self, effect: ev.DeleteRecord, run: _Run) -> bool:
        call = StoreDelete(0, run.call.record, effect.version)
        return self._call_store(run, call, _written)

    def _call_store(self, run: _Run, call, read: Callable) -> bool:
        self._last += 1
        self._store_calls[self._last] = (run, read)
        numbered = type(call)(self._last, *_rest(call))
        self._router.world.store.call(self._client, numbered)
        return True

    def _on_store_answer(self, answer: StoreAnswer) -> None:
        run, read = self._store_calls.pop(answer.call)
        self._on(run, read(answer))

    # Other routers

    @_do.register
    def _(self, effect: ev.QueryOwner, run: _Run) -> bool:
        router = self._router
        live = set(router.control.node.live_peers())
        names = {effect.instance} if effect.instance else live
        names.discard(router.name)
        self._last += 1
        number = self._last
        self._queries[number] = (run, _Query(set(names)))
        query = OutcomeQuery(number, run.call.record, effect.attempt_id)
        for name in sorted(names):
            router.send(name, query)
        wait_s = PEER_ANSWER_TIMEOUT_S if names else 0.0
        return self._later(wait_s, lambda: self._end_query(number))

    def _end_query(self, number: int) -> None:
        if number not in self._queries:
            return
        run, query = self._queries.pop(number)
        answers = query.answers
        answers += [ev.OwnerAnswer(OwnerState.SILENT) for _ in query.awaited]
        nothing = ev.OwnerAnswer(OwnerState.NONE)
        best = min(
            answers,
            key=lambda a: OWNER_STATE_PRECEDENCE.index(a.state),
            default=nothing,
        )
        self._on(run, best)


def _read(answer: StoreAnswer) -> ev.Event:
    if answer.ok:
        stored = answer.objects[0]
        return ev.RecordFound(decode_record(stored.value), stored.version)
    if answer.outcome is StoreOutcome.MISSING:
        return ev.RecordMissing()
    return ev.StoreNoAnswer()


def _written(answer: StoreAnswer) -> ev.Event:
    if answer.ok:
        return ev.WriteAccepted(answer.version)
    if answer.outcome in (StoreOutcome.CONFLICT, StoreOutcome.MISSING):
        return ev.WriteConflict()
    return ev.StoreNoAnswer()


def _rest(call) -> tuple:
    return tuple(getattr(call, name) for name in call.__dataclass_fields__)[1:]
