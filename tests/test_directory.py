"""Tests of the upstream directory and of the view of the store that feeds it."""

import unittest

from carobstair.core.directory import (
    DirectorySettings,
    UpstreamDirectory,
    UpstreamEntry,
)
from carobstair.core.fleet_view import (
    FleetView,
    StateKind,
    StoreAvailability,
    StoreChange,
)
from carobstair.core.routing import RoutingConfig


def make_entry(upstream_id="u1", **changes):
    """Return an entry with some fields changed."""
    values = {
        "service": "model",
        "host": "127.0.0.1",
        "port": 9000,
        "zone": "a",
        "slots": 8,
        "draining": False,
        "cold_s": 0.0,
        "born_ms": 1,
    }
    return UpstreamEntry(upstream_id, **(values | changes))


class UsableUpstreamsTest(unittest.TestCase):
    """Guards against sends to draining, removed or evacuated upstreams."""

    def setUp(self):
        self.directory = UpstreamDirectory(DirectorySettings(removal_grace_s=2.0))
        self.entry = make_entry()
        self.directory.put(self.entry, 10, 0.0)

    def test_draining_upstream_is_not_used(self):
        self.directory.put(make_entry(draining=True), 11, 1.0)
        self.assertEqual(self.directory.usable("model", 1.0), [])
        self.assertFalse(self.directory.is_usable(self.entry, 1.0))

    def test_older_entry_does_not_revive_a_draining_upstream(self):
        self.directory.put(make_entry(draining=True), 12, 1.0)
        self.directory.put(make_entry(), 11, 1.1)
        self.assertEqual(self.directory.usable("model", 1.1), [])

    def test_removed_upstream_is_not_used_or_revived_by_an_older_entry(self):
        self.directory.remove("u1", 20, None)
        self.directory.put(make_entry(), 15, 1.0)
        self.assertEqual(self.directory.usable("model", 1.0), [])

    def test_entry_removed_during_an_outage_is_used_for_the_grace_period(self):
        self.directory.remove("u1", 20, 3.0)
        self.assertTrue(self.directory.is_usable(self.entry, 2.9))
        self.assertFalse(self.directory.is_usable(self.entry, 3.0))

    def test_entry_that_returns_within_the_grace_period_stays(self):
        self.directory.remove("u1", 20, 3.0)
        self.directory.put(make_entry(), 21, 2.0)
        self.assertTrue(self.directory.is_usable(self.entry, 10.0))

    def test_restart_under_the_same_id_is_another_incarnation(self):
        self.directory.put(make_entry(born_ms=2, cold_s=3.0), 11, 1.0)
        self.assertFalse(self.directory.is_usable(self.entry, 1.0))
        self.assertTrue(self.directory.is_cold(make_entry(born_ms=2), 3.9))
        self.assertFalse(self.directory.is_cold(make_entry(born_ms=2), 4.1))

    def test_evacuated_zone_is_unused_and_counts_as_cold_afterwards(self):
        self.directory.set_evacuated({"a"}, 1.0)
        self.assertFalse(self.directory.is_usable(self.entry, 1.0))
        self.directory.set_evacuated(set(), 5.0)
        self.assertTrue(self.directory.is_usable(self.entry, 5.0))
        self.assertTrue(self.directory.is_cold(self.entry, 6.0))
        self.assertFalse(self.directory.is_cold(self.entry, 9.0))

    def test_service_change_moves_the_upstream(self):
        self.directory.put(make_entry(service="other"), 11, 1.0)
        self.assertEqual(self.directory.usable("model", 1.0), [])
        self.assertEqual(len(self.directory.usable("other", 1.0)), 1)


def decode_routing(spec):
    """Return a configuration with the version in `spec`, or None if it is invalid."""
    return RoutingConfig(int(spec), (), ()) if spec.isdigit() else None


def decode_upstream(name, spec):
    """Return an upstream if `spec` is "good", or None."""
    return make_entry(name) if spec == b"good" else None


class FleetViewTest(unittest.TestCase):
    """Guards against state that reverts, or that one malformed object corrupts."""

    def setUp(self):
        self.view = FleetView(UpstreamDirectory(), decode_routing, decode_upstream)

    def apply(self, kind, *changes, grace_until_s=None):
        return self.view.apply(kind, changes, grace_until_s, 0.0)

    def usable(self):
        entries = self.view.directory.usable("model", 0.0)
        return sorted(entry.upstream_id for entry in entries)

    def test_configuration_version_never_decreases(self):
        self.apply(StateKind.ROUTING, StoreChange("main", 5, b"7"))
        self.apply(StateKind.ROUTING, StoreChange("main", 4, b"8"))
        self.assertEqual(self.view.version, 7)
        # A newer object revision with an older version is ignored, too.
        self.apply(StateKind.ROUTING, StoreChange("main", 9, b"6"))
        self.assertEqual(self.view.version, 7)

    def test_undecodable_configuration_keeps_the_one_in_force(self):
        self.apply(StateKind.ROUTING, StoreChange("main", 5, b"7"))
        self.apply(StateKind.ROUTING, StoreChange("main", 6, b"junk"))
        self.assertEqual(self.view.version, 7)
        self.assertEqual(self.view.undecodable_count, 1)

    def test_undecodable_entry_removes_only_its_own_upstream(self):
        self.apply(
            StateKind.UPSTREAMS,
            StoreChange("u1", 1, b"good"),
            StoreChange("u2", 2, b"good"),
        )
        self.apply(StateKind.UPSTREAMS, StoreChange("u1", 3, b"junk"))
        self.assertEqual(self.usable(), ["u2"])

    def test_list_removes_missing_objects_unless_they_are_newer(self):
        self.apply(
            StateKind.UPSTREAMS,
            StoreChange("u1", 1, b"good"),
            StoreChange("u2", 9, b"good"),
        )
        self.view.apply_list(StateKind.UPSTREAMS, [], 5, None, 0.0)
        self.assertEqual(self.usable(), ["u2"])

    def test_peer_receives_missing_changes_including_removals(self):
        self.apply(
            StateKind.UPSTREAMS,
            StoreChange("u1", 1, b"good"),
            StoreChange("u2", 2, b"good"),
            StoreChange("u1", 3, None),
        )
        names = [c.name for c in self.view.changes_since(StateKind.UPSTREAMS, 1)]
        self.assertEqual(names, ["u2", "u1"])
        other = FleetView(UpstreamDirectory(), decode_routing, decode_upstream)
        changes = self.view.changes_since(StateKind.UPSTREAMS, 0)
        other.apply(StateKind.UPSTREAMS, changes, None, 0.0)
        self.assertEqual(other.revisions(), self.view.revisions())

    def test_evacuations_follow_the_objects(self):
        self.apply(StateKind.EVACUATIONS, StoreChange("a", 1, b"{}"))
        self.assertEqual(self.view.directory.evacuated, {"a"})
        self.apply(StateKind.EVACUATIONS, StoreChange("a", 2, None))
        self.assertEqual(self.view.directory.evacuated, frozenset())


class StoreAvailabilityTest(unittest.TestCase):
    """Guards against an empty list after an outage, which would stop all traffic."""

    def test_missing_objects_are_removed_at_once_while_the_store_answers(self):
        availability = StoreAvailability(2.0)
        availability.note_success(0.0)
        self.assertIsNone(availability.grace_until_s(1.0))

    def test_missing_objects_are_kept_for_the_grace_period_after_an_outage(self):
        availability = StoreAvailability(2.0)
        availability.note_failure(1.0)
        self.assertEqual(availability.grace_until_s(4.0), 6.0)
        self.assertTrue(availability.note_success(5.0))
        self.assertEqual(availability.grace_until_s(5.5), 7.0)
        self.assertIsNone(availability.grace_until_s(7.0))


if __name__ == "__main__":
    unittest.main()
