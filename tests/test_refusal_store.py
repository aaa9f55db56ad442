"""Refused prompt segments in the store: restarts of the fleet, and operators."""

import asyncio
import unittest
from unittest import mock

import msgspec

from carobstair.core.crash_evidence import CrashEvidence
from carobstair.core.directory import UpstreamDirectory
from carobstair.core.evidence_settings import EvidenceSettings
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.edge import refusal_store
from carobstair.edge.crash_guard import CrashGuard
from carobstair.edge.refusal_store import RefusalStore
from carobstair.edge.state_store import StoreUnavailable
from steady_clock import steady_clock

KIND = StateKind.REFUSED_SEGMENTS


class MemoryStore:
    """Store that keeps the objects of one kind, and may fail."""

    def __init__(self):
        self.objects = {}
        self.failures = 0

    async def put(self, kind, name, spec):
        """Write an object."""
        self._fail()
        self.objects[name] = msgspec.json.encode(spec)

    async def delete(self, kind, name):
        """Delete an object."""
        self._fail()
        del self.objects[name]

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("down")


class RouterParts:
    """The parts of a router that know of refused segments."""

    def __init__(self, store, rank=0):
        self.evidence = CrashEvidence()
        self.guard = CrashGuard(mock.Mock(), self.evidence)
        self.view = FleetView(UpstreamDirectory(), None, None)
        self.refusals = RefusalStore(self.guard, self.view, store, lambda segment: rank)
        self.guard.on_change = self.refusals.on_change
        self.store, self.revision = store, 0

    def crash_under(self, segment):
        """Learn from a peer of enough ends under a segment."""
        for number in range(EvidenceSettings().ends_to_refuse):
            upstream = f"e{number}", 1
            request_id = f"id{number}"
            self.evidence.merge_end(upstream, request_id, [segment], "r9", number)
        self.guard.publish()

    def read(self):
        """Apply what the store holds."""
        self.revision += 1
        listed = [
            StoreChange(name, self.revision, spec)
            for name, spec in self.store.objects.items()
        ]
        names = self.view.apply_list(KIND, listed, self.revision, None, 0.0)
        self.refusals.apply(names)

    def refuses(self, segment):
        """Return whether prompts with a segment are refused."""
        return self.evidence.refusals.is_refused([segment])


class RefusalStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against refusals that a restart loses, or an operator can't change."""

    def setUp(self):
        self.store = MemoryStore()
        self.router = RouterParts(self.store)

    async def asyncSetUp(self):
        self.enterContext(steady_clock())

    async def test_fleet_that_restarts_as_a_whole_knows_the_segment(self):
        self.router.crash_under("bad")
        await asyncio.sleep(0.01)
        restarted = RouterParts(self.store)
        restarted.read()
        self.assertTrue(restarted.refuses("bad"))
        # Its first trial has been made before the restart.
        reason = restarted.evidence.refusals.check(["bad"], 60.0, lambda segment: True)
        self.assertIsNotNone(reason)

    async def test_other_routers_write_only_if_the_first_has_not(self):
        store = MemoryStore()
        with mock.patch.object(refusal_store, "WRITER_INTERVAL_S", 0.05):
            second, fourth = RouterParts(store, 1), RouterParts(store, 3)
            for router in (second, fourth):
                router.crash_under("bad")
            await asyncio.sleep(0.02)
            self.assertEqual(store.objects, {})
            await asyncio.sleep(0.05)
            self.assertEqual(list(store.objects), ["bad"])
            store.objects["other"] = b"{}"
            second.read()
            second.crash_under("bad")
            await asyncio.sleep(0.1)
        self.assertEqual(list(store.objects), ["bad", "other"])

    async def test_cleared_segment_is_deleted(self):
        self.router.crash_under("bad")
        await asyncio.sleep(0.01)
        self.router.read()
        self.router.evidence.refusals.clear(["bad"], 1.0, "r9")
        self.router.guard.publish()
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.objects, {})

    async def test_write_is_repeated_while_the_store_is_down(self):
        self.store.failures = 3
        with mock.patch.object(refusal_store, "RETRY_S", 0.01):
            self.router.crash_under("bad")
            await asyncio.sleep(0.1)
        self.assertIn("bad", self.store.objects)

    async def test_restored_store_gets_the_segment_again(self):
        self.router.crash_under("bad")
        await asyncio.sleep(0.01)
        self.router.read()
        self.store.objects.clear()
        self.router.refusals.write_again()
        await asyncio.sleep(0.01)
        self.assertIn("bad", self.store.objects)

    async def test_list_of_a_restored_store_clears_nothing(self):
        self.router.crash_under("bad")
        await asyncio.sleep(0.01)
        self.router.read()
        names = self.router.view.apply_list(KIND, [], 1, None, 0.0, era=1)
        self.router.refusals.apply(names)
        self.assertTrue(self.router.refuses("bad"))

    async def test_operator_refuses_and_clears_a_segment(self):
        self.store.objects["hand"] = b"{}"
        self.router.read()
        self.assertTrue(self.router.refuses("hand"))
        self.router.evidence.refusals.clear(["hand"], 1.0, "r9")
        self.assertTrue(self.router.refuses("hand"))
        reason = self.router.evidence.refusals.check(
            ["hand"], 1e6, lambda segment: True
        )
        self.assertEqual(reason.segment, "hand")
        del self.store.objects["hand"]
        self.router.read()
        self.assertFalse(self.router.refuses("hand"))

    async def test_object_that_can_not_be_read_changes_nothing(self):
        self.store.objects["odd"] = b'{"ends": 3}'
        with mock.patch.object(refusal_store, "logger") as logger:
            self.router.read()
        self.assertFalse(self.router.refuses("odd"))
        logger.warning.assert_called_once()

    async def test_segment_that_is_no_object_name_is_not_written(self):
        self.router.crash_under("a/b")
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.objects, {})
        self.assertTrue(self.router.refuses("a/b"))


if __name__ == "__main__":
    unittest.main()
