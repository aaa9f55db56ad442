"""Transport that joins a write with the one that follows it.

The head of a response and the first part of its body are written apart by the ASGI
server. Each write is a call of the system, which takes as much processor time as the
rest of relaying an event.
"""

from __future__ import annotations

import asyncio

__all__ = ["JoinedWrites"]


class JoinedWrites:
    """Wraps a transport; other methods than these are passed on.

    Parameters
    ----------
    transport : asyncio.Transport
    """

    __slots__ = ("_held", "_holds_next", "_transport", "is_closing")

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._held = b""
        self._holds_next = False
        self.is_closing = transport.is_closing

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def hold_next(self) -> None:
        """Hold the next write until the one after it, or until `flush`."""
        self._holds_next = True

    def write(self, data: bytes) -> None:
        """Write data after what is held, or hold it."""
        if self._holds_next:
            self._holds_next = False
            self._held += data
        elif self._held:
            held, self._held = self._held, b""
            self._transport.write(held + data)
        else:
            self._transport.write(data)

    def flush(self) -> None:
        """Write what is held, and hold nothing from now on."""
        self._holds_next = False
        if self._held:
            held, self._held = self._held, b""
            self._transport.write(held)

    def close(self) -> None:
        """Write what is held and close the transport."""
        self.flush()
        self._transport.close()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the system has not taken yet."""
        return len(self._held) + self._transport.get_write_buffer_size()
