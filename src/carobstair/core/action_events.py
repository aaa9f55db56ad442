"""Events and effects of a keyed action.

Each effect but `ReleaseSlot` and `Finish` is answered by exactly one event.
"""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.action_records import ActionRecord, Outcome, OwnerState
from carobstair.core.refusals import Refusal

__all__ = [
    "AcquireSlot",
    "AnswerLost",
    "Answered",
    "AskOwner",
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
    "StoreDoubtful",
    "TimePassed",
    "UpdateRecord",
    "Wait",
    "WriteAccepted",
    "WriteConflict",
]

# Events


@dataclass(frozen=True, slots=True)
class RecordFound:
    """The store holds this record."""

    record: ActionRecord
    version: int


@dataclass(frozen=True, slots=True)
class RecordMissing:
    """The store holds no record of this name."""


@dataclass(frozen=True, slots=True)
class StoreDoubtful:
    """The store gave no answer; a write may have taken effect, also later."""


@dataclass(frozen=True, slots=True)
class WriteAccepted:
    """The conditional write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The condition of a write did not hold."""


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """The action may be sent to an upstream."""


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """The queue gave the action up."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream gave its whole answer."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is certain that no upstream runs the action, now or later.

    Attributes
    ----------
    reached : bool
        Whether an upstream said so; else nothing was sent.
    may_retry : bool
        Whether the budgets allow another send.
    """

    detail: str
    reached: bool = False
    may_retry: bool = True


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The action was sent, and whether it ran is not known."""

    detail: str


@dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """What another router says about the action."""

    state: OwnerState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The delay that a `Wait` asked for is over."""


Event = (
    RecordFound
    | RecordMissing
    | StoreDoubtful
    | WriteAccepted
    | WriteConflict
    | SlotGranted
    | SlotRefused
    | Answered
    | NotRun
    | AnswerLost
    | OwnerAnswer
    | TimePassed
)


# Effects


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""


@dataclass(frozen=True, slots=True)
class CreateRecord:
    """Write the record if there is none."""

    record: ActionRecord


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """Write the record if it still has this version."""

    record: ActionRecord
    version: int


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Remove the record if it still has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Wait for a slot on an upstream that did not refuse this action before."""


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Give the slot back."""


@dataclass(frozen=True, slots=True)
class SendAction:
    """Send the action on the slot, once, under this id."""

    send_id: str


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask a router about an attempt; without an instance, all live routers."""

    instance: str = ""
    attempt_id: str = ""


@dataclass(frozen=True, slots=True)
class Wait:
    """Let time pass."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the callers their answer."""

    result: Outcome | Refusal


Effect = (
    ReadRecord
    | CreateRecord
    | UpdateRecord
    | DeleteRecord
    | AcquireSlot
    | ReleaseSlot
    | SendAction
    | AskOwner
    | Wait
    | Finish
)
