"""Sends the loads of a scenario to real routers and records the results."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import aiohttp

from carobstair.scenario.log import RequestResult
from carobstair.scenario.plan import LoadSpec, Scenario
from carobstair.standins.engine import answer_token
from fleet import Fleet, key_of

__all__ = ["RealCallers"]

RETRY_DELAY_S = 0.5
CHARACTERS_PER_TOKEN = 4
REFUSAL_PREFIX = "urn:carobstair:refusal:"


@dataclass(slots=True)
class _Request:
    """An open request; times are seconds since the start of the scenario."""

    load: LoadSpec
    prompt: str
    tokens: int
    created_s: float
    first_token_s: float | None = None
    text: str = ""


@dataclass
class RealCallers:
    """Sends the loads of a scenario until its end.

    Attributes
    ----------
    unready : set of str
        Routers that the load balancer doesn't choose.
    """

    fleet: Fleet
    scenario: Scenario
    began_s: float
    ended: list[RequestResult] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    waiting: Counter = field(default_factory=Counter)
    service: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    unready: set[str] = field(default_factory=set)

    @property
    def now_s(self) -> float:
        """Seconds since the start of the scenario."""
        return time.monotonic() - self.began_s

    async def run(self) -> None:
        """Send all loads and wait for the last answers."""
        async with asyncio.TaskGroup() as group:
            for number, load in enumerate(self.scenario.loads):
                for client in range(load.clients):
                    group.create_task(self._client(load, f"{number}/{client}"))
                if load.per_s > 0:
                    group.create_task(self._arrivals(load, str(number)))

    async def _client(self, load: LoadSpec, name: str) -> None:
        generator = random.Random(f"{self.scenario.seed}/{name}")
        await self._sleep_until(load.start_s + generator.random())
        while self.now_s < min(load.end_s, self.scenario.duration_s):
            if await self._ask(load, generator) != "answered":
                await asyncio.sleep(RETRY_DELAY_S)

    async def _arrivals(self, load: LoadSpec, name: str) -> None:
        generator = random.Random(f"{self.scenario.seed}/{name}")
        await self._sleep_until(load.start_s)
        async with asyncio.TaskGroup() as group:
            while self.now_s < min(load.end_s, self.scenario.duration_s):
                group.create_task(self._ask(load, generator))
                await asyncio.sleep(generator.expovariate(load.per_s))

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self.now_s))

    async def _ask(self, load: LoadSpec, generator: random.Random) -> str:
        tokens = generator.randint(*load.output_tokens)
        filler_characters = generator.randint(*load.input_tokens) * CHARACTERS_PER_TOKEN
        prompt = (
            f"{generator.random()} {'x' * filler_characters} answer_tokens={tokens}"
        )
        request = _Request(load, prompt, tokens, self.now_s)
        key = (load.pool, load.workspace)
        self.waiting[key] += 1
        try:
            outcome = await self._send(request, self._choose(load, generator))
        except (aiohttp.ClientError, TimeoutError):
            outcome = "closed"
        if request.first_token_s is None:
            self.waiting[key] -= 1
        self._record_end(request, outcome)
        return outcome

    def _choose(self, load: LoadSpec, generator: random.Random) -> str:
        names = load.through or tuple(self.fleet.http_ports)
        ready = [name for name in names if name not in self.unready]
        ready = ready or [n for n in self.fleet.http_ports if n not in self.unready]
        return generator.choice(ready or list(names))

    async def _send(self, request: _Request, router: str) -> str:
        load = request.load
        body = {
            "model": load.pool,
            "stream": True,
            "max_tokens": request.tokens,
            "messages": [{"role": "user", "content": request.prompt}],
        }
        headers = {
            "Authorization": f"Bearer {key_of(load.workspace)}",
            "X-Deadline-Ms": str(int(load.deadline_s * 1000)),
        }
        url = self.fleet.address(router) + "/v1/chat/completions"
        async with self.fleet.session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                problem = await response.json(content_type=None)
                return problem["type"].removeprefix(REFUSAL_PREFIX)
            async for line in response.content:
                self._read_line(request, line)
        return "answered" if request.text.endswith("[DONE]") else "answer-lost"

    def _read_line(self, request: _Request, line: bytes) -> None:
        if line.startswith(b"data: [DONE]"):
            request.text += "[DONE]"
        elif line.startswith(b"data:") and b'"content"' in line:
            start = line.index(b'"content"') + len(b'"content"')
            begin = line.index(b'"', start) + 1
            request.text += line[begin : line.index(b'"', begin)].decode()
            self._record_token(request)

    def _record_token(self, request: _Request) -> None:
        key = (request.load.pool, request.load.workspace)
        if request.first_token_s is None:
            request.first_token_s = self.now_s
            self.waiting[key] -= 1
            self.service[key] += 0.25 * len(request.prompt) / CHARACTERS_PER_TOKEN
        self.service[key] += 1.0

    def _record_end(self, request: _Request, outcome: str) -> None:
        prompt = f"user: {request.prompt}"
        expected = "".join(answer_token(prompt, n + 1) for n in range(request.tokens))
        self.outcomes[outcome] += 1
        self.ended.append(
            RequestResult(
                request.load.workspace,
                request.load.work_class,
                request.created_s,
                request.first_token_s,
                self.now_s,
                outcome,
                request.text == expected + "[DONE]",
                request.first_token_s is not None,
                request.created_s + request.load.deadline_s,
                0.0,
            )
        )
