"""Tests of upstreams and stores that send bytes without end."""

import asyncio
import time
import unittest
from pathlib import Path

from carobstair.core.fleet_view import StateKind
from carobstair.edge.state_store import StoreUnavailable
from carobstair.platform.store import PlatformStore
from edge_test_case import EdgeCase
from platform_standins import HttpStandIn, UpstreamStandIn, make_config
from router_process_case import RouterProcessCase

# Socket buffers of both sides hold some megabytes that the router never reads.
MAX_ACCEPTED_BYTES = 12 * 1024 * 1024


class EndlessResponseTest(EdgeCase):
    """Guards against responses without end that fill a router's memory.

    Before the limits, header lines took 474 MB of memory in five seconds; a router
    has 200 MB.
    """

    async def check(self, script, path, expected_status, method="POST"):
        await self.start_upstreams(script)
        start_s = time.monotonic()
        status, _, _ = await self.call(path, method, deadline_ms=2000)
        self.assertEqual(status, expected_status, script)
        self.assertLess(time.monotonic() - start_s, 1.0, script)
        # A connection that is not closed is drained without end.
        await asyncio.sleep(0.2)
        accepted = self.upstreams[-1].endless_bytes
        await asyncio.sleep(0.2)
        self.assertEqual(self.upstreams[-1].endless_bytes, accepted, script)
        self.assertLess(accepted, MAX_ACCEPTED_BYTES, script)

    async def test_header_lines(self):
        await self.check("endless_headers", "/unsafe/x", 502)

    async def test_one_header_line(self):
        await self.check("endless_header_line", "/unsafe/x", 502)

    async def test_informational_responses(self):
        await self.check("endless_informational", "/unsafe/x", 502)

    async def test_trailers(self):
        await self.check("endless_trailers", "/unsafe/x", 502)

    async def test_chunk_extension(self):
        await self.check("endless_chunk_extension", "/unsafe/x", 502)

    async def test_error_body(self):
        await self.check("endless_error", "/unsafe/x", 502)

    async def test_refusal_counts_although_its_body_does_not_end(self):
        await self.check("endless_refusal", "/unsafe/x", 503)

    async def test_response_to_another_request(self):
        await self.check("endless_stale_response", "/unsafe/x", 502)

    async def test_event(self):
        await self.start_upstreams("endless_event")
        start_s = time.monotonic()
        status, _, _ = await self.call("/resume/x", "POST", deadline_ms=2000)
        self.assertEqual(status, 502)
        self.assertLess(time.monotonic() - start_s, 1.0)

    async def test_refusal_whose_body_trickles_does_not_hold_the_caller(self):
        await self.start_upstreams_sharing_script("slow_refusal ok")
        start_s = time.monotonic()
        status, _, _ = await self.call("/unsafe/x", "POST", deadline_ms=2000)
        self.assertEqual(status, 200)
        self.assertLess(time.monotonic() - start_s, 0.6)

    async def test_trailers_are_not_relayed_as_headers(self):
        await self.start_upstreams("trailers")
        status, headers, body = await self.call("/safe/x")
        self.assertEqual((status, body), (200, b"whole"))
        self.assertNotIn("X-Late", headers)


class EndlessBodyTest(EdgeCase):
    """Guards against successful answers without end that a slow caller fills up."""

    async def check(self, path):
        await self.start_upstreams("endless_body")
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.transport.pause_reading()
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            "Carobstair-Attempt-Id: a\r\n\r\n".encode()
        )
        await asyncio.sleep(0.3)
        accepted = self.upstreams[0].endless_bytes
        await asyncio.sleep(0.3)
        self.assertEqual(self.upstreams[0].endless_bytes, accepted)
        self.assertLess(accepted, MAX_ACCEPTED_BYTES)
        writer.transport.abort()

    async def test_body_waits_for_a_caller_that_does_not_read(self):
        await self.check("/safe/x")

    async def test_stream_waits_for_a_caller_that_does_not_read(self):
        await self.check("/stream/x")


class FaultyEngine(UpstreamStandIn):
    """An engine that answers as its request's path says: `/safe/BEHAVIOUR`."""

    def __init__(self):
        super().__init__(iter(()))

    async def respond(self, request, writer):
        """Respond with the behaviour that the path names."""
        self._script = iter([request.target.rpartition("/")[2]])
        return await super().respond(request, writer)


class EndlessProcessTest(RouterProcessCase):
    """Guards against a faulty engine that ends the process of other callers."""

    MAX_GROWTH_KB = 60 * 1024
    # Time within which most sound callers are answered; a machine may stall once.
    SOON_S = 1.0

    def make_upstream(self):
        """Return an engine whose answers have no end for some paths."""
        return FaultyEngine()

    def make_config(self):
        """Return a configuration with time for the engine, which this process runs."""
        config = make_config()
        for route in config["routes"]:
            if route["kind"] == "unsafe":
                route["timeoutMs"] = 10_000
        return config

    def memory_kb(self):
        """Return the largest resident size that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0])

    async def call(self, path, number):
        headers = {
            "Host": "api.test",
            "Carobstair-Attempt-Id": f"id{number}",
            "Carobstair-Key": "key1",
        }
        url = f"http://127.0.0.1:{self.front}{path}"
        async with self.kept.get(url, headers=headers) as response:
            async for _ in response.content.iter_any():
                # A caller that reads more slowly than the engine writes.
                await asyncio.sleep(0.01)
            return response.status

    async def test_other_callers_are_served_within_the_memory(self):
        self.assertEqual(await self.call("/safe/ok", 0), 200)
        before_kb = self.memory_kb()
        behaviours = (
            "endless_headers",
            "endless_header_line",
            "endless_informational",
            "endless_trailers",
            "endless_chunk_extension",
            "endless_error",
            "endless_body",
        )
        calls = [
            asyncio.create_task(self.call(f"/{kind}/{behaviour}", f"{n}{kind}"))
            for n, behaviour in enumerate(4 * behaviours)
            for kind in ("safe", "stream")
        ]
        statuses, durations_s = [], []
        for number in range(30):
            began_s = time.monotonic()
            statuses.append(await self.call("/unsafe/ok", f"sound{number}"))
            durations_s.append(time.monotonic() - began_s)
            await asyncio.sleep(0.1)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.memory_kb() - before_kb, self.MAX_GROWTH_KB)
        self.assertEqual(statuses, [200] * 30)
        soon = sum(duration_s < self.SOON_S for duration_s in durations_s)
        self.assertGreaterEqual(soon, 27, durations_s)


class EndlessCallerTest(EdgeCase):
    """Guards against requests without end that fill a router's memory."""

    async def send_endlessly(self, begin, unit):
        """Send bytes until the router closes the connection; return their number."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        sent = 0
        try:
            writer.write(begin)
            async with asyncio.timeout(3.0):
                while True:
                    writer.write(unit * (65536 // len(unit)))
                    sent += 65536
                    await writer.drain()
                    # Lets the router of this process read.
                    await asyncio.sleep(0)
        except OSError:
            return sent
        finally:
            writer.close()

    async def test_trailers_of_a_chunked_body(self):
        await self.start_upstreams("ok")
        begin = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\n"
        )
        sent = await self.send_endlessly(begin, b"x-a: b\r\n")
        self.assertLess(sent, MAX_ACCEPTED_BYTES)
        self.assertEqual(self.upstream_request_count(), 0)

    async def test_trailers_do_not_reach_the_upstream_as_headers(self):
        await self.start_upstreams("ok")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"POST /unsafe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\nCarobstair-Attempt-Id: b\r\n\r\n"
        )
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.read(1000), 3))
        pairs = self.upstreams[0].requests[0].header_pairs
        ids = [value for name, value in pairs if name == "carobstair-attempt-id"]
        self.assertEqual(ids, ["a"])
        writer.close()

    async def test_header_line(self):
        sent = await self.send_endlessly(b"GET / HTTP/1.1\r\nx-a: ", b"b")
        self.assertLess(sent, MAX_ACCEPTED_BYTES)

    async def test_body_that_trickles_ends_with_the_route(self):
        # A caller that sent a byte now and then held its request open for good.
        await self.start_upstreams("ok")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"POST /unsafe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: a\r\nContent-Length: 1000\r\n\r\n"
        )
        answer = asyncio.create_task(reader.read(1000))
        start_s = time.monotonic()
        while not answer.done() and time.monotonic() - start_s < 2.5:
            writer.write(b"b")
            await asyncio.sleep(0.05)
        self.assertTrue(answer.done())
        self.assertIn(b" 408 ", answer.result())
        self.assertLess(time.monotonic() - start_s, 1.5)
        writer.close()


class EndlessStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a store response without end that fills a router's memory."""

    async def test_list_without_end_is_a_failed_call(self):
        class EndlessStore(HttpStandIn):
            sent_bytes = 0

            async def respond(self, request, writer):
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    writer.write(b"x" * 65536)
                    self.sent_bytes += 65536
                    await writer.drain()

        store = await EndlessStore().start()
        client = PlatformStore(f"127.0.0.1:{store.port}", lambda *args: None)
        with self.assertRaises(StoreUnavailable):
            await client.list(StateKind.UPSTREAMS)
        self.assertLess(store.sent_bytes, 3 * MAX_ACCEPTED_BYTES)
        await client.close()
        await store.stop()


if __name__ == "__main__":
    unittest.main()
