"""End-to-end tests of one router process, as callers see it."""

import asyncio
import json
import signal
import sys
import unittest
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "bench"))

from carobstair.standins.engine import answer_token  # noqa: E402
from fleet import Fleet, FleetPlan, PlannedUpstream, key_of  # noqa: E402

TIMEOUT_S = 30
ENGINE = ("--cold-s", "0", "--base-interval-ms", "10")
PLAN = FleetPlan(
    routers=(("entry-1", "zone-a"),),
    upstreams=(
        PlannedUpstream("engine-1", "draft", "engine", "zone-a", 2, 2, (), ENGINE),
        PlannedUpstream("engine-2", "draft", "engine", "zone-a", 2, 2, (), ENGINE),
        PlannedUpstream("engine-3", "single", "engine", "zone-a", 2, 2, (), ENGINE),
        PlannedUpstream("ledger-1", "ledger", "service", "zone-a", 4, 4),
    ),
    workspaces={"one": 1.0, "two": 1.0},
    settings={
        "gateway": {
            "first_token_timeout_s": "1",
            "balancer_lag_s": "4",
            "shutdown_limit_s": "6",
        }
    },
)


class RouterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards what callers rely on; all checks share one start of the processes."""

    async def asyncSetUp(self):
        self.fleet = Fleet(PLAN)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.url = self.fleet.address("entry-1")

    def send_chat(self, prompt, pool="draft", workspace="one", **headers):
        body = {"model": pool, "stream": True, "max_tokens": 2000}
        body["messages"] = [{"role": "user", "content": prompt}]
        headers["Authorization"] = f"Bearer {key_of(workspace)}"
        url = self.url + "/v1/chat/completions"
        return self.fleet.session.post(url, json=body, headers=headers)

    def send_action(self, key, **options):
        headers = {"Authorization": f"Bearer {key_of('one')}", "Idempotency-Key": key}
        url = self.url + "/services/ledger/holds"
        return self.fleet.session.post(url, data=key, headers=headers, **options)

    async def read_stream(self, response):
        """Return a stream's text, its error events and whether it was completed."""
        parts, errors, ended = [], [], False
        for block in (await response.text()).split("\n\n"):
            data = block.partition("data: ")[2]
            if "event: error" in block:
                errors.append(json.loads(data))
            elif data.startswith("{"):
                delta = json.loads(data)["choices"][0]["delta"]
                parts.append(delta.get("content", ""))
            ended |= data == "[DONE]"
        return "".join(parts), errors, ended

    def expected_text(self, prompt, count):
        return "".join(answer_token(f"user: {prompt}", n) for n in range(1, count + 1))

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def control(self, name, **values):
        url = self.fleet.upstream_address(name) + "/control"
        if values:
            return await self.fleet.put_json(url, values)
        return await self.fleet.get_json(url)

    async def test_caller_guarantees(self):
        for check in (
            self.check_heads_and_bodies,
            self.check_shared_request_id,
            self.check_disconnected_caller,
            self.check_disconnected_action,
            self.check_stalled_engine,
            self.check_killed_engine,
            self.check_shutdown,
            self.check_second_signal,
        ):
            with self.subTest(check.__name__):
                await check()

    async def check_heads_and_bodies(self):
        """Check that oversized and unauthenticated requests get a typed refusal."""
        big = {"Authorization": "Bearer x", "X-Big": "x" * 40_000}
        post = self.fleet.session.post
        cases = (
            (401, {"Authorization": "Bearer x"}, b"{}"),
            (413, {"Authorization": f"Bearer {key_of('one')}"}, b"x" * 2_100_000),
            (431, big, b"{}"),
        )
        for status, headers, body in cases:
            url = self.url + "/v1/chat/completions"
            async with post(url, data=body, headers=headers) as response:
                problem = json.loads(await response.read())
            self.assertEqual((response.status, problem["ran"]), (status, "no"))

    async def check_shared_request_id(self):
        """Check that workspaces that use the same request id get their own answers."""

        async def one(workspace, prompt):
            headers = {"X-Request-Id": "same"}
            async with self.send_chat(
                prompt, "draft", workspace, **headers
            ) as response:
                self.assertEqual(response.headers["X-Request-Id"], "same")
                return await self.read_stream(response)

        prompts = [f"{n} answer_tokens=20" for n in range(8)]
        found = await asyncio.gather(
            *(one(("one", "two")[n % 2], p) for n, p in enumerate(prompts))
        )
        expected = [(self.expected_text(prompt, 20), [], True) for prompt in prompts]
        self.assertEqual(found, expected)

    async def check_disconnected_caller(self):
        """Check that disconnected callers free their slot, engine and queue place."""

        async def disconnect_after_first_line():
            async with self.send_chat("answer_tokens=100000", "single") as response:
                await response.content.readline()

        tasks = [asyncio.create_task(disconnect_after_first_line()) for _ in range(2)]
        await asyncio.gather(*tasks)
        held = [
            asyncio.create_task(
                self.send_chat("answer_tokens=100000", "single").__aenter__()
            )
            for _ in range(6)
        ]

        async def waiting():
            text = await self.fleet.metrics("entry-1")
            return 'waiting_requests{pool="single"' in text

        await self.wait_until(waiting)
        for task in held:
            if task.done():
                task.result().close()
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)

        async def free():
            running = (await self.control("engine-3"))["running"]
            return running == 0 and not await waiting()

        await self.wait_until(free)
        async with self.send_chat("answer_tokens=3", "single") as response:
            self.assertTrue((await self.read_stream(response))[2])

    async def check_disconnected_action(self):
        """Check that a disconnected caller's action runs once and keeps its outcome."""
        await self.control("ledger-1", answer_s=1.0)
        with self.assertRaises(TimeoutError):
            await self.send_action("left", timeout=aiohttp.ClientTimeout(total=0.5))
        async with self.send_action("left") as response:
            self.assertEqual(response.status, 200)
        await self.control("ledger-1", answer_s=0.0)
        url = self.fleet.upstream_address("ledger-1") + "/journal"
        journal = (await self.fleet.get_json(url))["journal"]
        self.assertEqual([e["body"] for e in journal], ["left"])

    async def check_stalled_engine(self):
        """Check that a request is moved off a stalled engine before its first token."""
        await self.control("engine-1", stalled=True)
        prompts = [f"stall {n} answer_tokens=5" for n in range(4)]
        for prompt in prompts:
            async with self.send_chat(prompt) as response:
                found = await self.read_stream(response)
            self.assertEqual(found, (self.expected_text(prompt, 5), [], True))
        await self.control("engine-1", stalled=False)

    async def check_killed_engine(self):
        """Check that a stream whose only engine is killed ends with an error event."""
        async with self.send_chat("answer_tokens=100000", "single") as response:
            await response.content.readline()
            await self.fleet.end("engine-3", signal.SIGKILL)
            _, errors, ended = await self.read_stream(response)
        self.assertEqual([e["ran"] for e in errors], ["unknown"])
        self.assertFalse(ended)

    async def check_shutdown(self):
        """Check that a shutdown serves requests during the balancer lag.

        Streams that outlast the shutdown limit end with an error event.
        """
        async with self.send_chat("answer_tokens=100000") as response:
            await response.content.readline()
            ending = asyncio.create_task(self.fleet.end("entry-1"))
            await self.wait_until(self.is_unready)
            async with self.send_chat("late answer_tokens=2") as late:
                self.assertEqual(late.headers["Connection"], "close")
                self.assertTrue((await self.read_stream(late))[2])
            _, errors, ended = await self.read_stream(response)
        self.assertEqual([e["ran"] for e in errors], ["unknown"])
        self.assertFalse(ended)
        self.assertEqual(await ending, 0)

    async def check_second_signal(self):
        """Check that a second SIGTERM ends the process without waiting."""
        self.fleet.start_router("entry-1")
        process = self.fleet.processes["entry-1"]
        await self.wait_until(self.is_ready)
        async with self.send_chat("answer_tokens=100000") as response:
            await response.content.readline()
            process.send_signal(signal.SIGTERM)
            await self.wait_until(self.is_unready)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(await asyncio.to_thread(process.wait, TIMEOUT_S), 1)

    async def is_ready(self):
        try:
            return not await self.is_unready()
        except aiohttp.ClientError:
            return False

    async def is_unready(self):
        async with self.fleet.session.get(self.url + "/readyz") as response:
            return response.status == 503


if __name__ == "__main__":
    unittest.main()
