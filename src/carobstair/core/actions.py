"""Actions at most once: the state machine of one keyed action at one router.

Only the process whose attempt id stands in the action's record sends, and it sends
again only where the earlier send is certain not to have run. Every write is
conditional, so a late or repeated write never takes a record from its owner.
"""

from __future__ import annotations

from carobstair.core.action_events import (
    AcquireSlot,
    Answered,
    AnswerLost,
    AskOwner,
    CreateRecord,
    DeleteRecord,
    Effect,
    Event,
    Finish,
    NotRun,
    OwnerAnswer,
    ReadRecord,
    RecordFound,
    RecordMissing,
    ReleaseSlot,
    SendAction,
    SlotGranted,
    SlotRefused,
    StoreDoubtful,
    TimePassed,
    UpdateRecord,
    Wait,
    WriteAccepted,
    WriteConflict,
)
from carobstair.core.action_phases import UNSENT_PHASES, ActionSettings, Phase
from carobstair.core.action_records import (
    ActionRecord,
    Outcome,
    OwnAttempts,
    OwnerState,
    RecordState,
)
from carobstair.core.refusals import Refusal, refuse

__all__ = ["ActionMachine"]


class ActionMachine:
    """One keyed action at one router, from its first caller to its record.

    Parameters
    ----------
    body_hash : str
        Digest of what the key stands for: method, path and body.
    attempts : OwnAttempts
        Attempts of this process.
    settings : ActionSettings
    deadline_s : float
        Monotonic time after which the action must not be sent any more.
    """

    def __init__(
        self,
        body_hash: str,
        attempts: OwnAttempts,
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
        self._settle_until_s = 0.0
        self._sends = 0
        self._delay_s = settings.poll_min_s
        self._releases = 0
        self._owner_forgot = 0

    def begin(self) -> list[Effect]:
        """Start with a look at the record, so that a replay needs no slot."""
        return [ReadRecord()]

    def abandon(self) -> None:
        """Give the action up for its callers; one not sent yet never will be."""
        if self.phase in UNSENT_PHASES | {Phase.FOLLOWING}:
            self._abandoned = True

    def join(self, deadline_s: float) -> None:
        """Take in one more caller, who may revive an abandoned action."""
        self._abandoned = False
        self.deadline_s = max(self.deadline_s, deadline_s)

    def late_refusal(self, only_caller: bool) -> Refusal:
        """Return what a caller is told whose deadline passes first.

        Parameters
        ----------
        only_caller : bool
            Whether the action is abandoned with this caller.
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
        """Take in the event that answers the last effect.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        unix_s : float
            Wall-clock time, for the age of the record.
        """
        handler = getattr(self, f"_{self.phase.name.lower()}")
        return handler(event, now_s, unix_s)

    # Phases

    def _reading(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        if self._abandoned:
            return self._end()
        match event:
            case RecordFound(record, version):
                return self._follow(record, version)
            case RecordMissing():
                return self._wait_for_slot()
            case StoreDoubtful():
                # The key may be known to a router that could not write either.
                self.phase = Phase.ASKING_PEERS
                return [AskOwner()]
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
                return self._give_up(refusal)
            case SlotRefused(refusal):
                # Another router may have run the action while this one waited.
                self.result = refusal
                self.phase = Phase.CONFIRMING
                return [ReadRecord()]
            case SlotGranted() if self._abandoned:
                return [ReleaseSlot(), *self._give_up(refuse("deadline-exceeded"))]
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
                # The record to be taken over, whose attempt was not sent.
                return self._end()
            case RecordFound(record):
                return self._finish(self._known_end(record))
            case StoreDoubtful():
                return self._finish(refuse("outcome-pending"))
        return self._unexpected(event)

    def _creating(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case WriteAccepted(version):
                self._version = version
                return self._send(now_s)
            case WriteConflict() | StoreDoubtful():
                self.phase = Phase.SETTLING
                return [ReadRecord()]
        return self._unexpected(event)

    def _settling(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        in_time = now_s < self._settle_until_s and not self._abandoned
        match event:
            case RecordFound(record, version) if record.attempt_id == self.attempt_id:
                self._version = version
                return self._send(now_s)
            case RecordFound(record, version):
                return self._settle_found(record, version, in_time)
            case RecordMissing() if in_time:
                self._version = None
                self.phase = Phase.CREATING
                return [CreateRecord(self._record)]
            case StoreDoubtful() if in_time:
                return [self._pause()]
            case TimePassed():
                return [ReadRecord()]
            case RecordMissing() | StoreDoubtful():
                refusal = refuse("record-store-unavailable")
                return [ReleaseSlot(), *self._give_up(refusal)]
        return self._unexpected(event)

    def _sending(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case Answered(outcome):
                self.result = outcome
                return [ReleaseSlot(), *self._write_end(RecordState.DONE, outcome)]
            case AnswerLost(detail):
                self.result = refuse("answer-lost", detail)
                return [ReleaseSlot(), *self._write_end(RecordState.LOST, None)]
            case NotRun(detail, reached, may_retry):
                sends_left = self._sends < self._settings.max_sends
                if may_retry and sends_left and now_s < self.deadline_s:
                    self.phase = Phase.WAITING
                    return [ReleaseSlot(), AcquireSlot()]
                name = "upstream-refused" if reached else "upstream-unreachable"
                return [ReleaseSlot(), *self._give_up(refuse(name, detail))]
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
            case WriteConflict() | TimePassed():
                return [ReadRecord()]
            case StoreDoubtful():
                # The callers have waited for one try; peers are answered from
                # memory until the write succeeds.
                return [Finish(self.result), self._pause()]
        return self._unexpected(event)

    def _following(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        if self._abandoned:
            return self._end()
        match event:
            case RecordFound(record, version):
                return self._follow(record, version)
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
                self._owner_forgot += 1
                return [self._pause()]
            case OwnerAnswer() | StoreDoubtful():
                return [self._pause()]
            case TimePassed():
                return [ReadRecord()]
        return self._unexpected(event)

    def _releasing(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        match event:
            case RecordFound(record, version) if record.attempt_id == self.attempt_id:
                return [DeleteRecord(version)]
            case StoreDoubtful() if self._releases < self._settings.release_tries:
                self._releases += 1
                return [self._pause()]
            case TimePassed():
                return [ReadRecord()]
        return self._end()

    def _ended(self, event: Event, now_s: float, unix_s: float) -> list[Effect]:
        return []

    # Steps

    def _follow(self, record: ActionRecord, version: int) -> list[Effect]:
        self.phase = Phase.FOLLOWING
        started = record.state is RecordState.STARTED
        if not started or record.body_hash != self.body_hash:
            return self._finish(self._known_end(record))
        self._version = version
        if (record.instance, record.incarnation) == self._attempts.own:
            if self._attempts.was_not_sent(record.attempt_id):
                return self._wait_for_slot()
            return self._finish(refuse("answer-lost", "an earlier request"))
        # The second look is for a record written just before its owner ended.
        if self._owner_forgot > 1:
            return self._finish(refuse("answer-lost", "its router has ended"))
        return [AskOwner(record.instance, record.attempt_id)]

    def _known_end(self, record: ActionRecord) -> Outcome | Refusal:
        """Return what a record alone tells a caller."""
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
        """Write the own attempt, over a record that is known to be unsent.

        The fresh id and version keep late writes of the former attempt out.
        """
        self.phase = Phase.CREATING
        self.attempt_id = self._attempts.new()
        limit_s = now_s + self._settings.settle_limit_s
        self._settle_until_s = min(self.deadline_s, limit_s)
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

    def _settle_found(
        self, record: ActionRecord, version: int, in_time: bool
    ) -> list[Effect]:
        if version == self._version and in_time:
            # The record to be taken over still stands; its update was lost.
            self.phase = Phase.CREATING
            return [UpdateRecord(self._record, version)]
        if self._abandoned or not in_time:
            refusal = refuse("record-store-unavailable")
            return [ReleaseSlot(), *self._give_up(refusal)]
        self._attempts.note_not_sent(self.attempt_id)
        self.attempt_id = ""
        return [ReleaseSlot(), *self._follow(record, version)]

    def _send(self, now_s: float) -> list[Effect]:
        if self._abandoned or now_s >= self.deadline_s:
            return [ReleaseSlot(), *self._give_up(refuse("deadline-exceeded"))]
        self.phase = Phase.SENDING
        self._sends += 1
        return [SendAction(f"{self.attempt_id}.{self._sends}")]

    def _write_end(self, state: RecordState, outcome: Outcome | None) -> list[Effect]:
        self.phase = Phase.RECORDING
        self._delay_s = self._settings.poll_min_s
        self._record = self._record.ended(state, outcome)
        return [UpdateRecord(self._record, self._version)]

    def _give_up(self, refusal: Refusal) -> list[Effect]:
        """Refuse an action that never ran, and free its key."""
        self.result = refusal
        if not self.attempt_id:
            return self._end()
        self.phase = Phase.RELEASING
        self._attempts.note_not_sent(self.attempt_id)
        self._delay_s = self._settings.poll_min_s
        return [Finish(refusal), ReadRecord()]

    def _finish(self, result: Outcome | Refusal) -> list[Effect]:
        self.result = result
        return self._end()

    def _end(self) -> list[Effect]:
        self.phase = Phase.ENDED
        return [] if self.result is None else [Finish(self.result)]

    def _pause(self) -> Wait:
        delay_s = self._delay_s
        self._delay_s = min(self._settings.poll_max_s, 2 * delay_s)
        return Wait(delay_s)

    def _unexpected(self, event: Event) -> list[Effect]:
        raise TypeError(f"{event!r} in phase {self.phase}")
