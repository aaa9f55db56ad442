"""Tests of capacity shares and their transfer."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from carobstair.core.messages import InUseEntry, PeerAddress, ShareTransfer
from carobstair.core.shares import Epoch, ShareTable

GRANT_EXPIRY_S = 11.0


def epoch(number: int, names: str, departed=()) -> Epoch:
    """Return an epoch whose members have one-letter names."""
    members = tuple(PeerAddress(n, 1, "127.0.0.1", 1, 2, "lac") for n in names)
    return Epoch(number, members, departed)


class EpochTest(unittest.TestCase):
    """Guards against shares that add up to more than the limit."""

    @given(st.integers(1, 30), st.integers(1, 200))
    def test_shares_add_up_to_the_limit(self, count, limit):
        members = [PeerAddress(f"n{i}", 1, "h", 1, 2, "z") for i in range(count)]
        found = Epoch(1, tuple(members))
        shares = [found.share((m.instance, 1), "e1", limit, 0, 0.0) for m in members]
        self.assertEqual(sum(s.request_slots for s in shares), limit)


class ShareTableTest(unittest.TestCase):
    """Guards against use of a share that another member may still use."""

    def test_share_grows_only_after_every_former_member_acknowledged(self):
        table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        table.learn(epoch(1, "ab"), 0.0)
        table.acknowledge(("b", 1), 1, 0.0)
        self.assertEqual(table.share("e1", 8, 0, 0.0).request_slots, 4)
        table.learn(epoch(2, "a", (("b", 1),)), 5.0)
        table.settle(5.0 + GRANT_EXPIRY_S - 0.1)
        self.assertEqual(table.share("e1", 8, 0, 0.0).request_slots, 4)
        table.settle(5.0 + GRANT_EXPIRY_S)
        self.assertEqual(table.share("e1", 8, 0, 0.0).request_slots, 8)

    def test_acknowledgement_of_another_epoch_does_not_count(self):
        table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        table.learn(epoch(2, "ab"), 0.0)
        table.acknowledge(("b", 1), 1, 0.0)
        table.acknowledge(("b", 1), 3, 0.0)
        self.assertTrue(table.in_transition)

    def test_acknowledgement_of_the_former_epoch_does_not_settle_the_next(self):
        table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        table.learn(epoch(1, "ab"), 0.0)
        table.acknowledge(("b", 1), 1, 0.0)
        table.learn(epoch(2, "ab"), 1.0)
        self.assertTrue(table.in_transition)

    def test_removed_member_that_returns_has_to_acknowledge_again(self):
        table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        table.learn(epoch(1, "a", (("b", 1),)), 0.0)
        table.learn(epoch(2, "ab"), 1.0)
        table.settle(1.0 + 2 * GRANT_EXPIRY_S)
        self.assertTrue(table.in_transition)

    def test_missed_epoch_does_not_keep_a_table_unsettled(self):
        table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        table.learn(epoch(1, "ab"), 0.0)
        table.acknowledge(("b", 1), 1, 0.0)
        table.learn(epoch(3, "a"), 50.0)
        self.assertFalse(table.in_transition)


class ShareTransferTest(unittest.TestCase):
    """Guards against a share that two processes use at once."""

    def setUp(self):
        self.table = ShareTable(("a", 1), GRANT_EXPIRY_S)
        self.table.learn(epoch(3, "ab"), 0.0)
        self.table.acknowledge(("b", 1), 3, 0.0)

    def slots(self):
        return self.table.share("e1", 8, 0, 0.0).request_slots

    def test_receiver_gets_what_the_leaving_member_no_longer_uses(self):
        used = [InUseEntry("e1", 3, 0)]
        self.assertTrue(self.table.receive(ShareTransfer(3, "b", 1, 1, used)))
        self.assertEqual(self.slots(), 5)
        self.assertTrue(self.table.receive(ShareTransfer(3, "b", 1, 2)))
        self.assertFalse(self.table.receive(ShareTransfer(3, "b", 1, 1, used)))
        self.assertEqual(self.slots(), 8)

    def test_transfer_under_another_epoch_is_refused(self):
        self.assertFalse(self.table.receive(ShareTransfer(2, "b", 1, 1)))
        self.assertFalse(self.table.receive(ShareTransfer(4, "b", 1, 1)))
        self.assertEqual(self.slots(), 4)

    def test_transfer_does_not_outlive_its_epoch(self):
        self.table.receive(ShareTransfer(3, "b", 1, 1))
        self.table.learn(epoch(4, "ac", (("b", 1),)), 1.0)
        self.table.acknowledge(("c", 1), 4, 1.0)
        self.table.settle(1.0 + GRANT_EXPIRY_S)
        self.assertEqual(self.slots(), 4)

    def test_given_away_share_stays_closed_in_later_epochs(self):
        self.table.give_away()
        self.table.learn(epoch(4, "ab"), 1.0)
        self.table.acknowledge(("b", 1), 4, 1.0)
        self.assertEqual(self.slots(), 0)
