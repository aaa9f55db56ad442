"""At-most-once execution: the state machine of one keyed action at one router.

Only the process whose attempt id is in the action's record sends the action, and it
sends again only if the earlier send is certain not to have run. Every write is
conditional, so a late or repeated write never overwrites another owner's record.
"""

from __future__ import annotations

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
from carobstair.core.action_phases import UNSENT_PHASES, ActionSettings, Phase
from carobstair.core.action_records import (
    ActionRecord,
    LocalAttempts,
    Outcome,
    OwnerState,
    RecordState,
)
from carobstair.core.refusals import Refusal, refuse

__all__ = ["ActionMachine"]


class ActionMachine:
    """One keyed action at one router, from its first caller to the stored outcome.

    Parameters
    ----------
    body_hash : str
        Digest of the request that the key is bound to: service, method, path and
        body.
    attempts : LocalAttempts
        Attempts of this process.
    settings : ActionSettings
    deadline_s : float
        Monotonic time from which the action must not be sent any more.
    """

    def __init__(
        self,
        body_hash: str,
        attempts: LocalAttempts,
        settings: ActionSettings,
        deadline_s: float,
    ):
        self.body_hash = body_hash
        self._attempts = attempts
        self._settings = settings
        self.deadline_s = deadline_s
        self.phase = Phase.READING
        self.attempt_id = ""
        self.result: Outcome | Refusal | None = None
        self._abandoned = False
        self._record: ActionRecord | None = None
        self._version: int | None = None
        self._verify_until_s = 0.0
        self._sends = 0
        self._retry_delay_s = settings.poll_min_s
        self._delete_retries = 0
        self._owner_unknown_count = 0

    def begin(self) -> list[Effect]:
        """Read the record first, so that a stored outcome needs no slot."""
        return [ReadRecord()]

    def abandon(self) -> None:
        """Note that no caller waits any more; an action not sent yet is not sent."""
        if self.phase in UNSENT_PHASES | {Phase.AWAITING_OWNER}:
            self._abandoned = True

    def join(self, deadline_s: float) -> None:
        """Add a caller, which also resumes an abandoned action."""
        self._abandoned = False
        self.deadline_s = max(self.deadline_s, deadline_s)

    def deadline_refusal(self, only_caller: bool) -> Refusal:
        """Return the refusal for a caller whose deadline passes before the result.

        Parameters
        ----------
        only_caller : bool
            Whether this is the last caller, so that the action is abandoned with it.
        """
        unclaimed = (Phase.WAITING, Phase.CONFIRMING)
        if (
            not only_caller
            or self.phase not in UNSENT_PHASES
            or (self.phase in unclaimed and not self.attempt_id)
        ):
            return refuse("outcome-pending")
        if self.phase is Phase.WAITING:
            return refuse("deadline-exceeded")
        return refuse("record-store-unavailable")

    def on(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        """Handle the event that answers the last effect.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        unix_s : float
            Wall-clock time, stored as the record's time of creation.
        """
        handler = getattr(self, f"_{self.phase.name.lower()}")
        return handler(event, now_s, unix_s)

    # Phases

    def _reading(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        if self._abandoned:
            return self._end()
        match event:
            case RecordFound(record, version):
                return self._await_owner(record, version)
            case RecordMissing():
                return self._wait_for_slot()
            case StoreNoAnswer():
                # Another router may know this key even if it could not write to the
                # store either.
                self.phase = Phase.ASKING_PEERS
                return [QueryOwner()]
        return self._unexpected(event)

    def _asking_peers(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case OwnerAnswer(OwnerState.DONE, Outcome() as outcome):
                return self._finish(outcome)
            case OwnerAnswer(OwnerState.RUNNING | OwnerState.SILENT):
                return self._finish(refuse("outcome-pending"))
            case OwnerAnswer(OwnerState.LOST):
                return self._finish(refuse("answer-lost", "an earlier request"))
            case OwnerAnswer():
                return self._finish(refuse("record-store-unavailable"))
        return self._unexpected(event)

    def _waiting(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case SlotRefused(refusal) if self.attempt_id or self._abandoned:
                return self._refuse_unsent(refusal)
            case SlotRefused(refusal):
                # Another router may have run the action during the wait.
                self.result = refusal
                self.phase = Phase.CONFIRMING
                return [ReadRecord()]
            case SlotGranted() if self._abandoned:
                return [
                    ReleaseSlot(),
                    *self._refuse_unsent(refuse("deadline-exceeded")),
                ]
            case SlotGranted() if self._sends:
                return self._send(now_s)
            case SlotGranted():
                return self._claim(now_s, unix_s)
        return self._unexpected(event)

    def _confirming(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case RecordMissing():
                return self._end()
            case RecordFound(_, version) if version == self._version:
                # Still the record of an unsent attempt that was to be taken over.
                return self._end()
            case RecordFound(record):
                return self._finish(self._result_from_record(record))
            case StoreNoAnswer():
                return self._finish(refuse("outcome-pending"))
        return self._unexpected(event)

    def _creating(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case WriteAccepted(version):
                self._version = version
                return self._send(now_s)
            case WriteConflict() | StoreNoAnswer():
                self.phase = Phase.VERIFYING
                return [ReadRecord()]
        return self._unexpected(event)

    def _verifying(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        in_time = now_s < self._verify_until_s and not self._abandoned
        match event:
            case RecordFound(record, version) if record.attempt_id == self.attempt_id:
                self._version = version
                return self._send(now_s)
            case RecordFound(record, version):
                return self._resolve_foreign_record(record, version, in_time)
            case RecordMissing() if in_time:
                self._version = None
                self.phase = Phase.CREATING
                return [CreateRecord(self._record)]
            case StoreNoAnswer() if in_time:
                return [self._wait_to_retry()]
            case DelayElapsed():
                return [ReadRecord()]
            case RecordMissing() | StoreNoAnswer():
                refusal = refuse("record-store-unavailable")
                return [ReleaseSlot(), *self._refuse_unsent(refusal)]
        return self._unexpected(event)

    def _sending(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case Answered(outcome):
                self.result = outcome
                return [ReleaseSlot(), *self._write_outcome(RecordState.DONE, outcome)]
            case AnswerLost(detail):
                self.result = refuse("answer-lost", detail)
                return [ReleaseSlot(), *self._write_outcome(RecordState.LOST, None)]
            case NotRun(detail, reached, may_retry):
                sends_left = self._sends < self._settings.max_sends
                if may_retry and sends_left and now_s < self.deadline_s:
                    self.phase = Phase.WAITING
                    return [ReleaseSlot(), AcquireSlot()]
                name = "upstream-refused" if reached else "upstream-unreachable"
                return [ReleaseSlot(), *self._refuse_unsent(refuse(name, detail))]
        return self._unexpected(event)

    def _recording(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case WriteAccepted():
                return self._end()
            case RecordFound(record, version) if (
                record.attempt_id == self.attempt_id
                and record.state is RecordState.STARTED
            ):
                return [UpdateRecord(self._record, version)]
            case RecordFound():
                return self._end()
            case RecordMissing():
                return [CreateRecord(self._record)]
            case WriteConflict() | DelayElapsed():
                return [ReadRecord()]
            case StoreNoAnswer():
                # The callers wait for one write only. Until a write succeeds, peers
                # are answered from memory.
                return [Finish(self.result), self._wait_to_retry()]
        return self._unexpected(event)

    def _awaiting_owner(
        self, event: Event, now_s: float, unix_s: float
    ) -> list[Effect]:
        if self._abandoned:
            return self._end()
        match event:
            case RecordFound(record, version):
                return self._await_owner(record, version)
            case RecordMissing():
                self._version = None
                return self._wait_for_slot()
            case OwnerAnswer(OwnerState.DONE, Outcome() as outcome):
                return self._finish(outcome)
            case OwnerAnswer(OwnerState.LOST):
                return self._finish(refuse("answer-lost", "an earlier request"))
            case OwnerAnswer(OwnerState.NOT_SENT):
                return self._wait_for_slot()
            case OwnerAnswer(OwnerState.NONE):
                self._owner_unknown_count += 1
                return [self._wait_to_retry()]
            case OwnerAnswer() | StoreNoAnswer():
                return [self._wait_to_retry()]
            case DelayElapsed():
                return [ReadRecord()]
        return self._unexpected(event)

    def _deleting(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case RecordFound(record, version) if record.attempt_id == self.attempt_id:
                return [DeleteRecord(version)]
            case StoreNoAnswer() if self._delete_retries < self._settings.delete_tries:
                self._delete_retries += 1
                return [self._wait_to_retry()]
            case DelayElapsed():
                return [ReadRecord()]
        return self._end()

    def _ended(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        return []

    # Steps

    def _await_owner(self, record: ActionRecord, version: int) -> list[Effect]:
        self.phase = Phase.AWAITING_OWNER
        started = record.state is RecordState.STARTED
        if not started or record.body_hash != self.body_hash:
            return self._finish(self._result_from_record(record))
        self._version = version
        if (record.instance, record.incarnation) == self._attempts.own:
            if self._attempts.was_not_sent(record.attempt_id):
                return self._wait_for_slot()
            return self._finish(refuse("answer-lost", "an earlier request"))
        # The owner is asked twice, as the record may have been written just
        # before the owner ended.
        if self._owner_unknown_count > 1:
            return self._finish(refuse("answer-lost", "its router has ended"))
        return [QueryOwner(record.instance, record.attempt_id)]

    def _result_from_record(self, record: ActionRecord) -> Outcome | Refusal:
        """Return the result that the record alone gives, without asking its owner."""
        if record.body_hash != self.body_hash:
            return refuse("key-reused")
        if record.state is RecordState.DONE:
            return record.outcome
        if record.state is RecordState.LOST:
            return refuse("answer-lost", "an earlier request")
        return refuse("outcome-pending")

    def _wait_for_slot(self) -> list[Effect]:
        self.phase = Phase.WAITING
        return [AcquireSlot()]

    def _claim(self, now_s: float, unix_s: float) -> list[Effect]:
        """Write a record of a new attempt, replacing any record of an unsent one.

        The new id and version keep late writes of the previous attempt from
        taking effect.
        """
        self.phase = Phase.CREATING
        self.attempt_id = self._attempts.new()
        limit_s = now_s + self._settings.verify_limit_s
        self._verify_until_s = min(self.deadline_s, limit_s)
        self._record = ActionRecord(
            self.attempt_id,
            self.body_hash,
            *self._attempts.own,
            RecordState.STARTED,
            unix_s,
        )
        if self._version is not None:
            return [UpdateRecord(self._record, self._version)]
        return [CreateRecord(self._record)]

    def _resolve_foreign_record(
        self, record: ActionRecord, version: int, in_time: bool
    ) -> list[Effect]:
        if version == self._version and in_time:
            # The old record is unchanged: the update that replaces it was lost.
            self.phase = Phase.CREATING
            return [UpdateRecord(self._record, version)]
        if self._abandoned or not in_time:
            refusal = refuse("record-store-unavailable")
            return [ReleaseSlot(), *self._refuse_unsent(refusal)]
        self._attempts.mark_not_sent(self.attempt_id)
        self.attempt_id = ""
        return [ReleaseSlot(), *self._await_owner(record, version)]

    def _send(self, now_s: float) -> list[Effect]:
        if self._abandoned or now_s >= self.deadline_s:
            return [ReleaseSlot(), *self._refuse_unsent(refuse("deadline-exceeded"))]
        self.phase = Phase.SENDING
        self._sends += 1
        return [SendAction(f"{self.attempt_id}.{self._sends}")]

    def _write_outcome(
        self, state: RecordState, outcome: Outcome | None
    ) -> list[Effect]:
        self.phase = Phase.RECORDING
        self._retry_delay_s = self._settings.poll_min_s
        self._record = self._record.with_outcome(state, outcome)
        return [UpdateRecord(self._record, self._version)]

    def _refuse_unsent(self, refusal: Refusal) -> list[Effect]:
        """Refuse an action that never ran and delete its record."""
        self.result = refusal
        if not self.attempt_id:
            return self._end()
        self.phase = Phase.DELETING
        self._attempts.mark_not_sent(self.attempt_id)
        self._retry_delay_s = self._settings.poll_min_s
        return [Finish(refusal), ReadRecord()]

    def _finish(self, result: Outcome | Refusal) -> list[Effect]:
        self.result = result
        return self._end()

    def _end(self) -> list[Effect]:
        self.phase = Phase.ENDED
        return [] if self.result is None else [Finish(self.result)]

    def _wait_to_retry(self) -> Wait:
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(self._settings.poll_max_s, 2 * delay_s)
        return Wait(delay_s)

    def _unexpected(self, event: Event) -> list[Effect]:
        raise TypeError(f"{event!r} is not expected in phase {self.phase}")
