"""Tests of permits for limited upstreams on whole fleets, played on virtual time."""

import unittest

from carobstair.core.permit_messages import PermitRequest, RateRow
from carobstair.core.rate_limits import IssuedPermit, PermitDesk
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


class InChargeTest(unittest.TestCase):
    """Guards against routers that issue more than their part of a rate."""

    UPSTREAM = ("u0", 1)
    NAMES = tuple(f"r{number}" for number in range(8))

    def make_desk(self, name, others, routers=8):
        desk = PermitDesk(name, others=lambda: others, count_routers=lambda: routers)
        desk.merge("r9", [RateRow(*self.UPSTREAM, 1, RATE_PER_S)], 0.0)
        return desk

    def issued(self, desk, is_substitute=False):
        """Return how many permits a desk issues to others in a window."""
        row = RateRow(*self.UPSTREAM, 1, RATE_PER_S)
        request = PermitRequest(1, row, 0.0, is_substitute)
        steps = range(int(100 * WINDOW_S))
        answers = [desk.on_request("r9", request, 10 + n / 100) for n in steps]
        return sum(answer.granted for answer in answers)

    def in_charge(self, name, others):
        desk = self.make_desk(name, others)
        asked = desk.ask(self.UPSTREAM, 0.3, 1.0)
        return name if isinstance(asked, IssuedPermit) else asked[0]

    def test_all_routers_agree(self):
        chosen = {
            self.in_charge(name, [n for n in self.NAMES if n != name])
            for name in self.NAMES
        }
        self.assertEqual(len(chosen), 1)

    def test_substitute_issues_half(self):
        desk = self.make_desk("r0", self.NAMES[1:])
        self.assertLessEqual(self.issued(desk), RATE_PER_S * WINDOW_S + 2)
        desk = self.make_desk("r0", self.NAMES[1:])
        self.assertLessEqual(self.issued(desk, True), RATE_PER_S * WINDOW_S / 2 + 2)

    def test_minority_issues_its_part(self):
        desk = self.make_desk("r0", self.NAMES[1:3])
        self.assertLessEqual(self.issued(desk), RATE_PER_S * WINDOW_S * 3 / 8 + 2)

    def test_router_that_does_not_answer_is_passed_over_for_longer_each_time(self):
        first = self.in_charge("r0", self.NAMES[1:])
        own, *others = (name for name in self.NAMES if name != first)
        desk = self.make_desk(own, [first, *others])
        desk.on_silence(first, 1.0)
        _, request = desk.ask(self.UPSTREAM, 0.3, 1.5)
        self.assertTrue(request.is_substitute)
        self.assertEqual(desk.ask(self.UPSTREAM, 0.3, 2.1)[0], first)
        desk.on_silence(first, 2.4)
        self.assertNotEqual(desk.ask(self.UPSTREAM, 0.3, 4.3)[0], first)
        self.assertEqual(desk.ask(self.UPSTREAM, 0.3, 4.5)[0], first)

    def test_router_that_leaves_is_not_in_charge(self):
        for name in self.NAMES:
            desk = self.make_desk(name, [n for n in self.NAMES if n != name])
            desk.is_leaving = True
            asked = desk.ask(self.UPSTREAM, 0.3, 1.0)
            self.assertNotIsInstance(asked, IssuedPermit)

    def test_permit_that_was_returned_is_issued_again(self):
        desk = self.make_desk("r0", ())
        waits_s = [desk.ask(self.UPSTREAM, 9.0, 1.0).delay_s for _ in range(3)]
        desk.take_back(self.UPSTREAM)
        again_s = desk.ask(self.UPSTREAM, 9.0, 1.0).delay_s
        self.assertAlmostEqual(again_s, waits_s[-1])


if __name__ == "__main__":
    unittest.main()
