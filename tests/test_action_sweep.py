"""Tests of the sweep that deletes expired action records."""

import time
import unittest

from returns.result import Success

from carobstair.core.action_records import (
    RETENTION_S,
    ActionRecord,
    RecordState,
    encode_record,
    record_name,
)
from carobstair.core.action_sweep import ActionSweep, SweepSettings, is_sweeper
from carobstair.core.state import FleetState, Workspace
from carobstair.net.sweep import SweepDriver
from carobstair.platform import ApiObject


class RecordStoreStub:
    """Stub of the store that notes the most records returned by one list call."""

    def __init__(self, records):
        self.records = records
        self.largest_listing = 0

    async def list(self, prefix):
        found = [
            ApiObject(name, 7, value)
            for name, value in self.records.items()
            if name.startswith(prefix)
        ]
        self.largest_listing = max(self.largest_listing, len(found))
        return Success((1, found))

    async def delete(self, name, version):
        assert version == 7
        del self.records[name]
        return Success(None)


def make_record(age_s):
    """Return an encoded action record of the given age."""
    created_s = time.time() - age_s
    return encode_record(ActionRecord("a", "b", "r", 1, RecordState.DONE, created_s))


class ActionSweepTest(unittest.IsolatedAsyncioTestCase):
    """Guards against records kept forever, deleted early or listed all at once."""

    async def test_only_expired_records_are_deleted_and_listings_stay_bounded(self):
        ages = {n: RETENTION_S + 60 if n % 2 else 60 for n in range(600)}
        store = RecordStoreStub(
            {record_name(f"w{n % 2}", f"k{n}"): make_record(a) for n, a in ages.items()}
        )
        state = FleetState(1, {n: Workspace(n, 1.0) for n in ("w0", "w1")})
        settings = SweepSettings(delete_every_s=0.0, max_listed=100)
        driver = SweepDriver("r", store, set, lambda: state, settings)
        deleted = sum([await driver.sweep_once() for _ in range(40)])
        self.assertEqual(deleted, 300)
        self.assertEqual(len(store.records), 300)
        store.largest_listing = 0
        for _ in range(40):
            await driver.sweep_once()
        self.assertLessEqual(store.largest_listing, 100)

    def test_all_prefixes_are_visited(self):
        sweep = ActionSweep(SweepSettings(max_listed=1))
        sweep.adjust_prefix_length(sweep.next_prefix(["w"]), 100)
        found = {sweep.next_prefix(["w"]) for _ in range(16)}
        self.assertEqual(found, {f"actions/w/{d}" for d in "0123456789abcdef"})

    def test_one_of_the_connected_routers_sweeps(self):
        names = {f"r{n}" for n in range(9)}
        self.assertEqual(sum(is_sweeper(n, names - {n}) for n in names), 1)


if __name__ == "__main__":
    unittest.main()
