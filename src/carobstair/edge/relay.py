"""Selects upstreams for requests and forwards them, one attempt at a time.

An attempt has one of three outcomes: the upstream did not run the request, it
responded, or the outcome is unknown. Only after the first may a non-repeatable
request be sent to another upstream or be refused as not run.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.memory_ledger import MemoryKind, MemoryLedger
from carobstair.core.refusals import refuse
from carobstair.core.routing import RequestKind, ServicePool
from carobstair.edge.connection_pool import ConnectionPool, PoolFull
from carobstair.edge.crash_guard import CrashGuard
from carobstair.edge.event_stream import EventSplitter
from carobstair.edge.exchange import (
    CallerLeft,
    Exchange,
    IncompleteResponse,
    Outcome,
    Send,
)
from carobstair.edge.memory import default_ledger
from carobstair.edge.metadata import Dialect, ForwardMetadata
from carobstair.edge.permit_exchange import Permit, PermitExchange
from carobstair.edge.response_relay import ResponseRelay
from carobstair.edge.rollout_evidence import RolloutEvidence
from carobstair.edge.upstream_connection import (
    CONNECT_TIMEOUT_S,
    ConnectionBroken,
    ConnectionLate,
    UpstreamConnection,
)
from carobstair.logs import get_logger

__all__ = ["Relay"]

logger = get_logger(__name__)

# Failed connects of a request after which it doesn't wait for other upstreams.
MAX_CONNECT_FAILURES = 4
# Requests for one service that wait for an upstream. Each of them looks for one in
# each interval, and connections become free one by one.
MAX_WAITING_REQUESTS = 32
# Interval between placement attempts while cold upstreams are at their send limit
# or no connection is free.
PLACEMENT_RETRY_S = 0.02
# Callers refused because all upstreams pause or limit requests return within this
# time after one is free again, as a fraction of the wait and at least.
RETURN_SPREAD = 0.5
MIN_RETURN_SPREAD_S = 0.5
# Maximum wait for an upstream, as a fraction of the route's target latency.
PLACEMENT_WAIT_FRACTION = 0.4


@dataclass(slots=True)
class Relay:
    """Forwards requests to upstreams and relays the responses.

    Parameters
    ----------
    dispatcher : Dispatcher
    connections : ConnectionPool
    dialect : Dialect
    ledger : MemoryLedger
        Has the memory that requests and responses take.
    rollouts : RolloutEvidence or None
        Counts attempts by version, where roll-outs are in force.
    """

    dispatcher: Dispatcher
    connections: ConnectionPool
    dialect: Dialect
    ledger: MemoryLedger = field(default_factory=default_ledger)
    rollouts: RolloutEvidence | None = None
    responses: ResponseRelay = field(init=False)
    guard: CrashGuard = field(init=False)
    permits: PermitExchange = field(init=False)
    _waiting: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.guard = CrashGuard(self.dispatcher)
        self.permits = PermitExchange(self.dispatcher.permits)
        self.responses = ResponseRelay(
            self.dispatcher, self.dialect, self.guard, self.permits, self.ledger
        )
        self.ledger.attach(MemoryKind.UNSENT, self.connections.unsent_bytes)

    async def run(self, exchange: Exchange, send: Send) -> None:
        """Forward a request until its response is complete.

        Raises
        ------
        Refusal
            If there is no response and none has been started.
        IncompleteResponse
            If a response has been started that can't be completed.
        CallerLeft
        """
        exchange.upstream_id = ""
        if self.rollouts is not None:
            exchange.version_draw = self.dispatcher.rng.random()
        self.dispatcher.resends.note_request(exchange.pool.name, exchange.arrived_s)
        if exchange.route.kind is RequestKind.STREAM and exchange.route.resumable:
            exchange.splitter = EventSplitter(exchange.metadata.last_event_id)
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                while not await self._attempt(exchange, send):
                    pass
        except TimeoutError:
            raise self._timeout_error(exchange) from None

    def _timeout_error(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return IncompleteResponse("request deadline exceeded")
        if exchange.may_have_run:
            return refuse("timed-out", exchange.upstream_id)
        return refuse("upstreams-unreached", exchange.detail)

    async def _attempt(self, exchange: Exchange, send: Send) -> bool:
        """Try one upstream; return whether the response is complete."""
        entry, connection, permit = await self._connect(exchange)
        now_s = time.monotonic()
        error = self._send_error(exchange, now_s)
        if error is not None:
            self.connections.release(entry, connection)
            self.permits.give_back(permit)
            raise error
        if permit.issuer:
            exchange.on_limited_send()
        exchange.attempts += 1
        exchange.upstream_id = entry.upstream_id
        exchange.progress = AttemptProgress(now_s)
        loads = self.dispatcher.loads
        prompt = exchange.metadata.prompt
        exchange.expected_s = loads.expected_wait_s(entry.upstream_id, prompt)
        sent = loads.begin(entry.upstream_id, prompt, now_s)
        exchange.uncached_tokens = sent.uncached_tokens
        self.guard.begin(exchange, entry)
        exchange.version_draw = 1.0
        observed = None
        if self.rollouts is not None:
            observed = self.rollouts.begin(exchange, entry)
        outcome: Outcome | None = None
        reusable = False
        may_have_run_before = exchange.may_have_run
        # From here on, the outcome is unknown until the upstream reports it.
        exchange.may_have_run = True
        try:
            head = self._request_head(exchange, entry, now_s)
            connection.send(exchange.method, head, exchange.body)
            self.connections.note_sent(connection)
            try:
                outcome = await self.responses.relay(
                    exchange, entry, connection, sent, send
                )
                reusable = outcome is not Outcome.UNKNOWN
                if outcome.is_known_not_run:
                    exchange.may_have_run = may_have_run_before
            except ConnectionBroken as error:
                exchange.detail = str(error)
                outcome = Outcome.UNKNOWN
        finally:
            loads.end(sent, time.monotonic())
            self.guard.end(exchange, entry, outcome)
            if self.rollouts is not None:
                self.rollouts.end(observed, exchange, outcome)
            if reusable:
                self.connections.release(entry, connection)
            else:
                self.connections.drop(entry, connection)
        return await self._handle_outcome(exchange, entry, outcome, send)

    def _send_error(self, exchange: Exchange, now_s: float) -> Exception | None:
        """Return why a request must not be sent any more, if so."""
        if now_s >= exchange.deadline_s:
            # The timeout may fire late under load; don't send after the deadline.
            return TimeoutError()
        if exchange.caller_closed():
            # A late event loop reads the request before the close that followed it.
            return CallerLeft()
        if not self.guard.allows_send(exchange):
            return self._crashing_prompt_error(exchange)
        return None

    async def _handle_outcome(
        self, exchange: Exchange, entry: UpstreamEntry, outcome: Outcome, send: Send
    ) -> bool:
        """Return whether the response is complete; False permits another attempt."""
        now_s = time.monotonic()
        health = self.dispatcher.health
        if outcome is Outcome.ANSWERED:
            health.note_success(entry.upstream_id, now_s)
            return True
        exchange.excluded.add(entry.upstream_id)
        if outcome is Outcome.OTHER_INSTANCE:
            # Its directory entry may stay listed for a few heartbeats.
            health.note_unreachable(entry.upstream_id, now_s)
        elif outcome is not Outcome.NOT_RUN:
            health.note_error(entry.upstream_id, now_s)
        # An error response may have been relayed whole already.
        will_retry = not exchange.completed and self._may_retry(
            exchange, outcome, now_s
        )
        logger.info(
            "attempt_failed",
            request_id=exchange.metadata.request_id,
            upstream=entry.upstream_id,
            outcome=str(outcome),
            attempt=exchange.attempts,
            detail=exchange.detail,
            again=will_retry,
            started=exchange.started,
            segments=",".join(exchange.metadata.prompt.shared_segments),
            **exchange.progress.log_fields(now_s),
        )
        if exchange.splitter is not None:
            exchange.splitter.discard_partial()
        if will_retry:
            await self.guard.wait_for_probe(exchange, entry)
            return False
        if exchange.completed:
            return True
        if exchange.started:
            raise IncompleteResponse(exchange.detail or str(outcome))
        if exchange.error_response is not None:
            await self.responses.respond(exchange, *exchange.error_response, send)
            return True
        if exchange.may_have_run:
            raise refuse("answer-lost", exchange.detail)
        raise refuse("upstreams-full", exchange.detail)

    def _may_retry(self, exchange: Exchange, outcome: Outcome, now_s: float) -> bool:
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        if not outcome.is_known_not_run and not exchange.route.repeatable:
            return False
        if exchange.started and exchange.splitter is None:
            return False
        if exchange.is_trial and not outcome.is_known_not_run:
            return False
        if exchange.deadline_s - now_s < 0.02:
            return False
        routers = len(self.dispatcher.routers) or 1
        return self.dispatcher.resends.take(exchange.pool.name, routers, now_s)

    async def _connect(
        self, exchange: Exchange
    ) -> tuple[UpstreamEntry, UpstreamConnection, Permit]:
        """Select an upstream and return it with a connection ready for a request."""
        wait_s = PLACEMENT_WAIT_FRACTION * exchange.route.target_latency_s
        wait_until_s = min(time.monotonic() + wait_s, exchange.deadline_s)
        # A connect that times out must leave time for another upstream.
        connect_until_s = wait_until_s + CONNECT_TIMEOUT_S
        while True:
            now_s = time.monotonic()
            if now_s >= connect_until_s:
                raise self._placement_error(exchange)
            limit = self._connection_limit(exchange.pool)
            full = self.connections.full_upstreams(limit)
            entry = self.dispatcher.choose(
                exchange.pool,
                exchange.metadata.prompt,
                exchange.excluded | full,
                now_s,
                max(0.0, wait_until_s - now_s),
                exchange.version_draw,
            )
            if entry is None:
                if full:
                    exchange.detail = "connections in use"
                self._refuse_if_paused(exchange, wait_until_s, now_s)
                self._refuse_if_limited(exchange, wait_until_s, now_s)
                await self._wait_for_upstream(exchange, wait_until_s)
                continue
            upstream = entry.upstream_id, entry.born_ms
            permit = await self.permits.acquire(upstream, wait_until_s)
            if permit is None:
                continue
            connection = await self._open_with_permit(exchange, entry, limit, permit)
            if connection is None:
                continue
            now_s = time.monotonic()
            if now_s <= permit.valid_until_s and self.dispatcher.confirm(
                entry, exchange.pool, now_s
            ):
                return entry, connection, permit
            # The upstream became ineligible while the connection was being opened.
            self.connections.release(entry, connection)
            self.permits.give_back(permit)

    async def _open_with_permit(
        self, exchange: Exchange, entry: UpstreamEntry, limit: int, permit: Permit
    ) -> UpstreamConnection | None:
        """Open a connection; give the permit back if there is none."""
        connection = None
        try:
            connection = await self._open(exchange, entry, limit)
        finally:
            if connection is None:
                self.permits.give_back(permit)
        return connection

    async def _wait_for_upstream(self, exchange: Exchange, wait_until_s: float) -> None:
        """Wait until an upstream may be available.

        Raises
        ------
        Refusal, IncompleteResponse
            If the time is over, several connects failed, or so many requests wait
            that this one can't be served in time.
        """
        pool = exchange.pool.name
        if (
            time.monotonic() >= wait_until_s
            or self._waiting[pool] >= MAX_WAITING_REQUESTS
            or exchange.connect_failures >= MAX_CONNECT_FAILURES
        ):
            raise self._placement_error(exchange)
        self._waiting[pool] += 1
        try:
            await asyncio.sleep(PLACEMENT_RETRY_S)
        finally:
            self._waiting[pool] -= 1

    def _refuse_if_paused(
        self, exchange: Exchange, wait_until_s: float, now_s: float
    ) -> None:
        """Refuse a request at once if no upstream accepts requests in time."""
        until_s = self.dispatcher.directory.paused_until_s(exchange.pool.name, now_s)
        if until_s is None or until_s <= wait_until_s:
            return
        self._raise_if_sent(exchange)
        wait_s = self._spread_s(until_s - now_s)
        raise refuse("upstreams-paused", exchange.pool.name, wait_s)

    def _refuse_if_limited(
        self, exchange: Exchange, wait_until_s: float, now_s: float
    ) -> None:
        """Refuse a request at once if no upstream has a permit for it in time."""
        wait_s = self.dispatcher.permit_wait_s(
            exchange.pool.name, exchange.excluded, now_s
        )
        if wait_s is None or now_s + wait_s <= wait_until_s:
            return
        self._raise_if_sent(exchange)
        raise refuse("upstreams-limited", exchange.pool.name, self._spread_s(wait_s))

    def _raise_if_sent(self, exchange: Exchange) -> None:
        if exchange.started or exchange.may_have_run:
            raise self._placement_error(exchange)

    def _spread_s(self, wait_s: float) -> float:
        """Return a longer wait, so that callers don't return at the same moment."""
        spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD * wait_s)
        return wait_s + self.dispatcher.rng.uniform(0.0, spread_s)

    def _connection_limit(self, pool: ServicePool) -> int:
        """Return how many connections this router may open to one upstream."""
        routers = max(1, len(self.dispatcher.routers))
        # Callers are unevenly distributed over routers, so each router may use
        # twice its share.
        return max(4, 2 * pool.max_connections // routers)

    async def _open(
        self, exchange: Exchange, entry: UpstreamEntry, limit: int
    ) -> UpstreamConnection | None:
        try:
            return await self.connections.acquire(entry, limit)
        except PoolFull:
            exchange.detail = "connections in use"
            await asyncio.sleep(PLACEMENT_RETRY_S)
        except ConnectionLate as error:
            # Another connect may succeed, as the upstream may be sound.
            exchange.connect_failures += 1
            exchange.detail = str(error)
        except ConnectionBroken as error:
            now_s = time.monotonic()
            self.dispatcher.note_unreachable(entry, exchange.pool, now_s)
            self.guard.note_unreachable(entry, error)
            exchange.excluded.add(entry.upstream_id)
            exchange.connect_failures += 1
            exchange.detail = str(error)
            logger.info(
                "upstream_unreached",
                request_id=exchange.metadata.request_id,
                upstream=entry.upstream_id,
                detail=str(error),
            )
        return None

    def _placement_error(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return IncompleteResponse("no upstream available to resume the stream")
        if exchange.may_have_run:
            return refuse("answer-lost", exchange.detail)
        if exchange.connect_failures:
            return refuse("upstreams-unreached", exchange.detail)
        return refuse("no-capacity", exchange.pool.name, 0.5)

    def _crashing_prompt_error(self, exchange: Exchange) -> Exception:
        exchange.detail = "a segment of the prompt is refused since it arrived"
        if exchange.started:
            return IncompleteResponse(exchange.detail)
        if exchange.may_have_run:
            return refuse("answer-lost", exchange.detail)
        return refuse("crashing-prompt", exchange.detail)

    def _request_head(
        self, exchange: Exchange, entry: UpstreamEntry, now_s: float
    ) -> bytes:
        last_event_id = None
        if exchange.splitter is not None:
            last_event_id = exchange.splitter.last_id
        elif exchange.metadata.last_event_id is not None:
            last_event_id = exchange.metadata.last_event_id
        metadata = ForwardMetadata(
            entry.upstream_id,
            max(1, int((exchange.deadline_s - now_s) * 1000)),
            exchange.workspace,
            last_event_id,
        )
        lines = [b"%s %s HTTP/1.1" % (exchange.method.encode(), exchange.target)]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in self.dialect.write_request(exchange.headers, metadata)
        ]
        if exchange.body or exchange.method not in ("GET", "HEAD"):
            lines.append(b"content-length: %d" % len(exchange.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"
