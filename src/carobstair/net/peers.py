"""Transport between routers: envelopes over ZeroMQ sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import zmq
from prometheus_client import Counter

from carobstair.core.messages import (
    CodecError,
    Envelope,
    PeerAddress,
    decode,
    encode,
    kind_of,
)
from carobstair.logs import get_logger
from carobstair.net.peer_guard import PeerGuard, PeerLimits
from carobstair.net.socket_reader import SocketReader

if TYPE_CHECKING:
    from carobstair.metrics import RouterMetrics

__all__ = ["LinkKeys", "PeerTransport"]

logger = get_logger(__name__)

# Enough for a burst. State messages are sent again periodically, so a longer queue
# would only hold outdated ones.
MAX_QUEUED_MESSAGES = 200
# A state message of a fleet with hundreds of upstreams has some 100 kB. A peer that
# sends a longer message is disconnected.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Connections that do not speak the protocol are closed after this time.
HANDSHAKE_MS = 2000
# Messages that are handled before others of the event loop have a turn.
MESSAGES_PER_TURN = 64
LINK_HEARTBEAT_MS = 1000
LINK_TIMEOUT_MS = 3000
# Without the conversion of an enum for each message.
_DONTWAIT = int(zmq.DONTWAIT)

_Handler = Callable[[Envelope, Any], None]


class ListenAddress(Protocol):
    """Settings with the address on which a process listens for peers."""

    host: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """CURVE keys of links between routers; if empty, links are not encrypted."""

    server_public_key: str = ""
    server_secret_key: str = ""


class PeerTransport:
    """Sends messages to other routers and receives theirs.

    Parameters
    ----------
    own : PeerAddress
        Address and incarnation of this process.
    listen : ListenAddress
    keys : LinkKeys
        If the secret key is set, links are encrypted and peers must know the public
        key.
    metrics : RouterMetrics
    limits : PeerLimits, optional
    """

    def __init__(
        self,
        own: PeerAddress,
        listen: ListenAddress,
        keys: LinkKeys,
        metrics: RouterMetrics,
        limits: PeerLimits | None = None,
    ):
        self._own = own
        self._keys = keys
        self._metrics = metrics
        self._context = zmq.Context()
        self._inbound = self._context.socket(zmq.ROUTER)
        self._outbound: dict[str, tuple[PeerAddress, zmq.Socket]] = {}
        self._handlers: dict[type, list[_Handler]] = {}
        # Of messages and bytes, by direction and kind.
        self._counters: dict[tuple[str, str], tuple[Counter, Counter]] = {}
        self._peer_hosts: set[str] = set()
        self._sequence = 0
        self.epoch = 0
        self._secure_server(self._inbound)
        self._configure(self._inbound)
        self._guard = PeerGuard(
            self._inbound,
            listen.peer_port,
            limits or PeerLimits(),
            lambda reason: metrics.peer_dropped.labels(f"closed_{reason}").inc(),
            self._is_peer_host,
        )
        self._reader = SocketReader(self._inbound, self._receive, MESSAGES_PER_TURN)
        self._inbound.bind(f"tcp://{listen.host}:{listen.peer_port}")

    def subscribe(self, payload_type: type, handler: _Handler) -> None:
        """Call a handler for each received message of a payload type."""
        self._handlers.setdefault(payload_type, []).append(handler)

    def connect(self, address: PeerAddress) -> None:
        """Open a link, or replace it if the peer has a newer incarnation."""
        link = self._outbound.get(address.instance)
        if address.instance == self._own.instance:
            return
        if link is not None:
            if link[0].incarnation >= address.incarnation:
                return
            link[1].close(0)
        self._outbound[address.instance] = (address, self._open_socket(address))
        self._note_peer_hosts()

    def _note_peer_hosts(self) -> None:
        self._peer_hosts = {address.host for address, _ in self._outbound.values()}

    def _is_peer_host(self, host: str) -> bool:
        return host in self._peer_hosts

    def disconnect(self, instance: str) -> None:
        """Close the link to a peer."""
        link = self._outbound.pop(instance, None)
        if link is not None:
            link[1].close(0)
            self._note_peer_hosts()

    def reconnect(self, instance: str) -> None:
        """Replace a link whose connection may be dead."""
        link = self._outbound.get(instance)
        if link is not None:
            link[1].close(0)
            self._outbound[instance] = (link[0], self._open_socket(link[0]))

    def send(self, instance: str, payload: msgspec.Struct) -> bool:
        """Queue a message without blocking; return whether it was queued."""
        return self.send_all((instance,), payload) == 1

    def send_all(self, instances: Iterable[str], payload: msgspec.Struct) -> int:
        """Queue one message for several peers; return for how many it was queued."""
        self._sequence += 1
        data = encode(
            payload,
            self._own.instance,
            self._own.incarnation,
            self.epoch,
            self._sequence,
        )
        queued = sum(self._enqueue(instance, data) for instance in instances)
        if queued:
            self._count("sent", kind_of(payload), len(data), queued)
        return queued

    def _enqueue(self, instance: str, data: bytes) -> bool:
        link = self._outbound.get(instance)
        if link is None:
            return False
        try:
            # A full queue means that the link does not drain; drop the message, since
            # queued state messages become outdated.
            link[1].send(data, _DONTWAIT)
        except zmq.Again:
            self._metrics.peer_dropped.labels("queue_full").inc()
            return False
        return True

    async def run(self) -> None:
        """Receive messages until cancelled."""
        guarding = asyncio.create_task(self._guard.run())
        try:
            await self._reader.run()
        finally:
            guarding.cancel()

    def close(self) -> None:
        """Close all sockets."""
        self._inbound.disable_monitor()
        self._guard.close()
        for _, socket in self._outbound.values():
            socket.close(200)
        self._inbound.close(0)
        self._context.term()

    def _receive(self, frames: list[bytes]) -> None:
        data = frames[-1]
        try:
            envelope, payload = decode(data)
        except CodecError as error:
            self._metrics.peer_dropped.labels(error.reason).inc()
            logger.warning("peer_message_dropped", reason=error.reason)
            return
        self._count("received", envelope.kind, len(data), 1)
        for handler in self._handlers.get(type(payload), ()):
            try:
                handler(envelope, payload)
            except Exception:
                # A message that fails must not stop the receive loop.
                self._metrics.peer_dropped.labels("handler_error").inc()
                logger.exception("peer_message_failed", kind=envelope.kind)

    def _count(self, direction: str, kind: str, size: int, messages: int) -> None:
        counters = self._counters.get((direction, kind))
        if counters is None:
            # Kinds are from a fixed set: those that are sent or decoded.
            counters = self._counters[direction, kind] = (
                self._metrics.peer_messages.labels(direction, kind),
                self._metrics.peer_bytes.labels(direction, kind),
            )
        counters[0].inc(messages)
        counters[1].inc(size * messages)

    def _open_socket(self, address: PeerAddress) -> zmq.Socket:
        socket = self._context.socket(zmq.DEALER)
        self._configure(socket)
        if self._keys.server_secret_key:
            socket.curve_publickey = self._keys.server_public_key.encode()
            socket.curve_secretkey = self._keys.server_secret_key.encode()
            socket.curve_serverkey = self._keys.server_public_key.encode()
        socket.connect(f"tcp://{address.host}:{address.peer_port}")
        return socket

    def _secure_server(self, socket: zmq.Socket) -> None:
        if self._keys.server_secret_key:
            socket.curve_server = True
            socket.curve_secretkey = self._keys.server_secret_key.encode()

    def _configure(self, socket: zmq.Socket) -> None:
        socket.linger = 0
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.sndhwm = MAX_QUEUED_MESSAGES
        socket.rcvhwm = MAX_QUEUED_MESSAGES * 10
        socket.handshake_ivl = HANDSHAKE_MS
        socket.heartbeat_ivl = LINK_HEARTBEAT_MS
        socket.heartbeat_timeout = LINK_TIMEOUT_MS
        socket.reconnect_ivl = 100
        socket.reconnect_ivl_max = 1000


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
