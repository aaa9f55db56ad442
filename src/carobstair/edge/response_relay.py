"""Relays the response to one attempt to the caller.

The caller receives a complete response or sees its connection break.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from carobstair.core.directory import UpstreamEntry
from carobstair.core.engine_load import LoadTracker, SentRequest
from carobstair.core.routing import RequestKind
from carobstair.edge.exchange import Exchange, Outcome, Send
from carobstair.edge.metadata import Dialect, ResponseMetadata
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
# Responses to earlier requests that are skipped on one connection.
MAX_STALE_RESPONSES = 4
# A client may take these to mean that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class ResponseRelay:
    """Reads responses from upstreams and relays them to callers.

    Parameters
    ----------
    loads : LoadTracker
        Updated with first bytes and with the load that responses report.
    dialect : Dialect
    """

    loads: LoadTracker
    dialect: Dialect

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
        head, metadata = await self._read_matching_response(exchange, connection)
        now_s = time.monotonic()
        loads = self.loads
        loads.note_activity(entry.upstream_id, now_s)
        if metadata.load is not None:
            load = metadata.load
            loads.note_report(
                entry.upstream_id, load.running, load.waiting, load.slots, now_s
            )
        if metadata.not_run or metadata.other_incarnation:
            exchange.detail = f"declined with {head.status}"
            await _discard_body(connection)
            if metadata.other_incarnation:
                return Outcome.OTHER_INSTANCE
            return Outcome.NOT_RUN
        if exchange.method == "HEAD":
            await self.respond(exchange, head, b"", send)
            # The parser doesn't know that a response to HEAD has no body.
            connection.abort()
            return Outcome.ANSWERED
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

    async def _read_matching_response(
        self, exchange: Exchange, connection: UpstreamConnection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the response to this request, skipping those to earlier ones."""
        for _ in range(MAX_STALE_RESPONSES):
            head = await connection.read_head()
            metadata = self.dialect.read_response(head.status, head.headers)
            own = exchange.metadata.request_id
            if metadata.request_id in (None, own):
                if metadata.request_id is None and connection.request_count > 1:
                    # It may answer an earlier request while this one still runs.
                    metadata = _load_only(metadata)
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
        """Relay an error response, or hold a 5xx until no attempt is left."""
        body = await _read_full_body(connection)
        exchange.detail = f"status {head.status}"
        if metadata.request_id != exchange.metadata.request_id:
            return Outcome.UNKNOWN
        if exchange.started:
            return Outcome.FAILED
        if head.status in NOT_RUN_STATUSES:
            # Not relayed: the caller would assume that the request did not run.
            return Outcome.FAILED
        if head.status >= 500:
            exchange.error_response = (head, body)
            return Outcome.FAILED
        await self.respond(exchange, head, body, send)
        return Outcome.ANSWERED

    async def _relay_buffered(
        self,
        exchange: Exchange,
        head: ResponseHead,
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
            if size > MAX_BUFFERED_RESPONSE_BYTES:
                return await self._relay_unbuffered(
                    exchange, head, connection, parts, send
                )
        await self.respond(exchange, head, b"".join(parts), send)
        return Outcome.ANSWERED

    async def _relay_unbuffered(
        self,
        exchange: Exchange,
        head: ResponseHead,
        connection: UpstreamConnection,
        parts: list[bytes],
        send: Send,
    ) -> Outcome:
        await self._send_head(exchange, head, None, send)
        await _send_body(send, b"".join(parts), more=True)
        while (part := await connection.read_body()) is not None:
            await _send_body(send, part, more=True)
        await _send_body(send, b"", more=False)
        exchange.completed = True
        return Outcome.ANSWERED

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        connection: UpstreamConnection,
        sent: SentRequest,
        send: Send,
    ) -> Outcome:
        """Relay a stream as it arrives, in complete events if it is resumable."""
        loads, splitter = self.loads, exchange.splitter
        if exchange.started:
            exchange.resumptions += 1
        while (part := await connection.read_body()) is not None:
            now_s = time.monotonic()
            loads.note_first_byte(sent, now_s)
            if splitter is not None:
                part = splitter.feed(part)
                if not part:
                    continue
            if not exchange.started:
                exchange.first_byte_s = now_s
                await self._send_head(exchange, head, None, send)
            await _send_body(send, part, more=True)
        if splitter is not None and not splitter.at_boundary:
            exchange.detail = "the stream ended within an event"
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
        message = {"type": "http.response.start", "status": head.status}
        await send(message | {"headers": headers})


async def _send_body(send: Send, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _discard_body(connection: UpstreamConnection) -> None:
    while await connection.read_body() is not None:
        pass


async def _read_full_body(connection: UpstreamConnection) -> bytes:
    parts = []
    while (part := await connection.read_body()) is not None:
        parts.append(part)
    return b"".join(parts)


def _load_only(metadata: ResponseMetadata) -> ResponseMetadata:
    return ResponseMetadata(None, False, False, False, metadata.load)
