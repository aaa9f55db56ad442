"""Stand-in for a model engine: continuous batching, cold start, resumable streams.

The answer to a prompt is a deterministic sequence of tokens, so that another engine
can resume an interrupted answer and a test can check its completeness. A prompt that
contains ``answer_tokens=N`` is answered with N tokens.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
import zlib
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import cyclopts
import falcon
import falcon.asgi

from carobstair.core.placement import prefix_hashes
from carobstair.standins.program import StandInSettings, run_stand_in

__all__ = ["Engine", "EngineSettings", "answer_length", "answer_token", "main"]

CHARACTERS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 32


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class EngineSettings(StandInSettings):
    """Speed and capacity of the engine."""

    model: str = "model"
    max_running: int = 16
    cold_s: float = 5.0
    cold_bears: int = 2
    base_interval_ms: float = 20.0
    interval_ms_per_request: float = 1.0
    prefill_tokens_per_s: float = 20_000.0
    load_lag_s: float = 0.5
    cache_blocks: int = 2_000


@dataclass
class Engine:
    """State of the engine, shared by all requests."""

    settings: EngineSettings
    incarnation: int = 1
    started_s: float = field(default_factory=time.monotonic)
    running: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: deque[tuple[int, list[int]]] = field(
        default_factory=lambda: deque(maxlen=200)
    )
    reports: deque[tuple[float, dict]] = field(
        default_factory=lambda: deque(maxlen=1000)
    )
    orders: list[dict] = field(default_factory=list)
    fencing_number: int = 0
    fallen: int = 0
    admitted: int = 0
    peak_running: int = 0
    peak_cold_running: int = 0
    stalled: bool = False
    failing: bool = False
    leaving: bool = False
    busy_slot_s: float = 0.0

    @property
    def cold(self) -> bool:
        """Whether the engine is still warming up."""
        return time.monotonic() - self.started_s < self.settings.cold_s

    def restart(self) -> None:
        """Discard running requests and cache, as a crash does, and start cold."""
        self.incarnation += 1
        self.started_s = time.monotonic()
        self.running.clear()
        self.cache.clear()

    def admit(self, request_id: str, kv_tokens: int) -> None:
        """Admit a request; above `cold_bears` requests, a cold engine crashes."""
        self.admitted += 1
        self.running[request_id] = kv_tokens
        count = len(self.running)
        self.peak_running = max(self.peak_running, count)
        if self.cold:
            self.peak_cold_running = max(self.peak_cold_running, count)
            if count > self.settings.cold_bears:
                self.fallen += 1
                self.restart()
                raise falcon.HTTPServiceUnavailable()

    def interval_s(self) -> float:
        """Return the time between tokens at the current batch size."""
        batch = len(self.running)
        excess = max(0, batch - self.settings.max_running)
        ms = self.settings.base_interval_ms
        ms += self.settings.interval_ms_per_request * (batch + 4 * excess)
        return ms / 1000.0

    def cache_prompt(self, prompt: str) -> int:
        """Cache a prompt and return how many of its tokens were already cached."""
        hashes = prefix_hashes(prompt)
        cached = 0
        for block in hashes:
            if block not in self.cache:
                break
            cached += 1
        for block in hashes:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.settings.cache_blocks:
            self.cache.popitem(last=False)
        if hashes[cached:]:
            number = self.events[-1][0] + 1 if self.events else 1
            self.events.append((number, list(hashes[cached:])))
        return cached * 512 // CHARACTERS_PER_TOKEN

    def report(self) -> dict:
        """Return the load report of `load_lag_s` ago."""
        now_s = time.monotonic()
        current = {
            "incarnation": str(self.incarnation),
            "running": len(self.running),
            "kv_tokens": sum(self.running.values()),
            "state": "loading" if self.cold else "ready",
            "leaving": self.leaving,
        }
        self.reports.append((now_s, current))
        delayed_reports = [
            r for at, r in self.reports if at <= now_s - self.settings.load_lag_s
        ]
        return delayed_reports[-1] if delayed_reports else current


def answer_length(prompt: str, max_tokens: int | None) -> int:
    """Return the length of the answer to a prompt, in tokens."""
    found = re.findall(r"answer_tokens=(\d+)", prompt)
    wanted = int(found[-1]) if found else DEFAULT_ANSWER_TOKENS
    return min(wanted, max_tokens) if max_tokens else wanted


def answer_token(prompt: str, number: int) -> str:
    """Return the token with the given number, from 1, of the answer to a prompt."""
    return f"{zlib.crc32(prompt.encode()) & 0xFFFF:04x}-{number} "


class _Chat:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_post(self, req, resp) -> None:
        body = json.loads(await req.stream.read())
        request_id = req.get_header("X-Request-Id", required=True)
        if self._engine.failing:
            raise falcon.HTTPInternalServerError()
        start = int(req.get_header("Last-Event-ID") or 0)
        prompt = "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])
        length = answer_length(prompt, body.get("max_tokens"))
        input_tokens = len(prompt) // CHARACTERS_PER_TOKEN
        self._engine.admit(request_id, input_tokens + length)
        cached = self._engine.cache_prompt(prompt)
        resp.set_header("X-Request-Id", request_id)
        resp.content_type = "text/event-stream"
        usage = {
            "prompt_tokens": input_tokens,
            "completion_tokens": length,
            "cached_tokens": cached,
        }
        resp.stream = self._stream(request_id, prompt, start, length, usage)

    async def _stream(
        self, request_id: str, prompt: str, start: int, length: int, usage: dict
    ) -> AsyncIterator[bytes]:
        engine, incarnation = self._engine, self._engine.incarnation
        began_s = time.monotonic()
        try:
            uncached = usage["prompt_tokens"] - usage["cached_tokens"]
            await asyncio.sleep(uncached / engine.settings.prefill_tokens_per_s)
            for number in range(start + 1, length + 1):
                await asyncio.sleep(engine.interval_s())
                while engine.stalled:
                    await asyncio.sleep(0.05)
                if engine.incarnation != incarnation or request_id in engine.cancelled:
                    raise ConnectionAbortedError
                yield _event(request_id, number, answer_token(prompt, number), None)
            yield _event(request_id, length + 1, "", "stop", usage)
            yield b"data: [DONE]\n\n"
        finally:
            engine.busy_slot_s += time.monotonic() - began_s
            engine.cancelled.discard(request_id)
            if engine.incarnation == incarnation:
                engine.running.pop(request_id, None)


def _event(
    request_id: str, number: int, text: str, finish: str | None, usage=None
) -> bytes:
    delta = {"content": text} if text else {}
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if usage is not None:
        chunk["usage"] = usage
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


class _Requests:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_delete(self, req, resp, request_id: str) -> None:
        if request_id in self._engine.running:
            self._engine.cancelled.add(request_id)
        resp.status = falcon.HTTP_204


class _Load:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_get(self, req, resp) -> None:
        resp.media = self._engine.report()


class _CacheEvents:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_get(self, req, resp) -> None:
        since = req.get_param_as_int("since", default=0)
        resp.media = {
            "incarnation": str(self._engine.incarnation),
            "events": [
                {"number": number, "cached": hashes, "evicted": []}
                for number, hashes in self._engine.events
                if number > since
            ],
        }


class _Orders:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_post(self, req, resp) -> None:
        number = int(req.get_header("Fencing-Number") or 0)
        if number < self._engine.fencing_number:
            raise falcon.HTTPConflict()
        self._engine.fencing_number = number
        self._engine.orders.append(await req.get_media())


class _Control:
    def __init__(self, engine: Engine):
        self._engine = engine

    async def on_get(self, req, resp) -> None:
        engine = self._engine
        resp.media = {
            "fallen": engine.fallen,
            "admitted": engine.admitted,
            "peak_running": engine.peak_running,
            "peak_cold_running": engine.peak_cold_running,
            "busy_slot_s": engine.busy_slot_s,
            "orders": engine.orders,
            "running": len(engine.running),
        }

    async def on_put(self, req, resp) -> None:
        document = await req.get_media()
        if document.pop("restart", False):
            self._engine.restart()
        for key, value in document.items():
            setattr(self._engine, key, value)


def make_app(engine: Engine) -> falcon.asgi.App:
    """Return the ASGI application of an engine."""
    app = falcon.asgi.App()
    app.add_route("/v1/chat/completions", _Chat(engine))
    app.add_route("/v1/requests/{request_id}", _Requests(engine))
    app.add_route("/load", _Load(engine))
    app.add_route("/cache/events", _CacheEvents(engine))
    app.add_route("/orders", _Orders(engine))
    app.add_route("/control", _Control(engine))
    return app


def main() -> None:
    """Run the stand-in as a program."""
    run_stand_in(lambda settings: make_app(Engine(settings)), EngineSettings)


if __name__ == "__main__":
    main()
