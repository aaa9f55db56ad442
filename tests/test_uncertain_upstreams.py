"""Tests of the limits of upstreams whose state is uncertain."""

import unittest

from carobstair.core.estimates import EstimateSettings, LimitTracker
from carobstair.core.limits import LimiterSettings, LoadReport
from carobstair.core.messages import LimitAnnouncement, PeerAddress
from carobstair.core.shares import Epoch, ShareTable
from carobstair.core.state import FleetState, Upstream, UpstreamKind

UPSTREAM = Upstream("e1", "draft", UpstreamKind.ENGINE, "http://h", "z", cold_limit=2)


def member(name: str) -> PeerAddress:
    """Return the address of a router."""
    return PeerAddress(name, 1, name, 1, 2, "z")


class UncertainUpstreamTest(unittest.TestCase):
    """Guards against the warm limit on an engine that may have restarted cold."""

    def tracker(self, rank: int) -> LimitTracker:
        """Return the limits as seen by the holder of a rank; rank 0 estimates."""
        epoch = Epoch(1, (member("a"), member("b")))
        self.holders = [name for name, _ in epoch.holders("e1")]
        own = (self.holders[rank], 1)
        shares = ShareTable(own, 11.0)
        shares.learn(epoch, 0.0)
        tracker = LimitTracker(own, EstimateSettings(), LimiterSettings(), shares)
        tracker.set_live(frozenset(self.holders) - {own[0]})
        tracker.set_state(FleetState(1, {}, {"e1": UPSTREAM}, {}), 0.0)
        return tracker

    def test_failure_applies_the_cold_limit_for_a_time(self):
        tracker = self.tracker(1)
        message = LimitAnnouncement("e1", "1", 1, 16, 1000, 3, 3.0)
        tracker.on_announcement(self.holders[0], message, 0.0)
        self.assertEqual(tracker.limits("e1", 0.1)[0], 16)
        tracker.note_failure("e1", 0.2)
        self.assertEqual(tracker.limits("e1", 0.3)[0], 2)
        self.assertEqual(tracker.limits("e1", 2.3)[0], 16)

    def test_estimator_without_recent_report_uses_the_cold_limit(self):
        tracker = self.tracker(0)
        tracker.on_report("e1", LoadReport("1", 0, 0), 0, 0.0)
        tracker._estimates["e1"].limiter.resume(16, "1", 0.0)
        self.assertEqual(tracker.limits("e1", 1.0)[0], 16)
        self.assertEqual(tracker.limits("e1", 20.0)[0], 2)


if __name__ == "__main__":
    unittest.main()
