"""Tests of a store that comes back from an older copy, in a new era."""

import asyncio
import json
import random
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.fleet_view import (
    FleetView,
    StateKind,
    StoreAvailability,
    StoreChange,
)
from carobstair.edge.follower import StoreFollower
from carobstair.edge.settings import SyncSettings
from carobstair.edge.state_store import Listing, RevisionExpired, StoreUnavailable
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.store import WATCH_MARGIN_S, PlatformStore
from edge_test_case import EdgeCase, wait_until
from gossip_nodes import running_nodes
from platform_standins import (
    HttpStandIn,
    StoreStandIn,
    make_config,
    make_upstream_entry,
)


def make_view():
    """Return the view of a router that has not received anything yet."""
    return FleetView(UpstreamDirectory(), decode_routing, decode_upstream)


def make_change(name, revision, era, **changes):
    """Return the change of an upstream, or its removal if `changes` has removed."""
    spec = None
    if not changes.pop("removed", False):
        spec = json.dumps(make_upstream_entry(9, **changes)).encode()
    return StoreChange(name, revision, spec, era)


class EraOrderTest(unittest.TestCase):
    """Guards against an order by revision alone, which a restore sets back."""

    def setUp(self):
        self.view = make_view()

    def apply(self, *changes, now_s=0.0):
        self.view.apply(StateKind.UPSTREAMS, changes, None, now_s)

    def usable(self, now_s=0.0):
        found = self.view.directory.usable("plain", now_s)
        return sorted(entry.upstream_id for entry in found)

    def test_lower_revision_of_a_newer_era_wins(self):
        self.apply(make_change("u1", 90, 1))
        self.apply(make_change("u1", 7, 2, service="other"))
        self.assertEqual(self.usable(), [])
        self.apply(make_change("u1", 91, 1))
        self.assertEqual(self.usable(), [])

    def test_removal_of_the_old_era_does_not_hide_a_restored_upstream(self):
        self.apply(make_change("u1", 90, 1), make_change("u1", 95, 1, removed=True))
        self.apply(make_change("u1", 7, 2))
        self.assertEqual(self.usable(), ["u1"])

    def test_list_of_a_new_era_replaces_everything(self):
        self.apply(make_change("u1", 90, 1), make_change("u2", 91, 1))
        listed = [make_change("u2", 5, 2)]
        self.view.apply_list(StateKind.UPSTREAMS, listed, 6, None, 0.0, 2)
        self.assertEqual(self.usable(), ["u2"])

    def test_empty_list_of_a_new_era_outdates_the_old_one(self):
        self.view.apply_list(StateKind.EVACUATIONS, [], 3, None, 0.0, 2)
        old = StoreChange("a", 50, b"{}", 1)
        # An old change may still arrive from a peer; the newer era is known.
        self.assertEqual(self.view.stamps()["evacuations"].era, 2)
        view = make_view()
        view.apply(StateKind.EVACUATIONS, [old], None, 0.0)
        changes = self.view.changes_since(StateKind.EVACUATIONS, 50, 1)
        view.apply_list(StateKind.EVACUATIONS, changes, 3, None, 0.0, 2)
        self.assertEqual(view.directory.evacuated, frozenset())

    def test_configuration_in_force_never_goes_back(self):
        def change(version, revision, era):
            spec = json.dumps(make_config(version)).encode()
            return StoreChange("main", revision, spec, era)

        for item in (change(7, 40, 1), change(5, 20, 2)):
            self.view.apply(StateKind.ROUTING, [item], None, 0.0)
            self.assertEqual(self.view.version, 7)
        self.view.apply(StateKind.ROUTING, [change(8, 22, 2)], None, 0.0)
        self.assertEqual(self.view.version, 8)

    def test_draining_upstream_stays_unused_if_the_copy_calls_it_ready(self):
        self.apply(make_change("u1", 90, 1, state="draining"), make_change("u2", 91, 1))
        self.apply(make_change("u1", 5, 2), make_change("u2", 6, 2))
        self.assertEqual(self.usable(), ["u2"])
        self.apply(make_change("u2", 7, 2, removed=True))
        self.assertEqual(self.usable(), [])

    def test_earlier_start_in_the_copy_does_not_end_the_cold_period(self):
        self.apply(make_change("u1", 10, 0, born=1))
        self.apply(make_change("u1", 20, 0, born=2, coldRemainingMs=3000))
        for era, revision in ((1, 10), (2, 10)):
            self.apply(make_change("u1", revision, era, born=1), now_s=0.5)
            found = self.view.directory.find("u1")
            self.assertEqual(found.entry.born_ms, 2)
            self.assertTrue(self.view.directory.is_cold(found.entry, 1.0))
        # The upstream writes its entry again.
        self.apply(make_change("u1", 11, 2, born=2), now_s=1.0)
        self.assertEqual(self.view.directory.find("u1").revision.era, 2)
        self.assertTrue(self.view.directory.is_cold(found.entry, 2.0))

    def test_upstream_that_restarts_with_an_earlier_clock_is_believed(self):
        self.apply(make_change("u1", 20, 0, born=2))
        self.apply(make_change("u1", 10, 1, born=1))
        self.apply(make_change("u1", 11, 1, born=1))
        self.assertEqual(self.view.directory.find("u1").entry.born_ms, 1)
        self.apply(make_change("u1", 12, 1, born=0))
        self.assertEqual(self.view.directory.find("u1").entry.born_ms, 0)

    def test_evacuation_that_the_copy_lacks_is_kept_for_a_while(self):
        self.apply(make_change("u1", 90, 1))
        evacuation = StoreChange("a", 91, b"{}", 1)
        self.view.apply(StateKind.EVACUATIONS, [evacuation], None, 0.0)
        self.view.apply_list(StateKind.EVACUATIONS, [], 6, None, 10.0, 2)
        self.assertEqual(self.usable(14.9), [])
        self.assertEqual(self.usable(15.0), ["u1"])

    def test_routers_that_the_copy_lacks_still_divide_the_limits(self):
        for number in range(3):
            change = StoreChange(f"r{number}", 50 + number, b"[]", 1)
            self.view.apply(StateKind.ROUTERS, [change], None, 0.0)
        listed = [StoreChange("r0", 4, b"[]", 2)]
        self.view.apply_list(StateKind.ROUTERS, listed, 6, None, 0.0, 2)
        self.assertEqual(set(self.view.objects(StateKind.ROUTERS)), {"r0", "r1", "r2"})

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(1, 3), st.sampled_from(("u0", "u1")), st.booleans()),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_views_converge_whatever_order_changes_arrive_in(self, steps, rng):
        revisions = {1: 50, 2: 20, 3: 10}
        history = []
        for era, name, removed in sorted(steps, key=lambda step: step[0]):
            revisions[era] += 1
            history.append(make_change(name, revisions[era], era, removed=removed))
        expected = {change.name: change for change in history}
        shuffled = list(history)
        rng.shuffle(shuffled)
        view = make_view()
        for change in shuffled:
            view.apply(StateKind.UPSTREAMS, [change], None, 0.0)
        known = {n: c.stamp for n, c in view.objects(StateKind.UPSTREAMS).items()}
        self.assertEqual(
            known, {n: c.stamp for n, c in expected.items() if c.spec is not None}
        )


class RestoredStoreTest(EdgeCase):
    """Guards against a router that ignores a store which was restored."""

    async def start_and_copy(self):
        """Start two upstreams, copy the store and write some more to it."""
        self.store.era = 1
        await self.start_upstreams("ok", "ok")
        copy = self.store.copy()
        for number in range(30):
            self.store.put("servers", f"later{number}", make_upstream_entry(1))
        await wait_until(lambda: len(self.directory.ids()) == 32)
        return copy

    async def test_changes_after_a_restore_take_effect(self):
        copy = await self.start_and_copy()
        for _ in range(3):
            self.store.restore(copy)
            version = self.view.version + 1
            self.store.put("config", "main", make_config(version))
            await wait_until(lambda v=version: self.view.version == v)
            self.assertEqual((await self.call("/safe/x", attempt_id="a"))[0], 200)
        # What the copy lacks is gone after the grace period.
        await asyncio.sleep(0.6)
        self.directory.usable("plain", time.monotonic())
        self.assertEqual(len(self.directory.ids()), 2)

    async def test_revision_that_exists_again_is_not_watched_on(self):
        # The revision known here was given out again, for another change: a watch
        # from it would miss all that was written between the copy and there.
        copy = await self.start_and_copy()
        known = self.store.revision
        self.store.restore(copy)
        self.store.put("config", "main", make_config(9))
        while self.store.revision <= known + 3:
            self.store.put("evacuations", "z", {"n": self.store.revision})
        await wait_until(lambda: self.view.version == 9)

    async def test_watches_that_go_on_waiting_end_with_the_era(self):
        copy = await self.start_and_copy()
        # Only the upstreams are watched for less than ten seconds at a time.
        self.store.restore(copy, cut=False)
        self.store.put("config", "main", make_config(9))
        self.store.events.clear()
        await wait_until(lambda: self.view.version == 9)

    async def test_removals_that_the_restore_took_back_are_taken_back(self):
        copy = await self.start_and_copy()
        self.store.delete("servers", "u0")
        await wait_until(lambda: "u0" not in self.directory.ids())
        self.store.restore(copy)
        await wait_until(lambda: "u0" in self.directory.ids())


class RestoreFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a registration that a restore has lost for good."""

    async def test_restore_is_reported_once_per_era(self):
        store = await StoreStandIn().start()
        store.era = 1
        store.put("config", "main", make_config())
        copy = store.copy()
        client = PlatformStore(f"127.0.0.1:{store.port}", lambda *args: None)
        restores = []
        follower = StoreFollower(
            client,
            make_view(),
            StoreAvailability(0.5),
            SyncSettings(
                store_address=f"127.0.0.1:{store.port}",
                watch_wait_s=0.1,
                retry_s=0.02,
                max_retry_s=0.05,
            ),
            random.Random(1),
            lambda kind, names: None,
            on_restore=lambda: restores.append(1),
        )
        task = asyncio.create_task(follower.run())
        try:
            await asyncio.sleep(0.2)
            self.assertEqual(restores, [])
            for count in (1, 2):
                store.restore(copy)
                await wait_until(lambda n=count: len(restores) == n)
                await asyncio.sleep(0.3)
                self.assertEqual(len(restores), count)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await client.close()
            await store.stop()


class LosingStore:
    """A store whose answers to watches of the configuration are lost for a while."""

    def __init__(self, lost_for_s):
        self.lost_until_s = time.monotonic() + lost_for_s
        self.changes = []

    async def list(self, kind):
        """Return no objects."""
        return Listing([], 1, 0)

    async def watch(self, kind, revision, wait_s, era=0):
        """Answer as soon as there is a change, unless the answer is lost."""
        until_s = time.monotonic() + wait_s
        while time.monotonic() < until_s:
            changes = [c for c in self.changes if c.revision > revision]
            if kind is StateKind.ROUTING and changes:
                if time.monotonic() > self.lost_until_s:
                    return Listing(changes, changes[-1].revision, 0)
                # As a connection that returns nothing further.
                await asyncio.sleep(until_s - time.monotonic() + WATCH_MARGIN_S)
                raise StoreUnavailable("no answer")
            await asyncio.sleep(0.01)
        return Listing([], revision, 0)


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a configuration that is not in force after lost answers."""

    async def test_lost_answer_to_a_watch_is_noticed_soon(self):
        store, view = LosingStore(1.0), make_view()
        follower = StoreFollower(
            store,
            view,
            StoreAvailability(2.0),
            SyncSettings(store_address="127.0.0.1:1"),
            random.Random(1),
            lambda *args: None,
            count_peers=lambda: 1,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.3)
        began_s = time.monotonic()
        spec = json.dumps(make_config(2)).encode()
        store.changes.append(StoreChange("main", 5, spec))
        await wait_until(lambda: view.version == 2, 4.0)
        self.assertGreater(time.monotonic() - began_s, 0.5)
        task.cancel()


class EraClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against responses of different eras that are mixed."""

    async def asyncSetUp(self):
        self.responses = []
        case = self

        class ScriptedStore(HttpStandIn):
            async def respond(self, request, writer):
                era, document = case.responses.pop(0)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 200 X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n%s"
                    % (era, len(body), body)
                )
                return True

        self.store = await ScriptedStore().start()
        self.client = PlatformStore(f"127.0.0.1:{self.store.port}", lambda *args: None)

    async def asyncTearDown(self):
        await self.client.close()
        await self.store.stop()

    def page(self, name, more):
        entry = {"metadata": {"name": name, "revision": 1}, "spec": {}}
        return {"entries": [entry], "hasMore": more, "currentRev": 5}

    async def test_pages_of_two_eras_are_not_one_list(self):
        self.responses = [(1, self.page("a", True)), (2, self.page("b", False))]
        with self.assertRaises(RevisionExpired):
            await self.client.list(StateKind.UPSTREAMS)

    async def test_late_response_of_an_older_era_is_dropped(self):
        self.responses = [(2, self.page("a", False)), (1, self.page("b", False))]
        listing = await self.client.list(StateKind.UPSTREAMS)
        self.assertEqual((listing.era, listing.revision), (2, 5))
        with self.assertRaises(StoreUnavailable):
            await self.client.list(StateKind.UPSTREAMS)

    async def test_watch_of_another_era_lists_again(self):
        self.responses = [(2, {"events": [], "currentRev": 9})]
        with self.assertRaises(RevisionExpired):
            await self.client.watch(StateKind.UPSTREAMS, 5, 0.1, 1)


class RestoreGossipTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routers that were cut off from the store during a restore."""

    async def test_router_without_the_store_follows_its_peer_into_the_new_era(self):
        async with running_nodes() as nodes:
            for node in nodes:
                old = [make_change("u1", 90, 1), make_change("u2", 91, 1)]
                node.view.apply(StateKind.UPSTREAMS, old, None, 0.0)
            # An object that only the router without the store has heard of.
            only = make_change("u3", 92, 1)
            nodes[1].view.apply(StateKind.UPSTREAMS, [only], None, 0.0)
            listed = [make_change("u1", 7, 2)]
            nodes[0].view.apply_list(StateKind.UPSTREAMS, listed, 8, None, 0.0, 2)
            nodes[0].gossip.add(nodes[1].address)
            await wait_until(lambda: nodes[1].directory.ids() == ["u1"])
            known = nodes[1].view.objects(StateKind.UPSTREAMS)["u1"]
            self.assertEqual(known.stamp, (2, 7))
            # The peer of the new era does not take the old one back.
            self.assertEqual(nodes[0].directory.ids(), ["u1"])


if __name__ == "__main__":
    unittest.main()
