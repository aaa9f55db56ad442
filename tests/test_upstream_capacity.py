"""Tests of the estimates of upstreams' capacity, and of placement by them."""

import hashlib
import heapq
import itertools
import random
import time
import unittest
from unittest import mock

from prometheus_client import generate_latest

from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.core.messages import PeerAddress
from carobstair.core.rate_limits import PermitOutlook
from carobstair.core.upstream_capacity import UpstreamCapacity
from carobstair.edge.capacity_reports import CapacityReports
from carobstair.platform.headers import PlatformDialect
from carobstair.scenario.batch_engine import BatchEngineSpec
from carobstair.scenario.overload import CallerGroup, LoadPlan, play_load
from edge_test_case import EdgeCase
from gossip_nodes import RecordingTransport, make_node
from test_directory import make_entry

SLOTS = 24


class LoadHeaderTest(unittest.TestCase):
    """Guards against loads that are dropped or believed because of odd figures."""

    def read(self, value):
        """Return the load's figures, and whether some were ignored."""
        header = [(b"carobstair-engine-load", value)]
        metadata = PlatformDialect().read_response(200, header)
        load = metadata.load
        figures = load and (load.running, load.waiting, load.slots, load.slowdown)
        return figures, metadata.load_unreadable

    def test_slowdown_is_a_fourth_figure(self):
        self.assertEqual(self.read(b"3,1,24,100"), ((3, 1, 24, 1.0), False))
        self.assertEqual(self.read(b"3, 1, 24, 250"), ((3, 1, 24, 2.5), False))
        self.assertEqual(self.read(b"3,1,24"), ((3, 1, 24, None), False))

    def test_readable_figures_are_used_and_the_others_are_ignored(self):
        for value in (b"3,1,24,-5", b"3,1,24,0", b"3,1,24,999999999", b"3,1,24,x"):
            with self.subTest(value=value):
                self.assertEqual(self.read(value), ((3, 1, 24, None), True))
        self.assertEqual(self.read(b"3,1,24,90,5,6,7,8,9"), ((3, 1, 24, 0.9), True))

    def test_loads_without_three_credible_figures_are_ignored(self):
        for value in (b"3,1", b"", b"a,b,c", b"-1,0,24,100", b"999999999,0,24,100"):
            with self.subTest(value=value):
                self.assertEqual(self.read(value), (None, True))
        metadata = PlatformDialect().read_response(200, [])
        self.assertFalse(metadata.load_unreadable)


class UnchangedServicesTest(unittest.TestCase):
    """Guards against other decisions for services that state no slowdown."""

    # Of the release before the estimates, for the loads of `digest`.
    DIGEST = "88b93a1498f3d58a32e7476e91f643014ec70dfb7e43c43451c404d3149272df"

    def digest(self, stated_elsewhere):
        """Return a hash of each figure and decision on seeded loads."""
        rng, seen = random.Random(11), hashlib.sha256()
        loads = LoadTracker(PlacementSettings(), "a")
        if stated_elsewhere:
            loads.note_report("other", 1, 0, 8, 0.0, 2.0, "elsewhere", 1)
        engines = [(f"u{n}", "ab"[n % 2]) for n in range(12)]
        slots = {u: 16 for u, _ in engines}
        sent, now_s = [], 0.0
        for step in range(3_000):
            now_s += rng.expovariate(200.0)
            shared = rng.randrange(20)
            prompt = PromptShape(
                900 + 100 * shared, rng.randrange(400), ((f"s{shared}", 600),)
            )
            permits = {"u0": PermitOutlook(0.1, 0.5)} if step % 5 == 0 else {}
            choice = loads.pick(engines, prompt, rng, now_s, permits)
            plain = loads.pick_plain(engines, rng, permits)
            figures = (
                choice,
                plain,
                loads.expected_wait_s(choice, prompt),
                loads.queue_wait_s(choice, 16, now_s),
                loads.slots_used(slots, now_s),
                loads.pressure(slots, now_s, permits),
            )
            seen.update(repr(figures).encode())
            sent.append(loads.begin(choice, prompt, now_s))
            if step % 3 == 0:
                loads.note_report(choice, rng.randrange(20), step % 7, 16, now_s)
            if step % 50 == 0:
                rows = [(u, rng.randrange(9_000), rng.randrange(5)) for u, _ in engines]
                loads.note_peer("r1", rows)
            if len(sent) > 60:
                ended = sent.pop(rng.randrange(60))
                if step % 4:
                    loads.note_first_byte(ended, now_s)
                loads.end(ended, now_s)
        return seen.hexdigest()

    def test_figures_and_choices_are_those_of_the_release_before(self):
        self.assertEqual(self.digest(False), self.DIGEST)

    def test_a_slowdown_stated_in_another_service_changes_nothing(self):
        self.assertEqual(self.digest(True), self.DIGEST)


class CapacityTest(unittest.TestCase):
    """Guards against estimates that are wrong, late or kept for too long."""

    SPEEDS = (0.7, 0.7, 1.7, 0.7, 0.7, 1.7)

    def setUp(self):
        self.capacity = UpstreamCapacity()
        self.rng = random.Random(4)
        self.speeds = {(f"u{n}", 1): s for n, s in enumerate(self.SPEEDS)}
        self.now_s = 0.0

    def send(self, incarnation, running=3, slowdown=1.0, extra_s=0.0, slots=SLOTS):
        """Let one request be read at its engine's speed and report its load."""
        tokens = self.rng.randrange(500, 12_000)
        time_s = 0.02 + 0.002 * running + tokens / 80_000
        wait_s = time_s * slowdown / self.speeds[incarnation] + extra_s
        wait_s *= self.rng.uniform(0.8, 1.2)
        self.capacity.note_report(incarnation, running, 0, slots, slowdown, self.now_s)
        self.capacity.note_first_byte(incarnation, tokens, running, wait_s, self.now_s)

    def play(self, seconds, rate_per_s=60.0, **kwargs):
        """Send requests to all engines in turn."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            for incarnation in self.speeds:
                self.send(incarnation, **kwargs)
                self.now_s += 1.0 / rate_per_s

    def speed(self, number, born_ms=1):
        """Return an estimated relative speed."""
        return self.capacity.relative_speed((f"u{number}", born_ms), self.now_s)

    def test_speeds_and_read_rates_are_learnt(self):
        self.play(20.0)
        mean = sum(self.SPEEDS) / len(self.SPEEDS)
        for number, speed in enumerate(self.SPEEDS):
            self.assertAlmostEqual(self.speed(number), speed / mean, delta=0.2)
        slow, fast = (
            self.capacity.read_tokens_per_s((f"u{n}", 1), self.now_s) for n in (0, 2)
        )
        self.assertAlmostEqual(slow, 0.7 * 80_000, delta=15_000)
        self.assertAlmostEqual(fast, 1.7 * 80_000, delta=35_000)

    def test_engine_that_is_halved_for_good_is_followed(self):
        self.play(20.0)
        before = self.speed(2)
        self.speeds["u2", 1] /= 2
        self.play(8.0)
        self.assertLess(self.speed(2), 0.7 * before)

    def test_slowdown_by_neighbours_counts_at_once_and_fades(self):
        self.play(10.0)
        before = self.speed(0)
        for _ in range(4):
            self.send(("u0", 1), slowdown=2.5)
            self.now_s += 0.02
        self.assertLess(self.speed(0), 0.7 * before)
        self.now_s += 2.0
        self.assertGreater(self.speed(0), 0.85 * before)

    def test_neighbours_do_not_lower_the_learnt_speed(self):
        self.play(10.0)
        before = self.speed(0)
        for _ in range(15):
            self.send(("u0", 1), slowdown=2.5)
            self.now_s += 0.04
        self.play(1.0)
        self.assertAlmostEqual(self.speed(0), before, delta=0.2 * before)

    def test_measured_waits_count_more_than_an_idle_header(self):
        self.play(5.0, running=0)
        for _ in range(60):
            self.send(("u1", 1), running=0, extra_s=1.5)
            self.now_s += 0.05
        self.assertLess(self.speed(1), 0.5)
        record = self.capacity.record(("u1", 1))
        self.assertGreater(record.token_s, 1.5 * self.capacity.typical.token_s)

    def test_concurrency_follows_an_engine_that_slows_down_before_it_is_full(self):
        self.play(5.0)
        for _ in range(200):
            for incarnation in self.speeds:
                running = self.rng.randrange(4, 20)
                late = incarnation[0] == "u0" and running > 10
                self.send(incarnation, running=running, extra_s=0.5 if late else 0.0)
            self.now_s += 0.05
        limit = self.capacity.concurrency(("u0", 1), SLOTS, self.now_s)
        self.assertTrue(7 < limit < 14, limit)
        usual = self.capacity.concurrency(("u2", 1), SLOTS, self.now_s)
        self.assertEqual(usual, SLOTS)

    def test_overload_of_all_engines_keeps_their_concurrency(self):
        self.play(20.0, running=20, extra_s=0.8)
        for number in range(len(self.SPEEDS)):
            limit = self.capacity.concurrency((f"u{number}", 1), SLOTS, self.now_s)
            self.assertGreater(limit, SLOTS / 2)

    def test_engine_without_requests_returns_to_the_mean(self):
        self.play(20.0)
        self.assertLess(self.speed(0), 0.8)
        del self.speeds["u0", 1]
        later_s = self.now_s + 90.0
        record = self.capacity.record(("u0", 1))
        self.assertAlmostEqual(
            record.speed_at(self.capacity.settings, later_s), 1.0, delta=0.1
        )

    def test_restarted_engine_begins_at_the_mean(self):
        self.play(20.0)
        self.assertAlmostEqual(self.speed(2, born_ms=2), 1.0, delta=0.01)
        self.capacity.keep({("u2", 2)})
        self.assertAlmostEqual(self.speed(2), 1.0, delta=0.01)

    def test_odd_samples_leave_finite_estimates(self):
        incarnation = "u0", 1
        for waited_s in (-1.0, 0.0, 1e9):
            self.capacity.note_first_byte(incarnation, 0, 0, waited_s, 1.0)
        self.capacity.note_report(incarnation, 0, 0, 0, 1e6, 1.0)
        self.assertTrue(0 < self.capacity.read_tokens_per_s(incarnation, 1.1) < 1e9)
        self.assertGreater(self.capacity.concurrency(incarnation, 0, 1.1), -1)


class PlacementTest(unittest.TestCase):
    """Guards against requests at upstreams that cannot take them now."""

    PROMPT = PromptShape(600, 200)

    def setUp(self):
        self.loads = LoadTracker(PlacementSettings(), "a")
        self.stated = []
        self.loads.on_capacity_enabled = self.stated.append
        self.rng = random.Random(2)

    def report(
        self, upstream, running, slowdown=1.0, now_s=1.0, born_ms=1, slots=SLOTS
    ):
        """Let an upstream report its load."""
        self.loads.note_report(
            upstream, running, 0, slots, now_s, slowdown, "s", born_ms
        )

    def pick(self, prompt=PROMPT, zones="aaa", now_s=1.1, count=30):
        """Return how often each engine is chosen."""
        candidates = [(f"u{n}", zone) for n, zone in enumerate(zones)]
        chosen = [
            self.loads.pick(candidates, prompt, self.rng, now_s, {}, "s")
            for _ in range(count)
        ]
        return [chosen.count(u) / count for u, _ in candidates]

    def plain(self, zones="aaa", now_s=1.1, count=60):
        """Return how often each plain upstream is chosen."""
        candidates = [(f"u{n}", zone) for n, zone in enumerate(zones)]
        chosen = [
            self.loads.pick_plain(candidates, self.rng, {}, now_s, "s")
            for _ in range(count)
        ]
        return [chosen.count(u) / count for u, _ in candidates]

    def test_service_is_switched_on_once_by_the_first_stated_slowdown(self):
        self.loads.note_report("u0", 1, 0, 24, 1.0, None, "s", 1)
        self.assertFalse(self.loads.has_capacity_estimates("s"))
        self.report("u0", 1)
        self.report("u1", 1)
        self.assertTrue(self.loads.has_capacity_estimates("s"))
        self.assertEqual(self.stated, ["s"])

    def test_equal_engines_share_requests_although_all_read_the_same_reports(self):
        for number in range(3):
            self.report(f"u{number}", 5)
        self.assertTrue(all(0.1 < share < 0.6 for share in self.pick(count=200)))

    def test_own_sends_since_the_report_count(self):
        for number in range(3):
            self.report(f"u{number}", 5 + number)
        chosen = set()
        for _ in range(30):
            pick = self.loads.pick(
                [(f"u{n}", "a") for n in range(3)], self.PROMPT, self.rng, 1.1, {}, "s"
            )
            self.loads.begin(pick, self.PROMPT, 1.1)
            chosen.add(pick)
        running = [self.loads.occupancy(f"u{n}", 1.1) for n in range(3)]
        self.assertEqual(len(chosen), 3)
        self.assertLessEqual(max(running) - min(running), 4)

    def test_engine_without_memory_is_avoided_even_if_it_holds_the_prompt(self):
        self.loads.kv_tokens = 100_000
        for number in range(3):
            self.report(f"u{number}", 0)
        large = PromptShape(40_000, 2_000, (("part", 39_000),))
        self.loads.begin("u0", large, 1.0)
        self.loads.begin("u0", large, 1.0)
        self.assertEqual(self.pick(large)[0], 0.0)

    def test_requests_of_other_routers_count_towards_the_memory(self):
        self.loads.kv_tokens = 100_000
        large = PromptShape(9_000, 1_000, (("part", 8_000),))
        for number in range(3):
            self.report(f"u{number}", 0)
        sent = self.loads.begin("u0", large, 1.0)
        self.loads.note_first_byte(sent, 1.05)
        self.assertEqual(self.pick(large)[0], 1.0)
        self.report("u0", 9, now_s=1.06)
        self.assertEqual(self.pick(large)[0], 0.0)

    def test_held_tokens_are_released(self):
        self.report("u0", 0)
        for _ in range(3):
            sent = self.loads.begin("u0", PromptShape(90_000, 900), 1.0)
            self.loads.end(sent, 1.1)
        self.assertEqual(self.loads._load("u0").held_tokens, 0)

    def test_part_in_demand_is_read_by_a_second_engine_when_its_own_is_loaded(self):
        prompt = PromptShape(3_000, 200, (("hot", 2_500),))
        for number in range(3):
            self.report(f"u{number}", 3)
        sent = self.loads.begin("u0", prompt, 1.0)
        self.loads.note_first_byte(sent, 1.05)
        self.assertEqual(self.pick(prompt)[0], 1.0)
        self.report("u0", 20, now_s=1.06)
        self.assertEqual(self.pick(prompt)[0], 0.0)

    def test_own_zone_is_preferred_while_it_has_room(self):
        for number in range(3):
            self.report(f"u{number}", 6 if number == 0 else 5)
        self.pick(zones="abb")
        self.assertEqual(self.pick(zones="abb")[0], 1.0)
        self.report("u0", 23, now_s=1.05)
        self.pick(zones="abb")
        self.assertLess(self.pick(zones="abb")[0], 0.1)

    def test_restarted_engine_holds_no_parts(self):
        prompt = PromptShape(3_000, 200, (("hot", 2_500),))
        self.report("u0", 0)
        self.loads.begin("u0", prompt, 1.0)
        self.report("u0", 0, born_ms=2, now_s=1.05)
        self.assertEqual(self.loads.uncached_tokens("u0", prompt), 3_000)
        # A late answer of the incarnation before.
        self.report("u0", 0, born_ms=1, now_s=1.06)
        self.assertEqual(self.loads._load("u0").incarnation, ("u0", 2))

    def test_engine_that_reports_no_load_and_answers_late_is_avoided(self):
        now_s = 1.0
        for step in range(90):
            now_s += 0.05
            upstream = f"u{step % 3}"
            sent = self.loads.begin(upstream, self.PROMPT, now_s)
            late = upstream == "u0"
            self.report(upstream, 0 if late else 4, now_s=now_s)
            self.loads.note_first_byte(sent, now_s + (1.0 if late else 0.03))
            self.loads.end(sent, now_s + 1.0)
        self.assertLess(self.pick(now_s=now_s + 0.1)[0], 0.1)

    def test_request_without_first_byte_counts_for_its_wait(self):
        self.report("u0", 0)
        self.report("u1", 0)
        for _ in range(20):
            for upstream, ends_s in (("u0", 3.0), ("u1", 1.03)):
                sent = self.loads.begin(upstream, self.PROMPT, 1.0)
                if upstream == "u1":
                    self.loads.note_first_byte(sent, ends_s)
                self.loads.end(sent, ends_s)
        capacity = self.loads.capacities.by_service["s"]
        late, usual = (capacity.relative_speed((u, 1), 3.0) for u in ("u0", "u1"))
        self.assertLess(late, 0.5 * usual)
        rows, cursor = self.loads.capacities.recent_waits(0, 64)
        self.assertEqual((len(rows), cursor), (40, 40))

    def test_waits_of_a_cold_engine_do_not_count_as_its_speed(self):
        self.report("u0", 0)
        for is_cold in (True, False):
            self.loads.note_send("u0", "s", 1, is_cold)
            sent = self.loads.begin("u0", self.PROMPT, 1.0)
            self.loads.note_first_byte(sent, 3.0)
            rows, _ = self.loads.capacities.recent_waits(0, 64)
            self.assertEqual(len(rows), 0 if is_cold else 1)

    def test_waits_of_peers_teach_the_speed_and_switch_on(self):
        for _ in range(60):
            self.loads.note_peer_wait("s", ("u0", 1, 50, 100, 100), 1.0)
            self.loads.note_peer_wait("s", ("u1", 1, 50, 50, 100), 1.0)
        self.assertEqual(self.stated, ["s"])
        capacity = self.loads.capacities.by_service["s"]
        self.assertLess(capacity.relative_speed(("u0", 1), 1.3), 0.8)
        self.assertGreater(capacity.relative_speed(("u1", 1), 1.3), 1.2)

    def test_pressure_and_waits_follow_the_learnt_capacity(self):
        self.report("u0", 4)
        self.loads.note_peer("r1", [("u0", 8_000, 4)])
        slots = {"u0": SLOTS}
        before = (
            self.loads.queue_wait_s("u0", SLOTS, 1.1),
            self.loads.expected_wait_s("u0", self.PROMPT),
            self.loads.pressure(slots, 1.1),
            self.loads.slots_used(slots, 1.1),
        )
        for _ in range(80):
            self.loads.note_peer_wait("s", ("u0", 1, 50, 150, 100), 1.1)
        record = self.loads._load("u0").record
        record.limit, record.limited_s = 6.0, 1.1
        self.loads.capacities.by_service["s"].refresh(1.2)
        after = (
            self.loads.queue_wait_s("u0", SLOTS, 1.2),
            self.loads.expected_wait_s("u0", self.PROMPT),
            self.loads.pressure(slots, 1.2),
            self.loads.slots_used(slots, 1.2),
        )
        for earlier, later in zip(before, after, strict=True):
            self.assertGreater(later, 1.5 * earlier)

    def test_plain_upstream_that_is_full_or_slowed_gets_no_more(self):
        for number in range(3):
            self.report(f"u{number}", 2, slots=6)
        self.assertTrue(all(share > 0.1 for share in self.plain()))
        self.report("u0", 6, now_s=1.05, slots=6)
        self.report("u1", 2, slowdown=2.5, now_s=1.05, slots=6)
        shares = self.plain()
        self.assertEqual(shares[0], 0.0)
        self.assertLess(shares[1], 0.2)

    def test_full_plain_upstreams_are_used_if_there_are_no_others(self):
        self.report("u0", 7, slots=6)
        self.assertEqual(self.plain(zones="a"), [1.0])


class EdgeTest(EdgeCase):
    """Guards against load headers that reach the estimates wrongly or not at all."""

    async def call_with_load(self, load):
        """Send a request whose response states a load."""
        for upstream in self.upstreams:
            upstream.raw_headers = [f"Carobstair-Engine-Load: {load}"]
            upstream.raw_headers.append("Content-Length: 0")
        status, _, _ = await self.call("/safe/x")
        self.assertEqual(status, 200)

    async def test_header_with_a_fourth_figure_switches_the_service_on(self):
        await self.start_upstreams("raw")
        reports = CapacityReports(self.dispatcher.loads, self.metrics)
        self.dispatcher.loads.on_capacity_enabled = reports.log_capacity_enabled
        await self.call_with_load("1,0,6")
        self.assertFalse(self.dispatcher.loads.has_capacity_estimates("plain"))
        with mock.patch("carobstair.edge.capacity_reports.logger") as logger:
            for _ in range(3):
                await self.call_with_load("1,0,6,250")
        logger.info.assert_called_once_with(
            "capacity_estimates_enabled", service="plain"
        )
        reports.export(time.monotonic())
        page = generate_latest(self.metrics.registry).decode()
        self.assertIn('upstream_relative_speed{service="plain",upstream="u0"}', page)

    async def test_unreadable_loads_are_counted_and_logged_once(self):
        await self.start_upstreams("raw")
        with mock.patch("carobstair.edge.response_relay.logger") as logger:
            for load in ("1,0", "a,b,c,d", "1,0,6,-1"):
                await self.call_with_load(load)
        logger.info.assert_called_once_with("upstream_load_unreadable", upstream="u0")
        self.assertEqual(self.dispatcher.loads.unreadable_reports, 3)


class DigestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against waits that are lost or cross zones in digests."""

    async def test_waits_reach_peers_of_the_own_zone_once(self):
        sent = RecordingTransport()
        node, peer = make_node("r0", 7400, sent), make_node("r1", 7401, sent)
        for number, zone in enumerate("ab"):
            address = PeerAddress(f"p{number}", 1, "127.0.0.1", 1, 1, zone)
            node.gossip.add(address)
        peer.gossip.add(node.address)
        peer.directory.put(make_entry("u0"), 1, 0.0)
        born_ms = peer.directory.find("u0").entry.born_ms
        node.loads.note_report("u0", 0, 0, 6, 1.0, 1.0, "model", born_ms)
        for gone_ms in (born_ms, born_ms + 1):
            node.loads.note_report("u0", 0, 0, 6, 1.0, 1.0, "model", gone_ms)
            request = node.loads.begin("u0", PromptShape(10, 10), 1.0)
            node.loads.note_first_byte(request, 1.1)
        gossip = node.gossip
        for group in (gossip._same_zone_group, gossip._cross_zone_group) * 2:
            gossip._send_digest(group, ["p0"], 1.0)
        digests = [digest for _, digest in sent.sent]
        self.assertEqual([len(d.waits) for d in digests], [2, 0, 0, 0])
        peer.gossip._on_digest(mock.Mock(incarnation=1), digests[0])
        # The second names an incarnation that the peer does not list.
        capacity = peer.loads.capacities.by_service["model"]
        self.assertEqual(capacity.incarnations(), [("u0", born_ms)])


class FleetTest(unittest.TestCase):
    """Guards against many routers that place by stale loads and read them alike."""

    ENGINES = 30

    def make_plan(self, load, states_slowdown=True, routers=90, **kwargs):
        """Return a load in units of what 45 engines serve."""
        groups = []
        for number in range(30):
            rate = load * self.ENGINES / 45 * (4.0 if number < 3 else 0.6) / 28.2
            segments = 2 if number < 3 else 6
            name = f"w{number}"
            groups += [
                CallerGroup(name, 160 * rate, 5382, 6610, 384, segments, 0.8),
                CallerGroup(name, 176 * rate, 198, 628, 294, 5, 0.4),
                CallerGroup(name, 285 * rate, 568, 1800, 24, 2 * segments, 0.4, 3.0),
            ]
        weights = tuple(4.0 if n % 7 == 0 else 1.0 for n in range(routers))
        return LoadPlan(
            tuple(groups),
            self.ENGINES,
            weights,
            digest_s=0.3,
            tokens_per_s=1e9,
            spec=BatchEngineSpec(24, 33, 0.00374, 0.0000893, 81_900.0, 2048, 526_194),
            speeds=(0.7, 0.7, 1.7),
            slowdowns=self.make_slowdowns(),
            states_slowdown=states_slowdown,
            shares_segments=True,
            **kwargs,
        )

    def make_slowdowns(self):
        """Return neighbours that come and go, and one engine halved for good."""
        rng, slowdowns = random.Random(5), {}
        for engine in range(self.ENGINES):
            begin_s, rows = rng.uniform(0.0, 6.0), []
            while begin_s < 20.0:
                rows.append((begin_s, begin_s + 0.6, 2.5))
                begin_s += 0.6 + rng.expovariate(0.2)
            slowdowns[engine] = rows
        slowdowns[3] = [(0.0, 1e9, 2.0)]
        return slowdowns

    def test_work_of_the_busiest_engine(self):
        report = play_load(self.make_plan(0.65))
        self.assertLess(report.balance(), 1.3)
        self.assertGreater(report.fraction("in-aim"), 0.93)
        self.assertEqual(report.rejected, 0)

    def test_most_requests_stay_in_their_zone_while_it_has_room(self):
        zones = ("a", "b", "c")
        report = play_load(self.make_plan(0.4, zones=zones, seconds=8.0, routers=30))
        self.assertLess(report.other_zone_sends / report.requests, 0.45)
        self.assertGreater(report.fraction("in-aim"), 0.9)

    def test_small_requests_in_a_burst_beside_long_ones(self):
        plan = self.make_plan(0.4, routers=30, seconds=8.0)
        burst = CallerGroup("burst", 900.0, 0, 150, 20, 1, 0.4, 3.0, 3.0, 5.0)
        report = play_load(
            LoadPlan(
                **{
                    name: getattr(plan, name)
                    for name in plan.__slots__
                    if name != "groups"
                },
                groups=(*plan.groups, burst),
            )
        )
        self.assertGreater(report.fraction("in-aim", "burst"), 0.9)
        self.assertEqual(report.rejected, 0)


class PlainFleetTest(unittest.TestCase):
    """Guards against many routers that fill a plain upstream slowed by neighbours."""

    UPSTREAMS, ROUTERS, PLAIN_SLOTS, SECONDS = 3, 62, 6, 30.0

    def play(self, slowdown_stated, rate_per_s=91.0, time_s=0.08):
        """Return the requests, those rejected, and the times of the others."""
        rng = random.Random(8)
        zones = ("a", "b", "c")
        fleet = [
            LoadTracker(PlacementSettings(), zones[n % 3]) for n in range(self.ROUTERS)
        ]
        candidates = [(f"u{n}", zones[n]) for n in range(self.UPSTREAMS)]
        slowed = {
            u: [(t, t + 0.6) for t in (rng.uniform(0, self.SECONDS) for _ in range(6))]
            for u, _ in candidates
        }
        running, rejected, times_s = dict.fromkeys(slowed, 0), 0, []
        events, order, count = [], itertools.count(), 0

        def factor(upstream, now_s):
            busy = any(begin <= now_s < end for begin, end in slowed[upstream])
            return 2.5 if busy else 1.0

        def arrive(now_s):
            nonlocal rejected, count
            push(now_s + rng.expovariate(rate_per_s), arrive)
            count += 1
            loads = rng.choice(fleet)
            upstream = loads.pick_plain(candidates, rng, {}, now_s, "s")
            loads.note_incarnation(upstream, "s", 1)
            sent = loads.begin(upstream, PromptShape(), now_s)
            accepted = running[upstream] < self.PLAIN_SLOTS
            running[upstream] += accepted
            rejected += not accepted
            took_s = 0.003
            if accepted:
                took_s += time_s * factor(upstream, now_s) * rng.uniform(0.5, 1.5)
                times_s.append(took_s)

            def end(now_s):
                running[upstream] -= accepted
                stated = factor(upstream, now_s) if slowdown_stated else None
                loads.note_report(
                    upstream, running[upstream], 0, 6, now_s, stated, "s", 1
                )
                if accepted:
                    loads.note_first_byte(sent, now_s)
                loads.end(sent, now_s)

            push(now_s + took_s, end)

        def send_digests(now_s):
            push(now_s + 0.3, send_digests)
            for sender, loads in enumerate(fleet):
                rows = loads.own_rows()
                waits, cursors[sender] = loads.capacities.recent_waits(
                    cursors[sender], 64
                )
                for peer in fleet:
                    if peer is not loads:
                        peer.note_peer(f"r{sender}", rows)
                        for row in waits:
                            peer.note_peer_wait("s", row, now_s)

        def push(at_s, action):
            heapq.heappush(events, (at_s, next(order), action))

        cursors = [0] * self.ROUTERS
        push(0.0, arrive)
        push(0.0, send_digests)
        while events[0][0] < self.SECONDS:
            now_s, _, action = heapq.heappop(events)
            action(now_s)
        return count, rejected, sorted(times_s)

    def test_fewer_requests_are_rejected_or_late_than_without_the_slowdown(self):
        before, after = self.play(False), self.play(True)
        self.assertLess(after[1] / after[0], 0.5 * before[1] / before[0])
        self.assertLess(after[2][int(0.95 * len(after[2]))], 0.2)


if __name__ == "__main__":
    unittest.main()
