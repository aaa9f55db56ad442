"""Messages between routers: a versioned envelope with a typed payload.

State messages (demand, totals, limits, heartbeats) are idempotent: the one with the
highest sequence number from a sender replaces earlier ones. Requests carry an id.
"""

from __future__ import annotations

import msgspec

from carobstair.core.agent_messages import (
    EpochAck,
    EpochNotice,
    Heartbeat,
    InForceAnswer,
    InForceQuery,
    InUseEntry,
    LeavingEntry,
    LeavingNotice,
    MemberSync,
    MemberUpdate,
    PeerAddress,
    Probe,
    ProbeAck,
    ProbeRequest,
    ShareTransfer,
    TicketPull,
    TicketPush,
)
from carobstair.core.evidence_messages import (
    EvidenceAck,
    EvidenceNews,
    SegmentEvidence,
)
from carobstair.core.follow_messages import FollowNews
from carobstair.core.permit_messages import (
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    RateNews,
)
from carobstair.core.rollout_messages import RolloutNews, RolloutReport
from carobstair.core.share_messages import ShareReport, ShareTotals, ZoneTotals

__all__ = [
    "PROTOCOL_VERSION",
    "CodecError",
    "DemandEntry",
    "DemandUpdate",
    "Envelope",
    "EpochAck",
    "EpochNotice",
    "EvidenceAck",
    "EvidenceNews",
    "FleetDigest",
    "FollowNews",
    "FreeSlots",
    "GrantRenewal",
    "GrantRenewed",
    "GrantReturn",
    "Heartbeat",
    "InForceAnswer",
    "InForceQuery",
    "InUseEntry",
    "LeavingEntry",
    "LeavingNotice",
    "LiftEntry",
    "LimitAnnouncement",
    "LoadRow",
    "MemberSync",
    "MemberUpdate",
    "Offer",
    "OutcomeAnswer",
    "OutcomeQuery",
    "PeerAddress",
    "PoolTotals",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
    "SegmentEvidence",
    "ShareTransfer",
    "StateNews",
    "StatePull",
    "StateRow",
    "TicketPull",
    "TicketPush",
    "TokenTimes",
    "TotalsRow",
    "TotalsUpdate",
    "UpstreamUse",
    "UpstreamUseReport",
    "decode",
    "encode",
    "kind_of",
]

PROTOCOL_VERSION = 1


class CodecError(ValueError):
    """An undecodable peer message; `reason` is a label from a fixed set."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a workspace for a pool that are queued at the sending gateway."""

    pool: str
    workspace: str
    work_class: str
    waiting: int
    head_cost_tokens: float
    head_kv_tokens: int
    prefix: list[int] = []
    excluded: list[str] = []


class DemandUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Demand of a gateway as announced to one allocator.

    A full update replaces all earlier entries. A partial one replaces only the
    entries that it contains; an entry with none waiting is removed.
    """

    sequence: int
    last_offer: int
    entries: list[DemandEntry]
    full: bool = True


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """A slot on an upstream, granted to a workspace at a gateway.

    `demand_sequence` identifies the demand update that it answers. The lease starts
    when the gateway sent that update.
    """

    grant_id: int
    demand_sequence: int
    upstream: str
    pool: str
    workspace: str
    work_class: str
    kv_tokens: int
    cost_tokens: float
    lease_s: float


class GrantReturn(msgspec.Struct, frozen=True, array_like=True):
    """Returns grants that are finished, or that were not used."""

    grant_ids: list[int]
    unused: bool = False


class GrantRenewal(msgspec.Struct, frozen=True, array_like=True):
    """Requests renewal of grants still in use at the sending gateway."""

    request: int
    grant_ids: list[int]


class GrantRenewed(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `GrantRenewal` with the grants whose lease was extended."""

    request: int
    grant_ids: list[int]


class FreeSlots(msgspec.Struct, frozen=True):
    """Advertises the sender's free slots for which it knows no demand."""

    pools: dict[str, int]


class TotalsRow(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative service of a workspace, per weight; `total` never decreases."""

    workspace: str
    total: float
    reserved: float
    backlogged: bool


class PoolTotals(msgspec.Struct, frozen=True, array_like=True):
    """Service totals of one pool."""

    pool: str
    rows: list[TotalsRow]


class LiftEntry(msgspec.Struct, frozen=True, array_like=True):
    """Virtual time added for a workspace; merged by maximum."""

    pool: str
    workspace: str
    lift: float


class TotalsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changed service totals and lifts of the sender.

    Attributes
    ----------
    last_offer : int
        Newest grant of the receiver whose reservation the totals include.
    row : int
        Row of the grid to which these sums belong; -1 for the sender's own totals.
    wants_sync : bool
        Whether the sender is new and requests the service of retired processes.
    answers : int
        Incarnation of the receiver whose sync request this answers; 0 if none.
    retired : list of PoolTotals
        Service given by processes that have left; only in such an answer.
    """

    incarnation: int
    sequence: int
    pools: list[PoolTotals]
    lifts: list[LiftEntry] = []
    last_offer: int = 0
    row: int = -1
    wants_sync: bool = False
    answers: int = 0
    retired: list[PoolTotals] = []


class TokenTimes(msgspec.Struct, frozen=True, array_like=True):
    """Recent intervals between tokens of one upstream, as seen by a gateway."""

    upstream: str
    count: int
    median_ms: float
    p95_ms: float


class UpstreamUse(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests that the sender has granted on an upstream."""

    upstream: str
    requests: int


class UpstreamUseReport(msgspec.Struct, frozen=True, array_like=True):
    """Input for the receiver's limit estimates of upstreams."""

    sequence: int
    times: list[TokenTimes]
    uses: list[UpstreamUse]


class LimitAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """The limit computed by an upstream's estimator."""

    upstream: str
    upstream_incarnation: str
    sequence: int
    max_requests: int
    max_kv_tokens: int
    observed_running: int
    valid_s: float
    leaving: bool = False


class OutcomeQuery(msgspec.Struct, frozen=True):
    """Requests the outcome of an action from the router that started it."""

    request: int
    record: str
    attempt_id: str


class OutcomeAnswer(msgspec.Struct, frozen=True):
    """Answers an `OutcomeQuery` with the encoded outcome, if known."""

    request: int
    record: str
    state: str
    outcome: bytes = b""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Envelope of a message; the payload is decoded according to its kind."""

    version: int
    sender: str
    incarnation: int
    epoch: int
    sequence: int
    kind: str
    payload: msgspec.Raw


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """The sender's outstanding work at one upstream."""

    upstream: str
    backlog_tokens: int
    running: int


class FleetDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of a router and the revisions of its copy of the store.

    Rows are grouped by common values, because digests make up most of the traffic
    between routers.

    Attributes
    ----------
    revisions : list of int
        Last known revision of each kind of state, in the order of the kinds.
    segments : dict
        Recently sent prompt segments with their token counts, by upstream.
    demands : dict, optional
        Not used; routers of older releases send their demand here.
    eras : list of int
        Eras of the revisions; routers of older releases send none.
    leaving : list of (str, int)
        Upstreams that say they are leaving, with their start times.
    utilisation_percent : int, optional
        Utilisation of the sender's event loop; routers of older releases send none.
    waits : list of (str, int, int, int, int)
        Of own requests since the last digest, where upstreams state a slowdown: the
        upstream with its start time, the expected and the actual time to the first
        byte in milliseconds, and the slowdown in percent.
    handoff_port : int
        Port that takes requests from peers; 0 for none. Routers of older releases send
        none.
    routes_evidence : bool
        Whether the sender takes `EvidenceNews`; routers of older releases do not.
    """

    address: PeerAddress
    revisions: list[int]
    loads: list[LoadRow]
    segments: dict[str, list[tuple[str, int]]]
    demands: dict[str, dict[str, int]] | None = None
    eras: list[int] = []
    leaving: list[tuple[str, int]] = []
    utilisation_percent: int | None = None
    waits: list[tuple[str, int, int, int, int]] = []
    handoff_port: int = 0
    routes_evidence: bool = False


class StatePull(msgspec.Struct, frozen=True, array_like=True):
    """Requests the state changes after the given revisions.

    `contiguous` means that the sender knows all changes up to these revisions, and
    that the answer must hold all that follow.
    """

    revisions: dict[str, int]
    eras: dict[str, int] = {}
    contiguous: bool = False


class StateRow(msgspec.Struct, frozen=True, array_like=True):
    """An object of the store, or its removal where `spec` is None."""

    name: str
    revision: int
    spec: bytes | None
    era: int = 0


class StateNews(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one kind of state.

    `steady` means that the sender's store has been available for long enough for
    removals to be applied at once. If `complete_at` is given, the rows are all objects
    of the kind as of this era and revision. In answers to contiguous pulls, the rows
    are all changes after `since`, if it is given, and up to `through`.
    """

    kind: str
    rows: list[StateRow]
    steady: bool
    complete_at: tuple[int, int] | None = None
    since: tuple[int, int] | None = None
    through: tuple[int, int] | None = None


_PAYLOADS = (
    EvidenceAck,
    EvidenceNews,
    FleetDigest,
    FollowNews,
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    RateNews,
    RolloutNews,
    RolloutReport,
    SegmentEvidence,
    ShareReport,
    ShareTotals,
    StateNews,
    StatePull,
    ZoneTotals,
    InForceAnswer,
    InForceQuery,
    LeavingNotice,
    MemberSync,
    Probe,
    ProbeAck,
    ProbeRequest,
    DemandUpdate,
    EpochAck,
    EpochNotice,
    FreeSlots,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    OutcomeAnswer,
    OutcomeQuery,
    ShareTransfer,
    TicketPull,
    TicketPush,
    TotalsUpdate,
    UpstreamUseReport,
)
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_DECODERS = {cls.__name__: msgspec.msgpack.Decoder(cls) for cls in _PAYLOADS}


def kind_of(payload: msgspec.Struct) -> str:
    """Return the kind of a payload, which is its class name."""
    return type(payload).__name__


def encode(
    payload: msgspec.Struct, sender: str, incarnation: int, epoch: int, sequence: int
) -> bytes:
    """Return a payload as an encoded message with its envelope."""
    envelope = Envelope(
        PROTOCOL_VERSION,
        sender,
        incarnation,
        epoch,
        sequence,
        kind_of(payload),
        msgspec.Raw(_ENCODER.encode(payload)),
    )
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> tuple[Envelope, msgspec.Struct]:
    """Return the envelope and the typed payload of a message.

    Raises
    ------
    CodecError
        If the message is malformed or of an unknown version or kind.
    """
    try:
        envelope = _ENVELOPE.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError("malformed") from error
    if envelope.version != PROTOCOL_VERSION:
        raise CodecError("unknown_version")
    decoder = _DECODERS.get(envelope.kind)
    if decoder is None:
        raise CodecError("unknown_kind")
    try:
        return envelope, decoder.decode(envelope.payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError("malformed") from error
