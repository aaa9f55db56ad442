"""Hands new streams of a busy router to idle peers; see `core/handoff`."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable

from carobstair.core.handoff import (
    HandoffDecision,
    HandoffPeer,
    is_single_request,
)
from carobstair.core.refusals import refuse
from carobstair.core.router_load import EarlyShedding
from carobstair.core.routing import RequestKind
from carobstair.edge.early_refusals import DEFAULT_ROUTE_TIMEOUT_S, EarlyRefusals
from carobstair.edge.handoff_links import HandoffLinks
from carobstair.edge.handoff_request import (
    HandedOffRequest,
    HandoffCaller,
    HandoffOutcome,
)
from carobstair.edge.metrics import EdgeMetrics
from carobstair.logs import get_logger, is_suppressed

__all__ = ["Handoff"]

logger = get_logger(__name__)

# Between two looks at deadlines and idle links; callers leave by themselves.
SWEEP_INTERVAL_S = 0.1
# The peer ends a request at its deadline, and its answer may be on the way. Nothing
# must have come for so long.
DEADLINE_MARGIN_S = 0.25
# Outcomes that are logged one by one, with their reason.
LOGGED = frozenset(
    {
        HandoffOutcome.BROKEN,
        HandoffOutcome.UNKNOWN,
        HandoffOutcome.OVERDUE,
    }
)


class Handoff:
    """Driver of the hand-off at the router that hands off.

    Parameters
    ----------
    decision : HandoffDecision
    early : EarlyShedding
        Has the utilisation of this router.
    refusals : EarlyRefusals
        Finds the routes of unread requests.
    metrics : EdgeMetrics
    rng : random.Random
    has_memory : callable
        Returns whether callers' connections hold little memory.
    """

    def __init__(
        self,
        decision: HandoffDecision,
        early: EarlyShedding,
        refusals: EarlyRefusals,
        metrics: EdgeMetrics,
        rng: random.Random,
        has_memory: Callable[[], bool] = lambda: True,
    ):
        self.decision = decision
        self._early = early
        self._refusals = refusals
        self._metrics = metrics
        self._rng = rng
        self._has_memory = has_memory
        self._links = HandoffLinks(self._on_failure, time.monotonic)
        self._open: set[HandedOffRequest] = set()
        self._counts: Counter[str] = Counter()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def open_requests(self) -> int:
        """Number of requests that peers serve for this router."""
        return len(self._open)

    def offer(self, caller: HandoffCaller, data: bytes) -> HandedOffRequest | None:
        """Return a new request that is to be handed off, or None to serve it here."""
        utilisation = self._early.utilisation()
        part = self.decision.part(utilisation, len(self._open))
        if not part or not self._has_memory():
            return None
        now_s = time.monotonic()
        peer = self.decision.choose(utilisation, part, self._rng, now_s)
        if peer is None or not is_single_request(data):
            return None
        route = self._refusals.find_route(data)
        if route is None or route.kind is not RequestKind.STREAM:
            return None
        allowed_s = route.timeout_s or DEFAULT_ROUTE_TIMEOUT_S
        stated_s = self._refusals.dialect.read_caller_timeout_s(data)
        if stated_s is not None:
            allowed_s = min(allowed_s, stated_s)
        request = HandedOffRequest(self, caller, peer, data, now_s, now_s + allowed_s)
        self._open.add(request)
        self.decision.peers.begin(peer, now_s)
        return request

    def begin(self, request: HandedOffRequest) -> None:
        """Send a request on an idle link, or on a new one."""
        self._schedule_sweep()
        link = self._links.take(request.peer)
        if link is not None:
            request.send(link)
        else:
            request.connect()

    def connect(self, request: HandedOffRequest) -> None:
        """Open a link for a request."""
        self._links.connect(request.peer, request)

    def closes_connections(self) -> bool:
        """Return whether answers should close their callers' connections."""
        return self._refusals.closes_connections()

    def answer_without_peer(self, outcome: HandoffOutcome, detail: str) -> bytes:
        """Return the answer to a request that was sent and got none.

        The peer may have used all attempts that the route permits, so the request is
        not sent again.
        """
        overdue = outcome is HandoffOutcome.OVERDUE
        refusal = refuse("timed-out" if overdue else "answer-lost", detail)
        return self._refusals.answer_unread(refusal, refusal.kind.name)

    def note_begun(self, request: HandedOffRequest) -> None:
        """Record that the answer has begun."""
        self.decision.peers.note_answer(request.peer, time.monotonic())

    def note_end(
        self, request: HandedOffRequest, outcome: HandoffOutcome, detail: str = ""
    ) -> None:
        """Record the end of a request."""
        self._open.discard(request)
        self.decision.peers.end(request.peer, request.answer_began)
        if outcome is HandoffOutcome.RETURNED:
            self.decision.peers.note_failure(request.peer, time.monotonic())
        self._counts[outcome] += 1
        self._metrics.count_handoff(outcome)
        if outcome in LOGGED and not is_suppressed(__name__, "handoff_ended", outcome):
            logger.warning(
                "handoff_ended",
                outcome=str(outcome),
                peer=request.peer.name,
                detail=detail,
                took_s=round(time.monotonic() - request.arrived_s, 4),
            )

    def _on_failure(self, peer: HandoffPeer, reason: str) -> None:
        self.decision.peers.note_failure(peer, time.monotonic())
        if not is_suppressed(__name__, "handoff_peer_unreached"):
            logger.info("handoff_peer_unreached", peer=peer.name, detail=reason)

    def log_counts(self) -> None:
        """Log how many requests were handed off since the last call."""
        if not self._counts and not self._open:
            return
        counts = {k.replace("-", "_"): n for k, n in self._counts.items()}
        self._counts.clear()
        utilisation = self._early.utilisation()
        logger.info(
            "requests_handed_off",
            open=len(self._open),
            utilisation=None if utilisation is None else round(utilisation, 3),
            **counts,
        )

    def abort_all(self) -> None:
        """End what is left when this process stops."""
        for request in list(self._open):
            request.break_off("the router stops")

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """End what is overdue, such as requests at a peer that is frozen."""
        self._sweep_timer = None
        now_s = time.monotonic()
        latest_s = now_s - DEADLINE_MARGIN_S
        for request in list(self._open):
            if request.deadline_s >= latest_s:
                continue
            # An answer that is under way or waits for its caller is delivered, however
            # late; its peer ends it at the deadline if the engine has not done so.
            if request.take_progress():
                request.deadline_s = now_s
            else:
                request.abort(HandoffOutcome.OVERDUE, "no end by the deadline")
        self._links.close_idle(now_s)
        if self._open or not self._links.is_empty:
            self._schedule_sweep()
