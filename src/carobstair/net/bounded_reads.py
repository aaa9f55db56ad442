"""Reads a connection in pieces of bounded size.

asyncio reads up to 256 KiB at once. With hundreds of connections whose data waits,
such pieces take more memory than a small machine has.
"""

from __future__ import annotations

import asyncio

__all__ = ["BoundedReads"]

READ_BYTES = 64 * 1024
# Shared by all connections, as the data is copied at once.
_buffer = memoryview(bytearray(READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Protocol that passes what was read to `data_received`."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport reads."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has read."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
