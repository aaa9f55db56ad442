"""Connections to the hand-off ports of peers, one request at a time on each."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from carobstair.core.handoff import HandoffPeer
from carobstair.logs import get_logger
from carobstair.net.keepalive import set_keepalive

__all__ = ["CONNECT_TIMEOUT_S", "HandoffLink", "HandoffLinks", "LinkUser"]

logger = get_logger(__name__)

# A connect within a zone takes a millisecond. The kernel repeats a lost one after a
# second only, and the shortest objective for a first token is 250 ms.
CONNECT_TIMEOUT_S = 0.1
# Connections idle for longer are closed: their peer would do so after 75 s, and a
# request must not meet that end.
IDLE_S = 10.0
READ_BYTES = 64 * 1024
# A link that is cut ends an answer after so long, as for connections to upstreams.
UNACKED_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# What makes an idle link unusable: its end, and bytes that belong to no request.
POLL_UNUSABLE = select.POLLIN | getattr(select, "POLLRDHUP", 0)
# A timer that fires later shows that this process was late, not the peer.
LATE_TIMER_S = 0.05


class LinkUser(Protocol):
    """What a link asks of the request on it."""

    def on_connected(self, link: HandoffLink) -> None:
        """Take a link that was opened for the request, or give it back."""

    def on_not_connected(self, reason: str) -> None:
        """Go on without a link."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the answer."""

    def on_lost(self, reason: str) -> None:
        """Take note that the link has ended before the answer did."""


class HandoffLink(asyncio.BufferedProtocol):
    """One connection to a peer."""

    def __init__(self, links: HandoffLinks, peer: HandoffPeer):
        self._links = links
        self.peer = peer
        self.user: LinkUser | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the options that detect a dead connection."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_keepalive(
            sock,
            KEEPALIVE_IDLE_S,
            KEEPALIVE_INTERVAL_S,
            KEEPALIVE_PROBES,
            UNACKED_TIMEOUT_MS,
        )
        self._poll.register(sock, POLL_UNUSABLE)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which any link reads next."""
        return self._links.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read; data that belongs to no request ends the link."""
        if self.user is None:
            logger.warning("handoff_link_stray_data", peer=self.peer.name)
            self.abort()
            return
        self.user.on_data(bytes(self._links.buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end to the request in progress."""
        self._links.discard(self)
        if self.user is not None:
            user, self.user = self.user, None
            user.on_lost(f"the peer's connection ended: {exc or 'closed'}")

    @property
    def is_open(self) -> bool:
        """Whether the peer has neither ended an idle link nor written to it.

        Bytes that the event loop has not read yet would be taken for the next answer.
        """
        return not self.transport.is_closing() and not self._poll.poll(0)

    def release(self) -> None:
        """Make the link available after a whole answer."""
        self.user = None
        if self.transport.get_write_buffer_size():
            # The peer has answered before it took the request.
            self.abort()
            return
        self.transport.resume_reading()
        self._links.put(self)

    def abort(self) -> None:
        """Close the link and, at the peer, the request on it."""
        self.user = None
        self._links.discard(self)
        self.transport.abort()


class HandoffLinks:
    """Keeps connections to peers and opens new ones.

    Parameters
    ----------
    on_failure : callable
        Called with a peer to which a connect failed, and the reason.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        on_failure: Callable[[HandoffPeer, str], None],
        clock: Callable[[], float],
    ):
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._on_failure = on_failure
        self._clock = clock
        # Those used last are used first, so that others become idle and are closed.
        self._idle: dict[HandoffPeer, deque[HandoffLink]] = {}
        self._connects: set[asyncio.Task] = set()

    @property
    def is_empty(self) -> bool:
        """Whether there are neither idle links nor connects in progress."""
        return not self._idle and not self._connects

    def take(self, peer: HandoffPeer) -> HandoffLink | None:
        """Return an idle link to a peer."""
        idle = self._idle.get(peer)
        while idle:
            link = idle.pop()
            if not idle:
                del self._idle[peer]
            if link.is_open:
                return link
            link.abort()
        return None

    def put(self, link: HandoffLink) -> None:
        """Keep an idle link."""
        link.idle_since_s = self._clock()
        self._idle.setdefault(link.peer, deque()).append(link)

    def discard(self, link: HandoffLink) -> None:
        """Forget a link that has ended."""
        idle = self._idle.get(link.peer)
        if idle is not None and link in idle:
            idle.remove(link)
            if not idle:
                del self._idle[link.peer]

    def connect(self, peer: HandoffPeer, user: LinkUser) -> None:
        """Open a link for a request."""
        task = asyncio.create_task(self._connect(peer, user))
        self._connects.add(task)
        task.add_done_callback(self._connects.discard)

    async def _connect(self, peer: HandoffPeer, user: LinkUser) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + CONNECT_TIMEOUT_S
        connect = loop.create_task(
            loop.create_connection(
                lambda: HandoffLink(self, peer), peer.host, peer.port
            )
        )
        try:
            await asyncio.wait({connect}, timeout=CONNECT_TIMEOUT_S)
            if not connect.done() and loop.time() - due_s > LATE_TIMER_S:
                # A connect that was ready before the timer is handled after it.
                await asyncio.wait({connect}, timeout=LATE_TIMER_S)
            if not connect.done():
                raise TimeoutError("timed out")
            _, link = connect.result()
            if not link.is_open:
                link.abort()
                raise ConnectionError("the peer ended the new connection")
        except (OSError, UnicodeError) as error:
            self._on_failure(peer, str(error))
            user.on_not_connected(str(error))
            return
        finally:
            connect.cancel()
        user.on_connected(link)

    def close_idle(self, now_s: float) -> None:
        """Close links that have been idle for long."""
        for idle in list(self._idle.values()):
            while idle and now_s - idle[0].idle_since_s >= IDLE_S:
                idle[0].abort()
