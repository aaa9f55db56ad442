"""ASGI application of the edge router: validates, admits and answers requests."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from carobstair.core.admission import (
    ROOM,
    AdmissionDecision,
    AdmissionRequest,
    EngineRoom,
    FairAdmission,
)
from carobstair.core.fleet_view import FleetView
from carobstair.core.framing import Framing
from carobstair.core.memory_ledger import MemoryKind
from carobstair.core.overload import OverloadGuard
from carobstair.core.rate_limits import ServiceThroughput
from carobstair.core.refusals import PROBLEM_JSON, Refusal, refuse
from carobstair.core.routing import (
    AmbiguousTarget,
    RequestKind,
    RequestLimits,
    Route,
    RoutingTable,
    ServicePool,
    read_path,
)
from carobstair.core.service_account import ROUTER_BUSY, ServiceAccount
from carobstair.edge.admission_gate import AdmissionGate
from carobstair.edge.body_budget import SMALL_BODY_BYTES, BodyBudget, BudgetExceeded
from carobstair.edge.early_refusals import (
    DEFAULT_ROUTE_TIMEOUT_S,
    OTHER_ROUTER_RETRY_S,
    EarlyRefusals,
    retry_after_text,
)
from carobstair.edge.exchange import CallerLeft, Exchange, IncompleteResponse
from carobstair.edge.metadata import BadRequest, Dialect, Headers, RequestMetadata
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.relay import Relay
from carobstair.edge.server import (
    ARRIVED_S,
    CALLER_CLOSED,
    EVENT_PAUSE_S,
    HOLD_HEAD,
    ON_CALLER_LEFT,
    SHED_DRAW,
    WHOLE_BODY,
)
from carobstair.logs import get_logger, is_suppressed

__all__ = ["EdgeApp"]

logger = get_logger(__name__)

# Objective for the first token of routes that have none.
DEFAULT_TARGET_S = 1.0
# Logs one of this many successful requests; failures are always logged.
SUCCESS_LOG_INTERVAL = 20
MAX_LENGTH_DIGITS = 18


@dataclass(slots=True)
class _CallerConnection:
    """Cancels a request's handler when its caller disconnects."""

    scope: dict
    receive: Callable
    disconnected: bool = False

    def cancel_when_left(self, handler: asyncio.Task) -> None:
        def cancel() -> None:
            self.disconnected = True
            handler.cancel()

        self.scope[ON_CALLER_LEFT](cancel)


class EdgeApp:
    """Validates and admits requests, passes them to the relay and sends refusals.

    Parameters
    ----------
    view : FleetView
    relay : Relay
    admission : FairAdmission
    dialect : Dialect
    metrics : EdgeMetrics
    rng : random.Random
    max_open_requests : int
        Number of open requests above which new ones are refused.
    over_connection_limit : callable
        Returns whether responses should close their connections.
    overload : OverloadGuard, optional
    room : EngineRoom, optional
    """

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        admission: FairAdmission,
        dialect: Dialect,
        metrics: EdgeMetrics,
        rng: random.Random,
        max_open_requests: int,
        over_connection_limit: Callable[[], bool] = lambda: False,
        overload: OverloadGuard | None = None,
        room: EngineRoom | None = None,
    ):
        self._view = view
        self._relay = relay
        self._admission = admission
        self._dialect = dialect
        self._metrics = metrics
        self._rng = rng
        self._max_open_requests = max_open_requests
        self._over_connection_limit = over_connection_limit
        self._overload = overload or OverloadGuard()
        self._ledger = relay.ledger
        self._body_budget = BodyBudget(relay.ledger)
        self._room = room or EngineRoom(
            relay.dispatcher, admission.load_of_others, admission.conserves_work
        )
        self._gate = AdmissionGate(
            admission,
            lambda: self.draining,
            lambda pool, outcome: metrics.waited.labels(pool, outcome).inc(),
        )
        self._ended_requests = 0
        self.refusals = EarlyRefusals(
            view, dialect, metrics, rng, self._overload, self._closes_connection
        )
        self.account = ServiceAccount(
            lambda pool, name, tokens: metrics.count_tokens(
                pool, name, "asked", tokens
            ),
            lambda pool, name, tokens: metrics.count_tokens(
                pool, name, "begun", tokens
            ),
            lambda pool, name, reason: metrics.workspace_refusals.labels(
                pool, name, reason
            ).inc(),
        )
        self.open_requests: set[asyncio.Task] = set()
        self.draining = False
        # Monotonic times while draining: after the first no streams are accepted,
        # and after the second no requests run.
        self.stream_cutoff_s = math.inf
        self.stop_deadline_s = math.inf

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http":
            return
        arrived_s = scope.get(ARRIVED_S) or time.monotonic()
        task = asyncio.current_task()
        self.open_requests.add(task)
        caller = _CallerConnection(scope, receive)
        exchange: Exchange | None = None
        outcome, detail = "cancelled", ""
        try:
            try:
                table, limits = self._active_config()
                metadata = self._read_metadata(scope, limits)
                path = self._read_path(scope["raw_path"])
                route, workspace = self._admit(table, metadata, path)
                self._shed_early(scope, table, route, metadata, workspace, arrived_s)
                self._shed_beyond_share(table, route, metadata, workspace, arrived_s)
                exchange = self._exchange(
                    scope, table, metadata, route, workspace, arrived_s
                )
                # What can be refused by the head is, before its body is read.
                self._check_shutdown(exchange)
                self._relay.guard.admit(exchange)
                within_share = await self._check_fair_share(exchange, limits)
                self._check_overload(exchange, within_share)
                await self._read_body(caller, limits, exchange)
                # A stop may have begun since.
                self._check_shutdown(exchange)
                exchange.close_connection = self._closes_connection(scope)
                caller.cancel_when_left(task)
                await self._relay.run(exchange, send)
                outcome = "answered"
            except Refusal as refusal:
                outcome = refusal.kind.name
                detail = refusal.detail
                await self._refuse(scope, send, refusal)
            except CallerLeft:
                outcome = "caller_left"
            except IncompleteResponse as error:
                outcome = "broken"
                exchange.detail = str(error)
                raise
            except asyncio.CancelledError:
                if caller.disconnected:
                    outcome = "caller_left"
                    task.uncancel()
                elif exchange is not None and exchange.started:
                    raise
                else:
                    # The time of a stop is over.
                    task.uncancel()
                    refusal = _cut_off(exchange)
                    outcome = refusal.kind.name
                    await self._refuse(scope, send, refusal)
            except Exception:
                outcome = "internal-error"
                logger.exception("request_failed", request_id=_request_id_of(scope))
                if exchange is not None and exchange.started:
                    raise
                await self._refuse(scope, send, refuse("internal-error"))
        finally:
            self.open_requests.discard(task)
            self._give_back(exchange)
            if exchange is not None:
                self._release_memory(exchange)
            self._record_end(scope, exchange, outcome, detail, arrived_s)

    # Checks

    def _active_config(self) -> tuple[RoutingTable, RequestLimits]:
        table = self._view.table
        if table is None:
            raise refuse("not-ready", retry_after_s=0.5)
        if len(self.open_requests) > self._max_open_requests:
            raise refuse("overloaded", "too many open requests")
        if self._ledger.is_full:
            raise refuse("overloaded", "the memory for requests is in use")
        return table, table.config.limits

    def _read_metadata(self, scope, limits: RequestLimits) -> RequestMetadata:
        size = sum(len(n) + len(v) + 4 for n, v in scope["headers"])
        if size + len(scope["raw_path"]) > limits.max_header_bytes:
            raise refuse("headers-too-large")
        try:
            return self._dialect.read_request(scope["headers"])
        except BadRequest as error:
            raise refuse("bad-request", str(error)) from error

    def _read_path(self, raw_path: bytes) -> str:
        try:
            return read_path(raw_path)
        except AmbiguousTarget as error:
            raise refuse("bad-request", str(error)) from error

    def _admit(
        self, table: RoutingTable, metadata: RequestMetadata, path: str
    ) -> tuple[Route, str | None]:
        route = table.find_route(metadata.host, path)
        if route is None:
            raise refuse("not-found", "no route for this host and path")
        if not table.requires_key:
            return route, None
        workspace = table.find_workspace(metadata.key)
        if workspace is None and not route.public:
            raise refuse("unauthenticated")
        return route, workspace.name if workspace else None

    async def _read_body(
        self, caller: _CallerConnection, limits: RequestLimits, exchange: Exchange
    ) -> None:
        """Read the body, which must arrive before the request's deadline."""
        body = caller.scope[WHOLE_BODY](min(SMALL_BODY_BYTES, limits.max_body_bytes))
        if body is not None:
            self._keep_body(exchange, body)
            return
        size_bytes = _declared_bytes(exchange.headers, limits)
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                exchange.held_bytes = await self._body_budget.acquire(size_bytes)
                body = await self._read_body_parts(caller, limits)
        except BudgetExceeded as error:
            raise refuse("overloaded", str(error)) from None
        except TimeoutError:
            raise refuse("request-timeout", "the body took too long") from None
        self._keep_body(exchange, body)

    def _keep_body(self, exchange: Exchange, body: bytes) -> None:
        exchange.body = body
        if body and not exchange.held_bytes:
            exchange.small_body_bytes = len(body)
            self._ledger.take(MemoryKind.SMALL_BODIES, len(body))

    def _release_memory(self, exchange: Exchange) -> None:
        """Give back the memory that a request holds."""
        if exchange.held_bytes:
            self._body_budget.release(exchange.held_bytes)
        if exchange.small_body_bytes:
            size_bytes = exchange.small_body_bytes
            self._ledger.give_back(MemoryKind.SMALL_BODIES, size_bytes)
        exchange.drop_error()

    async def _read_body_parts(
        self, caller: _CallerConnection, limits: RequestLimits
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await caller.receive()
            if message["type"] == "http.disconnect":
                caller.disconnected = True
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
        metadata: RequestMetadata,
        route: Route,
        workspace: str | None,
        arrived_s: float,
    ) -> Exchange:
        pool = self._pick_pool(table, route)
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return Exchange(
            metadata,
            route,
            pool,
            workspace,
            scope["method"],
            target,
            scope["headers"],
            b"",
            arrived_s,
            arrived_s + _allowed_s(route, metadata),
            caller_closed=scope[CALLER_CLOSED],
            hold_head=scope[HOLD_HEAD],
            event_pause_s=scope.get(EVENT_PAUSE_S, 0.0),
        )

    def _closes_connection(self, scope: Mapping | None = None) -> bool:
        if scope is not None and EVENT_PAUSE_S in scope:
            # The connection is that of a peer, not one of the callers' connections.
            return self.draining
        return self.draining or self._over_connection_limit()

    def _pick_pool(self, table: RoutingTable, route: Route) -> ServicePool:
        service = table.pick_service(route, table.services, self._rng)
        if service is None:
            raise refuse("no-capacity", route.name, 0.5)
        return table.services[service]

    def _check_shutdown(self, exchange: Exchange) -> None:
        """Refuse requests that may not complete before this process exits."""
        if not self.draining:
            return
        if exchange.event_pause_s:
            # The router that handed it over can serve it for longer.
            late = True
        elif exchange.route.kind is RequestKind.STREAM:
            late = exchange.arrived_s > self.stream_cutoff_s
        else:
            late = exchange.deadline_s > self.stop_deadline_s
        if late:
            raise refuse("shutting-down", retry_after_s=OTHER_ROUTER_RETRY_S)

    async def _check_fair_share(
        self, exchange: Exchange, limits: RequestLimits
    ) -> bool:
        """Refuse requests that would wait too long, fairly between workspaces.

        Returns whether the workspace is within its share.
        """
        pool = exchange.pool
        workspace = exchange.workspace
        if not workspace or not self._shares_tokens(pool, limits):
            return False
        now_s = time.monotonic()
        tokens = self._weighted_tokens(exchange.metadata)
        self.account.note_asked(pool.name, workspace, tokens)
        exchange.on_begun = lambda: self.account.note_begun(
            pool.name, workspace, tokens
        )
        dispatcher = self._relay.dispatcher
        throughput = dispatcher.throughput(
            pool.name,
            limits.tokens_per_s,
            self._admission.limited_request_tokens(pool.name, now_s),
            self._admission.factor(pool.name),
            now_s,
        )
        if self._admission.conserves_work(pool.name):
            decision = await self._decide_by_room(exchange, tokens, throughput, now_s)
        else:
            decision = self._decide_by_share(exchange, tokens, throughput, now_s)
        self.account.note_decision(pool.name, workspace, tokens, decision)
        if decision.reason == ROOM:
            self._metrics.admitted_by_room.labels(pool.name).inc()
        if decision.admitted:
            exchange.admitted_tokens = tokens
            exchange.on_limited_send = lambda: self._admission.note_limited_send(
                pool.name, tokens, time.monotonic()
            )
            return decision.share >= decision.demand
        self.account.note_refused(pool.name, workspace, decision.reason)
        exchange.detail = (
            f"share {decision.share:.0f} of demand {decision.demand:.0f}, "
            f"all {decision.supply:.0f}, pressure {decision.pressure:.2f}, "
            f"wait {decision.wait:.2f} of the objective"
        )
        # Jitter, so that requests refused together aren't retried together.
        earliest = 0.7
        if self._admission.conserves_work(pool.name):
            # The time is that at which the request will begin, so none comes before it.
            earliest = 1.0
        wait_s = decision.retry_after_s * self._rng.uniform(earliest, 1.3)
        raise refuse("overloaded", exchange.detail, wait_s)

    def _decide_by_share(
        self,
        exchange: Exchange,
        tokens: float,
        throughput: ServiceThroughput,
        now_s: float,
    ) -> AdmissionDecision:
        pool, prompt = exchange.pool, exchange.metadata.prompt
        dispatcher = self._relay.dispatcher
        target_s = exchange.route.target_latency_s or DEFAULT_TARGET_S
        return self._admission.decide(
            pool.name,
            exchange.workspace,
            tokens,
            throughput.nominal_per_s,
            lambda: dispatcher.pressure(pool.name, now_s),
            now_s,
            lambda: dispatcher.queue_wait_s(pool, prompt, now_s) / target_s,
            lambda: dispatcher.slots_used(pool.name, now_s),
            throughput.limited_per_s,
        )

    async def _decide_by_room(
        self,
        exchange: Exchange,
        tokens: float,
        throughput: ServiceThroughput,
        now_s: float,
    ) -> AdmissionDecision:
        """Decide on a request; it waits if it may begin in time later."""

        def ask(at_s: float) -> AdmissionRequest:
            return self._admission_request(exchange, tokens, throughput, at_s)

        request = ask(now_s)
        decision = self._admission.decide_conserving(request, now_s)
        if decision.admitted:
            return decision
        latest_s = self._gate.may_wait(decision, request.objective_s, now_s)
        if latest_s is None:
            return decision
        latest_s = min(latest_s, exchange.deadline_s)
        return await self._gate.wait(
            ask, decision, latest_s, exchange.route.priority, exchange.caller_closed
        )

    def _admission_request(
        self,
        exchange: Exchange,
        tokens: float,
        throughput: ServiceThroughput,
        now_s: float,
    ) -> AdmissionRequest:
        pool, prompt = exchange.pool, exchange.metadata.prompt
        hold_s = self._admission.settings.hold_s
        target_s = exchange.route.target_latency_s or DEFAULT_TARGET_S
        known_after_s = self._admission.settings.returned_after_s
        elapsed_s = _elapsed_s(exchange.route, exchange.metadata, known_after_s)
        left_s = target_s - elapsed_s - (now_s - exchange.arrived_s)
        return AdmissionRequest(
            pool.name,
            exchange.workspace,
            tokens,
            throughput.nominal_per_s,
            lambda: self._room.load(pool.name, now_s),
            lambda: self._room.wait_s(pool.name, hold_s, now_s) / target_s,
            lambda: self._room.has_room(pool.name, prompt, left_s, now_s),
            left_s,
            elapsed_s > 0.0,
            throughput.limited_per_s,
            lambda: self._room.own_running(pool.name, now_s),
        )

    def _shed_early(
        self,
        scope,
        table: RoutingTable,
        route: Route,
        metadata: RequestMetadata,
        workspace: str | None,
        now_s: float,
    ) -> None:
        """Refuse some requests by their head, for a less busy peer."""
        try:
            self.refusals.check(
                route, metadata.caller_timeout_s, scope.get(SHED_DRAW), now_s
            )
        except Refusal:
            if workspace and route.kind is RequestKind.STREAM:
                pool = self._pick_pool(table, route).name
                self.account.note_shed(pool, workspace, self._weighted_tokens(metadata))
            raise

    def _shed_beyond_share(
        self,
        table: RoutingTable,
        route: Route,
        metadata: RequestMetadata,
        workspace: str | None,
        now_s: float,
    ) -> None:
        """Refuse streams of workspaces beyond their share while this process is late.

        They cause the load, and are refused before they cost more than their head.
        """
        if not workspace or route.kind is not RequestKind.STREAM:
            return
        if not self._overload.refuses(True, now_s, self._rng):
            return
        pool = self._pick_pool(table, route).name
        if self._admission.is_beyond_share(pool, workspace):
            tokens = self._weighted_tokens(metadata)
            self._admission.note_demand(pool, workspace, tokens, now_s)
            self.account.note_shed(pool, workspace, tokens)
            raise self.refusals.busy(now_s)

    def _check_overload(self, exchange: Exchange, within_share: bool) -> None:
        """Refuse some of the other requests while this process is late."""
        now_s = time.monotonic()
        stream = exchange.route.kind is RequestKind.STREAM
        first = stream and not within_share
        if self._overload.refuses(first, now_s, self._rng):
            if exchange.admitted_tokens:
                self.account.note_refused(
                    exchange.pool.name, exchange.workspace, ROUTER_BUSY
                )
            raise self.refusals.busy(now_s)

    def _give_back(self, exchange: Exchange | None) -> None:
        """Return the share of a request that was admitted and did not begin."""
        self._gate.wake()
        if exchange is None or not exchange.admitted_tokens or exchange.started:
            return
        self._admission.give_back(
            exchange.pool.name, exchange.workspace, exchange.admitted_tokens
        )

    def _shares_tokens(self, pool: ServicePool, limits: RequestLimits) -> bool:
        """Return whether workspaces share the throughput of a pool."""
        return pool.engine is not None and bool(limits.tokens_per_s)

    def _weighted_tokens(self, metadata: RequestMetadata) -> float:
        prompt = metadata.prompt
        weight = self._admission.settings.output_weight
        return prompt.prompt_tokens + weight * prompt.output_tokens

    # Refusals and logging

    async def _refuse(self, scope, send, refusal: Refusal) -> None:
        body = msgspec.json.encode(refusal.problem(""))
        headers = [
            (b"content-type", PROBLEM_JSON.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        if refusal.retry_after_s is not None:
            wait = retry_after_text(refusal.retry_after_s)
            headers.append((b"retry-after", wait.encode()))
        closes = refusal.status in (400, 408, 413, 431)
        if closes or self._closes_connection(scope):
            headers.append((b"connection", b"close"))
        scope[HOLD_HEAD]()
        start = {"type": "http.response.start", "status": refusal.status}
        await send(start | {"headers": headers})
        if scope["method"] == "HEAD":
            body = b""
        await send({"type": "http.response.body", "body": body})

    def _record_end(
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
            if is_suppressed(__name__, "request_refused", outcome):
                return
            logger.info(
                "request_refused",
                request_id=_request_id_of(scope),
                outcome=outcome,
                version=self._view.version,
                detail=detail,
                took_s=round(took_s, 4),
            )
            return
        service = exchange.pool.name
        first_s = None
        if exchange.first_byte_s is not None:
            first_s = round(exchange.first_byte_s - arrived_s, 4)
            self._metrics.observe_first_byte(service, first_s)
        self._ended_requests += 1
        framing = exchange.framing
        self._metrics.count_end(service, framing or "", outcome)
        at_connection_end = framing is Framing.CONNECTION_END
        first_try = outcome == "answered" and exchange.attempts == 1
        # Only the log shows whether a response without a length was truncated.
        sampled = first_try and not at_connection_end
        if sampled and self._ended_requests % SUCCESS_LOG_INTERVAL:
            return
        if is_suppressed(__name__, "request_ended", outcome):
            return
        logger.info(
            "request_ended",
            request_id=exchange.metadata.request_id,
            route=exchange.route.name,
            workspace=exchange.workspace,
            service=service,
            upstream=exchange.upstream_id,
            outcome=outcome,
            one_of=SUCCESS_LOG_INTERVAL if sampled else None,
            status=exchange.status,
            attempts=exchange.attempts,
            may_have_run=exchange.may_have_run,
            version=self._view.version,
            detail=exchange.detail,
            framing=framing,
            last_bytes=repr(exchange.last_bytes) if at_connection_end else None,
            expected_s=round(exchange.expected_s, 4),
            unread_tokens=exchange.uncached_tokens,
            first_byte_s=first_s,
            took_s=round(took_s, 4),
        )


def _cut_off(exchange: Exchange | None) -> Refusal:
    """Return the refusal of a request that is cut off by the end of this process."""
    refusal = refuse("shutting-down", retry_after_s=OTHER_ROUTER_RETRY_S)
    return refusal.after_attempt(exchange is not None and exchange.may_have_run)


def _allowed_s(route: Route, metadata: RequestMetadata) -> float:
    """Return how long a request may take from its arrival."""
    allowed_s = route.timeout_s or DEFAULT_ROUTE_TIMEOUT_S
    if metadata.caller_timeout_s is not None:
        allowed_s = min(allowed_s, metadata.caller_timeout_s)
    return allowed_s


def _elapsed_s(route: Route, metadata: RequestMetadata, known_after_s: float) -> float:
    """Return the time since the first attempt of a caller that was refused, else 0."""
    if not route.timeout_s or metadata.caller_timeout_s is None:
        return 0.0
    elapsed_s = route.timeout_s - metadata.caller_timeout_s
    return elapsed_s if elapsed_s > known_after_s else 0.0


def _declared_bytes(headers: Headers, limits: RequestLimits) -> int:
    """Return the length of a body by its head; the largest one if it is in chunks."""
    size_bytes = 0
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            size_bytes = int(value[:MAX_LENGTH_DIGITS])
        elif name == b"transfer-encoding":
            return limits.max_body_bytes
    return min(size_bytes, limits.max_body_bytes)


def _request_id_of(scope) -> str:
    for name, value in scope["headers"]:
        if name.endswith(b"-id"):
            return value[:64].decode("latin-1")
    return ""
