"""Property tests of input that other programs write: nothing of it raises."""

import asyncio
import contextlib
import json
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.fleet_view import FleetView, StateKind
from carobstair.core.messages import CodecError, decode, encode
from carobstair.core.rate_limits import PermitDesk, RateNews, RateRow
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.headers import MAX_PAUSE_S, PlatformDialect
from carobstair.platform.store import (
    _PAGE,
    _WATCH,
    ENTRY_LEVELS,
    EVENT_LEVELS,
    PlatformStore,
    _decode_event,
    _decode_object,
)
from platform_standins import make_upstream_entry

LARGE = st.integers(-(10**400), 10**400) | st.floats() | st.text(max_size=300)
JSON_TEXT = st.recursive(
    st.none() | st.booleans() | LARGE,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
).map(lambda value: json.dumps(value).encode())
NESTED = st.integers(1, 3_000).map(lambda depth: b"[" * depth + b"]" * depth)
FIELDS = sorted(make_upstream_entry(1))


@st.composite
def odd_specs(draw):
    """Return an entry one of whose fields is odd, or something else altogether."""
    value = draw(JSON_TEXT | NESTED | st.just(b"NaN") | st.just(b'"\\udfff"'))
    if draw(st.booleans()):
        return value
    entry = make_upstream_entry(80)
    field = draw(st.sampled_from([*FIELDS, "other"]))
    entry.pop(field, None)
    return json.dumps(entry).encode()[:-1] + b', "%b": %b}' % (field.encode(), value)


def stored(name, revision, spec):
    """Return an object as the store writes it."""
    metadata = b'{"name": "%b", "revision": %d}' % (name.encode(), revision)
    return b'{"metadata": %b, "spec": %b}' % (metadata, spec)


def make_view():
    """Return an empty replica of the store."""
    return FleetView(UpstreamDirectory(), decode_routing, decode_upstream)


class OddStoreTest(unittest.TestCase):
    """Guards against objects that stop a list or a watch, or hide the sound ones."""

    SOUND = json.dumps(make_upstream_entry(80)).encode()

    def setUp(self):
        self.store = PlatformStore("127.0.0.1:1", lambda *args: None)

    def check(self, changes):
        view = make_view()
        view.apply(StateKind.UPSTREAMS, filter(None, changes), None, 1.0)
        self.assertLessEqual({"a", "c"}, set(view.directory.ids()))
        for name in view.directory.ids():
            entry = view.directory.find(name).entry
            self.assertTrue(0 < entry.port < 65536)
            self.assertTrue(0 <= entry.cold_s < 1e6 and 0 <= entry.slots < 1e7)
            encode(RateNews([RateRow(name, entry.born_ms, 1, 1.0)]), "r0", 1, 0, 1)

    @settings(max_examples=150, deadline=None)
    @given(odd_specs())
    def test_sound_entries_of_a_list_are_read(self, spec):
        rows = (
            stored("a", 1, self.SOUND),
            stored("b", 2, spec),
            stored("c", 3, self.SOUND),
        )
        body = b'{"entries": [%b], "currentRev": 9}' % b", ".join(rows)
        page = asyncio.run(self.store._decode(_PAGE, body, ENTRY_LEVELS))
        self.assertEqual(page.current_rev, 9)
        self.check(_decode_object(raw, 0) for raw in page.entries)

    @settings(max_examples=150, deadline=None)
    @given(odd_specs())
    def test_sound_events_of_a_watch_are_read(self, spec):
        rows = (
            stored("a", 1, self.SOUND),
            stored("b", 2, spec),
            stored("c", 3, self.SOUND),
        )
        events = b", ".join(b'{"object": %b, "deleted": false}' % row for row in rows)
        body = b'{"events": [%b], "currentRev": 9}' % events
        answer = asyncio.run(self.store._decode(_WATCH, body, EVENT_LEVELS))
        self.check(_decode_event(raw, 0) for raw in answer.events)


class OddMessageTest(unittest.TestCase):
    """Guards against bytes of peers and upstreams that raise, or are believed."""

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes_of_a_peer_are_a_message_or_an_error(self, data):
        with contextlib.suppress(CodecError):
            decode(data)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(), st.floats(), st.integers(-5, 2**63))
    def test_rates_of_a_peer_are_positive_or_ignored(self, born_ms, per_s, version):
        desk = PermitDesk("r0")
        upstream = "u1", born_ms
        desk.merge("r1", [RateRow(*upstream, version, per_s)], 1.0)
        if desk.rates.is_limited(upstream):
            self.assertTrue(0.0 < desk.rates.limit_per_s(upstream) < math.inf)
            desk.ask(upstream, 0.3, 1.0)

    @settings(max_examples=300, deadline=None)
    @given(
        st.sampled_from(
            [
                b"server-limit",
                b"retry-after",
                b"carobstair-engine-load",
                b"server-leaving",
                b"carobstair-attempt-id",
            ]
        ),
        st.binary(max_size=60) | st.from_regex(rb"[0-9.,eE+-]{1,40}", fullmatch=True),
    )
    def test_headers_of_an_upstream(self, name, value):
        metadata = PlatformDialect().read_response(503, [(name, value)])
        if metadata.rate_per_s is not None:
            self.assertTrue(0.0 < metadata.rate_per_s < 1e7)
        if metadata.pause_s is not None:
            self.assertTrue(0.0 < metadata.pause_s <= MAX_PAUSE_S)


if __name__ == "__main__":
    unittest.main()
