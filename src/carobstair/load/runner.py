"""Open-loop runner: sends each request when it is due, whatever is still open."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from carobstair.load.client import Client, Outcome
from carobstair.load.plan import PlannedChat, PlannedRequest, make_plan
from carobstair.load.results import LoadResults
from carobstair.load.settings import LoadSettings
from carobstair.net.bodies import CheckedResponse

__all__ = ["Progress", "run_load"]

# Client time-out beyond the request's deadline, by which the router must respond.
RESPONSE_GRACE_S = 10.0


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a run."""

    elapsed_s: float
    sent: int
    open: int
    results: LoadResults


async def run_load(
    settings: LoadSettings,
    on_progress: Callable[[Progress], None] = lambda progress: None,
    expected_text: Callable[[PlannedChat], str] | None = None,
    on_outcome: Callable[[Outcome], None] = lambda outcome: None,
) -> LoadResults:
    """Send the requests of the plan and return the results.

    Parameters
    ----------
    settings : LoadSettings
    on_progress : callable, optional
        Called every `progress_s` seconds.
    expected_text : callable, optional
        Returns the expected answer to a chat request, if it is known.
    on_outcome : callable, optional
        Called with the outcome of each request.
    """
    timeout = aiohttp.ClientTimeout(total=settings.load.deadline_s + RESPONSE_GRACE_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector, response_class=CheckedResponse
    ) as session:
        client = Client(
            session,
            settings.load.addresses(),
            {name: load.key for name, load in settings.workspace.items()},
            settings.load.deadline_s,
            settings.load.check_answers,
            expected_text,
        )
        return await _Run(settings, client, on_progress, on_outcome).run()


class _Run:
    def __init__(
        self,
        settings: LoadSettings,
        client: Client,
        on_progress: Callable[[Progress], None],
        on_outcome: Callable[[Outcome], None],
    ):
        self._settings = settings
        self._client = client
        self._on_progress = on_progress
        self._on_outcome = on_outcome
        self._results = LoadResults()
        self._open: set[asyncio.Task] = set()
        self._sent = 0
        self._began_s = 0.0

    async def run(self) -> LoadResults:
        self._began_s = time.monotonic()
        reporter = asyncio.create_task(self._report())
        try:
            for request in make_plan(self._settings):
                due_s = self._began_s + request.at_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                self._start(request, due_s)
            while self._open:
                await asyncio.wait(self._open)
        finally:
            reporter.cancel()
            for task in self._open:
                task.cancel()
        return self._results

    def _start(self, request: PlannedRequest, due_s: float) -> None:
        if len(self._open) >= self._settings.load.max_open:
            self._results.left_out += 1
            return
        self._sent += 1
        task = asyncio.create_task(self._send(request, due_s))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _send(self, request: PlannedRequest, due_s: float) -> None:
        outcome = await self._client.send(request, due_s)
        self._results.add(outcome)
        self._on_outcome(outcome)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(self._settings.load.progress_s)
            elapsed_s = time.monotonic() - self._began_s
            self._on_progress(
                Progress(elapsed_s, self._sent, len(self._open), self._results)
            )
