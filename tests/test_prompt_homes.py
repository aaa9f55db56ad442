"""Tests of the homes of shared prompt parts, alone and in plays of many routers."""

import hashlib
import random
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

from prometheus_client import generate_latest

import test_upstream_capacity
from carobstair.core.admission import AdmissionSettings
from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.core.prompt_homes import EngineRanking, HomeSettings, WeightSteps
from carobstair.core.rate_limits import PermitOutlook
from carobstair.edge.home_reports import HomeReports
from carobstair.edge.metrics import EdgeMetrics
from carobstair.scenario.batch_engine import BatchEngineSpec
from carobstair.scenario.overload import CallerGroup, LoadPlan, play_load

ZONES = {f"e{n}": "abc"[n % 3] for n in range(45)}
SETTINGS = HomeSettings()
KEYS = [f"part{n}" for n in range(1_000)]


def make_ranking(capacities=None, settings=SETTINGS):
    """Return a ranking that has seen all engines."""
    ranking = EngineRanking(settings)
    ranking.update(ZONES, capacities or {}, 0.0)
    return ranking


def first_homes(ranking, zones=ZONES, cold=()):
    """Return the first home of each key."""
    return {key: ranking.homes(key, zones, cold)[0] for key in KEYS}


class RankingTest(unittest.TestCase):
    """Guards against routers that disagree, and parts that move without need."""

    def test_routers_that_learnt_of_engines_in_another_order_agree(self):
        other = EngineRanking()
        for engine in sorted(ZONES, reverse=True):
            other.update([engine], {}, 0.0)
            other.homes("part0", {engine: ZONES[engine]})
        self.assertEqual(first_homes(make_ranking()), first_homes(other))

    def test_only_parts_of_an_engine_that_leaves_move_and_they_return(self):
        ranking = make_ranking()
        before = first_homes(ranking)
        left = {e: z for e, z in ZONES.items() if e != "e7"}
        for gone in (first_homes(ranking, left), first_homes(ranking, cold={"e7"})):
            moved = {key for key in KEYS if gone[key] != before[key]}
            self.assertEqual(moved, {key for key in KEYS if before[key] == "e7"})
        ranking.keep(left)
        self.assertEqual(first_homes(ranking, left), gone)
        ranking.update(ZONES, {}, 1.0)
        self.assertEqual(first_homes(ranking), before)

    def test_part_keeps_a_home_if_a_zone_or_most_engines_are_lost(self):
        ranking = make_ranking()
        for key in KEYS[:200]:
            first, second = ranking.homes(key, ZONES)[:2]
            self.assertNotEqual(ZONES[first], ZONES[second])
            kept = {e: z for e, z in ZONES.items() if z != ZONES[first]}
            self.assertEqual(ranking.homes(key, kept)[0], second)
        few = {e: ZONES[e] for e in ("e1", "e4", "e11")}
        for key in KEYS[:200]:
            self.assertEqual(len(set(ranking.homes(key, few)[:2])), 2)
        self.assertEqual(ranking.homes("part0", {"e3": "a"}), ["e3"])
        self.assertEqual(ranking.homes("part0", {"new": "a"}, {"new"}), ["new"])

    def test_slow_engines_are_home_to_fewer_parts(self):
        capacities = {e: 0.3 if e < "e2" else 1.1 for e in ZONES}
        homes = Counter(first_homes(make_ranking(capacities)).values())
        slow = [homes[e] for e in ZONES if e < "e2"]
        usual = [homes[e] for e in ZONES if e >= "e2"]
        ratio = sum(slow) / len(slow) / (sum(usual) / len(usual))
        self.assertAlmostEqual(ratio, 0.5, delta=0.15)

    def test_estimates_that_vary_a_little_change_no_weight(self):
        steps, rng = WeightSteps(), random.Random(3)
        speeds = [0.7, 0.7, 1.7] * 15
        for _ in range(50):
            varied = [s * rng.uniform(0.85, 1.1) for s in speeds]
            steps.update(dict(zip(ZONES, varied, strict=True)))
            self.assertEqual(steps.weights, {})

    def test_kept_ranks_are_bounded(self):
        ranking = make_ranking(settings=HomeSettings(max_keys=100))
        first_homes(ranking)
        self.assertEqual(len(ranking), 100)


class UnchangedPlacementTest(unittest.TestCase):
    """Guards against other decisions while homes are off, or for short shared parts."""

    # Of the release before the homes, for the loads of `digest`.
    DIGEST = "a0a0452f375d3dc1a6fc2f7e8aac098344593f7e2e668fb277f36c55d1e3fc5a"

    def digest(self, settings=SETTINGS, enabled=False):
        """Return a hash of the choices on seeded loads, by stated slowdowns."""
        rng, seen = random.Random(12), hashlib.sha256()
        loads = LoadTracker(PlacementSettings(homes=settings), "a")
        if enabled:
            loads.homes.enable()
        engines = [(f"u{n}", "abc"[n % 3]) for n in range(12)]
        for upstream, _ in engines:
            loads.note_report(upstream, 0, 0, 16, 0.0, 1.0, "s", 1)
        sent, now_s = [], 0.0
        for step in range(3_000):
            now_s += rng.expovariate(200.0)
            shared = rng.randrange(20)
            segments = ((f"s{shared}", 600), (f"own{step}", 300 + 100 * shared))
            prompt = PromptShape(900 + 100 * shared, rng.randrange(400), segments)
            permits = {"u0": PermitOutlook(0.1, 0.5)} if step % 5 == 0 else {}
            choice = loads.pick(engines, prompt, rng, now_s, permits, "s")
            seen.update(choice.encode())
            sent.append(loads.begin(choice, prompt, now_s))
            if step % 3 == 0:
                figures = rng.randrange(20), step % 7, 16, now_s, 1.0 + step % 4 / 2
                loads.note_report(choice, *figures, "s", 1)
            if step % 50 == 0:
                rows = [(u, rng.randrange(9_000), rng.randrange(5)) for u, _ in engines]
                loads.note_peer("r1", rows)
            if len(sent) > 60:
                ended = sent.pop(rng.randrange(60))
                if step % 4:
                    loads.note_first_byte(ended, now_s)
                loads.end(ended, now_s)
        return seen.hexdigest()

    def test_choices_are_those_of_the_release_before(self):
        self.assertEqual(self.digest(), self.DIGEST)
        short = HomeSettings(min_tokens=601)
        self.assertEqual(self.digest(short, enabled=True), self.DIGEST)

    def test_enabled_homes_are_chosen(self):
        self.assertNotEqual(self.digest(enabled=True), self.DIGEST)


class ReportsTest(unittest.TestCase):
    """Guards against sends to homes that an operator cannot see."""

    PROMPT = PromptShape(5_600, 200, (("part", 4_900), ("own", 700)))

    def test_sends_are_counted_by_home_and_tokens_that_are_read_again(self):
        loads, metrics = LoadTracker(PlacementSettings(), "a"), EdgeMetrics()
        reports = HomeReports(loads.homes, metrics)
        with mock.patch("carobstair.edge.home_reports.logger") as logger:
            reports.enable("s")
            reports.enable("t")
            engines = list(ZONES.items())
            rng = random.Random(1)
            first = loads.pick(engines, self.PROMPT, rng, 1.0)
            elsewhere = next(e for e in ZONES if e != first)
            for engine in (first, first, elsewhere):
                loads.begin(engine, self.PROMPT, 1.0)
            for _ in range(2):
                reports.log_sends()
                reports.export()
        counts = {"first": 2, "second": 0, "elsewhere": 1, "repeated_tokens": 4_900}
        self.assertEqual(
            logger.info.call_args_list,
            [
                mock.call("prompt_homes_enabled", reason="s"),
                mock.call("prompt_home_sends", **counts),
            ],
        )
        page = generate_latest(metrics.registry).decode()
        self.assertIn('home_sends_total{home="first"} 2.0', page)
        self.assertIn("home_repeated_tokens_total 4900.0", page)


class FleetTest(unittest.TestCase):
    """Guards against many routers that have one part read at several engines.

    They see each other's digests 1 to 4 s late.
    """

    def play(self, has_homes, states_slowdown, hot_per_s=0.0, load=0.45, **kwargs):
        """Play the load of 62 routers and 45 engines, in units of what these serve."""
        groups = []
        for number in range(30):
            part = load * (4.0 if number < 3 else 0.6) / 28.2
            many = 100 if number < 3 else 22
            name = f"w{number}"
            groups += [
                CallerGroup(name + "l", 160 * part, 5382, 6610, 384, many, 0.8),
                CallerGroup(name + "s", 176 * part, 198, 628, 294, 10, 0.4),
                CallerGroup(name + "m", 285 * part, 568, 1800, 24, 10, 0.4, 3.0),
            ]
        if hot_per_s:
            groups.append(CallerGroup("hot", hot_per_s, 4_900, 700, 200, 1, 0.6))
        return play_load(
            LoadPlan(
                tuple(groups),
                45,
                tuple(4.0 if n % 7 == 0 else 1.0 for n in range(62)),
                digest_s=3.0,
                digest_delay_s=1.0,
                tokens_per_s=1e9,
                spec=BatchEngineSpec(
                    24, 33, 0.00374, 0.0000893, 81_900.0, 2048, 526_194
                ),
                states_slowdown=states_slowdown,
                shares_segments=True,
                has_homes=has_homes,
                **{"seconds": 12.0, "zones": ("a", "b", "c"), **kwargs},
            )
        )

    def test_shared_parts_read_twice(self):
        for states_slowdown, part in ((False, 0.65), (True, 0.8)):
            with self.subTest(states_slowdown=states_slowdown):
                speeds = (0.7, 0.7, 1.7) if states_slowdown else ()
                before, after = (
                    self.play(has_homes, states_slowdown, speeds=speeds)
                    for has_homes in (False, True)
                )
                self.assertLess(after.repeated_tokens, part * before.repeated_tokens)
                self.assertGreater(after.fraction("in-aim"), before.fraction("in-aim"))
                # Two of three, if zones did not count.
                self.assertLess(after.other_zone_sends / after.requests, 0.67)

    def test_hot_part_that_needs_three_engines(self):
        for states_slowdown in (False, True):
            with self.subTest(states_slowdown=states_slowdown):
                report = self.play(True, states_slowdown, 70.0, 0.1)
                self.assertTrue(3 <= report.shared_reads["hot-0"] <= 20)
                self.assertGreater(report.fraction("in-aim", "hot"), 0.85)
                # The first seconds pass until routers have heard of the demand.
                late = sum(report.timeline[s]["late"] for s in range(8, 12))
                self.assertLess(late, 15)

    def test_shared_parts_read_twice_with_admission_by_room(self):
        # Placement drew two engines for each request, rarely the home of its part.
        before, after = (
            self.play(
                has_homes,
                False,
                admission=AdmissionSettings(work_conserving=True),
                share_s=0.2,
            )
            for has_homes in (False, True)
        )
        # Without homes one of the two is drawn from those that hold the part.
        self.assertLess(after.repeated_tokens, 0.5 * before.repeated_tokens)
        self.assertGreater(after.fraction("in-aim"), before.fraction("in-aim"))

    def test_work_of_the_busiest_engine(self):
        fleet = test_upstream_capacity.FleetTest()
        plan = fleet.make_plan(0.65, zones=("a", "b", "c"))
        report = play_load(replace(plan, has_homes=True))
        self.assertLess(report.balance(), 1.3)
        self.assertGreater(report.fraction("in-aim"), 0.93)

    def test_part_of_an_engine_that_leaves_and_returns(self):
        fleet = [LoadTracker(PlacementSettings(), z) for z in "abc" * 20]
        prompt = PromptShape(5_600, 200, (("part", 4_900), ("own", 700)))
        rng, homes = random.Random(5), []

        def send(zones, cold, now_s):
            """Send the prompt at each router, as if others' news were all late."""
            chosen = Counter()
            for loads in fleet:
                loads.homes.enable()
                args = list(zones.items()), prompt, rng, now_s, {}, "", cold
                engine = loads.pick(*args)
                chosen[engine] += 1
                loads.end(loads.begin(engine, prompt, now_s), now_s)
            homes.append(chosen.most_common(1)[0][0])
            self.assertLessEqual(len(chosen), 2)

        send(ZONES, (), 1.0)
        left = {e: z for e, z in ZONES.items() if e != homes[0]}
        for loads in fleet:
            loads.keep(set(left))
        send(left, (), 2.0)
        # It has returned, and is cold at first.
        send(ZONES, {homes[0]}, 3.0)
        send(ZONES, (), 60.0)
        self.assertNotEqual(homes[1], homes[0])
        self.assertEqual(homes[2], homes[1])
