"""Tests of roll-outs at an edge router with a store and upstreams on loopback."""

import asyncio
import random
import tempfile
import time
import unittest
from pathlib import Path

from carobstair.core.fleet_view import BASE_KINDS, StateKind, StoreChange
from carobstair.core.rollouts import RolloutController, RolloutSettings, VersionGate
from carobstair.edge.rollout_driver import RolloutDriver
from carobstair.edge.rollout_evidence import RolloutEvidence
from carobstair.edge.state_store import StoreConflict
from carobstair.platform.boot import load_boot_settings
from carobstair.platform.documents import decode_rollout, rollout_status
from edge_test_case import EdgeCase, wait_until
from gossip_nodes import RecordingTransport
from platform_standins import UpstreamStandIn, make_script, make_upstream_entry

# Shares that give enough answers within the first seconds of these orders. The verdict
# and the ramp are early, so that a stall of the machine leaves time before the
# deadline.
SETTINGS = RolloutSettings(
    exposure_slack=500.0,
    interval_s=0.05,
    probe_share=0.4,
    canary_share=0.4,
    hold_share=0.4,
    ramp_shares=(0.6, 0.8),
    verdict_part=0.04,
    ramp_part=0.07,
    step_part=0.005,
    min_margin_s=0.2,
)
ORDER = {"service": "plain", "to": "v2", "durationS": 20}


class RolloutEdgeTest(EdgeCase):
    """Guards against verdicts that are wrong, late, or written over newer objects."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Before the follower runs for the first time.
        self.view.kinds = tuple(StateKind)
        self.controller = RolloutController("r0", 1, SETTINGS)
        self.gate = VersionGate(self.directory, self.controller, SETTINGS)
        self.dispatcher.versions = self.gate
        evidence = RolloutEvidence(self.controller, self.dispatcher, self.metrics)
        self.relay.rollouts = evidence
        self.driver = RolloutDriver(
            self.controller,
            self.gate,
            evidence,
            self.view,
            self.client,
            RecordingTransport(),
            lambda: [],
            lambda: 0,
            decode_rollout,
            rollout_status,
            self.metrics,
            random.Random(1),
        )
        self.tasks.append(asyncio.create_task(self.driver.run()))

    def on_state_change(self, kind, names):
        """Pass orders and upstreams on."""
        self.driver.on_state_change(kind, names)

    async def start_versions(self, new_script):
        """Start two upstreams of each version, and give the order."""
        await self.start_upstreams("ok", "ok")
        for number in (2, 3):
            upstream = await UpstreamStandIn(make_script(new_script)).start()
            self.upstreams.append(upstream)
            entry = make_upstream_entry(upstream.port, version="v2", born=2)
            self.store.put("servers", f"u{number}", entry)
        await wait_until(lambda: len(self.directory.ids()) == 4)
        self.store.put("rollouts", "plain", ORDER)

    def counts(self):
        """Return the requests that the upstreams of both versions got."""
        counts = [len(upstream.requests) for upstream in self.upstreams]
        return sum(counts[:2]), sum(counts[2:])

    async def call_until_verdict(self):
        """Call until the store has a verdict; return it."""
        number = 0
        while not (status := self.store.objects["rollouts", "plain"].get("status")):
            calls = (
                self.call("/safe/x", attempt_id=f"a{number}-{n}") for n in range(4)
            )
            await asyncio.gather(*calls)
            number += 1
            await asyncio.sleep(0.005)
            self.assertLess(number, 2000)
        await wait_until(lambda: self.controller.state_of("plain").is_final)
        return status

    async def test_good_version_is_completed(self):
        await self.start_versions("ok")
        self.assertEqual(
            await self.call_until_verdict(), {"state": "completed", "to": "v2"}
        )
        old, _ = self.counts()
        for number in range(20):
            status, *_ = await self.call("/safe/x", attempt_id=f"b{number}")
            self.assertEqual(status, 200)
        self.assertEqual(self.counts()[0], old)
        self.assertEqual(len(self.store.status_writes), 1)

    async def test_bad_version_is_rolled_back(self):
        await self.start_versions("error ok")
        for upstream in self.upstreams[2:]:
            upstream._script = make_script("error ok error error ok error error")
        self.assertEqual(
            await self.call_until_verdict(), {"state": "rolled_back", "to": "v2"}
        )
        _, new = self.counts()
        self.assertLess(new, 60)
        for number in range(20):
            await self.call("/safe/x", attempt_id=f"b{number}")
        self.assertEqual(self.counts()[1], new)
        self.assertEqual(len(self.store.status_writes), 1)

    async def test_status_is_not_written_over_a_newer_object(self):
        self.store.put("rollouts", "plain", ORDER)
        revision = self.store.revision
        self.store.put("rollouts", "plain", ORDER | {"to": "v3"})
        status = {"state": "completed", "to": "v2"}
        with self.assertRaises(StoreConflict) as caught:
            await self.client.put_status(StateKind.ROLLOUTS, "plain", status, revision)
        self.assertEqual(caught.exception.current.revision, self.store.revision)
        self.assertNotIn("status", self.store.objects["rollouts", "plain"])

    async def test_order_that_becomes_unreadable_still_holds(self):
        """Guards against a bad version that is used as if its order were removed."""
        await self.start_versions("ok")
        await wait_until(lambda: self.controller.state_of("plain") is not None)
        self.store.put("rollouts", "plain", ORDER | {"durationS": -1})
        known = self.view.objects(StateKind.ROLLOUTS)
        revision = self.store.revision
        await wait_until(lambda: known["plain"].revision == revision)
        self.assertEqual(self.controller.state_of("plain").order.target, "v2")
        self.store.delete("rollouts", "plain")
        await wait_until(lambda: self.controller.state_of("plain") is None)

    async def test_status_response_without_spec_changes_no_order(self):
        """Guards against an order that is lost by a response with the status alone."""
        self.store.put("rollouts", "plain", ORDER)
        put_status = self.store.put_status

        def put_status_alone(*args):
            code, stored = put_status(*args)
            return code, {key: stored[key] for key in stored if key != "spec"}

        self.store.put_status = put_status_alone
        status = {"state": "completed", "to": "v2"}
        revision = self.store.revision
        call = self.client.put_status(StateKind.ROLLOUTS, "plain", status, revision)
        self.assertIsNone(await call)
        with self.assertRaises(StoreConflict) as caught:
            await self.client.put_status(StateKind.ROLLOUTS, "plain", status, revision)
        self.assertIsNone(caught.exception.current)

    async def test_status_response_does_not_pass_other_orders(self):
        """Guards against changes of other orders that seem to be known already."""
        self.store.put("rollouts", "plain", ORDER)
        known = self.view.objects(StateKind.ROLLOUTS)
        await wait_until(lambda: "plain" in known)
        before = self.view.stamps()
        change = known["plain"]
        newer = StoreChange("plain", change.revision + 9, change.spec, change.era)
        self.assertTrue(self.view.apply_response(StateKind.ROLLOUTS, newer))
        self.assertEqual(known["plain"].revision, newer.revision)
        self.assertEqual(self.view.stamps(), before)

    async def test_router_is_ready_once_orders_are_listed(self):
        """Guards against requests that are placed before orders are known."""
        await wait_until(lambda: StateKind.ROLLOUTS in self.view.listed)
        self.assertTrue(self.driver.is_ready(0.0))
        self.view.listed.clear()
        self.driver.on_state_change(StateKind.ROUTING, ["routing"])
        now_s = time.monotonic()
        self.assertFalse(self.driver.is_ready(now_s))
        self.assertTrue(self.driver.is_ready(now_s + 2.0))

    async def test_unreadable_orders_are_skipped_alone(self):
        await self.start_upstreams("ok")
        odd = [[], {}, {"service": "plain"}, ORDER | {"durationS": -1}]
        odd += [ORDER | {"durationS": 1e300}, ORDER | {"to": ""}, ORDER | {"to": 5}]
        odd += [ORDER | {"service": "other"}]
        for number, spec in enumerate(odd):
            self.store.put("rollouts", f"odd{number}", spec)
        unknown = ORDER | {"service": "nowhere"}
        self.store.put("rollouts", "nowhere", unknown)
        self.store.put("rollouts", "plain", ORDER)
        known = self.view.objects(StateKind.ROLLOUTS)
        await wait_until(lambda: len(known) == len(odd) + 2)
        self.assertIsNotNone(self.controller.state_of("plain"))
        self.assertIsNone(self.controller.state_of("nowhere"))
        self.assertEqual((await self.call("/safe/x"))[0], 200)


class WithoutRolloutsTest(EdgeCase):
    """Guards deployments without roll-outs against calls and decisions for them."""

    async def test_no_order_is_followed(self):
        await self.start_upstreams("ok", "ok")
        self.store.put("rollouts", "plain", ORDER)
        self.store.put(
            "servers", "u1", make_upstream_entry(self.upstreams[1].port, version="v2")
        )
        for number in range(40):
            await self.call("/safe/x", attempt_id=f"a{number}")
        kinds = {"config", "servers", "evacuations"}
        kinds |= {"carobstair-routers", "carobstair-refused-parts"}
        self.assertEqual(self.store.called_kinds, kinds)
        # Both versions are used like any upstreams, and at once.
        self.assertTrue(all(upstream.requests for upstream in self.upstreams))
        self.assertEqual(len(self.view.stamps()), len(BASE_KINDS))


class RolloutDocumentTest(unittest.TestCase):
    """Guards against settings and documents that are read wrongly."""

    def test_settings_name_the_contract(self):
        base = (
            'nodeName = "n"\nipAddress = "127.0.0.1"\nzone = "a"\n'
            "internalPortRange = [4000, 4010]\n%s"
            '[listen]\nfront = "a:1"\nready = "a:2"\n[platform]\naddress = "a:3"\n'
            "[bounds]\nexposureShare = 0.2\nexposureSlack = 7\nrollbackMs = 4000\n"
        )
        expected = {
            "": None,
            'contracts = ["pressure"]\n': None,
            'contracts = ["pressure", "rollout"]\n': RolloutSettings(0.2, 7.0, 4.0),
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            for line, rollouts in expected.items():
                path.write_text(base % line)
                self.assertEqual(load_boot_settings(path).rollouts, rollouts)

    def test_status_of_another_version_is_none(self):
        spec = b'{"spec":{"service":"a","to":"v3","durationS":9},"status":%s}'
        for status, expected in (
            (b'{"state":"completed","to":"v2"}', None),
            (b'{"state":"completed","to":"v3"}', "completed"),
            (b'{"state":"odd","to":"v3"}', None),
            (b"null", None),
        ):
            change = StoreChange("a", 4, spec % status)
            self.assertEqual(decode_rollout(change)[1], expected)


if __name__ == "__main__":
    unittest.main()
