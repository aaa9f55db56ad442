"""Tests of how the edge router forwards requests and relays responses."""

import asyncio
import time
import unittest

import aiohttp

from edge_test_case import EdgeCase, wait_until
from platform_standins import (
    SEAL,
    make_config,
    make_route,
    make_upstream_entry,
)


class AnswerTest(EdgeCase):
    """Guards against responses that are mixed up, truncated or not the upstream's."""

    async def test_complete_response_is_relayed_with_its_seal(self):
        await self.start_upstreams("ok")
        status, headers, body = await self.call("/safe/x?q=1")
        self.assertEqual((status, body), (200, b"whole"))
        self.assertEqual(headers["Carobstair-Response-Seal"], SEAL)
        seen = self.upstreams[0].requests[0]
        self.assertEqual((seen.method, seen.target), ("GET", "/safe/x?q=1"))
        self.assertEqual(seen.headers["carobstair-tenant"], "team")
        self.assertEqual(seen.headers["carobstair-expect-instance"], "u0")
        self.assertNotIn("carobstair-key", seen.headers)
        self.assertLessEqual(int(seen.headers["carobstair-deadline-ms"]), 1000)

    async def test_caller_cannot_set_headers_reserved_for_routers(self):
        await self.start_upstreams("ok")
        await self.call(
            "/safe/x",
            **{
                "Carobstair-Tenant": "other",
                "Carobstair-Hold": "h",
                "Carobstair-Pin-Ms": "9",
                "Kv-From": "x",
            },
        )
        seen = self.upstreams[0].requests[0]
        tenants = [v for n, v in seen.header_pairs if n == "carobstair-tenant"]
        self.assertEqual(tenants, ["team"])
        for name in ("carobstair-hold", "carobstair-pin-ms", "kv-from"):
            self.assertNotIn(name, seen.headers)

    async def test_response_to_another_request_is_skipped(self):
        await self.start_upstreams("mismatched_id")
        status, _, body = await self.call("/unsafe/x", "POST")
        self.assertEqual((status, body), (200, b"whole"))

    async def test_unsolicited_responses_are_discarded(self):
        for script in ("extra", "late_extra"):
            with self.subTest(script):
                await self.start_upstreams(f"{script} ok")
                for number in range(3):
                    status, _, body = await self.call(
                        "/safe/x", attempt_id=f"{script}{number}"
                    )
                    self.assertEqual((status, body), (200, b"whole"))
                    await asyncio.sleep(0.08)

    async def test_response_without_length_ends_with_its_connection(self):
        await self.start_upstreams("no_length")
        status, _, body = await self.call("/safe/x")
        self.assertEqual((status, body), (200, b"until the end"))

    async def test_bad_responses_to_unrepeatable_requests_give_502_without_retry(self):
        for script in (
            "truncated",
            "malformed",
            "reset",
            "unsealed",
            "busy_without_marker",
        ):
            with self.subTest(script):
                await self.start_upstreams(script)
                before = self.upstream_request_count()
                status, headers, _ = await self.call("/unsafe/x", "POST")
                self.assertEqual(status, 502)
                self.assertNotIn("Carobstair-Response-Seal", headers)
                self.assertEqual(self.upstream_request_count() - before, 1)
                self.store.delete("servers", "u0")
                await wait_until(lambda: not self.directory.ids())

    async def test_truncated_stream_is_a_broken_response(self):
        await self.start_upstreams("truncated_stream")
        with self.assertRaises(aiohttp.ClientError):
            await self.call("/stream/x", "POST")

    async def test_error_response_of_an_upstream_is_relayed_unchanged(self):
        await self.start_upstreams("error")
        status, headers, body = await self.call("/unsafe/x", "POST")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers["Carobstair-Response-Seal"], SEAL)


class AttemptTest(EdgeCase):
    """Guards against requests that run twice, and false "not run" refusals."""

    async def test_repeatable_request_is_sent_to_another_upstream(self):
        for script in ("error", "reset", "truncated", "full"):
            with self.subTest(script):
                await self.start_upstreams_sharing_script(f"{script} ok")
                status, _, body = await self.call("/safe/x")
                self.assertEqual((status, body), (200, b"whole"))

    async def test_attempts_are_bounded(self):
        await self.start_upstreams("error", "error", "error")
        status, _, _ = await self.call("/safe/x")
        self.assertEqual(status, 500)
        self.assertEqual(self.upstream_request_count(), 2)

    async def test_declined_request_is_sent_elsewhere_even_if_unrepeatable(self):
        await self.start_upstreams_sharing_script("full ok")
        status, _, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 200)

    async def test_request_that_no_upstream_ran_is_refused_as_not_run(self):
        await self.start_upstreams("full", "full")
        status, headers, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)

    async def test_timeout_after_the_send_is_not_refused_as_not_run(self):
        await self.start_upstreams("hang")
        status, _, _ = await self.call("/unsafe/x", "POST", deadline_ms=300)
        self.assertEqual(status, 504)

    async def test_unreachable_upstream_is_skipped(self):
        await self.start_upstreams("ok")
        self.store.put("servers", "dead", make_upstream_entry(1))
        await wait_until(lambda: len(self.directory.ids()) == 2)
        for number in range(6):
            status, _, _ = await self.call("/unsafe/x", "POST", attempt_id=f"i{number}")
            self.assertEqual(status, 200)

    async def test_address_that_another_instance_has_taken_is_avoided(self):
        # The old entry stays listed for some heartbeats. When each request tried it,
        # the retry budget ran out and requests were refused although upstreams
        # were idle.
        await self.start_upstreams("other_instance", "ok")
        statuses = [
            (await self.call("/safe/x", attempt_id=f"i{number}"))[0]
            for number in range(30)
        ]
        self.assertEqual(statuses, [200] * 30)
        self.assertLess(len(self.upstreams[0].requests), 4)

    async def test_request_that_reached_no_upstream_is_refused_as_not_run(self):
        await self.start_upstreams()
        self.store.put("servers", "dead", make_upstream_entry(1))
        await wait_until(lambda: len(self.directory.ids()) == 1)
        status, headers, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)


class StreamTest(EdgeCase):
    """Guards against gaps or repeated events in streams when an upstream fails."""

    EVENTS = b"".join(b"id: %d\ndata: part\n\n" % n for n in range(1, 6))

    async def test_stream_is_relayed_completely(self):
        await self.start_upstreams("stream")
        status, _, body = await self.call("/stream/x", "POST")
        self.assertEqual((status, body), (200, self.EVENTS))

    async def test_resumable_stream_continues_after_the_last_complete_event(self):
        await self.start_upstreams_sharing_script("truncated_stream stream")
        status, _, body = await self.call("/resume/x", "POST", deadline_ms=2000)
        self.assertEqual((status, body), (200, self.EVENTS))
        resumed = [
            r.headers["last-event-id"]
            for upstream in self.upstreams
            for r in upstream.requests
            if "last-event-id" in r.headers
        ]
        self.assertEqual(resumed, ["2"])

    async def test_slow_stream_is_not_cut(self):
        for path in ("/stream/x", "/resume/x"):
            with self.subTest(path):
                await self.start_upstreams("slow_stream")
                status, _, body = await self.call(path, "POST", deadline_ms=2000)
                self.assertEqual((status, body), (200, self.EVENTS))

    async def test_stream_that_only_trickles_ends_with_the_deadline(self):
        for path in ("/stream/x", "/resume/x"):
            with self.subTest(path):
                await self.start_upstreams("trickling_stream")
                start_s = time.monotonic()
                with self.assertRaises(aiohttp.ClientError):
                    await self.call(path, "POST", deadline_ms=800)
                self.assertLess(time.monotonic() - start_s, 1.3)

    async def test_last_event_id_of_a_caller_is_forwarded(self):
        await self.start_upstreams("stream")
        _, _, body = await self.call("/resume/x", "POST", **{"Last-Event-Id": "3"})
        self.assertTrue(body.startswith(b"id: 4"))


class DeadlineTest(EdgeCase):
    """Guards against responses after the route's timeout and work for lost callers."""

    async def test_route_timeout_is_answered_at_once(self):
        route = make_route("/slow/", timeoutMs=300)
        await self.start_upstreams("hang", config=make_config(routes=[route]))
        start_s = time.monotonic()
        status, _, _ = await self.call("/slow/x", deadline_ms=5000)
        self.assertEqual(status, 504)
        self.assertLess(time.monotonic() - start_s, 0.5)

    async def test_disconnected_caller_frees_the_upstream(self):
        await self.start_upstreams("hang")
        call = asyncio.create_task(self.call("/unsafe/x", "POST", deadline_ms=9000))
        await wait_until(lambda: self.upstream_request_count() == 1)
        call.cancel()
        start_s = time.monotonic()
        await wait_until(lambda: not self.app.open_requests)
        self.assertLess(time.monotonic() - start_s, 0.5)
        self.assertEqual(self.dispatcher.loads.own_running("u0"), 0)


if __name__ == "__main__":
    unittest.main()
