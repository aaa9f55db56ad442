"""Refusals of a router that is late or busy, as cheap as what is known allows.

A request that has arrived whole is refused unread, another one by its head.
"""

from __future__ import annotations

import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from carobstair.core.fleet_view import FleetView
from carobstair.core.overload import OverloadGuard
from carobstair.core.refusals import PROBLEM_JSON, Refusal, refuse
from carobstair.core.router_load import ShedParts
from carobstair.core.routing import AmbiguousTarget, RequestKind, Route, read_path
from carobstair.edge.metadata import Dialect
from carobstair.edge.metrics import EdgeMetrics
from carobstair.logs import get_logger, is_suppressed

__all__ = [
    "DEFAULT_ROUTE_TIMEOUT_S",
    "OTHER_ROUTER_RETRY_S",
    "EarlyRefusals",
    "retry_after_text",
]

logger = get_logger(__name__)

# Limit for requests whose route has no timeout; a caller's deadline may shorten it.
DEFAULT_ROUTE_TIMEOUT_S = 60.0
# Retry-After while this router is late or shutting down; the retry reaches another
# router.
OTHER_ROUTER_RETRY_S = 0.3
# Shorter waits are stated in milliseconds, longer ones in hundredths of a second.
SHORT_WAIT_S = 0.1
# Outcome of requests that waited too long to be read.
TURNED_AWAY = "turned-away"
# Outcome of requests that were shed unread, for a less busy peer.
SHED = "shed"
# A target, its path without escapes, and the Host headers of a request's head.
REQUEST_TARGET = re.compile(rb"[A-Z]+ (/[!-$&->@-~]*)(?:\?[!-~]*)? HTTP/1\.1\r\n")
HOST = re.compile(rb"\r\nhost:[ \t]*([!-~]*)[ \t]*(?=\r\n)", re.IGNORECASE)


@dataclass(slots=True)
class EarlyRefusals:
    """Refuses requests while this process is late or busy.

    Parameters
    ----------
    view : FleetView
    dialect : Dialect
    metrics : EdgeMetrics
    rng : random.Random
    overload : OverloadGuard
    closes_connections : callable, optional
        Returns whether answers should close their connections.
    """

    view: FleetView
    dialect: Dialect
    metrics: EdgeMetrics
    rng: random.Random
    overload: OverloadGuard
    closes_connections: Callable[[], bool] = lambda: False
    _shed_requests: int = 0

    def check(
        self,
        route: Route,
        caller_timeout_s: float | None,
        draw: float | None,
        now_s: float,
    ) -> None:
        """Refuse some requests by their head, for a less busy peer.

        Parameters
        ----------
        draw : float or None
            Random number that was drawn for the request before it was read, if any.

        Raises
        ------
        Refusal
        """
        parts = self.overload.early.parts(now_s)
        if not parts.first:
            return
        if draw is None:
            draw = self.rng.random()
        if draw < self._part(parts, route, caller_timeout_s):
            self._shed_requests += 1
            self.metrics.shed_by_head.inc()
            raise self.busy(now_s)

    def shed_draw(self) -> float | None:
        """Return a random number that decides on a new request; None sheds none."""
        if self.overload.early.parts(time.monotonic()).first:
            return self.rng.random()
        return None

    def shed_unread(self, request: bytes, draw: float) -> bytes | None:
        """Return the answer to a whole request that is shed unread, if it is.

        What can't be told from the bytes is decided when the request is read.
        """
        now_s = time.monotonic()
        parts = self.overload.early.parts(now_s)
        if draw >= parts.first:
            return None
        route = self.find_route(request)
        if route is None:
            return None
        caller_timeout_s = self.dialect.read_caller_timeout_s(request)
        if draw >= self._part(parts, route, caller_timeout_s):
            return None
        self._shed_requests += 1
        self.metrics.shed_unread.inc()
        return self.answer_unread(self.busy(now_s), SHED)

    def find_route(self, request: bytes) -> Route | None:
        """Return the route of a whole request, if its bytes tell it with certainty."""
        table = self.view.table
        if table is None:
            return None
        target = REQUEST_TARGET.match(request)
        hosts = HOST.findall(request, 0, request.find(b"\r\n\r\n") + 2)
        if target is None or len(hosts) != 1:
            return None
        try:
            path = read_path(target[1])
        except AmbiguousTarget:
            return None
        return table.find_route(hosts[0].decode("latin-1"), path)

    def turn_away(self) -> bytes:
        """Return the answer to a request that is not read, and count it."""
        return self.answer_unread(self.busy(time.monotonic()), TURNED_AWAY)

    def busy(self, now_s: float) -> Refusal:
        """Return the refusal of a request that another router can serve."""
        lag_s = self.overload.lag_s(now_s)
        if self.overload.is_early(now_s):
            early = self.overload.early
            detail = f"{early.utilisation():.0%} busy, {lag_s:.3f} s behind"
            return refuse("router-busy", detail, early.retry_after_s(self.rng))
        wait_s = OTHER_ROUTER_RETRY_S * self.rng.uniform(0.3, 1.0)
        return refuse("router-busy", f"{lag_s:.3f} s behind", wait_s)

    def take_shed(self) -> int:
        """Return how many requests were shed early since the last call."""
        count, self._shed_requests = self._shed_requests, 0
        return count

    def _part(
        self, parts: ShedParts, route: Route, caller_timeout_s: float | None
    ) -> float:
        if route.kind is not RequestKind.STREAM:
            return parts.last
        timeout_s = route.timeout_s or DEFAULT_ROUTE_TIMEOUT_S
        if self.overload.early.is_returned(caller_timeout_s, timeout_s):
            return parts.last
        return parts.first

    def answer_unread(self, refusal: Refusal, outcome: str) -> bytes:
        """Return the refusal of a request that is not read here, and count it."""
        self.metrics.requests.labels("", outcome).inc()
        if not is_suppressed(__name__, "request_refused", outcome):
            logger.info("request_refused", outcome=outcome)
        body = msgspec.json.encode(refusal.problem(""))
        lines = [
            f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}",
            f"content-type: {PROBLEM_JSON}",
            f"content-length: {len(body)}",
        ]
        if self.closes_connections():
            lines.append("connection: close")
        if refusal.retry_after_s is not None:
            lines.append(f"retry-after: {retry_after_text(refusal.retry_after_s)}")
        return "\r\n".join((*lines, "", "")).encode() + body


def retry_after_text(wait_s: float) -> str:
    """Return the value of a Retry-After header."""
    return f"{wait_s:.3f}" if wait_s < SHORT_WAIT_S else f"{wait_s:.2f}"
