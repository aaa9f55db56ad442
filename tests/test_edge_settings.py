"""Tests of the edge router's settings that follow the size of the fleet."""

import random
import unittest

from carobstair.edge.settings import SyncSettings


class FleetPaceTest(unittest.TestCase):
    """Guards against intervals that fit small fleets only."""

    def setUp(self):
        self.settings = SyncSettings(store_address="127.0.0.1:1")

    def test_peers_that_send_on_time_are_never_lost(self):
        # At 83 peers digests come every 0.7 s, and a silence of 1 s would drop
        # links to slow machines again and again.
        for peers in (0, 5, 12, 58, 83, 369):
            for cross_zone in (False, True):
                with self.subTest(peers=peers, cross_zone=cross_zone):
                    interval_s = self.settings.digest_interval_s(peers, cross_zone)
                    silence_timeout_s = self.settings.silence_timeout_s(
                        peers, cross_zone
                    )
                    self.assertGreaterEqual(silence_timeout_s, 3 * interval_s)

    def test_small_fleets_keep_the_full_rate(self):
        for cross_zone in (False, True):
            interval_s = self.settings.digest_interval_s(11, cross_zone)
            self.assertEqual(interval_s, self.settings.digest_s)
            silence_timeout_s = self.settings.silence_timeout_s(5, cross_zone)
            self.assertEqual(silence_timeout_s, self.settings.peer_silence_s)
        wait_s = self.settings.random_watch_wait_s(5, random.Random(1))
        self.assertEqual(wait_s, self.settings.watch_wait_s)

    def test_watches_of_a_fleet_cost_the_store_a_bounded_number_of_calls(self):
        rng = random.Random(1)
        for peers in (7, 24, 58):
            with self.subTest(peers=peers):
                waits = [
                    self.settings.random_watch_wait_s(peers, rng) for _ in range(4000)
                ]
                calls_per_s = peers * len(waits) / sum(waits)
                self.assertLess(calls_per_s, 1.1 * self.settings.watches_per_s)
        # The store ends longer watches by itself.
        longest_s = max(
            self.settings.random_watch_wait_s(369, rng) for _ in range(4000)
        )
        self.assertLessEqual(longest_s, 30.0)

    def test_some_watch_of_a_large_fleet_ends_soon(self):
        # All store connections may go silent at once; the first router whose
        # watch ends learns of a change and tells the others.
        rng = random.Random(2)
        for peers in (24, 83, 369):
            with self.subTest(peers=peers):
                first_s = min(
                    self.settings.random_watch_wait_s(peers, rng) for _ in range(peers)
                )
                self.assertLess(first_s, 2 * self.settings.watch_wait_s)


if __name__ == "__main__":
    unittest.main()
