"""Metrics: documented, bounded, and closed where a key is set."""

import re
import threading
import unittest
from pathlib import Path

import falcon.asgi
import falcon.testing
from prometheus_client.parser import text_string_to_metric_families

from carobstair.core.refusals import Refusal
from carobstair.core.state import (
    FleetState,
    Upstream,
    UpstreamKind,
    Workspace,
)
from carobstair.metrics import RouterMetrics
from carobstair.net import app as router_app
from carobstair.settings import (
    GatewaySettings,
    InstanceSettings,
    PlatformSettings,
    RouterSettings,
)

PAGE = Path(__file__).resolve().parent.parent / "docs" / "METRICS.md"
ROW = re.compile(r"^\| `([a-z_]+)` \| (\w+) \|([^|]*)\| ([^|]+) \|$", re.MULTILINE)


class TestDocumentation(unittest.TestCase):
    """The page and the code agree."""

    def test_page_and_code_name_the_same_metrics_types_labels_and_buckets(self):
        documented = {
            name: (kind, tuple(re.findall(r"`(\w+)`", labels)))
            for name, kind, labels, _ in ROW.findall(PAGE.read_text())
        }
        defined = {}
        for metric in RouterMetrics().metrics:
            family = metric.describe()[0]
            suffix = "_total" if family.type == "counter" else ""
            defined[family.name + suffix] = (family.type, tuple(metric._labelnames))
            if family.type == "histogram":
                bounds = ", ".join(f"{b:g}" for b in metric._kwargs["buckets"])
                self.assertIn(bounds, PAGE.read_text(), family.name)
        documented = {
            name: value
            for name, value in documented.items()
            if not name.startswith("process_")
        }
        self.assertEqual(documented, defined)

    def test_process_metrics_are_on_the_page_and_documented(self):
        page = RouterMetrics().render().decode()
        for name in (
            "process_cpu_seconds_total",
            "process_resident_memory_bytes",
            "process_start_time_seconds",
        ):
            self.assertIn(f"\n{name} ", page)
            self.assertIn(f"`{name}`", PAGE.read_text())


class TestBoundedLabels(unittest.TestCase):
    """The number of series follows the tickets in force."""

    def test_series_of_what_left_force_are_dropped_and_others_kept(self):
        # A workspace per ticket over a year would grow the page without bound.
        metrics = RouterMetrics()
        upstream = Upstream("u-1", "m-1", UpstreamKind.ENGINE, "http://a", "zone-a")
        state = FleetState(1, {"w-1": Workspace("w-1", 1.0)}, {"u-1": upstream}, {})
        for workspace in ("w-1", "gone"):
            metrics.requests.labels(workspace, "quick", "answered").inc()
            metrics.first_token_s.labels(workspace, "quick").observe(0.1)
            metrics.served_tokens.labels("m-1", workspace).inc()
        metrics.limit.labels("u-1").set(1)
        metrics.limit.labels("gone").set(1)
        metrics.waiting.labels("gone-pool", "w-1").set(1)
        metrics.keep_in_force(state)
        page = metrics.render().decode()
        self.assertNotIn("gone", page)
        kept = {
            sample.name
            for family in text_string_to_metric_families(page)
            for sample in family.samples
            if "w-1" in sample.labels.values() or "u-1" in sample.labels.values()
        }
        self.assertLessEqual(
            {
                "carobstair_requests_total",
                "carobstair_first_token_seconds_bucket",
                "carobstair_served_tokens_total",
                "carobstair_upstream_limit",
            },
            kept,
        )


class TestScrape(unittest.TestCase):
    """The page over HTTP."""

    def client(self, metrics, key=""):
        settings = RouterSettings(
            instance=InstanceSettings(name="entry-1", zone="zone-a"),
            platform=PlatformSettings(address="http://127.0.0.1:1"),
            gateway=GatewaySettings(operator_key="operator", metrics_key=key),
        )
        guard = router_app._OperatorAuth(settings)
        app = falcon.asgi.App(middleware=[guard])

        async def refused(req, resp, refusal, params):
            resp.status = refusal.status

        app.add_error_handler(Refusal, refused)
        app.add_route("/metrics", router_app._Metrics(metrics))
        return falcon.testing.TestClient(app)

    def test_a_metrics_key_closes_the_page_to_callers_and_operators(self):
        client = self.client(RouterMetrics(), "scraper")
        statuses = [
            client.simulate_get("/metrics", headers=headers).status_code
            for headers in (
                {},
                {"Authorization": "Bearer caller"},
                {"Authorization": "Bearer operator"},
                {"Authorization": "Bearer scraper"},
            )
        ]
        self.assertEqual(statuses, [401, 401, 401, 200])
        self.assertEqual(
            self.client(RouterMetrics()).simulate_get("/metrics").status_code, 200
        )

    def test_gauges_are_read_in_the_loop_and_the_page_is_made_beside_it(self):
        # A page of 550 workspaces took over a second and held up all streams.
        threads = {}

        class Noted(RouterMetrics):
            def refresh(self):
                threads["refresh"] = threading.get_ident()

            def render(self):
                threads["render"] = threading.get_ident()
                return super().render()

        self.client(Noted()).simulate_get("/metrics")
        self.assertNotEqual(threads["refresh"], threads["render"])


if __name__ == "__main__":
    unittest.main()
