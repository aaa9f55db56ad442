"""Actions with idempotency keys on a simulated router.

Drives the action state machines: executes their effects and feeds back the events.
"""

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

__all__ = ["ActionCall", "SimActions"]

PEER_ANSWER_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 10.0
COST_TOKENS = 2.0
# Earlier states win when peers disagree: the most definite answer comes first.
OWNER_STATE_PRECEDENCE = (
    OwnerState.DONE,
    OwnerState.LOST,
    OwnerState.RUNNING,
    OwnerState.SILENT,
    OwnerState.NOT_SENT,
    OwnerState.NONE,
)


@dataclass(slots=True, eq=False)
class ActionCall:
    """One call of an action by one caller.

    Attributes
    ----------
    record : str
        Name of the stored object that records the action.
    on_end : callable
        Called once with the outcome or the refusal, or with None if the connection
        closed.
    """

    record: str
    pool: str
    workspace: str
    deadline_s: float
    on_end: Callable[[Outcome | Refusal | None], None]
    ended: bool = False

    def end(self, result: Outcome | Refusal | None) -> None:
        """Report the result to the caller; later calls have no effect."""
        if not self.ended:
            self.ended = True
            self.on_end(result)


@dataclass(slots=True, eq=False)
class _ActionRun:
    """An action in progress.

    Attributes
    ----------
    callers : list of ActionCall
        All calls that wait for the result; they share one idempotency key.
    generation : int
        Raised by each send and each result, so that events of an earlier send are
        ignored.
    """

    call: ActionCall
    machine: ActionMachine
    callers: list[ActionCall] = field(default_factory=list)
    effects: deque = field(default_factory=deque)
    grant: HeldGrant | None = None
    result: Outcome | Refusal | None = None
    generation: int = 0


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
        self._runs: dict[str, _ActionRun] = {}
        self._store_calls: dict[int, tuple[_ActionRun, Callable]] = {}
        self._queries: dict[int, tuple[_ActionRun, _Query]] = {}
        self._last_id = 0
        self._client = StoreClient(
            router.name,
            lambda answer: router.run(lambda: self._on_store_answer(answer)),
            lambda event: None,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no action is in progress."""
        return not self._runs

    def call(self, call: ActionCall) -> None:
        """Start an action, or attach the call to one in progress with the same key."""
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
            run = self._runs[call.record] = _ActionRun(call, machine)
            run.effects.extend(machine.begin())
        run.callers.append(call)
        if run.result is not None:
            call.end(run.result)
        left_s = call.deadline_s - router.now_s
        router.world.clock.after(
            left_s, lambda: router.run(lambda: self._expire_call(run, call))
        )
        if len(run.callers) == 1:
            self._advance(run)

    def close(self) -> None:
        """Close the callers' connections, as when the process exits."""
        for run in self._runs.values():
            for call in run.callers:
                call.end(None)
        self._runs.clear()

    def on_query(self, envelope: Envelope, query: OutcomeQuery) -> None:
        """Reply to a peer's query for the outcome of an action."""
        found = self.registry.answer(query.record, query.attempt_id, self._router.now_s)
        data = encode_outcome(found.outcome)
        answer = OutcomeAnswer(query.request, query.record, str(found.state), data)
        self._router.send(envelope.sender, answer)

    def on_answer(self, envelope: Envelope, answer: OutcomeAnswer) -> None:
        """Handle a peer's answer; the last outstanding one completes the query."""
        if answer.request not in self._queries:
            return
        _, query = self._queries[answer.request]
        query.awaited.discard(envelope.sender)
        outcome = decode_outcome(answer.outcome)
        query.answers.append(ev.OwnerAnswer(OwnerState(answer.state), outcome))
        if not query.awaited:
            self._end_query(answer.request)

    # State machines

    def _expire_call(self, run: _ActionRun, call: ActionCall) -> None:
        if call.ended:
            return
        only = len(run.callers) == 1
        call.end(run.machine.deadline_refusal(only))
        run.callers.remove(call)
        if only and run.result is None:
            run.machine.abandon()

    def _handle_event(self, run: _ActionRun, event: ev.Event) -> None:
        router = self._router
        if router.is_dead:
            return
        run.effects.extend(run.machine.on(event, router.now_s, router.now_s))
        self._advance(run)

    def _advance(self, run: _ActionRun) -> None:
        while run.effects:
            if self._execute(run.effects.popleft(), run):
                return
        if run.machine.phase is Phase.ENDED:
            self._release(run)
            if self._runs.get(run.call.record) is run:
                del self._runs[run.call.record]
            self.registry.close(run.call.record, run.machine, self._router.now_s)

    @singledispatchmethod
    def _execute(self, effect, run: _ActionRun) -> bool:
        """Execute an effect; return whether the machine now waits for an event."""
        raise TypeError(f"unknown effect {effect!r}")

    @_execute.register
    def _(self, effect: ev.Finish, run: _ActionRun) -> bool:
        run.result = effect.result
        for call in run.callers:
            call.end(effect.result)
        return False

    @_execute.register
    def _(self, effect: ev.ReleaseSlot, run: _ActionRun) -> bool:
        self._release(run)
        return False

    @_execute.register
    def _(self, effect: ev.Wait, run: _ActionRun) -> bool:
        return self._schedule(
            effect.delay_s, lambda: self._handle_event(run, ev.DelayElapsed())
        )

    @_execute.register
    def _(self, effect: ev.AcquireSlot, run: _ActionRun) -> bool:
        self._last_id += 1
        call, router = run.call, self._router
        request = WaitingRequest(
            f"action-{router.name}-{router.address.incarnation}-{self._last_id}",
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

    def _on_slot(self, run: _ActionRun, result: HeldGrant | Refusal) -> None:
        if isinstance(result, Refusal):
            self._handle_event(run, ev.SlotRefused(result))
            return
        run.grant = result
        self._handle_event(run, ev.SlotGranted())

    def _release(self, run: _ActionRun) -> None:
        grant, run.grant = run.grant, None
        if grant is not None:
            router = self._router
            router.gateway.carry_out(router.node.release(grant, router.now_s))

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> bool:
        router = self._router
        router.world.clock.after(delay_s, lambda: router.run(action))
        return True

    # Upstream

    @_execute.register
    def _(self, effect: ev.SendAction, run: _ActionRun) -> bool:
        router, call = self._router, run.call
        run.generation += 1
        number, admitted = run.generation, []

        def settle(event: ev.Event) -> None:
            if run.generation == number:
                run.generation += 1
                self._handle_event(run, event)

        def on_failed() -> None:
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
            lambda: router.world.reply(router, on_failed),
            on_executed=lambda: router.world.log.note_execution(call.record),
        )
        router.world.dispatch(router, run.grant.offer.upstream, attempt)
        return self._schedule(
            SEND_TIMEOUT_S, lambda: settle(ev.AnswerLost("no answer"))
        )

    # Store

    @_execute.register
    def _(self, effect: ev.ReadRecord, run: _ActionRun) -> bool:
        return self._call_store(run, StoreGet(0, run.call.record), _read_event)

    @_execute.register
    def _(self, effect: ev.CreateRecord, run: _ActionRun) -> bool:
        data = encode_record(effect.record)
        return self._call_store(
            run, StoreCreate(0, run.call.record, data), _write_event
        )

    @_execute.register
    def _(self, effect: ev.UpdateRecord, run: _ActionRun) -> bool:
        data = encode_record(effect.record)
        call = StoreUpdate(0, run.call.record, data, effect.version)
        return self._call_store(run, call, _write_event)

    @_execute.register
    def _(self, effect: ev.DeleteRecord, run: _ActionRun) -> bool:
        call = StoreDelete(0, run.call.record, effect.version)
        return self._call_store(run, call, _write_event)

    def _call_store(self, run: _ActionRun, call, read: Callable) -> bool:
        self._last_id += 1
        self._store_calls[self._last_id] = (run, read)
        numbered = type(call)(self._last_id, *_fields_after_number(call))
        self._router.world.store.call(self._client, numbered)
        return True

    def _on_store_answer(self, answer: StoreAnswer) -> None:
        run, read = self._store_calls.pop(answer.call)
        self._handle_event(run, read(answer))

    # Other routers

    @_execute.register
    def _(self, effect: ev.QueryOwner, run: _ActionRun) -> bool:
        router = self._router
        live = set(router.control.node.live_peers())
        names = {effect.instance} if effect.instance else live
        names.discard(router.name)
        self._last_id += 1
        number = self._last_id
        self._queries[number] = (run, _Query(set(names)))
        query = OutcomeQuery(number, run.call.record, effect.attempt_id)
        for name in sorted(names):
            router.send(name, query)
        wait_s = PEER_ANSWER_TIMEOUT_S if names else 0.0
        return self._schedule(wait_s, lambda: self._end_query(number))

    def _end_query(self, number: int) -> None:
        if number not in self._queries:
            return
        run, query = self._queries.pop(number)
        answers = query.answers
        answers += [ev.OwnerAnswer(OwnerState.SILENT) for _ in query.awaited]
        no_record = ev.OwnerAnswer(OwnerState.NONE)
        best = min(
            answers,
            key=lambda a: OWNER_STATE_PRECEDENCE.index(a.state),
            default=no_record,
        )
        self._handle_event(run, best)


def _read_event(answer: StoreAnswer) -> ev.Event:
    if answer.ok:
        stored = answer.objects[0]
        return ev.RecordFound(decode_record(stored.value), stored.version)
    if answer.outcome is StoreOutcome.MISSING:
        return ev.RecordMissing()
    return ev.StoreNoAnswer()


def _write_event(answer: StoreAnswer) -> ev.Event:
    if answer.ok:
        return ev.WriteAccepted(answer.version)
    if answer.outcome in (StoreOutcome.CONFLICT, StoreOutcome.MISSING):
        return ev.WriteConflict()
    return ev.StoreNoAnswer()


def _fields_after_number(call) -> tuple:
    return tuple(getattr(call, name) for name in call.__dataclass_fields__)[1:]
