"""Property tests of the state machines on which the guarantees depend.

They cover the configuration in force, the divided send limits and resumed streams.
"""

import json
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker, PlacementSettings
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.send_limits import (
    ColdSendLimit,
    ResendLimit,
    SendLimitSettings,
)
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.edge.event_stream import EventSplitter
from carobstair.platform.documents import decode_routing, decode_upstream
from platform_standins import make_config, make_upstream_entry

SETTINGS = SendLimitSettings()
NAMES = ("u0", "u1", "u2")


def make_view():
    """Return the view of a router that has not received anything yet."""
    return FleetView(UpstreamDirectory(), decode_routing, decode_upstream)


def make_history(steps):
    """Return the changes of a store, from names and whether each is a removal."""
    changes = []
    for revision, (name, removed) in enumerate(steps, start=1):
        if name == "main":
            spec = json.dumps(make_config(revision)).encode()
            changes.append((StateKind.ROUTING, StoreChange(name, revision, spec)))
            continue
        spec = None
        if not removed:
            spec = json.dumps(make_upstream_entry(9, born=revision)).encode()
        changes.append((StateKind.UPSTREAMS, StoreChange(name, revision, spec)))
    return changes


def state_at(history, kind, revision):
    """Return the objects of a kind as a list call at a revision returns them."""
    objects = {}
    for change_kind, change in history:
        if change_kind is kind and change.revision <= revision:
            objects[change.name] = change
    return [change for change in objects.values() if change.spec is not None]


class InForceTest(unittest.TestCase):
    """Guards against a router that returns to an older state or doesn't converge."""

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("main", *NAMES)), st.booleans()), max_size=14
        ),
        st.lists(st.tuples(st.integers(0, 3), st.floats(0, 1)), max_size=12),
    )
    def test_any_order_of_lists_watches_and_peers(self, steps, deliveries):
        history = make_history(steps)
        newest = len(history)
        view, peer = make_view(), make_view()
        for source, fraction in deliveries:
            revision = round(fraction * newest)
            before = view.version
            for kind in (StateKind.ROUTING, StateKind.UPSTREAMS):
                if source == 0:
                    listed = state_at(history, kind, revision)
                    view.apply_list(kind, listed, revision, None, 0.0)
                elif source == 1:
                    # A watch delivers all changes since a revision, some of them again.
                    changes = [c for k, c in history if k is kind]
                    changes = [c for c in changes if c.revision > revision]
                    if revision <= view.revisions()[kind.value]:
                        view.apply(kind, changes, None, 0.0)
                elif source == 2:
                    listed = state_at(history, kind, revision)
                    peer.apply_list(kind, listed, revision, None, 0.0)
                else:
                    known = view.revisions()[kind.value]
                    peer_changes = peer.changes_since(kind, known)
                    view.apply(kind, peer_changes, None, 0.0)
            self.assertGreaterEqual(view.version, before)
        for kind in (StateKind.ROUTING, StateKind.UPSTREAMS):
            listed = state_at(history, kind, newest)
            view.apply_list(kind, listed, newest, None, 0.0)
            self.assertEqual(
                {c.name: c.revision for c in view.objects(kind).values()},
                {c.name: c.revision for c in listed},
            )


class ColdDivisionTest(unittest.TestCase):
    """Guards against routers that together overload a cold upstream."""

    @settings(max_examples=300, deadline=None)
    @given(
        st.integers(1, 40),
        st.floats(1.0, 30.0),
        st.randoms(use_true_random=False),
    )
    def test_sum_of_parts_where_each_router_misses_one_at_most(self, count, rate, rng):
        routers = [f"r{number}" for number in range(count)]
        total = rate * SETTINGS.cold_overshoot + SETTINGS.cold_slack
        quotas = 0
        for name in routers:
            known = set(routers)
            if rng.random() < 0.7:
                known -= {rng.choice(routers)}
            dispatcher = Dispatcher(
                name,
                UpstreamDirectory(),
                LoadTracker(PlacementSettings(), "a"),
                UpstreamHealth(),
                ColdSendLimit(SETTINGS, -10.0),
                ResendLimit(SETTINGS),
                random.Random(1),
                frozenset(known | {name}),
            )
            rank = dispatcher.rank("u0")
            limit = dispatcher.cold
            quotas += limit.quota(rate, len(dispatcher.routers), rank)
        self.assertLessEqual(quotas, total)


class ResendDivisionTest(unittest.TestCase):
    """Guards against a fleet that resends more than its budget in a window."""

    @settings(max_examples=40, deadline=None)
    @given(
        st.integers(1, 12),
        st.lists(st.tuples(st.floats(0, 0.3), st.booleans()), min_size=5, max_size=400),
        st.randoms(use_true_random=False),
    )
    def test_sum_in_any_window(self, count, events, rng):
        limits = [ResendLimit(SETTINGS) for _ in range(count)]
        requests, resends = [], []
        now_s = 0.0
        for gap_s, resend in events:
            now_s += gap_s
            limit = rng.choice(limits)
            if resend:
                if limit.take("model", count, now_s):
                    resends.append(now_s)
            else:
                limit.note_request("model", now_s)
                requests.append(now_s)
        window_s = SETTINGS.resend_window_s
        for end_s in resends:
            resend_count = sum(end_s - window_s < t <= end_s for t in resends)
            request_count = sum(end_s - window_s <= t <= end_s for t in requests)
            # Counted requests leave the window one by one.
            earlier_request_count = sum(
                end_s - 2 * window_s <= t <= end_s - window_s for t in requests
            )
            budget = SETTINGS.resend_ratio * max(request_count, earlier_request_count)
            self.assertLessEqual(resend_count, budget + SETTINGS.resend_slack)


class ResumptionTest(unittest.TestCase):
    """Guards against a resumed stream with a gap, a repeat or a partial event."""

    @settings(max_examples=300, deadline=None)
    @given(
        st.integers(1, 9),
        st.lists(st.integers(0, 400), max_size=5),
        st.lists(st.integers(1, 40), min_size=1, max_size=30),
        st.sampled_from((b"\n", b"\r\n")),
    )
    def test_any_cuts_and_chunk_sizes(self, last, cuts, sizes, end):
        events = [
            b"id: %d%bdata: part %d%b%b" % (n, end, n, end, end)
            for n in range(1, last + 1)
        ]
        splitter = EventSplitter()
        forwarded = b""
        for attempt, cut in enumerate([*cuts, 10_000]):
            first = int(splitter.last_id or 0)
            answer = b"".join(events[first:])[:cut]
            position = 0
            while position < len(answer):
                size = sizes[(attempt + position) % len(sizes)]
                forwarded += splitter.feed(answer[position : position + size])
                position += size
            if attempt < len(cuts):
                splitter.discard_partial()
        self.assertEqual(forwarded, b"".join(events))
        self.assertTrue(splitter.at_boundary)


if __name__ == "__main__":
    unittest.main()
