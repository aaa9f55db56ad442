"""Places requests and sends them to upstreams, one attempt after the other.

Three outcomes of a send are kept apart: the upstream has not run the request, it
has answered, or nobody knows. Only the first allows an unrepeatable request to be
sent elsewhere or to be refused as not run.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.refusals import refuse
from carobstair.core.routing import RequestKind
from carobstair.edge.answers import AnswerRelay
from carobstair.edge.event_stream import EventCutter
from carobstair.edge.exchange import BrokenAnswer, Exchange, Outcome, Send
from carobstair.edge.terms import Dialect, SendTerms
from carobstair.edge.upstream_connection import ConnectionBroken, UpstreamConnection
from carobstair.edge.upstream_pool import PoolFull, UpstreamPool
from carobstair.logs import get_logger

__all__ = ["Relay"]

logger = get_logger(__name__)

# Upstreams that could not be reached, tried for one request.
MAX_UNREACHED = 4
# Pause before the next look for a cold upstream's turn or a free connection.
RETRY_PAUSE_S = 0.02
# A request waits this part of its objective for an upstream that takes it.
PLACE_WAIT_FRACTION = 0.4


@dataclass(slots=True)
class Relay:
    """Places, sends and relays requests.

    Parameters
    ----------
    dispatcher : Dispatcher
    connections : UpstreamPool
    dialect : Dialect
    """

    dispatcher: Dispatcher
    connections: UpstreamPool
    dialect: Dialect
    answers: AnswerRelay = field(init=False)

    def __post_init__(self) -> None:
        self.answers = AnswerRelay(self.dispatcher.loads, self.dialect)

    async def run(self, exchange: Exchange, send: Send) -> None:
        """Have a request answered.

        Raises
        ------
        Refusal
            If no answer can be given and none has begun.
        BrokenAnswer
            If an answer has begun that can't be completed.
        """
        exchange.upstream_id = ""
        self.dispatcher.resends.note_request(exchange.pool.name, exchange.arrived_s)
        if exchange.route.kind is RequestKind.STREAM and exchange.route.resumable:
            exchange.cutter = EventCutter(exchange.terms.last_event_id)
        try:
            async with asyncio.timeout_at(exchange.until_s):
                while not await self._attempt(exchange, send):
                    pass
        except TimeoutError:
            raise self._timed_out(exchange) from None

    def _timed_out(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return BrokenAnswer("the route's time is over")
        if exchange.may_have_run:
            return refuse("timed-out", exchange.upstream_id)
        return refuse("upstreams-unreached", exchange.detail)

    async def _attempt(self, exchange: Exchange, send: Send) -> bool:
        """Try one upstream; return whether the answer is complete."""
        entry, connection = await self._connect(exchange)
        now_s = time.monotonic()
        if now_s >= exchange.until_s:
            # A timer that is late itself would let the request go out.
            self.connections.release(entry, connection)
            raise TimeoutError
        exchange.attempts += 1
        exchange.upstream_id = entry.upstream_id
        loads = self.dispatcher.loads
        prompt = exchange.terms.prompt
        exchange.expected_s = loads.expected_wait_s(entry.upstream_id, prompt)
        sent = loads.begin(entry.upstream_id, prompt, now_s)
        exchange.unread_tokens = sent.unread_tokens
        kept = False
        ran_before = exchange.may_have_run
        # From here on the outcome is unknown until the upstream has told it.
        exchange.may_have_run = True
        try:
            connection.send(self._head(exchange, entry, now_s), exchange.body)
            try:
                outcome = await self.answers.relay(
                    exchange, entry, connection, sent, send
                )
                kept = outcome is not Outcome.UNKNOWN
                if outcome.is_known_not_run:
                    exchange.may_have_run = ran_before
            except ConnectionBroken as error:
                exchange.detail = str(error)
                outcome = Outcome.UNKNOWN
        finally:
            loads.end(sent, time.monotonic())
            if kept:
                self.connections.release(entry, connection)
            else:
                self.connections.drop(entry, connection)
        return await self._settle(exchange, entry, outcome, send)

    async def _settle(
        self, exchange: Exchange, entry: UpstreamEntry, outcome: Outcome, send: Send
    ) -> bool:
        """Return whether the request has its answer; otherwise allow one more."""
        now_s = time.monotonic()
        health = self.dispatcher.health
        if outcome is Outcome.ANSWERED:
            health.note_success(entry.upstream_id, now_s)
            return True
        exchange.avoided.add(entry.upstream_id)
        if outcome is Outcome.OTHER_INSTANCE:
            # Its entry may stay listed for some heartbeats.
            health.note_unreachable(entry.upstream_id, now_s)
        elif outcome is not Outcome.NOT_RUN:
            health.note_error(entry.upstream_id, now_s)
        again = self._may_send_again(exchange, outcome, now_s)
        logger.info(
            "attempt_failed",
            request_id=exchange.terms.request_id,
            upstream=entry.upstream_id,
            outcome=str(outcome),
            attempt=exchange.attempts,
            detail=exchange.detail,
            again=again,
            started=exchange.started,
        )
        if exchange.cutter is not None:
            exchange.cutter.restart()
        if again:
            return False
        if exchange.started:
            raise BrokenAnswer(exchange.detail or str(outcome))
        if exchange.failure is not None:
            await self.answers.finish(exchange, *exchange.failure, send)
            return True
        if exchange.may_have_run:
            raise refuse("answer-lost", exchange.detail)
        raise refuse("upstreams-full", exchange.detail)

    def _may_send_again(
        self, exchange: Exchange, outcome: Outcome, now_s: float
    ) -> bool:
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        if not outcome.is_known_not_run and not exchange.route.repeatable:
            return False
        if exchange.started and exchange.cutter is None:
            return False
        if exchange.until_s - now_s < 0.02:
            return False
        routers = len(self.dispatcher.routers) or 1
        return self.dispatcher.resends.take(exchange.pool.name, routers, now_s)

    async def _connect(
        self, exchange: Exchange
    ) -> tuple[UpstreamEntry, UpstreamConnection]:
        """Return an upstream with a connection on which it may be sent to now."""
        wait_s = PLACE_WAIT_FRACTION * exchange.route.target_latency_s
        give_up_s = min(time.monotonic() + wait_s, exchange.until_s)
        full: set[str] = set()
        while True:
            now_s = time.monotonic()
            entry = self.dispatcher.choose(
                exchange.pool, exchange.terms.prompt, exchange.avoided | full, now_s
            )
            if entry is None:
                if now_s >= give_up_s or exchange.unreached >= MAX_UNREACHED:
                    raise self._unplaced(exchange)
                full.clear()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            connection = await self._open(exchange, entry, full)
            if connection is None:
                continue
            if self.dispatcher.confirm(entry, exchange.pool, time.monotonic()):
                return entry, connection
            # Something has changed while the connection was opened.
            self.connections.release(entry, connection)

    async def _open(
        self, exchange: Exchange, entry: UpstreamEntry, full: set[str]
    ) -> UpstreamConnection | None:
        routers = max(1, len(self.dispatcher.routers))
        # Callers spread unevenly over routers, so one may use twice its part.
        limit = max(4, 2 * exchange.pool.max_connections // routers)
        try:
            return await self.connections.acquire(entry, limit)
        except PoolFull:
            full.add(entry.upstream_id)
            exchange.detail = "connections in use"
        except ConnectionBroken as error:
            now_s = time.monotonic()
            self.dispatcher.note_unreachable(entry, exchange.pool, now_s)
            exchange.avoided.add(entry.upstream_id)
            exchange.unreached += 1
            exchange.detail = str(error)
            logger.info(
                "upstream_unreached",
                request_id=exchange.terms.request_id,
                upstream=entry.upstream_id,
                detail=str(error),
            )
        return None

    def _unplaced(self, exchange: Exchange) -> Exception:
        if exchange.started:
            return BrokenAnswer("no upstream to go on at")
        if exchange.may_have_run:
            return refuse("answer-lost", exchange.detail)
        if exchange.unreached:
            return refuse("upstreams-unreached", exchange.detail)
        return refuse("no-capacity", exchange.pool.name, 0.5)

    def _head(self, exchange: Exchange, entry: UpstreamEntry, now_s: float) -> bytes:
        last_event_id = None
        if exchange.cutter is not None:
            last_event_id = exchange.cutter.last_id
        elif exchange.terms.last_event_id is not None:
            last_event_id = exchange.terms.last_event_id
        terms = SendTerms(
            entry.upstream_id,
            max(1, int((exchange.until_s - now_s) * 1000)),
            exchange.workspace,
            last_event_id,
        )
        lines = [b"%s %s HTTP/1.1" % (exchange.method.encode(), exchange.target)]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in self.dialect.write_request(exchange.headers, terms)
        ]
        if exchange.body or exchange.method not in ("GET", "HEAD"):
            lines.append(b"content-length: %d" % len(exchange.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"
