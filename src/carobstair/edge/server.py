"""HTTP servers of the edge router on uvicorn."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import Protocol

import uvicorn
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from carobstair.edge.arrival_gate import ArrivalGate
from carobstair.edge.handoff_caller import HandoffCallerProtocol
from carobstair.edge.handoff_driver import Handoff
from carobstair.edge.joined_writes import JoinedWrites
from carobstair.logs import get_logger, is_suppressed
from carobstair.net.connection_limits import (
    Closed,
    ConnectionLimits,
    ConnectionSettings,
    Phase,
)
from carobstair.net.http import CALLER_STALL_S, HEADER_TIMEOUT_S
from carobstair.net.uvicorn_server import (
    ACCEPTS_PER_TURN,
    UvicornServer,
    enable_dead_connection_detection,
)

__all__ = [
    "ARRIVED_S",
    "CALLER_CLOSED",
    "EVENT_PAUSE_S",
    "HOLD_HEAD",
    "ON_CALLER_LEFT",
    "SHED_DRAW",
    "WHOLE_BODY",
    "CallerServer",
    "PageServer",
    "Unanswered",
]

logger = get_logger(__name__)

# Key in the ASGI scope of a function that returns whether the caller has closed its
# connection, also if the event loop has not read that yet.
CALLER_CLOSED = "carobstair.caller_closed"
# Key of the monotonic time at which the request arrived, if it had to wait.
ARRIVED_S = "carobstair.arrived_s"
# Key of the random number that decides whether the request is shed, if one was drawn.
SHED_DRAW = "carobstair.shed_draw"
# Key of a function that has the head of the response written with what follows it.
HOLD_HEAD = "carobstair.hold_head"
# Key of a function that takes what to call when the caller closes its connection before
# the response is complete.
ON_CALLER_LEFT = "carobstair.on_caller_left"
# Key of a function that returns the body if it has arrived whole and has at most as
# many bytes as given, or else None.
WHOLE_BODY = "carobstair.whole_body"
# Key of the least time for which a stream is not read after a part was relayed.
EVENT_PAUSE_S = "carobstair.event_pause_s"

BACKLOG = 1024
# Of a head in lower case.
PLAIN_REQUEST = re.compile(rb"(?:get|post|put|delete|patch) [^ \r\n]+ http/1\.1\r\n")
LENGTH = re.compile(rb"\r\ncontent-length: *(\d{1,9}) *(?=\r\n)")
UNUSUAL_HEADERS = (b"\r\nconnection:", b"\r\ntransfer-encoding:", b"\r\nexpect:")
# Used until a configuration is in force.
DEFAULT_IDLE_TIMEOUT_S = 75.0
# The pages are read by few clients, and a machine's platform reads them every second.
PAGE_CONNECTIONS = ConnectionSettings(
    max_connections=32, address_share=1.0, max_held_bytes=1024 * 1024
)


class Unanswered(StrEnum):
    """Where a request was when this router closed its connection unanswered."""

    HANDED_OFF = "handed-off"
    RUNNING = "running"
    WAITING = "waiting"


class Shedder(Protocol):
    """Decides which new requests are refused unread."""

    def shed_draw(self) -> float | None:
        """Return a random number that decides on a new request; None sheds none."""

    def shed_unread(self, request: bytes, draw: float) -> bytes | None:
        """Return the answer to a whole request that is shed unread, if it is."""

    def turn_away(self) -> bytes:
        """Return the answer to a request that waited too long to be read."""

    def closes_connections(self) -> bool:
        """Return whether these answers close their connections."""


class CallerProtocol(HandoffCallerProtocol):
    """Passes requests through a gate, and closes connections that have been idle.

    The idle timeout is read at the start of each idle period, so that a change also
    applies to open connections.
    """

    # When the request that is being read arrived, if it had to wait.
    _waiting_since_s: float | None = None
    # The response in progress, and what to call when the connection is lost.
    _running: tuple[RequestResponseCycle, Callable[[], None]] | None = None
    # Drawn for the request that is being read, while requests are shed.
    _shed_draw: float | None = None
    # Whether a request waits at the gate.
    _waits: bool = False

    def connection_made(self, transport) -> None:
        """Join the writes of heads with those of bodies."""
        super().connection_made(JoinedWrites(transport))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the request in progress."""
        unanswered = self._unanswered()
        if unanswered is not None and exc is None and not self._has_left():
            self.config.on_unanswered(unanswered)
            if not is_suppressed(__name__, "request_unanswered", unanswered):
                logger.warning("request_unanswered", where=str(unanswered))
        super().connection_lost(exc)
        self._report_left()

    def _unanswered(self) -> Unanswered | None:
        """Return where a whole request is of which no answer has begun, if any."""
        if self._waits:
            return Unanswered.WAITING
        if self._handed_off is not None:
            return None if self._handed_off.answer_began else Unanswered.HANDED_OFF
        cycle = self.cycle
        if cycle is None or cycle.response_started or cycle.more_body:
            return None
        return Unanswered.RUNNING

    @property
    def header_timeout_s(self) -> float:
        """Time for a request head from its first byte."""
        return self.config.header_timeout_s

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a new request may have to wait for its turn."""
        is_answered = self.cycle is None or self.cycle.response_complete
        is_new = is_answered and not self._in_request
        if is_new and self.config.handoff is not None and self._hand_off(data):
            return
        self._receive(data, is_new)

    def receive_new(self, data: bytes, arrived_s: float) -> None:
        """Take a new request that arrived earlier."""
        self._waiting_since_s = arrived_s
        self._receive(data, True)
        self._waiting_since_s = None

    def _receive(self, data: bytes, is_new: bool) -> None:
        gate = self.config.gate
        if is_new and self.config.shedder is not None and self._shed(data):
            return
        if gate is None or not is_new or gate.enter():
            super().data_received(data)
            return
        # The connection is not idle, and nothing else is read from it meanwhile.
        self._unset_keepalive_if_required()
        self.transport.pause_reading()
        self._limits.hold(self, len(data))
        self._limits.set_phase(self, Phase.REQUEST)
        self._waits = True
        gate.wait(
            lambda since_s: self._receive_later(data, since_s),
            lambda: self._turn_away(data),
        )

    def _shed(self, data: bytes) -> bool:
        """Refuse a request unread if this process has too little time for it."""
        shedder = self.config.shedder
        self._shed_draw = draw = shedder.shed_draw()
        if draw is None or not _is_whole_request(data):
            return False
        answer = shedder.shed_unread(data, draw)
        if answer is None:
            return False
        self._unset_keepalive_if_required()
        self._answer_unread(answer)
        return True

    def _answer_unread(self, answer: bytes) -> None:
        self.transport.write(answer)
        if self.config.shedder.closes_connections():
            self.transport.close()
        else:
            self._start_idle_timer()

    def _receive_later(self, data: bytes, since_s: float) -> None:
        self._waits = False
        if self.transport.is_closing():
            return
        self.transport.resume_reading()
        self._limits.hold(self, 0)
        self._waiting_since_s = since_s
        super().data_received(data)
        self._waiting_since_s = None

    def _turn_away(self, data: bytes) -> bool:
        """Refuse a request unread, if its end and that of the answer are certain."""
        if self.transport.is_closing():
            return True
        if not _is_whole_request(data):
            return False
        self._waits = False
        self._limits.hold(self, 0)
        self._limits.set_phase(self, Phase.IDLE)
        self.transport.resume_reading()
        self._answer_unread(self.config.shedder.turn_away())
        return True

    def on_headers_complete(self) -> None:
        """Pass the request on, with what tells whether its caller has left."""
        self.scope[CALLER_CLOSED] = self.is_gone
        self.scope[HOLD_HEAD] = self.transport.hold_next
        if self._waiting_since_s is not None:
            self.scope[ARRIVED_S] = self._waiting_since_s
        if self._shed_draw is not None:
            self.scope[SHED_DRAW] = self._shed_draw
            self._shed_draw = None
        super().on_headers_complete()
        # The cycle is that of this request, which may have to wait for the one before.
        self.scope[ON_CALLER_LEFT] = partial(self._call_when_left, self.cycle)
        self.scope[WHOLE_BODY] = partial(_take_whole_body, self.cycle)

    def _call_when_left(self, cycle, on_left: Callable[[], None]) -> None:
        # Requests of one connection run one after the other.
        self._running = cycle, on_left
        cycle.flow.resume_reading()
        if self.parser is None:
            # The connection was lost before.
            self.loop.call_soon(self._report_left)

    def _report_left(self) -> None:
        if self._running is not None:
            (cycle, on_left), self._running = self._running, None
            cycle.disconnected = True
            on_left()

    def on_response_complete(self) -> None:
        """Start the idle timer with the current timeout."""
        self._running = None
        self.transport.flush()
        self.timeout_keep_alive = self.config.timeout_keep_alive
        super().on_response_complete()


def _take_whole_body(cycle: RequestResponseCycle, max_bytes: int) -> bytes | None:
    """Return the body of a request, or None if it must be waited for or is larger."""
    if cycle.more_body or cycle.disconnected or cycle.waiting_for_100_continue:
        return None
    if len(cycle.body) > max_bytes:
        return None
    cycle.flow.resume_reading()
    body = bytes(cycle.body)
    cycle.body = bytearray()
    return body


def _is_whole_request(data: bytes) -> bool:
    """Return whether data is one request that leaves its connection open."""
    head_bytes = data.find(b"\r\n\r\n") + 4
    head = data[:head_bytes].lower()
    match = PLAIN_REQUEST.match(head)
    if match is None or any(name in head for name in UNUSUAL_HEADERS):
        return False
    lengths = LENGTH.findall(head)
    if len(lengths) > 1 or head.count(b"content-length") != len(lengths):
        return False
    return len(data) == head_bytes + sum(map(int, lengths))


class _Config(uvicorn.Config):
    gate: ArrivalGate | None = None
    shedder: Shedder | None = None
    handoff: Handoff | None = None
    on_unanswered: Callable[[Unanswered], None]
    header_timeout_s: float = HEADER_TIMEOUT_S
    connection_limits: ConnectionLimits


class CallerServer:
    """Serves an ASGI application to callers.

    Parameters
    ----------
    app : ASGI application
    host : str
    port : int
    gate : ArrivalGate, optional
        Bounds the requests that are read in one turn of the event loop.
    shedder : Shedder, optional
        Refuses requests unread while the process has too little time. Needed with a
        gate.
    limits : ConnectionLimits, optional
        Bounds what all connections take together.
    handoff : Handoff, optional
        Hands new requests to peers while the process has too little time.
    on_unanswered : callable, optional
        Called for each request whose connection this process closes unanswered.
    """

    def __init__(
        self,
        app,
        host: str,
        port: int,
        gate: ArrivalGate | None = None,
        shedder: Shedder | None = None,
        limits: ConnectionLimits | None = None,
        handoff: Handoff | None = None,
        on_unanswered: Callable[[Unanswered], None] = lambda where: None,
    ):
        self._config = _Config(
            app,
            # uvicorn's detection takes a bound method for an ASGI 2 application.
            interface="asgi3",
            proxy_headers=False,
            loop="none",
            http=CallerProtocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=DEFAULT_IDLE_TIMEOUT_S,
            server_header=False,
            date_header=False,
            backlog=ACCEPTS_PER_TURN,
        )
        self._config.gate = gate
        self._config.shedder = shedder
        self._config.handoff = handoff
        self._config.on_unanswered = on_unanswered
        self._config.connection_limits = limits or ConnectionLimits()
        self._server = UvicornServer(self._config, BACKLOG)
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self.port = self._socket.getsockname()[1]

    @property
    def idle_timeout_s(self) -> float:
        """Time after which an idle connection is closed."""
        return self._config.timeout_keep_alive

    @idle_timeout_s.setter
    def idle_timeout_s(self, timeout_s: float) -> None:
        self._config.timeout_keep_alive = timeout_s

    @property
    def header_timeout_s(self) -> float:
        """Time for a request head from its first byte."""
        return self._config.header_timeout_s

    @header_timeout_s.setter
    def header_timeout_s(self, timeout_s: float) -> None:
        self._config.header_timeout_s = timeout_s

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    @property
    def is_idle(self) -> bool:
        """Whether all requests are answered and the kernel has taken the answers."""
        gate, state = self._config.gate, self._server.server_state
        if state.tasks or (gate is not None and not gate.is_idle):
            return False
        return not any(
            protocol.transport.get_write_buffer_size() for protocol in state.connections
        )

    def detect_dead_connections(self) -> None:
        """Have the kernel close connections whose other side is unreachable."""
        enable_dead_connection_detection(self._socket, CALLER_STALL_S)

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self._server.serve(sockets=[self._socket])


class PageServer(CallerServer):
    """Serves one page on every path and generates it for each request.

    Parameters
    ----------
    page : callable
        Returns the status and the body.
    host : str
    port : int
    on_closed : callable, optional
        See `ConnectionLimits`.
    """

    def __init__(
        self,
        page: Callable[[], tuple[int, bytes]],
        host: str,
        port: int,
        on_closed: Callable[[Closed], None] = lambda kind: None,
    ):
        self._page = page
        limits = ConnectionLimits(PAGE_CONNECTIONS, on_closed)
        super().__init__(self._respond, host, port, limits=limits)

    async def _respond(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        status, body = self._page()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
        ]
        start = {"type": "http.response.start", "status": status}
        await send(start | {"headers": headers})
        await send({"type": "http.response.body", "body": body})
