"""Tests of permits for limited upstreams on whole fleets, played on virtual time."""

import unittest

from carobstair.scenario.permit_load import (
    PermitLoadPlan,
    RouterFault,
    play_permits,
)

RATE_PER_S = 3.0
WINDOW_S = 4.0
# From here on all routers know the limits.
STEADY_S = 3.0
# What the upstream takes in a window, and what the users' rule tolerates.
GOAL = RATE_PER_S * WINDOW_S + 5
TOLERATED = 1.5 * RATE_PER_S * WINDOW_S + 5


class SteadyFleetTest(unittest.TestCase):
    """Guards against limits that a fleet exceeds in sum, or leaves unused."""

    def check(self, **changes):
        report = play_permits(PermitLoadPlan(rate_per_s=RATE_PER_S, **changes))
        self.assertLessEqual(report.most_in_window(STEADY_S), GOAL)
        self.assertGreaterEqual(report.used_part(STEADY_S), 0.9)
        return report

    def test_callers_spread_over_all_routers(self):
        for routers in (1, 2, 8, 84, 195):
            with self.subTest(routers=routers):
                self.check(routers=routers)

    def test_callers_at_one_router(self):
        for routers in (8, 84, 195):
            with self.subTest(routers=routers):
                self.check(routers=routers, pinned=1)

    def test_many_limited_upstreams(self):
        self.check(routers=84, upstreams=45)

    def test_load_just_above_the_limits(self):
        self.check(routers=84, load=1.3)

    def test_low_limits(self):
        plan = PermitLoadPlan(routers=84, rate_per_s=0.5, load=10, seconds=24)
        report = play_permits(plan)
        self.assertLessEqual(report.most_in_window(STEADY_S), 0.5 * WINDOW_S + 5)
        self.assertGreaterEqual(report.used_part(STEADY_S), 0.9)


class LimitNewsTest(unittest.TestCase):
    """Guards against routers that go on as before after an upstream states a limit."""

    def test_all_routers_know_within_half_a_second_of_the_first_response(self):
        for routers in (8, 84, 195):
            with self.subTest(routers=routers):
                plan = PermitLoadPlan(routers=routers)
                report = play_permits(plan)
                for upstream in report.arrivals_s:
                    told_s = [report.told_s[n, upstream] for n in range(routers)]
                    self.assertLessEqual(max(told_s) - min(told_s), 0.5)

    def test_routers_that_start_or_return_later_are_told(self):
        for how in ("restart", "cut"):
            fault = RouterFault(how, 1.0, 4.0, range(3))
            report = play_permits(PermitLoadPlan(routers=84, faults=(fault,), load=0.5))
            for router in fault.routers:
                for upstream in report.arrivals_s:
                    self.assertLessEqual(report.told_s[router, upstream], 4.5)


class FaultyFleetTest(unittest.TestCase):
    """Guards against limits that a fleet exceeds while its routers fail."""

    def check(self, *faults, used=0.6, **changes):
        plan = PermitLoadPlan(rate_per_s=RATE_PER_S, faults=faults, **changes)
        report = play_permits(plan)
        self.assertLessEqual(report.most_in_window(STEADY_S), TOLERATED)
        self.assertGreaterEqual(report.used_part(STEADY_S), used)

    def test_frozen_routers(self):
        for routers in (8, 84, 195):
            for seconds in (0.3, 0.9, 2.0, 4.0):
                with self.subTest(routers=routers, seconds=seconds):
                    frozen = range(routers // 4)
                    fault = RouterFault("freeze", 6.0, 6.0 + seconds, frozen)
                    self.check(fault, routers=routers)

    def test_restarts_in_turn(self):
        for routers in (8, 84):
            with self.subTest(routers=routers):
                faults = [
                    RouterFault("restart", 4.0 + n, 5.5 + n, range(n, n + 1))
                    for n in range(8)
                ]
                self.check(*faults, routers=routers)

    def test_all_routers_restart_at_once(self):
        for routers in (8, 84):
            with self.subTest(routers=routers):
                fault = RouterFault("restart", 6.0, 8.0, range(routers))
                self.check(fault, routers=routers, used=0.5)

    def test_zone_that_is_cut_off(self):
        for routers in (8, 84, 195):
            for cut in (routers // 4, routers // 2):
                with self.subTest(routers=routers, cut=cut):
                    fault = RouterFault("cut", 5.0, 11.0, range(cut))
                    self.check(fault, routers=routers)


if __name__ == "__main__":
    unittest.main()
