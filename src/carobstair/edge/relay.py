"""Sends requests to upstreams and relays their answers, one request at a time.

Three outcomes of a send are kept apart: the upstream has not run the request, it
has answered, or nobody knows. Only the first allows an unrepeatable request to be
sent elsewhere or to be refused as not run.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import SentRequest
from carobstair.core.refusals import refuse
from carobstair.core.routing import RequestKind, Route, ServicePool
from carobstair.edge.event_stream import EventCutter
from carobstair.edge.terms import AnswerTerms, Dialect, Headers, RequestTerms, SendTerms
from carobstair.edge.upstream_connection import (
    AnswerHead,
    ConnectionBroken,
    UpstreamConnection,
)
from carobstair.edge.upstream_pool import PoolFull, UpstreamPool
from carobstair.logs import get_logger

__all__ = ["BrokenAnswer", "Exchange", "Relay"]

logger = get_logger(__name__)

# Larger answers are passed on while they come in.
MAX_WHOLE_ANSWER_BYTES = 512 * 1024
# Upstreams that could not be reached, tried for one request.
MAX_UNREACHED = 4
# Pause before the next look for a cold upstream's turn or a free connection.
RETRY_PAUSE_S = 0.02
# A request waits this part of its objective for an upstream that takes it.
PLACE_WAIT_FRACTION = 0.4
# Answers that belong to earlier requests and are skipped on one connection.
MAX_STRAY_ANSWERS = 4
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})

Send = Callable[[dict], Awaitable[None]]


class BrokenAnswer(Exception):
    """The answer to the caller can't be completed; its connection must break."""


class Outcome(StrEnum):
    """What became of one send."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Exchange:
    """One request of a caller on its way.

    Attributes
    ----------
    until_s : float
        Monotonic time at which its final answer is due.
    may_have_run : bool
        Whether some upstream may have begun to work on it.
    expected_s : float
        Estimated wait for the first token when it was placed.
    unread_tokens : int
        Prompt tokens that the upstream had to read, by the same estimate.
    """

    terms: RequestTerms
    route: Route
    pool: ServicePool
    workspace: str | None
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float
    until_s: float
    closing: bool = False
    attempts: int = 0
    unreached: int = 0
    avoided: set[str] = field(default_factory=set)
    may_have_run: bool = False
    started: bool = False
    completed: bool = False
    upstream_id: str = ""
    status: int = 0
    first_byte_s: float | None = None
    cutter: EventCutter | None = None
    failure: tuple[AnswerHead, bytes] | None = None
    detail: str = ""
    resumed: int = 0
    expected_s: float = 0.0
    unread_tokens: int = 0


@dataclass(slots=True)
class Relay:
    """Places, sends and relays requests.

    Parameters
    ----------
    dispatcher : Dispatcher
    connections : UpstreamPool
    dialect : Dialect
    """

    dispatcher: Dispatcher
    connections: UpstreamPool
    dialect: Dialect

    async def run(self, exchange: Exchange, send: Send) -> None:
        """Have a request answered.

        Raises
        ------
        Refusal
            If no answer can be given and none has begun.
        BrokenAnswer
            If an answer has begun that can't be completed.
        """
        exchange.upstream_id = ""
        self.dispatcher.resends.note_request(exchange.pool.name, exchange.arrived_s)
        if exchange.route.kind is RequestKind.STREAM and exchange.route.resumable:
            exchange.cutter = EventCutter(exchange.terms.last_event_id)
        try:
            async with asyncio.timeout_at(exchange.until_s):
                while not await self._attempt(exchange, send):
                    pass
        except TimeoutError:
            raise self._timed_out(exchange) from None

    def _timed_out(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return BrokenAnswer("the route's time is over")
        if exchange.may_have_run:
            return refuse("timed-out", exchange.upstream_id)
        return refuse("upstreams-unreached", exchange.detail)

    async def _attempt(self, exchange: Exchange, send: Send) -> bool:
        """Try one upstream; return whether the answer is complete."""
        entry, connection = await self._connect(exchange)
        now_s = time.monotonic()
        exchange.attempts += 1
        exchange.upstream_id = entry.upstream_id
        loads = self.dispatcher.loads
        prompt = exchange.terms.prompt
        exchange.expected_s = loads.expected_wait_s(entry.upstream_id, prompt)
        sent = loads.begin(entry.upstream_id, prompt, now_s)
        exchange.unread_tokens = sent.unread_tokens
        kept = False
        ran_before = exchange.may_have_run
        # From here on the outcome is unknown until the upstream has told it.
        exchange.may_have_run = True
        try:
            connection.send(self._head(exchange, entry, now_s), exchange.body)
            try:
                outcome = await self._relay(exchange, entry, connection, sent, send)
                kept = outcome is not Outcome.UNKNOWN
                if outcome is Outcome.NOT_RUN:
                    exchange.may_have_run = ran_before
            except ConnectionBroken as error:
                exchange.detail = str(error)
                outcome = Outcome.UNKNOWN
        finally:
            loads.end(sent, time.monotonic())
            if kept:
                self.connections.release(entry, connection)
            else:
                self.connections.drop(entry, connection)
        return await self._settle(exchange, entry, outcome, send)

    async def _settle(
        self, exchange: Exchange, entry: UpstreamEntry, outcome: Outcome, send: Send
    ) -> bool:
        """Return whether the request has its answer; otherwise allow one more."""
        now_s = time.monotonic()
        health = self.dispatcher.health
        if outcome is Outcome.ANSWERED:
            health.note_success(entry.upstream_id, now_s)
            return True
        exchange.avoided.add(entry.upstream_id)
        if outcome is not Outcome.NOT_RUN:
            health.note_error(entry.upstream_id, now_s)
        again = self._may_send_again(exchange, outcome, now_s)
        logger.info(
            "attempt_failed",
            request_id=exchange.terms.request_id,
            upstream=entry.upstream_id,
            outcome=str(outcome),
            attempt=exchange.attempts,
            detail=exchange.detail,
            again=again,
            started=exchange.started,
        )
        if exchange.cutter is not None:
            exchange.cutter.restart()
        if again:
            return False
        if exchange.started:
            raise BrokenAnswer(exchange.detail or str(outcome))
        if exchange.failure is not None:
            await self._finish(exchange, *exchange.failure, send)
            return True
        if exchange.may_have_run:
            raise refuse("answer-lost", exchange.detail)
        raise refuse("upstreams-full", exchange.detail)

    def _may_send_again(
        self, exchange: Exchange, outcome: Outcome, now_s: float
    ) -> bool:
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        if outcome is not Outcome.NOT_RUN and not exchange.route.repeatable:
            return False
        if exchange.started and exchange.cutter is None:
            return False
        if exchange.until_s - now_s < 0.02:
            return False
        routers = len(self.dispatcher.routers) or 1
        return self.dispatcher.resends.take(exchange.pool.name, routers, now_s)

    async def _connect(
        self, exchange: Exchange
    ) -> tuple[UpstreamEntry, UpstreamConnection]:
        """Return an upstream with a connection on which it may be sent to now."""
        wait_s = PLACE_WAIT_FRACTION * exchange.route.target_latency_s
        give_up_s = min(time.monotonic() + wait_s, exchange.until_s)
        full: set[str] = set()
        while True:
            now_s = time.monotonic()
            entry = self.dispatcher.choose(
                exchange.pool, exchange.terms.prompt, exchange.avoided | full, now_s
            )
            if entry is None:
                if now_s >= give_up_s or exchange.unreached >= MAX_UNREACHED:
                    raise self._unplaced(exchange)
                full.clear()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            connection = await self._open(exchange, entry, full)
            if connection is None:
                continue
            if self.dispatcher.confirm(entry, exchange.pool, time.monotonic()):
                return entry, connection
            # Something has changed while the connection was opened.
            self.connections.release(entry, connection)

    async def _open(
        self, exchange: Exchange, entry: UpstreamEntry, full: set[str]
    ) -> UpstreamConnection | None:
        routers = max(1, len(self.dispatcher.routers))
        # Callers spread unevenly over routers, so one may use twice its part.
        limit = max(4, 2 * exchange.pool.max_connections // routers)
        try:
            return await self.connections.acquire(entry, limit)
        except PoolFull:
            full.add(entry.upstream_id)
            exchange.detail = "connections in use"
        except ConnectionBroken as error:
            now_s = time.monotonic()
            self.dispatcher.note_unreachable(entry, exchange.pool, now_s)
            exchange.avoided.add(entry.upstream_id)
            exchange.unreached += 1
            exchange.detail = str(error)
            logger.info(
                "upstream_unreached",
                request_id=exchange.terms.request_id,
                upstream=entry.upstream_id,
                detail=str(error),
            )
        return None

    def _unplaced(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return BrokenAnswer("no upstream to go on at")
        if exchange.may_have_run:
            return refuse("answer-lost", exchange.detail)
        if exchange.unreached:
            return refuse("upstreams-unreached", exchange.detail)
        return refuse("no-capacity", exchange.pool.name, 0.5)

    def _head(self, exchange: Exchange, entry: UpstreamEntry, now_s: float) -> bytes:
        last_event_id = None
        if exchange.cutter is not None:
            last_event_id = exchange.cutter.last_id
        elif exchange.terms.last_event_id is not None:
            last_event_id = exchange.terms.last_event_id
        terms = SendTerms(
            entry.upstream_id,
            max(1, int((exchange.until_s - now_s) * 1000)),
            exchange.workspace,
            last_event_id,
        )
        lines = [b"%s %s HTTP/1.1" % (exchange.method.encode(), exchange.target)]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in self.dialect.write_request(exchange.headers, terms)
        ]
        if exchange.body or exchange.method not in ("GET", "HEAD"):
            lines.append(b"content-length: %d" % len(exchange.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Answers

    async def _relay(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        head, terms = await self._own_answer(exchange, connection)
        now_s = time.monotonic()
        loads = self.dispatcher.loads
        loads.note_heard(entry.upstream_id, now_s)
        if terms.load is not None:
            load = terms.load
            loads.note_report(
                entry.upstream_id, load.running, load.waiting, load.slots, now_s
            )
        if terms.not_run or terms.other_incarnation:
            exchange.detail = f"declined with {head.status}"
            await _drain(connection)
            return Outcome.NOT_RUN
        if exchange.method == "HEAD":
            await self._finish(exchange, head, b"", send)
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
        await self._finish(exchange, head, body, send)
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
            self.dispatcher.loads.note_first_byte(sent, time.monotonic())
            parts.append(part)
            size += len(part)
            if size > MAX_WHOLE_ANSWER_BYTES:
                return await self._relay_large(exchange, head, connection, parts, send)
        await self._finish(exchange, head, b"".join(parts), send)
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
        loads, cutter = self.dispatcher.loads, exchange.cutter
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

    async def _finish(
        self, exchange: Exchange, head: AnswerHead, body: bytes, send: Send
    ) -> None:
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
