"""Tests of the virtual-time simulation in which scenarios run."""

import unittest
from dataclasses import replace

from carobstair.core.queueing import WorkClass
from carobstair.scenario.measures import idle_while_waiting, pairwise_gap
from carobstair.scenario.plan import (
    EngineSpec,
    FaultEvent,
    FaultKind,
    LoadSpec,
    RouterSpec,
    Scenario,
    WorkspaceSpec,
)
from carobstair.scenario.world import World, run_world

LONG = WorkClass.LONG


def small_fleet(*faults: FaultEvent) -> Scenario:
    """Return two backlogged workspaces on two routers and two engines."""
    return Scenario(
        "small",
        tuple(RouterSpec(f"entry-{i}", f"z{i}") for i in (1, 2)),
        tuple(EngineSpec(f"engine-{i}", "draft", f"z{i}") for i in (1, 2)),
        (WorkspaceSpec("flood"), WorkspaceSpec("bulk")),
        (
            LoadSpec("flood", "draft", LONG, (60, 200), (20, 40), clients=30),
            LoadSpec("bulk", "draft", LONG, (60, 200), (20, 40), clients=12),
        ),
        faults,
        duration_s=20.0,
    )


class WorldTest(unittest.TestCase):
    """Guards against runs that can't be reproduced or that serve nothing."""

    def test_same_seed_gives_the_same_run(self):
        first, second = run_world(small_fleet()), run_world(small_fleet())
        self.assertEqual(first.ended, second.ended)
        self.assertEqual(first.sent_bytes, second.sent_bytes)
        other = run_world(small_fleet().with_seed(2))
        self.assertNotEqual(first.ended, other.ended)

    def test_answers_are_complete_after_an_engine_crash(self):
        crash = FaultEvent(8.0, FaultKind.CRASH, ("engine-1",))
        log = run_world(small_fleet(crash))
        answered = [e for e in log.ended if e.outcome == "answered"]
        self.assertGreater(len(answered), 20)
        self.assertTrue(all(e.complete for e in answered))

    def test_paused_router_handles_nothing_until_it_resumes(self):
        world = World(
            small_fleet(FaultEvent(5.0, FaultKind.PAUSE, ("entry-1",), (), 4))
        )
        world.clock.run_until(5.1)
        sent = world.network.sent_messages["entry-1"]
        world.clock.run_until(8.9)
        self.assertEqual(world.network.sent_messages["entry-1"], sent)
        world.clock.run_until(10.0)
        self.assertGreater(world.network.sent_messages["entry-1"], sent)

    def test_partition_stops_messages_in_the_stated_direction_only(self):
        scenario = small_fleet()
        world = World(scenario)
        world.network.cut(["entry-1"], ["entry-2"])
        received = []
        for pair in (("entry-1", "entry-2"), ("entry-2", "entry-1")):
            world.network.send(*pair, 1, lambda pair=pair: received.append(pair))
        world.clock.run_until(0.04)
        self.assertEqual(received, [("entry-2", "entry-1")])


class MeasuresTest(unittest.TestCase):
    """Guards against measures that miss unfairness or idle capacity."""

    def test_gap_counts_only_spans_in_which_both_wait(self):
        log = run_world(small_fleet())
        pair = ("bulk", "flood")
        key = {name: ("draft", name) for name in pair}
        log.samples = [
            replace(
                log.samples[0],
                at_s=float(i),
                service={key["flood"]: flood, key["bulk"]: 0.0},
                waiting=frozenset(key[name] for name in waiting_names),
            )
            for i, (flood, waiting_names) in enumerate(
                [(0, pair), (30, pair), (90, ["flood"]), (95, pair), (100, pair)]
            )
        ]
        self.assertEqual(pairwise_gap(log, "draft", pair, 0.0, 10.0), 30.0)

    def test_idle_while_waiting_sees_a_router_that_serves_nobody(self):
        world = World(small_fleet())
        for router in world.routers.values():
            router.node.release = lambda grant, now_s: []
        log = world.run()
        self.assertGreater(idle_while_waiting(log, "draft", 10.0, 20.0), 0.5)


if __name__ == "__main__":
    unittest.main()
