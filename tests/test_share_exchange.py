"""Tests of the exchange of demand between routers in two levels."""

import math
import unittest

from carobstair.core.fair_admission import FairAdmission
from carobstair.core.messages import decode, encode
from carobstair.core.share_collector import (
    CollectorChoice,
    ShareCollector,
    ShareSettings,
)
from carobstair.core.share_exchange import ShareExchange
from carobstair.core.share_messages import (
    PoolDemand,
    ShareReport,
    ShareTotals,
    ZoneTotals,
)


class Fleet:
    """Routers of two zones that pass messages on at once, and tell who is heard."""

    def __init__(self, routers=8, zones=2):
        self.nodes = {}
        for number in range(routers):
            name = f"r{number}"
            zone = f"z{number % zones}"
            self.nodes[name] = ShareExchange(name, zone, FairAdmission())
        self.stopped = set()
        self.deaf = set()
        self.now_s = 0.0

    def heard(self, name):
        """Return the routers that one hears, stopped ones too, by zone."""
        zones = {}
        for other, node in self.nodes.items():
            if other != name and name not in self.deaf:
                zones.setdefault(node.zone, []).append(other)
        return zones

    def run(self, seconds):
        """Tick all routers, whose callers ask for 1,000 tokens in each tick."""
        for _ in range(round(seconds / 0.2)):
            self.now_s += 0.2
            for name, node in self.nodes.items():
                if name not in self.stopped:
                    self.tick(name, node)

    def tick(self, name, node):
        node.admission.decide("m", "team", 1000.0, 1e9, lambda: 1.0, self.now_s)
        for receivers, payload in node.tick(self.heard(name), self.now_s):
            for receiver in set(receivers) - self.stopped:
                self.deliver(name, self.nodes[receiver], payload)

    def deliver(self, sender, receiver, payload):
        handlers = {
            ShareReport: receiver.on_report,
            ZoneTotals: receiver.on_zone_totals,
            ShareTotals: receiver.on_totals,
        }
        envelope, message = decode(encode(payload, sender, 1, 0, 1))
        handlers[type(message)](envelope.sender, message, self.now_s)

    def demands(self):
        """Return the demand that each running router knows, in thousand tokens/s."""
        return [
            node.admission._demands("m", self.now_s)["team"] / 1000
            for name, node in self.nodes.items()
            if name not in self.stopped
        ]

    def collectors(self):
        """Return the routers that collect now."""
        return {n for n, node in self.nodes.items() if node._collector.reporters}


class ShareExchangeTest(unittest.TestCase):
    """Guards against demand that is missing, counted twice or known too late."""

    # Estimate of the demand at a router right after each 1,000 tokens in 0.2 s.
    EACH = 2.0 / (1.0 - math.exp(-0.2 / 0.5))

    def check_demands(self, fleet, routers):
        for demand in fleet.demands():
            self.assertAlmostEqual(demand, self.EACH * routers, delta=0.1 * demand)

    def test_all_routers_know_the_demand_of_all(self):
        for routers in (1, 2, 8, 84):
            fleet = Fleet(routers)
            fleet.run(5.0)
            with self.subTest(routers=routers):
                self.check_demands(fleet, routers)
                self.assertLessEqual(len(fleet.collectors()), 2)

    def test_surge_is_known_everywhere_within_a_second(self):
        fleet = Fleet(84)
        fleet.run(3.0)
        fleet.nodes["r5"].admission.decide(
            "m", "hot", 1e6, 1e9, lambda: 1.0, fleet.now_s
        )
        fleet.run(0.8)
        for node in fleet.nodes.values():
            self.assertIn("hot", node.admission._demands("m", fleet.now_s))

    def test_another_router_collects_if_the_collector_stops(self):
        fleet = Fleet()
        fleet.run(3.0)
        fleet.stopped = fleet.collectors()
        self.assertEqual(len(fleet.stopped), 2)
        fleet.run(5.0)
        self.check_demands(fleet, 6)
        fleet.stopped = set()
        fleet.run(8.0)
        self.check_demands(fleet, 8)

    def test_routers_that_hear_nobody_share_what_they_see(self):
        fleet = Fleet()
        fleet.deaf = set(fleet.nodes)
        fleet.run(5.0)
        self.check_demands(fleet, 1)

    def test_collectors_of_one_zone_that_disagree_count_each_router_once(self):
        fleet = Fleet(8, zones=1)
        fleet.run(3.0)
        # A router that hears nobody collects for itself, beside the other one.
        fleet.deaf = {next(n for n in fleet.nodes if n not in fleet.collectors())}
        fleet.run(5.0)
        for demand in fleet.demands():
            self.assertLessEqual(demand, 1.1 * self.EACH * 8)


class ShareCollectorTest(unittest.TestCase):
    """Guards against sums that contain the receiver or routers that have stopped."""

    def make_row(self, rate):
        return {"m": PoolDemand({"team": rate}, rate, 1, 0.5, 1.0, 0.2)}

    def test_router_is_not_told_its_own_demand(self):
        collector = ShareCollector()
        collector.note_report("r0", self.make_row(100), 0.0)
        collector.note_report("r1", self.make_row(30), 0.0)
        collector.note_zone("r9", "z1", self.make_row(7), 0.0)
        totals = collector.totals_for("r0", collector.fleet_totals())
        self.assertEqual(totals.pools["m"].demands, {"team": 37})
        self.assertEqual(totals.pools["m"].samples, 2)
        self.assertEqual(totals.reported, {"m": 0.5})

    def test_collector_that_was_replaced_is_not_counted_beside_the_new_one(self):
        collector = ShareCollector(ShareSettings(replaced_intervals=2))
        collector.note_zone("old", "z1", self.make_row(7), 0.0)
        collector.note_zone("new", "z1", self.make_row(7), 0.3)
        collector.expire(0.2, 0.3)
        self.assertEqual(set(collector.collectors), {"old", "new"})
        collector.note_zone("new", "z1", self.make_row(7), 0.5)
        collector.expire(0.2, 0.5)
        self.assertEqual(collector.collectors, ["new"])

    def test_reports_that_are_not_repeated_expire(self):
        collector = ShareCollector(ShareSettings(expiry_intervals=5))
        collector.note_report("r0", self.make_row(100), 0.0)
        collector.expire(0.2, 0.9)
        self.assertEqual(collector.reporters, ["r0"])
        collector.expire(0.2, 1.1)
        self.assertEqual(collector.zone_totals(), {})


class CollectorChoiceTest(unittest.TestCase):
    """Guards against a router that waits for a collector which has stopped."""

    def test_collector_without_answers_is_passed_over_for_a_while(self):
        choice = CollectorChoice(ShareSettings(answer_intervals=4, avoid_s=5.0))
        routers = [f"r{number}" for number in range(9)]
        first = choice.choose("z0", "own", routers, 0.0)
        choice.note_answer(first, 0.7)
        self.assertEqual(choice.choose("z0", "own", routers, 1.4), first)
        second = choice.choose("z0", "own", routers, 1.6)
        self.assertNotEqual(second, first)
        for step in range(1, 60):
            choice.note_answer(second, 1.6 + 0.1 * step)
        self.assertEqual(choice.choose("z0", "own", routers, 7.0), first)


if __name__ == "__main__":
    unittest.main()
