"""Records of keyed actions: their encoding, and what this process knows of them."""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from enum import StrEnum

import msgspec

__all__ = [
    "MAX_KEPT_BODY_BYTES",
    "RECORD_PREFIX",
    "RETENTION_S",
    "ActionRecord",
    "Outcome",
    "OwnAttempts",
    "OwnerState",
    "RecordError",
    "RecordState",
    "body_hash",
    "decode_outcome",
    "decode_record",
    "encode_outcome",
    "encode_record",
    "record_name",
]

RECORD_PREFIX = "actions/"
RETENTION_S = 24 * 3600
MAX_KEPT_BODY_BYTES = 256 * 1024
# An attempt that was not sent matters while its record may still stand.
MAX_UNSENT_ATTEMPTS = 10_000


class RecordError(ValueError):
    """Bytes that are not an action record."""


class RecordState(StrEnum):
    """What a record says about its action."""

    STARTED = "started"
    DONE = "done"
    LOST = "lost"


class OwnerState(StrEnum):
    """What a router knows about an attempt."""

    NONE = "none"
    NOT_SENT = "not-sent"
    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    SILENT = "silent"


class Outcome(msgspec.Struct, frozen=True):
    """The upstream's answer to an action.

    `body_kept` is false where the body was too large for the record.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    body_kept: bool = True


class ActionRecord(msgspec.Struct, frozen=True):
    """The object that makes one process the only sender of an action."""

    attempt_id: str
    body_hash: str
    instance: str
    incarnation: int
    state: RecordState
    created_unix_s: float
    outcome: Outcome | None = None

    def ended(self, state: RecordState, outcome: Outcome | None) -> ActionRecord:
        """Return the record with its end; a body beyond the limit is left out."""
        if outcome is not None and len(outcome.body) > MAX_KEPT_BODY_BYTES:
            outcome = Outcome(outcome.status, outcome.headers, b"", False)
        return msgspec.structs.replace(self, state=state, outcome=outcome)


class OwnAttempts:
    """Ids of this process's attempts, and which of them were never sent.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    generator : random.Random
    """

    def __init__(self, own: tuple[str, int], generator: random.Random):
        self.own = own
        self._generator = generator
        self._unsent: OrderedDict[str, None] = OrderedDict()

    def new(self) -> str:
        """Return an id that no other attempt has."""
        instance, incarnation = self.own
        return f"{instance}.{incarnation:x}.{self._generator.getrandbits(64):016x}"

    def note_not_sent(self, attempt_id: str) -> None:
        """Remember that an attempt did not run and never will."""
        self._unsent[attempt_id] = None
        while len(self._unsent) > MAX_UNSENT_ATTEMPTS:
            self._unsent.popitem(last=False)

    def was_not_sent(self, attempt_id: str) -> bool:
        """Return whether an attempt is known not to have run."""
        return attempt_id in self._unsent


_ENCODER = msgspec.msgpack.Encoder()
_RECORD = msgspec.msgpack.Decoder(ActionRecord)
_OUTCOME = msgspec.msgpack.Decoder(Outcome)


def record_name(workspace: str, key: str) -> str:
    """Return the name of an action's object."""
    return f"{RECORD_PREFIX}{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


def body_hash(service: str, method: str, path: str, body: bytes) -> str:
    """Return a digest of the request that a key stands for."""
    head = f"{service}\n{method}\n{path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def encode_record(record: ActionRecord) -> bytes:
    """Return a record as bytes."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ActionRecord:
    """Return a stored record.

    Raises
    ------
    RecordError
    """
    try:
        return _RECORD.decode(data)
    except msgspec.DecodeError as error:
        raise RecordError(str(error)) from error


def encode_outcome(outcome: Outcome | None) -> bytes:
    """Return an outcome as bytes; none as no bytes."""
    return b"" if outcome is None else _ENCODER.encode(outcome)


def decode_outcome(data: bytes) -> Outcome | None:
    """Return an outcome that a peer sent; no bytes mean none.

    Raises
    ------
    RecordError
    """
    try:
        return _OUTCOME.decode(data) if data else None
    except msgspec.DecodeError as error:
        raise RecordError(str(error)) from error
