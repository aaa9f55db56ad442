"""Driver of keyed actions: executes the effects of their state machines."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Protocol

from returns.result import Failure, Result, Success

from carobstair import clock
from carobstair.core.action_events import (
    AcquireSlot,
    Answered,
    AnswerLost,
    CreateRecord,
    DelayElapsed,
    DeleteRecord,
    Effect,
    Event,
    Finish,
    NotRun,
    OwnerAnswer,
    QueryOwner,
    ReadRecord,
    RecordFound,
    RecordMissing,
    ReleaseSlot,
    SendAction,
    SlotGranted,
    SlotRefused,
    StoreNoAnswer,
    UpdateRecord,
    Wait,
    WriteAccepted,
    WriteConflict,
)
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import (
    LocalAttempts,
    Outcome,
    OwnerState,
    RecordError,
    body_hash,
    decode_outcome,
    decode_record,
    encode_outcome,
    encode_record,
    record_name,
)
from carobstair.core.action_registry import ActionRegistry, ActionRegistryLimits
from carobstair.core.actions import ActionMachine
from carobstair.core.grants import HeldGrant
from carobstair.core.messages import (
    Envelope,
    OutcomeAnswer,
    OutcomeQuery,
    PeerAddress,
)
from carobstair.core.refusals import Refusal, refuse
from carobstair.logs import get_logger
from carobstair.net.events import NotSent, UpstreamError, UpstreamRefused
from carobstair.net.peers import PeerTransport
from carobstair.net.services import ServiceCall
from carobstair.net.upstream import ServiceAnswer
from carobstair.platform import Conflict, Missing, ObjectApi

__all__ = ["ActionDriver"]

logger = get_logger(__name__)

PEER_ANSWER_TIMEOUT_S = 0.5
# How long the router waits for an upstream's answer after sending an action, even if
# all its callers have disconnected.
ACTION_ANSWER_TIMEOUT_S = 60.0
# Part of the deadline reserved for reading the record after the wait for a slot ends,
# to verify that the action did not run.
RECORD_CHECK_RESERVE_S = 0.25
# If peers report different states, the first of them in this order is used: it is the
# most definite one.
OWNER_STATE_PRECEDENCE = (
    OwnerState.DONE,
    OwnerState.LOST,
    OwnerState.RUNNING,
    OwnerState.SILENT,
    OwnerState.NOT_SENT,
    OwnerState.NONE,
)


class Sender(Protocol):
    """Acquires slots on upstreams and sends calls on them."""

    async def acquire(self, call: ServiceCall) -> HeldGrant:
        """Wait for a slot."""

    async def send(
        self, call: ServiceCall, grant: HeldGrant, send_id: str, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call on a slot, without retries."""

    def may_retry(self, call: ServiceCall, upstream: str, error: UpstreamError) -> bool:
        """Return whether the retry budgets and the deadline allow another send."""

    def note_request(self, call: ServiceCall) -> None:
        """Count a caller's request towards the retry budgets."""

    def release(self, grant: HeldGrant) -> None:
        """Release a slot."""


@dataclass(eq=False)
class _Run:
    """A running action state machine and the callers waiting for its result."""

    record: str
    call: ServiceCall
    machine: ActionMachine
    result: asyncio.Future[Outcome | Refusal]
    callers: int = 0
    grant: HeldGrant | None = None
    acquire_task: asyncio.Task | None = None
    excluded: set[str] = field(default_factory=set)


@dataclass(eq=False)
class _Query:
    """A pending outcome query to other routers and the answers received so far."""

    awaited_peers: set[str]
    done: asyncio.Event
    answers: list[OwnerAnswer] = field(default_factory=list)


class ActionDriver:
    """Runs each keyed action at most once and gives its outcome to every caller.

    Parameters
    ----------
    own : PeerAddress
    store : ObjectApi
    peers : PeerTransport
    sender : Sender
    live_peers : callable
        Returns the names of the routers believed to be alive.
    generator : random.Random
    """

    def __init__(
        self,
        own: PeerAddress,
        store: ObjectApi,
        peers: PeerTransport,
        sender: Sender,
        live_peers: Callable[[], set[str]],
        generator: random.Random,
    ):
        self._store = store
        self._peers = peers
        self._sender = sender
        self._live_peers = live_peers
        attempts = LocalAttempts((own.instance, own.incarnation), generator)
        self.registry = ActionRegistry(
            attempts, ActionSettings(), ActionRegistryLimits()
        )
        self._runs: dict[str, _Run] = {}
        self._unfinished: set[_Run] = set()
        self._tasks: set[asyncio.Task] = set()
        self._queries: dict[int, _Query] = {}
        self._last_query = 0
        peers.subscribe(OutcomeQuery, self._on_query)
        peers.subscribe(OutcomeAnswer, self._on_answer)

    @property
    def unfinished(self) -> int:
        """Number of actions whose outcome is not yet known or not yet stored."""
        return len(self._unfinished)

    async def call(self, call: ServiceCall) -> Outcome:
        """Return the outcome of a keyed action, run by this or another router.

        Raises
        ------
        Refusal
        """
        workspace = call.context.workspace.name
        record = record_name(workspace, call.key)
        digest = body_hash(call.service, call.method, call.path, call.body)
        known = self.registry.cached_outcome(record, digest, clock.now_s())
        if known is not None:
            return known
        machine = self.registry.join(record, digest, call.context.deadline_s)
        run = self._runs.get(record)
        if run is None or run.machine is not machine:
            run = self._start(record, call, machine)
        run.callers += 1
        try:
            async with asyncio.timeout(call.context.deadline_s - clock.now_s()):
                result = await asyncio.shield(run.result)
        except TimeoutError:
            raise machine.deadline_refusal(run.callers == 1) from None
        finally:
            run.callers -= 1
            if not run.callers and not run.result.done():
                self._abandon(run)
        if isinstance(result, Refusal):
            raise refuse(result.kind.name, result.detail, result.retry_after_s)
        return result

    def _start(self, record: str, call: ServiceCall, machine: ActionMachine) -> _Run:
        result = asyncio.get_running_loop().create_future()
        run = _Run(record, call, machine, result)
        self._runs[record] = run
        self._unfinished.add(run)
        self._sender.note_request(call)
        # The task is independent of any caller, so that a caller that disconnects
        # does not cancel an action that was already sent.
        task = asyncio.create_task(self._run(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return run

    def _abandon(self, run: _Run) -> None:
        run.machine.abandon()
        if run.machine.phase is Phase.WAITING and run.acquire_task is not None:
            run.acquire_task.cancel()

    async def _run(self, run: _Run) -> None:
        effects = deque(run.machine.begin())
        try:
            while effects:
                event = await self._execute_effect(effects.popleft(), run)
                if event is not None:
                    now_s, unix_s = clock.now_s(), time.time()
                    effects.extend(run.machine.on(event, now_s, unix_s))
        except Exception:
            logger.exception("action_failed", record=run.record)
        finally:
            self._release(run)
            if not run.result.done():
                run.result.set_result(refuse("internal-error"))
            self._unfinished.discard(run)
            if self._runs.get(run.record) is run:
                del self._runs[run.record]
            self.registry.close(run.record, run.machine, clock.now_s())

    @singledispatchmethod
    async def _execute_effect(self, effect: Effect, run: _Run) -> Event | None:
        raise TypeError(f"unknown effect {effect!r}")

    @_execute_effect.register
    async def _(self, effect: Finish, run: _Run) -> None:
        if not run.result.done():
            run.result.set_result(effect.result)

    @_execute_effect.register
    async def _(self, effect: Wait, run: _Run) -> Event:
        await asyncio.sleep(effect.delay_s)
        return DelayElapsed()

    # Store

    @_execute_effect.register
    async def _(self, effect: ReadRecord, run: _Run) -> Event:
        match await self._store.get(run.record):
            case Success(stored):
                return RecordFound(decode_record(stored.value), stored.version)
            case Failure(Missing()):
                return RecordMissing()
        return StoreNoAnswer()

    @_execute_effect.register
    async def _(self, effect: CreateRecord, run: _Run) -> Event:
        data = encode_record(effect.record)
        return _write_event(await self._store.create(run.record, data))

    @_execute_effect.register
    async def _(self, effect: UpdateRecord, run: _Run) -> Event:
        data = encode_record(effect.record)
        return _write_event(await self._store.update(run.record, data, effect.version))

    @_execute_effect.register
    async def _(self, effect: DeleteRecord, run: _Run) -> Event:
        match await self._store.delete(run.record, effect.version):
            case Success(_):
                return WriteAccepted(0)
            case Failure(Conflict() | Missing()):
                return WriteConflict()
        return StoreNoAnswer()

    # Upstream

    @_execute_effect.register
    async def _(self, effect: AcquireSlot, run: _Run) -> Event:
        limit_s = run.machine.deadline_s - RECORD_CHECK_RESERVE_S
        call = run.call.excluding(run.excluded).waiting_until(limit_s)
        run.acquire_task = asyncio.create_task(self._sender.acquire(call))
        try:
            run.grant = await run.acquire_task
        except Refusal as refusal:
            return SlotRefused(refusal)
        except asyncio.CancelledError:
            if not run.acquire_task.cancelled():
                raise
            return SlotRefused(refuse("deadline-exceeded"))
        finally:
            run.acquire_task = None
        return SlotGranted()

    @_execute_effect.register
    async def _(self, effect: ReleaseSlot, run: _Run) -> None:
        self._release(run)

    @_execute_effect.register
    async def _(self, effect: SendAction, run: _Run) -> Event:
        upstream = run.grant.offer.upstream
        try:
            answer = await self._sender.send(
                run.call, run.grant, effect.send_id, ACTION_ANSWER_TIMEOUT_S
            )
        except (NotSent, UpstreamRefused) as error:
            run.excluded.add(upstream)
            may_retry = self._sender.may_retry(run.call, upstream, error)
            return NotRun(str(error), isinstance(error, UpstreamRefused), may_retry)
        except UpstreamError as error:
            logger.warning(
                "action_answer_lost",
                request_id=run.call.context.request_id,
                workspace=run.call.context.workspace.name,
                upstream=upstream,
                error=str(error),
            )
            return AnswerLost(str(error))
        return Answered(Outcome(answer.status, list(answer.headers), answer.body))

    def _release(self, run: _Run) -> None:
        grant, run.grant = run.grant, None
        if grant is not None:
            self._sender.release(grant)

    # Other routers

    @_execute_effect.register
    async def _(self, effect: QueryOwner, run: _Run) -> Event:
        asked = {effect.instance} if effect.instance else set(self._live_peers())
        self._last_query += 1
        number = self._last_query
        query = OutcomeQuery(number, run.record, effect.attempt_id)
        pending = _Query(set(asked), asyncio.Event())
        self._queries[number] = pending
        sent = [self._peers.send(peer, query) for peer in sorted(asked)]
        try:
            if pending.awaited_peers and all(sent):
                async with asyncio.timeout(PEER_ANSWER_TIMEOUT_S):
                    await pending.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._queries[number]
        answers = list(pending.answers)
        if pending.awaited_peers:
            answers.append(OwnerAnswer(OwnerState.SILENT))
        none = OwnerAnswer(OwnerState.NONE)
        return min(
            answers, key=lambda a: OWNER_STATE_PRECEDENCE.index(a.state), default=none
        )

    def _on_query(self, envelope: Envelope, query: OutcomeQuery) -> None:
        known = self.registry.answer(query.record, query.attempt_id, clock.now_s())
        answer = OutcomeAnswer(
            query.request, query.record, known.state, encode_outcome(known.outcome)
        )
        self._peers.send(envelope.sender, answer)

    def _on_answer(self, envelope: Envelope, answer: OutcomeAnswer) -> None:
        pending = self._queries.get(answer.request)
        if pending is None or envelope.sender not in pending.awaited_peers:
            return
        try:
            state = OwnerState(answer.state)
            known = OwnerAnswer(state, decode_outcome(answer.outcome))
        except (ValueError, RecordError) as error:
            logger.warning("outcome_answer_unreadable", error=str(error))
            return
        pending.awaited_peers.discard(envelope.sender)
        pending.answers.append(known)
        if not pending.awaited_peers:
            pending.done.set()


def _write_event(result: Result) -> Event:
    match result:
        case Success(stored):
            return WriteAccepted(stored.version)
        case Failure(Conflict()):
            return WriteConflict()
    return StoreNoAnswer()
