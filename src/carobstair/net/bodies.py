"""Reading of response bodies with a limit on their size."""

from __future__ import annotations

import aiohttp

__all__ = ["BodyTooLarge", "read_body"]

MAX_BODY_BYTES = 8 * 1024 * 1024


class BodyTooLarge(aiohttp.ClientPayloadError):
    """A response has a larger body than the client accepts."""


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
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
    BodyTooLarge
    """
    parts, size = [], 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            response.close()
            raise BodyTooLarge(f"a body of more than {max_bytes} bytes")
    return b"".join(parts)
