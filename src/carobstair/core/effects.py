"""Effects: what a decision asks its driver to do."""

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
    "InForceFound",
    "Reconnect",
    "RefuseWaiting",
    "Send",
    "SendOrder",
    "StateChanged",
    "TicketSettled",
    "Warn",
]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a payload to a peer; it may be lost."""

    to: str
    payload: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Granted:
    """A waiting request may go to the grant's upstream."""

    request_id: str
    grant: HeldGrant


@dataclass(frozen=True, slots=True)
class RefuseWaiting:
    """A waiting request ends with a refusal."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StateChanged:
    """A new fleet state is in force at this node."""

    state: FleetState


@dataclass(frozen=True, slots=True)
class EpochLearned:
    """A newer fleet epoch is known at this node."""

    number: int
    size: int


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a link to a process, or replace that to its former incarnation."""

    address: PeerAddress


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the link to an instance that is forgotten."""

    instance: str


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Replace a link that may have gone silent."""

    instance: str


@dataclass(frozen=True, slots=True)
class TicketSettled:
    """The filing of a ticket ended: with a number, or with a refusal."""

    filing: int
    number: int = 0
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class InForceFound:
    """Answer to a question about the tickets in force, per instance."""

    query: int
    numbers: dict[str, int]


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an upstream an order; `versions` and `role` are its whole wanted state."""

    order: int
    upstream: str
    fencing: int
    versions: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class Warn:
    """Log a warning; `event` is a bounded label."""

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
    | TicketSettled
    | InForceFound
    | SendOrder
    | Warn
    | StoreCall
    | WatchOpen
    | WatchClose
)
