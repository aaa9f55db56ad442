"""Reads a ZeroMQ socket in an asyncio event loop.

`zmq.asyncio` makes a future for each message and asks libzmq for the socket's events
before and after it. For a socket that is only read, the descriptor is enough: libzmq
signals on it that something has arrived, and not again before the socket was found
empty, so each wake-up reads until then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import zmq

__all__ = ["SocketReader"]

# Without the conversion of an enum for each frame.
_DONTWAIT = int(zmq.DONTWAIT)


class SocketReader:
    """Calls a function with the frames of each message that arrives.

    Messages must not be sent on the socket, and nothing else may read it.

    Parameters
    ----------
    socket : zmq.Socket
        May be one of `zmq.asyncio`; its own methods are not used.
    on_message : callable
        Called with the frames of a message, a list of bytes.
    messages_per_turn : int
        Messages that are handled before others of the event loop have a turn.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        on_message: Callable[[list[bytes]], None],
        messages_per_turn: int,
    ):
        self._socket = zmq.Socket.shadow(socket)
        self._on_message = on_message
        self._messages_per_turn = messages_per_turn
        self._loop: asyncio.AbstractEventLoop | None = None
        self._failed: asyncio.Future | None = None
        # The next turn, if the last one left messages.
        self._next: asyncio.Handle | None = None

    async def run(self) -> None:
        """Read until cancelled.

        Raises
        ------
        Exception
            What `on_message` has raised, or `zmq.ZMQError`.
        """
        self._loop = asyncio.get_running_loop()
        self._failed = self._loop.create_future()
        descriptor = self._socket.get(zmq.FD)
        self._loop.add_reader(descriptor, self._on_readable)
        # What arrived earlier may have been signalled already.
        self._next = self._loop.call_soon(self._read)
        try:
            await self._failed
        finally:
            self._loop.remove_reader(descriptor)
            if self._next is not None:
                self._next.cancel()

    def _on_readable(self) -> None:
        if self._next is None:
            self._read()

    def _read(self) -> None:
        """Handle messages until there are none, or the bound of a turn is reached."""
        self._next = None
        if self._failed.done():
            return
        receive = self._socket.recv
        try:
            for _ in range(self._messages_per_turn):
                frames = [receive(_DONTWAIT)]
                while self._socket.get(zmq.RCVMORE):
                    frames.append(receive(_DONTWAIT))
                self._on_message(frames)
        except zmq.Again:
            # Empty: libzmq signals the next message.
            return
        except Exception as error:
            self._failed.set_exception(error)
            return
        self._next = self._loop.call_soon(self._read)
