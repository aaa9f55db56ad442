"""Chat requests: token streams that are whole over several attempts."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.queueing import WaitingRequest
from carobstair.core.refusals import refuse
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import ChatRequestModel
from carobstair.net.capacity import CapacityDriver
from carobstair.net.context import CallerContext, Progress
from carobstair.net.upstream import (
    AnswerMismatch,
    Chunk,
    NotSent,
    StreamBroken,
    UpstreamClient,
    UpstreamError,
    UpstreamRefused,
)

__all__ = ["ChatRelay", "Generation", "collect_answer"]

logger = get_logger(__name__)

MAX_ATTEMPTS = 4


@dataclass(slots=True)
class Generation:
    """A chat request on its way through the pipeline."""

    context: CallerContext
    model: ChatRequestModel
    body: bytes
    waiting: WaitingRequest
    input_tokens: int
    chunks: int = 0
    charged_tokens: float = 0.0
    last_chunk_s: float = 0.0
    attempts: int = 0
    progress: Progress = field(default_factory=Progress)


class ChatRelay:
    """Relays generations, resumed on other grants where one breaks.

    Parameters
    ----------
    capacity : CapacityDriver
    upstreams : UpstreamClient
    metrics : RouterMetrics
    """

    def __init__(
        self,
        capacity: CapacityDriver,
        upstreams: UpstreamClient,
        metrics: RouterMetrics,
    ):
        self._capacity = capacity
        self._upstreams = upstreams
        self._metrics = metrics

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self._capacity.state

    async def chunks(self, generation: Generation) -> AsyncIterator[Chunk]:
        """Yield the whole answer in numbered chunks.

        Raises
        ------
        Refusal
        """
        while True:
            generation.attempts += 1
            at_front = generation.attempts > 1
            grant = await self._capacity.acquire(generation.waiting, at_front)
            try:
                async for chunk in self._relay(generation, grant):
                    yield chunk
                return
            except UpstreamError as error:
                self._note_failure(generation, grant, error)
            finally:
                self._capacity.release(grant)

    async def _relay(
        self, generation: Generation, grant: HeldGrant
    ) -> AsyncIterator[Chunk]:
        upstream = self.state.upstreams.get(grant.offer.upstream)
        if upstream is None or not self.state.accepts_work(upstream):
            raise UpstreamRefused("the upstream left service")
        generation.progress.upstream = upstream.name
        attempt_id = f"{generation.context.request_id}.{uuid.uuid4().hex[:8]}"
        pool, workspace = grant.offer.pool, grant.offer.workspace
        self._capacity.node.prefixes.note_cached(
            upstream.name, generation.waiting.prefix
        )
        whole = False
        try:
            stream = self._upstreams.stream(
                upstream, attempt_id, generation.body, generation.chunks
            )
            generation.last_chunk_s = 0.0
            async for chunk in stream:
                if not self._capacity.is_valid(grant):
                    raise StreamBroken("the grant's lease lapsed")
                cost = self._account(generation, upstream.name, chunk)
                self._capacity.node.charge(grant, cost)
                self._metrics.served_tokens.labels(pool, workspace).inc(cost)
                yield chunk
            whole = True
        finally:
            if not whole:
                await self._upstreams.cancel(upstream, attempt_id)

    def _account(self, generation: Generation, upstream: str, chunk: Chunk) -> float:
        """Record a chunk and return its cost in weighted tokens."""
        now_s = time.monotonic()
        context = generation.context
        cost = 0.0 if chunk.finished else engine_cost_tokens(1, 0)
        if generation.chunks == 0:
            waited_s = now_s - context.arrived_s
            self._metrics.first_token_s.labels(
                context.workspace.name, generation.waiting.work_class
            ).observe(waited_s)
            # The least that the prompt can cost; the engine says later how much
            # of it was cached, and a total must never fall.
            inputs = generation.input_tokens
            cost += engine_cost_tokens(0, inputs, inputs)
        if generation.last_chunk_s:
            interval_s = now_s - generation.last_chunk_s
            self._capacity.node.note_token_interval(upstream, interval_s * 1000.0)
            self._metrics.token_interval_s.labels(
                context.workspace.name, generation.waiting.work_class
            ).observe(interval_s)
        generation.last_chunk_s = now_s
        generation.chunks = chunk.number
        if chunk.finished:
            cost += _closing_cost_tokens(generation, chunk)
        return cost

    def _note_failure(
        self, generation: Generation, grant: HeldGrant, error: UpstreamError
    ) -> None:
        logger.warning(
            "attempt_failed",
            request_id=generation.context.request_id,
            workspace=generation.context.workspace.name,
            upstream=grant.offer.upstream,
            error=str(error),
        )
        if not isinstance(error, NotSent | UpstreamRefused):
            generation.progress.may_have_run = True
        if isinstance(error, AnswerMismatch):
            self._metrics.mismatched.inc()
        else:
            upstream = grant.offer.upstream
            self._capacity.node.note_failure(upstream, time.monotonic())
        self._metrics.resumed.labels(type(error).__name__).inc()
        if generation.attempts >= MAX_ATTEMPTS:
            name = "upstream-refused" if not generation.chunks else "answer-lost"
            raise refuse(name, str(error)) from error
        others = self.state.pool_upstreams(generation.waiting.pool)
        excluded = generation.waiting.excluded | {grant.offer.upstream}
        if len(excluded) >= len(others):
            excluded = frozenset()
        generation.waiting = replace(generation.waiting, excluded=excluded)


def _closing_cost_tokens(generation: Generation, chunk: Chunk) -> float:
    """Return the prefill cost that the engine's own count shows at the end."""
    usage = chunk.document.get("usage")
    cached = usage.get("cached_tokens", 0) if isinstance(usage, dict) else 0
    if isinstance(cached, bool) or not isinstance(cached, int | float):
        cached = 0
    input_tokens = generation.input_tokens
    cached = min(max(0, cached), input_tokens)
    whole = engine_cost_tokens(0, input_tokens, cached)
    return whole - engine_cost_tokens(0, input_tokens, input_tokens)


def collect_answer(chunks: list[Chunk], generation: Generation) -> bytes:
    """Return the JSON answer for a caller that did not ask for a stream."""
    text = "".join(
        c.document["choices"][0].get("delta", {}).get("content", "") for c in chunks
    )
    last = chunks[-1].document
    document = {
        "id": generation.context.request_id,
        "object": "chat.completion",
        "model": generation.model.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": last["choices"][0].get("finish_reason"),
            }
        ],
        "usage": last.get("usage", {}),
    }
    return json.dumps(document).encode()
