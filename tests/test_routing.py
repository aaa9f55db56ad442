"""Tests of routes, services and workspace keys."""

import random
import unittest

from carobstair.core.routing import (
    RequestKind,
    Route,
    RoutingConfig,
    RoutingTable,
    ServicePool,
    WorkspaceKeys,
)


def make_route(host="api.test", prefix="/a/", **changes):
    """Return a route with some fields changed."""
    values = {
        "name": f"{host}{prefix}",
        "kind": RequestKind.REPEATABLE,
        "timeout_s": 1.0,
        "target_latency_s": 0.1,
        "split": (("plain", 1.0),),
    }
    return Route(host=host, path_prefix=prefix, **(values | changes))


def make_table(*routes, workspaces=(), version=1):
    """Return the table of a configuration with one plain service."""
    services = (ServicePool("plain"),)
    config = RoutingConfig(version, tuple(routes), services, workspaces=workspaces)
    return RoutingTable(config)


class RouteLookUpTest(unittest.TestCase):
    """Guards against requests that are sent to the service of another route."""

    def test_longest_prefix_of_the_host_wins(self):
        table = make_table(make_route(prefix="/a/"), make_route(prefix="/a/b/"))
        self.assertEqual(table.find_route("api.test", "/a/b/c").path_prefix, "/a/b/")
        self.assertEqual(table.find_route("api.test", "/a/bc").path_prefix, "/a/")

    def test_no_route_without_host_or_prefix(self):
        table = make_table(make_route(prefix="/a/"))
        self.assertIsNone(table.find_route("other.test", "/a/x"))
        self.assertIsNone(table.find_route("api.test", "/b/a/x"))
        self.assertIsNone(table.find_route("api.test", "/a"))

    def test_host_is_compared_without_port_and_case(self):
        table = make_table(make_route(prefix="/"))
        self.assertIsNotNone(table.find_route("API.test:8080", "/x"))

    def test_split_leaves_out_services_that_are_not_served(self):
        route = make_route(split=(("gone", 99.0), ("plain", 1.0)))
        table = make_table(route)
        for seed in range(20):
            picked = table.pick_service(route, table.services, random.Random(seed))
            self.assertEqual(picked, "plain")

    def test_only_resumable_streams_and_safe_requests_are_repeatable(self):
        self.assertTrue(make_route().repeatable)
        self.assertFalse(make_route(kind=RequestKind.UNREPEATABLE).repeatable)
        self.assertFalse(make_route(kind=RequestKind.STREAM).repeatable)
        resumable = make_route(kind=RequestKind.STREAM, resumable=True)
        self.assertTrue(resumable.repeatable)


class WorkspaceKeyTest(unittest.TestCase):
    """Guards against keys that give access to another workspace, or to none."""

    def test_each_key_identifies_its_workspace(self):
        one = WorkspaceKeys("one", ("k1", "k2"))
        table = make_table(make_route(), workspaces=(one,))
        self.assertEqual(table.find_workspace("k2").name, "one")
        self.assertIsNone(table.find_workspace("k3"))
        self.assertIsNone(table.find_workspace(None))
        self.assertTrue(table.requires_key)
        self.assertFalse(make_table(make_route()).requires_key)


if __name__ == "__main__":
    unittest.main()
