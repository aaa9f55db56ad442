"""Tests of the load shedding by a router without spare processor time."""

import random
import unittest

from carobstair.core.overload import OverloadGuard

# Processor time of a stream and of a refusal, assumed for a small machine.
STREAM_S, REFUSAL_S = 0.004, 0.0005
TICK_S = 0.05


def simulate(rate_per_s, seconds, shedding):
    """Simulate a router on virtual time.

    Work is done in order of arrival, so a timer is late by the work queued before it.

    Returns
    -------
    tuple of (float, int, int)
        Lag at the end in seconds, requests served and requests refused.
    """
    rng = random.Random(3)
    guard = OverloadGuard()
    backlog_s, served, refused = 0.0, 0, 0
    for tick in range(round(seconds / TICK_S)):
        now_s = tick * TICK_S
        guard.note(backlog_s, now_s)
        for _ in range(round(rate_per_s * TICK_S)):
            if shedding and guard.refuses(True, now_s, rng):
                backlog_s += REFUSAL_S
                refused += 1
            else:
                backlog_s += STREAM_S
                served += 1
        backlog_s = max(0.0, backlog_s - TICK_S)
    return backlog_s, served, refused


class SustainedOverloadTest(unittest.TestCase):
    """Guards against an overloaded router that queues requests until callers leave."""

    def test_lag_stays_below_the_shortest_objective_at_twice_the_capacity(self):
        unprotected_s, _, _ = simulate(500, 10.0, shedding=False)
        self.assertGreater(unprotected_s, 5.0)
        lag_s, served, refused = simulate(500, 10.0, shedding=True)
        self.assertLess(lag_s, 0.4)
        # Four fifths of what it could serve if refusals took no time.
        self.assertGreater(served, 0.8 * 10.0 / STREAM_S)
        self.assertGreater(refused, 0)

    def test_nothing_is_refused_below_the_capacity(self):
        _, _, refused = simulate(200, 10.0, shedding=True)
        self.assertEqual(refused, 0)


class OverloadGuardTest(unittest.TestCase):
    """Guards against refusals that continue after the overload has ended."""

    def setUp(self):
        self.guard = OverloadGuard()
        self.rng = random.Random(1)

    def refused(self, stream, now_s):
        """Return how many of 100 requests are refused."""
        return sum(self.guard.refuses(stream, now_s, self.rng) for _ in range(100))

    def test_short_requests_are_refused_later_than_streams(self):
        self.guard.note(0.18, 1.0)
        self.assertGreater(self.refused(True, 1.0), 50)
        self.assertEqual(self.refused(False, 1.0), 0)

    def test_process_that_was_paused_serves_again_at_once(self):
        self.guard.note(5.0, 1.0)
        self.assertEqual(self.refused(False, 1.3), 0)
        self.assertEqual(self.refused(True, 1.5), 0)

    def test_some_requests_pass_at_any_lag(self):
        self.guard.note(9.0, 1.0)
        self.assertLess(self.refused(True, 1.0), 100)


if __name__ == "__main__":
    unittest.main()
