"""Tests of malformed objects that another program has written to the store."""

import json
import unittest

import msgspec

from carobstair.core.addresses import is_host, parse_address
from carobstair.core.document_bounds import is_within_bounds
from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.core.messages import CodecError, PeerAddress, decode
from carobstair.edge import json_repair
from carobstair.platform.documents import decode_upstream
from edge_test_case import EdgeCase, wait_until
from gossip_nodes import RecordingTransport, make_node
from platform_standins import make_config, make_upstream_entry


def nested(depth):
    """Return an array within arrays."""
    return b"[" * depth + b"]" * depth


def repair_document(data, levels):
    """Return the result of all steps of a repair."""
    steps = json_repair.repair_document(data, levels)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


ODD_VALUES = {
    "nested too deeply": nested(1_200),
    "nested just below a decoder's limit": nested(990),
    "nested very deeply": nested(50_000),
    "half of a surrogate pair": b'"\\ud800"',
    "no number": b"NaN",
    "infinite": b"-Infinity",
    "a control character": b'"\x01"',
    "no text": b'"\xff\xfe"',
    "a large number": b"9" * 5_000,
    "a large exponent": b"1e400",
    "no entry": b"null",
}


def odd_spec(value):
    """Return an entry that would be sound but for one value that nobody reads."""
    entry = json.dumps(make_upstream_entry(1)).encode()
    return entry[:-1] + b', "other": ' + value + b"}"


class OddEntryTest(EdgeCase):
    """Guards against an entry that takes the sound ones beside it along."""

    async def put_sound(self, name):
        port = self.upstreams[0].port
        self.store.put("servers", name, make_upstream_entry(port))
        await wait_until(lambda: name in self.directory.ids())

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number, value in enumerate(ODD_VALUES.values()):
            self.store.raw_specs[f"raw{number}"] = odd_spec(value)
        self.store.raw_specs["whole"] = nested(2_000)

    async def test_odd_entries_in_lists(self):
        for name in self.store.raw_specs:
            self.store.put("servers", f"a-{name}", name)
        await self.start_upstreams("ok")
        self.store.compact()
        await self.put_sound("z-after")
        self.assertEqual((await self.call("/safe/x"))[0], 200)

    async def test_odd_entries_in_watches(self):
        await self.start_upstreams("ok")
        for name in self.store.raw_specs:
            self.store.put("servers", f"a-{name}", name)
            await self.put_sound(f"after-{name}")
        self.assertEqual((await self.call("/safe/x"))[0], 200)

    async def test_upstream_whose_entry_becomes_odd_is_not_used(self):
        await self.start_upstreams("ok", "ok")
        self.store.put("servers", "u0", "raw0")
        await wait_until(lambda: "u0" not in self.directory.ids())
        await self.put_sound("u0")

    async def test_odd_objects_of_other_kinds(self):
        for kind in (
            "evacuations",
            "config",
            "carobstair-routers",
            "carobstair-refused-parts",
        ):
            for name in self.store.raw_specs:
                self.store.put(kind, f"a-{name}", name)
        await self.start_upstreams("ok")
        for number, kind in enumerate(("evacuations", "config")):
            self.store.put(kind, f"b{number}", "raw0")
        self.store.put("config", "main", make_config(version=2))
        await wait_until(lambda: self.view.version == 2)


class EntryBoundsTest(unittest.TestCase):
    """Guards against values that are read and fail, or stay in force, later."""

    def read(self, name="u1", **changes):
        entry = make_upstream_entry(80) | changes
        return decode_upstream(name, json.dumps(entry).encode())

    def test_sound_entry(self):
        self.assertEqual(self.read().port, 80)
        self.assertEqual(self.read(address="[::1]:80").host, "::1")

    def test_values_out_of_range(self):
        for field, values in {
            "slots": (-1, 2**63, 10**400, 1.5, "8"),
            "born": (-1, 2**63, 10**400, 0.5),
            "coldRemainingMs": (1e308, 10**400, "1"),
            "zone": (None, 5, "z" * 1_000),
            "service": ("", None, "s" * 1_000),
            "state": ("gone", None),
        }.items():
            for value in values:
                with self.subTest(field, value=str(value)[:40]):
                    self.assertIsNone(self.read(**{field: value}))

    def test_addresses_that_can_not_be_used(self):
        for address in (
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:99999999999",
            "10.0.0.1:+80",
            "10.0.0.1: 80",
            "10.0.0.1:8_0",
            "10.0.0.1:\u0663\u0663",
            "10.0.0.1:80:80",
            "[:80",
            "[]:80",
            ":80",
            "a..b:80",
            "a" * 64 + ":80",
            "a b:80",
            "a\r\nb:80",
        ):
            with self.subTest(address):
                self.assertIsNone(self.read(address=address))
                self.assertIsNone(parse_address(address))

    def test_names_that_would_add_a_header(self):
        for name in ("", "u1\r\nX-Other: 1", "u 1", "\u0663", "u" * 256):
            with self.subTest(name):
                self.assertIsNone(self.read(name))


class RepairTest(unittest.TestCase):
    """Guards against repairs that lose or change sound values."""

    def test_sound_document_stays_as_it_is(self):
        data = b'{"a": [1, {"b": "],}"}], "c": "\\""}'
        self.assertEqual(repair_document(data, 3), data)

    def test_each_odd_value_becomes_null_alone(self):
        for name, value in ODD_VALUES.items():
            page = b'{"entries": [{"m": "],{", "spec": 1}, {"m": "b", "spec": %b}]}'
            with self.subTest(name):
                repaired = msgspec.json.decode(
                    repair_document(page % value, 3), type=dict[str, list[msgspec.Raw]]
                )
                first, second = repaired["entries"]
                self.assertEqual(bytes(first), b'{"m": "],{", "spec": 1}')
                self.assertIn(b'"m": "b"', bytes(second).replace(b'm":"', b'm": "'))

    def test_odd_key_goes_with_its_value(self):
        repaired = repair_document(b'{"a": 1, "\\ud800": 2, "c": 3}', 1)
        self.assertEqual(msgspec.json.decode(repaired), {"a": 1, "c": 3})

    def test_document_that_ends_early_is_an_error(self):
        for data in (b'{"a": [1, 2', b'{"a": 1', b"[1, 2]]"):
            with self.subTest(data), self.assertRaises(ValueError):
                msgspec.json.decode(repair_document(data, 3))

    def test_bounds(self):
        self.assertTrue(is_within_bounds(nested(32)))
        self.assertFalse(is_within_bounds(b'"\xff"'))
        self.assertFalse(is_within_bounds(nested(33)))
        self.assertTrue(is_within_bounds(b'"' + nested(100) + b'"'))
        self.assertTrue(is_within_bounds(b"[" + b",".join([b"{}"] * 1_000) + b"]"))
        self.assertFalse(is_within_bounds(b'"' + b"x" * 300_000 + b'"'))


class OddPeerTest(unittest.TestCase):
    """Guards against addresses and messages of peers that end a process."""

    def test_address_of_a_router_out_of_range(self):
        address = ["r1", 1, "127.0.0.1", 1, 1, "a"]
        for index, value in ((3, 65536), (3, -1), (1, 2**60), (1, -1), (2, 5)):
            odd = [*address[:index], value, *address[index + 1 :]]
            with self.subTest(odd), self.assertRaises(msgspec.ValidationError):
                msgspec.json.decode(json.dumps(odd).encode(), type=PeerAddress)

    def test_router_with_a_host_that_can_not_be_used_is_not_added(self):
        node = make_node("r0", 1, RecordingTransport())
        for host in ("", "a b", "tcp://x", "*", "a..b"):
            node.gossip.add(PeerAddress("r1", 1, host, 1, 1, "a"))
        self.assertEqual(node.gossip.peers, frozenset())
        self.assertTrue(is_host("node-1.example"))

    def test_deeply_nested_message_is_malformed(self):
        with self.assertRaises(CodecError):
            decode(b"\x97\x01" + b"\x91" * 100_000)

    def test_odd_document_of_a_peer_is_not_kept(self):
        node = make_node("r0", 1, RecordingTransport())
        change = StoreChange("u1", 5, odd_spec(nested(500)))
        node.view.apply(StateKind.UPSTREAMS, [change], None, 1.0)
        self.assertEqual(node.view.objects(StateKind.UPSTREAMS)["u1"].spec, b"null")
        self.assertEqual(node.directory.ids(), [])


if __name__ == "__main__":
    unittest.main()
