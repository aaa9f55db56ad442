"""Tests of who tells whom, and of demand and prefixes that arrive in parts."""

import math
import random
import unittest

from carobstair.core.demand import DemandTable
from carobstair.core.exchange import Grid, row_of
from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.messages import DemandEntry, DemandUpdate
from carobstair.core.placement import CacheEvent, Candidate, Placement, PrefixIndex
from carobstair.core.queueing import WaitingRequest, WorkClass, with_valid_estimates
from carobstair.core.reserve import QuickReserve, QuickReserveSettings

KEY = ("draft", "w", "long")


class GridTest(unittest.TestCase):
    """Guards against nodes that hear of a row twice or never."""

    def test_everybody_hears_of_every_row_from_one_relayer(self):
        names = [f"n{i}" for i in range(100)]
        grids = {name: Grid.of(name, names) for name in names}
        for name in names:
            own = grids[name].own_row
            row_peers = {n for n in names if grids[n].own_row == own} - {name}
            self.assertEqual(set(grids[name].row_peers), row_peers)
            heard = [g.own_row for g in grids.values() if name in g.relay_peers]
            rows = {row_of(n, grids[name].rows) for n in names} - {own}
            self.assertEqual(sorted(heard), sorted(rows))

    def test_receivers_grow_with_the_square_root(self):
        for count in (48, 370, 1000):
            names = [f"n{i}" for i in range(count)]
            grid = Grid.of("n0", names)
            sent = len(grid.row_peers) + len(grid.relay_peers)
            self.assertLess(sent, 4.0 * math.sqrt(count))


class DemandTableTest(unittest.TestCase):
    """Guards against demand that lost, late or faulty updates leave behind."""

    def setUp(self):
        self.table = DemandTable(3.0)

    def update(self, sequence, waiting, full=False, now_s=0.0, cost=5.0, on_way=0):
        """Take in an update of one entry."""
        entry = DemandEntry(*KEY, waiting, cost, 10)
        message = DemandUpdate(sequence, 0, [entry], full)
        self.table.update("g", message, lambda key: on_way, now_s)

    def unoffered(self) -> int:
        """Return the unoffered demand of the entry."""
        return sum(demand.unoffered for demand in self.table.of(*KEY))

    def test_older_updates_change_nothing(self):
        self.update(5, 3)
        self.update(4, 9)
        self.update(4, 9, full=True)
        self.assertEqual(self.unoffered(), 9)
        self.update(6, 2, full=True)
        self.update(5, 7)
        self.assertEqual(self.unoffered(), 2)

    def test_offers_on_the_way_are_not_granted_twice(self):
        self.update(1, 3, on_way=2)
        self.assertEqual(self.unoffered(), 1)

    def test_demand_lapses_and_a_restarted_gateway_is_heard(self):
        self.update(1 << 40, 3)
        self.table.expire(3.0)
        self.assertEqual(self.table.pools(), [])
        self.update(1, 2, now_s=4.0)
        self.assertEqual(self.unoffered(), 2)

    def test_faulty_entries_are_dropped_and_counted(self):
        self.update(1, 3, cost=math.nan)
        self.assertEqual((self.unoffered(), self.table.dropped_count), (0, 1))


class PrefixIndexTest(unittest.TestCase):
    """Guards against affinity to prefixes that are not cached any more."""

    def setUp(self):
        self.index = PrefixIndex(max_entries=100)
        self.index.on_events("e1", "1", [CacheEvent(1, (1, 2, 3))])

    def test_gap_drops_what_may_have_been_evicted(self):
        self.index.on_events("e1", "1", [CacheEvent(4, (9,))])
        self.assertEqual(self.index.cached_blocks("e1", (1, 2, 3)), 0)
        self.assertEqual(self.index.cached_blocks("e1", (9,)), 1)
        self.assertEqual(self.index.gap_count, 1)

    def test_repeated_and_late_events_change_nothing(self):
        self.index.on_events("e1", "1", [CacheEvent(2, (), (3,))])
        self.index.on_events("e1", "1", [CacheEvent(1, (1, 2, 3))])
        self.assertEqual(self.index.cached_blocks("e1", (1, 2, 3)), 2)

    def test_restart_drops_all(self):
        self.index.on_events("e1", "2", [])
        self.assertEqual(self.index.cached_blocks("e1", (1,)), 0)

    def test_memory_stays_bounded(self):
        for number in range(2, 500):
            self.index.on_events("e1", "1", [CacheEvent(number, (number * 7,))])
        self.assertLessEqual(len(self.index), 100)

    def test_prefix_decides_before_load_and_load_before_zone(self):
        placement = Placement(self.index, random.Random(1))
        busy = Candidate("e1", 1, 7)
        idle = Candidate("e2", 8, 0)
        near = Candidate("e3", 1, 7, same_zone=True)
        self.assertEqual(placement.choose([busy, idle, near], (1, 2)), "e1")
        self.assertEqual(placement.choose([busy, idle, near], ()), "e2")
        self.assertEqual(placement.choose([busy, near], ()), "e3")


class HintTest(unittest.TestCase):
    """Guards against hints that crash or distort the order."""

    def test_absurd_estimates_are_replaced(self):
        for cost, kv in ((math.nan, 5), (-1.0, 5), (math.inf, -5), (3.0, 2**60)):
            request = WaitingRequest(
                "r", "draft", "w", WorkClass.LONG, cost, kv, 1, 0.0, 1.0
            )
            valid = with_valid_estimates(request)
            self.assertTrue(math.isfinite(valid.cost_tokens) and valid.cost_tokens >= 0)
            self.assertTrue(0 <= valid.kv_tokens <= 2**40)

    def test_cost_is_never_negative(self):
        self.assertEqual(engine_cost_tokens(-5, -5, -5), 0.0)
        self.assertEqual(engine_cost_tokens(0, 100, 500), 2.5)


class QuickReserveTest(unittest.TestCase):
    """Guards against slots kept free that nobody needs."""

    def reserve(self, quick_per_s: float, releases_per_s: int, end_s=60) -> int:
        """Return the reserve of the only holder of 40 slots after some time."""
        reserve = QuickReserve(QuickReserveSettings())
        for tick in range(end_s * 10):
            now_s = tick / 10
            if quick_per_s and tick % int(10 / quick_per_s) == 0:
                reserve.note_quick("draft", now_s)
                reserve.note_quick_end("draft", 0.4)
            for _ in range(releases_per_s if tick % 10 == 0 else 0):
                reserve.note_release("draft", now_s)
        return reserve.slots("draft", 40, 0, 1, float(end_s))

    def test_nothing_is_kept_without_quick_requests(self):
        self.assertEqual(self.reserve(0.0, 3), 0)

    def test_nothing_is_kept_where_slots_come_free_often(self):
        self.assertEqual(self.reserve(3.0, 20), 0)

    def test_first_seconds_do_not_show_too_few_releases(self):
        self.assertEqual(self.reserve(3.0, 10, end_s=5), 0)

    def test_some_slots_are_kept_beside_long_answers(self):
        self.assertIn(self.reserve(3.0, 3), (1, 2))
