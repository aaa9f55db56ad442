"""Messages about membership, epochs, shares and tickets.

`carobstair.core.messages` re-exports them beside the envelope.
"""

from __future__ import annotations

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


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where a router process listens; `incarnation` grows with each start."""

    instance: str
    incarnation: int
    host: str
    peer_port: int
    http_port: int
    zone: str


class Heartbeat(msgspec.Struct, frozen=True):
    """What a process says of itself: liveness and the state that it holds.

    `digest` and `leaving_digest` tell apart states of the same number;
    `refutation` grows when the process contradicts a suspicion.
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
    """What the sender believes of a process; `status` is a `MemberStatus`."""

    address: PeerAddress
    refutation: int
    status: int


class Probe(msgspec.Struct, frozen=True):
    """Asks for a sign of life, with news about other processes."""

    number: int
    heartbeat: Heartbeat
    updates: list[MemberUpdate] = []


class ProbeAck(msgspec.Struct, frozen=True):
    """Answers a probe; a relayed answer carries the heartbeat of the target."""

    number: int
    heartbeat: Heartbeat
    updates: list[MemberUpdate] = []


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to probe a process that did not answer the sender."""

    number: int
    target: PeerAddress
    heartbeat: Heartbeat


class MemberSync(msgspec.Struct, frozen=True):
    """All processes that the sender knows; asks for the same if `wants_reply`."""

    heartbeat: Heartbeat
    updates: list[MemberUpdate]
    wants_reply: bool = False


class LeavingEntry(msgspec.Struct, frozen=True, array_like=True):
    """Whether a source says that an upstream leaves; the newest sequence holds."""

    upstream: str
    source: str
    sequence: int
    leaving: bool


class LeavingNotice(msgspec.Struct, frozen=True):
    """Upstreams that leave by the instance list or by their load reports."""

    entries: list[LeavingEntry]


class InForceQuery(msgspec.Struct, frozen=True):
    """Asks for the number of the ticket in force at the receiver."""

    request: int


class InForceAnswer(msgspec.Struct, frozen=True):
    """Answers an `InForceQuery`."""

    request: int
    in_force: int


class EpochNotice(msgspec.Struct, frozen=True):
    """An epoch of the fleet's membership as the object API holds it."""

    number: int
    members: list[PeerAddress]
    departed: list[tuple[str, int]] = []


class EpochAck(msgspec.Struct, frozen=True):
    """The sender's running grants fit its shares under this epoch."""

    number: int
    wants_reply: bool = False


class InUseEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a process still has in use on an upstream."""

    upstream: str
    request_slots: int
    kv_tokens: int


class ShareTransfer(msgspec.Struct, frozen=True):
    """A leaving process gives its shares under an epoch to the receiver.

    It keeps what `in_use` names, which only shrinks; the newest sequence holds.
    """

    epoch: int
    owner: str
    owner_incarnation: int
    sequence: int = 0
    in_use: list[InUseEntry] = []


class TicketPull(msgspec.Struct, frozen=True):
    """Asks for the tickets after a number."""

    after: int


class TicketPush(msgspec.Struct, frozen=True):
    """Tickets as the object API holds them, in order of their numbers."""

    tickets: list[bytes]
    snapshot: bytes = b""
