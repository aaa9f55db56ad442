"""Bounds what all connections of a server take: descriptors, memory and time.

Intended for clients that stay within no limits. At a bound, idle connections are
closed first, then those without a whole request head, the oldest first. A connection
whose request is under way is closed only when its caller does not read the answer.
"""

from __future__ import annotations

import asyncio
import resource
import select
import sys
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from carobstair.logs import get_logger
from carobstair.net.input_turns import InputTurns

__all__ = ["Closed", "ConnectionLimits", "ConnectionSettings", "Phase"]

logger = get_logger(__name__)

READ_BYTES = 64 * 1024
# Read at once while connections hold much memory.
TIGHT_READ_BYTES = 4 * 1024
# Read at once while bodies wait for their turn.
BUSY_READ_BYTES = 16 * 1024
# Share of the memory bound above which less is read at once.
TIGHT_SHARE = 0.5
# Held for a response that waits for its caller, apart from what the transport holds:
# the part that waits to be written and what was read from the upstream. A stream
# that is not read took about 1 MB in all.
UNREAD_BYTES = 768 * 1024
# An answer unread for this long may be given up for memory, and sooner at twice the
# bound: a sound caller takes what waits within a round trip.
MIN_UNREAD_S = 1.0
# A request whose caller has left must not be sent 0.5 s later, and a paused
# connection does not see its end.
SWEEP_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0
# Between two looks at what callers have read.
CHECK_INTERVAL_S = 1.0
# Of the process's descriptors, those that are left to files, the store, peers and
# pages, and the share of the rest that callers' connections may take. Upstreams take
# most of what remains.
RESERVED_DESCRIPTORS = 200
DESCRIPTOR_SHARE = 9 / 16
MIN_CONNECTIONS = 32
POLL_CLOSED = getattr(select, "POLLRDHUP", 0)


class Phase(StrEnum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    REQUEST = "request"


class Closed(StrEnum):
    """Why a connection was refused or closed."""

    NO_ROOM = "no-room"
    IDLE_EVICTED = "idle-evicted"
    HEAD_EVICTED = "head-evicted"
    HEAD_TIMEOUT = "head-timeout"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_OVERHEAD = "body-overhead"
    EMPTY_LINES = "empty-lines"
    BAD_REQUEST = "bad-request"
    UNREAD = "unread"
    UNREAD_EVICTED = "unread-evicted"
    UNFINISHED_BODY = "unfinished-body"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Bounds of the connections of one server.

    Attributes
    ----------
    max_connections : int
        Fewer are open if the process may not open enough descriptors.
    address_share : float
        Largest share of the connections that one address may have. All callers may
        come through one balancer, so answers close connections before this limit.
    max_held_bytes : int
        Memory for unfinished heads, requests that wait for an earlier one on their
        connection, and unread answers.
    stall_s : float
        Time after which a caller that takes no byte of an answer is disconnected.
    """

    max_connections: int = 4_096
    address_share: float = 0.9
    max_held_bytes: int = 32 * 1024 * 1024
    stall_s: float = 20.0


class BoundedConnection(Protocol):
    """What the bounds ask of a connection."""

    transport: asyncio.Transport
    address: str

    def evict(self, kind: Closed) -> None:
        """Close the connection, with a refusal if a request has begun."""


@dataclass(slots=True)
class _Entry:
    connection: BoundedConnection
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    unread_bytes: int = 0
    unread_since_s: float = 0.0
    # Size of the write buffer at the last sweep, and since when it is the same.
    buffered_bytes: int = 0
    buffered_since_s: float = 0.0


class _Queue:
    """Connections in one phase, in the order in which they entered it."""

    def __init__(self):
        self._all: OrderedDict[BoundedConnection, None] = OrderedDict()
        self._by_address: dict[str, OrderedDict[BoundedConnection, None]] = {}

    def add(self, connection: BoundedConnection) -> None:
        self._all[connection] = None
        own = self._by_address.get(connection.address)
        if own is None:
            own = self._by_address[connection.address] = OrderedDict()
        own[connection] = None

    def discard(self, connection: BoundedConnection) -> None:
        if connection not in self._all:
            return
        del self._all[connection]
        own = self._by_address[connection.address]
        del own[connection]
        if not own:
            del self._by_address[connection.address]

    def oldest(self, address: str | None = None) -> BoundedConnection | None:
        found = self._all if address is None else self._by_address.get(address, ())
        return next(iter(found), None)


class ConnectionLimits:
    """Registry of the connections of one server.

    Parameters
    ----------
    settings : ConnectionSettings
    on_closed : callable, optional
        Called with the kind of each connection that is refused or closed.

    Attributes
    ----------
    turns : InputTurns
        Shares the time for bodies among the connections.
    """

    def __init__(
        self,
        settings: ConnectionSettings | None = None,
        on_closed: Callable[[Closed], None] = lambda kind: None,
    ):
        self.turns = InputTurns()
        self.settings = settings or ConnectionSettings()
        self._on_closed = on_closed
        self._entries: dict[BoundedConnection, _Entry] = {}
        # Being closed, with data that their callers have not read.
        self._closing: dict[BoundedConnection, _Entry] = {}
        self._queues = {Phase.IDLE: _Queue(), Phase.HEAD: _Queue()}
        self._by_address: Counter[str] = Counter()
        # Without a whole head, and holding memory.
        self._holding: OrderedDict[BoundedConnection, None] = OrderedDict()
        self._unread: OrderedDict[BoundedConnection, None] = OrderedDict()
        self._paused: set[BoundedConnection] = set()
        self._held_bytes = 0
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._counts: Counter[Closed] = Counter()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._logged_s = 0.0
        self._checked_s = 0.0

    @property
    def connections(self) -> int:
        """Number of connections that are not being closed."""
        return len(self._entries)

    @property
    def held_bytes(self) -> int:
        """Memory that connections hold."""
        return self._held_bytes

    @property
    def is_tight(self) -> bool:
        """Whether connections hold so much that little should be read at once."""
        return self._held_bytes > TIGHT_SHARE * self.settings.max_held_bytes

    @property
    def is_full(self) -> bool:
        """Whether connections hold all the memory that they may."""
        return self._held_bytes > self.settings.max_held_bytes

    def read_buffer(self) -> memoryview:
        """Return the buffer into which any connection reads next."""
        if self.is_tight:
            return self._buffer[:TIGHT_READ_BYTES]
        return self._buffer if self.turns.has_time else self._buffer[:BUSY_READ_BYTES]

    def add(self, connection: BoundedConnection) -> bool:
        """Register a connection; return False if there is no room for it."""
        address = connection.address
        share = self.settings.address_share
        limit = min(self.settings.max_connections, _connections_within_descriptors())
        per_address = max(1, int(share * limit))
        has_room = True
        # Those being closed have descriptors too, and some callers never read.
        while self._closing and len(self._entries) + len(self._closing) >= limit:
            self._abort_closing(next(iter(self._closing)))
        if self._by_address[address] >= per_address:
            has_room = self._evict_one(address)
        elif len(self._entries) >= limit:
            has_room = self._evict_one()
        entry = _Entry(connection)
        self._schedule_sweep()
        if not has_room:
            self._closing[connection] = entry
            self.count(Closed.NO_ROOM)
            return False
        self._entries[connection] = entry
        self._by_address[address] += 1
        self._queues[Phase.IDLE].add(connection)
        return True

    def remove(self, connection: BoundedConnection) -> None:
        """Forget a connection that is closed."""
        self._release(connection)
        entry = self._closing.pop(connection, None)
        if entry is not None:
            self._held_bytes -= entry.unread_bytes

    def set_phase(self, connection: BoundedConnection, phase: Phase) -> None:
        """Note what a connection waits for."""
        entry = self._entries.get(connection)
        if entry is None or entry.phase is phase:
            return
        if entry.phase in self._queues:
            self._queues[entry.phase].discard(connection)
        entry.phase = phase
        if phase in self._queues:
            self._queues[phase].add(connection)
        self._note_holding(entry)

    def _note_holding(self, entry: _Entry) -> None:
        if entry.phase is Phase.HEAD and entry.held_bytes > 0:
            self._holding.setdefault(entry.connection)
        else:
            self._holding.pop(entry.connection, None)

    def hold(self, connection: BoundedConnection, held_bytes: int) -> None:
        """Set the memory that a connection's unread input takes."""
        entry = self._entries.get(connection)
        if entry is None or entry.held_bytes == held_bytes:
            return
        self._held_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes
        self._note_holding(entry)
        self._relieve()

    def note_unread(self, connection: BoundedConnection, is_unread: bool) -> None:
        """Note whether a connection's caller is behind with reading the answer."""
        entry = self._entries.get(connection)
        if entry is None:
            return
        self._held_bytes -= entry.unread_bytes
        entry.unread_bytes = 0
        self._unread.pop(connection, None)
        if is_unread:
            entry.unread_since_s = asyncio.get_running_loop().time()
            self._count_unread(entry)
            self._unread[connection] = None
            self._relieve()

    def _count_unread(self, entry: _Entry) -> None:
        buffered_bytes = entry.connection.transport.get_write_buffer_size()
        self._held_bytes -= entry.unread_bytes
        entry.unread_bytes = UNREAD_BYTES + buffered_bytes
        self._held_bytes += entry.unread_bytes

    def note_paused(self, connection: BoundedConnection, is_paused: bool) -> None:
        """Note whether a connection is not read, so that its end goes unseen."""
        if is_paused and connection in self._entries:
            self._paused.add(connection)
        else:
            self._paused.discard(connection)

    def count(self, kind: Closed) -> None:
        """Count a connection that is refused or closed; logged once a second."""
        self._counts[kind] += 1
        self._on_closed(kind)

    def _release(self, connection: BoundedConnection) -> None:
        entry = self._entries.pop(connection, None)
        if entry is None:
            return
        self._closing[connection] = entry
        if entry.phase in self._queues:
            self._queues[entry.phase].discard(connection)
        self._by_address[connection.address] -= 1
        if not self._by_address[connection.address]:
            del self._by_address[connection.address]
        self._held_bytes -= entry.held_bytes + entry.unread_bytes
        entry.held_bytes = entry.unread_bytes = 0
        self._holding.pop(connection, None)
        self._unread.pop(connection, None)
        self._paused.discard(connection)

    def _evict_one(self, address: str | None = None) -> bool:
        """Close an idle connection, or else one without a whole head."""
        for phase, kind in (
            (Phase.IDLE, Closed.IDLE_EVICTED),
            (Phase.HEAD, Closed.HEAD_EVICTED),
        ):
            connection = self._queues[phase].oldest(address)
            if connection is not None:
                self._close(connection, kind)
                return True
        return False

    def _close(self, connection: BoundedConnection, kind: Closed) -> None:
        # Counted as closed from here on: its end is seen in the next turn only.
        self._release(connection)
        self.count(kind)
        connection.evict(kind)
        self._count_closing(connection)

    def _count_closing(self, connection: BoundedConnection) -> None:
        """Count what a connection that is being closed has still to write."""
        entry = self._closing.get(connection)
        if entry is None:
            return
        buffered_bytes = connection.transport.get_write_buffer_size()
        self._held_bytes += buffered_bytes - entry.unread_bytes
        entry.unread_bytes = buffered_bytes

    def _abort_closing(self, connection: BoundedConnection) -> None:
        """Close a connection without what it has still to write."""
        entry = self._closing.pop(connection)
        self._held_bytes -= entry.unread_bytes
        connection.transport.abort()

    def _relieve(self) -> None:
        """Close connections until the rest hold no more memory than they may."""
        while self.is_full:
            closing = (c for c, entry in self._closing.items() if entry.unread_bytes)
            connection = next(closing, None)
            if connection is not None:
                self._abort_closing(connection)
                continue
            connection = next(iter(self._holding), None)
            if connection is not None:
                self._close(connection, Closed.HEAD_EVICTED)
                continue
            connection = next(iter(self._unread), None)
            if connection is None:
                return
            unread_s = asyncio.get_running_loop().time()
            unread_s -= self._entries[connection].unread_since_s
            excess = self._held_bytes / self.settings.max_held_bytes
            if unread_s < MIN_UNREAD_S and excess < 2.0:
                return
            self._close(connection, Closed.UNREAD_EVICTED)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close connections whose callers have left or read nothing; log counts."""
        self._sweep_timer = None
        now_s = asyncio.get_running_loop().time()
        for transport in _ended([c.transport for c in self._paused]):
            transport.abort()
        for connection in self._unread:
            self._count_unread(self._entries[connection])
        for connection in self._closing:
            self._count_closing(connection)
        self._relieve()
        if now_s - self._checked_s >= CHECK_INTERVAL_S:
            self._checked_s = now_s
            for entry in [*self._entries.values(), *self._closing.values()]:
                self._check_progress(entry, now_s)
        if self._counts and now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            counts = {kind.replace("-", "_"): n for kind, n in self._counts.items()}
            self._counts.clear()
            logger.warning(
                "connections_limited",
                open=len(self._entries),
                held_bytes=self._held_bytes,
                **counts,
            )
        if self._entries or self._closing or self._counts:
            self._schedule_sweep()

    def _check_progress(self, entry: _Entry, now_s: float) -> None:
        transport = entry.connection.transport
        buffered_bytes = transport.get_write_buffer_size()
        if entry.connection in self._unread and entry.buffered_bytes:
            # What is added to a buffer beyond its bound is not read by the caller.
            has_progress = buffered_bytes < entry.buffered_bytes
        else:
            has_progress = buffered_bytes != entry.buffered_bytes
        entry.buffered_bytes = buffered_bytes
        if not buffered_bytes or has_progress:
            entry.buffered_since_s = now_s
        elif now_s - entry.buffered_since_s >= self.settings.stall_s:
            self.count(Closed.UNREAD)
            transport.abort()


def _connections_within_descriptors() -> int:
    # Read each time, as the limit may be changed while the process runs.
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return sys.maxsize
    shared = soft_limit - RESERVED_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(DESCRIPTOR_SHARE * shared))


def _ended(transports: list[asyncio.Transport]) -> list[asyncio.Transport]:
    """Return those whose peer has closed its side, with one call for all."""
    if not POLL_CLOSED:
        return []
    poll = select.poll()
    by_descriptor = {}
    for transport in transports:
        if not transport.is_closing():
            descriptor = transport.get_extra_info("socket").fileno()
            by_descriptor[descriptor] = transport
            poll.register(descriptor, POLL_CLOSED)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
