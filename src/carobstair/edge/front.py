"""The callers' side of the edge router: an ASGI application over the relay."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView
from carobstair.core.overload import OverloadGuard
from carobstair.core.refusals import PROBLEM_JSON, Refusal, refuse
from carobstair.core.routing import (
    RequestKind,
    RequestLimits,
    Route,
    RoutingTable,
    ServicePool,
)
from carobstair.edge.exchange import BrokenAnswer, Exchange
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.relay import Relay
from carobstair.edge.terms import BadRequest, Dialect, RequestTerms
from carobstair.logs import get_logger

__all__ = ["Front"]

logger = get_logger(__name__)

# For callers that name no deadline and routes that name no time-out.
LONGEST_ANSWER_S = 60.0
# One line for this many requests that went well; failures are always logged.
SUCCESS_SAMPLE = 20
# A retry reaches another router.
RETRY_ELSEWHERE_S = 0.3


@dataclass(slots=True)
class _Caller:
    """Watches for the end of a caller's connection while it waits."""

    receive: Callable
    gone: bool = False

    async def watch(self, handler: asyncio.Task) -> None:
        while (await self.receive())["type"] != "http.disconnect":
            pass
        self.gone = True
        handler.cancel()


class Front:
    """Checks requests, hands them to the relay and answers refusals.

    Parameters
    ----------
    view : FleetView
    relay : Relay
    admission : FairAdmission
    dialect : Dialect
    metrics : EdgeMetrics
    rng : random.Random
    max_open : int
        Requests in hand beyond which more are refused.
    is_crowded : callable
        Returns whether answers should close their connections.
    overload : OverloadGuard, optional
    """

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        admission: FairAdmission,
        dialect: Dialect,
        metrics: EdgeMetrics,
        rng: random.Random,
        max_open: int,
        is_crowded: Callable[[], bool] = lambda: False,
        overload: OverloadGuard | None = None,
    ):
        self._view = view
        self._relay = relay
        self._admission = admission
        self._dialect = dialect
        self._metrics = metrics
        self._rng = rng
        self._max_open = max_open
        self._is_crowded = is_crowded
        self._overload = overload or OverloadGuard()
        self._ended = 0
        self.open_requests: set[asyncio.Task] = set()
        self.closing = False
        # Monotonic times: streams begin no more, and nothing runs any more.
        self.last_stream_s = math.inf
        self.end_s = math.inf

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http":
            return
        arrived_s = time.monotonic()
        task = asyncio.current_task()
        self.open_requests.add(task)
        caller = _Caller(receive)
        watcher: asyncio.Task | None = None
        exchange: Exchange | None = None
        outcome, detail = "cancelled", ""
        try:
            try:
                table, limits = self._in_force()
                terms = self._read_terms(scope, limits)
                route, workspace = self._admit(table, terms, scope["path"])
                self._check_lag(route, arrived_s)
                body = await self._read_body(caller, limits)
                exchange = self._exchange(
                    scope, table, terms, route, workspace, body, arrived_s
                )
                self._check_time_left(exchange)
                self._check_share(exchange, limits)
                watcher = asyncio.create_task(caller.watch(task))
                await self._relay.run(exchange, send)
                outcome = "answered"
            except Refusal as refusal:
                outcome = refusal.kind.name
                detail = refusal.detail
                await self._refuse(scope, send, refusal)
            except BrokenAnswer as error:
                outcome = "broken"
                exchange.detail = str(error)
                raise
            except asyncio.CancelledError:
                if not caller.gone:
                    raise
                outcome = "caller_left"
                task.uncancel()
            except Exception:
                outcome = "internal-error"
                logger.exception("request_failed", request_id=_given_id(scope))
                if exchange is not None and exchange.started:
                    raise
                await self._refuse(scope, send, refuse("internal-error"))
        finally:
            if watcher is not None:
                watcher.cancel()
            self.open_requests.discard(task)
            self._note_end(scope, exchange, outcome, detail, arrived_s)

    # Checks

    def _in_force(self) -> tuple[RoutingTable, RequestLimits]:
        table = self._view.table
        if table is None:
            raise refuse("not-ready", retry_after_s=0.5)
        if len(self.open_requests) > self._max_open:
            raise refuse("overloaded", "too many open requests")
        return table, table.config.limits

    def _read_terms(self, scope, limits: RequestLimits) -> RequestTerms:
        size = sum(len(n) + len(v) + 4 for n, v in scope["headers"])
        if size + len(scope["raw_path"]) > limits.max_header_bytes:
            raise refuse("headers-too-large")
        try:
            return self._dialect.read_request(scope["headers"])
        except BadRequest as error:
            raise refuse("bad-request", str(error)) from error

    def _admit(
        self, table: RoutingTable, terms: RequestTerms, path: str
    ) -> tuple[Route, str | None]:
        route = table.find_route(terms.host, path)
        if route is None:
            raise refuse("not-found", "no route for this host and path")
        if not table.requires_key:
            return route, None
        workspace = table.find_workspace(terms.key)
        if workspace is None and not route.public:
            raise refuse("unauthenticated")
        return route, workspace.name if workspace else None

    def _check_lag(self, route: Route, now_s: float) -> None:
        stream = route.kind is RequestKind.STREAM
        if self._overload.refuses(stream, now_s, self._rng):
            lag_s = self._overload.lag_s(now_s)
            wait_s = RETRY_ELSEWHERE_S * self._rng.uniform(0.3, 1.0)
            raise refuse("router-busy", f"{lag_s:.3f} s behind", wait_s)

    async def _read_body(self, caller: _Caller, limits: RequestLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await caller.receive()
            if message["type"] == "http.disconnect":
                caller.gone = True
                raise asyncio.CancelledError
            part = message.get("body", b"")
            size += len(part)
            if size > limits.max_body_bytes:
                raise refuse("too-large", f"at most {limits.max_body_bytes} bytes")
            parts.append(part)
            if not message.get("more_body", False):
                return parts[0] if len(parts) == 1 else b"".join(parts)

    def _exchange(
        self,
        scope,
        table: RoutingTable,
        terms: RequestTerms,
        route: Route,
        workspace: str | None,
        body: bytes,
        arrived_s: float,
    ) -> Exchange:
        pool = self._pick_pool(table, route)
        allowed_s = route.timeout_s or LONGEST_ANSWER_S
        if terms.deadline_s is not None:
            allowed_s = min(allowed_s, terms.deadline_s)
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return Exchange(
            terms,
            route,
            pool,
            workspace,
            scope["method"],
            target,
            scope["headers"],
            body,
            arrived_s,
            arrived_s + allowed_s,
            closing=self.closing or self._is_crowded(),
        )

    def _pick_pool(self, table: RoutingTable, route: Route) -> ServicePool:
        service = table.pick_service(route, table.services, self._rng)
        if service is None:
            raise refuse("no-capacity", route.name, 0.5)
        return table.services[service]

    def _check_time_left(self, exchange: Exchange) -> None:
        """Refuse what would not be finished before this process ends."""
        if not self.closing:
            return
        if exchange.route.kind is RequestKind.STREAM:
            late = exchange.arrived_s > self.last_stream_s
        else:
            late = exchange.until_s > self.end_s
        if late:
            raise refuse("shutting-down", retry_after_s=RETRY_ELSEWHERE_S)

    def _check_share(self, exchange: Exchange, limits: RequestLimits) -> None:
        """Refuse what goes beyond the workspace's share of busy engines."""
        pool, prompt = exchange.pool, exchange.terms.prompt
        if pool.engine is None or not limits.tokens_per_s or not exchange.workspace:
            return
        now_s = time.monotonic()
        weight = self._admission.settings.output_weight
        dispatcher = self._relay.dispatcher
        verdict = self._admission.decide(
            pool.name,
            exchange.workspace,
            prompt.prompt_tokens + weight * prompt.output_tokens,
            limits.tokens_per_s * dispatcher.fitness(pool.name, now_s),
            lambda: dispatcher.pressure(pool.name, now_s),
            now_s,
        )
        if verdict.admitted:
            return
        exchange.detail = (
            f"share {verdict.share:.0f} of demand {verdict.demand:.0f}, "
            f"all {verdict.usable:.0f}, pressure {verdict.pressure:.2f}"
        )
        # Spread, so that those refused together don't come back together.
        wait_s = verdict.retry_after_s * self._rng.uniform(0.7, 1.3)
        raise refuse("overloaded", exchange.detail, wait_s)

    # Ends

    async def _refuse(self, scope, send, refusal: Refusal) -> None:
        body = json.dumps(refusal.problem("")).encode()
        headers = [
            (b"content-type", PROBLEM_JSON.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % refusal.retry_after_s))
        crowded = self.closing or self._is_crowded()
        if crowded or refusal.status in (400, 408, 413, 431):
            headers.append((b"connection", b"close"))
        start = {"type": "http.response.start", "status": refusal.status}
        await send(start | {"headers": headers})
        if scope["method"] == "HEAD":
            body = b""
        await send({"type": "http.response.body", "body": body})

    def _note_end(
        self,
        scope,
        exchange: Exchange | None,
        outcome: str,
        detail: str,
        arrived_s: float,
    ) -> None:
        took_s = time.monotonic() - arrived_s
        if exchange is None:
            self._metrics.requests.labels("", outcome).inc()
            logger.info(
                "request_refused",
                request_id=_given_id(scope),
                outcome=outcome,
                version=self._view.version,
                detail=detail,
                took_s=round(took_s, 4),
            )
            return
        service = exchange.pool.name
        self._metrics.requests.labels(service, outcome).inc()
        first_s = None
        if exchange.first_byte_s is not None:
            first_s = round(exchange.first_byte_s - arrived_s, 4)
            self._metrics.first_byte_s.labels(service).observe(first_s)
        self._ended += 1
        smooth = outcome == "answered" and exchange.attempts == 1
        if smooth and self._ended % SUCCESS_SAMPLE:
            return
        logger.info(
            "request_ended",
            request_id=exchange.terms.request_id,
            route=exchange.route.name,
            workspace=exchange.workspace,
            service=service,
            upstream=exchange.upstream_id,
            outcome=outcome,
            one_of=SUCCESS_SAMPLE if smooth else None,
            status=exchange.status,
            attempts=exchange.attempts,
            may_have_run=exchange.may_have_run,
            version=self._view.version,
            detail=exchange.detail,
            expected_s=round(exchange.expected_s, 4),
            unread_tokens=exchange.unread_tokens,
            first_byte_s=first_s,
            took_s=round(took_s, 4),
        )


def _given_id(scope) -> str:
    for name, value in scope["headers"]:
        if name.endswith(b"-id"):
            return value[:64].decode("latin-1")
    return ""
