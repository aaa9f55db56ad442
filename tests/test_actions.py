"""Tests of keyed actions on virtual time."""

import random
import unittest
from collections import Counter

from action_world import Faults, World
from carobstair.core import action_events as ev
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import LocalAttempts, RecordState, decode_record
from carobstair.core.actions import ActionMachine
from carobstair.core.refusals import Ran, Refusal, refuse

ACTIONS = 3000
# The one refusal that speaks of this request only: without the store nobody can
# tell what an earlier request with the key did.
PER_REQUEST = ("record-store-unavailable", "key-reused")
CALM = Faults(**dict.fromkeys(Faults.__dataclass_fields__, 0.0))


def is_no(result):
    """Return whether a result says that the request did not run."""
    return isinstance(result, Refusal) and result.kind.ran is Ran.NO


def drive(world):
    """Send actions through kills, partitions and outages of the store."""
    chooser = random.Random(world.seed + 1)
    names = list(world.routers)
    for number in range(ACTIONS):
        start_s = chooser.random() * 600
        for _ in range(chooser.randint(1, 4)):
            delay_s = start_s + chooser.choice((0, 0.01, 0.3, 2, 8, 30)) * (
                chooser.random()
            )
            body = "other" if chooser.random() < 0.03 else "b"
            patience_s = chooser.choice((0.05, 0.4, 2, 20))
            leaves = chooser.random() < 0.3

            def send(key=f"k{number}", args=(body, patience_s, leaves)):
                live = [n for n in names if world.routers[n].alive]
                world.call(chooser.choice(live), key, *args)

            world.at(delay_s, send)
    for _ in range(60):
        at_s, name = chooser.random() * 600, chooser.choice(names)
        kind = chooser.choice(("kill", "cut", "store"))
        schedule_fault(world, kind, at_s, name, chooser.random() * 6)


def schedule_fault(world, kind, at_s, name, length_s):
    """Let a router die or be cut off, or the store be down, for some time."""

    def kill():
        if sum(r.alive for r in world.routers.values()) > 1:
            world.kill(name)
            world.at(length_s, lambda: world.start(name))

    def cut():
        router = world.routers[name]
        router.cut = True
        world.at(length_s, lambda: setattr(router, "cut", False))

    def store():
        world.store_down = True
        world.at(length_s, lambda: setattr(world, "store_down", False))

    world.at(at_s, {"kill": kill, "cut": cut, "store": store}[kind])


class RandomisedActionsTest(unittest.TestCase):
    """Guards against doubled runs, false "not run" and lost answers under faults."""

    def test_thousands_of_actions_through_faults(self):
        for seed in (1, 5):
            with self.subTest(seed=seed):
                world = World(seed)
                drive(world)
                world.run()
                self.check(world)

    def check(self, world):
        runs = Counter(world.journal)
        self.assertEqual([k for k, n in runs.items() if n > 1], [])
        silent = [c for c in world.calls if c.result is None]
        self.assertEqual(silent, [], "callers without an answer")
        for call in world.calls:
            if call.body == "other" or not isinstance(call.result, Refusal):
                continue
            if is_no(call.result) and call.result.kind.name not in PER_REQUEST:
                ran = any(
                    s.key == call.key and s.ran and s.sent_s <= call.answered_s
                    for s in world.sends
                )
                self.assertFalse(ran, f"{call.key}: {call.result.kind.name}")
        self.check_replays(world, runs)

    def check_replays(self, world, runs):
        """Every outcome that a router lived to write is given out again."""
        world.faults = CALM
        first = len(world.calls)
        for number, (key, (router, body)) in enumerate(world.recorded.items()):
            found = world.store.get(key)
            written = found and decode_record(found[1]).state is RecordState.DONE
            if router.alive or written:
                args = ("r0", key, body)
                world.at(number * 0.1, lambda args=args: world.call(*args))
        world.run()
        self.assertGreater(len(world.calls) - first, ACTIONS / 2)
        for call in world.calls[first:]:
            number = world.journal.index(call.key) + 1
            self.assertEqual(call.result.body, b"%d" % number)
        for call in world.calls:
            if getattr(call.result, "body", None) is not None:
                number = world.journal.index(call.key) + 1
                self.assertEqual(call.result.body, b"%d" % number)
        self.assertEqual(Counter(world.journal), runs)


class ActionStepsTest(unittest.TestCase):
    """Guards each single step against a kill, a delay, a repeat or a crossing."""

    def world(self, **faults):
        return World(5, 2, Faults(**{**vars(CALM), **faults}))

    def test_callers_at_once_and_later_get_one_run(self):
        world = self.world()
        for delay_s in (0, 0, 0.01, 0.05, 30, 3000):
            for name in ("r0", "r1"):
                world.at(delay_s, lambda n=name: world.call(n, "k"))
        world.run()
        self.assertEqual(world.journal, ["k"])
        self.assertEqual({c.result.body for c in world.calls}, {b"1"})

    def test_kill_at_every_step_never_doubles(self):
        for step in range(60):
            world = self.world()
            world.call("r0", "k")
            world.at(step * 0.03, lambda w=world: w.kill("r0"))
            world.at(step * 0.03 + 0.5, lambda w=world: w.start("r0"))
            world.at(step * 0.03 + 0.6, lambda w=world: w.call("r0", "k"))
            world.at(step * 0.03 + 0.6, lambda w=world: w.call("r1", "k"))
            world.run()
            self.assertLessEqual(len(world.journal), 1, step)
            for call in world.calls[1:]:
                self.assertFalse(is_no(call.result) and world.journal, step)

    def test_lost_store_answers_are_settled(self):
        world = self.world(store_answer_lost=1.0)
        world.call("r0", "k")
        world.at(1.5, lambda: setattr(world.faults, "store_answer_lost", 0.0))
        world.run()
        world.call("r1", "k")
        world.run()
        self.assertLessEqual(len(world.journal), 1)
        self.assertTrue(world.calls[-1].result.body)

    def test_store_down_refuses_and_nothing_is_sent(self):
        world = self.world(store_lost=1.0)
        world.call("r0", "k")
        world.run()
        self.assertEqual(world.calls[0].result.kind.name, "record-store-unavailable")
        self.assertEqual(world.sends, [])

    def test_store_lost_after_the_send_still_answers_here_and_there(self):
        world = self.world()
        world.call("r0", "k")
        world.run(until_s=0.0)
        while not world.sends:
            world.run(until_s=world.now_s + 0.01)
            world.now_s += 0.01
        world.store_down = True
        world.at(5.0, lambda: world.call("r1", "k"))
        world.run(until_s=20.0)
        self.assertEqual([c.result.body for c in world.calls], [b"1", b"1"])
        world.store_down = False
        world.run()
        record = decode_record(world.store["k"][1])
        self.assertIs(record.state, RecordState.DONE)

    def test_lost_late_and_crossed_answers_are_unknown_to_all(self):
        for fault in ("ledger_answer_lost", "ledger_late", "ledger_crossed"):
            world = self.world(**{fault: 1.0})
            world.call("r0", "k")
            world.at(0.1, lambda w=world: w.call("r1", "k"))
            world.run()
            world.call("r1", "k")
            world.run()
            names = {c.result.kind.name for c in world.calls}
            self.assertEqual(names, {"answer-lost"}, fault)
            self.assertEqual(world.journal, ["k"], fault)

    def test_action_that_was_not_run_frees_its_key(self):
        world = self.world(ledger_refuses=1.0)
        world.call("r0", "k")
        world.run()
        self.assertEqual(world.calls[0].result.kind.name, "upstream-refused")
        self.assertEqual(world.store, {})
        world.faults.ledger_refuses = 0.0
        world.call("r1", "k")
        world.run()
        self.assertEqual(world.calls[1].result.body, b"1")

    def test_unsent_record_is_taken_over_while_its_delete_is_lost(self):
        world = self.world(ledger_refuses=1.0)
        world.call("r0", "k")
        world.run(until_s=0.0)
        while world.calls[0].result is None:
            world.run(until_s=world.now_s + 0.01)
            world.now_s += 0.01
        world.faults = CALM
        world.routers["r0"].runs["k"].effects.clear()
        world.call("r1", "k")
        world.run(until_s=world.now_s + 30)
        self.assertEqual(world.journal, ["k"])
        self.assertEqual(world.calls[1].result.body, b"1")

    def test_caller_during_the_release_gets_the_run_of_another_router(self):
        world = self.world(ledger_refuses=1.0, store_lost=0.0)
        world.call("r0", "k")
        while world.calls[0].result is None:
            world.run(until_s=world.now_s + 0.01)
            world.now_s += 0.01
        releasing = world.routers["r0"].runs["k"]
        releasing.effects.clear()
        world.faults = CALM
        world.call("r1", "k")
        world.run(until_s=world.now_s + 30)
        world.call("r0", "k")
        world.run()
        self.assertEqual([c.result.body for c in world.calls[1:]], [b"1", b"1"])

    def test_caller_that_leaves_does_not_abandon_a_sent_action(self):
        world = self.world()
        world.call("r0", "k", patience_s=1.2, leaves=True)
        world.run()
        self.assertEqual(world.journal, ["k"])
        world.call("r1", "k")
        world.run()
        self.assertEqual(world.calls[1].result.body, b"1")

    def test_action_told_as_not_run_is_not_sent_when_its_record_shows_up(self):
        for abandoned, now_s in ((True, 5.0), (False, 10.0)):
            attempts = LocalAttempts(("r9", 1), random.Random(1))
            machine = ActionMachine("b", attempts, ActionSettings(), 10.0)
            machine.begin()
            machine.on(ev.RecordMissing(), 0, 0)
            [create] = machine.on(ev.SlotGranted(), 0, 0)
            machine.on(ev.StoreNoAnswer(), 1, 0)
            if abandoned:
                self.assertTrue(is_no(machine.deadline_refusal(only_caller=True)))
                machine.abandon()
            effects = machine.on(ev.RecordFound(create.record, 1), now_s, 0)
            self.assertEqual(effects[0], ev.ReleaseSlot())
            self.assertTrue(is_no(effects[1].result))
            self.assertTrue(attempts.was_not_sent(create.record.attempt_id))

    def test_other_body_is_refused(self):
        world = self.world()
        world.call("r0", "k", "one")
        world.call("r0", "k", "two")
        world.run()
        world.call("r1", "k", "three")
        world.run()
        names = [c.result.kind.name for c in world.calls[1:]]
        self.assertEqual(names, ["key-reused", "key-reused"])

    def test_refused_wait_looks_whether_another_router_ran_it(self):
        world = self.world()
        attempts = LocalAttempts(("r9", 1), random.Random(1))
        machine = ActionMachine("b", attempts, ActionSettings(), 10.0)
        machine.begin()
        self.assertEqual(machine.on(ev.RecordMissing(), 0, 0), [ev.AcquireSlot()])
        refused = ev.SlotRefused(refuse("queue-full"))
        self.assertEqual(machine.on(refused, 0, 0), [ev.ReadRecord()])
        world.call("r0", "k")
        world.run()
        found = ev.RecordFound(decode_record(world.store["k"][1]), 2)
        [finish] = machine.on(found, 0, 0)
        self.assertEqual(finish.result.body, b"1")
        self.assertIs(machine.phase, Phase.ENDED)


if __name__ == "__main__":
    unittest.main()
