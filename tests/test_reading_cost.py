"""Time that documents of other writers take in the event loop."""

import asyncio
import json
import time
import unittest
from unittest import mock

from carobstair.core.document_bounds import MAX_DOCUMENT_BYTES, is_within_bounds
from carobstair.core.fleet_view import StateKind
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.store import PlatformStore
from platform_standins import make_config, make_upstream_entry

# No turn of the event loop may take longer; processor time, as other processes run.
MAX_TURN_S = 0.05
# A document of ten times the size may cost twenty times as much.
SIZES_BYTES = (100_000, 1_000_000)
MAX_GROWTH = 20.0


def filled(unit, size_bytes):
    """Return a text of about this size that consists of one unit."""
    return unit * (size_bytes // len(unit))


def odd_values(size_bytes):
    """Return values of about this size that a strict decoder can't read."""
    deep = b"[" * 2_000 + b"]" * 2_000
    values = {
        "nested": filled(b"[", size_bytes // 2) + filled(b"]", size_bytes // 2),
        "escaped string": b'"' + filled(b'\\"', size_bytes) + b'\\ud800"',
        "digits": b"1" * size_bytes + b"x",
        "nested with values": filled(b"[1,", size_bytes * 3 // 4)
        + b"0"
        + filled(b"]", size_bytes // 4),
        "odd keys": b"{" + filled(b'"\\ud800":1,', size_bytes) + b'"a":' + deep + b"}",
    }
    for name, unit in {
        "empty containers": b"[],",
        "containers in containers": b"[[[[1],1],1],1],",
        "objects": b'{"a":{"b":{"c":{}}}},',
        "strings": b'"a",',
        "numbers": b"1,",
    }.items():
        values[name] = b"[" + deep + b"," + filled(unit, size_bytes) + b"0]"
    return values


class LargeOddEntryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries of another writer that stop the event loop."""

    async def read(self, values):
        """List entries with these values; return the longest turn and the time."""
        rows = [
            b'{"metadata": {"name": "n%d", "revision": 1}, "spec": %b}' % row
            for row in enumerate(values)
        ]
        body = b'{"entries": [%b], "currentRev": 9}' % b", ".join(rows)
        store = PlatformStore("127.0.0.1:1", lambda *args: None)
        with mock.patch.object(store, "_call", return_value=(body, 0)):
            began_s = turn_s = time.process_time()
            longest_s = 0.0
            task = asyncio.create_task(store.list(StateKind.UPSTREAMS))
            while not task.done():
                await asyncio.sleep(0)
                now_s = time.process_time()
                longest_s, turn_s = max(longest_s, now_s - turn_s), now_s
        listing = task.result()
        self.assertEqual(listing.revision, 9)
        return longest_s, turn_s - began_s

    async def test_three_large_entries_leave_turns_to_others(self):
        sound = json.dumps(make_upstream_entry(80)).encode()
        for name, value in odd_values(SIZES_BYTES[1]).items():
            with self.subTest(name):
                longest_s, _ = await self.read([value, sound, value, value])
                self.assertLess(longest_s, MAX_TURN_S)

    async def test_time_grows_with_the_size(self):
        small, large = map(odd_values, SIZES_BYTES)
        for name in small:
            with self.subTest(name):
                took_s = [
                    min([(await self.read([value]))[1] for _ in range(3)])
                    for value in (small[name], large[name])
                ]
                self.assertLess(took_s[1], MAX_GROWTH * took_s[0])


class DocumentCostTest(unittest.TestCase):
    """Guards against documents within the bounds that stop the event loop."""

    def check(self, read, document):
        began_s = time.process_time()
        read(document)
        self.assertLess(time.process_time() - began_s, MAX_TURN_S)

    def test_documents_of_the_largest_size(self):
        size_bytes = MAX_DOCUMENT_BYTES - 1_000
        for unit in (b"[],", b"[" * 30 + b"]" * 30 + b",", b'{"a":1},', b'"",', b"1,"):
            value = b"[" + filled(unit, size_bytes) + b"0]"
            for read, document in (
                (lambda spec: decode_upstream("u1", spec), make_upstream_entry(80)),
                (decode_routing, make_config()),
            ):
                spec = json.dumps(document).encode()[:-1] + b', "other": ' + value
                with self.subTest(unit[:8]):
                    self.check(is_within_bounds, spec + b"}")
                    self.check(read, spec + b"}")


if __name__ == "__main__":
    unittest.main()
