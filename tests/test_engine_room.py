"""Tests of the room at the engines as a router knows it."""

import unittest

from carobstair.core.admission import EngineRoom
from carobstair.core.engine_load import PromptShape
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


if __name__ == "__main__":
    unittest.main()
