"""Tests of the room at the engines as a router knows it."""

import unittest

from carobstair.core.admission import EngineRoom
from carobstair.core.engine_load import PromptShape
from carobstair.core.routing import EngineShape, ServicePool
from carobstair.core.share_messages import PoolDemand
from test_directory import make_entry
from test_send_limits import make_dispatcher

PROMPT = PromptShape(100, 10)
SLOTS = 2


class EngineRoomTest(unittest.TestCase):
    """Guards against loads that one engine out of order makes for all."""

    def setUp(self):
        self.dispatcher = make_dispatcher()
        self.others = None
        for number in range(3):
            entry = make_entry(f"u{number}", service="m", slots=SLOTS)
            self.dispatcher.directory.put(entry, 1, 0.0)
        self.room = EngineRoom(self.dispatcher, lambda service, now_s: self.others)

    def test_stalled_engine_is_left_out(self):
        self.dispatcher.loads.begin("u0", PROMPT, 0.0)
        load = self.room.load("m", 5.0)
        self.assertEqual((load.engines, load.slots), (2, 2 * SLOTS))
        self.assertEqual(load.slots_used, 0.0)

    def test_engine_with_a_known_queue_is_full_and_not_stalled(self):
        # Without its load, the others were overfilled as well.
        self.others = PoolDemand({}, samples=1, engines={"u0": 9})
        self.dispatcher.loads.begin("u0", PROMPT, 0.0)
        load = self.room.load("m", 5.0)
        self.assertEqual(load.engines, 3)
        self.assertEqual(load.full, {"u0"})
        # One engine counts up to one and a half of its slots.
        self.assertAlmostEqual(load.slots_used, 1.5 / 3)

    def test_unreachable_engine_is_left_out(self):
        self.dispatcher.health.note_unreachable("u1", 0.0)
        self.assertEqual(self.room.load("m", 0.1).engines, 2)

    def test_own_requests_since_the_load_was_read_are_counted(self):
        self.others = PoolDemand({}, samples=1, engines={"u0": 1, "u1": 2, "u2": 2})
        self.assertTrue(self.room.has_room("m", PROMPT, 1.0, 0.0))
        sent = self.dispatcher.loads.begin("u0", PROMPT, 0.0)
        self.assertFalse(self.room.has_room("m", PROMPT, 1.0, 0.01))
        self.dispatcher.loads.end(sent, 0.02)
        self.assertTrue(self.room.has_room("m", PROMPT, 1.0, 0.02))

    def test_prompt_that_is_not_read_in_time_has_no_room(self):
        self.assertFalse(self.room.has_room("m", PromptShape(10**6, 1), 1.0, 0.0))

    def test_requests_are_placed_at_engines_with_a_free_slot(self):
        self.others = PoolDemand({}, samples=1, engines={"u0": 5, "u1": 2})
        self.assertEqual(self.room.narrow("m", {"u0", "u1", "u2"}, PROMPT, 0.0), ["u2"])

    def test_full_engines_that_hold_prompts_are_left_to_the_capacity_estimates(self):
        # Without them, prompts were read again by whichever engine had a free slot.
        self.others = PoolDemand({}, samples=1, engines={"u0": 5, "u1": 2})
        self.dispatcher.loads.note_report("u0", 1, 0, SLOTS, 0.0, 1.0, "m", 1)
        ids = {"u0", "u1", "u2"}
        self.assertEqual(set(self.room.narrow("m", ids, PROMPT, 0.0)), ids)


class HomeRoomTest(unittest.TestCase):
    """Guards against shared parts that are read wherever there is a free slot.

    Of 56 engines, two remained for each request, so the home was rarely among them.
    """

    SHARED = PromptShape(5_600, 200, (("part", 4_900), ("own", 700)))
    POOL = ServicePool("m", engine=EngineShape(16, 0))

    def setUp(self):
        self.dispatcher = make_dispatcher()
        self.dispatcher.loads.homes.enable()
        self.queues = {}
        for number in range(56):
            entry = make_entry(f"u{number}", service="m", slots=16)
            self.dispatcher.directory.put(entry, 1, 0.0)
        EngineRoom(
            self.dispatcher,
            lambda service, now_s: PoolDemand({}, samples=1, engines=self.queues),
        )

    def place(self, prompt):
        """Return where 30 requests go, none of which another knows of."""
        choose = self.dispatcher.choose
        return {
            choose(self.POOL, prompt, (), step / 10).upstream_id for step in range(30)
        }

    def test_requests_go_to_the_free_home_of_their_part(self):
        (home,) = self.place(self.SHARED)
        self.queues = {home: 16}
        # The next in rank, and no engine that was drawn at random.
        (second,) = self.place(self.SHARED)
        self.assertNotEqual(second, home)
        self.queues = {}
        self.assertEqual(self.place(self.SHARED), {home})

    def test_requests_without_shared_parts_are_spread(self):
        self.assertGreater(len(self.place(PROMPT)), 15)


if __name__ == "__main__":
    unittest.main()
