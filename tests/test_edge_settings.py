"""Tests of the edge router's intervals that scale with the size of the fleet."""

import random
import unittest

from carobstair.core.fleet_view import StateKind
from carobstair.edge.settings import SyncSettings


class FleetSizeIntervalsTest(unittest.TestCase):
    """Guards against intervals that suit only small fleets."""

    def setUp(self):
        self.settings = SyncSettings(store_address="127.0.0.1:1")

    def test_silence_timeout_covers_three_digest_intervals(self):
        # With 83 peers a digest is sent every 0.7 s, and a silence timeout of 1 s
        # would drop the links to slow machines repeatedly.
        for peers in (0, 5, 12, 58, 83, 369):
            for cross_zone in (False, True):
                with self.subTest(peers=peers, cross_zone=cross_zone):
                    interval_s = self.settings.digest_interval_s(peers, cross_zone)
                    silence_timeout_s = self.settings.silence_timeout_s(
                        peers, cross_zone
                    )
                    self.assertGreaterEqual(silence_timeout_s, 3 * interval_s)

    def test_small_fleets_use_the_configured_intervals(self):
        for cross_zone in (False, True):
            interval_s = self.settings.digest_interval_s(11, cross_zone)
            self.assertEqual(interval_s, self.settings.digest_s)
            silence_timeout_s = self.settings.silence_timeout_s(5, cross_zone)
            self.assertEqual(silence_timeout_s, self.settings.peer_silence_s)
        wait_s = self.settings.random_watch_wait_s(5, random.Random(1))
        self.assertEqual(wait_s, self.settings.watch_wait_s)

    def test_watch_calls_of_a_fleet_are_bounded(self):
        rng = random.Random(1)
        for peers in (7, 24, 58):
            with self.subTest(peers=peers):
                waits = [
                    self.settings.random_watch_wait_s(peers, rng) for _ in range(4000)
                ]
                calls_per_s = peers * len(waits) / sum(waits)
                self.assertLess(calls_per_s, 1.1 * self.settings.watches_per_s)
        # The store itself ends watches that take longer than 30 s.
        longest_s = max(
            self.settings.random_watch_wait_s(369, rng) for _ in range(4000)
        )
        self.assertLessEqual(longest_s, 30.0)

    def test_changes_of_upstreams_cost_a_large_fleet_few_calls(self):
        # While upstreams change all the time, each router calls once a pause: with
        # 61 peers and pauses of 0.5 s that was 120 calls a second.
        for peers in (60, 90, 195):
            pause_s = self.settings.scaled_watch_pause_s(peers, StateKind.UPSTREAMS)
            with self.subTest(peers=peers):
                self.assertEqual(pause_s, self.settings.max_upstreams_pause_s)
        pause_s = self.settings.scaled_watch_pause_s(8, StateKind.UPSTREAMS)
        self.assertEqual(pause_s, self.settings.watch_pause_s)

    def test_watches_of_the_configuration_end_soon_in_small_fleets(self):
        rng = random.Random(3)
        for peers in (1, 5, 7):
            for kind in (StateKind.ROUTING, StateKind.EVACUATIONS):
                wait_s = max(
                    self.settings.random_quiet_wait_s(peers, kind, rng)
                    for _ in range(100)
                )
                with self.subTest(peers=peers, kind=kind):
                    self.assertLessEqual(wait_s, 0.6 * (peers + 1))
                    self.assertGreater(wait_s, 0.4 * (peers + 1))
        for peers, kind in ((83, StateKind.ROUTING), (1, StateKind.ROUTERS)):
            wait_s = self.settings.random_quiet_wait_s(peers, kind, rng)
            self.assertGreaterEqual(wait_s, 0.6 * self.settings.quiet_wait_s)

    def test_first_watch_after_a_change_of_all_routers_ends_soon(self):
        # A silence of the store may lose the answers to all of them. In force 3 s after
        # its end, less the 0.8 s until a call is late and some for the repetition.
        rng = random.Random(4)
        for routers in (6, 8, 12):
            shortest_s = [
                min(
                    self.settings.random_quiet_wait_s(
                        routers - 1, StateKind.ROUTING, rng, True
                    )
                    for _ in range(routers)
                )
                for _ in range(2000)
            ]
            with self.subTest(routers=routers):
                self.assertLess(sorted(shortest_s)[1900], 2.0)

    def test_shortest_watch_of_a_large_fleet_is_bounded(self):
        # All store connections may go silent at once; the router whose watch ends
        # first reads a change and passes it to the others.
        rng = random.Random(2)
        for peers in (24, 83, 369):
            with self.subTest(peers=peers):
                shortest_s = min(
                    self.settings.random_watch_wait_s(peers, rng) for _ in range(peers)
                )
                self.assertLess(shortest_s, 2 * self.settings.watch_wait_s)


if __name__ == "__main__":
    unittest.main()
