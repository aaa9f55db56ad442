"""Responses that upstreams break off, by the way in which their end is marked."""

from unittest import mock

import aiohttp
from prometheus_client import generate_latest

from edge_test_case import EdgeCase


class FramingLogTest(EdgeCase):
    """Guards against truncated responses that logs and metrics don't show."""

    async def test_end_by_connection_is_always_logged_with_the_last_bytes(self):
        await self.start_upstreams("no_length")
        with mock.patch("carobstair.edge.app.logger") as logger:
            await self.call("/stream/x", "POST")
        fields = logger.info.call_args.kwargs
        self.assertEqual(fields["framing"], "connection_end")
        self.assertEqual(fields["last_bytes"], repr(b" the end"))

    async def test_responses_are_counted_by_framing(self):
        await self.start_upstreams("ok stream no_length")
        for path in ("/safe/x", "/stream/x", "/safe/x"):
            await self.call(path, "POST")
        text = generate_latest(self.metrics.registry).decode()
        for framing in ("length", "chunked", "connection_end"):
            line = f'responses_total{{framing="{framing}",outcome="answered"}} 1.0'
            self.assertIn(line, text)


class TruncatedStreamTest(EdgeCase):
    """Guards against streams that broke off and reach callers as complete."""

    async def test_stream_that_ends_in_an_event_is_broken_for_the_caller(self):
        await self.start_upstreams("stream_ended_in_event")
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call("/stream/x", "POST")
