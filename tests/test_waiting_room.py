"""Tests of the queue of requests that wait at a router for room at the engines."""

import unittest

from carobstair.core.admission import (
    AdmissionRequest,
    AdmissionSettings,
    EngineLoad,
    WaitingRequest,
    WaitingRoom,
)


class WaitingRoomTest(unittest.TestCase):
    """Guards against a queue that one workspace fills, or that serves the late."""

    def setUp(self):
        self.room = WaitingRoom(AdmissionSettings(max_waiting=4))

    def offer(self, number, workspace, tokens=100.0, latest_s=1.0, **fields):
        asked = AdmissionRequest("m", workspace, tokens, 1.0, EngineLoad)
        request = WaitingRequest(number, asked, 1000.0, 0.0, latest_s, **fields)
        refused = self.room.offer(request, 0.0)
        return None if refused is None else refused.request_id

    def begin_all(self):
        """Return the numbers of the waiting requests in the order they begin."""
        order = []
        while (request := self.room.next(0.0)) is not None:
            self.room.begin(request)
            order.append(request.request_id)
        return order

    def test_workspace_that_began_less_of_its_share_is_first(self):
        for number, workspace in enumerate("aab"):
            self.offer(number, workspace)
        self.assertEqual(self.begin_all(), [0, 2, 1])

    def test_large_requests_do_not_wait_for_small_ones(self):
        self.offer(0, "a", tokens=9000.0)
        self.offer(1, "a", tokens=10.0)
        self.assertEqual(self.begin_all(), [0, 1])

    def test_urgent_kind_of_a_workspace_is_first(self):
        self.offer(0, "a", priority=2)
        self.offer(1, "a", priority=0)
        self.assertEqual(self.begin_all(), [1, 0])

    def test_full_room_refuses_the_workspace_that_has_most(self):
        for number in range(4):
            self.offer(number, "hot")
        self.assertEqual(self.offer(4, "hot"), 4)
        self.assertEqual(self.offer(5, "small"), 3)
        self.assertEqual(len(self.room), 4)

    def test_request_that_would_be_late_neither_waits_nor_begins(self):
        self.assertEqual(self.offer(0, "a", latest_s=0.0), 0)
        self.offer(1, "a", latest_s=0.1)
        self.assertIsNone(self.room.next(0.2))
        self.assertEqual([r.request_id for r in self.room.expired(0.2)], [1])
        self.assertEqual(len(self.room), 0)

    def test_cancelled_request_is_removed_at_once(self):
        self.offer(0, "a")
        self.assertTrue(self.room.remove(0))
        self.assertFalse(self.room.remove(0))
        self.assertIsNone(self.room.next(0.0))

    def test_room_without_places_refuses(self):
        self.room = WaitingRoom(AdmissionSettings())
        self.assertEqual(self.offer(0, "a"), 0)


if __name__ == "__main__":
    unittest.main()
