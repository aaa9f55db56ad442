"""Bounds the connections to the port for peers, and what they send.

libzmq bounds the size of one frame only: connections that send nothing, frames that
are never completed and messages of many parts take descriptors and memory without
limit. The guard learns of connections from the socket's monitor and shuts down those
that no peer would make. A peer that is disconnected connects again by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import zmq
from zmq.utils.monitor import parse_monitor_message

from carobstair.logs import get_logger
from carobstair.net.socket_reader import SocketReader

__all__ = ["PeerGuard", "PeerLimits"]

logger = get_logger(__name__)

MEASURE_INTERVAL_S = 0.1
# For new connections: on loopback a crowd sends 100 MB in 0.1 s.
YOUNG_INTERVAL_S = 0.01
YOUNG_S = 2.0
# A peer has one link, and for a short time a second one after it restarts.
MAX_EXEMPT_PER_HOST = 2
# Of the exempt links, those that are measured in each interval, in turn: a hundred
# links take 120 system calls a second, and each is measured every 2.5 s.
EXEMPT_PER_MEASURE = 4
# A late event loop sees at once what peers sent in that time; beyond this, memory
# comes first.
MAX_REFILL_S = 1.0
LOG_INTERVAL_S = 1.0
# Of `struct tcp_info`: tcpi_bytes_received.
BYTES_RECEIVED = struct.Struct("=Q")
BYTES_RECEIVED_OFFSET = 128
TCP_INFO_BYTES = 192
# Linux; identifies a socket even if its descriptor is used again.
SO_COOKIE = 57
COOKIE_BYTES = 8
# The event of a handshake doesn't tell the descriptor: its value is 0.
EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED
# Of these that are handled before others of the event loop have a turn.
EVENTS_PER_TURN = 64


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Bounds of the port for peers.

    Attributes
    ----------
    max_connections : int
        A fleet needs one from each peer, and some more while peers restart.
    burst_bytes, bytes_per_s : int
        What one connection may send; a peer's state messages have some 100 kB.
    total_burst_bytes, total_bytes_per_s : int
        The same for all connections together.
    """

    max_connections: int = 512
    burst_bytes: int = 1024 * 1024
    bytes_per_s: int = 8 * 1024 * 1024
    total_burst_bytes: int = 8 * 1024 * 1024
    total_bytes_per_s: int = 32 * 1024 * 1024


@dataclass(slots=True)
class _Link:
    descriptor: int
    cookie: bytes
    address: str
    accepted_s: float
    measured_s: float
    left_bytes: float
    is_exempt: bool = False
    received_bytes: int = 0


class PeerGuard:
    """Shuts down connections beyond the bounds.

    Parameters
    ----------
    inbound : zmq.Socket
        Listening socket.
    port : int
    limits : PeerLimits
    on_closed : callable
        Called with the reason of each connection that is shut down.
    is_peer_host : callable
        Returns whether an address is that of a known peer. The first links of such
        a host are exempt from the frequent measurement: in a fleet of a hundred
        routers that took a thousand system calls a second. Anyone can make a host
        known, so further links are measured as those of other hosts are.
    """

    def __init__(
        self,
        inbound: zmq.Socket,
        port: int,
        limits: PeerLimits,
        on_closed: Callable[[str], None],
        is_peer_host: Callable[[str], bool] = lambda address: False,
    ):
        self._monitor = inbound.get_monitor_socket(EVENTS)
        self._reader = SocketReader(self._monitor, self._on_event, EVENTS_PER_TURN)
        self._port = port
        self._limits = limits
        self._on_closed = on_closed
        self._is_peer_host = is_peer_host
        # By descriptor, in the order in which they were accepted.
        self._links: dict[int, _Link] = {}
        self._exempt: Counter[str] = Counter()
        self._turn = 0
        self._measured_s = time.monotonic()
        self._left_bytes: float = limits.total_burst_bytes
        # Set when a connection is accepted.
        self._wake = asyncio.Event()
        self._counts: Counter[str] = Counter()
        self._logged_s = 0.0

    async def run(self) -> None:
        """Watch connections until cancelled."""
        measuring = asyncio.create_task(self._measure())
        try:
            await self._reader.run()
        finally:
            measuring.cancel()

    def close(self) -> None:
        """Close the monitor's socket."""
        self._monitor.close(0)

    def _on_event(self, frames: list[bytes]) -> None:
        event = parse_monitor_message(frames)
        self._note(event["event"], event["value"])

    def _note(self, event: int, descriptor: int) -> None:
        if event == zmq.EVENT_DISCONNECTED:
            self._forget(descriptor)
        elif event == zmq.EVENT_ACCEPTED:
            link = _open_link(descriptor, self._port, self._limits.burst_bytes)
            if link is not None:
                self._forget(descriptor)
                self._links[descriptor] = link
                self._exempt_if_room(link)
                # Exempt links too are measured from here on.
                self._wake.set()
                self._bound_connections()

    def _forget(self, descriptor: int) -> None:
        link = self._links.pop(descriptor, None)
        if link is not None and link.is_exempt:
            link.is_exempt = False
            self._exempt[link.address] -= 1
            if not self._exempt[link.address]:
                del self._exempt[link.address]

    def _exempt_if_room(self, link: _Link) -> None:
        if (
            not link.is_exempt
            and self._exempt[link.address] < MAX_EXEMPT_PER_HOST
            and self._is_peer_host(link.address)
        ):
            link.is_exempt = True
            self._exempt[link.address] += 1

    def _update_exempt(self, now_s: float) -> None:
        """Exempt links of hosts that became known, and measure those of others."""
        was_exempt = [link for link in self._links.values() if link.is_exempt]
        self._exempt.clear()
        for link in self._links.values():
            link.is_exempt = False
            self._exempt_if_room(link)
        for link in was_exempt:
            if not link.is_exempt:
                # What it sent while exempt is not a burst of the next interval.
                self._bound_link(link, now_s)

    def _bound_exempt(self, now_s: float) -> None:
        """Measure the next exempt links, apart from the total."""
        links = [link for link in self._links.values() if link.is_exempt]
        for index in range(min(EXEMPT_PER_MEASURE, len(links))):
            self._bound_link(links[(self._turn + index) % len(links)], now_s)
        self._turn += EXEMPT_PER_MEASURE

    def _bound_connections(self) -> None:
        while len(self._links) > self._limits.max_connections:
            links = self._links.values()
            found = next((link for link in links if not link.is_exempt), None)
            if found is None:
                # Peers have one connection, so this one has too many.
                addresses = Counter(link.address for link in links)
                address = addresses.most_common(1)[0][0]
                own = (link for link in reversed(links) if link.address == address)
                found = next(own)
            self._shut_down(found, "connections")

    async def _measure(self) -> None:
        all_due_s = 0.0
        while True:
            now_s = time.monotonic()
            if now_s >= all_due_s:
                all_due_s = now_s + MEASURE_INTERVAL_S
                self._update_exempt(now_s)
                self._bound_bytes(self._measured_links(), now_s)
                self._bound_exempt(now_s)
            else:
                self._bound_bytes(self._young(now_s), now_s)
            if self._counts and now_s - self._logged_s >= LOG_INTERVAL_S:
                self._logged_s = now_s
                logger.warning(
                    "peer_connections_limited", open=len(self._links), **self._counts
                )
                self._counts.clear()
            self._wake.clear()
            if self._young(now_s):
                await asyncio.sleep(YOUNG_INTERVAL_S)
                continue
            # Without links, nothing is due until one is accepted.
            wait_s = MEASURE_INTERVAL_S if self._links or self._counts else None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()

    def _young(self, now_s: float) -> list[_Link]:
        """Return the links that were accepted lately; these are the last ones."""
        found = []
        for link in reversed(self._links.values()):
            if now_s - link.accepted_s > YOUNG_S:
                break
            if not link.is_exempt:
                found.append(link)
        return found

    def _measured_links(self) -> list[_Link]:
        return [link for link in self._links.values() if not link.is_exempt]

    def _bound_link(self, link: _Link, now_s: float) -> int:
        """Return what a link has sent since it was measured; 0 if it is shut down."""
        limits = self._limits
        received_bytes = _received_bytes(link)
        if received_bytes is None:
            self._forget(link.descriptor)
            return 0
        sent = received_bytes - link.received_bytes
        link.received_bytes = received_bytes
        refill = limits.bytes_per_s * min(MAX_REFILL_S, now_s - link.measured_s)
        link.measured_s = now_s
        link.left_bytes = min(limits.burst_bytes, link.left_bytes) + refill - sent
        if link.left_bytes < 0:
            self._shut_down(link, "bytes")
            return 0
        return sent

    def _bound_bytes(self, links: list[_Link], now_s: float) -> None:
        """Shut down connections that send more than they may."""
        limits = self._limits
        refill = limits.total_bytes_per_s * min(MAX_REFILL_S, now_s - self._measured_s)
        self._left_bytes = min(limits.total_burst_bytes, self._left_bytes) + refill
        self._measured_s = now_s
        new_bytes: dict[int, int] = {}
        for link in links:
            sent = self._bound_link(link, now_s)
            if sent:
                new_bytes[link.descriptor] = sent
                self._left_bytes -= sent
        for descriptor in sorted(new_bytes, key=new_bytes.get, reverse=True):
            if self._left_bytes >= 0:
                return
            self._left_bytes += new_bytes[descriptor]
            self._shut_down(self._links[descriptor], "bytes")

    def _shut_down(self, link: _Link, reason: str) -> None:
        self._forget(link.descriptor)
        self._counts[reason] += 1
        self._on_closed(reason)
        with contextlib.suppress(OSError), _socket_view(link.descriptor) as sock:
            if _cookie(sock) == link.cookie:
                # libzmq sees the end of the connection and closes the descriptor.
                sock.shutdown(socket.SHUT_RDWR)


@contextlib.contextmanager
def _socket_view(descriptor: int):
    """Provide a socket for a descriptor that stays open."""
    # The family is given, as its detection takes three more system calls.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        yield sock
    finally:
        sock.detach()


def _cookie(sock: socket.socket) -> bytes:
    return sock.getsockopt(socket.SOL_SOCKET, SO_COOKIE, COOKIE_BYTES)


def _open_link(descriptor: int, port: int, burst_bytes: int) -> _Link | None:
    """Return what is known of a connection, or None if it is closed already."""
    try:
        with _socket_view(descriptor) as sock:
            if sock.getsockname()[1] != port:
                return None
            now_s = time.monotonic()
            address = sock.getpeername()[0]
            return _Link(descriptor, _cookie(sock), address, now_s, now_s, burst_bytes)
    except (OSError, IndexError):
        return None


def _received_bytes(link: _Link) -> int | None:
    """Return what a connection has received, or None if it is closed."""
    try:
        with _socket_view(link.descriptor) as sock:
            if _cookie(sock) != link.cookie:
                return None
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < BYTES_RECEIVED_OFFSET + BYTES_RECEIVED.size:
        # Older kernels don't tell.
        return link.received_bytes
    return BYTES_RECEIVED.unpack_from(info, BYTES_RECEIVED_OFFSET)[0]
