"""Tests of the shares that workspaces get over a whole fleet of routers."""

import unittest

from carobstair.core.share_collector import ranked_collectors
from carobstair.scenario.share_load import ShareLoadPlan, Surge, play_surges

SMALL = tuple(Surge(f"small{number}", 20_000.0) for number in range(20))
# Surges of 7 to 8 s whose callers reach one router, two or all of them.
HOT = (
    Surge("one", 1.8e6, 1, 2.0, 9.0),
    Surge("two", 0.9e6, 2, 3.0, 10.0),
    Surge("all", 1.0e6, 0, 1.0, 8.0),
    Surge("late-one", 1.0e6, 1, 12.0, 20.0),
    Surge("late-two", 1.0e6, 2, 11.0, 19.0),
    Surge("late-all", 1.2e6, 0, 13.0, 21.0),
)
LEAST_PART = 0.75


class FleetShareTest(unittest.TestCase):
    """Guards against shares that depend on the routers that callers reach.

    A workspace whose callers reached one of 84 routers got a third of what one
    spread over all of them got.
    """

    def check_shares(self, routers):
        for seed in (1, 2):
            plan = ShareLoadPlan(SMALL + HOT, routers, seed=seed)
            report = play_surges(plan)
            with self.subTest(routers=routers, seed=seed):
                self.assertGreaterEqual(report.worst_part(), LEAST_PART)
                for surge in SMALL:
                    self.assertEqual(report.refused_part(surge.workspace), 0.0)

    def test_callers_at_one_router_get_their_share_in_a_fleet_of_8(self):
        self.check_shares(8)

    def test_callers_at_one_router_get_their_share_in_a_fleet_of_84(self):
        self.check_shares(84)

    def test_callers_at_one_router_get_their_share_in_a_fleet_of_195(self):
        self.check_shares(195)


class FleetFaultTest(unittest.TestCase):
    """Guards against shares that need all routers to hear each other."""

    def check_plan(self, **changes):
        report = play_surges(ShareLoadPlan(SMALL + HOT, 84, **changes))
        self.assertGreaterEqual(report.worst_part(), LEAST_PART)
        for surge in SMALL:
            self.assertEqual(report.refused_part(surge.workspace), 0.0)

    def test_stopped_routers_do_not_hide_the_demand_of_their_zone(self):
        # The collectors of all zones stop in turn, one during each surge.
        names = [[f"r{n}" for n in range(zone, 84, 3)] for zone in range(3)]
        collectors = [
            int(ranked_collectors(f"z{zone}", names[zone])[0][1:]) for zone in range(3)
        ]
        stops = [(4.0, 8.0), (6.0, 9.0), (15.0, 17.0)]
        stopped = [
            (*span, number) for span, number in zip(stops, collectors, strict=True)
        ]
        self.check_plan(stopped=tuple(stopped))

    def test_zone_that_is_cut_off_shares_what_it_sees(self):
        self.check_plan(cut_s=(5.0, 16.0))

    def test_routers_that_restart_one_after_the_other_keep_shares_even(self):
        stopped = [(2.0 + 0.2 * n, 3.5 + 0.2 * n, n) for n in range(84)]
        self.check_plan(stopped=tuple(stopped))


class FleetThroughputTest(unittest.TestCase):
    """Guards against engines that idle, or are overrun, while requests are refused."""

    def check_throughput(self, routers):
        plan = ShareLoadPlan(SMALL + HOT, routers)
        report = play_surges(plan)
        for span in ((4, 8), (14, 19)):
            begun = report.throughput(*span) / plan.engine_tokens_per_s
            self.assertGreaterEqual(begun, 0.9)
            self.assertLessEqual(begun, 1.05)

    def test_all_that_engines_can_begin_is_admitted_by_8_routers(self):
        self.check_throughput(8)

    def test_all_that_engines_can_begin_is_admitted_by_84_routers(self):
        self.check_throughput(84)

    def test_all_that_engines_can_begin_is_admitted_by_195_routers(self):
        self.check_throughput(195)


if __name__ == "__main__":
    unittest.main()
