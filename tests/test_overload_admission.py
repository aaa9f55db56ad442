"""Tests of placement and admission under loads that engines cannot serve.

They play requests on several routers and on engines with batch slots, and check what
the callers get.
"""

import random
import unittest

from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.scenario.batch_engine import BatchEngine, BatchEngineSpec, EngineJob
from carobstair.scenario.overload import CallerGroup, LoadPlan, play_load

# With seven engines of 16 slots, callers who ask for 1.5 times this load are served.
WORKSPACES = 10


def make_groups(load, hot=0):
    """Return long, short and tiny requests of ten workspaces.

    Parameters
    ----------
    load : float
        Multiple of the load that takes half of the engines' throughput.
    hot : int
        Workspaces that ask for six times as much as the others.
    """
    groups = []
    for number in range(WORKSPACES):
        rate = load * (3.0 if number == 0 else 0.7) / 10
        if number < hot:
            rate *= 6
        name = f"w{number}"
        groups += [
            CallerGroup(name, 12 * rate, 5382, 6610, 384, 10, 0.8),
            CallerGroup(name, 12 * rate, 198, 628, 294, 5, 0.4),
            CallerGroup(name, 20 * rate, 568, 1800, 24, 20, 0.4, 3.0),
        ]
    return tuple(groups)


class OverloadTest(unittest.TestCase):
    """Guards against an overload that stands in the queues of the engines.

    The shared throughput followed a configured one that was several times what the
    engines gave. They rejected every second request, three quarters of the others
    waited for over two seconds, and a tenth was served within the objective.
    """

    def test_twice_the_load_that_engines_serve(self):
        report = play_load(LoadPlan(make_groups(2.0)))
        self.assertEqual(report.rejected, 0)
        self.assertGreater(report.fraction("in-aim"), 0.4)
        self.assertLess(report.fraction("gave-up"), 0.02)
        waits_s = sorted(report.first_token_s)
        self.assertLess(waits_s[len(waits_s) // 2], 0.4)

    def test_three_times_the_load(self):
        report = play_load(LoadPlan(make_groups(3.0)))
        self.assertEqual(report.rejected, 0)
        self.assertGreater(report.fraction("in-aim"), 0.2)

    def test_load_that_engines_serve_is_not_refused(self):
        report = play_load(LoadPlan(make_groups(1.0)))
        self.assertGreater(report.fraction("in-aim"), 0.97)
        self.assertEqual(report.fraction("refused"), 0.0)

    def test_small_workspaces_are_served_beside_hot_ones(self):
        report = play_load(LoadPlan(make_groups(1.0, hot=2)))
        for number in range(2, WORKSPACES):
            served = report.fraction("in-aim", f"w{number}")
            self.assertGreater(served, 0.6, number)

    def test_engines_that_are_lost_under_load(self):
        plan = LoadPlan(make_groups(1.0), lost_engines=3, lost_at_s=6.0)
        report = play_load(plan)
        self.assertLess(report.rejected, 20)
        self.assertGreater(report.fraction("in-aim"), 0.55)

    def test_many_routers_that_hear_little_of_each_other(self):
        weights = (10.0, *[1.0] * 18)
        plan = LoadPlan(make_groups(2.0), router_weights=weights, digest_s=0.5)
        report = play_load(plan)
        self.assertEqual(report.rejected, 0)
        self.assertGreater(report.fraction("in-aim"), 0.25)


class BatchEngineTest(unittest.TestCase):
    """Guards against a model that serves more than an engine can."""

    def run_jobs(self, spec, prompts):
        """Return the times of first token and end of each job."""
        engine, times = BatchEngine("e", spec), []
        for prompt in prompts:
            row = []
            times.append(row)
            engine.submit(EngineJob(prompt, row.append, row.append))
        now_s = 0.0
        while not engine.idle:
            now_s = engine.step(now_s)
        return times

    def test_prompts_are_read_in_chunks_one_after_the_other(self):
        spec = BatchEngineSpec()
        prompt = PromptShape(20_480, 10)
        first, second = self.run_jobs(spec, [prompt, prompt])
        self.assertAlmostEqual(first[0], 20_480 / 56_600 + 10 * 0.00397, delta=0.002)
        self.assertAlmostEqual(second[0] / first[0], 2.0, delta=0.05)

    def test_requests_beyond_the_slots_wait(self):
        spec = BatchEngineSpec(slots=2)
        times = self.run_jobs(spec, [PromptShape(10, 100)] * 3)
        self.assertGreaterEqual(times[2][0], min(times[0][1], times[1][1]))

    def test_segments_that_are_kept_are_not_read_again(self):
        spec = BatchEngineSpec(slots=1)
        prompt = PromptShape(50_000, 1, (("shared", 50_000),))
        first, second = self.run_jobs(spec, [prompt, prompt])
        self.assertLess(second[0] - first[1], 0.01)

    def test_full_queue_rejects(self):
        engine = BatchEngine("e", BatchEngineSpec(queue=1))
        job = EngineJob(PromptShape(10, 1), lambda now_s: None, lambda now_s: None)
        self.assertTrue(engine.submit(job))
        self.assertFalse(engine.submit(job))


class OccupancyTest(unittest.TestCase):
    """Guards against placement by digests that are older than the requests run."""

    def setUp(self):
        self.loads = LoadTracker(PlacementSettings(report_lifetime_s=0.5), "a")

    def test_recent_report_replaces_what_peers_said(self):
        self.loads.note_peer("r1", [("u0", 0, 9)])
        self.assertEqual(self.loads.occupancy("u0", 1.0), 9)
        self.loads.note_report("u0", 3, 1, 16, 1.0)
        self.assertEqual(self.loads.occupancy("u0", 1.4), 4)
        self.assertEqual(self.loads.occupancy("u0", 1.6), 9)

    def test_own_requests_since_the_report_are_added(self):
        prompt = PromptShape(100, 10)
        sent = self.loads.begin("u0", prompt, 1.0)
        self.loads.note_report("u0", 5, 0, 16, 1.1)
        self.loads.begin("u0", prompt, 1.2)
        self.assertEqual(self.loads.occupancy("u0", 1.3), 6)
        self.loads.end(sent, 1.3)
        self.assertEqual(self.loads.occupancy("u0", 1.3), 5)

    def test_wait_grows_with_requests_beyond_the_slots(self):
        self.loads.note_report("u0", 10, 0, 16, 1.0)
        self.assertEqual(self.loads.queue_wait_s("u0", 16, 1.0), 0.0)
        self.loads.note_report("u0", 16, 4, 16, 1.0)
        self.assertAlmostEqual(self.loads.queue_wait_s("u0", 16, 1.0), 5 * 0.2)

    def test_engine_with_a_free_slot_is_preferred(self):
        self.loads.note_report("full", 16, 2, 16, 1.0)
        self.loads.note_report("free", 15, 0, 16, 1.0)
        picked = self.loads.pick(
            [("full", "a"), ("free", "b")], PromptShape(10, 10), random.Random(1), 1.0
        )
        self.assertEqual(picked, "free")


if __name__ == "__main__":
    unittest.main()
