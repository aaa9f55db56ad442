"""Tests of what upstreams say of themselves: leaving, and pauses."""

import asyncio
import time
import unittest

from carobstair.core.directory import DirectorySettings, UpstreamDirectory
from carobstair.platform.headers import MAX_PAUSE_S, PlatformDialect
from edge_test_case import EdgeCase, wait_until
from gossip_nodes import running_nodes
from platform_standins import make_config, make_route, make_upstream_entry
from test_directory import make_entry


class SignalHeaderTest(unittest.TestCase):
    """Guards against malformed headers that stop or miss the use of an upstream."""

    def read(self, status, **headers):
        pairs = [(n.replace("_", "-").encode(), v) for n, v in headers.items()]
        return PlatformDialect().read_response(status, pairs)

    def test_leaving(self):
        for status in (200, 421, 500, 503):
            self.assertTrue(self.read(status, server_leaving=b"1").leaving)
        for value in (b"0", b"", b"yes"):
            self.assertFalse(self.read(200, server_leaving=value).leaving)

    def test_pause_in_seconds(self):
        for value, pause_s in (
            (b"2", 2.0),
            (b" 0.25 ", 0.25),
            (b"1e9", MAX_PAUSE_S),
            (b"-1", None),
            (b"0", None),
            (b"nan", None),
            (b"inf", None),
            (b"soon", None),
            (b"", None),
        ):
            with self.subTest(value):
                self.assertEqual(self.read(503, retry_after=value).pause_s, pause_s)

    def test_pause_until_a_date(self):
        past = self.read(503, retry_after=b"Wed, 21 Oct 2015 07:28:00 GMT")
        self.assertIsNone(past.pause_s)
        future = self.read(503, retry_after=b"Wed, 21 Oct 2099 07:28:00 GMT")
        self.assertEqual(future.pause_s, MAX_PAUSE_S)

    def test_only_status_503_asks_for_a_pause(self):
        self.assertIsNone(self.read(429, retry_after=b"2").pause_s)


class DirectorySignalTest(unittest.TestCase):
    """Guards against sends to an incarnation that leaves or pauses."""

    def setUp(self):
        self.directory = UpstreamDirectory(DirectorySettings(leaving_use_s=1.0))
        self.entries = [make_entry(f"u{n}") for n in (1, 2)]
        for entry in self.entries:
            self.directory.put(entry, 1, 0.0)

    def usable(self, now_s):
        found = self.directory.usable("model", now_s)
        return sorted(entry.upstream_id for entry in found)

    def test_leaving_upstream_is_unused_while_there_are_others(self):
        self.directory.note_leaving(self.entries[0], 5.0)
        self.assertEqual(self.usable(5.0), ["u2"])

    def test_leaving_upstream_without_others_is_used_for_a_limited_time(self):
        for entry in self.entries:
            self.directory.note_leaving(entry, 5.0)
        self.assertEqual(self.usable(5.9), ["u1", "u2"])
        self.assertTrue(self.directory.is_usable(self.entries[0], 5.9))
        self.assertEqual(self.usable(6.0), [])
        self.assertFalse(self.directory.is_usable(self.entries[0], 6.0))

    def test_later_responses_do_not_extend_the_time(self):
        for now_s in (5.0, 5.9):
            for entry in self.entries:
                self.directory.note_leaving(entry, now_s)
        self.assertEqual(self.usable(6.0), [])

    def test_new_incarnation_starts_clean(self):
        self.directory.note_leaving(self.entries[0], 5.0)
        self.directory.note_pause(self.entries[0], 99.0)
        self.directory.put(make_entry("u1", born_ms=2), 2, 6.0)
        self.assertEqual(self.usable(6.0), ["u1", "u2"])

    def test_new_entry_of_the_same_incarnation_changes_nothing(self):
        self.directory.note_leaving(self.entries[0], 5.0)
        self.directory.note_pause(self.entries[1], 9.0)
        for entry in self.entries:
            self.directory.put(entry, 2, 5.1)
        self.directory.discard_ended(5.2)
        self.assertFalse(self.directory.is_usable(self.entries[1], 8.9))
        self.assertEqual(self.directory.leaving(), [("u1", 1)])

    def test_paused_upstream_is_unused_until_the_pause_ends(self):
        self.directory.note_pause(self.entries[0], 7.0)
        self.assertEqual(self.usable(6.9), ["u2"])
        self.assertFalse(self.directory.is_usable(self.entries[0], 6.9))
        self.assertIsNone(self.directory.paused_until_s("model", 6.9))
        self.directory.discard_ended(7.0)
        self.assertEqual(self.usable(7.0), ["u1", "u2"])

    def test_first_end_of_the_pauses_is_known_if_all_upstreams_pause(self):
        self.directory.note_pause(self.entries[0], 7.0)
        self.directory.note_pause(self.entries[1], 6.0)
        # A shorter pause in a later response does not end the first one early.
        self.directory.note_pause(self.entries[1], 5.5)
        self.assertEqual(self.directory.paused_until_s("model", 5.0), 6.0)


class LeavingUpstreamTest(EdgeCase):
    """Guards against requests to an upstream that has said that it is leaving."""

    async def test_other_upstreams_are_used_from_then_on(self):
        await self.start_upstreams("ok_leaving", "ok")
        for number in range(20):
            status, _, _ = await self.call("/safe/x", attempt_id=f"i{number}")
            self.assertEqual(status, 200)
        self.assertLessEqual(len(self.upstreams[0].requests), 1)

    async def test_upstream_that_is_alone_is_used_half_of_the_drain_time(self):
        await self.start_upstreams("ok_leaving")
        self.assertEqual((await self.call("/safe/x"))[0], 200)
        self.assertEqual((await self.call("/safe/x", attempt_id="i2"))[0], 200)
        await asyncio.sleep(1.05)
        status, headers, _ = await self.call("/safe/x", attempt_id="i3")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(len(self.upstreams[0].requests), 2)

    async def test_peers_learn_it_from_digests(self):
        async with running_nodes() as nodes:
            for node in nodes:
                node.directory.put(make_entry("u1"), 1, 0.0)
            nodes[0].gossip.add(nodes[1].address)
            nodes[0].directory.note_leaving(make_entry("u1"), time.monotonic())
            await wait_until(lambda: nodes[1].directory.leaving() == [("u1", 1)])


class PausedUpstreamTest(EdgeCase):
    """Guards against requests to an upstream that wants none for a time."""

    async def test_paused_upstream_gets_no_request_until_the_pause_ends(self):
        await self.start_upstreams("paused ok", "ok")
        self.upstreams[0].retry_after = "30"
        for number in range(20):
            status, _, _ = await self.call("/unsafe/x", "POST", attempt_id=f"i{number}")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.upstreams[0].requests), 1)

    async def test_upstream_is_used_again_after_its_pause(self):
        await self.start_upstreams("paused ok", "ok")
        self.upstreams[0].retry_after = "0.5"
        for number in range(10):
            await self.call("/unsafe/x", "POST", attempt_id=f"i{number}")
        await asyncio.sleep(0.5)
        for number in range(20):
            await self.call("/unsafe/x", "POST", attempt_id=f"j{number}")
        self.assertGreater(len(self.upstreams[0].requests), 1)

    async def test_requests_in_flight_while_the_pause_begins_are_the_only_ones(self):
        await self.start_upstreams("paused")
        self.upstreams[0].retry_after = "2"
        calls = [
            self.call("/safe/x", attempt_id=f"i{number}", deadline_ms=900)
            for number in range(10)
        ]
        await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        before = self.upstream_request_count()
        for number in range(10):
            await self.call("/safe/x", attempt_id=f"j{number}", deadline_ms=900)
        self.assertEqual(self.upstream_request_count(), before)

    async def test_callers_are_refused_at_once_with_the_time_of_return(self):
        # A request may wait 0.8 s for an upstream on this route.
        route = make_route("/unsafe/", kind="unsafe", targetLatencyMs=2000)
        config = make_config(routes=[make_route("/safe/"), route])
        await self.start_upstreams("paused", "paused", config=config)
        self.upstreams[0].retry_after = "4"
        self.upstreams[1].retry_after = "3"
        await self.call("/safe/x")
        await self.call("/safe/x", attempt_id="i2")
        waits_s = []
        for number in range(8):
            start_s = time.monotonic()
            status, headers, _ = await self.call(
                "/unsafe/x", "POST", attempt_id=f"{number}"
            )
            self.assertEqual(status, 503)
            self.assertLess(time.monotonic() - start_s, 0.4)
            waits_s.append(float(headers["Retry-After"]))
        self.assertGreater(min(waits_s), 2.5)
        self.assertLess(max(waits_s), 4.6)
        # They do not all return at the moment at which the pause ends.
        self.assertGreater(max(waits_s) - min(waits_s), 0.2)

    async def test_pause_applies_to_this_incarnation_only(self):
        await self.start_upstreams("paused ok")
        self.upstreams[0].retry_after = "60"
        self.assertEqual((await self.call("/safe/x"))[0], 503)
        entry = make_upstream_entry(self.upstreams[0].port, born=2)
        self.store.put("servers", "u0", entry)
        await wait_until(lambda: self.directory.find("u0").entry.born_ms == 2)
        self.assertEqual((await self.call("/safe/x", attempt_id="i2"))[0], 200)


class LateCopyTest(EdgeCase):
    """Guards against a second copy of a response on a connection in use again.

    The next caller would get a response that isn't its own.
    """

    async def check(self, script, path, method, statuses):
        await self.start_upstreams(script)
        for number in range(4):
            status, _, body = await self.call(path, method, attempt_id=f"i{number}")
            self.assertIn(status, statuses)
            self.assertNotIn(b"not yours", body)
        self.assertGreater(self.upstream_request_count(), 3)

    async def test_copy_with_the_id_of_the_earlier_request_is_skipped(self):
        await self.check("ok_after_late_copy", "/unsafe/x", "POST", {200})

    async def test_copy_without_an_id_is_not_relayed(self):
        await self.check("ok_after_unnamed_copy", "/unsafe/x", "POST", {200, 502})

    async def test_response_to_a_head_request_must_name_it(self):
        await self.check("ok_after_unnamed_copy", "/safe/x", "HEAD", {200, 502})


if __name__ == "__main__":
    unittest.main()
