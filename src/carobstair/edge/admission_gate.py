"""Lets requests wait at the router until an engine has room for them.

They wait before their bodies are read, so a waiting request holds no memory but that of
its head. A request waits at most as long as its first token can still be on time.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.admission import (
    AdmissionDecision,
    AdmissionRequest,
    FairAdmission,
    WaitingRequest,
    WaitingRoom,
)
from carobstair.core.refusals import refuse
from carobstair.edge.exchange import CallerLeft
from carobstair.logs import get_logger

__all__ = ["AdmissionGate"]

logger = get_logger(__name__)

# Interval at which waiting requests are decided on if nothing ends meanwhile.
TICK_S = 0.01
# Part of what is left of the objective for which a request may wait: the rest is for
# reading its prompt.
WAIT_PART = 0.7
# Beyond its latest time, a request waits no longer for its decision.
LATE_S = 0.1
LOG_INTERVAL_S = 1.0
# The retry of a request that waited when this process began to stop reaches another.
STOP_RETRY_S = 0.03


@dataclass(slots=True)
class _Held:
    """A waiting request: how it is asked for again, and what its handler awaits."""

    ask: Callable[[float], AdmissionRequest]
    caller_closed: Callable[[], bool]
    outcome: asyncio.Future[AdmissionDecision]


@dataclass(slots=True)
class AdmissionGate:
    """Queue of requests ahead of the engines.

    Parameters
    ----------
    admission : FairAdmission
    is_draining : callable
        Returns whether this process is stopping.
    count : callable
        Called with pool and outcome of each request that waited.
    """

    admission: FairAdmission
    is_draining: Callable[[], bool] = lambda: False
    count: Callable[[str, str], None] = lambda pool, outcome: None
    waiting: WaitingRoom = field(init=False)
    _held: dict[int, _Held] = field(default_factory=dict)
    _ids: itertools.count = field(default_factory=itertools.count)
    _pump: asyncio.Task | None = None
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.waiting = WaitingRoom(self.admission.settings)

    def may_wait(
        self, decision: AdmissionDecision, left_s: float, now_s: float
    ) -> float | None:
        """Return until when a refused request may wait, None if it should not.

        Parameters
        ----------
        left_s : float
            Time that is left of its objective.
        """
        if self.admission.settings.max_waiting <= 0 or self.is_draining():
            return None
        latest_s = now_s + WAIT_PART * left_s
        return latest_s if now_s + decision.retry_after_s < latest_s else None

    async def wait(
        self,
        ask: Callable[[float], AdmissionRequest],
        decision: AdmissionDecision,
        latest_s: float,
        priority: int,
        caller_closed: Callable[[], bool],
    ) -> AdmissionDecision:
        """Wait until a request is admitted or would be late; return the decision.

        Raises
        ------
        CallerLeft
        Refusal
            If this process begins to stop.
        """
        now_s = time.monotonic()
        entry = WaitingRequest(
            next(self._ids), ask(now_s), decision.share, now_s, latest_s, priority
        )
        refused = self.waiting.offer(entry, now_s)
        if refused is entry:
            return decision
        if refused is not None:
            self._settle(refused, decision)
        held = _Held(ask, caller_closed, asyncio.get_running_loop().create_future())
        self._held[entry.request_id] = held
        if self._pump is None or self._pump.done():
            self._pump = asyncio.create_task(self._run())
        outcome = "left"
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(latest_s - now_s + LATE_S):
                    await held.outcome
            if held.outcome.done() and not held.outcome.cancelled():
                # Also if it was decided on in the turn in which the time ended.
                decision = held.outcome.result()
            outcome = "begun" if decision.admitted else "refused"
            return decision
        finally:
            self.waiting.remove(entry.request_id)
            self._held.pop(entry.request_id, None)
            self.count(entry.asked.pool, outcome)

    def wake(self) -> None:
        """Decide on what waits soon, as a request has ended."""
        self._wake.set()

    def tick(self, now_s: float) -> None:
        """Decide on what waits."""
        if self.is_draining():
            for request in self.waiting.clear():
                error = refuse("shutting-down", retry_after_s=STOP_RETRY_S)
                self._fail(request.request_id, error)
            return
        for request_id, held in list(self._held.items()):
            if held.caller_closed() and self.waiting.remove(request_id):
                self._fail(request_id, CallerLeft())
        for request in self.waiting.expired(now_s):
            decided = self._reconsider(request, now_s)
            if decided is not None:
                self._settle(request, decided)
        passed: set[tuple[str, str]] = set()
        while (request := self.waiting.next(now_s, passed)) is not None:
            decided = self._reconsider(request, now_s)
            if decided is None:
                self.waiting.remove(request.request_id)
            elif decided.admitted:
                self.waiting.begin(request)
                self._settle(request, decided)
            else:
                passed.add(request.key)

    def _reconsider(
        self, request: WaitingRequest, now_s: float
    ) -> AdmissionDecision | None:
        """Return the decision on a request; None if it has ended or failed."""
        held = self._held.get(request.request_id)
        if held is None or held.outcome.done():
            return None
        try:
            return self.admission.reconsider(held.ask(now_s), TICK_S, now_s)
        except Exception as error:
            # Only this request fails, as all others wait for the same task.
            logger.exception("waiting_request_failed", request_id=request.request_id)
            self._fail(request.request_id, error)
            return None

    async def _run(self) -> None:
        logged_s = -LOG_INTERVAL_S
        while len(self.waiting):
            self._wake.clear()
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            try:
                self.tick(now_s := time.monotonic())
            except Exception:
                if now_s - logged_s >= LOG_INTERVAL_S:
                    logged_s = now_s
                    logger.exception("admission_tick_failed")

    def _settle(self, request: WaitingRequest, decision: AdmissionDecision) -> None:
        held = self._held.get(request.request_id)
        if held is not None and not held.outcome.done():
            held.outcome.set_result(decision)

    def _fail(self, request_id: int, error: Exception) -> None:
        held = self._held.get(request_id)
        if held is not None and not held.outcome.done():
            held.outcome.set_exception(error)
