"""Tickets: the log from which the fleet state results, and filing of new tickets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

import xxhash

from carobstair.core.effects import Effect, FilingFinished, Warn
from carobstair.core.refusals import Refusal, refuse
from carobstair.core.shares import Epoch
from carobstair.core.state import FleetState, Ticket
from carobstair.core.store_calls import StoreAnswer, StoreCalls, StoreOutcome

__all__ = [
    "TICKET_PREFIX",
    "StateCodec",
    "TicketFiling",
    "TicketLog",
    "apply_or_warn",
    "ticket_name",
]

TICKET_PREFIX = "tickets/"
# Kept for peers that lag behind; a peer that lags further receives a snapshot.
MAX_KEPT_TICKETS = 500
MAX_TICKET_BYTES = 1_000_000
READ_BACK_RETRY_S = 0.3
READ_BACK_LIMIT_S = 8.0


def ticket_name(number: int) -> str:
    """Return the name of a ticket's object."""
    return f"{TICKET_PREFIX}{number:08d}"


class StateCodec(Protocol):
    """Encodes and decodes the objects that the object API stores.

    Every ``decode`` method raises `ValueError` on bytes that it can't decode.
    """

    def encode_ticket(self, ticket: Ticket) -> bytes:
        """Return the encoded ticket."""

    def decode_ticket(self, data: bytes) -> Ticket:
        """Return the ticket decoded from stored bytes."""

    def encode_state(self, state: FleetState) -> bytes:
        """Return the encoded snapshot; equal states give equal bytes."""

    def decode_state(self, data: bytes) -> FleetState:
        """Return the state decoded from a snapshot."""

    def encode_epoch(self, epoch: Epoch) -> bytes:
        """Return the encoded epoch."""

    def decode_epoch(self, data: bytes) -> Epoch:
        """Return the epoch decoded from stored bytes."""


class TicketLog:
    """The fleet state in force and the newest tickets behind it.

    The number in force only grows: a ticket is applied only if it is the next one, a
    snapshot only if it is newer.

    Parameters
    ----------
    codec : StateCodec
    """

    def __init__(self, codec: StateCodec):
        self._codec = codec
        self.state = FleetState()
        self.digest = 0
        self._kept: dict[int, bytes] = {}

    def apply(self, tickets: Iterable[bytes]) -> list[bytes]:
        """Put the tickets that come next in force and return them.

        Raises
        ------
        ValueError
            If one can't be decoded. Those before it are in force; later ones are
            not, because skipping a ticket would make the states of routers diverge.
        """
        applied = []
        try:
            for data in tickets:
                ticket = self._codec.decode_ticket(data)
                if ticket.number == self.state.number + 1:
                    self.state = self.state.apply(ticket)
                    self._keep(ticket.number, data)
                    applied.append(data)
        finally:
            if applied:
                self._set_digest()
        return applied

    def restore(self, snapshot: bytes) -> bool:
        """Replace the state by a snapshot if that is newer, and return whether it was.

        Raises
        ------
        ValueError
            If it can't be decoded.
        """
        state = self._codec.decode_state(snapshot)
        if state.number <= self.state.number:
            return False
        self.state = state
        self._kept = {}
        self._set_digest()
        return True

    def snapshot(self) -> bytes:
        """Return the encoded state in force."""
        return self._codec.encode_state(self.state)

    def snapshot_number(self, snapshot: bytes) -> int:
        """Return the ticket number of a snapshot, or 0 if it can't be decoded."""
        try:
            return self._codec.decode_state(snapshot).number
        except ValueError:
            return 0

    def ticket(self, number: int) -> bytes | None:
        """Return the encoded ticket of a number, or None if it is not kept."""
        return self._kept.get(number)

    def tickets_after(self, number: int, limit: int) -> list[bytes] | None:
        """Return up to `limit` tickets after a number, or None if one is not kept."""
        wanted = range(number + 1, self.state.number + 1)[:limit]
        if any(n not in self._kept for n in wanted):
            return None
        return [self._kept[n] for n in wanted]

    def _keep(self, number: int, data: bytes) -> None:
        self._kept[number] = data
        self._kept.pop(number - MAX_KEPT_TICKETS, None)

    def _set_digest(self) -> None:
        self.digest = xxhash.xxh3_64_intdigest(self.snapshot())


@dataclass(slots=True)
class _Filing:
    """A ticket that is being filed.

    Attributes
    ----------
    maybe_written : bool
        Whether a write may have taken effect without an answer.
    """

    filing: int
    ticket: Ticket
    until_s: float
    data: bytes = b""
    maybe_written: bool = False


class TicketFiling:
    """Writes tickets to the object API and resolves writes whose answer was lost.

    Parameters
    ----------
    log : TicketLog
    codec : StateCodec
    calls : StoreCalls
    apply_tickets : callable
        Puts tickets in force on this node and returns the effects.
    """

    def __init__(
        self,
        log: TicketLog,
        codec: StateCodec,
        calls: StoreCalls,
        apply_tickets: Callable[[list[bytes], float], list[Effect]],
    ):
        self._log = log
        self._codec = codec
        self._calls = calls
        self._apply_tickets = apply_tickets
        self._retries: list[tuple[float, _Filing]] = []

    def file(self, filing: int, ticket: Ticket, now_s: float) -> list[Effect]:
        """File a ticket; a `FilingFinished` effect with this id gives the result.

        Parameters
        ----------
        ticket : Ticket
            With a submission id; number 0 means the next free number.
        """
        job = _Filing(filing, ticket, now_s + READ_BACK_LIMIT_S)
        # The list makes sure that the ticket builds on all tickets written so
        # far, and finds an earlier filing of the same submission.
        after = ticket_name(self._log.state.number)
        handler = self._handler(self._on_list, job)
        return [self._calls.list(TICKET_PREFIX, after, handler)]

    def tick(self, now_s: float) -> list[Effect]:
        """Read tickets back again for which the last read gave no answer."""
        due = [job for at_s, job in self._retries if at_s <= now_s]
        self._retries = [(at_s, job) for at_s, job in self._retries if at_s > now_s]
        return [effect for job in due for effect in self._read_back(job)]

    def _on_list(self, job: _Filing, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok:
            detail = f"the object API is {answer.outcome}; nothing was written"
            return [_refused(job, refuse("ticket-not-written", detail))]
        effects = self._apply_tickets([o.value for o in answer.objects], now_s)
        state = self._log.state
        earlier = state.submissions.get(job.ticket.submission_id)
        if earlier is not None:
            return [*effects, FilingFinished(job.filing, earlier)]
        number = state.number + 1
        if job.ticket.number not in (0, number):
            return [*effects, _refused(job, self._wrong_number(job, number))]
        job.ticket = replace(job.ticket, number=number)
        job.data = self._codec.encode_ticket(job.ticket)
        if len(job.data) > MAX_TICKET_BYTES:
            limit = f"a ticket has at most {MAX_TICKET_BYTES} bytes"
            return [*effects, _refused(job, refuse("too-large", limit))]
        return [*effects, self._create(job)]

    def _wrong_number(self, job: _Filing, following: int) -> Refusal:
        asked = job.ticket.number
        data = self._log.ticket(asked)
        holder = f"; {self._describe_stored(data)}" if data is not None else ""
        detail = f"number: {asked} is not the next number {following}{holder}"
        return refuse("ticket-conflict", detail)

    def _create(self, job: _Filing):
        handler = self._handler(self._on_create, job)
        return self._calls.create(ticket_name(job.ticket.number), job.data, handler)

    def _on_create(
        self, job: _Filing, answer: StoreAnswer, now_s: float
    ) -> list[Effect]:
        if answer.ok:
            return self._filed(job, job.data, now_s)
        if answer.outcome is StoreOutcome.NOT_SENT and not job.maybe_written:
            detail = "the object API can't be reached; nothing was sent"
            return [_refused(job, refuse("ticket-not-written", detail))]
        if answer.outcome is StoreOutcome.UNAVAILABLE:
            job.maybe_written = True
        return self._read_back(job)

    def _read_back(self, job: _Filing) -> list[Effect]:
        handler = self._handler(self._on_read_back, job)
        return [self._calls.get(ticket_name(job.ticket.number), handler)]

    def _on_read_back(
        self, job: _Filing, answer: StoreAnswer, now_s: float
    ) -> list[Effect]:
        if answer.ok:
            return self._resolve(job, answer.objects[0].value, now_s)
        if now_s >= job.until_s:
            submission_id = job.ticket.submission_id
            detail = f"number {job.ticket.number}, submission_id {submission_id}"
            return [_refused(job, refuse("ticket-unknown", detail))]
        if answer.outcome is StoreOutcome.MISSING:
            # The first write may still be in flight. Creating the same ticket again
            # is harmless and gives a definite result.
            return [self._create(job)]
        self._retries.append((now_s + READ_BACK_RETRY_S, job))
        return []

    def _resolve(self, job: _Filing, data: bytes, now_s: float) -> list[Effect]:
        if self._submission_of(data) == job.ticket.submission_id:
            return self._filed(job, data, now_s)
        effects = self._apply_tickets([data], now_s)
        detail = f"number {job.ticket.number}: {self._describe_stored(data)}"
        return [*effects, _refused(job, refuse("ticket-conflict", detail))]

    def _filed(self, job: _Filing, stored: bytes, now_s: float) -> list[Effect]:
        effects = self._apply_tickets([stored], now_s)
        return [*effects, FilingFinished(job.filing, job.ticket.number)]

    def _submission_of(self, data: bytes) -> str:
        try:
            return self._codec.decode_ticket(data).submission_id
        except ValueError:
            return ""

    def _describe_stored(self, data: bytes) -> str:
        try:
            winner = self._codec.decode_ticket(data)
        except ValueError:
            return "it holds a ticket that this version can't read"
        author = winner.author or "an unnamed author"
        return f"it holds submission_id {winner.submission_id} by {author}"

    def _handler(self, method, job: _Filing):
        return lambda answer, now_s: method(job, answer, now_s)


def _refused(job: _Filing, refusal: Refusal) -> FilingFinished:
    return FilingFinished(job.filing, refusal=refusal)


def apply_or_warn(log: TicketLog, tickets: list[bytes]) -> tuple[bool, list[Effect]]:
    """Apply tickets; return whether the state changed, and a warning if one is bad."""
    before = log.state.number
    effects: list[Effect] = []
    try:
        log.apply(tickets)
    except ValueError as error:
        effects.append(Warn("ticket_unreadable", str(error)))
    return log.state.number > before, effects
