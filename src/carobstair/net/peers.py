"""Links between routers: pyzmq sockets that carry envelopes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import zmq
import zmq.asyncio

from carobstair.core.messages import (
    CodecError,
    Envelope,
    PeerAddress,
    decode,
    encode,
    kind_of,
)
from carobstair.logs import get_logger

if TYPE_CHECKING:
    from carobstair.metrics import RouterMetrics

__all__ = ["LinkKeys", "PeerTransport"]

logger = get_logger(__name__)

# Enough for a burst; state messages are refreshed, so more would only be stale.
MAX_QUEUED_MESSAGES = 200
LINK_HEARTBEAT_MS = 1000
LINK_TIMEOUT_MS = 3000

_Handler = Callable[[Envelope, Any], None]


class ListenAddress(Protocol):
    """Settings that name where a process listens for peers."""

    host: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """Keys of links between routers; empty ones mean links in the clear."""

    server_public_key: str = ""
    server_secret_key: str = ""


class PeerTransport:
    """Sends to and receives from other routers.

    Parameters
    ----------
    own : PeerAddress
        Address and incarnation of this process.
    listen : ListenAddress
    keys : LinkKeys
        With a secret key, links are encrypted and peers must know the public key.
    metrics : RouterMetrics
    """

    def __init__(
        self,
        own: PeerAddress,
        listen: ListenAddress,
        keys: LinkKeys,
        metrics: RouterMetrics,
    ):
        self._own = own
        self._keys = keys
        self._metrics = metrics
        self._context = zmq.asyncio.Context()
        self._inbound = self._context.socket(zmq.ROUTER)
        self._outbound: dict[str, tuple[PeerAddress, zmq.asyncio.Socket]] = {}
        self._handlers: dict[type, list[_Handler]] = {}
        self._sequence = 0
        self.epoch = 0
        self._secure_server(self._inbound)
        self._tune(self._inbound)
        self._inbound.bind(f"tcp://{listen.host}:{listen.peer_port}")

    def subscribe(self, payload_type: type, handler: _Handler) -> None:
        """Have a handler called for each message of a type."""
        self._handlers.setdefault(payload_type, []).append(handler)

    def connect(self, address: PeerAddress) -> None:
        """Open a link, or replace it when the peer has moved or restarted."""
        known = self._outbound.get(address.instance)
        if address.instance == self._own.instance:
            return
        if known is not None:
            if known[0].incarnation >= address.incarnation:
                return
            known[1].close(0)
        self._outbound[address.instance] = (address, self._open(address))

    def disconnect(self, instance: str) -> None:
        """Close the link to a peer."""
        known = self._outbound.pop(instance, None)
        if known is not None:
            known[1].close(0)

    def reconnect(self, instance: str) -> None:
        """Replace a link that may have gone silent."""
        known = self._outbound.get(instance)
        if known is not None:
            known[1].close(0)
            self._outbound[instance] = (known[0], self._open(known[0]))

    def send(self, instance: str, payload: msgspec.Struct) -> bool:
        """Send without waiting; return whether the message was queued."""
        return self.send_all((instance,), payload) == 1

    def send_all(self, instances: Iterable[str], payload: msgspec.Struct) -> int:
        """Send one message to several peers; return how many were queued."""
        self._sequence += 1
        data = encode(
            payload,
            self._own.instance,
            self._own.incarnation,
            self.epoch,
            self._sequence,
        )
        queued = sum(self._queue(instance, data) for instance in instances)
        if queued:
            self._count("sent", kind_of(payload), len(data), queued)
        return queued

    def _queue(self, instance: str, data: bytes) -> bool:
        known = self._outbound.get(instance)
        if known is None:
            return False
        try:
            # Past the bound the link does not drain, and what is queued gets stale.
            zmq.Socket.send(known[1], data, zmq.DONTWAIT)
        except zmq.Again:
            self._metrics.peer_dropped.labels("queue_full").inc()
            return False
        return True

    async def run(self) -> None:
        """Receive until cancelled."""
        while True:
            frames = await self._inbound.recv_multipart()
            self._receive(frames[-1])

    def close(self) -> None:
        """Close all sockets."""
        for _, socket in self._outbound.values():
            socket.close(200)
        self._inbound.close(0)
        self._context.term()

    def _receive(self, data: bytes) -> None:
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
                # One bad message must not end the receiving of all others.
                self._metrics.peer_dropped.labels("handler_error").inc()
                logger.exception("peer_message_failed", kind=envelope.kind)

    def _count(self, direction: str, kind: str, size: int, messages: int) -> None:
        self._metrics.peer_messages.labels(direction, kind).inc(messages)
        self._metrics.peer_bytes.labels(direction, kind).inc(size * messages)

    def _open(self, address: PeerAddress) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        self._tune(socket)
        if self._keys.server_secret_key:
            socket.curve_publickey = self._keys.server_public_key.encode()
            socket.curve_secretkey = self._keys.server_secret_key.encode()
            socket.curve_serverkey = self._keys.server_public_key.encode()
        socket.connect(f"tcp://{address.host}:{address.peer_port}")
        return socket

    def _secure_server(self, socket: zmq.asyncio.Socket) -> None:
        if self._keys.server_secret_key:
            socket.curve_server = True
            socket.curve_secretkey = self._keys.server_secret_key.encode()

    def _tune(self, socket: zmq.asyncio.Socket) -> None:
        socket.linger = 0
        socket.sndhwm = MAX_QUEUED_MESSAGES
        socket.rcvhwm = MAX_QUEUED_MESSAGES * 10
        socket.heartbeat_ivl = LINK_HEARTBEAT_MS
        socket.heartbeat_timeout = LINK_TIMEOUT_MS
        socket.reconnect_ivl = 100
        socket.reconnect_ivl_max = 1000


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
