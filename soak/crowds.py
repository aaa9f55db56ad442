"""Clients that stay within no limits, as faults of a soak run."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from faults import Fault
    from world import World

__all__ = ["inject_crowd"]

CONNECTIONS = 30
# Few enough bytes that the soak's own process is not late.
SENT_BYTES = 256 * 1024
PIECE_BYTES = 16 * 1024
PIPELINED = b"GET /safe/x HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a connection sends once, and then again and again.
CROWD_INPUTS = (
    (b"GET / HTTP/1.1\r\nX-A: ", b"a"),
    (b"GET / HTTP/1.1\r\n", b"X-A: b\r\n"),
    (b"", b"\r\n"),
    (b"GET /", b"a"),
    (CHUNKED + b"1;x=", b"a"),
    (CHUNKED + b"1\r\na\r\n0\r\n", b"X-A: b\r\n"),
    (b"", bytes(range(256))),
    (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n", b"a"),
    (PIPELINED, PIPELINED),
    (b"", b""),
)


async def inject_crowd(world: World, fault: Fault) -> None:
    """Hold connections to a router that send one of the inputs, and read nothing."""
    router_number = fault.target_number % len(world.routers)
    number, page = divmod(fault.target_number // len(world.routers), 4)
    router = world.routers[router_number]
    port = router.front_port if page else router.ready_port
    begin, unit = CROWD_INPUTS[number % len(CROWD_INPUTS)]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(fault.for_s):
            sending = (_send(port, begin, unit) for _ in range(CONNECTIONS))
            await asyncio.gather(*sending)


async def _send(port: int, begin: bytes, unit: bytes) -> None:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        # The router is not running.
        return
    try:
        writer.transport.pause_reading()
        writer.write(begin)
        piece = unit * (PIECE_BYTES // max(1, len(unit)))
        for _ in range(SENT_BYTES // PIECE_BYTES):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        await asyncio.Event().wait()
    except OSError:
        # The router has closed the connection.
        return
    finally:
        writer.transport.abort()
