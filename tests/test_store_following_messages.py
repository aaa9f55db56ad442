"""Tests of the messages between routers that leave the watching to a few of them."""

import asyncio
import random
import unittest

from carobstair.core.document_bounds import MAX_DOCUMENT_BYTES
from carobstair.core.fleet_view import (
    BASE_KINDS,
    Stamp,
    StateKind,
    StoreAvailability,
    StoreChange,
)
from carobstair.core.messages import FollowNews, StateNews, StatePull, StateRow, encode
from carobstair.core.store_following import (
    MAX_STATE_ROWS,
    FollowingSettings,
    ReadStamps,
    StoreFollowing,
    contiguous_answers,
    select_rows,
)
from carobstair.core.store_following.announcers import Announced, Announcers
from carobstair.edge.state_store import StoreTimedOut
from carobstair.platform.store import PlatformStore
from test_store_restore import make_view

EVACUATIONS = StateKind.EVACUATIONS


class AnswerTest(unittest.TestCase):
    """Guards against answers to pulls that leave something out."""

    def setUp(self):
        self.view, self.reads = make_view(), ReadStamps()

    def list(self, *changes, revision=100):
        kind = EVACUATIONS
        self.view.apply_list(kind, changes, revision, None, 0.0, 0)
        self.reads.note_list(kind, Stamp(0, revision))

    def answer(self, revision):
        pull = StatePull({"evacuations": revision}, {}, True)
        return list(contiguous_answers(self.view, self.reads, pull, True))

    def test_removal_before_the_list_of_the_sender_reaches_the_receiver(self):
        # Neither the list nor the newest change of the sender shows the removal.
        self.list(StoreChange("a", 90, b"{}"))
        (news,) = self.answer(95)
        self.assertEqual(
            (news.complete_at, [r.name for r in news.rows]), ((0, 100), ["a"])
        )
        receiver = make_view()
        known = [StoreChange("a", 90, b"{}"), StoreChange("b", 93, b"{}")]
        receiver.apply(EVACUATIONS, known, None, 0.0)
        rows = [StoreChange(r.name, r.revision, r.spec, r.era) for r in news.rows]
        receiver.apply_list(EVACUATIONS, rows, 100, None, 0.0, 0)
        self.assertEqual(receiver.directory.evacuated, {"a"})

    def test_peer_that_missed_a_removal_does_not_bring_the_object_back(self):
        self.list(StoreChange("a", 90, b"{}"))
        rows = [StateRow("a", 90, b"{}"), StateRow("b", 95, b"{}")]
        rows.append(StateRow("c", 101, b"{}"))
        for complete_at, names in ((None, ["a", "c"]), ((0, 99), None)):
            news = StateNews("evacuations", rows, True, complete_at)
            selected = select_rows(news, self.view, self.reads)
            self.assertEqual(selected and [row.name for row in selected], names)

    def test_long_answer_says_how_far_it_goes(self):
        self.list()
        changes = [StoreChange(f"z{n}", 101 + n, b"{}") for n in range(450)]
        self.view.apply(EVACUATIONS, changes, None, 0.0)
        self.reads.note_changes(EVACUATIONS, Stamp(0, 100), Stamp(0, 600), True)
        (news,) = self.answer(100)
        self.assertEqual(len(news.rows), MAX_STATE_ROWS)
        self.assertEqual((news.since, news.through), ((0, 100), (0, 500)))
        (rest,) = self.answer(500)
        self.assertEqual((len(rest.rows), rest.through), (50, (0, 600)))
        self.assertEqual(self.answer(600), [])

    def test_large_answer_does_not_exceed_what_a_peer_may_send(self):
        # The receiver would close the connection of a peer that sends 512 KiB at once.
        self.list()
        changes = [StoreChange(f"z{n}", 101 + n, bytes(100_000)) for n in range(9)]
        # The largest document must get through as well.
        changes[4] = StoreChange("z4", 105, bytes(MAX_DOCUMENT_BYTES))
        sizes, received = [], {}
        for kind in BASE_KINDS:
            self.view.apply_list(kind, [], 100, None, 0.0, 0)
            self.view.apply(kind, changes, None, 0.0)
            self.reads.note_list(kind, Stamp(0, 100))
            self.reads.note_changes(kind, Stamp(0, 100), Stamp(0, 200), True)
            received[kind.value] = []
        known = dict.fromkeys(received, 100)
        while min(known.values()) < 200:
            pull = StatePull(known, {}, True)
            answers = list(contiguous_answers(self.view, self.reads, pull, True))
            sizes.append(sum(len(encode(news, "r1", 1, 0, 0)) for news in answers))
            self.assertTrue(answers)
            for news in answers:
                self.assertEqual(news.since, (0, known[news.kind]))
                received[news.kind] += [row.name for row in news.rows]
                known = {**known, news.kind: news.through[1]}
        self.assertLess(max(sizes), 512 * 1024)
        for names in received.values():
            self.assertEqual(names, [change.name for change in changes])

    def test_removals_that_are_no_longer_kept_take_a_whole_list(self):
        self.list()
        changes = [StoreChange(f"z{n}", 101 + n, None) for n in range(2100)]
        self.view.apply(EVACUATIONS, changes, None, 0.0)
        self.reads.note_changes(EVACUATIONS, Stamp(0, 100), Stamp(0, 2300), True)
        self.assertIsNotNone(self.answer(150)[0].complete_at)
        self.assertIsNone(self.answer(250)[0].complete_at)


class AnnouncerTest(unittest.TestCase):
    """Guards against reliance on announcements that say too little."""

    def test_sender_that_lacks_a_kind_of_the_receiver_is_not_relied_upon(self):
        # The receiver would keep old roll-outs.
        kinds = (*BASE_KINDS, StateKind.ROLLOUTS)
        for sent, expected in ((BASE_KINDS, ([], ["r1"])), (kinds, (["r1"],) * 2)):
            stamps = [1] * len(sent)
            news = FollowNews([0] * len(sent), stamps, stamps, True)
            good = []
            for own in (kinds, BASE_KINDS):
                announcers = Announcers(FollowingSettings())
                announcers.note("r1", Announced.of(news, own, 0.0))
                good.append(announcers.good(1.0))
            self.assertEqual(tuple(good), expected)

    def test_call_that_timed_out_counts_as_failing_at_once(self):
        # Waiting 0.5 s more would delay the routers that rely on this one.
        for timed_out in (True, False):
            availability = StoreAvailability(2.0)
            rng, settings = random.Random(1), FollowingSettings()
            following = StoreFollowing(
                "r0", "a", BASE_KINDS, settings, availability, rng, is_enabled=True
            )
            for kind in BASE_KINDS:
                following.reads.note_list(kind, Stamp(0, 1))
            availability.note_success(9.9)
            following.note_failure(StateKind.ROUTING, timed_out, 10.0)
            self.assertIs(following.announce(10.1).answers, not timed_out)
            self.assertFalse(following.announce(10.6).answers)

    def test_follower_that_did_not_notice_an_outage_does_not_end_the_grace(self):
        # Upstreams that expired during the outage would be removed at once.
        cases = (
            ([(True, True), (True, False)], False),
            ([(True, False), (True, True)], False),
            ([(True, True), (False, False)], True),
            ([(False, True)], None),
        )
        for conditions, expected in cases:
            announcers = Announcers(FollowingSettings())
            for number, (answers, steady) in enumerate(conditions):
                news = FollowNews([0], [1], [1], answers, steady)
                announced = Announced.of(news, BASE_KINDS[:1], 0.0)
                announcers.note(f"r{number}", announced)
            self.assertIs(announcers.is_steady(1.0), expected)


class TimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a silent store that is taken for one that refuses calls."""

    async def test_watch_without_an_answer_is_told_from_a_refused_one(self):
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1")
        host, port = server.sockets[0].getsockname()
        store = PlatformStore(f"{host}:{port}", lambda operation, outcome: None)
        with self.assertRaises(StoreTimedOut):
            await store.watch(StateKind.ROUTING, 1, 0.01)
        await store.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
