"""Tests of one connection to an upstream, without a network."""

import unittest
from unittest import mock

from carobstair.edge.upstream_connection import (
    MAX_JOINED_BYTES,
    ConnectionBroken,
    UpstreamConnection,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def make_chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class JoinedPartsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a late event loop that relays each event by itself."""

    async def asyncSetUp(self):
        self.connection = UpstreamConnection()
        self.connection._transport = mock.Mock(is_closing=lambda: False)
        self.connection.send("GET", b"GET / HTTP/1.1\r\n\r\n", b"")

    async def test_parts_that_have_arrived_are_read_at_once(self):
        events = [b"id: %d\n\n" % number for number in range(20)]
        self.connection.data_received(HEAD + b"".join(map(make_chunk, events[:10])))
        await self.connection.read_head()
        self.assertEqual(await self.connection.read_body(), b"".join(events[:10]))
        self.connection.data_received(make_chunk(events[10]))
        self.assertEqual(await self.connection.read_body(), events[10])
        self.connection.data_received(b"0\r\n\r\n")
        self.assertIsNone(await self.connection.read_body())

    async def test_joined_parts_are_bounded(self):
        part = b"x" * 16384
        self.connection.data_received(HEAD + make_chunk(part) * 10)
        await self.connection.read_head()
        self.assertEqual(len(await self.connection.read_body()), MAX_JOINED_BYTES)

    async def test_end_and_errors_come_after_the_parts(self):
        self.connection.data_received(HEAD + make_chunk(b"a") + make_chunk(b"b"))
        self.connection.connection_lost(ConnectionResetError("reset"))
        await self.connection.read_head()
        self.assertEqual(await self.connection.read_body(), b"ab")
        with self.assertRaises(ConnectionBroken):
            await self.connection.read_body()

    async def test_reading_resumes_when_joined_parts_were_taken(self):
        part = b"x" * 65536
        self.connection.data_received(HEAD + make_chunk(part) * 6)
        self.connection._transport.pause_reading.assert_called_once()
        await self.connection.read_head()
        for _ in range(6):
            await self.connection.read_body()
        self.connection._transport.resume_reading.assert_called_once()
