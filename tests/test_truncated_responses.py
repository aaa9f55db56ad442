"""Responses that upstreams break off, by the way in which their end is marked."""

import asyncio
import itertools
import re
import time
from unittest import mock

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import generate_latest

from carobstair.core.send_limits import ResendLimit, SendLimitSettings
from carobstair.core.upstream_health import UpstreamHealth
from edge_test_case import EdgeCase
from platform_standins import Request, make_config

CHUNKED = ["Transfer-Encoding: chunked"]
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class RawResponseCase(EdgeCase):
    """Test case with upstreams that send given bytes after the head of a response."""

    async def start_raw(self, script="raw", upstreams=1):
        """Start upstreams that share a script; `raw` is what `set_raw` sets."""
        await self.start_upstreams_sharing_script(script, upstreams)

    def set_raw(self, body, headers=(), end="close", status=200, cut=None):
        """Set what the upstreams send after the head, and how they end it."""
        for upstream in self.upstreams:
            upstream.raw_status, upstream.raw_headers = status, headers
            upstream.raw_body, upstream.raw_end = body, end
            upstream.raw_cut = cut


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
        self.set_raw(body, CHUNKED, "keep")
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


class TransferCodingTest(RawResponseCase):
    """Guards against chunked responses that count as ended by their connection."""

    CHUNK = b"5\r\nhello\r\n"
    LAST_CHUNK = b"0\r\n\r\n"

    async def test_chunked_response_without_its_last_chunk_is_broken_off(self):
        await self.start_raw()
        for headers in (
            CHUNKED,
            ["Transfer-Encoding: gzip, chunked"],
            ["Transfer-Encoding: gzip", "Transfer-Encoding: chunked"],
            ["Transfer-Encoding:  Chunked "],
            ["Transfer-Encoding: chunked\t"],
        ):
            for end in ("close", "reset"):
                with self.subTest(headers, end=end):
                    self.set_raw(self.CHUNK, headers, end)
                    status, _, _ = await self.call("/unsafe/x", "POST")
                    self.assertEqual(status, 502)

    async def test_spelling_of_chunked_does_not_matter(self):
        await self.start_raw()
        for headers in (CHUNKED, ["TRANSFER-ENCODING:  Chunked "]):
            with self.subTest(headers):
                self.set_raw(self.CHUNK + self.LAST_CHUNK, headers, "keep")
                status, _, body = await self.call("/unsafe/x", "POST")
                self.assertEqual((status, body), (200, b"hello"))

    async def test_coding_that_nobody_asked_for_is_not_relayed(self):
        await self.start_raw()
        for coding in ("gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked"):
            with self.subTest(coding):
                headers = [f"Transfer-Encoding: {coding}"]
                self.set_raw(self.CHUNK + self.LAST_CHUNK, headers)
                status, _, _ = await self.call("/unsafe/x", "POST")
                self.assertEqual(status, 502)

    async def test_refusal_counts_although_its_coding_is_unknown(self):
        await self.start_raw()
        headers = ["Carobstair-Not-Executed: 1", "Transfer-Encoding: gzip"]
        self.set_raw(b"", headers, status=503)
        status, _, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 503)

    async def test_switched_protocol_is_no_answer(self):
        await self.start_raw()
        headers = ["Connection: upgrade", "Upgrade: other"]
        self.set_raw(b"hello", headers, "keep", status=101)
        status, _, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 502)

    async def test_response_to_head_ends_with_its_head(self):
        await self.start_raw()
        for headers in (CHUNKED, ["Content-Length: 7"], []):
            with self.subTest(headers):
                self.set_raw(b"", headers, "keep")
                start_s = time.monotonic()
                status, _, body = await self.call("/safe/x", "HEAD")
                self.assertEqual((status, body), (200, b""))
                self.assertLess(time.monotonic() - start_s, 0.5)


class CutResponseTest(RawResponseCase):
    """Guards against cut responses that reach callers as whole, and lost whole ones."""

    RAW_EVENT_COUNT = 5
    PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/resume/x")
    LINE_ENDS = ((b"\n",), (b"\r\n",), (b"\n", b"\r\n"))

    def build_events(self, line_ends):
        """Return the events that the stand-in's stream has, with these line ends."""
        lines = itertools.cycle(line_ends)
        return b"".join(
            b"".join(text + next(lines) for text in (b"id: %d" % n, b"data: part", b""))
            for n in range(1, self.RAW_EVENT_COUNT + 1)
        )

    def frame(self, framing, body):
        """Return header lines and bytes of a body with this framing."""
        if framing == "length":
            return [f"Content-Length: {len(body)}"], body
        if framing == "connection_end":
            return [], body
        # Chunks that don't end where events end.
        chunks = [body[at : at + 7] for at in range(0, len(body), 7)] + [b""]
        return CHUNKED, b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)

    async def check(self, path, framing, line_ends, cut_fraction, end):
        """Cut one response and check what the caller gets."""
        body = self.build_events(line_ends)
        headers, raw = self.frame(framing, body)
        # The connection ends after this response, so no other may be sent on it.
        headers = [*headers, "Connection: close"]
        self.number += 1
        attempt_id = f"cut{self.number:05d}"
        head = self.upstreams[0]._response_head(
            Request("GET", "/", [("carobstair-attempt-id", attempt_id)], b""),
            200,
            headers,
        )
        size = len(head) + len(raw)
        cut = round(cut_fraction * size)
        self.set_raw(raw, headers, end, cut=cut)
        self.dispatcher.health = UpstreamHealth()
        self.dispatcher.resends = ResendLimit(SendLimitSettings())
        try:
            status, _, got = await self.call(path, "POST", 5000, attempt_id=attempt_id)
        except aiohttp.ClientError:
            status, got = None, b""
        expected = body if cut == size else None
        if framing == "connection_end":
            expected = self.read_to_end(path, body[: max(0, cut - len(head))], end)
            if cut < len(head):
                expected = None
        if expected is None:
            self.assertNotEqual(status, 200)
        else:
            self.assertEqual((status, got), (200, expected))

    def read_to_end(self, path, body, end):
        """Return a body that ends with its connection, or None if it isn't whole."""
        if end == "reset":
            return None
        if path in ("/safe/x", "/unsafe/x"):
            return body
        whole = re.search(rb"\n\r?\n\Z", body)
        return body if whole else None

    async def test_cut_response_is_never_whole_and_a_whole_one_is_delivered(self):
        config = make_config()
        for route in config["routes"]:
            # Shortens the wait for another upstream, of which there is none.
            route["targetLatencyMs"] = 20
        await self.start_upstreams("raw", config=config)
        self.number = 0
        loop = asyncio.get_running_loop()

        @settings(max_examples=250, deadline=None, derandomize=True, database=None)
        @given(
            st.sampled_from(self.PATHS),
            st.sampled_from(("length", "chunked", "connection_end")),
            st.sampled_from(self.LINE_ENDS),
            st.one_of(st.just(1.0), st.floats(0.0, 1.0)),
            st.sampled_from(("close", "reset")),
        )
        def cut_one(path, framing, line_ends, cut_fraction, end):
            check = self.check(path, framing, line_ends, cut_fraction, end)
            task = asyncio.run_coroutine_threadsafe(check, loop)
            task.result(timeout=10)

        await asyncio.to_thread(cut_one)
