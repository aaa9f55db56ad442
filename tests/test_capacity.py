"""Tests of capacity nodes as a fleet, on virtual time with fixed seeds."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "bench"))

from capacity_sim import Fleet, FleetPlan, closed_loop, poisson  # noqa: E402
from carobstair.core.allocator import AllocatorSettings  # noqa: E402
from carobstair.core.fairness import (  # noqa: E402
    GapTerms,
    exchange_delay_s,
    gap_bound_tokens,
)

FIRST_TOKEN_TARGET_S = 0.64
IDLE_TARGET = 0.01
WARM_UP_S = 10.0


def bound_of(fleet: Fleet, longest: int, exchange_s: float = 1.0) -> float:
    """Return the bound on the gap between the first watched pair."""
    plan = fleet.plan
    interval_s = plan.base_interval_ms + plan.interval_ms_per_request * plan.slots
    rate = plan.engines * plan.slots / (interval_s / 1000.0)
    relay_s = 4.0 * exchange_s if fleet.nodes["n0"].exchange.grid.rows > 1 else 0.0
    in_flight = max(fleet.measured.most_in_flight[w] for w in fleet.watched[0])
    return gap_bound_tokens(
        GapTerms(
            rate,
            exchange_delay_s(exchange_s, 1.5 * plan.one_way_s, relay_s),
            in_flight,
            longest + 10.0,
            AllocatorSettings().quick_ahead_tokens,
            min(plan.weights.get(w, 1.0) for w in fleet.watched[0]),
        )
    )


def two_drafters(plan: FleetPlan, clients: int = 60, **unequal) -> Fleet:
    """Return a fleet with one workspace on one router and another on all."""
    fleet = Fleet(plan)
    fleet.watched = [("one", "all")]
    closed_loop(fleet, "one", clients, (150, 400), ["n0"], **unequal)
    closed_loop(fleet, "all", clients, (150, 400), list(fleet.nodes))
    fleet.run(WARM_UP_S)
    fleet.forget_measures()
    return fleet


class FairnessTest(unittest.TestCase):
    """Guards against a gap in service that grows beyond the bound."""

    def check(self, fleet: Fleet, longest: int, end_s: float = 100.0) -> None:
        """Run a fleet and compare the gap with the bound."""
        found = fleet.run(end_s)
        self.assertGreater(found.served["one"], 0)
        self.assertLess(found.gap_tokens("one", "all"), bound_of(fleet, longest))

    def test_one_router_against_all(self):
        self.check(two_drafters(FleetPlan(weights={"one": 1.0, "all": 1.0})), 400)

    def test_weights_from_tickets(self):
        fleet = two_drafters(FleetPlan(weights={"one": 3.0, "all": 1.0}))
        self.check(fleet, 400)
        served = fleet.measured.served
        self.assertAlmostEqual(served["one"] / served["all"], 3.0, delta=0.3)

    def test_lost_messages(self):
        plan = FleetPlan(weights={"one": 1.0, "all": 1.0}, loss=0.1)
        self.check(two_drafters(plan), 400)

    def test_rows_of_a_large_fleet(self):
        weights = {"one": 1.0, "all": 1.0}
        fleet = two_drafters(FleetPlan(24, 12, weights=weights), 150)
        self.assertGreater(fleet.nodes["n0"].exchange.grid.rows, 1)
        self.check(fleet, 400, 60.0)

    def test_hints_far_too_small_gain_nothing(self):
        fleet = two_drafters(FleetPlan(weights={"one": 1.0, "all": 1.0}), hint_tokens=1)
        self.check(fleet, 400)

    def test_hints_far_too_large_lose_nothing_for_good(self):
        fleet = two_drafters(
            FleetPlan(weights={"one": 1.0, "all": 1.0}, max_kv_tokens=10**7),
            hint_tokens=20_000,
        )
        self.check(fleet, 20_000)

    def test_restarted_router_learns_what_was_served_before(self):
        fleet = two_drafters(FleetPlan(weights={"one": 1.0, "all": 1.0}))
        fleet.run(150.0)
        fleet.restart_node("n0", 2)
        fleet.run(155.0)
        for workspace in ("one", "all"):
            known = [n.totals.total("draft", workspace) for n in fleet.nodes.values()]
            unknown = bound_of(fleet, 400)
            self.assertLess(max(known) - min(known), unknown)
            self.assertGreater(min(known), 2.0 * unknown)
        # A lift as large as the history would hold up one of them for long.
        lifts = fleet.nodes["n0"].virtual_time.lifts()
        self.assertLess(max((entry.lift for entry in lifts), default=0.0), unknown)


class StarvationTest(unittest.TestCase):
    """Guards against work that its neighbours keep out."""

    def test_one_client_among_floods_of_many_workspaces(self):
        names = [f"flood{i}" for i in range(20)]
        fleet = Fleet(FleetPlan(weights=dict.fromkeys([*names, "small"], 1.0)))
        for name in names:
            closed_loop(fleet, name, 50, (300, 900), ["n0"])
        closed_loop(fleet, "small", 1, (300, 300), ["n2"])
        found = fleet.run(200.0)
        # Its share of 24 slots among 21 is more than one slot, and it uses one.
        whole_s = 300 * 0.028
        self.assertGreater(found.answered["small"], 200.0 / whole_s / 2)

    def test_request_larger_than_what_small_ones_leave(self):
        plan = FleetPlan(weights={"many": 1.0, "large": 1.0}, max_kv_tokens=3_000)
        fleet = Fleet(plan)
        closed_loop(fleet, "many", 60, (200, 250), list(fleet.nodes))
        fleet.run(WARM_UP_S)
        fleet.ask("n0", "large", 900, input_tokens=100)
        found = fleet.run(80.0)
        self.assertEqual(found.answered["large"], 1)


class UtilisationTest(unittest.TestCase):
    """Guards against slots that idle while work waits."""

    def test_small_fleet(self):
        fleet = two_drafters(FleetPlan(weights={"one": 1.0, "all": 1.0}))
        found = fleet.run(70.0)
        self.assertLess(found.idle_waiting_slot_s / found.slot_s, IDLE_TARGET)

    def test_all_work_at_one_router_of_a_large_fleet(self):
        fleet = Fleet(FleetPlan(24, 6, weights={"one": 1.0}))
        closed_loop(fleet, "one", 120, (150, 400), ["n7"])
        fleet.run(WARM_UP_S)
        fleet.forget_measures()
        found = fleet.run(60.0)
        self.assertLess(found.idle_waiting_slot_s / found.slot_s, IDLE_TARGET)

    def test_upstream_that_the_estimator_sends_nothing_leaves_the_cold_limit(self):
        plan = FleetPlan(3, 3, cold_limit=2, weights={"one": 1.0})
        fleet = Fleet(plan)
        closed_loop(fleet, "one", 60, (150, 400), ["n1"])
        fleet.run(30.0)
        limits = [fleet.nodes["n0"].limit_of(name) for name in fleet.engines]
        self.assertEqual(limits, [plan.slots] * plan.engines)


class QuickTest(unittest.TestCase):
    """Guards against one-line questions that wait behind long drafts."""

    def late(self, asking: str) -> float:
        """Return p95 of the time to the first token of quick questions."""
        plan = FleetPlan(6, 5, weights={"one": 1.0, "all": 1.0, "clerks": 1.0})
        fleet = Fleet(plan)
        closed_loop(fleet, "one", 60, (300, 700), ["n0"])
        closed_loop(fleet, "all", 60, (300, 700), list(fleet.nodes))
        poisson(fleet, asking, 3.0, 12, list(fleet.nodes))
        fleet.run(30.0)
        fleet.forget_measures()
        times = fleet.run(130.0).quick_first_token_s(asking)
        return times[int(len(times) * 0.95)]

    def test_questions_of_another_workspace(self):
        self.assertLess(self.late("clerks"), FIRST_TOKEN_TARGET_S)

    def test_questions_of_the_drafting_workspace(self):
        self.assertLess(self.late("all"), FIRST_TOKEN_TARGET_S)


class UpstreamFaultTest(unittest.TestCase):
    """Guards against work on upstreams that can't bear it."""

    def setUp(self):
        plan = FleetPlan(3, 3, cold_limit=2, weights={"one": 1.0})
        self.fleet = Fleet(plan)
        closed_loop(self.fleet, "one", 60, (50, 100), ["n1"])
        self.fleet.run(30.0)
        self.engine = self.fleet.engines["e0"]

    def test_restarted_engine_gets_its_cold_limit_and_is_ramped(self):
        self.assertGreater(self.engine.peak, 2)
        self.engine.incarnation, self.engine.loading = 2, True
        self.fleet.run(36.0)
        self.engine.peak = 0
        self.fleet.run(40.0)
        self.assertLessEqual(self.engine.peak, 2)
        self.engine.loading = False
        self.fleet.run(60.0)
        self.assertEqual(self.engine.peak, 8)

    def test_leaving_engine_gets_nothing_new(self):
        self.engine.leaving = True
        self.fleet.run(36.0)
        self.assertEqual(self.engine.running, 0)

    def test_streams_that_no_grant_explains_count_as_occupied(self):
        self.engine.unexplained = 6
        self.fleet.run(45.0)
        self.engine.peak = 0
        self.fleet.run(50.0)
        self.assertLessEqual(self.engine.peak, 2)
        self.engine.unexplained = 0
        self.fleet.run(60.0)
        self.assertEqual(self.engine.peak, 8)
