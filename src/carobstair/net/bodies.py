"""Responses of the product's own HTTP clients: limits on bodies, and their end."""

from __future__ import annotations

import asyncio

import aiohttp

from carobstair.core.framing import (
    Framing,
    FramingError,
    check_status,
    response_framing,
)

__all__ = ["BodyTooLarge", "CheckedResponse", "read_body"]

MAX_BODY_BYTES = 8 * 1024 * 1024


class BodyTooLarge(aiohttp.ClientPayloadError):
    """A response has a larger body than the client accepts."""


class CheckedResponse(aiohttp.ClientResponse):
    """A response that knows whether its body is whole.

    aiohttp ends a body without length and chunks with its connection, also if that
    was reset, and relays bodies in other transfer codings as they are.
    """

    transport: asyncio.Transport | None = None
    _connection_closed: asyncio.Future | None = None

    async def start(self, connection) -> aiohttp.ClientResponse:
        """Read the head, and keep what tells how the connection will end.

        Raises
        ------
        aiohttp.ClientPayloadError
            If the status is none.
        """
        self.transport = connection.transport
        # The connection is detached from the response before it can be asked.
        self._connection_closed = connection.protocol.closed
        if self._connection_closed is not None:
            self._connection_closed.add_done_callback(_mark_retrieved)
        await super().start(connection)
        try:
            check_status(self.status)
        except FramingError as error:
            raise aiohttp.ClientPayloadError(str(error)) from error
        return self

    def check_whole(self) -> None:
        """Check that a body that was read to its end is whole.

        Raises
        ------
        aiohttp.ClientPayloadError
        """
        try:
            framing = response_framing(self.method, self.status, self.raw_headers)
        except FramingError as error:
            self.close()
            raise aiohttp.ClientPayloadError(str(error)) from error
        closed = self._connection_closed
        if framing is not Framing.CONNECTION_END or closed is None:
            return
        if closed.done() and closed.exception() is not None:
            raise aiohttp.ClientPayloadError(str(closed.exception()))


async def read_body(
    response: CheckedResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body of a response.

    The total timeout of the request bounds the time, but at the rate of a local
    network not the memory.

    Parameters
    ----------
    max_bytes : int
        A larger body closes the connection.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is not whole; `BodyTooLarge` if it is too large.
    """
    parts, size = [], 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            response.close()
            raise BodyTooLarge(f"a body of more than {max_bytes} bytes")
    response.check_whole()
    return b"".join(parts)


def _mark_retrieved(closed: asyncio.Future) -> None:
    if not closed.cancelled():
        closed.exception()
