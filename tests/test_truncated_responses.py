"""Responses that upstreams break off, by the way in which their end is marked."""

from unittest import mock

import aiohttp
from prometheus_client import generate_latest

from edge_test_case import EdgeCase

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class RawResponseCase(EdgeCase):
    """Test case with upstreams that send given bytes after the head of a response."""

    async def start_raw(self, script="raw", upstreams=1):
        """Start upstreams that share a script; `raw` is what `set_raw` sets."""
        await self.start_upstreams_sharing_script(script, upstreams)

    def set_raw(self, body, headers=(), end="close", status=200):
        """Set what the upstreams send after the head, and how they end it."""
        for upstream in self.upstreams:
            upstream.raw_status, upstream.raw_headers = status, headers
            upstream.raw_body, upstream.raw_end = body, end


class FramingLogTest(RawResponseCase):
    """Guards against truncated responses that logs and metrics don't show."""

    async def test_end_by_connection_is_always_logged_with_the_last_bytes(self):
        await self.start_raw()
        self.set_raw(EVENTS)
        with mock.patch("carobstair.edge.app.logger") as logger:
            await self.call("/stream/x", "POST")
        fields = logger.info.call_args.kwargs
        self.assertEqual(fields["framing"], "connection_end")
        self.assertEqual(fields["last_bytes"], repr(EVENTS[-8:]))

    async def test_responses_are_counted_by_framing(self):
        await self.start_upstreams("ok stream no_length")
        for path in ("/safe/x", "/stream/x", "/safe/x"):
            await self.call(path, "POST")
        text = generate_latest(self.metrics.registry).decode()
        for framing in ("length", "chunked", "connection_end"):
            line = f'responses_total{{framing="{framing}",outcome="answered"}} 1.0'
            self.assertIn(line, text)


class TruncatedStreamTest(RawResponseCase):
    """Guards against streams that broke off and reach callers as complete."""

    async def test_stream_that_ends_in_an_event_is_broken_for_the_caller(self):
        await self.start_raw()
        for cut in (1, len(EVENTS) - 5, len(EVENTS) - 1):
            with self.subTest(cut=cut):
                self.set_raw(EVENTS[:cut])
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await self.call("/stream/x", "POST")

    async def test_complete_chunks_do_not_complete_an_event(self):
        await self.start_raw()
        body = b"5\r\nid: 1\r\n0\r\n\r\n"
        self.set_raw(body, ["Transfer-Encoding: chunked"], "keep")
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call("/stream/x", "POST")

    async def test_stream_that_ends_with_its_connection_between_events_is_whole(self):
        await self.start_raw()
        for path in ("/stream/x", "/resume/x"):
            for line_end in (b"\n", b"\r\n", b"\r"):
                with self.subTest(path, line_end=line_end):
                    body = EVENTS.replace(b"\n", line_end)
                    self.set_raw(body)
                    status, _, got = await self.call(path, "POST")
                    self.assertEqual((status, got), (200, body))

    async def test_connection_that_ends_before_the_first_event_is_no_answer(self):
        await self.start_raw()
        for path in ("/stream/x", "/resume/x"):
            with self.subTest(path):
                self.set_raw(b"")
                status, _, _ = await self.call(path, "POST")
                self.assertEqual(status, 502)

    async def test_resumable_stream_that_ends_in_an_event_is_resumed(self):
        await self.start_raw("raw stream", upstreams=2)
        self.set_raw(b"id: 1\ndata: part\n\nid: 2\nda")
        _, _, got = await self.call("/resume/x", "POST", deadline_ms=2000)
        whole = b"".join(b"id: %d\ndata: part\n\n" % number for number in range(1, 6))
        self.assertEqual(got, whole)
