"""Tests of refusals that come twice, and of answers that break off between engines."""

import asyncio
import time
import unittest
from unittest import mock

from edge_test_case import EdgeCase
from platform_standins import Request, UpstreamStandIn


class BrokenUpstream(UpstreamStandIn):
    """An upstream whose answers are repeated, replaced or cut off."""

    async def _paused_then_known(self, request, writer):
        self._previous = request
        return await self._paused(request, writer)

    async def _ok_after_refusal_copy(self, request, writer):
        """Write the earlier refusal once more, then run the request."""
        extra = ["Carobstair-Not-Executed: 1", "Retry-After: 30", "Server-Leaving: 1"]
        extra.append("Content-Length: 0")
        writer.write(self._response_head(self._previous, 503, extra, seal=False))
        return await self._ok(request, writer)

    async def _ok_after_unnamed_refusal(self, request, writer):
        extra = b"Carobstair-Not-Executed: 1\r\nRetry-After: 30\r\n"
        writer.write(b"HTTP/1.1 503 X\r\n" + extra + b"Content-Length: 0\r\n\r\n")
        return await self._ok(request, writer)

    async def _empty(self, request, writer):
        writer.write(self._response_head(request, 200, ["Content-Length: 0"]))
        return True

    async def _no_content(self, request, writer):
        writer.write(self._response_head(request, 204))
        return True

    async def _cut_head(self, request, writer):
        head = self._response_head(request, 200, ["Content-Length: 5"])
        writer.write(head[: self.raw_cut])
        await writer.drain()
        return False


class BrokenAnswerCase(EdgeCase):
    """Test case whose upstreams answer as `BrokenUpstream`."""

    async def asyncSetUp(self):
        patch = mock.patch("edge_test_case.UpstreamStandIn", BrokenUpstream)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def read_all(self, path, attempt_id="id1"):
        """Return all bytes that a caller gets on its connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            f"Carobstair-Attempt-Id: {attempt_id}\r\nCarobstair-Deadline-Ms: 2000\r\n"
            "Connection: close\r\nContent-Length: 1\r\n\r\nx".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), 4.0)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()


class StaleRefusalTest(BrokenAnswerCase):
    """Guards against an earlier refusal that is taken for the answer to a request.

    Callers were told that requests had not run while an engine ran them.
    """

    async def refuse_then(self, behaviour):
        """Return the status and runs of a request on a connection used before."""
        await self.start_upstreams("paused_then_known " + behaviour)
        self.upstreams[0].retry_after = "0.05"
        await self.call("/unsafe/x", "POST", attempt_id="first")
        await asyncio.sleep(0.1)
        status, _, _ = await self.call("/unsafe/x", "POST", attempt_id="second")
        self.assertEqual(self.upstreams[0].connections, 1)
        return status, self.upstream_request_count()

    async def test_copy_of_an_earlier_refusal_is_not_passed_on(self):
        status, requests = await self.refuse_then("ok_after_refusal_copy")
        self.assertEqual((status, requests), (200, 2))

    async def test_copy_of_an_earlier_refusal_neither_pauses_nor_drains(self):
        await self.refuse_then("ok_after_refusal_copy ok")
        status, _, _ = await self.call("/unsafe/x", "POST", attempt_id="third")
        self.assertEqual(status, 200)

    async def test_refusal_without_a_name_is_no_promise(self):
        status, requests = await self.refuse_then("ok_after_unnamed_refusal")
        self.assertEqual((status, requests), (502, 2))


class ResumedStreamTest(BrokenAnswerCase):
    """Guards against errors inside a stream, and ends that look complete.

    A stream broke off, and the next engine's error was relayed within it.
    """

    async def check_incomplete(self, script):
        await self.start_upstreams_sharing_script(script)
        received = await self.read_all("/resume/x")
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b"200", head.splitlines()[0])
        self.assertIn(b"id: 2", body)
        # The last chunk would end the stream as complete.
        self.assertFalse(body.endswith(b"0\r\n\r\n"))
        for part in (b"HTTP/1.1", b"failed", b"?", b"whole", b"urn:"):
            self.assertNotIn(part, body)

    async def test_error_of_the_next_engine_is_not_part_of_the_stream(self):
        await self.check_incomplete("truncated_stream error")

    async def test_unsealed_answer_of_the_next_engine_is_not_part_of_it(self):
        await self.check_incomplete("truncated_stream unsealed")

    async def test_refusal_of_the_next_engine_is_not_part_of_it(self):
        await self.check_incomplete("truncated_stream full")

    async def test_refusal_without_a_marker_is_not_part_of_it(self):
        await self.check_incomplete("truncated_stream busy_without_marker")

    async def test_bytes_that_are_no_answer_are_not_part_of_it(self):
        await self.check_incomplete("truncated_stream malformed")

    async def test_reset_by_the_next_engine_does_not_complete_the_stream(self):
        await self.check_incomplete("truncated_stream reset")

    async def test_next_engine_without_events_does_not_complete_the_stream(self):
        await self.check_incomplete("truncated_stream empty")

    async def test_next_engine_without_content_does_not_complete_the_stream(self):
        await self.check_incomplete("truncated_stream no_content")


class CutOffHeadTest(BrokenAnswerCase):
    """Guards against a success whose head was never received in full."""

    async def test_head_that_is_cut_off_is_no_success(self):
        await self.start_upstreams("cut_head")
        request = Request("POST", "/", [("carobstair-attempt-id", "id1")], b"")
        extra = ["Content-Length: 5"]
        length = len(self.upstreams[0]._response_head(request, 200, extra))
        for path in ("/unsafe/x", "/stream/x", "/resume/x", "/safe/x"):
            for cut in (8, 14, length // 2, length - 4, length - 2, length - 1):
                with self.subTest(path=path, cut=cut):
                    self.upstreams[0].raw_cut = cut
                    # The upstream is passed over for a while after failures.
                    self.dispatcher.health.__init__()
                    began_s = time.monotonic()
                    received = await self.read_all(path)
                    self.assertIn(received[9:12], (b"502", b"503", b"504"))
                    if path != "/safe/x":
                        self.assertNotEqual(received[9:12], b"503")
                    self.assertLess(time.monotonic() - began_s, 2.5)


if __name__ == "__main__":
    unittest.main()
