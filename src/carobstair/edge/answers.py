"""Passes the answer of one send on to the caller, whole or visibly broken."""

from __future__ import annotations

import time
from dataclasses import dataclass

from carobstair.core.directory import UpstreamEntry
from carobstair.core.engine_load import LoadBook, SentRequest
from carobstair.core.routing import RequestKind
from carobstair.edge.exchange import Exchange, Outcome, Send
from carobstair.edge.terms import AnswerTerms, Dialect
from carobstair.edge.upstream_connection import (
    AnswerHead,
    ConnectionBroken,
    UpstreamConnection,
)
from carobstair.logs import get_logger

__all__ = ["AnswerRelay"]

logger = get_logger(__name__)

# Larger answers are passed on while they come in.
MAX_WHOLE_ANSWER_BYTES = 512 * 1024
# Answers that belong to earlier requests and are skipped on one connection.
MAX_STRAY_ANSWERS = 4
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class AnswerRelay:
    """Reads answers of upstreams and passes them on.

    Parameters
    ----------
    loads : LoadBook
        Told of first bytes and of the load that answers carry.
    dialect : Dialect
    """

    loads: LoadBook
    dialect: Dialect

    async def relay(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Pass on what a send is answered with; return what became of it.

        Raises
        ------
        ConnectionBroken
            If the upstream broke off or sent what is no answer.
        """
        head, terms = await self._own_answer(exchange, connection)
        now_s = time.monotonic()
        loads = self.loads
        loads.note_heard(entry.upstream_id, now_s)
        if terms.load is not None:
            load = terms.load
            loads.note_report(
                entry.upstream_id, load.running, load.waiting, load.slots, now_s
            )
        if terms.not_run or terms.other_incarnation:
            exchange.detail = f"declined with {head.status}"
            await _drain(connection)
            if terms.other_incarnation:
                return Outcome.OTHER_INSTANCE
            return Outcome.NOT_RUN
        if exchange.method == "HEAD":
            await self.finish(exchange, head, b"", send)
            # The parser can't know that no body follows.
            connection.close()
            return Outcome.ANSWERED
        if not 200 <= head.status < 300:
            return await self._relay_failure(exchange, head, terms, connection, send)
        if terms.request_id != exchange.terms.request_id or not terms.sealed:
            exchange.detail = "the answer names no request or has no seal"
            return Outcome.UNKNOWN
        if exchange.route.kind is RequestKind.STREAM:
            return await self._relay_stream(exchange, head, connection, sent, send)
        return await self._relay_whole(exchange, head, connection, sent, send)

    async def _own_answer(
        self, exchange: Exchange, connection: UpstreamConnection
    ) -> tuple[AnswerHead, AnswerTerms]:
        """Return the answer to this request, past those of earlier ones."""
        for _ in range(MAX_STRAY_ANSWERS):
            head = await connection.read_head()
            terms = self.dialect.read_answer(head.status, head.headers)
            own = exchange.terms.request_id
            if terms.request_id in (None, own):
                if terms.request_id is None and connection.requests > 1:
                    # It may belong to an earlier request; then this one still runs.
                    terms = _as_unknown(terms)
                return head, terms
            logger.warning("stray_answer", request_id=own, belongs_to=terms.request_id)
            await _drain(connection)
        raise ConnectionBroken("too many stray answers")

    async def _relay_failure(
        self,
        exchange: Exchange,
        head: AnswerHead,
        terms: AnswerTerms,
        connection: UpstreamConnection,
        send: Send,
    ) -> Outcome:
        """Pass on a failure, or keep it until no other upstream can answer."""
        body = await _read_whole(connection)
        exchange.detail = f"status {head.status}"
        if terms.request_id != exchange.terms.request_id:
            return Outcome.UNKNOWN
        if exchange.started:
            return Outcome.FAILED
        if head.status in PROMISES_NOT_RUN:
            # Passed on, they would promise the caller that it has not run.
            return Outcome.FAILED
        if head.status >= 500:
            exchange.failure = (head, body)
            return Outcome.FAILED
        await self.finish(exchange, head, body, send)
        return Outcome.ANSWERED

    async def _relay_whole(
        self,
        exchange: Exchange,
        head: AnswerHead,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        parts: list[bytes] = []
        size = 0
        while (part := await connection.read_body()) is not None:
            self.loads.note_first_byte(sent, time.monotonic())
            parts.append(part)
            size += len(part)
            if size > MAX_WHOLE_ANSWER_BYTES:
                return await self._relay_large(exchange, head, connection, parts, send)
        await self.finish(exchange, head, b"".join(parts), send)
        return Outcome.ANSWERED

    async def _relay_large(
        self,
        exchange: Exchange,
        head: AnswerHead,
        connection: UpstreamConnection,
        parts: list[bytes],
        send: Send,
    ) -> Outcome:
        await self._start(exchange, head, None, send)
        await _send_body(send, b"".join(parts), more=True)
        while (part := await connection.read_body()) is not None:
            await _send_body(send, part, more=True)
        await _send_body(send, b"", more=False)
        exchange.completed = True
        return Outcome.ANSWERED

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: AnswerHead,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Pass on events as they come in, whole ones only where resumable."""
        loads, cutter = self.loads, exchange.cutter
        if exchange.started:
            exchange.resumed += 1
        while (part := await connection.read_body()) is not None:
            now_s = time.monotonic()
            loads.note_first_byte(sent, now_s)
            if cutter is not None:
                part = cutter.feed(part)
                if not part:
                    continue
            if not exchange.started:
                exchange.first_byte_s = now_s
                await self._start(exchange, head, None, send)
            await _send_body(send, part, more=True)
        if cutter is not None and not cutter.complete:
            exchange.detail = "the stream ended within an event"
            return Outcome.UNKNOWN
        if not exchange.started:
            await self._start(exchange, head, None, send)
        await _send_body(send, b"", more=False)
        exchange.completed = True
        return Outcome.ANSWERED

    async def finish(
        self, exchange: Exchange, head: AnswerHead, body: bytes, send: Send
    ) -> None:
        """Answer the caller with a body that is known in whole."""
        exchange.first_byte_s = time.monotonic()
        await self._start(exchange, head, len(body), send)
        await _send_body(send, body, more=False)
        exchange.completed = True

    async def _start(
        self, exchange: Exchange, head: AnswerHead, length: int | None, send: Send
    ) -> None:
        headers = self.dialect.write_answer(head.headers)
        if length is not None and exchange.method != "HEAD":
            headers.append((b"content-length", b"%d" % length))
        if exchange.closing:
            headers.append((b"connection", b"close"))
        exchange.started = True
        exchange.status = head.status
        message = {"type": "http.response.start", "status": head.status}
        await send(message | {"headers": headers})


async def _send_body(send: Send, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _drain(connection: UpstreamConnection) -> None:
    while await connection.read_body() is not None:
        pass


async def _read_whole(connection: UpstreamConnection) -> bytes:
    parts = []
    while (part := await connection.read_body()) is not None:
        parts.append(part)
    return b"".join(parts)


def _as_unknown(terms: AnswerTerms) -> AnswerTerms:
    return AnswerTerms(None, False, False, False, terms.load)
