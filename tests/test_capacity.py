"""Tests of a fleet of capacity nodes, in virtual time with fixed seeds."""

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


def gap_bound_of(fleet: Fleet, longest: int, exchange_s: float = 1.0) -> float:
    """Return the bound on the service gap of the first measured pair."""
    plan = fleet.plan
    interval_s = plan.base_interval_ms + plan.interval_ms_per_request * plan.slots
    rate = plan.engines * plan.slots / (interval_s / 1000.0)
    relay_s = 4.0 * exchange_s if fleet.nodes["n0"].exchange.grid.rows > 1 else 0.0
    in_flight = max(fleet.measured.most_in_flight[w] for w in fleet.measured_pairs[0])
    return gap_bound_tokens(
        GapTerms(
            rate,
            exchange_delay_s(exchange_s, 1.5 * plan.one_way_s, relay_s),
            in_flight,
            longest + 10.0,
            AllocatorSettings().quick_ahead_tokens,
            min(plan.weights.get(w, 1.0) for w in fleet.measured_pairs[0]),
        )
    )


def fleet_with_two_workspaces(plan: FleetPlan, clients: int = 60, **unequal) -> Fleet:
    """Return a fleet with a workspace on one router and another on all routers."""
    fleet = Fleet(plan)
    fleet.measured_pairs = [("one", "all")]
    closed_loop(fleet, "one", clients, (150, 400), ["n0"], **unequal)
    closed_loop(fleet, "all", clients, (150, 400), list(fleet.nodes))
    fleet.run(WARM_UP_S)
    fleet.reset_measurements()
    return fleet


class FairnessTest(unittest.TestCase):
    """Guards against a service gap between workspaces that exceeds its bound."""

    def check_gap(self, fleet: Fleet, longest: int, end_s: float = 100.0) -> None:
        """Run a fleet and check the service gap against its bound."""
        found = fleet.run(end_s)
        self.assertGreater(found.served["one"], 0)
        self.assertLess(found.gap_tokens("one", "all"), gap_bound_of(fleet, longest))

    def test_one_router_against_all(self):
        self.check_gap(
            fleet_with_two_workspaces(FleetPlan(weights={"one": 1.0, "all": 1.0})), 400
        )

    def test_weights_from_tickets(self):
        fleet = fleet_with_two_workspaces(FleetPlan(weights={"one": 3.0, "all": 1.0}))
        self.check_gap(fleet, 400)
        served = fleet.measured.served
        self.assertAlmostEqual(served["one"] / served["all"], 3.0, delta=0.3)

    def test_lost_messages(self):
        plan = FleetPlan(weights={"one": 1.0, "all": 1.0}, loss=0.1)
        self.check_gap(fleet_with_two_workspaces(plan), 400)

    def test_exchange_grid_of_a_large_fleet(self):
        weights = {"one": 1.0, "all": 1.0}
        fleet = fleet_with_two_workspaces(FleetPlan(24, 12, weights=weights), 150)
        self.assertGreater(fleet.nodes["n0"].exchange.grid.rows, 1)
        self.check_gap(fleet, 400, 60.0)

    def test_far_too_small_hints_give_no_advantage(self):
        fleet = fleet_with_two_workspaces(
            FleetPlan(weights={"one": 1.0, "all": 1.0}), hint_tokens=1
        )
        self.check_gap(fleet, 400)

    def test_far_too_large_hints_cause_no_lasting_loss(self):
        fleet = fleet_with_two_workspaces(
            FleetPlan(weights={"one": 1.0, "all": 1.0}, max_kv_tokens=10**7),
            hint_tokens=20_000,
        )
        self.check_gap(fleet, 20_000)

    def test_restarted_router_learns_what_was_served_before(self):
        fleet = fleet_with_two_workspaces(FleetPlan(weights={"one": 1.0, "all": 1.0}))
        fleet.run(150.0)
        fleet.restart_node("n0", 2)
        fleet.run(155.0)
        for workspace in ("one", "all"):
            known = [n.totals.total("draft", workspace) for n in fleet.nodes.values()]
            bound = gap_bound_of(fleet, 400)
            self.assertLess(max(known) - min(known), bound)
            self.assertGreater(min(known), 2.0 * bound)
        # A lift as large as the past service would delay one workspace for long.
        lifts = fleet.nodes["n0"].virtual_time.lifts()
        self.assertLess(max((entry.lift for entry in lifts), default=0.0), bound)


class StarvationTest(unittest.TestCase):
    """Guards against starvation by the load of others."""

    def test_one_client_beside_many_overloading_workspaces(self):
        names = [f"flood{i}" for i in range(20)]
        fleet = Fleet(FleetPlan(weights=dict.fromkeys([*names, "small"], 1.0)))
        for name in names:
            closed_loop(fleet, name, 50, (300, 900), ["n0"])
        closed_loop(fleet, "small", 1, (300, 300), ["n2"])
        found = fleet.run(200.0)
        # Its share, 24 slots among 21 workspaces, is more than the one slot it uses.
        request_s = 300 * 0.028
        self.assertGreater(found.answered["small"], 200.0 / request_s / 2)

    def test_request_larger_than_the_kv_tokens_that_small_ones_free(self):
        plan = FleetPlan(weights={"many": 1.0, "large": 1.0}, max_kv_tokens=3_000)
        fleet = Fleet(plan)
        closed_loop(fleet, "many", 60, (200, 250), list(fleet.nodes))
        fleet.run(WARM_UP_S)
        fleet.send_request("n0", "large", 900, input_tokens=100)
        found = fleet.run(80.0)
        self.assertEqual(found.answered["large"], 1)


class UtilisationTest(unittest.TestCase):
    """Guards against slots that stay idle while requests wait."""

    def test_small_fleet(self):
        fleet = fleet_with_two_workspaces(FleetPlan(weights={"one": 1.0, "all": 1.0}))
        found = fleet.run(70.0)
        self.assertLess(found.idle_waiting_slot_s / found.slot_s, IDLE_TARGET)

    def test_all_work_at_one_router_of_a_large_fleet(self):
        fleet = Fleet(FleetPlan(24, 6, weights={"one": 1.0}))
        closed_loop(fleet, "one", 120, (150, 400), ["n7"])
        fleet.run(WARM_UP_S)
        fleet.reset_measurements()
        found = fleet.run(60.0)
        self.assertLess(found.idle_waiting_slot_s / found.slot_s, IDLE_TARGET)

    def test_upstream_without_requests_from_its_estimator_leaves_the_cold_limit(self):
        plan = FleetPlan(3, 3, cold_limit=2, weights={"one": 1.0})
        fleet = Fleet(plan)
        closed_loop(fleet, "one", 60, (150, 400), ["n1"])
        fleet.run(30.0)
        limits = [fleet.nodes["n0"].limit_of(name) for name in fleet.engines]
        self.assertEqual(limits, [plan.slots] * plan.engines)


class QuickTest(unittest.TestCase):
    """Guards against quick requests that wait behind long ones."""

    def quick_first_token_p95_s(self, workspace: str) -> float:
        """Return the p95 time to first token of the quick requests of a workspace."""
        plan = FleetPlan(6, 5, weights={"one": 1.0, "all": 1.0, "clerks": 1.0})
        fleet = Fleet(plan)
        closed_loop(fleet, "one", 60, (300, 700), ["n0"])
        closed_loop(fleet, "all", 60, (300, 700), list(fleet.nodes))
        poisson(fleet, workspace, 3.0, 12, list(fleet.nodes))
        fleet.run(30.0)
        fleet.reset_measurements()
        times = fleet.run(130.0).quick_first_token_s(workspace)
        return times[int(len(times) * 0.95)]

    def test_questions_of_another_workspace(self):
        self.assertLess(self.quick_first_token_p95_s("clerks"), FIRST_TOKEN_TARGET_S)

    def test_questions_of_the_drafting_workspace(self):
        self.assertLess(self.quick_first_token_p95_s("all"), FIRST_TOKEN_TARGET_S)


class UpstreamFaultTest(unittest.TestCase):
    """Guards against requests to cold, leaving or occupied upstreams."""

    def setUp(self):
        plan = FleetPlan(3, 3, cold_limit=2, weights={"one": 1.0})
        self.fleet = Fleet(plan)
        closed_loop(self.fleet, "one", 60, (50, 100), ["n1"])
        self.fleet.run(30.0)
        self.engine = self.fleet.engines["e0"]

    def test_restarted_engine_starts_at_its_cold_limit_and_is_ramped_up(self):
        self.assertGreater(self.engine.peak_running, 2)
        self.engine.incarnation, self.engine.loading = 2, True
        self.fleet.run(36.0)
        self.engine.peak_running = 0
        self.fleet.run(40.0)
        self.assertLessEqual(self.engine.peak_running, 2)
        self.engine.loading = False
        self.fleet.run(60.0)
        self.assertEqual(self.engine.peak_running, 8)

    def test_leaving_engine_gets_nothing_new(self):
        self.engine.leaving = True
        self.fleet.run(36.0)
        self.assertEqual(self.engine.running, 0)

    def test_streams_without_a_grant_count_as_occupied(self):
        self.engine.unexplained = 6
        self.fleet.run(45.0)
        self.engine.peak_running = 0
        self.fleet.run(50.0)
        self.assertLessEqual(self.engine.peak_running, 2)
        self.engine.unexplained = 0
        self.fleet.run(60.0)
        self.assertEqual(self.engine.peak_running, 8)
