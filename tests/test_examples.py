"""The example deployments are valid, whole and fit each other."""

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
# Routers, engines, plain services, zones; both have 16 workspaces.
SIZES = {"masrah": (6, 9, 3, 3), "altyn": (8, 5, 4, 4)}


class TestExamples(unittest.TestCase):
    """An operator can start from them without a mistake of ours."""

    def test_settings_and_tickets_agree_at_the_sizes_of_today(self):
        for name, (routers, engines, services, zones) in SIZES.items():
            with self.subTest(example=name):
                folder = EXAMPLES / name
                instances = [
                    load_settings(path, RouterSettings).instance
                    for path in sorted(folder.glob("entry-*.ini"))
                ]
                first = (folder / "ticket-0001-first.json").read_bytes()
                ticket = parse_model(TicketModel, first)
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
                    moved = parse_model(TicketModel, path.read_bytes())
                    self.assertLessEqual(set(moved.zones), set(ticket.zones))
                self.check_tools(folder, ticket, instances)

    def check_tools(self, folder, ticket, instances):
        """Check that report and load reach the same routers and workspaces."""
        addresses = {f"http://{i.host}:{i.http_port}" for i in instances}
        report = load_settings(folder / "report.ini", ReportSettings).report
        self.assertEqual(set(report.addresses().values()), addresses)
        load = load_settings(folder / "load.ini", LoadSettings)
        self.assertEqual(set(load.load.addresses()), addresses)
        for name, found in load.workspace.items():
            digest = hashlib.sha256(found.key.encode()).hexdigest()
            self.assertIn(digest, ticket.workspaces[name].key_hashes)
        operator = json.loads((folder / "ticket-zone-out.json").read_text())
        self.assertEqual(list(operator["zones"].values()), [{"in_service": False}])


class TestLibrary(unittest.TestCase):
    """The surface for other programs."""

    def test_names_exist_are_documented(self):
        core = importlib.import_module("carobstair.core")
        self.assertEqual(len(core.__all__), len(set(core.__all__)))
        for name in core.__all__:
            found = getattr(core, name)
            if isinstance(found, type) or callable(found):
                self.assertTrue(found.__doc__, name)

    def test_embedding_example_serves_by_weight_within_the_bound(self):
        example = runpy.run_path(str(EXAMPLES / "embed.py"))
        served = example["serve"](60.0)
        tokens, slots = example["REQUEST_TOKENS"], example["SLOTS"]
        # R x D is 0 with one node; all slots in flight are W_max.
        bound = 2 * (slots * tokens + tokens)
        shares = [served[name] / w for name, w in example["WEIGHTS"].items()]
        self.assertLessEqual(abs(shares[0] - shares[1]), bound)
        self.assertGreater(sum(served.values()), 0.95 * 60 * slots * tokens)


if __name__ == "__main__":
    unittest.main()
