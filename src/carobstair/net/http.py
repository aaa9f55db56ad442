"""HTTP server: ASGI applications on uvicorn, with limits on size and time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import Awaitable, Callable

import uvicorn

from carobstair.core.framing import Framing, FramingError, request_framing
from carobstair.core.refusals import PROBLEM_JSON, Refusal, refuse
from carobstair.logs import get_logger
from carobstair.net.bounded_input import BoundedInputProtocol
from carobstair.net.connection_limits import (
    Closed,
    ConnectionLimits,
    ConnectionSettings,
)
from carobstair.net.held_response import WithLength
from carobstair.net.uvicorn_server import (
    ACCEPTS_PER_TURN,
    UvicornServer,
    enable_dead_connection_detection,
)
from carobstair.net.watchdog import Watchdog

__all__ = ["ON_END", "DisconnectGuard", "HttpServer"]

logger = get_logger(__name__)

# Key in the ASGI scope of a list of coroutine functions, called when the request
# ends, whether it succeeded, failed or was cancelled.
ON_END = "carobstair.on_end"
MAX_HEADER_BYTES = 32 * 1024
# Bytes received without a part of a body: trailers and chunk extensions.
MAX_OVERHEAD_BYTES = 64 * 1024
# Slow senders would otherwise hold connections and memory.
BODY_TIMEOUT_S = 15.0
HEADER_TIMEOUT_S = 10.0
# A caller that reads no bytes for this long is treated as disconnected.
CALLER_STALL_S = 20.0
BACKLOG = 512
CLOSED_BY_REFUSAL = {
    "headers-too-large": Closed.HEAD_TOO_LARGE,
    "bad-request": Closed.BAD_REQUEST,
    "router-busy": Closed.MEMORY,
}


class DisconnectGuard:
    """ASGI wrapper that cancels the handling of a request whose caller disconnected.

    Falcon reads from the connection only while it reads the body, so it would not
    notice a caller that disconnects while its request waits.
    """

    # Bounds the memory that a fast sender can fill.
    MAX_BUFFERED_MESSAGES = 2

    def __init__(self, app, body_timeout_s: float = BODY_TIMEOUT_S):
        self._app = app
        self._body_timeout_s = body_timeout_s

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        scope[ON_END] = []
        messages: asyncio.Queue = asyncio.Queue(self.MAX_BUFFERED_MESSAGES)
        sender = _StallGuard(send)
        body = _BodyReader(messages.get, self._body_timeout_s)
        handler = asyncio.create_task(self._app(scope, body, sender))
        pump = asyncio.create_task(self._pump(receive, messages))
        try:
            await asyncio.wait({handler, pump}, return_when=asyncio.FIRST_COMPLETED)
            if not handler.done():
                handler.cancel()
            with contextlib.suppress(asyncio.CancelledError, CallerStalled):
                try:
                    await handler
                except BodyTimeout:
                    await _send_problem(sender, refuse("request-timeout"))
        except asyncio.CancelledError:
            # The time of a stop is over. The handler must not begin an answer now.
            handler.cancel()
            await asyncio.wait({handler})
            if sender.started:
                raise
            await _send_problem(sender, refuse("answer-lost", "the router stopped"))
        finally:
            sender.close()
            pump.cancel()
            handler.cancel()
            await _run_callbacks(scope[ON_END])

    async def _pump(self, receive, messages: asyncio.Queue) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            await messages.put(message)


class BodyTimeout(TimeoutError):
    """The body of a request did not arrive in time."""


class _BodyReader:
    """Passes on the body of a request, with one timeout for the whole body.

    Falcon waits for the first part of the body before it calls the application, so a
    timeout there would miss a sender that sends no body at all.
    """

    def __init__(self, get: Callable[[], Awaitable[dict]], timeout_s: float):
        self._get = get
        self._deadline_s = asyncio.get_running_loop().time() + timeout_s
        self._complete = False

    async def __call__(self) -> dict:
        if self._complete:
            return await self._get()
        try:
            async with asyncio.timeout_at(self._deadline_s):
                message = await self._get()
        except TimeoutError as error:
            raise BodyTimeout from error
        self._complete = not message.get("more_body", False)
        return message


async def _send_problem(send: Callable[[dict], Awaitable[None]], refusal: Refusal):
    body = json.dumps(refusal.problem("")).encode()
    headers = [(b"content-type", PROBLEM_JSON.encode()), (b"connection", b"close")]
    start = {"type": "http.response.start", "status": refusal.status}
    await send(start | {"headers": headers})
    await send({"type": "http.response.body", "body": body})


class CallerStalled(Exception):
    """The caller reads no bytes although its connection is still open."""


class _StallGuard:
    """Cancels the handler of a request whose caller stops reading the response."""

    def __init__(self, send: Callable[[dict], Awaitable[None]]):
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._watchdog = Watchdog(self._on_stalled)
        self._task: asyncio.Task | None = None
        self._stalled = False
        # Whether the head of a response was passed on.
        self.started = False

    async def __call__(self, message: dict) -> None:
        self.started = True
        self._task = asyncio.current_task()
        self._watchdog.arm(self._loop.time() + CALLER_STALL_S)
        try:
            await self._send(message)
        except asyncio.CancelledError as error:
            if self._stalled:
                self._task.uncancel()
                raise CallerStalled from error
            raise
        finally:
            self._watchdog.disarm()

    def close(self) -> None:
        """Stop the watchdog."""
        self._watchdog.close()

    def _on_stalled(self) -> None:
        self._stalled = True
        self._task.cancel()


async def _run_callbacks(callbacks: list[Callable[[], Awaitable[None]]]) -> None:
    for callback in reversed(callbacks):
        try:
            await callback()
        except Exception:
            # The remaining callbacks must still release their resources.
            logger.exception("request_cleanup_failed")


class BoundedHttpProtocol(BoundedInputProtocol):
    """HTTP/1.1 protocol with limits on the size and arrival time of a request head.

    Trailers are dropped: added to the headers after these were checked, they could
    replace what the router sets itself.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._overhead_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._refusal: Refusal | None = None

    def connection_made(self, transport) -> None:
        """Have heads and bodies sent at once, and start the idle timer."""
        # asyncio does so only for sockets whose protocol number is set.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().connection_made(transport)
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.config.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, but not one with a request that waits."""
        if self._pending:
            # Its caller has yet to read the answer before.
            self._start_idle_timer()
        else:
            super().timeout_keep_alive_handler()

    @property
    def header_timeout_s(self) -> float:
        """Time for a request head from its first byte."""
        return HEADER_TIMEOUT_S

    def accept_piece(self, piece: bytes) -> bool:
        """Refuse heads that are too large, and bodies with too little content."""
        if self._in_head or not self._in_request:
            self._head_bytes += len(piece)
            if self._head_bytes > MAX_HEADER_BYTES:
                self._refuse(refuse("headers-too-large"), Closed.HEAD_TOO_LARGE)
                return False
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            detail = "trailers without end"
            self._refuse(refuse("headers-too-large", detail), Closed.BODY_OVERHEAD)
            return False
        self._overhead_bytes += len(piece)
        return True

    def refuse_empty_lines(self) -> None:
        """Refuse a connection that sends line ends only."""
        self._refuse(refuse("bad-request", "too many empty lines"), Closed.EMPTY_LINES)

    def _note_input(self) -> None:
        super()._note_input()
        if self._in_head and self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.header_timeout_s, self._on_head_timeout
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request head."""
        if self._in_head:
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._overhead_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body."""
        self._overhead_bytes = 0
        super().on_message_complete()

    def on_headers_complete(self) -> None:
        """Pass the request on if its head is within the size limit."""
        self._stop_timer()
        self._overhead_bytes = 0
        size = len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers)
        if size > MAX_HEADER_BYTES:
            self._refusal = refuse("headers-too-large")
            raise ValueError("headers too large")
        try:
            framing = request_framing(self.parser.get_http_version(), self.headers)
            if self.parser.should_upgrade() and framing is not Framing.NONE:
                # The parser stops at the end of the head.
                raise FramingError("an upgrade with a body")
        except FramingError as error:
            self._refusal = refuse("bad-request", str(error))
            raise
        if self._limits.is_full:
            self._refusal = refuse("router-busy", "connections hold too much memory")
            raise ValueError("connections hold too much memory")
        if self.parser.get_http_version() == "1.0":
            # uvicorn closes the connection after the response.
            self.app = WithLength(self.app)
        super().on_headers_complete()
        if self.parser.should_upgrade():
            self.cycle.keep_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout for the request head."""
        self._stop_timer()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        """Refuse a request head that is invalid or too large."""
        refusal = self._refusal or refuse("bad-request", msg)
        self._refuse(refusal, CLOSED_BY_REFUSAL.get(refusal.kind.name))

    def evict(self, kind: Closed) -> None:
        """Close the connection for others, after a refusal if that is certain."""
        if kind is Closed.UNREAD_EVICTED:
            self.transport.abort()
        elif kind is Closed.NO_ROOM or self._in_head:
            self._refuse(refuse("router-busy", "too many connections"), None)
        else:
            self.transport.close()

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        refusal = refuse("request-timeout", "the headers took too long")
        self._refuse(refusal, Closed.HEAD_TIMEOUT)

    def _refuse(self, refusal: Refusal, kind: Closed | None) -> None:
        """Send a refusal and close the connection; count it as a kind."""
        self._stop_timer()
        if self.transport.is_closing():
            return
        if kind is not None:
            self._limits.count(kind)
        cycle = self.cycle
        if cycle and cycle.response_started and not cycle.response_complete:
            # The refusal would be taken for a part of the answer.
            self.transport.abort()
            return
        body = json.dumps(refusal.problem("")).encode()
        head = (
            f"HTTP/1.1 {refusal.status} Refused\r\ncontent-type: {PROBLEM_JSON}\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class HttpServer:
    """A uvicorn server that installs no signal handlers."""

    def __init__(
        self,
        app,
        host: str,
        port: int,
        body_timeout_s: float = BODY_TIMEOUT_S,
        limits: ConnectionLimits | None = None,
    ):
        config = uvicorn.Config(
            DisconnectGuard(app, body_timeout_s),
            loop="none",
            http=BoundedHttpProtocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=75,
            timeout_graceful_shutdown=2,
            server_header=False,
            backlog=ACCEPTS_PER_TURN,
        )
        # Stand-ins get all their connections from one address.
        config.connection_limits = limits or ConnectionLimits(
            ConnectionSettings(address_share=1.0)
        )
        # uvicorn warns of each invalid request.
        logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
        self._server = UvicornServer(config, BACKLOG)
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        enable_dead_connection_detection(self._socket, CALLER_STALL_S)
        self.port = self._socket.getsockname()[1]

    async def serve(self) -> None:
        """Serve until `stop` is called."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Make `serve` return once the open requests have ended."""
        self._server.should_exit = True
