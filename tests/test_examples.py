"""Tests that the example deployments are valid, complete and consistent."""

import hashlib
import importlib
import json
import runpy
import unittest
from pathlib import Path

from carobstair.load.settings import LoadSettings
from carobstair.models import TicketModel, parse_model
from carobstair.report.settings import ReportSettings
from carobstair.settings import RouterSettings, load_settings

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
# Numbers of routers, engines, services and zones; both have 16 workspaces.
SIZES = {"masrah": (6, 9, 3, 3), "altyn": (8, 5, 4, 4)}


class TestExamples(unittest.TestCase):
    """Guards against errors in the examples that operators start from."""

    def test_settings_and_tickets_agree_at_the_expected_sizes(self):
        for name, (routers, engines, services, zones) in SIZES.items():
            with self.subTest(example=name):
                folder = EXAMPLES / name
                instances = [
                    load_settings(path, RouterSettings).instance
                    for path in sorted(folder.glob("entry-*.ini"))
                ]
                first_ticket = (folder / "ticket-0001-first.json").read_bytes()
                ticket = parse_model(TicketModel, first_ticket)
                kinds = [str(u.kind) for u in ticket.upstreams.values()]
                self.assertEqual(
                    (
                        len({instance.name for instance in instances}),
                        kinds.count("engine"),
                        kinds.count("service"),
                        len(ticket.zones),
                        len(ticket.workspaces),
                    ),
                    (routers, engines, services, zones, 16),
                )
                self.assertEqual({i.zone for i in instances}, set(ticket.zones))
                self.assertLessEqual(
                    {u.zone for u in ticket.upstreams.values()}, set(ticket.zones)
                )
                for path in folder.glob("ticket-zone-*.json"):
                    zone_ticket = parse_model(TicketModel, path.read_bytes())
                    self.assertLessEqual(set(zone_ticket.zones), set(ticket.zones))
                self.check_tools(folder, ticket, instances)

    def check_tools(self, folder, ticket, instances):
        """Check that the report and load settings name the same routers and keys."""
        addresses = {f"http://{i.host}:{i.http_port}" for i in instances}
        report = load_settings(folder / "report.ini", ReportSettings).report
        self.assertEqual(set(report.addresses().values()), addresses)
        load = load_settings(folder / "load.ini", LoadSettings)
        self.assertEqual(set(load.load.addresses()), addresses)
        for name, workspace_load in load.workspace.items():
            digest = hashlib.sha256(workspace_load.key.encode()).hexdigest()
            self.assertIn(digest, ticket.workspaces[name].key_hashes)
        zone_ticket = json.loads((folder / "ticket-zone-out.json").read_text())
        self.assertEqual(list(zone_ticket["zones"].values()), [{"in_service": False}])


class TestLibrary(unittest.TestCase):
    """Guards the public interface of `carobstair.core` and its example."""

    def test_exported_names_exist_and_are_documented(self):
        core = importlib.import_module("carobstair.core")
        self.assertEqual(len(core.__all__), len(set(core.__all__)))
        for name in core.__all__:
            exported = getattr(core, name)
            if isinstance(exported, type) or callable(exported):
                self.assertTrue(exported.__doc__, name)

    def test_embedding_example_serves_by_weight_within_the_bound(self):
        example = runpy.run_path(str(EXAMPLES / "embed.py"))
        served = example["serve"](60.0)
        tokens, slots = example["REQUEST_TOKENS"], example["SLOTS"]
        # In the gap bound, R x D is 0 with one node, and W_max is all slots in flight.
        bound = 2 * (slots * tokens + tokens)
        shares = [served[name] / w for name, w in example["WEIGHTS"].items()]
        self.assertLessEqual(abs(shares[0] - shares[1]), bound)
        self.assertGreater(sum(served.values()), 0.95 * 60 * slots * tokens)


if __name__ == "__main__":
    unittest.main()
