"""Chat requests: token streams that are resumed across several attempts."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field, replace

from prometheus_client import Histogram

from carobstair import clock
from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.queueing import WaitingRequest, valid_hint_tokens
from carobstair.core.refusals import Refusal, refuse
from carobstair.core.retries import RetryPolicy
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import ChatRequestModel
from carobstair.net.capacity import CapacityDriver
from carobstair.net.context import CallerContext, Progress
from carobstair.net.events import (
    AnswerMismatch,
    Chunk,
    NotSent,
    UpstreamError,
    UpstreamLeft,
    UpstreamRefused,
)
from carobstair.net.upstream import UpstreamClient
from carobstair.settings import GatewaySettings

__all__ = ["ChatRelay", "Generation", "collect_answer"]

logger = get_logger(__name__)

# Longest time without any byte to a caller once the response has started.
CALLER_HEARTBEAT_S = 5.0
# Use of a lease stops this long before it expires, so that the cancellation reaches
# the engine in time.
LEASE_MARGIN_S = 0.25


@dataclass(slots=True)
class Generation:
    """A chat request being processed, with the state of its answer."""

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
    """Relays generations and resumes them on another grant after a failure.

    Parameters
    ----------
    capacity : CapacityDriver
    upstreams : UpstreamClient
    retries : RetryPolicy
    metrics : RouterMetrics
    settings : GatewaySettings
    """

    def __init__(
        self,
        capacity: CapacityDriver,
        upstreams: UpstreamClient,
        retries: RetryPolicy,
        metrics: RouterMetrics,
        settings: GatewaySettings,
    ):
        self._capacity = capacity
        self._upstreams = upstreams
        self._retries = retries
        self._metrics = metrics
        self._resume_limit_s = settings.default_deadline_s
        self._stopped = False

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self._capacity.state

    async def chunks(self, generation: Generation) -> AsyncIterator[Chunk | None]:
        """Yield the complete answer in numbered chunks.

        Yields None as a keep-alive while a caller who has received part of the answer
        waits long for a new grant.

        Raises
        ------
        Refusal
        """
        self._retries.note_request(generation.context.workspace.name, clock.now_s())
        while True:
            generation.attempts += 1
            chunks_before = generation.chunks
            grant, task = None, asyncio.create_task(self._acquire(generation))
            try:
                while not (await asyncio.wait({task}, timeout=CALLER_HEARTBEAT_S))[0]:
                    if generation.chunks:
                        yield None
                grant = task.result()
                async with aclosing(self._relay(generation, grant)) as relay:
                    async for chunk in relay:
                        yield chunk
                self._retries.ejections.note_success(grant.offer.upstream)
                return
            except UpstreamError as error:
                self._note_failure(generation, grant, error)
                self._check_retry(generation, grant, error, chunks_before)
            except Refusal as refusal:
                raise self._accurate_refusal(generation, refusal) from None
            finally:
                self._cancel_or_release(task)
            await asyncio.sleep(self._delay_s(generation, chunks_before))
            self._prepare_retry(generation, grant)

    def stop_all(self) -> None:
        """End all streams when the shutdown limit is reached."""
        self._stopped = True

    async def _acquire(self, generation: Generation) -> HeldGrant:
        waiting = generation.waiting
        names = {u.name for u in self.state.pool_upstreams(waiting.pool)}
        ejected = self._retries.ejections.ejected(names, clock.now_s())
        if not names <= waiting.excluded | ejected:
            waiting = replace(waiting, excluded=waiting.excluded | ejected)
        return await self._capacity.acquire(waiting, generation.attempts > 1)

    def _cancel_or_release(self, task: asyncio.Task[HeldGrant]) -> None:
        """Cancel the wait for a grant, or release the grant if there is one."""
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            self._capacity.release(task.result())

    async def _relay(
        self, generation: Generation, grant: HeldGrant
    ) -> AsyncIterator[Chunk]:
        upstream = self.state.upstreams.get(grant.offer.upstream)
        if upstream is None or not self.state.accepts_work(upstream):
            raise UpstreamLeft("the upstream left service")
        generation.progress.upstream = upstream.name
        # Unique, and independent of the request ID, which the caller may choose.
        attempt_id = uuid.uuid4().hex
        pool, workspace = grant.offer.pool, grant.offer.workspace
        self._capacity.node.prefixes.note_cached(
            upstream.name, generation.waiting.prefix
        )
        self._retries.note_attempt(upstream.name, clock.now_s())
        self._metrics.attempts.labels(upstream.name).inc()
        stream = self._upstreams.stream(
            upstream,
            attempt_id,
            generation.body,
            generation.chunks,
            lambda: grant.expires_s - LEASE_MARGIN_S,
            generation.context.deadline_s,
        )
        # Looked up once per stream: a lookup per token costs more than all other
        # per-token accounting.
        served = self._metrics.served_tokens.labels(pool, workspace)
        intervals = self._metrics.token_interval_s.labels(
            workspace, generation.waiting.work_class
        )
        complete, sent = False, True
        try:
            generation.last_chunk_s = 0.0
            async for chunk in stream:
                if self._stopped:
                    raise refuse("answer-lost", "the router shuts down")
                cost = self._record_chunk(generation, upstream.name, chunk, intervals)
                self._capacity.node.charge(grant, cost)
                served.inc(cost)
                yield chunk
            complete = True
        except NotSent:
            sent = False
            raise
        finally:
            await stream.aclose()
            # If the cancel can't reach the engine, the engine stops the generation
            # when its connection is closed.
            if sent and not complete:
                await self._upstreams.cancel(upstream, attempt_id)

    def _record_chunk(
        self,
        generation: Generation,
        upstream: str,
        chunk: Chunk,
        intervals: Histogram,
    ) -> float:
        """Record a chunk and return its cost in weighted tokens."""
        now_s = clock.now_s()
        context = generation.context
        cost = 0.0 if chunk.finished else engine_cost_tokens(1, 0)
        if generation.chunks == 0:
            waited_s = now_s - context.arrived_s
            self._metrics.first_token_s.labels(
                context.workspace.name, generation.waiting.work_class
            ).observe(waited_s)
            # Charge the minimum cost of the prompt, as if it were all cached. The
            # engine reports the cached part only at the end, and the total charged
            # must never decrease.
            inputs = generation.input_tokens
            cost += engine_cost_tokens(0, inputs, inputs)
        if generation.last_chunk_s:
            interval_s = now_s - generation.last_chunk_s
            self._capacity.node.note_token_interval(upstream, interval_s * 1000.0)
            intervals.observe(interval_s)
        generation.last_chunk_s = now_s
        generation.chunks = chunk.number
        if chunk.finished:
            cost += _uncached_prefill_cost_tokens(generation, chunk)
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
            self._capacity.node.note_failure(upstream, clock.now_s())
        self._metrics.resumed.labels(type(error).__name__).inc()
        name = grant.offer.upstream
        if not isinstance(error, UpstreamRefused) and (
            self._retries.ejections.note_failure(name, clock.now_s())
        ):
            self._metrics.ejections.labels(name).inc()
            logger.warning("upstream_ejected", upstream=name)

    def _check_retry(
        self,
        generation: Generation,
        grant: HeldGrant,
        error: UpstreamError,
        chunks_before: int,
    ) -> None:
        """Raise a refusal unless the retry budgets allow another attempt.

        If the failed attempt delivered chunks, the next one uses no retry budget: it
        resumes after them and repeats nothing.
        """
        if generation.chunks > chunks_before or isinstance(error, UpstreamLeft):
            return
        workspace, upstream = grant.offer.workspace, grant.offer.upstream
        now_s = clock.now_s()
        in_time = generation.chunks or now_s < generation.context.deadline_s
        if in_time and self._retries.allow(workspace, upstream, now_s):
            return
        self._metrics.retries_denied.labels(workspace).inc()
        name = "upstream-refused"
        if isinstance(error, NotSent):
            name = "upstream-unreachable"
        raise self._accurate_refusal(generation, refuse(name, str(error))) from error

    def _accurate_refusal(self, generation: Generation, refusal: Refusal) -> Refusal:
        """Adjust a refusal to whether an earlier attempt may have run."""
        return refusal.after_attempt(
            generation.progress.may_have_run or generation.chunks > 0
        )

    def _delay_s(self, generation: Generation, chunks_before: int) -> float:
        if generation.chunks > chunks_before:
            return 0.0
        return self._retries.backoff.delay_s(generation.attempts)

    def _prepare_retry(self, generation: Generation, grant: HeldGrant) -> None:
        """Exclude the failed upstream and reduce the cost to the remaining tokens."""
        waiting = generation.waiting
        names = {u.name for u in self.state.pool_upstreams(waiting.pool)}
        excluded = (waiting.excluded | {grant.offer.upstream}) & names
        if excluded == names:
            excluded = frozenset({grant.offer.upstream} if len(names) > 1 else ())
        generation.waiting = replace(
            waiting,
            request_id=uuid.uuid4().hex,
            excluded=excluded,
            cost_tokens=_remaining_cost_tokens(generation),
        )
        if generation.chunks:
            # The deadline applies to the first token only; a long answer may exceed
            # it.
            generation.waiting.deadline_s = clock.now_s() + self._resume_limit_s


def _remaining_cost_tokens(generation: Generation) -> float:
    """Return the estimated cost of the part of the answer not yet relayed."""
    output_tokens = valid_hint_tokens(generation.model.max_tokens)
    remaining_tokens = max(1, output_tokens - generation.chunks)
    return engine_cost_tokens(remaining_tokens, generation.input_tokens)


def _uncached_prefill_cost_tokens(generation: Generation, chunk: Chunk) -> float:
    """Return the cost of the uncached prompt tokens, as the last chunk reports them."""
    usage = chunk.document.get("usage")
    cached = usage.get("cached_tokens", 0) if isinstance(usage, dict) else 0
    if isinstance(cached, bool) or not isinstance(cached, int | float):
        cached = 0
    input_tokens = generation.input_tokens
    cached = min(max(0, cached), input_tokens)
    actual_cost = engine_cost_tokens(0, input_tokens, cached)
    return actual_cost - engine_cost_tokens(0, input_tokens, input_tokens)


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
