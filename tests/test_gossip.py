"""Tests of the content, rate and size of the digests that routers exchange."""

import asyncio
import time
import unittest

from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.core.messages import FleetDigest, PeerAddress, encode
from following_fleet import run_virtually
from gossip_nodes import RecordingTransport, make_node


def make_prompt(number):
    """Return a prompt with a shared segment and a segment of its own."""
    return PromptShape(900, 10, ((f"shared{number:02}", 800), (f"own{number}", 100)))


class DigestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against gossip that needs more bandwidth than the requests."""

    def setUp(self):
        self.sent = RecordingTransport()
        self.node = make_node("r0", 7400, self.sent, digest_s=0.01)

    def add_peers(self, same_zone, cross_zone):
        """Add peers in the router's own zone and in another zone."""
        for number in range(same_zone + cross_zone):
            zone = "a" if number < same_zone else "b"
            address = PeerAddress(f"p{number}", 1, "127.0.0.1", 1, 1, zone)
            self.node.gossip.add(address)

    async def run_for(self, seconds):
        """Send digests for a time; return those sent to each zone."""
        task = asyncio.create_task(self.node.gossip.run())
        await asyncio.sleep(seconds)
        task.cancel()
        same_zone = [p for names, p in self.sent.sent if "p0" in names]
        cross_zone = [p for names, p in self.sent.sent if "p0" not in names]
        return same_zone, cross_zone

    async def test_peer_is_present_before_it_is_heard_and_not_after_it_falls_silent(
        self,
    ):
        self.add_peers(2, 0)
        gossip = self.node.gossip
        self.assertEqual(gossip.present(), {"p0", "p1"})
        gossip._last_heard_s["p0"] = 1.0
        gossip._expire_silent_peers(100.0)
        self.assertEqual(gossip.present(), {"p1"})

    async def test_small_fleet_sends_to_all_zones_equally_often(self):
        self.add_peers(3, 3)
        same_zone, cross_zone = await self.run_for(0.3)
        self.assertEqual(len(same_zone), len(cross_zone))

    async def test_other_zones_of_a_large_fleet_hear_less_often(self):
        # 48 peers make the digest interval four times as long, and twice as long again
        # as the fleet is large. The turns are simulated, without a clock.
        self.add_peers(12, 36)
        gossip = self.node.gossip
        digests = {False: 0, True: 0}
        for turn in range(1, 1601):
            now_s = turn * 0.01
            for group in (gossip._same_zone_group, gossip._cross_zone_group):
                if gossip._is_due(group, now_s):
                    gossip._send_digest(group, ["p0"], now_s)
                    digests[group.cross_zone] += 1
        self.assertAlmostEqual(digests[False] / digests[True], 4, delta=0.2)
        self.assertAlmostEqual(digests[False], 200, delta=3)

    async def test_each_zone_receives_every_segment_once(self):
        self.add_peers(10, 20)
        for number in range(5):
            self.node.loads.begin("u0", make_prompt(number), 0.0)
        same_zone, cross_zone = await self.run_for(0.6)
        for digests in (same_zone, cross_zone):
            received = [
                row for digest in digests for row in digest.segments.get("u0", [])
            ]
            self.assertEqual(received, [(f"shared{n:02}", 800) for n in range(5)])

    async def test_digest_of_a_busy_router_stays_small(self):
        # With a name in each row a digest had 1.7 kB, and 84 routers sent each other
        # five times as many bytes as the requests had.
        self.add_peers(3, 0)
        for number in range(20):
            prompt = make_prompt(number)
            self.node.loads.begin(f"i-2cdc3d{number:04}", prompt, 0.0)
        await self.run_for(0.1)
        digest = next(p for _, p in self.sent.sent if p.segments)
        self.assertIsInstance(digest, FleetDigest)
        data = encode(digest, "front-lac-10", 1786730716437, 0, 100)
        self.assertLess(len(data), 1_400)


class LoadChangeTest(unittest.TestCase):
    """Guards against a load that peers learn of only at the next regular digest.

    On a large site, one router had most of a zone's requests, and the others placed
    theirs on the engines that it had just filled.
    """

    def test_router_whose_load_changes_sends_it_early(self):
        idle, busy = run_virtually(self.run_idle_and_busy())
        self.assertGreater(len(busy), 1.5 * len(idle))
        self.assertGreater(busy[-1].loads[0].backlog_tokens, 1_000_000)

    async def run_idle_and_busy(self):
        """Return the digests of 0.4 s without requests and of 0.4 s with prompts."""
        sent = RecordingTransport()
        node = make_node("r0", 7400, sent, digest_s=0.01)
        for number in range(40):
            node.gossip.add(PeerAddress(f"p{number}", 1, "127.0.0.1", 1, 1, "a"))
        task = asyncio.create_task(node.gossip.run())
        periods = []
        for prompts in (0, 30):
            first = len(sent.sent)
            for turn in range(40):
                if turn < prompts:
                    prompt = PromptShape(40_000, 10, ((f"own{turn}", 40_000),))
                    node.loads.begin("u0", prompt, time.monotonic())
                await asyncio.sleep(0.01)
            periods.append([payload for _, payload in sent.sent[first:]])
        task.cancel()
        return periods


class RecentSegmentsTest(unittest.TestCase):
    """Guards against new segments missed by one of several readers."""

    def test_readers_continue_at_their_position(self):
        loads = LoadTracker(PlacementSettings(), "a")
        loads.begin("u0", make_prompt(1), 0.0)
        rows, position = loads.recent_segments(0, 64)
        self.assertEqual(rows, [("u0", "shared01", 800)])
        loads.begin("u0", make_prompt(2), 0.0)
        self.assertEqual(
            loads.recent_segments(position, 64)[0], [("u0", "shared02", 800)]
        )
        self.assertEqual(len(loads.recent_segments(0, 64)[0]), 2)
        self.assertEqual(
            loads.recent_segments(loads.recent_segments(0, 64)[1], 64)[0], []
        )

    def test_newest_segments_are_kept_beyond_the_limit(self):
        loads = LoadTracker(PlacementSettings(), "a")
        for number in range(400):
            loads.begin("u0", make_prompt(number % 90), 0.0)
        rows, _ = loads.recent_segments(0, 2)
        self.assertEqual([segment for _, segment, _ in rows], ["shared38", "shared39"])


if __name__ == "__main__":
    unittest.main()
