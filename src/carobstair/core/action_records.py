"""Stored records of keyed actions, their encoding, and this process's attempts."""

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
    "LocalAttempts",
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
# Ids of unsent attempts are kept because their records may still be in the store.
MAX_UNSENT_ATTEMPTS = 10_000


class RecordError(ValueError):
    """Bytes can't be decoded as an action record or an outcome."""


class RecordState(StrEnum):
    """State of an action as its record gives it."""

    STARTED = "started"
    DONE = "done"
    LOST = "lost"


class OwnerState(StrEnum):
    """State of an attempt as a router reports it; `SILENT` stands for no answer."""

    NONE = "none"
    NOT_SENT = "not-sent"
    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    SILENT = "silent"


class Outcome(msgspec.Struct, frozen=True):
    """The upstream's answer to an action.

    `body_kept` is false if the body was too large to be stored in the record.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    body_kept: bool = True


class ActionRecord(msgspec.Struct, frozen=True):
    """The stored object that makes one process the only sender of an action."""

    attempt_id: str
    body_hash: str
    instance: str
    incarnation: int
    state: RecordState
    created_unix_s: float
    outcome: Outcome | None = None

    def with_outcome(self, state: RecordState, outcome: Outcome | None) -> ActionRecord:
        """Return the record with its final state; a body over the limit is left out."""
        if outcome is not None and len(outcome.body) > MAX_KEPT_BODY_BYTES:
            outcome = Outcome(outcome.status, outcome.headers, b"", False)
        return msgspec.structs.replace(self, state=state, outcome=outcome)


class LocalAttempts:
    """Creates this process's attempt ids and keeps those that were never sent.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation of this process.
    generator : random.Random
    """

    def __init__(self, own: tuple[str, int], generator: random.Random):
        self.own = own
        self._generator = generator
        self._unsent: OrderedDict[str, None] = OrderedDict()

    def new(self) -> str:
        """Return a unique attempt id."""
        instance, incarnation = self.own
        return f"{instance}.{incarnation:x}.{self._generator.getrandbits(64):016x}"

    def mark_not_sent(self, attempt_id: str) -> None:
        """Record that an attempt was not sent and will not be."""
        self._unsent[attempt_id] = None
        while len(self._unsent) > MAX_UNSENT_ATTEMPTS:
            self._unsent.popitem(last=False)

    def was_not_sent(self, attempt_id: str) -> bool:
        """Return whether an attempt is recorded as not sent."""
        return attempt_id in self._unsent


_ENCODER = msgspec.msgpack.Encoder()
_RECORD = msgspec.msgpack.Decoder(ActionRecord)
_OUTCOME = msgspec.msgpack.Decoder(Outcome)


def record_name(workspace: str, key: str) -> str:
    """Return the name of an action's object."""
    return f"{RECORD_PREFIX}{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


def body_hash(service: str, method: str, path: str, body: bytes) -> str:
    """Return the digest of the request that an idempotency key is bound to."""
    head = f"{service}\n{method}\n{path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def encode_record(record: ActionRecord) -> bytes:
    """Return the encoded record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ActionRecord:
    """Return the record decoded from stored bytes.

    Raises
    ------
    RecordError
    """
    try:
        return _RECORD.decode(data)
    except msgspec.DecodeError as error:
        raise RecordError(str(error)) from error


def encode_outcome(outcome: Outcome | None) -> bytes:
    """Return the encoded outcome, or empty bytes for None."""
    return b"" if outcome is None else _ENCODER.encode(outcome)


def decode_outcome(data: bytes) -> Outcome | None:
    """Return the outcome decoded from a peer's message; empty bytes mean None.

    Raises
    ------
    RecordError
    """
    try:
        return _OUTCOME.decode(data) if data else None
    except msgspec.DecodeError as error:
        raise RecordError(str(error)) from error
