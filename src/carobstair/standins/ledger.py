"""Stand-in for a booking ledger: records each call that it runs in a journal."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import cyclopts
import falcon
import falcon.asgi

from carobstair.standins.program import StandInSettings, run_stand_in

__all__ = ["Ledger", "LedgerSettings", "main", "make_app"]


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class LedgerSettings(StandInSettings):
    """Response time and fault rates of the ledger."""

    seed: int = 0
    answer_s: float = 0.01
    drop_answers: float = 0.0
    refuse: float = 0.0


@dataclass
class Ledger:
    """Journal of the calls that ran, and faults that tests enable."""

    settings: LedgerSettings
    journal: list[dict] = field(default_factory=list)
    running: int = 0
    drop_answers: float = 0.0
    refuse: float = 0.0
    cross_answers: int = 0
    answer_s: float = 0.01
    answer_headers: dict[str, str] = field(default_factory=dict)
    refuse_body: dict = field(default_factory=lambda: {"ran": "no"})

    def __post_init__(self) -> None:
        self.generator = random.Random(self.settings.seed)
        self.drop_answers = self.settings.drop_answers
        self.refuse = self.settings.refuse
        self.answer_s = self.settings.answer_s


class _Call:
    def __init__(self, ledger: Ledger):
        self._ledger = ledger

    async def __call__(self, req, resp, path: str = "") -> None:
        ledger = self._ledger
        request_id = req.get_header("X-Request-Id") or ""
        body = (await req.stream.read()).decode("utf-8", "replace")
        if ledger.generator.random() < ledger.refuse:
            resp.status = falcon.HTTP_503
            resp.media = ledger.refuse_body
            resp.set_header("X-Request-Id", request_id)
            return
        number = len(ledger.journal) + 1
        entry = {"number": number, "request_id": request_id, "method": req.method}
        entry |= {"path": req.path, "body": body}
        ledger.journal.append(entry)
        ledger.running += 1
        try:
            await asyncio.sleep(ledger.answer_s)
        finally:
            ledger.running -= 1
        if ledger.generator.random() < ledger.drop_answers:
            resp.set_header("X-Request-Id", request_id)
            resp.content_length = 100
            resp.stream = _truncated_body()
            return
        if ledger.cross_answers:
            ledger.cross_answers -= 1
            request_id = "another-request"
        resp.set_header("X-Request-Id", request_id)
        resp.data = json.dumps({"number": number, "path": req.path}).encode()
        resp.content_type = falcon.MEDIA_JSON
        resp.set_headers(ledger.answer_headers)


async def _truncated_body() -> AsyncIterator[bytes]:
    """Send the start of a response body, then abort the connection."""
    yield b"{"
    raise ConnectionAbortedError


class _Load:
    def __init__(self, ledger: Ledger):
        self._ledger = ledger

    async def on_get(self, req, resp) -> None:
        resp.media = {
            "incarnation": "1",
            "running": self._ledger.running,
            "kv_tokens": 0,
            "state": "ready",
        }


class _Journal:
    def __init__(self, ledger: Ledger):
        self._ledger = ledger

    async def on_get(self, req, resp) -> None:
        resp.media = {"journal": self._ledger.journal}


class _Control:
    def __init__(self, ledger: Ledger):
        self._ledger = ledger

    async def on_put(self, req, resp) -> None:
        for key, value in (await req.get_media()).items():
            setattr(self._ledger, key, value)


def make_app(ledger: Ledger) -> falcon.asgi.App:
    """Return the ASGI application of a ledger."""
    app = falcon.asgi.App()
    app.add_route("/load", _Load(ledger))
    app.add_route("/journal", _Journal(ledger))
    app.add_route("/control", _Control(ledger))
    app.add_sink(_Call(ledger), "/")
    return app


def main() -> None:
    """Run the stand-in as a program."""
    run_stand_in(lambda settings: make_app(Ledger(settings)), LedgerSettings)


if __name__ == "__main__":
    main()
