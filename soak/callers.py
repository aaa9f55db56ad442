"""HTTP callers with keep-alive connections that record every response."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import time
from dataclasses import dataclass, field

import aiohttp

from engines import EVENTS_PER_STREAM
from routers import Router

__all__ = ["DEADLINE_S", "REQUEST_KINDS", "Attempt", "Callers"]

DEADLINE_S = 2.0
# Longer than the route's deadline, so that a late response is recorded as late.
CALLER_TIMEOUT_S = 5.0
REQUEST_KINDS = ("safe", "unsafe", "stream", "resume")
BAD_PROMPT_SHARE = 0.2
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass(slots=True)
class Attempt:
    """One request and its response.

    Attributes
    ----------
    kind : str
        One of `REQUEST_KINDS`, or ``version`` for a request that shows which
        configuration version is in force.
    segments : tuple of str
        Shared segments of its prompt.
    version : int
        Configuration version whose route a ``version`` request asks for.
    status : int, optional
        HTTP status; None if the connection ended before a response began.
    complete : bool
        Whether the end of the response body was received.
    """

    request_id: str
    kind: str
    router: str
    incarnation: int
    sent_s: float
    key: str
    version: int = 0
    segments: tuple[str, ...] = ()
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    ended_s: float = 0.0
    error: str = ""

    def events(self) -> list[tuple[int, str]]:
        """Return number and request id of each completely received event."""
        return [(int(n), d.decode()) for n, d in EVENT_PATTERN.findall(self.body)]

    def body_mismatch(self) -> str:
        """Return how a complete 200 body differs from the expected one, or ``""``."""
        if self.kind in ("stream", "resume"):
            expected = [(n, self.request_id) for n in range(1, EVENTS_PER_STREAM + 1)]
            return "" if self.events() == expected else f"events {self.events()}"
        if self.body.startswith(self.request_id.encode() + b" from "):
            return ""
        return f"body {self.body[:60]!r}"


@dataclass(eq=False)
class Callers:
    """Sends requests of random kinds to random routers until cancelled.

    Parameters
    ----------
    routers : list of Router
    rng : random.Random
    keys : list of str
        API keys that callers currently use.
    """

    routers: list[Router]
    rng: random.Random
    keys: list[str]
    rate_per_s: float = 60.0
    version: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    # Segment that a part of the prompts has, beside those of the others.
    bad_segment: str | None = None
    # Of its own, so that the other requests of a seed stay.
    _prompt_rng: random.Random = field(default_factory=lambda: random.Random(1))
    _request_numbers: itertools.count = field(default_factory=itertools.count)
    _session: aiohttp.ClientSession | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        )
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
            router = self.rng.choice(self.routers)
            if self.rng.random() < 0.15 and self.version > 1:
                version = self.version - self.rng.randrange(2)
                self.send(router, "version", version)
            else:
                self.send(router, self.rng.choice(REQUEST_KINDS))

    async def close(self) -> None:
        """Wait for open requests and close all connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CALLER_TIMEOUT_S + 1)
        await self._session.close()

    def send(self, router: Router, kind: str, version: int = 0) -> asyncio.Task:
        """Start sending one request and return its task."""
        attempt = Attempt(
            f"a{next(self._request_numbers)}",
            kind,
            router.name,
            router.incarnation,
            time.monotonic(),
            self.rng.choice(self.keys),
            version,
            self._draw_segments(kind),
        )
        self.attempts.append(attempt)
        task = asyncio.create_task(self._call(router, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _draw_segments(self, kind: str) -> tuple[str, ...]:
        if kind not in ("stream", "resume"):
            return ()
        rng = self._prompt_rng
        segments = ["shared", f"doc{rng.randrange(5)}"]
        if self.bad_segment is not None and rng.random() < BAD_PROMPT_SHARE:
            segments.insert(rng.randrange(3), self.bad_segment)
        return tuple(segments)

    async def _call(self, router: Router, attempt: Attempt) -> Attempt:
        path = attempt.kind if attempt.kind != "version" else f"ver-{attempt.version}"
        headers = {
            "Host": "api.test",
            "Carobstair-Attempt-Id": attempt.request_id,
            "Carobstair-Key": attempt.key,
            "Carobstair-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Soak-Router": router.name,
        }
        if attempt.segments:
            parts = (*attempt.segments, attempt.request_id)
            headers["Carobstair-Token-Counts"] = f"{len(parts)},12"
            prefix = ",".join(f"{part}:1" for part in parts)
            headers["Carobstair-Prompt-Prefix"] = prefix
        url = f"http://127.0.0.1:{router.front_port}/{path}/x"
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
        try:
            # aiohttp does not retry POST by itself, so one attempt is one request.
            async with self._session.post(
                url, headers=headers, data=b"x", timeout=timeout
            ) as response:
                attempt.status = response.status
                async for part in response.content.iter_any():
                    attempt.body += part
                attempt.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            attempt.error = f"{type(error).__name__}: {error}"
        attempt.ended_s = time.monotonic()
        return attempt
