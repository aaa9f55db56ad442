"""Effects: the actions that a state machine asks its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from carobstair.core.grants import HeldGrant
from carobstair.core.messages import PeerAddress
from carobstair.core.refusals import Refusal
from carobstair.core.state import FleetState
from carobstair.core.store_calls import StoreCall, WatchClose, WatchOpen

__all__ = [
    "Connect",
    "Disconnect",
    "Effect",
    "EpochLearned",
    "Granted",
    "InForceResult",
    "Reconnect",
    "RefuseWaiting",
    "Send",
    "SendOrder",
    "StateChanged",
    "FilingFinished",
    "Warn",
]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a payload to a peer; delivery is not guaranteed."""

    to: str
    payload: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Granted:
    """A waiting request may be sent to the upstream of its grant."""

    request_id: str
    grant: HeldGrant


@dataclass(frozen=True, slots=True)
class RefuseWaiting:
    """Refuse a waiting request."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StateChanged:
    """A new fleet state is in force at this node."""

    state: FleetState


@dataclass(frozen=True, slots=True)
class EpochLearned:
    """A newer fleet epoch of `size` members is known at this node."""

    number: int
    size: int


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a process, replacing that to an earlier incarnation."""

    address: PeerAddress


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to an instance that is no longer a member."""

    instance: str


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Replace a connection that may no longer deliver messages."""

    instance: str


@dataclass(frozen=True, slots=True)
class FilingFinished:
    """Result of filing a ticket: its number, or a refusal."""

    filing: int
    number: int = 0
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class InForceResult:
    """Result of a query for the number of the ticket in force, by instance."""

    query: int
    numbers: dict[str, int]


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an upstream: its complete wanted `versions` and `role`."""

    order: int
    upstream: str
    fencing: int
    versions: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class Warn:
    """Log a warning; `event` is one of a fixed set of names."""

    event: str
    detail: str = ""


Effect = (
    Send
    | Granted
    | RefuseWaiting
    | StateChanged
    | EpochLearned
    | Connect
    | Disconnect
    | Reconnect
    | FilingFinished
    | InForceResult
    | SendOrder
    | Warn
    | StoreCall
    | WatchOpen
    | WatchClose
)
