"""Tests of the account of what each workspace asked for and got."""

import unittest
from unittest import mock

from carobstair.core.overload import OverloadGuard
from carobstair.core.refusals import refuse
from carobstair.core.service_account import ServiceAccount
from carobstair.edge.early_refusals import EarlyRefusals
from edge_test_case import EdgeCase
from platform_standins import make_config


def make_engine_config(tokens_per_s):
    """Return a configuration whose service has engines with a shared throughput."""
    config = make_config()
    config["services"][0]["engine"] = {"slots": 8, "kvCapacityTokens": 100_000}
    config["limits"]["tokensPerS"] = tokens_per_s
    return config


class TakeRefusedTest(unittest.TestCase):
    """Guards against log lines whose number grows with the workspaces."""

    def test_only_the_largest_workspaces_with_refusals_are_returned(self):
        account = ServiceAccount()
        for number in range(30):
            account.note_asked("model", f"w{number}", 100.0 * number)
            if number % 2:
                account.note_refused("model", f"w{number}", "share")
        rows = account.take_refused(3)
        self.assertEqual([row.workspace for row in rows], ["w29", "w27", "w25"])
        self.assertEqual(account.take_refused(3), [])


class WorkspaceServiceTest(EdgeCase):
    """Guards against refusals that no metric explains for a workspace."""

    async def call_stream(self, tokens):
        return await self.call(
            "/stream/x", "POST", **{"Carobstair-Token-Counts": f"{tokens},0"}
        )

    def rows(self):
        """Return the account by workspace."""
        rows = self.app.account.take_refused(9)
        return {
            row.workspace: (row.asked_tokens, row.begun_tokens, dict(row.refused))
            for row in rows
        }

    async def test_refusals_by_share_are_counted_beside_what_began(self):
        await self.start_upstreams("stream", config=make_engine_config(1000.0))
        await self.call_stream(100)
        for _ in range(4):
            await self.call_stream(1000)
        (asked, begun, refused), *_ = self.rows().values()
        self.assertEqual(asked, 4100.0)
        self.assertGreater(begun, 0.0)
        self.assertGreater(refused["share"], 1)
        self.assertEqual(begun + 1000.0 * refused["share"], asked)

    async def test_what_is_admitted_and_by_which_share_is_counted(self):
        await self.start_upstreams("stream", config=make_engine_config(1000.0))
        for tokens in (100, 1000, 1000):
            await self.call_stream(tokens)
        (row,) = self.app.account.take_refused(9)
        self.assertEqual(row.admitted_tokens, row.begun_tokens)
        self.assertGreater(row.admitted_tokens, 0.0)
        self.assertLess(row.share_per_s, row.demand_per_s)
        self.assertEqual(row.room_tokens, 0.0)

    async def test_request_that_is_shed_by_its_head_is_counted(self):
        await self.start_upstreams("stream", config=make_engine_config(1e9))
        busy = refuse("router-busy")
        with mock.patch.object(EarlyRefusals, "check", side_effect=busy):
            status, _, _ = await self.call_stream(1000)
        self.assertEqual(status, 503)
        self.assertEqual(self.rows(), {"team": (1000.0, 0.0, {"router-busy": 1})})

    async def test_demand_that_a_busy_router_refuses_is_counted(self):
        await self.start_upstreams("stream", config=make_engine_config(1e9))
        with (
            # A lag that is noted once has fallen below the limit after 0.1 s.
            mock.patch.object(OverloadGuard, "lag_s", lambda guard, now_s: 0.4),
            mock.patch.object(self.app._rng, "random", lambda: 0.5),
        ):
            status, _, _ = await self.call_stream(1000)
        self.assertEqual(status, 503)
        self.assertEqual(self.rows(), {"team": (1000.0, 0.0, {"router-busy": 1})})

    async def test_late_router_refuses_workspaces_beyond_their_share_by_their_head(
        self,
    ):
        # A crowded router spent its time on requests that it then refused.
        await self.start_upstreams("stream", config=make_engine_config(1000.0))
        for _ in range(3):
            await self.call_stream(1000)
        self.rows()
        with (
            mock.patch.object(OverloadGuard, "lag_s", lambda guard, now_s: 0.4),
            mock.patch.object(self.app._rng, "random", lambda: 0.5),
            mock.patch.object(self.app, "_read_body") as read_body,
        ):
            status, _, _ = await self.call_stream(1000)
        read_body.assert_not_called()
        self.assertEqual(status, 503)
        self.assertEqual(self.rows(), {"team": (1000.0, 0.0, {"router-busy": 1})})


if __name__ == "__main__":
    unittest.main()
