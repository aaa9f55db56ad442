"""Phases and limits of a keyed action."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["UNSENT_PHASES", "ActionSettings", "Phase"]


class Phase(StrEnum):
    """What an action waits for."""

    READING = "reading"
    ASKING_PEERS = "asking-peers"
    WAITING = "waiting"
    CONFIRMING = "confirming"
    CREATING = "creating"
    SETTLING = "settling"
    SENDING = "sending"
    RECORDING = "recording"
    FOLLOWING = "following"
    RELEASING = "releasing"
    ENDED = "ended"


UNSENT_PHASES = frozenset(
    {
        Phase.READING,
        Phase.ASKING_PEERS,
        Phase.WAITING,
        Phase.CONFIRMING,
        Phase.CREATING,
        Phase.SETTLING,
    }
)


@dataclass(frozen=True, slots=True)
class ActionSettings:
    """Limits of one action.

    Attributes
    ----------
    settle_limit_s : float
        How long a doubtful create is settled while the slot is held.
    poll_min_s, poll_max_s : float
        Delay between two looks at a record; doubles from the first to the second.
    max_sends : int
        Sends of one action; only the last one may have run.
    release_tries : int
        Tries to delete the record of an action that was not sent.
    """

    settle_limit_s: float = 3.0
    poll_min_s: float = 0.05
    poll_max_s: float = 2.0
    max_sends: int = 4
    release_tries: int = 8
