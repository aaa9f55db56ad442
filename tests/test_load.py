"""Tests of the load generator: seeded plans, answer checks and histograms.

The histograms are corrected for coordinated omission.
"""

import unittest
from collections import Counter
from itertools import pairwise

import aiohttp
from aiohttp import web

from carobstair.load.client import Client, Outcome
from carobstair.load.plan import PlannedAction, PlannedChat, make_plan
from carobstair.load.results import LoadResults
from carobstair.load.runner import run_load
from carobstair.load.settings import LoadSection, LoadSettings, WorkspaceLoad
from carobstair.net.bodies import CheckedResponse

CHAT = PlannedChat(0.0, 1, "w", 0, "m", "hello answer_tokens=3", 3)
ACTION = PlannedAction(0.0, 2, "w", 0, "ledger", "holds", "key-1")


def settings(seed=1, routers=("http://127.0.0.1:1", "http://127.0.0.1:2"), **load):
    """Return settings with a workspace that chats and one that calls a service."""
    return LoadSettings(
        load=LoadSection(
            routers=list(routers),
            seed=seed,
            **{"rate_per_s": 200.0, "seconds": 20.0, **load},
        ),
        workspace={
            "chats": WorkspaceLoad(key="a", weight=3, model="m"),
            "books": WorkspaceLoad(
                key="b", service="ledger", action_fraction=1, repeat_fraction=0.5
            ),
        },
    )


class TestPlan(unittest.TestCase):
    """Guards against plans that depend on more than the seed or miss their rates."""

    def test_same_seed_same_plan_and_other_seed_another(self):
        plan = list(make_plan(settings()))
        self.assertEqual(plan, list(make_plan(settings())))
        self.assertNotEqual(plan, list(make_plan(settings(seed=2))))
        self.assertTrue(all(a.at_s <= b.at_s for a, b in pairwise(plan)))
        self.assertEqual(len({request.number for request in plan}), len(plan))

    def test_rate_weights_spread_tail_and_repeats(self):
        plan = list(make_plan(settings(router_weights=["3", "1"])))
        chats = [r for r in plan if isinstance(r, PlannedChat)]
        actions = [r for r in plan if isinstance(r, PlannedAction)]
        keys = Counter(action.key for action in actions)
        # 4000 arrivals are expected; bounds are five standard deviations.
        self.assertAlmostEqual(len(chats) + len(keys), 4000, delta=5 * 4000**0.5)
        self.assertAlmostEqual(len(chats) / len(keys), 3.0, delta=0.6)
        first = sum(request.router == 0 for request in chats)
        self.assertAlmostEqual(first / len(chats), 0.75, delta=0.05)
        self.assertAlmostEqual(
            sum(n == 2 for n in keys.values()) / len(keys), 0.5, delta=0.08
        )
        for key in [key for key, n in keys.items() if n == 2][:20]:
            routers = {action.router for action in actions if action.key == key}
            self.assertEqual(routers, {0, 1})
        lengths = sorted(chat.tokens for chat in chats)
        self.assertAlmostEqual(lengths[len(lengths) // 2], 60, delta=6)
        self.assertGreater(lengths[int(len(lengths) * 0.99)], 5 * 60)


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong answers that are missed or reported as another fault."""

    async def asyncSetUp(self):
        self.reply = None
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", lambda request: self.reply(request))
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def send(self, reply, request=CHAT, **options):
        self.reply = reply
        async with aiohttp.ClientSession(response_class=CheckedResponse) as session:
            client = Client(session, [self.address], {"w": "secret"}, **options)
            return await client.send(request)

    async def send_events(self, *lines, request_id="load-w-1", **options):
        async def reply(request):
            body = "".join(line + "\n\n" for line in lines)
            return web.Response(text=body, headers={"X-Request-Id": request_id})

        return await self.send(reply, **options)

    async def test_complete_and_broken_streams(self):
        def chunk(number, text="t", finish="null"):
            choice = f'{{"delta":{{"content":"{text}"}},"finish_reason":{finish}}}'
            return f'id: {number}\ndata: {{"choices":[{choice}]}}'

        end = chunk(3, "", '"stop"')
        done = "data: [DONE]"
        error = 'event: error\ndata: {"type":"urn:x:answer-lost","ran":"unknown"}'
        cases = (
            ("answered", "", (chunk(1), chunk(2), end, done)),
            ("not whole", "event 3 where 2 was due", (chunk(1), end, done)),
            ("not whole", "event 1 where 2 was due", (chunk(1), chunk(1), end, done)),
            ("not whole", "no finish reason", (chunk(1), chunk(2), done)),
            ("not whole", "no [DONE]", (chunk(1), chunk(2), end)),
            ("cut", "answer-lost", (chunk(1), error)),
        )
        for result, detail, lines in cases:
            with self.subTest(detail=detail):
                outcome = await self.send_events(*lines)
                self.assertEqual((outcome.result, outcome.detail), (result, detail))
                self.assertIsNotNone(outcome.first_token_s)
        complete = cases[0][2]
        crossed = await self.send_events(*complete, request_id="load-w-9")
        self.assertEqual(crossed.detail, "another request id")
        known = await self.send_events(*complete, expected_text=lambda request: "ttt")
        self.assertEqual(known.detail, "another text")

    async def test_refusals_keep_type_and_ran(self):
        async def reply(request):
            self.assertEqual(request.headers["Idempotency-Key"], "key-1")
            return web.json_response(
                {"type": "urn:carobstair:refusal:queue-full", "ran": "no"},
                status=429,
                content_type="application/problem+json",
            )

        outcome = await self.send(reply, ACTION)
        self.assertEqual(
            (outcome.result, outcome.detail, outcome.ran),
            ("refused", "queue-full", "no"),
        )

    async def test_run_sends_its_whole_plan_and_leaves_out_nothing(self):
        async def reply(request):
            return web.json_response(
                {"n": 1}, headers={"X-Request-Id": request.headers["X-Request-Id"]}
            )

        self.reply = reply
        base = settings(routers=(self.address,), rate_per_s=100.0, seconds=0.5)
        services_only = base.model_copy(
            update={"workspace": {"books": base.workspace["books"]}}
        )
        planned = len(list(make_plan(services_only)))
        results = await run_load(services_only)
        self.assertEqual(results.results(), Counter(answered=planned))
        self.assertEqual((results.faults(), results.left_out), (0, 0))


class TestResults(unittest.TestCase):
    """Guards against coordinated omission and differing answers that go unnoticed."""

    def test_a_sender_that_stalls_does_not_hide_the_wait(self):
        results = LoadResults()
        for n in range(100):
            # From request 50 on the sender is 2 s late; each first token takes 10 ms.
            late_s = 2.0 if n >= 50 else 0.0
            sent_s = 100.0 + late_s
            results.add(Outcome(CHAT, 100.0, sent_s, sent_s + 0.02, sent_s + 0.01))
        (series,) = results.document()["series"]
        self.assertAlmostEqual(series["first_token_s"]["p95"], 2.01, delta=0.01)
        self.assertAlmostEqual(series["first_token_from_sent_s"]["p95"], 0.01, 3)
        self.assertAlmostEqual(results.late_s, 2.0)

    def test_two_answers_under_one_key_that_differ_are_a_fault(self):
        results = LoadResults()
        for text in ("number 1", "number 1", "number 2"):
            results.add(Outcome(ACTION, 0.0, 0.0, 0.1, 0.1, text=text))
        self.assertEqual(results.faults(), 1)
        self.assertIn("differs from the first answer", results.table())


if __name__ == "__main__":
    unittest.main()
