"""Tests of the check of tickets and configurations before they are filed."""

import contextlib
import io
import json
import tempfile
import time
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from carobstair.cli import ticket as program
from carobstair.core.config_check import (
    DEFAULT_BODY_MEMORY_BYTES,
    MAX_FILED_BYTES,
    CheckSettings,
    Severity,
    check_routing,
    check_ticket,
    state_of_ticket,
    unreadable,
)
from carobstair.core.directory import UpstreamDirectory
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.state import FleetState
from carobstair.edge.settings import EdgeSettings
from carobstair.models import ModelError, decode_ticket, encode_state
from carobstair.platform.config_check import parse_routing
from carobstair.platform.documents import decode_routing, decode_upstream
from platform_standins import make_config, make_route

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
KEY = "0" * 64
OTHER_KEY = "1" * 64
MAX_CHECK_S = 1.0


def engine(**changes):
    """Return an upstream as in a ticket."""
    fields = {"pool": "m", "kind": "engine", "address": "http://e:1", "zone": "z0"}
    return fields | changes


def service(**changes):
    """Return an upstream of a plain service as in a ticket."""
    return engine(pool="s", kind="service", address="http://s:1") | changes


def workspace(**changes):
    """Return a workspace as in a ticket."""
    return {"weight": 1.0, "key_hashes": [KEY], "pools": ["m", "s"]} | changes


def make_ticket(**changes):
    """Return a first ticket without faults."""
    return {
        "workspaces": {"w": workspace()},
        "upstreams": {"e": engine(), "s": service()},
        "zones": {"z0": {"in_service": True}},
    } | changes


def findings_of(document, in_force=None, check_settings=None):
    """Return the findings on a configuration."""
    data = json.dumps(document).encode()
    config, problems = parse_routing(data)
    if config is None:
        return unreadable(problems)
    old = in_force and parse_routing(json.dumps(in_force).encode())[0]
    return check_routing(config, old, check_settings)


def ticket_findings(document, in_force=None, size_bytes=100):
    """Return the findings on a ticket that can be read."""
    ticket = decode_ticket(json.dumps(document).encode())
    old = in_force and state_of_ticket(decode_ticket(json.dumps(in_force).encode()))
    return check_ticket(ticket, size_bytes, old)


def rules(findings):
    """Return the rule ids and paths of findings."""
    return [(finding.rule, finding.path) for finding in findings]


def refused_by_routers(data):
    """Return whether a router that reads a configuration from the store skips it."""
    view = FleetView(UpstreamDirectory(), decode_routing, decode_upstream)
    with contextlib.redirect_stdout(None), contextlib.redirect_stderr(None):
        view.apply(StateKind.ROUTING, [StoreChange("main", 1, data)], None, 0.0)
    return view.table is None


def has_error(findings):
    """Return whether one of the findings is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def with_route(**changes):
    """Return a configuration whose first route has some fields changed."""
    config = make_config()
    config["routes"][0] |= changes
    return config


def with_service(**changes):
    """Return a configuration whose service has some fields changed."""
    config = make_config()
    config["services"][0] |= changes
    return config


class UnreachableEntryTest(unittest.TestCase):
    """Guards against routes, services and keys that are filed and never used."""

    def check(self, document, rule, *path):
        self.assertEqual(rules(findings_of(document)), [(rule, path)])

    def test_configuration_without_faults(self):
        self.assertEqual(findings_of(make_config()), [])

    def test_routes(self):
        twice = make_config()
        twice["routes"].append(make_route("/safe/", host="API.test", name="late"))
        self.check(twice, "route-shadowed", "routes", 0)
        host = with_route(host="api.test:80")
        self.check(host, "host-never-matches", "routes", 0, "host")
        for prefix in ("/safe", "safe/"):
            document = with_route(pathPrefix=prefix)
            self.check(document, "prefix-never-matches", "routes", 0, "path_prefix")
        target = [{"service": "plain", "weight": 1}, {"service": "x", "weight": 1}]
        document = with_route(trafficSplit=target)
        self.check(document, "route-to-missing-service", "routes", 0, "split")
        document = with_route(trafficSplit=[{"service": "plain", "weight": 0}])
        self.check(document, "route-without-service", "routes", 0, "split")

    def test_services(self):
        plain = make_config()["services"][0]
        document = make_config(services=[plain, plain])
        self.check(document, "service-twice", "services", 0)
        document = make_config(services=[plain, {"name": "other"}])
        self.check(document, "service-without-route", "services", 1)

    def test_workspaces(self):
        one = {"name": "a", "apiKeys": ["k", "l"]}
        cases = {
            ("workspace-without-key", 1): {"name": "b", "apiKeys": []},
            ("key-empty", 1, "keys", 1): {"name": "b", "apiKeys": ["m", ""]},
            ("key-used-twice", 1, "keys", 1): {"name": "b", "apiKeys": ["m", "l"]},
            ("workspace-twice", 1): {"name": "a", "apiKeys": ["m"]},
            (): {"name": "b", "apiKeys": ["m"]},
        }
        for expected, tenant in cases.items():
            found = findings_of(make_config(tenants=[one, tenant]))
            with self.subTest(expected):
                paths = [(rule, *path[1:]) for rule, path in rules(found)]
                self.assertEqual(paths, [expected] if expected else [])


class ContradictingLimitTest(unittest.TestCase):
    """Guards against limits that can't be met together and are only seen under load."""

    def check(self, document, *expected):
        self.assertEqual([f.rule for f in findings_of(document)], list(expected))

    def test_time_out_and_objective(self):
        self.check(with_route(timeoutMs=199), "timeout-below-objective")
        self.check(with_route(timeoutMs=200, maxAttempts=1))
        self.check(with_route(timeoutMs=0))
        self.check(with_route(timeoutMs=-1), "negative-time")

    def test_attempts_and_time_out(self):
        self.check(with_route(timeoutMs=600, maxAttempts=4), "attempts-beyond-timeout")
        self.check(with_route(timeoutMs=601, maxAttempts=4))
        self.check(with_route(timeoutMs=600, maxAttempts=10**400, targetLatencyMs=0))

    def test_objective_and_pause_of_streams(self):
        fields = {"kind": "streaming", "targetGapMs": 201}
        self.check(with_route(**fields), "objective-below-pause")
        self.check(with_route(**(fields | {"targetGapMs": 200})))
        self.check(with_route(**(fields | {"kind": "safe"})))

    def test_body_limit_and_memory(self):
        limits = {"maxBodyBytes": 1_001}
        found = findings_of(make_config(limits=limits), None, CheckSettings(1_000))
        self.assertEqual(
            rules(found), [("body-limit-above-memory", ("limits", "max_body_bytes"))]
        )
        self.assertEqual(findings_of(make_config(limits=limits)), [])

    def test_memory_for_bodies_is_that_of_routers(self):
        field = EdgeSettings.model_fields["max_body_memory_bytes"]
        self.assertEqual(DEFAULT_BODY_MEMORY_BYTES, field.default)

    def test_slots_of_engines(self):
        shape = {"slots": 10, "kvCapacityTokens": 1_000}
        fields = {"engine": shape, "maxConnections": 10}
        self.check(with_service(**fields, coldPerS=50))
        self.check(with_service(**fields, coldPerS=51), "cold-rate-above-slots")
        self.check(
            with_service(engine=shape, maxConnections=9), "slots-above-connections"
        )


class DifferenceTest(unittest.TestCase):
    """Guards against changes for callers that the author didn't intend."""

    def check(self, new, *expected, old=None):
        new, old = new | {"version": 2}, old or make_config()
        found = [f for f in findings_of(new, old) if f.severity is Severity.CHANGE]
        self.assertEqual([finding.rule for finding in found], list(expected))
        return found

    def test_order_and_way_of_writing_have_no_meaning(self):
        new = make_config()
        new["routes"].reverse()
        new["routes"][0] |= {"trafficSplit": [{"service": "plain", "weight": 7}]}
        self.check(new)

    def test_routes(self):
        new = make_config()
        new["routes"].append(make_route("/new/"))
        self.check(new, "route-added")
        self.check(make_config(), "route-removed", old=new)
        (moved,) = self.check(with_route(pathPrefix="/b/"), "route-moved")
        self.assertIn("from api.test/safe/ to api.test/b/", moved.message)
        (timed,) = self.check(with_route(timeoutMs=2000), "route-changed")
        self.assertIn("timeout (s) changes from 1 to 2", timed.message)

    def test_split(self):
        def split(one, other):
            config = with_route(
                trafficSplit=[
                    {"service": "plain", "weight": one},
                    {"service": "q", "weight": other},
                ]
            )
            config["services"].append({"name": "q"})
            return config

        self.check(split(1, 1), "route-split", old=split(1, 0))
        self.check(split(1, 3), "route-weights-changed", old=split(1, 1))
        self.check(split(2, 2), old=split(1, 1))
        self.check(split(0, 1), "route-service-changed", old=split(1, 0))

    def test_services_and_limits(self):
        new = make_config()
        new["services"].append({"name": "q"})
        self.check(new, "service-added")
        self.check(make_config(), "service-removed", old=new)
        self.check(with_service(maxConnections=80), "service-changed")
        shape = {"slots": 9, "kvCapacityTokens": 70}
        (found,) = self.check(with_service(engine=shape), "service-changed")
        self.assertIn("engine changes from none to slots=9 kv_tokens=70", found.message)
        limits = make_config()["limits"] | {"maxBodyBytes": 1}
        self.check(make_config(limits=limits), "limit-changed")

    def test_keys_are_counted_and_never_shown(self):
        new = make_config(tenants=[{"name": "team", "apiKeys": ["secret2"]}])
        found = self.check(new, "key-added", "key-removed")
        for finding in found + findings_of(
            make_config(tenants=[{"name": n, "apiKeys": ["secret2"]} for n in "ab"])
        ):
            self.assertNotIn("secret2", repr(finding))
        open_to_all = make_config(tenants=[])
        self.check(open_to_all, "key-requirement-changed", "workspace-removed")
        team = {"name": "team", "apiKeys": ["key1"], "priority": 2}
        self.check(make_config(tenants=[team]), "workspace-changed")


class TicketEntryTest(unittest.TestCase):
    """Guards against tickets whose objects no request can reach."""

    def check(self, document, *expected, in_force=None):
        found = ticket_findings(document, in_force)
        found = [f for f in found if f.severity is not Severity.CHANGE]
        self.assertEqual(rules(found), list(expected))

    def test_ticket_without_faults(self):
        self.check(make_ticket())

    def test_workspaces(self):
        path = ("workspaces", "w")
        cases = {
            ("workspace-without-key", (*path, "key_hashes")): {"key_hashes": []},
            ("key-used-twice", (*path, "key_hashes", 1)): {"key_hashes": [KEY, KEY]},
            ("pool-without-upstream", (*path, "pools")): {"pools": ["m", "s", "x"]},
        }
        for expected, changes in cases.items():
            with self.subTest(expected[0]):
                changed = {"w": workspace(**changes)}
                self.check(make_ticket(workspaces=changed), expected)
        without = {"w": workspace(), "v": workspace(pools=[], key_hashes=[OTHER_KEY])}
        expected = "workspace-without-pool", ("workspaces", "v", "pools")
        self.check(make_ticket(workspaces=without), expected)

    def test_key_of_a_workspace_in_force(self):
        expected = "key-used-twice", ("workspaces", "v", "key_hashes", 0)
        ticket = {"workspaces": {"v": workspace()}}
        self.check(ticket)
        self.check(ticket, expected, in_force=make_ticket())

    def test_upstreams(self):
        path = ("upstreams", "x")
        cases = {
            ("pool-of-two-kinds", (*path, "kind")): {"kind": "service"},
            ("address-used-twice", (*path, "address")): {"address": "http://s:1"},
            ("pool-without-workspace", (*path, "pool")): {"pool": "other"},
        }
        for expected, changes in cases.items():
            with self.subTest(expected[0]):
                extra = engine(address="http://x:1") | changes
                upstreams = make_ticket()["upstreams"] | {"x": extra}
                found = ticket_findings(make_ticket(upstreams=upstreams))
                self.assertIn(expected, rules(found))
                self.assertLessEqual({f.path[1] for f in found}, {"x", "s"})

    def test_route_behind_a_shorter_prefix(self):
        def ticket(*prefixes, method="*"):
            routes = [{"path_prefix": p, "repeatable": True} for p in prefixes]
            routes[0]["method"] = method
            upstreams = {"e": engine(), "s": service(routes=routes)}
            return make_ticket(upstreams=upstreams)

        expected = "route-shadowed", ("upstreams", "s", "routes", 1)
        self.check(ticket("/a", "/a/b"), expected)
        self.check(ticket("/a/b", "/a"))
        self.check(ticket("/a", "/a/b", method="GET"))

    def test_zones(self):
        zones = {"z0": {"in_service": True}, "z1": {"in_service": True}}
        expected = "zone-without-upstream", ("zones", "z1")
        self.check(make_ticket(zones=zones), expected)
        self.check({"zones": zones})
        self.check(make_ticket(zones=zones, number=2))
        self.check({"zones": zones}, expected, in_force=make_ticket())

    def test_removal_of_an_unknown_object(self):
        ticket = {"upstreams": {"f": None}}
        expected = "removes-nothing", ("upstreams", "f")
        self.check(ticket, expected, in_force=make_ticket())


class TicketDifferenceTest(unittest.TestCase):
    """Guards against tickets that change more than their author intended."""

    def check(self, ticket, *expected):
        found = ticket_findings(ticket, make_ticket())
        found = [f.rule for f in found if f.severity is Severity.CHANGE]
        self.assertEqual(found, list(expected))

    def test_objects_that_stay_equal_are_no_change(self):
        self.check(make_ticket())

    def test_changes(self):
        changed = workspace(key_hashes=[OTHER_KEY], pools=["m"], weight=2.0)
        self.check(
            {"workspaces": {"w": changed}},
            *("key-added", "key-removed", "pool-removed", "workspace-changed"),
        )
        self.check({"workspaces": {"v": workspace()}}, "workspace-added")
        self.check({"upstreams": {"e": engine(state="leaving")}}, "upstream-changed")
        self.check({"upstreams": {"e": None}}, "upstream-removed")
        self.check({"upstreams": {"f": engine()}}, "upstream-added")
        self.check({"workspaces": {"w": None}}, "workspace-removed")
        self.check({"zones": {"z0": None}}, "zone-removed")
        more = workspace(pools=["m", "s", "x"])
        self.check({"workspaces": {"w": more}}, "pool-added")
        self.check({"zones": {"z0": {"in_service": False}}}, "zone-changed")


class RefusedDocumentTest(unittest.TestCase):
    """Guards against errors that routers don't see, and refusals that have none."""

    VALUES = st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(10**30), 10**30),
        st.sampled_from([10**400, 1e308, 5e-324, "", "unsafe", {}, []]),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=5),
        st.lists(st.integers(), max_size=2),
        st.dictionaries(st.sampled_from(["name", "host"]), st.just("a")),
    )

    @classmethod
    def mutate(cls, data, document):
        """Replace, remove or add up to three fields anywhere in a document."""
        for _ in range(data.draw(st.integers(0, 3))):
            holder = document
            while True:
                names = (
                    sorted(holder) if isinstance(holder, dict) else range(len(holder))
                )
                if not names:
                    break
                name = data.draw(st.sampled_from(names))
                inner = holder[name]
                if isinstance(inner, dict | list) and data.draw(st.booleans()):
                    holder = inner
                    continue
                if data.draw(st.booleans()):
                    holder[name] = data.draw(cls.VALUES)
                else:
                    del holder[name]
                break
        return document

    @settings(max_examples=400, deadline=None)
    @given(st.data())
    def test_configurations(self, data):
        document = self.mutate(data, make_config())
        refused = refused_by_routers(json.dumps(document).encode())
        self.assertEqual(has_error(findings_of(document)), refused)
        findings_of(document, make_config())
        findings_of(make_config(2), document)

    @settings(max_examples=400, deadline=None)
    @given(st.data())
    def test_tickets(self, data):
        document = self.mutate(data, make_ticket(number=1))
        status, text = run_program(document)
        try:
            decode_ticket(json.dumps(document).encode())
            refused = False
        except ModelError:
            refused = True
        severities = {row["severity"] for row in json.loads(text)["findings"]}
        self.assertEqual("error" in severities, refused, text)
        self.assertEqual(status, bool(severities))

    def test_large_and_nested_entries_are_read_by_routers_and_have_no_error(self):
        for other in (json.loads("[" * 40 + "]" * 40), "x" * 300_000):
            document = make_config(other=other)
            self.assertFalse(refused_by_routers(json.dumps(document).encode()))
            self.assertEqual(findings_of(document), [])

    def test_version_that_is_not_newer(self):
        found = findings_of(make_config(3), make_config(3))
        self.assertEqual(rules(found), [("version-not-newer", ("version",))])
        self.assertEqual(findings_of(make_config(4), make_config(3)), [])

    def test_ticket_number_and_size(self):
        first = decode_ticket(json.dumps(make_ticket(number=1)).encode())
        snapshot = FleetState().apply(first)
        for number, expected in ((2, []), (3, [("number-conflict", ("number",))])):
            found = check_ticket(replace(first, number=number), 100, snapshot)
            self.assertEqual(rules(found), expected)
        # A ticket in force says nothing about the tickets after it.
        found = ticket_findings(make_ticket(number=9), make_ticket(number=1))
        self.assertEqual(found, [])
        found = ticket_findings(make_ticket(), None, MAX_FILED_BYTES + 1)
        self.assertEqual(rules(found), [("too-large", ())])

    def test_error_names_the_place(self):
        found = findings_of(with_route(timeoutMs="x"))
        self.assertEqual(rules(found), [("unreadable", ("routes", 0, "timeoutMs"))])


class SpeedTest(unittest.TestCase):
    """Guards against rules that compare each route with every other."""

    def check(self, check, *arguments):
        began_s = time.process_time()
        found = check(*arguments)
        self.assertLess(time.process_time() - began_s, MAX_CHECK_S)
        return found

    def test_thousands_of_routes(self):
        routes = [
            make_route(f"/r{n}/", name=f"r{n}", service=f"s{n % 500}")
            for n in range(5_000)
        ]
        services = [{"name": f"s{n}"} for n in range(500)]
        tenants = [
            {"name": f"t{n}", "apiKeys": [f"k{n}-{m}" for m in range(10)]}
            for n in range(1_000)
        ]
        old = make_config(1, routes=routes, services=services, tenants=tenants)
        new = old | {"version": 2, "routes": routes[::-1]}
        self.assertEqual(self.check(findings_of, new, old), [])

    def test_thousands_of_entries_in_a_ticket(self):
        routes = [{"path_prefix": f"/{n}/", "repeatable": True} for n in range(5_000)]
        workspaces = {f"w{n}": workspace() for n in range(2_000)}
        upstreams = {f"u{n}": service() for n in range(2_000)}
        upstreams["u0"]["routes"] = routes
        ticket = make_ticket(workspaces=workspaces, upstreams=upstreams)
        found = self.check(ticket_findings, ticket, ticket)
        counts = Counter(finding.rule for finding in found)
        expected = {"key-used-twice": 2_000, "address-used-twice": 2_000}
        self.assertEqual(counts, expected | {"pool-without-upstream": 2_000})


def run_program(document, *in_force, as_json=True):
    """Run the check on documents, given as values or bytes; return status and text."""
    out = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        arguments = ["check"]
        for index, value in enumerate((document, *in_force)):
            path = Path(folder, f"{index}.json")
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            path.write_bytes(data)
            arguments += ["--in-force", str(path)] if index else [str(path)]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            try:
                program.app(
                    arguments + ["--json"] * as_json,
                    exit_on_error=False,
                )
                status = 0
            except SystemExit as error:
                status = error.code or 0
    return status, out.getvalue()


class ProgramTest(unittest.TestCase):
    """Guards against exit statuses and output that scripts can't rely on."""

    def test_exit_statuses(self):
        for document in (make_config(), make_ticket()):
            self.assertEqual(run_program(document)[0], 0)
        self.assertEqual(run_program(with_route(timeoutMs=1))[0], 1)
        self.assertEqual(run_program({})[0], 1)
        for data in (b"", b"[]", b'{"zones":', b"\xff", b"[" * 100_000):
            self.assertEqual(run_program(data)[0], 2)
        self.assertEqual(run_program(make_config(), make_ticket())[0], 2)
        self.assertEqual(run_program(make_ticket(), {"zones": 1})[0], 2)

    def test_tickets_of_the_examples_have_no_findings(self):
        paths = sorted(EXAMPLES.glob("*/ticket*.json"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path):
                status, text = run_program(path.read_bytes())
                self.assertEqual(status, 0, text)

    def test_json_names_the_fields_of_the_document(self):
        status, text = run_program(with_route(timeoutMs=100))
        found = json.loads(text)
        self.assertEqual((status, found["document"]), (1, "configuration"))
        (finding,) = found["findings"]
        self.assertEqual(finding["path"], "routes[0].timeoutMs")
        fields = {"rule", "severity", "path", "message", "action"}
        self.assertEqual(set(finding), fields)

    def test_text_escapes_control_characters(self):
        document = with_route(name="a\x1b[2J\nb", timeoutMs=100)
        _, text = run_program(document, as_json=False)
        self.assertIn("a\\x1b[2J\\nb", text)
        self.assertEqual(len(text.splitlines()), 2)

    def test_several_tickets_in_force_apply_in_order(self):
        tickets = [make_ticket(), {"upstreams": {"f": engine()}}]
        document = {"upstreams": {"f": None}}
        _, text = run_program(document, *tickets)
        (finding,) = json.loads(text)["findings"]
        self.assertEqual(finding["rule"], "upstream-removed")
        two = make_config(1), make_config(2)
        self.assertEqual(run_program(make_config(3), *two)[0], 2)

    def test_snapshot_in_force(self):
        ticket = decode_ticket(json.dumps(make_ticket(number=1)).encode())
        snapshot = encode_state(state_of_ticket(ticket))
        document = {"number": 2, "zones": {"z0": {"in_service": False}}}
        status, text = run_program(document, snapshot)
        (finding,) = json.loads(text)["findings"]
        self.assertEqual((status, finding["rule"]), (1, "zone-changed"))


if __name__ == "__main__":
    unittest.main()
