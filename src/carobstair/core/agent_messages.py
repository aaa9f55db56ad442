"""Messages about membership, epochs, shares and tickets.

`carobstair.core.messages` re-exports them beside the envelope.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "EpochAck",
    "EpochNotice",
    "Heartbeat",
    "InForceAnswer",
    "InForceQuery",
    "InUseEntry",
    "LeavingEntry",
    "LeavingNotice",
    "MemberSync",
    "MemberUpdate",
    "PeerAddress",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
    "ShareTransfer",
    "TicketPull",
    "TicketPush",
]

# Incarnations are Unix milliseconds; messages hold integers of up to 64 bits.
MAX_INCARNATION = 2**53
_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Address of a router process; `incarnation` increases with each start."""

    instance: str
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
    host: str
    peer_port: _Port
    http_port: _Port
    zone: str


class Heartbeat(msgspec.Struct, frozen=True):
    """Liveness and state versions that a process reports about itself.

    `digest` and `leaving_digest` distinguish states with the same number;
    `refutation` increases when the process refutes a suspicion.
    """

    address: PeerAddress
    in_force: int
    epoch: int
    ready: bool = True
    leaving: bool = False
    digest: int = 0
    leaving_digest: int = 0
    refutation: int = 0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The sender's view of a process; `status` is a `MemberStatus`."""

    address: PeerAddress
    refutation: int
    status: int


class Probe(msgspec.Struct, frozen=True):
    """Liveness probe that carries membership updates."""

    number: int
    heartbeat: Heartbeat
    updates: list[MemberUpdate] = []


class ProbeAck(msgspec.Struct, frozen=True):
    """Answers a probe; a relayed answer carries the target's heartbeat."""

    number: int
    heartbeat: Heartbeat
    updates: list[MemberUpdate] = []


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to probe a process that did not answer the sender."""

    number: int
    target: PeerAddress
    heartbeat: Heartbeat


class MemberSync(msgspec.Struct, frozen=True):
    """The sender's full membership view; requests the receiver's if `wants_reply`."""

    heartbeat: Heartbeat
    updates: list[MemberUpdate]
    wants_reply: bool = False


class LeavingEntry(msgspec.Struct, frozen=True, array_like=True):
    """Whether a source reports an upstream as leaving; the highest sequence wins."""

    upstream: str
    source: str
    sequence: int
    leaving: bool


class LeavingNotice(msgspec.Struct, frozen=True):
    """Upstreams reported as leaving by the instance list or their load reports."""

    entries: list[LeavingEntry]


class InForceQuery(msgspec.Struct, frozen=True):
    """Requests the number of the ticket in force at the receiver."""

    request: int


class InForceAnswer(msgspec.Struct, frozen=True):
    """Answers an `InForceQuery`."""

    request: int
    in_force: int


class EpochNotice(msgspec.Struct, frozen=True):
    """An epoch of the fleet's membership as stored in the object API."""

    number: int
    members: list[PeerAddress]
    departed: list[tuple[str, int]] = []


class EpochAck(msgspec.Struct, frozen=True):
    """Confirms that the sender's active grants fit its shares under this epoch."""

    number: int
    wants_reply: bool = False


class InUseEntry(msgspec.Struct, frozen=True, array_like=True):
    """Capacity that a process still uses on an upstream."""

    upstream: str
    request_slots: int
    kv_tokens: int


class ShareTransfer(msgspec.Struct, frozen=True):
    """Transfers a leaving process's shares under an epoch to the receiver.

    The owner retains the capacity in `in_use`, which only decreases; the highest
    sequence wins.
    """

    epoch: int
    owner: str
    owner_incarnation: int
    sequence: int = 0
    in_use: list[InUseEntry] = []


class TicketPull(msgspec.Struct, frozen=True):
    """Requests the tickets with higher numbers than `after`."""

    after: int


class TicketPush(msgspec.Struct, frozen=True):
    """Tickets as stored in the object API, in order of their numbers."""

    tickets: list[bytes]
    snapshot: bytes = b""
