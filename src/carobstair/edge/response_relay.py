"""Relays the response to one attempt to the caller.

The caller receives a complete response or sees its connection break.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker, SentRequest
from carobstair.core.framing import Framing
from carobstair.core.memory_ledger import Holding, MemoryKind, MemoryLedger
from carobstair.core.routing import RequestKind
from carobstair.edge.crash_guard import CrashGuard
from carobstair.edge.event_stream import EventBoundary, EventTooLarge
from carobstair.edge.exchange import Exchange, Outcome, Send
from carobstair.edge.metadata import Dialect, ResponseMetadata
from carobstair.edge.permit_exchange import PermitExchange, log_rate
from carobstair.edge.upstream_connection import (
    ConnectionBroken,
    ResponseHead,
    UpstreamConnection,
)
from carobstair.logs import get_logger

__all__ = ["ResponseRelay"]

logger = get_logger(__name__)

# Larger responses are streamed to the caller instead of being buffered.
MAX_BUFFERED_RESPONSE_BYTES = 512 * 1024
# So much of a response is buffered even without room in the ledger, so that small ones
# can be tried again. Together they are bounded by the number of open requests.
SMALL_ANSWER_BYTES = 4 * 1024
# Responses to earlier requests that are skipped on one connection.
MAX_STALE_RESPONSES = 4
# Bodies that are read only to reuse their connection; longer ones close it.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.1
# Last bytes of a stream that are kept for its log line.
LOGGED_BYTES = 8
# Incarnations of which an unreadable load is logged only once.
MAX_LOGGED_LOADS = 1024
# A client may take these to mean that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class ResponseRelay:
    """Reads responses from upstreams and relays them to callers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Updated with first bytes and with what responses say of their upstream.
    dialect : Dialect
    guard : CrashGuard
        Updated with the progress of answers.
    permits : PermitExchange
        Updated with the rates that responses state.
    ledger : MemoryLedger
        Has the memory of responses that are buffered.
    event_pause_s : callable
        Returns how long a stream is not read after a part of it was relayed.
    """

    dispatcher: Dispatcher
    dialect: Dialect
    guard: CrashGuard
    permits: PermitExchange
    ledger: MemoryLedger
    event_pause_s: Callable[[], float] = lambda: 0.0
    # Incarnations whose unreadable load has been logged.
    _logged_loads: set[tuple[str, int]] = field(default_factory=set)

    @property
    def loads(self) -> LoadTracker:
        """Load of the upstreams."""
        return self.dispatcher.loads

    async def relay(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Relay the response to an attempt and return the attempt's outcome.

        Raises
        ------
        ConnectionBroken
            If the response broke off or was not valid.
        """
        head, metadata = await self._read_matching_response(exchange, entry, connection)
        exchange.framing = head.framing
        exchange.progress.head_s = time.monotonic()
        if metadata.not_run or metadata.other_incarnation:
            exchange.detail = f"declined with {head.status}"
            # What the head says holds, even if the body does not end.
            await _try_discard_body(connection)
            if metadata.other_incarnation:
                return Outcome.OTHER_INSTANCE
            return Outcome.NOT_RUN
        if exchange.method == "HEAD":
            return await self._relay_head(exchange, head, metadata, send)
        if not 200 <= head.status < 300:
            return await self._relay_error_response(
                exchange, head, metadata, connection, send
            )
        if metadata.request_id != exchange.metadata.request_id or not metadata.sealed:
            exchange.detail = "the answer names no request or has no seal"
            return Outcome.UNKNOWN
        if exchange.route.kind is RequestKind.STREAM:
            return await self._relay_stream(exchange, head, connection, sent, send)
        return await self._relay_buffered(exchange, head, connection, sent, send)

    async def _relay_head(
        self,
        exchange: Exchange,
        head: ResponseHead,
        metadata: ResponseMetadata,
        send: Send,
    ) -> Outcome:
        """Relay the response to a HEAD request, which has no body."""
        sealed = metadata.sealed or not 200 <= head.status < 300
        if metadata.request_id != exchange.metadata.request_id or not sealed:
            exchange.detail = "the answer names no request or has no seal"
            return Outcome.UNKNOWN
        if head.status in NOT_RUN_STATUSES:
            exchange.detail = f"status {head.status}"
            return Outcome.FAILED
        await self.respond(exchange, head, b"", send)
        return Outcome.ANSWERED

    def _note_contact(self, entry: UpstreamEntry, metadata: ResponseMetadata) -> None:
        """Record that an upstream sends responses, to whatever request."""
        now_s = time.monotonic()
        self.loads.note_activity(entry.upstream_id, now_s)
        self.guard.note_contact(entry, now_s, metadata.other_incarnation)

    def _note_upstream(self, entry: UpstreamEntry, metadata: ResponseMetadata) -> None:
        """Record what the response to a request says of its upstream."""
        now_s = time.monotonic()
        if metadata.load is not None:
            load = metadata.load
            self.loads.note_report(
                entry.upstream_id,
                load.running,
                load.waiting,
                load.slots,
                now_s,
                load.slowdown,
                "" if metadata.other_incarnation else entry.service,
                entry.born_ms,
            )
        if metadata.load_unreadable:
            self._note_unreadable_load(entry)
        if metadata.other_incarnation:
            # The response describes another upstream.
            return
        directory = self.dispatcher.directory
        if metadata.leaving and directory.note_leaving(entry, now_s):
            logger.info("upstream_leaving", upstream=entry.upstream_id)
        if metadata.pause_s is not None:
            directory.note_pause(entry, now_s + metadata.pause_s)
            logger.info(
                "upstream_paused",
                upstream=entry.upstream_id,
                pause_s=round(metadata.pause_s, 3),
            )

    def _note_unreadable_load(self, entry: UpstreamEntry) -> None:
        self.loads.unreadable_reports += 1
        incarnation = entry.upstream_id, entry.born_ms
        if incarnation not in self._logged_loads:
            if len(self._logged_loads) >= MAX_LOGGED_LOADS:
                self._logged_loads.clear()
            self._logged_loads.add(incarnation)
            logger.info("upstream_load_unreadable", upstream=entry.upstream_id)

    def _note_rate(
        self, exchange: Exchange, entry: UpstreamEntry, metadata: ResponseMetadata
    ) -> None:
        """Record the request rate that the response states, or that it states none."""
        if metadata.other_incarnation or metadata.rate_unreadable:
            if metadata.rate_unreadable and metadata.request_id is not None:
                logger.info("upstream_limit_unreadable", upstream=entry.upstream_id)
            return
        if metadata.rate_per_s is None and metadata.request_id is None:
            return
        upstream = entry.upstream_id, entry.born_ms
        rate = self.dispatcher.rates.note_response(
            upstream, metadata.rate_per_s, exchange.progress.sent_s, time.monotonic()
        )
        if rate is not None:
            log_rate(entry.upstream_id, rate)
            self.permits.announce(upstream)

    async def _read_matching_response(
        self, exchange: Exchange, entry: UpstreamEntry, connection: UpstreamConnection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the response to this request, skipping those to earlier ones."""
        for _ in range(MAX_STALE_RESPONSES):
            head = await connection.read_head()
            metadata = self.dialect.read_response(head.status, head.headers)
            self._note_contact(entry, metadata)
            own = exchange.metadata.request_id
            if metadata.request_id in (None, own):
                if metadata.request_id is None and connection.request_count > 1:
                    # It may answer an earlier request while this one still runs.
                    metadata = _load_only(metadata)
                self._note_upstream(entry, metadata)
                self._note_rate(exchange, entry, metadata)
                return head, metadata
            logger.warning(
                "stray_answer",
                request_id=own,
                response_request_id=metadata.request_id,
            )
            await _discard_body(connection)
        raise ConnectionBroken("too many stray answers")

    async def _relay_error_response(
        self,
        exchange: Exchange,
        head: ResponseHead,
        metadata: ResponseMetadata,
        connection: UpstreamConnection,
        send: Send,
    ) -> Outcome:
        """Relay an error response, or hold a 5xx until no attempt is left.

        One for which there is no room is relayed as it arrives, and ends the attempts.
        """
        is_own = metadata.request_id == exchange.metadata.request_id
        # After a 503, say, the caller would assume that the request did not run.
        if not is_own or exchange.started or head.status in NOT_RUN_STATUSES:
            await _discard_body(connection, MAX_BUFFERED_RESPONSE_BYTES)
            exchange.detail = f"status {head.status}"
            return Outcome.FAILED if is_own else Outcome.UNKNOWN
        is_failure = head.status >= 500
        parts: deque[bytes] = deque()
        size = 0
        holding = self.ledger.hold(MemoryKind.ANSWERS)
        try:
            while (part := await connection.read_body()) is not None:
                parts.append(part)
                size += len(part)
                has_room = holding.grow(len(part), SMALL_ANSWER_BYTES)
                del part
                if size > MAX_BUFFERED_RESPONSE_BYTES:
                    raise ConnectionBroken("an error response without end")
                if not has_room:
                    await self._relay_unbuffered(
                        exchange, head, connection, parts, holding, send
                    )
                    exchange.detail = f"status {head.status}"
                    return Outcome.FAILED if is_failure else Outcome.ANSWERED
            exchange.detail = f"status {head.status}"
            body = b"".join(parts)
            if is_failure:
                exchange.keep_error(head, body, holding)
                return Outcome.FAILED
            await self.respond(exchange, head, body, send)
            return Outcome.ANSWERED
        finally:
            if exchange.error_holding is not holding:
                holding.release()

    async def _relay_buffered(
        self,
        exchange: Exchange,
        head: ResponseHead,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Relay a response when all of it has arrived, as long as there is room."""
        part = await self._read_part(exchange, connection, sent)
        if part is None or connection.body_ended:
            if part is not None:
                await connection.read_body()
            await self.respond(exchange, head, part or b"", send)
            return Outcome.ANSWERED
        parts: deque[bytes] = deque()
        holding = self.ledger.hold(MemoryKind.ANSWERS)
        try:
            while part is not None:
                parts.append(part)
                has_room = holding.grow(len(part), SMALL_ANSWER_BYTES)
                # `parts` alone refers to it, and gives it up when it is relayed.
                del part
                if not has_room or holding.size_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                    await self._relay_unbuffered(
                        exchange, head, connection, parts, holding, send
                    )
                    return Outcome.ANSWERED
                part = await self._read_part(exchange, connection, sent)
            await self.respond(exchange, head, b"".join(parts), send)
            return Outcome.ANSWERED
        finally:
            holding.release()

    async def _read_part(
        self, exchange: Exchange, connection: UpstreamConnection, sent: SentRequest
    ) -> bytes | None:
        """Return the next part of a body, or None at its end."""
        part = await connection.read_body()
        if part is not None:
            now_s = time.monotonic()
            self.loads.note_first_byte(sent, now_s)
            self.guard.note_body(exchange, now_s)
        return part

    async def _relay_unbuffered(
        self,
        exchange: Exchange,
        head: ResponseHead,
        connection: UpstreamConnection,
        parts: deque[bytes],
        holding: Holding,
        send: Send,
    ) -> None:
        """Relay what has arrived of a response, and the rest as it arrives.

        A response that breaks off doesn't look complete to the caller: it has the
        length of the upstream's response, or chunks without a last one.
        """
        length = None
        if head.framing is Framing.LENGTH:
            length = int(head.get(b"content-length"))
        exchange.first_byte_s = time.monotonic()
        await self._send_head(exchange, head, length, send)
        while parts:
            # Given up one by one while the caller reads, as each takes memory.
            part = parts.popleft()
            size_bytes = len(part)
            await _send_body(send, part, more=True)
            del part
            holding.shrink(min(size_bytes, holding.size_bytes))
        while (part := await connection.read_body()) is not None:
            await _send_body(send, part, more=True)
            # Else it takes memory until the next one has arrived.
            del part
        await _send_body(send, b"", more=False)
        exchange.completed = True

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Relay a stream as it arrives, in complete events if it is resumable."""
        events = exchange.splitter or EventBoundary()
        received = False
        if exchange.started:
            exchange.resumptions += 1
        while (part := await connection.read_body()) is not None:
            now_s = time.monotonic()
            self.loads.note_first_byte(sent, now_s)
            self.guard.note_body(exchange, now_s)
            received = True
            try:
                part = events.feed(part)
            except EventTooLarge as error:
                raise ConnectionBroken(str(error)) from error
            if not part:
                continue
            if not exchange.started:
                exchange.first_byte_s = now_s
                await self._send_head(exchange, head, None, send)
            exchange.last_bytes = part[-LOGGED_BYTES:]
            if connection.body_ended and events.at_boundary:
                # One write for the last event and the end.
                await connection.read_body()
                await _send_body(send, part, more=False)
                exchange.completed = True
                return Outcome.ANSWERED
            await _send_body(send, part, more=True)
            pause_s = max(exchange.event_pause_s, self.event_pause_s())
            if pause_s > 0.0:
                await connection.pause(pause_s)
        if not events.at_boundary:
            exchange.detail = "the stream ended within an event"
            return Outcome.UNKNOWN
        if head.framing is Framing.CONNECTION_END and not received:
            exchange.detail = "the connection ended before the first event"
            return Outcome.UNKNOWN
        if exchange.started and not received:
            exchange.detail = "the resumed stream had no event"
            return Outcome.UNKNOWN
        if not exchange.started:
            await self._send_head(exchange, head, None, send)
        await _send_body(send, b"", more=False)
        exchange.completed = True
        return Outcome.ANSWERED

    async def respond(
        self, exchange: Exchange, head: ResponseHead, body: bytes, send: Send
    ) -> None:
        """Send the caller a response whose whole body is available."""
        exchange.first_byte_s = time.monotonic()
        await self._send_head(exchange, head, len(body), send)
        await _send_body(send, body, more=False)
        exchange.completed = True

    async def _send_head(
        self, exchange: Exchange, head: ResponseHead, length: int | None, send: Send
    ) -> None:
        headers = self.dialect.write_response(head.headers)
        if length is not None and exchange.method != "HEAD":
            headers.append((b"content-length", b"%d" % length))
        if exchange.close_connection:
            headers.append((b"connection", b"close"))
        exchange.started = True
        exchange.status = head.status
        if 200 <= head.status < 300:
            exchange.on_begun()
        exchange.hold_head()
        await send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )


async def _send_body(send: Send, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _discard_body(
    connection: UpstreamConnection, max_bytes: int = MAX_DISCARDED_BYTES
) -> None:
    size = 0
    while (part := await connection.read_body()) is not None:
        size += len(part)
        if size > max_bytes:
            raise ConnectionBroken("a body without end")


async def _try_discard_body(connection: UpstreamConnection) -> None:
    """Read a body so that its connection can be reused, unless it takes too long."""
    try:
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            await _discard_body(connection)
    except (ConnectionBroken, TimeoutError) as error:
        connection.abort()
        logger.info("declined_body_dropped", error=str(error) or "timed out")


def _load_only(metadata: ResponseMetadata) -> ResponseMetadata:
    return replace(
        metadata,
        request_id=None,
        not_run=False,
        other_incarnation=False,
        sealed=False,
        leaving=False,
        pause_s=None,
        rate_per_s=None,
        rate_unreadable=True,
    )
