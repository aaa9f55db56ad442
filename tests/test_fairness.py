"""Tests of service totals and virtual time."""

import math
import random
import unittest

from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime
from carobstair.core.messages import PoolTotals, TotalsRow, TotalsUpdate


def updates_of(source: ServiceTotals, amounts: list[float]) -> list[TotalsUpdate]:
    """Return the update that a source sends after charging each amount."""
    updates = []
    for number, amount in enumerate(amounts):
        source.charge("draft", "w", amount)
        rows = source.own_rows([("draft", "w")])
        updates.append(TotalsUpdate(source.incarnation, number, rows))
    return updates


class ServiceTotalsTest(unittest.TestCase):
    """Guards against totals distorted by message order, restarts or bad values."""

    def setUp(self):
        self.target = ServiceTotals("b", 1, FairnessSettings())

    def test_merge_in_any_order_gives_the_same_total(self):
        source = ServiceTotals("a", 1, FairnessSettings())
        updates = updates_of(source, [5.0] * 20) * 2
        random.Random(1).shuffle(updates)
        for update in updates:
            self.target.merge("a", update, 0.0)
        self.assertEqual(self.target.total("draft", "w"), 100.0)

    def test_restarted_gateway_keeps_service_and_drops_reservations(self):
        old = ServiceTotals("a", 1, FairnessSettings())
        old.reserve("draft", "w", 900.0)
        old.set_waiting(("draft", "w"), True, 0.0)
        late = updates_of(old, [70.0])[0]
        self.target.merge("a", late, 0.0)
        new = updates_of(ServiceTotals("a", 2, FairnessSettings()), [30.0])[0]
        self.target.merge("a", new, 0.1)
        self.target.merge("a", late, 0.2)
        self.assertEqual(self.target.used("draft", "w"), 100.0)
        self.assertFalse(self.target.is_backlogged(("draft", "w"), 0.2))

    def test_memory_does_not_grow_with_restarts(self):
        for incarnation in range(1, 200):
            source = ServiceTotals("a", incarnation, FairnessSettings())
            self.target.merge("a", updates_of(source, [1.0])[0], 0.0)
        self.assertEqual(self.target.total("draft", "w"), 199.0)
        self.assertLessEqual(self.target.entry_count, 3)

    def test_invalid_amounts_are_dropped_and_counted(self):
        for value in (math.nan, math.inf, -1.0):
            rows = [TotalsRow("w", value, 0.0, True), TotalsRow("w", 0.0, value, True)]
            update = TotalsUpdate(1, 1, [PoolTotals("draft", rows)])
            self.target.merge("a", update, 0.0)
        self.assertEqual(self.target.used("draft", "w"), 0.0)
        self.assertEqual(self.target.dropped_count, 6)


class VirtualTimeTest(unittest.TestCase):
    """Guards against unjustified credit or debt of a workspace."""

    def setUp(self):
        self.totals = ServiceTotals("a", 1, FairnessSettings())
        self.virtual_time = VirtualTime(self.totals, FairnessSettings())

    def start_waiting(self, *workspaces: str) -> None:
        """Mark workspaces as backlogged, one after the other."""
        for workspace in workspaces:
            self.virtual_time.on_backlogged("draft", workspace, 0.0)
            self.totals.set_waiting(("draft", workspace), True, 0.0)

    def test_cap_allows_what_accrues_within_the_exchange_delay(self):
        self.start_waiting("leader", "behind")
        for second in range(30):
            self.totals.charge("draft", "leader", 10_000.0)
            self.totals.charge("draft", "behind", 10_000.0)
            self.virtual_time.cap_catch_up("draft", float(second))
        # For one more exchange delay, only one of the two is served.
        for second in range(30, 35):
            self.totals.charge("draft", "leader", 20_000.0)
            self.virtual_time.cap_catch_up("draft", float(second))
        self.assertEqual(self.virtual_time.lifts(), [])

    def test_newly_backlogged_workspace_starts_at_the_current_level(self):
        self.totals.charge("draft", "busy", 1000.0)
        self.start_waiting("busy", "late")
        self.assertEqual(self.virtual_time.value("draft", "late"), 1000.0)

    def test_workspace_backlogged_at_another_gateway_keeps_its_credit(self):
        other = ServiceTotals("b", 1, FairnessSettings())
        other.set_waiting(("draft", "owed"), True, 0.0)
        rows = other.own_rows([("draft", "owed")])
        self.totals.merge("b", TotalsUpdate(1, 1, rows), 0.0)
        self.start_waiting("busy")
        self.totals.charge("draft", "busy", 500.0)
        self.start_waiting("owed")
        self.assertEqual(self.virtual_time.value("draft", "owed"), 0.0)

    def test_new_workspace_gets_no_credit_over_one_served_before(self):
        self.totals.charge("draft", "ran", 1000.0)
        self.start_waiting("late")
        self.assertEqual(self.virtual_time.value("draft", "late"), 1000.0)

    def test_large_reservation_of_one_workspace_lifts_no_other(self):
        self.start_waiting("modest", "greedy")
        self.totals.reserve("draft", "greedy", 200_000.0)
        self.virtual_time.cap_catch_up("draft", 10.0)
        self.assertEqual(self.virtual_time.lifts(), [])

    def test_process_without_history_makes_no_lift(self):
        self.virtual_time.may_lift = False
        self.totals.charge("draft", "busy", 90_000.0)
        self.start_waiting("busy", "late")
        self.virtual_time.cap_catch_up("draft", 10.0)
        self.assertEqual(self.virtual_time.lifts(), [])

    def test_returning_workspace_does_not_starve_the_others(self):
        self.start_waiting("behind", "leading")
        self.totals.charge("draft", "leading", 90_000.0)
        self.virtual_time.cap_catch_up("draft", 10.0)
        cap = FairnessSettings().catch_up_cap_tokens
        self.assertEqual(self.virtual_time.value("draft", "behind"), 90_000.0 - cap)

    def test_workspace_served_immediately_sets_no_starting_level(self):
        self.start_waiting("busy")
        self.totals.charge("draft", "busy", 1000.0)
        self.totals.set_waiting(("draft", "moment"), True, 9.0)
        self.virtual_time.on_backlogged("draft", "late", 10.0)
        self.assertEqual(self.virtual_time.value("draft", "late"), 1000.0)
