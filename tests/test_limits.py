"""Tests of limits and of what one node tells another about them."""

import math
import unittest
from dataclasses import replace

from carobstair.core.estimates import EstimateSettings, LimitTracker
from carobstair.core.limits import (
    LimiterSettings,
    LoadReport,
    UpstreamLimiter,
    UpstreamPhase,
    summarise_times,
)
from carobstair.core.messages import LimitAnnouncement, PeerAddress
from carobstair.core.shares import Epoch, ShareTable
from carobstair.core.state import FleetState, Upstream, UpstreamKind, UpstreamState

ENGINE = Upstream(
    "e1", "draft", UpstreamKind.ENGINE, "http://h", "z", cold_limit=2, max_requests=8
)
SERVICE = Upstream(
    "s1", "ledger", UpstreamKind.SERVICE, "http://h", "z", cold_limit=2, max_requests=8
)
READY = LoadReport("1", 0, 0)


def limiter_after(upstream: Upstream, times_ms: list[float], end_s: float):
    """Return a limiter that has seen these times again and again."""
    limiter = UpstreamLimiter(upstream, LimiterSettings(), 0.0)
    limiter.on_report(READY, 0.0)
    for tick in range(int(end_s * 10)):
        for time_ms in times_ms:
            limiter.on_token_interval(time_ms)
        limiter.tick(tick / 10)
    return limiter


class UpstreamLimiterTest(unittest.TestCase):
    """Guards against limits that an upstream can't bear, or that stay low."""

    def test_healthy_tokens_ramp_to_the_ticket_limit(self):
        limiter = limiter_after(ENGINE, [30.0] * 30, 10.0)
        self.assertEqual((limiter.limit, limiter.phase), (8, UpstreamPhase.WARM))

    def test_no_tokens_keep_the_cold_limit(self):
        self.assertEqual(limiter_after(ENGINE, [], 10.0).limit, 2)

    def test_slow_tokens_lower_a_warm_limit_but_not_below_cold(self):
        limiter = limiter_after(ENGINE, [30.0] * 30, 10.0)
        for tick in range(200):
            for _ in range(30):
                limiter.on_token_interval(80.0)
            limiter.tick(10.0 + tick / 10)
        self.assertEqual(limiter.limit, 2)

    def test_jump_of_token_times_counts_as_cold(self):
        limiter = limiter_after(ENGINE, [30.0] * 30, 10.0)
        for _ in range(300):
            limiter.on_token_interval(300.0)
        limiter.tick(10.1)
        self.assertEqual((limiter.limit, limiter.cold_count), (2, 1))

    def test_service_calls_of_usual_length_ramp_and_slow_ones_lower(self):
        limiter = limiter_after(SERVICE, [900.0] * 3, 10.0)
        self.assertEqual(limiter.limit, 8)
        for tick in range(60):
            for _ in range(30):
                limiter.on_call(4_000.0)
            limiter.tick(10.0 + tick / 10)
        self.assertLess(limiter.limit, 8)

    def test_nonsense_is_dropped_and_counted(self):
        limiter = limiter_after(ENGINE, [30.0] * 30, 10.0)
        self.assertFalse(limiter.on_report(LoadReport("2", -1, 0), 10.0))
        self.assertFalse(limiter.on_report(LoadReport("2", 10**9, 0), 10.0))
        for value in (math.nan, math.inf, -5.0):
            limiter.on_token_interval(value)
        self.assertEqual((limiter.limit, limiter.dropped_count), (8, 5))


class LimitTrackerTest(unittest.TestCase):
    """Guards against limits of several nodes that add up to too much."""

    def setUp(self):
        members = tuple(PeerAddress(n, 1, "h", 1, 2, "z") for n in "abc")
        self.trackers = {}
        for name in "abc":
            shares = ShareTable((name, 1), 11.0)
            shares.learn(Epoch(1, members), 0.0)
            tracker = LimitTracker(
                (name, 1), EstimateSettings(), LimiterSettings(), shares
            )
            tracker.set_state(FleetState(1, {}, {"e1": ENGINE}), 0.0)
            tracker.set_live(frozenset("abc") - {name})
            self.trackers[name] = tracker
        self.estimator = self.trackers["a"].estimator_of("e1")
        self.holder = next(n for n in "abc" if n != self.estimator)

    def announce(self, limit: int, sequence: int, now_s: float, sender="") -> bool:
        """Have the holder hear an announcement."""
        message = LimitAnnouncement("e1", "1", sequence, limit, 0, 0, 3.0)
        sender = sender or self.estimator
        return self.trackers[self.holder].on_announcement(sender, message, now_s)

    def test_holder_without_valid_announcement_uses_the_cold_limit(self):
        tracker = self.trackers[self.holder]
        self.assertEqual(tracker.limits("e1", 0.0)[0], 2)
        self.announce(7, 1, 0.0)
        self.assertEqual(tracker.limits("e1", 2.9)[0], 7)
        self.assertEqual(tracker.limits("e1", 3.1)[0], 2)

    def test_older_or_foreign_announcement_changes_nothing(self):
        self.announce(2, 5, 0.0)
        self.assertFalse(self.announce(8, 4, 0.1))
        third = next(n for n in "abc" if n not in (self.estimator, self.holder))
        self.assertFalse(self.announce(8, 9, 0.1, third))
        self.assertFalse(self.announce(-4, 6, 0.2))
        self.assertEqual(self.trackers[self.holder].limits("e1", 0.3)[0], 2)

    def test_new_estimator_goes_on_from_a_recent_limit_of_the_same_process(self):
        for incarnation, expected in (("1", 8), ("2", 2)):
            self.setUp()
            self.announce(8, 1, 0.0)
            tracker = self.trackers[self.holder]
            tracker.set_live(frozenset())
            tracker.on_report("e1", LoadReport(incarnation, 0, 0), 0, 1.0)
            self.assertEqual(tracker.limits("e1", 1.0)[0], expected)

    def test_return_to_service_counts_as_cold(self):
        tracker = self.trackers[self.estimator]
        tracker.on_report("e1", READY, 0, 0.0)
        for tick in range(100):
            tracker.on_report("e1", READY, 0, tick / 10)
            for _ in range(30):
                tracker.note_token_interval("e1", 30.0)
            tracker.on_report("e1", READY, 0, tick / 10)
            tracker.tick(tick / 10)
        self.assertEqual(tracker.limits("e1", 10.0)[0], 8)
        away = replace(ENGINE, state=UpstreamState.LEAVING)
        tracker.set_state(FleetState(2, {}, {"e1": away}), 10.0)
        tracker.set_state(FleetState(3, {}, {"e1": ENGINE}), 11.0)
        self.assertEqual(tracker.limits("e1", 11.0)[0], 2)

    def test_token_times_of_other_gateways_reach_the_estimator(self):
        holder, estimator = self.trackers[self.holder], self.trackers[self.estimator]
        estimator.on_report("e1", READY, 0, 0.0)
        for tick in range(100):
            estimator.on_report("e1", READY, 0, tick / 10)
            for _ in range(30):
                holder.note_token_interval("e1", 30.0)
            for to, report in holder.use_reports(["e1"], {}).items():
                self.assertEqual(to, self.estimator)
                estimator.on_use_report(self.holder, report, tick / 10)
            estimator.on_report("e1", READY, 0, tick / 10)
            estimator.tick(tick / 10)
        self.assertEqual(estimator.limits("e1", 10.0)[0], 8)

    def test_summary_keeps_median_and_tail(self):
        found = summarise_times("e1", [20.0] * 90 + [200.0] * 10)
        self.assertEqual((found.median_ms, found.p95_ms), (20.0, 200.0))
