"""Tests of how the edge router follows the state in the platform's store."""

import asyncio
import time
import unittest
from functools import partial
from unittest import mock

from carobstair.core.fleet_view import StateKind
from carobstair.edge.settings import SyncSettings
from carobstair.platform.store import PlatformStore
from edge_test_case import EdgeCase, wait_until
from platform_standins import (
    StoreStandIn,
    make_config,
    make_upstream_entry,
)


class ConfigurationTest(EdgeCase):
    """Guards against use of routes, keys and upstreams that are not in force."""

    async def test_requests_are_refused_before_the_first_configuration(self):
        status, headers, _ = await self.call("/safe/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)

    async def test_unknown_routes_and_keys_are_refused(self):
        await self.start_upstreams("ok")
        self.assertEqual((await self.call("/none/x"))[0], 404)
        refused = await self.call("/safe/x", **{"Carobstair-Key": "wrong"})
        self.assertEqual(refused[0], 401)
        public = await self.call("/open/x", **{"Carobstair-Key": "wrong"})
        self.assertEqual(public[0], 200)

    async def test_new_versions_and_drains_take_effect_immediately(self):
        await self.start_upstreams("ok", "ok")
        tenants = [{"name": "team", "apiKeys": ["key2"]}]
        self.store.put("config", "main", make_config(5, tenants=tenants))
        await wait_until(lambda: self.view.version == 5)
        self.assertEqual((await self.call("/safe/x"))[0], 401)
        port = self.upstreams[0].port
        self.store.put("servers", "u0", make_upstream_entry(port, state="draining"))
        await wait_until(lambda: len(self.directory.usable("plain", 0.0)) == 1)
        for number in range(4):
            key = {"Carobstair-Key": "key2"}
            await self.call("/safe/x", attempt_id=f"n{number}", **key)
        self.assertEqual(len(self.upstreams[0].requests), 0)

    async def test_malformed_entries_are_ignored(self):
        await self.start_upstreams("ok")
        for number, malformed_entry in enumerate(
            (
                {"service": "plain"},
                make_upstream_entry(9, state="odd"),
                make_upstream_entry(9, coldRemainingMs="soon"),
                make_upstream_entry(9, address="nowhere"),
                make_upstream_entry(9, address="host:99999"),
                [],
                None,
                "text",
            )
        ):
            self.store.put("servers", f"bad{number}", malformed_entry)
        self.store.put("servers", "u9", make_upstream_entry(self.upstreams[0].port))
        await wait_until(lambda: "u9" in self.directory.ids())
        self.assertEqual(sorted(self.directory.ids()), ["u0", "u9"])

    async def test_compacted_history_is_replaced_by_a_new_list(self):
        await self.start_upstreams("ok")
        self.store.down = True
        await asyncio.sleep(0.4)
        self.store.put("config", "main", make_config(8))
        self.store.compact()
        self.store.down = False
        await wait_until(lambda: self.view.version == 8)

    async def test_upstreams_removed_during_an_outage_stay_for_the_grace_period(self):
        await self.start_upstreams("ok")
        self.store.down = True
        await asyncio.sleep(0.5)
        self.store.delete("servers", "u0")
        self.assertEqual((await self.call("/safe/x"))[0], 200)
        self.store.down = False
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call("/safe/x", attempt_id="id2"))[0], 200)
        await asyncio.sleep(0.6)
        self.assertEqual((await self.call("/safe/x", attempt_id="id3"))[0], 503)


class FollowerTest(EdgeCase):
    """Guards against one store call for each change, and polling during outages."""

    async def test_changes_in_quick_succession_are_read_in_batches(self):
        await self.start_upstreams("ok")
        await asyncio.sleep(0.2)
        before = self.store.calls
        for number in range(40):
            self.store.put("servers", f"new{number}", make_upstream_entry(1))
            await asyncio.sleep(0.005)
        await wait_until(lambda: len(self.directory.ids()) == 41)
        # Four kinds are watched; a watch is renewed after 0.3 s without a change.
        self.assertLess(self.store.calls - before, 12)

    async def test_unavailable_store_is_polled_for_one_kind_at_a_time(self):
        await self.start_upstreams("ok")
        self.store.down = True
        await asyncio.sleep(0.5)
        before = self.store.calls
        await asyncio.sleep(1.0)
        # One call every 25 to 75 ms at the longest retry delay of the test; polling
        # all four kinds made 80 calls.
        self.assertLess(self.store.calls - before, 42)
        self.store.down = False
        self.store.put("config", "main", make_config(7))
        self.store.put("servers", "late", make_upstream_entry(1))
        self.store.put("evacuations", "b", {})
        await wait_until(lambda: self.view.version == 7)
        await wait_until(lambda: "late" in self.directory.ids())
        await wait_until(lambda: self.directory.evacuated == {"b"})


class CutWatchTest(EdgeCase):
    """Guards against a cut watch that counts as an outage of the store.

    Entries that lapse in an outage are kept for a grace, so an upstream that left when
    the watch was cut off got requests for as long.
    """

    async def test_removal_that_follows_a_cut_is_applied_at_once(self):
        await self.start_upstreams("ok")
        for writer in list(self.store._writers):
            writer.transport.abort()
        self.store.delete("servers", "u0")
        # The grace is 0.5 s.
        await wait_until(lambda: not self.directory.find("u0"), 0.3)

    async def test_watch_that_is_cut_off_is_asked_again_without_a_list(self):
        await self.start_upstreams("ok")
        for number in range(2, 6):
            for writer in list(self.store._writers):
                writer.transport.abort()
            self.store.put("config", "main", make_config(number))
            await wait_until(lambda n=number: self.view.version == n, 0.3)
            self.assertIsNone(self.availability.grace_until_s(time.monotonic()))
            # All kinds are watched again by then.
            await asyncio.sleep(0.1)


class SilentStore(StoreStandIn):
    """A store whose answers are lost for a while; their connections stay open."""

    silent = False

    async def _read(self, kind, options):
        answer = await super()._read(kind, options)
        if self.silent:
            await asyncio.sleep(60.0)
        return answer


class SilenceTest(EdgeCase):
    """Guards against a change that is not read for the rest of a long watch.

    The answers to the watches of all routers were lost in a short silence, and only
    the watch of the upstreams, which is short, showed it.
    """

    async def asyncSetUp(self):
        settings = partial(SyncSettings, state_wait_s=30.0)
        for name, value in (("SyncSettings", settings), ("StoreStandIn", SilentStore)):
            patch = mock.patch(f"edge_test_case.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_change_in_a_silence_is_known_soon_after_it(self):
        await self.start_upstreams("ok")
        await asyncio.sleep(0.1)
        self.store.silent = True
        self.store.put("config", "main", make_config(7))
        await asyncio.sleep(0.5)
        self.store.silent = False
        # A watch of the upstreams lasts for 0.3 s, and is given up 0.8 s later.
        await wait_until(lambda: self.view.version == 7, 2.0)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries lost from lists that span several pages."""

    async def test_list_reads_all_pages(self):
        store = await StoreStandIn().start()
        client = PlatformStore(f"127.0.0.1:{store.port}", lambda *args: None)
        for number in range(7):
            store.put("servers", f"u{number}", make_upstream_entry(9000 + number))
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
