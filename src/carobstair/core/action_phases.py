"""Phases and limits of an action that carries an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["UNSENT_PHASES", "ActionSettings", "Phase"]


class Phase(StrEnum):
    """Step of an action; each but `ENDED` waits for one event."""

    READING = "reading"
    ASKING_PEERS = "asking-peers"
    WAITING = "waiting"
    CONFIRMING = "confirming"
    CREATING = "creating"
    VERIFYING = "verifying"
    SENDING = "sending"
    RECORDING = "recording"
    AWAITING_OWNER = "awaiting-owner"
    DELETING = "deleting"
    ENDED = "ended"


UNSENT_PHASES = frozenset(
    {
        Phase.READING,
        Phase.ASKING_PEERS,
        Phase.WAITING,
        Phase.CONFIRMING,
        Phase.CREATING,
        Phase.VERIFYING,
    }
)


@dataclass(frozen=True, slots=True)
class ActionSettings:
    """Limits of one action.

    Attributes
    ----------
    verify_limit_s : float
        How long a create whose result is unknown is read back and retried while
        the slot is held.
    poll_min_s, poll_max_s : float
        Delay between two reads of a record; doubles from the minimum to the
        maximum.
    max_sends : int
        Largest number of sends of one action; only the last one may have run.
    delete_tries : int
        Retries of deleting the record of an action that was not sent.
    """

    verify_limit_s: float = 3.0
    poll_min_s: float = 0.05
    poll_max_s: float = 2.0
    max_sends: int = 4
    delete_tries: int = 8
