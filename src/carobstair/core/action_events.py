"""Events and effects of the state machine of a keyed action.

Every effect except `ReleaseSlot` and `Finish` is answered by exactly one event.
"""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.action_records import ActionRecord, Outcome, OwnerState
from carobstair.core.refusals import Refusal

__all__ = [
    "AcquireSlot",
    "AnswerLost",
    "Answered",
    "QueryOwner",
    "CreateRecord",
    "DeleteRecord",
    "Effect",
    "Event",
    "Finish",
    "NotRun",
    "OwnerAnswer",
    "ReadRecord",
    "RecordFound",
    "RecordMissing",
    "ReleaseSlot",
    "SendAction",
    "SlotGranted",
    "SlotRefused",
    "StoreNoAnswer",
    "DelayElapsed",
    "UpdateRecord",
    "Wait",
    "WriteAccepted",
    "WriteConflict",
]

# Events


@dataclass(frozen=True, slots=True)
class RecordFound:
    """The store returned this record."""

    record: ActionRecord
    version: int


@dataclass(frozen=True, slots=True)
class RecordMissing:
    """The store has no record of this name."""


@dataclass(frozen=True, slots=True)
class StoreNoAnswer:
    """The store gave no answer; a write may have taken effect or may still do so."""


@dataclass(frozen=True, slots=True)
class WriteAccepted:
    """The conditional write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The condition of the write was not met."""


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A slot on an upstream is reserved; the action may be sent."""


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """The queue refused the action a slot."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream answered completely."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotRun:
    """The action certainly did not run and will not run on any upstream.

    Attributes
    ----------
    reached : bool
        Whether an upstream refused the action; if false, nothing was sent.
    may_retry : bool
        Whether the retry budgets allow another send.
    """

    detail: str
    reached: bool = False
    may_retry: bool = True


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The action was sent, and it is not known whether it ran."""

    detail: str


@dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """Another router's report on an attempt."""

    state: OwnerState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class DelayElapsed:
    """The delay of a `Wait` has elapsed."""


Event = (
    RecordFound
    | RecordMissing
    | StoreNoAnswer
    | WriteAccepted
    | WriteConflict
    | SlotGranted
    | SlotRefused
    | Answered
    | NotRun
    | AnswerLost
    | OwnerAnswer
    | DelayElapsed
)


# Effects


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""


@dataclass(frozen=True, slots=True)
class CreateRecord:
    """Write the record if none exists."""

    record: ActionRecord


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """Replace the record if it still has this version."""

    record: ActionRecord
    version: int


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete the record if it still has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Wait for a slot on an upstream that has not refused this action."""


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release the slot on the upstream."""


@dataclass(frozen=True, slots=True)
class SendAction:
    """Send the action once, on the slot held, under this id."""

    send_id: str


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Query a router about an attempt; without an instance, query all live ones."""

    instance: str = ""
    attempt_id: str = ""


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for this delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the result to the waiting callers."""

    result: Outcome | Refusal


Effect = (
    ReadRecord
    | CreateRecord
    | UpdateRecord
    | DeleteRecord
    | AcquireSlot
    | ReleaseSlot
    | SendAction
    | QueryOwner
    | Wait
    | Finish
)
