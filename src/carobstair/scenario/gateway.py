"""Gateway of a simulated router: relays attempts and accounts for their service.

Implements the rules of ``net/gateway.py`` on virtual time: one grant per attempt,
resumption after the last received token when a stream fails, and a progress timeout
on streams.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from carobstair.core.effects import Effect, Granted, RefuseWaiting, Send
from carobstair.core.fairness import engine_cost_tokens, service_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.queueing import WaitingRequest
from carobstair.core.refusals import CATALOGUE, Refusal
from carobstair.core.state import UpstreamKind
from carobstair.scenario.engine import Attempt

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter

__all__ = ["Exchange", "SimGateway"]

PROGRESS_TIMEOUT_S = 2.0
FIRST_TOKEN_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 6


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller, with its progress and result.

    Attributes
    ----------
    on_end : callable
        Called once with the outcome: ``answered``, ``closed`` if the router exited,
        ``unreachable`` if no router was ready, or the name of a refusal.
    received : list of int
        Numbers of the tokens that the caller received, in order.
    admitted : bool
        Whether an upstream accepted an attempt of the request.
    max_token_gap_s : float
        Longest time between two tokens.
    """

    request: WaitingRequest
    output_tokens: int
    input_tokens: int
    created_s: float
    on_end: Callable[[str], None]
    received: list[int] = field(default_factory=list)
    first_token_s: float | None = None
    ended: bool = False
    admitted: bool = False
    last_token_s: float = 0.0
    max_token_gap_s: float = 0.0

    def note_token(self, number: int, now_s: float) -> None:
        """Record a token delivered to the caller."""
        if self.first_token_s is None:
            self.first_token_s = now_s
        else:
            gap_s = now_s - self.last_token_s
            self.max_token_gap_s = max(self.max_token_gap_s, gap_s)
        self.last_token_s = now_s
        self.received.append(number)

    def end(self, outcome: str) -> None:
        """Report the outcome to the caller; later calls have no effect."""
        if not self.ended:
            self.ended = True
            self.on_end(outcome)


@dataclass(slots=True, eq=False)
class _Stream:
    exchange: Exchange
    grant: HeldGrant
    attempt_id: str
    last_progress_s: float
    last_token_s: float = 0.0


class SimGateway:
    """Relays the requests of one router process.

    Parameters
    ----------
    router : SimRouter
        Router process that the gateway belongs to.
    """

    def __init__(self, router: SimRouter):
        self._router = router
        self._node = router.node
        self._upstream_kinds = {e.name: e.kind for e in router.world.scenario.engines}
        self._exchanges: dict[str, Exchange] = {}
        self._streams: dict[str, _Stream] = {}
        self._attempt_counts: dict[str, int] = {}
        self._slot_callbacks: dict[str, Callable[[HeldGrant | Refusal], None]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether the gateway has no open requests."""
        return not self._exchanges

    @property
    def streams(self) -> Iterable[_Stream]:
        """Streams in progress."""
        return self._streams.values()

    def submit(self, exchange: Exchange, at_front: bool = False) -> None:
        """Enqueue a request, or requeue one whose attempt failed."""
        request = exchange.request
        self._exchanges[request.request_id] = exchange
        try:
            effects = self._node.enqueue(request, self._router.now_s, at_front)
        except Refusal as refusal:
            self._end(exchange, refusal.kind.name)
            return
        self.carry_out(effects)

    def acquire(
        self, request: WaitingRequest, on_slot: Callable[[HeldGrant | Refusal], None]
    ) -> None:
        """Enqueue a request for a slot that `on_slot` receives and has to release."""
        self._slot_callbacks[request.request_id] = on_slot
        try:
            effects = self._node.enqueue(request, self._router.now_s)
        except Refusal as refusal:
            self._slot_callbacks.pop(request.request_id)(refusal)
            return
        self.carry_out(effects)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Execute the effects that the decision node returned."""
        for effect in effects:
            if isinstance(effect, Send):
                self._router.send(effect.to, effect.payload)
            elif effect.request_id in self._slot_callbacks:
                granted = isinstance(effect, Granted)
                on_slot = self._slot_callbacks.pop(effect.request_id)
                on_slot(effect.grant if granted else effect.refusal)
            elif isinstance(effect, Granted):
                self._start_stream(effect)
            elif isinstance(effect, RefuseWaiting):
                exchange = self._exchanges.get(effect.request_id)
                if exchange is not None:
                    self._end(exchange, effect.refusal.kind.name)
        self._router.schedule_demand()

    def check_streams(self) -> None:
        """Abort streams whose grant has expired or that make no progress."""
        now_s = self._router.now_s
        for stream in list(self._streams.values()):
            limit_s = (
                PROGRESS_TIMEOUT_S if stream.last_token_s else FIRST_TOKEN_TIMEOUT_S
            )
            idle_s = now_s - stream.last_progress_s
            if stream.grant.expires_s <= now_s or idle_s > limit_s:
                self._abort_stream(stream)

    def close(self) -> None:
        """Close all connections, as when the process exits."""
        for stream in list(self._streams.values()):
            self._router.world.cancel(stream.grant.offer.upstream, stream.attempt_id)
        for exchange in list(self._exchanges.values()):
            exchange.end("closed")
        self._streams.clear()
        self._exchanges.clear()

    def _start_stream(self, effect: Granted) -> None:
        exchange = self._exchanges.get(effect.request_id)
        state, name = self._node.state, effect.grant.offer.upstream
        upstream = state.upstreams.get(name)
        usable = upstream is not None and state.accepts_work(upstream)
        if exchange is None or not usable or effect.grant.expires_s <= self._now_s:
            self.carry_out(self._node.release(effect.grant, self._now_s))
            if exchange is not None:
                self.submit(exchange, at_front=True)
            return
        request_id = exchange.request.request_id
        number = self._attempt_counts[request_id] = (
            self._attempt_counts.get(request_id, 0) + 1
        )
        stream = _Stream(exchange, effect.grant, f"{request_id}.{number}", self._now_s)
        self._streams[stream.attempt_id] = stream
        self._node.prefixes.note_cached(name, exchange.request.prefix)
        self._router.world.dispatch(self._router, name, self._make_attempt(stream))

    def _make_attempt(self, stream: _Stream) -> Attempt:
        exchange, router = stream.exchange, self._router
        attempt_id, world = stream.attempt_id, router.world

        def on_admitted() -> None:
            exchange.admitted = True

        def on_token(number: int, cached: int) -> None:
            self._router.world.reply(
                router, lambda: self._on_token(attempt_id, number, cached)
            )

        def on_failed() -> None:
            world.reply(router, lambda: self._on_failed(attempt_id))

        return Attempt(
            attempt_id,
            router.name,
            exchange.request.pool,
            exchange.request.workspace,
            len(exchange.received) + 1,
            exchange.output_tokens,
            exchange.input_tokens,
            exchange.request.prefix,
            on_admitted,
            on_token,
            on_failed,
        )

    def _on_token(self, attempt_id: str, number: int, cached: int) -> None:
        stream = self._streams.get(attempt_id)
        if stream is None:
            return
        if stream.grant.expires_s <= self._now_s:
            self._abort_stream(stream)
            return
        exchange = stream.exchange
        self._record_usage(stream, number, cached)
        exchange.note_token(number, self._now_s)
        if number >= exchange.output_tokens:
            self._remove_stream(stream)
            self._end(exchange, "answered")
            self.carry_out(self._node.release(stream.grant, self._now_s))

    def _record_usage(self, stream: _Stream, number: int, cached: int) -> None:
        exchange, offer = stream.exchange, stream.grant.offer
        if self._upstream_kinds[offer.upstream] is UpstreamKind.SERVICE:
            taken_s = self._now_s - stream.last_progress_s
            cost = service_cost_tokens(taken_s)
            self._node.note_service_call(offer.upstream, taken_s)
        else:
            cost = 1.0
            if not exchange.received:
                cost += engine_cost_tokens(0, exchange.input_tokens, cached)
            if stream.last_token_s:
                interval_ms = (self._now_s - stream.last_token_s) * 1000.0
                self._node.note_token_interval(offer.upstream, interval_ms)
        stream.last_token_s = stream.last_progress_s = self._now_s
        self._node.charge(stream.grant, cost)

    def _on_failed(self, attempt_id: str) -> None:
        stream = self._streams.get(attempt_id)
        if stream is not None:
            self._node.note_failure(stream.grant.offer.upstream, self._now_s)
            self._abort_stream(stream)

    def _abort_stream(self, stream: _Stream) -> None:
        upstream = stream.grant.offer.upstream
        self._remove_stream(stream)
        self._router.world.cancel_from(self._router, upstream, stream.attempt_id)
        exchange = stream.exchange
        exchange.request = self._exclude(exchange.request, upstream)
        if self._attempt_counts[exchange.request.request_id] >= MAX_ATTEMPTS:
            self._end(exchange, "answer-lost")
        self.carry_out(self._node.release(stream.grant, self._now_s))
        if not exchange.ended:
            self.submit(exchange, at_front=True)

    def _exclude(self, request: WaitingRequest, upstream: str) -> WaitingRequest:
        others = self._node.state.pool_upstreams(request.pool)
        excluded = request.excluded | {upstream}
        if len(excluded) >= len(others):
            excluded = frozenset()
        return replace(request, excluded=excluded)

    def _remove_stream(self, stream: _Stream) -> None:
        del self._streams[stream.attempt_id]

    def _end(self, exchange: Exchange, outcome: str) -> None:
        if outcome in CATALOGUE and exchange.admitted:
            # The real gateway also reports that the request may have run, unless
            # every attempt was refused outright.
            outcome = "answer-lost"
        self._exchanges.pop(exchange.request.request_id, None)
        self._attempt_counts.pop(exchange.request.request_id, None)
        exchange.end(outcome)

    @property
    def _now_s(self) -> float:
        return self._router.now_s
