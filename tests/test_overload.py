"""Tests of refusals by a router that has no processor time left."""

import random
import unittest

from carobstair.core.overload import OverloadGuard

# Assumed costs of a stream and of a refusal on a small machine.
STREAM_S, REFUSAL_S = 0.004, 0.0005
TURN_S = 0.05


def play(rate_per_s, seconds, guarded):
    """Play a router on virtual time; return its lag at the end and what it served.

    Work waits in order of arrival, so the lag of a timer is what waits before it.
    """
    rng = random.Random(3)
    guard = OverloadGuard()
    waiting_s, served, refused = 0.0, 0, 0
    for turn in range(round(seconds / TURN_S)):
        now_s = turn * TURN_S
        guard.note(waiting_s, now_s)
        for _ in range(round(rate_per_s * TURN_S)):
            if guarded and guard.refuses(True, now_s, rng):
                waiting_s += REFUSAL_S
                refused += 1
            else:
                waiting_s += STREAM_S
                served += 1
        waiting_s = max(0.0, waiting_s - TURN_S)
    return waiting_s, served, refused


class OverloadLoadTest(unittest.TestCase):
    """Guards against a busy router that keeps callers until they have left."""

    def test_lag_stays_below_the_shortest_objective_at_twice_the_capacity(self):
        unguarded_s, _, _ = play(500, 10.0, guarded=False)
        self.assertGreater(unguarded_s, 5.0)
        lag_s, served, refused = play(500, 10.0, guarded=True)
        self.assertLess(lag_s, 0.4)
        # Four fifths of what it can serve if it did nothing else.
        self.assertGreater(served, 0.8 * 10.0 / STREAM_S)
        self.assertGreater(refused, 0)

    def test_nothing_is_refused_below_the_capacity(self):
        _, _, refused = play(200, 10.0, guarded=True)
        self.assertEqual(refused, 0)


class OverloadGuardTest(unittest.TestCase):
    """Guards against refusals that outlast their reason."""

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
