"""Tests of the edge router between callers, upstreams and the store."""

import asyncio
import random
import time
import unittest
from unittest import mock

import aiohttp

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadBook, PlacementSettings
from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView, StateKind, StoreTrust
from carobstair.core.overload import OverloadGuard
from carobstair.core.send_limits import (
    ColdSendLimit,
    ResendLimit,
    SendLimitSettings,
)
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.edge.follower import StoreFollower
from carobstair.edge.front import Front
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.relay import Relay
from carobstair.edge.server import CallerServer, PageServer
from carobstair.edge.settings import SyncSettings
from carobstair.edge.upstream_pool import UpstreamPool
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.headers import PlatformDialect
from carobstair.platform.store import PlatformStore
from platform_world import (
    SEAL,
    StoreStandIn,
    UpstreamStandIn,
    make_config,
    make_route,
    make_script,
    make_server,
)


async def until(condition, limit_s=3.0):
    """Wait until a condition holds."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("not reached in time")
        await asyncio.sleep(0.01)


class EdgeCase(unittest.IsolatedAsyncioTestCase):
    """A router's front and relay in this process, over stand-ins on loopback."""

    async def asyncSetUp(self):
        self.store = await StoreStandIn().start()
        self.upstreams = []
        self.tasks = []
        settings = SendLimitSettings()
        self.directory = UpstreamDirectory()
        self.view = FleetView(self.directory, decode_routing, decode_upstream)
        rng = random.Random(1)
        self.dispatcher = Dispatcher(
            "r0",
            self.directory,
            LoadBook(PlacementSettings(), "a"),
            UpstreamHealth(),
            ColdSendLimit(settings, -10.0),
            ResendLimit(settings),
            rng,
            frozenset({"r0"}),
        )
        relay = Relay(self.dispatcher, UpstreamPool(), PlatformDialect())
        self.max_kept = 100
        self.overload = OverloadGuard()
        self.front = Front(
            self.view,
            relay,
            FairAdmission(),
            PlatformDialect(),
            EdgeMetrics(),
            rng,
            1000,
            lambda: self.server.connections > self.max_kept,
            self.overload,
        )
        self.server = CallerServer(self.front, "127.0.0.1", 0)
        self.client = PlatformStore(f"127.0.0.1:{self.store.port}", lambda *args: None)
        self.trust = StoreTrust(0.5)
        follower = StoreFollower(
            self.client,
            self.view,
            self.trust,
            SyncSettings(
                store_address=f"127.0.0.1:{self.store.port}",
                watch_wait_s=0.3,
                retry_s=0.02,
                longest_retry_s=0.05,
            ),
            rng,
            lambda kind, names: None,
        )
        self.tasks = [
            asyncio.create_task(self.server.serve()),
            asyncio.create_task(follower.run()),
        ]
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.client.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for standin in (self.store, *self.upstreams):
            await standin.stop()

    async def serve_shared(self, script, upstreams=2):
        """Start upstreams that take their behaviours from one script."""
        await self.serve(*[make_script(script)] * upstreams)

    async def serve(self, *scripts, config=None):
        """Start upstreams, one for each script, and put the configuration."""
        for number, script in enumerate(scripts):
            if isinstance(script, str):
                script = make_script(script)
            upstream = await UpstreamStandIn(script).start()
            self.upstreams.append(upstream)
            self.store.put("servers", f"u{number}", make_server(upstream.port))
        self.store.put("config", "main", config or make_config())
        await until(lambda: len(self.directory.ids()) >= len(scripts))
        await until(lambda: self.view.version > 0)

    async def call(self, path, method="GET", deadline_ms=1000, **headers):
        """Return status, headers and body, or the error of a broken answer."""
        fixed = {
            "Host": "api.test",
            "Carobstair-Attempt-Id": headers.pop("identity", "id1"),
            "Carobstair-Key": "key1",
            "Carobstair-Deadline-Ms": str(deadline_ms),
        }
        url = f"http://127.0.0.1:{self.server.port}{path}"
        async with self.session.request(
            method,
            url,
            headers=fixed | headers,
            data=b"x" if method == "POST" else None,
        ) as response:
            return response.status, response.headers, await response.read()

    def ran(self):
        """Return how many requests reached the upstreams."""
        return sum(len(upstream.requests) for upstream in self.upstreams)


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
        await until(lambda: not self.front.open_requests)
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertEqual(self.dispatcher.loads.own_running("u0"), 0)


class LateRouterTest(EdgeCase):
    """Guards against requests that a busy router sends on after their time."""

    async def test_request_whose_time_is_over_is_not_sent(self):
        await self.serve("ok")
        dispatcher_confirm = self.dispatcher.confirm

        def confirm(entry, pool, now_s):
            # The loop stands still between the connection and the send.
            time.sleep(0.15)
            return dispatcher_confirm(entry, pool, now_s)

        with mock.patch.object(Dispatcher, "confirm", lambda self, *a: confirm(*a)):
            status, _, _ = await self.call("/safe/x", deadline_ms=100)
        self.assertEqual(status, 503)
        self.assertEqual(self.ran(), 0)

    async def test_router_that_is_behind_refuses_streams_and_says_when(self):
        await self.serve("stream")
        self.overload.note(9.0, time.monotonic())
        with mock.patch.object(self.front._rng, "random", lambda: 0.5):
            status, headers, _ = await self.call("/stream/x", "POST")
        self.assertEqual(status, 503)
        self.assertLess(float(headers["Retry-After"]), 0.5)
        self.assertEqual(self.ran(), 0)


class ConfigurationTest(EdgeCase):
    """Guards against routes, keys and upstreams that are not in force."""

    async def test_nothing_is_served_before_a_configuration_is_known(self):
        status, headers, _ = await self.call("/safe/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)

    async def test_unknown_routes_and_keys_are_refused(self):
        await self.serve("ok")
        self.assertEqual((await self.call("/none/x"))[0], 404)
        refused = await self.call("/safe/x", **{"Carobstair-Key": "wrong"})
        self.assertEqual(refused[0], 401)
        public = await self.call("/open/x", **{"Carobstair-Key": "wrong"})
        self.assertEqual(public[0], 200)

    async def test_new_versions_and_drains_are_in_force_at_once(self):
        await self.serve("ok", "ok")
        tenants = [{"name": "team", "apiKeys": ["key2"]}]
        self.store.put("config", "main", make_config(5, tenants=tenants))
        await until(lambda: self.view.version == 5)
        self.assertEqual((await self.call("/safe/x"))[0], 401)
        port = self.upstreams[0].port
        self.store.put("servers", "u0", make_server(port, state="draining"))
        await until(lambda: len(self.directory.usable("plain", 0.0)) == 1)
        for number in range(4):
            key = {"Carobstair-Key": "key2"}
            await self.call("/safe/x", identity=f"n{number}", **key)
        self.assertEqual(len(self.upstreams[0].requests), 0)

    async def test_malformed_entries_name_no_upstream(self):
        await self.serve("ok")
        for number, bad in enumerate(
            (
                {"service": "plain"},
                make_server(9, state="odd"),
                make_server(9, coldRemainingMs="soon"),
                make_server(9, address="nowhere"),
                make_server(9, address="host:99999"),
                [],
                None,
                "text",
            )
        ):
            self.store.put("servers", f"bad{number}", bad)
        self.store.put("servers", "u9", make_server(self.upstreams[0].port))
        await until(lambda: "u9" in self.directory.ids())
        self.assertEqual(sorted(self.directory.ids()), ["u0", "u9"])

    async def test_lost_history_leads_to_a_new_list(self):
        await self.serve("ok")
        self.store.down = True
        await asyncio.sleep(0.4)
        self.store.put("config", "main", make_config(8))
        self.store.forget_history()
        self.store.down = False
        await until(lambda: self.view.version == 8)

    async def test_upstreams_that_lapsed_with_the_store_stay_for_a_while(self):
        await self.serve("ok")
        self.store.down = True
        await asyncio.sleep(0.5)
        self.store.delete("servers", "u0")
        self.assertEqual((await self.call("/safe/x"))[0], 200)
        self.store.down = False
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call("/safe/x", identity="id2"))[0], 200)
        await asyncio.sleep(0.6)
        self.assertEqual((await self.call("/safe/x", identity="id3"))[0], 503)


class FollowerTest(EdgeCase):
    """Guards against a store that is asked once for each of many changes."""

    async def test_changes_in_quick_succession_are_read_together(self):
        await self.serve("ok")
        await asyncio.sleep(0.2)
        before = self.store.calls
        for number in range(40):
            self.store.put("servers", f"new{number}", make_server(1))
            await asyncio.sleep(0.005)
        await until(lambda: len(self.directory.ids()) == 41)
        # Four kinds are watched, each anew after 0.3 s without a change.
        self.assertLess(self.store.calls - before, 12)

    async def test_store_that_is_away_is_asked_by_one_kind_at_a_time(self):
        await self.serve("ok")
        self.store.down = True
        await asyncio.sleep(0.5)
        before = self.store.calls
        await asyncio.sleep(1.0)
        # One call each 25 to 75 ms at the test's longest pause; four kinds made 80.
        self.assertLess(self.store.calls - before, 42)
        self.store.down = False
        self.store.put("config", "main", make_config(7))
        self.store.put("servers", "late", make_server(1))
        self.store.put("evacuations", "b", {})
        await until(lambda: self.view.version == 7)
        await until(lambda: "late" in self.directory.ids())
        await until(lambda: self.directory.evacuated == {"b"})


class BadInputTest(EdgeCase):
    """Guards against smuggled, malformed or oversized requests."""

    async def raw(self, data):
        """Return what the router sends back for raw bytes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(4000), 3)
        writer.close()
        return answer

    async def test_two_lengths_reach_no_upstream(self):
        await self.serve("ok")
        common = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: a\r\n"
        )
        for lengths in (
            b"Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / ",
            b"Content-Length: x\r\n\r\nabc",
        ):
            answer = await self.raw(common + lengths)
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0] + b" ")
        self.assertEqual(self.ran(), 0)

    async def test_body_over_the_limit_is_refused(self):
        await self.serve("ok")
        head = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: a\r\nContent-Length: 100001\r\n\r\n"
        )
        answer = await self.raw(head + b"x" * 100001)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.ran(), 0)

    async def test_absurd_sizes_of_prompts_disturb_nothing(self):
        await self.serve("ok")
        for counts, prefix in (
            ("-1,5", "a:1"),
            ("99999999999999999999,1", "a:1"),
            ("10,10", "a:-5,b"),
            ("x", ",,,"),
        ):
            sizes = {
                "Carobstair-Token-Counts": counts,
                "Carobstair-Prompt-Prefix": prefix,
            }
            status, _, _ = await self.call("/safe/x", **sizes)
            self.assertEqual(status, 200)
            seen = self.upstreams[0].requests[-1].headers
            self.assertEqual(seen["carobstair-token-counts"], counts)

    async def test_request_without_id_is_refused(self):
        await self.serve("ok")
        answer = await self.raw(b"GET /safe/x HTTP/1.1\r\nHost: api.test\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))


class IdleCallerTest(EdgeCase):
    """Guards against connections of callers that pile up after their last request."""

    async def until_closed(self, reader):
        """Return how long the server kept a connection."""
        began_s = asyncio.get_running_loop().time()
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        return asyncio.get_running_loop().time() - began_s

    async def test_idle_connection_is_closed_after_the_limit_in_force(self):
        await self.serve("ok")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        # The limit changes after the connection was made.
        self.server.idle_timeout_s = 0.2
        writer.write(
            b"GET /safe/x HTTP/1.1\r\nHost: api.test\r\nCarobstair-Key: key1\r\n"
            b"Carobstair-Attempt-Id: id1\r\n\r\n"
        )
        self.assertIn(b"200", await reader.readuntil(b"whole"))
        self.assertLess(await self.until_closed(reader), 1.0)
        writer.close()

    async def test_connection_without_a_request_is_closed(self):
        self.server.idle_timeout_s = 0.2
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.assertLess(await self.until_closed(reader), 1.0)
        writer.close()

    async def test_answers_close_connections_while_there_are_too_many(self):
        # A router with 4,060 of 4,100 descriptors took no connection for a second
        # at a time, and read requests after their callers had left.
        await self.serve("ok")
        self.max_kept = 3
        others = [
            await asyncio.open_connection("127.0.0.1", self.server.port)
            for _ in range(4)
        ]
        for path, expected in (("/safe/x", 200), ("/nowhere/x", 404)):
            status, headers, _ = await self.call(path)
            self.assertEqual(status, expected)
            self.assertEqual(headers.get("Connection"), "close")
        for _, writer in others:
            writer.close()
        await until(lambda: self.server.connections <= 3)
        _, headers, _ = await self.call("/safe/x")
        self.assertNotIn("Connection", headers)

    async def test_running_request_is_not_idle(self):
        self.server.idle_timeout_s = 0.05
        await self.serve("slow")
        status, _, body = await self.call("/safe/x")
        self.assertEqual((status, body), (200, b"whole"))


class PageServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a readiness page that answers 500."""

    async def test_page_is_served_with_its_status(self):
        server = PageServer(lambda: (503, b"stopping"), "127.0.0.1", 0)
        task = asyncio.create_task(server.serve())
        try:
            async with aiohttp.ClientSession() as session:
                await asyncio.sleep(0.1)
                url = f"http://127.0.0.1:{server.port}/v1/ready"
                async with session.get(url) as response:
                    self.assertEqual(response.status, 503)
                    self.assertEqual(await response.read(), b"stopping")
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries that a list of several pages loses."""

    async def test_list_reads_all_pages(self):
        store = await StoreStandIn().start()
        client = PlatformStore(f"127.0.0.1:{store.port}", lambda *args: None)
        for number in range(7):
            store.put("servers", f"u{number}", make_server(9000 + number))
        listing = await client.list(StateKind.UPSTREAMS)
        self.assertEqual(len(listing.changes), 7)
        self.assertEqual(listing.revision, store.revision)
        await client.put(StateKind.ROUTERS, "r1", {"a": 1})
        await client.put(StateKind.ROUTERS, "r1", {"a": 2})
        listing = await client.list(StateKind.ROUTERS)
        self.assertEqual([c.spec for c in listing.changes], [b'{"a": 2}'])
        await client.close()
        await store.stop()


if __name__ == "__main__":
    unittest.main()
