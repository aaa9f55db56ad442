"""Tests of service totals and virtual time."""

import random
import unittest

from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime


class ServiceTotalsTest(unittest.TestCase):
    """Guards against totals that lost, repeated or reordered messages distort."""

    def test_merge_in_any_order_gives_the_same_total(self):
        source = ServiceTotals("a", 1, FairnessSettings())
        updates = []
        for _ in range(20):
            source.charge("draft", "w", 5.0)
            updates += source.entries(0.0) * 2
        random.Random(1).shuffle(updates)
        target = ServiceTotals("b", 1, FairnessSettings())
        for update in updates:
            target.merge([update], 0.0)
        self.assertEqual(target.total("draft", "w"), 100.0)


class VirtualTimeTest(unittest.TestCase):
    """Guards against credit that idle workspaces would save up."""

    def test_newly_backlogged_workspace_starts_level(self):
        totals = ServiceTotals("a", 1, FairnessSettings())
        order = VirtualTime(totals, FairnessSettings())
        totals.charge("draft", "busy", 1000.0)
        totals.set_backlogged({("draft", "busy"), ("draft", "late")})
        order.on_backlogged("draft", "late", 0.0)
        self.assertEqual(order.value("draft", "late"), 1000.0)
