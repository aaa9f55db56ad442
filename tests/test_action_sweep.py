"""Tests of the sweep of action records."""

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
from carobstair.platform import Stored


class ListedStore:
    """Store with records, that counts what one list returns."""

    def __init__(self, records):
        self.records = records
        self.largest = 0

    async def list(self, prefix):
        found = [
            Stored(name, 7, value)
            for name, value in self.records.items()
            if name.startswith(prefix)
        ]
        self.largest = max(self.largest, len(found))
        return Success((1, found))

    async def delete(self, name, version):
        assert version == 7
        del self.records[name]
        return Success(None)


def record(age_s):
    """Return an encoded record of an age."""
    created_s = time.time() - age_s
    return encode_record(ActionRecord("a", "b", "r", 1, RecordState.DONE, created_s))


class ActionSweepTest(unittest.IsolatedAsyncioTestCase):
    """Guards against records kept for ever, deleted early, or listed all at once."""

    async def test_only_old_records_go_and_lists_stay_bounded(self):
        ages = {n: RETENTION_S + 60 if n % 2 else 60 for n in range(600)}
        store = ListedStore(
            {record_name(f"w{n % 2}", f"k{n}"): record(a) for n, a in ages.items()}
        )
        state = FleetState(1, {n: Workspace(n, 1.0) for n in ("w0", "w1")})
        settings = SweepSettings(delete_every_s=0.0, max_listed=100)
        driver = SweepDriver("r", store, set, lambda: state, settings)
        deleted = sum([await driver.sweep_once() for _ in range(40)])
        self.assertEqual(deleted, 300)
        self.assertEqual(len(store.records), 300)
        store.largest = 0
        for _ in range(40):
            await driver.sweep_once()
        self.assertLessEqual(store.largest, 100)

    def test_all_parts_are_visited(self):
        sweep = ActionSweep(SweepSettings(max_listed=1))
        sweep.adjust_prefix_length(sweep.next_prefix(["w"]), 100)
        found = {sweep.next_prefix(["w"]) for _ in range(16)}
        self.assertEqual(found, {f"actions/w/{d}" for d in "0123456789abcdef"})

    def test_one_router_of_those_that_see_each_other_sweeps(self):
        names = {f"r{n}" for n in range(9)}
        self.assertEqual(sum(is_sweeper(n, names - {n}) for n in names), 1)


if __name__ == "__main__":
    unittest.main()
