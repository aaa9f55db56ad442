"""Tests of the edge router between callers and upstreams."""

import asyncio
import time
import unittest

import aiohttp

from edge_world import EdgeCase, until
from platform_world import (
    SEAL,
    make_config,
    make_route,
    make_server,
)


class AnswerTest(EdgeCase):
    """Guards against answers that are mixed, cut or not the upstream's."""

    async def test_whole_answer_passes_with_its_seal(self):
        await self.serve("ok")
        status, headers, body = await self.call("/safe/x?q=1")
        self.assertEqual((status, body), (200, b"whole"))
        self.assertEqual(headers["Carobstair-Response-Seal"], SEAL)
        seen = self.upstreams[0].requests[0]
        self.assertEqual((seen.method, seen.target), ("GET", "/safe/x?q=1"))
        self.assertEqual(seen.headers["carobstair-tenant"], "team")
        self.assertEqual(seen.headers["carobstair-expect-instance"], "u0")
        self.assertNotIn("carobstair-key", seen.headers)
        self.assertLessEqual(int(seen.headers["carobstair-deadline-ms"]), 1000)

    async def test_callers_cannot_set_what_is_the_routers(self):
        await self.serve("ok")
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
        tenants = [v for n, v in seen.pairs if n == "carobstair-tenant"]
        self.assertEqual(tenants, ["team"])
        for name in ("carobstair-hold", "carobstair-pin-ms", "kv-from"):
            self.assertNotIn(name, seen.headers)

    async def test_answer_to_another_request_is_skipped(self):
        await self.serve("other_id")
        status, _, body = await self.call("/unsafe/x", "POST")
        self.assertEqual((status, body), (200, b"whole"))

    async def test_extra_answers_reach_nobody(self):
        for script in ("extra", "late_extra"):
            with self.subTest(script):
                await self.serve(f"{script} ok")
                for number in range(3):
                    status, _, body = await self.call(
                        "/safe/x", identity=f"{script}{number}"
                    )
                    self.assertEqual((status, body), (200, b"whole"))
                    await asyncio.sleep(0.08)

    async def test_answer_without_length_ends_with_its_connection(self):
        await self.serve("no_length")
        status, _, body = await self.call("/safe/x")
        self.assertEqual((status, body), (200, b"until the end"))

    async def test_bad_answers_to_unrepeatable_requests_promise_nothing(self):
        for script in ("truncated", "junk", "reset", "unsealed", "busy_without_word"):
            with self.subTest(script):
                await self.serve(script)
                before = self.ran()
                status, headers, _ = await self.call("/unsafe/x", "POST")
                self.assertEqual(status, 502)
                self.assertNotIn("Carobstair-Response-Seal", headers)
                self.assertEqual(self.ran() - before, 1)
                self.store.delete("servers", "u0")
                await until(lambda: not self.directory.ids())

    async def test_truncated_stream_looks_broken(self):
        await self.serve("cut_stream")
        with self.assertRaises(aiohttp.ClientError):
            await self.call("/stream/x", "POST")

    async def test_failure_of_an_upstream_passes_unchanged(self):
        await self.serve("error")
        status, headers, body = await self.call("/unsafe/x", "POST")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers["Carobstair-Response-Seal"], SEAL)


class AttemptTest(EdgeCase):
    """Guards against requests that run twice, and refusals that are untrue."""

    async def test_repeatable_request_is_sent_to_another_upstream(self):
        for script in ("error", "reset", "truncated", "full"):
            with self.subTest(script):
                await self.serve_shared(f"{script} ok")
                status, _, body = await self.call("/safe/x")
                self.assertEqual((status, body), (200, b"whole"))

    async def test_attempts_are_bounded(self):
        await self.serve("error", "error", "error")
        status, _, _ = await self.call("/safe/x")
        self.assertEqual(status, 500)
        self.assertEqual(self.ran(), 2)

    async def test_declined_request_goes_elsewhere_even_if_unrepeatable(self):
        await self.serve_shared("full ok")
        status, _, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 200)

    async def test_request_that_nobody_ran_is_refused_as_not_run(self):
        await self.serve("full", "full")
        status, headers, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)

    async def test_no_promise_once_an_upstream_may_be_at_work(self):
        await self.serve("hang")
        status, _, _ = await self.call("/unsafe/x", "POST", deadline_ms=300)
        self.assertEqual(status, 504)

    async def test_unreachable_upstream_is_passed_over(self):
        await self.serve("ok")
        self.store.put("servers", "dead", make_server(1))
        await until(lambda: len(self.directory.ids()) == 2)
        for number in range(6):
            status, _, _ = await self.call("/unsafe/x", "POST", identity=f"i{number}")
            self.assertEqual(status, 200)

    async def test_address_that_another_instance_has_taken_is_avoided(self):
        # The old entry stays listed for some heartbeats. Tried for each request, it
        # used up the resends, and requests were refused beside idle upstreams.
        await self.serve("other_instance", "ok")
        statuses = [
            (await self.call("/safe/x", identity=f"i{number}"))[0]
            for number in range(30)
        ]
        self.assertEqual(statuses, [200] * 30)
        self.assertLess(len(self.upstreams[0].requests), 4)

    async def test_nothing_reached_is_refused_as_not_run(self):
        await self.serve()
        self.store.put("servers", "dead", make_server(1))
        await until(lambda: len(self.directory.ids()) == 1)
        status, headers, _ = await self.call("/unsafe/x", "POST")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)


class StreamTest(EdgeCase):
    """Guards against streams with gaps or repeats when an upstream fails."""

    EVENTS = b"".join(b"id: %d\ndata: part\n\n" % n for n in range(1, 6))

    async def test_stream_passes_whole(self):
        await self.serve("stream")
        status, _, body = await self.call("/stream/x", "POST")
        self.assertEqual((status, body), (200, self.EVENTS))

    async def test_resumable_stream_goes_on_at_the_last_whole_event(self):
        await self.serve_shared("cut_stream stream")
        status, _, body = await self.call("/resume/x", "POST", deadline_ms=2000)
        self.assertEqual((status, body), (200, self.EVENTS))
        resumed = [
            r.headers["last-event-id"]
            for upstream in self.upstreams
            for r in upstream.requests
            if "last-event-id" in r.headers
        ]
        self.assertEqual(resumed, ["2"])

    async def test_caller_that_resumes_is_passed_on(self):
        await self.serve("stream")
        _, _, body = await self.call("/resume/x", "POST", **{"Last-Event-Id": "3"})
        self.assertTrue(body.startswith(b"id: 4"))


class TimeTest(EdgeCase):
    """Guards against answers after the route's time, and work for nobody."""

    async def test_route_timeout_is_answered_at_once(self):
        route = make_route("/slow/", timeoutMs=300)
        await self.serve("hang", config=make_config(routes=[route]))
        began_s = time.monotonic()
        status, _, _ = await self.call("/slow/x", deadline_ms=5000)
        self.assertEqual(status, 504)
        self.assertLess(time.monotonic() - began_s, 0.5)

    async def test_caller_that_leaves_frees_the_upstream(self):
        await self.serve("hang")
        call = asyncio.create_task(self.call("/unsafe/x", "POST", deadline_ms=9000))
        await until(lambda: self.ran() == 1)
        call.cancel()
        began_s = time.monotonic()
        await until(lambda: not self.app.open_requests)
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertEqual(self.dispatcher.loads.own_running("u0"), 0)


if __name__ == "__main__":
    unittest.main()
