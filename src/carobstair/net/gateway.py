"""The request path: authenticate, classify, limit, queue, dispatch, relay, account."""

from __future__ import annotations

import hashlib
import hmac
import json
import time
import uuid
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field, replace

from carobstair.core.fairness import engine_cost_tokens, service_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.placement import prefix_hashes
from carobstair.core.queueing import (
    ClassLimits,
    WaitingRequest,
    WorkClass,
    classify,
    sane_hint_tokens,
)
from carobstair.core.refusals import Refusal, refuse
from carobstair.core.state import FleetState, UpstreamKind, Workspace
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import ChatRequestModel, ModelError, parse_model
from carobstair.net.capacity import CapacityDriver
from carobstair.net.upstream import (
    AnswerMismatch,
    Chunk,
    NotSent,
    ServiceAnswer,
    StreamBroken,
    UpstreamClient,
    UpstreamError,
    UpstreamRefused,
)
from carobstair.settings import RouterSettings

__all__ = ["CallerContext", "Gateway", "Generation", "ServiceCall"]

logger = get_logger(__name__)

CHARACTERS_PER_TOKEN = 4
MAX_ATTEMPTS = 4
SERVICE_COST_TOKENS = 2.0
SERVICE_ATTEMPT_S = 10.0


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Who calls, and until when the answer is of use."""

    request_id: str
    workspace: Workspace
    arrived_s: float
    deadline_s: float


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


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A plain service call on its way through the pipeline."""

    context: CallerContext
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    repeatable: bool
    excluded: frozenset[str] = field(default_factory=frozenset)


class Gateway:
    """Filters that a request passes, each of which may end it with a refusal.

    Parameters
    ----------
    settings : RouterSettings
    capacity : CapacityDriver
    upstreams : UpstreamClient
    metrics : RouterMetrics
    """

    def __init__(
        self,
        settings: RouterSettings,
        capacity: CapacityDriver,
        upstreams: UpstreamClient,
        metrics: RouterMetrics,
    ):
        self._settings = settings
        self._capacity = capacity
        self._upstreams = upstreams
        self._metrics = metrics
        self._class_limits = ClassLimits(
            settings.gateway.quick_output_tokens, settings.gateway.quick_input_tokens
        )
        self.refuses_new = False
        self.running = 0

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self._capacity.state

    def authenticate(
        self, authorization: str | None, request_id: str, deadline_ms: str | None
    ) -> CallerContext:
        """Return the caller's context.

        Raises
        ------
        Refusal
            ``not-ready``, ``shutting-down`` or ``unauthenticated``.
        """
        if self.refuses_new:
            raise refuse("shutting-down")
        if not self.state.number:
            raise refuse("not-ready")
        workspace = self._workspace_of(authorization)
        now_s = time.monotonic()
        allowed_s = self._settings.gateway.default_deadline_s
        if deadline_ms is not None and deadline_ms.isdigit():
            allowed_s = min(allowed_s, int(deadline_ms) / 1000.0)
        return CallerContext(request_id, workspace, now_s, now_s + allowed_s)

    def parse_generation(self, context: CallerContext, body: bytes) -> Generation:
        """Return a validated and classified chat request.

        Raises
        ------
        Refusal
            ``bad-request``, ``not-found`` or ``forbidden``.
        """
        try:
            model = parse_model(ChatRequestModel, body)
        except ModelError as error:
            raise refuse("bad-request", str(error)) from error
        self._check_pool(context.workspace, model.model, UpstreamKind.ENGINE)
        prompt = model.prompt()
        input_tokens = len(prompt) // CHARACTERS_PER_TOKEN
        output_tokens = sane_hint_tokens(model.max_tokens)
        waiting = WaitingRequest(
            context.request_id,
            model.model,
            context.workspace.name,
            classify(output_tokens, input_tokens, self._class_limits),
            engine_cost_tokens(output_tokens, input_tokens),
            input_tokens + output_tokens,
            len(body),
            context.arrived_s,
            context.deadline_s,
            prefix_hashes(prompt),
        )
        return Generation(context, model, body, waiting, input_tokens)

    async def generate(self, generation: Generation) -> AsyncIterator[Chunk]:
        """Yield the whole answer, resumed on other grants where one breaks.

        Raises
        ------
        Refusal
            Before the first chunk as a refusal to the caller; later as the end
            of a stream that can't be completed.
        """
        outcome = "cancelled"
        self.running += 1
        try:
            async for chunk in self._attempts(generation):
                yield chunk
            outcome = "answered"
        except Refusal as refusal:
            outcome = "refused" if not generation.chunks else "broken"
            self._count_refusal(generation.context, refusal)
            raise
        finally:
            self.running -= 1
            self._metrics.requests.labels(
                generation.context.workspace.name,
                generation.waiting.work_class,
                outcome,
            ).inc()

    def parse_service_call(
        self,
        context: CallerContext,
        service: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> ServiceCall:
        """Return a classified call of a plain service.

        Raises
        ------
        Refusal
            ``not-found`` or ``forbidden``.
        """
        self._check_pool(context.workspace, service, UpstreamKind.SERVICE)
        repeatable = self.state.is_repeatable(service, method, path)
        return ServiceCall(context, service, method, path, headers, body, repeatable)

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Return the answer of a plain service.

        Raises
        ------
        Refusal
        """
        self.running += 1
        outcome = "refused"
        try:
            answer = await self._call_attempts(call)
            outcome = "answered"
            return answer
        except Refusal as refusal:
            self._count_refusal(call.context, refusal)
            raise
        finally:
            self.running -= 1
            self._metrics.requests.labels(
                call.context.workspace.name, WorkClass.QUICK, outcome
            ).inc()

    # Chat

    async def _attempts(self, generation: Generation) -> AsyncIterator[Chunk]:
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
            self._metrics.token_interval_s.labels(context.workspace.name).observe(
                interval_s
            )
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
        if isinstance(error, AnswerMismatch):
            self._metrics.mismatched.inc()
        self._metrics.resumed.labels(type(error).__name__).inc()
        if generation.attempts >= MAX_ATTEMPTS:
            name = "upstream-refused" if not generation.chunks else "answer-lost"
            raise refuse(name, str(error)) from error
        others = self.state.pool_upstreams(generation.waiting.pool)
        excluded = generation.waiting.excluded | {grant.offer.upstream}
        if len(excluded) >= len(others):
            excluded = frozenset()
        generation.waiting = replace(generation.waiting, excluded=excluded)

    # Plain services

    async def _call_attempts(self, call: ServiceCall) -> ServiceAnswer:
        attempts = 0
        while True:
            attempts += 1
            grant = await self._capacity.acquire(_service_request(call), attempts > 1)
            try:
                return await self._call_once(call, grant)
            except UpstreamError as error:
                self._check_repeat(call, error, attempts)
                call = replace(call, excluded=call.excluded | {grant.offer.upstream})
            finally:
                self._capacity.release(grant)

    async def _call_once(self, call: ServiceCall, grant: HeldGrant) -> ServiceAnswer:
        upstream = self.state.upstreams.get(grant.offer.upstream)
        if upstream is None or not self.state.accepts_work(upstream):
            raise UpstreamRefused("the upstream left service")
        attempt_id = f"{call.context.request_id}.{uuid.uuid4().hex[:8]}"
        began_s = time.monotonic()
        try:
            return await self._upstreams.call(
                upstream,
                attempt_id,
                call.method,
                call.path,
                call.headers,
                call.body,
                min(SERVICE_ATTEMPT_S, max(0.1, call.context.deadline_s - began_s)),
            )
        finally:
            took_s = time.monotonic() - began_s
            self._capacity.node.charge(grant, service_cost_tokens(took_s))
            self._capacity.node.note_service_call(upstream.name, took_s)

    def _check_repeat(
        self, call: ServiceCall, error: UpstreamError, attempts: int
    ) -> None:
        if isinstance(error, AnswerMismatch):
            self._metrics.mismatched.inc()
        not_run = isinstance(error, NotSent | UpstreamRefused)
        if not (not_run or call.repeatable):
            raise refuse("answer-lost", str(error)) from error
        if attempts >= MAX_ATTEMPTS:
            name = "upstream-refused" if not_run else "answer-lost"
            raise refuse(name, str(error)) from error

    # Filters

    def _workspace_of(self, authorization: str | None) -> Workspace:
        scheme, _, key = (authorization or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        found = None
        # Every hash is compared, so that the time tells nothing about the keys.
        for workspace in self.state.workspaces.values():
            for known in workspace.key_hashes:
                if hmac.compare_digest(known, digest):
                    found = workspace
        if scheme.lower() != "bearer" or found is None:
            raise refuse("unauthenticated")
        return found

    def _check_pool(self, workspace: Workspace, pool: str, kind: UpstreamKind) -> None:
        if self.state.pool_kind(pool) is not kind:
            raise refuse("not-found", f"{kind} {pool} is not served")
        if pool not in workspace.pools:
            raise refuse("forbidden", f"{kind} {pool}")

    def _count_refusal(self, context: CallerContext, refusal: Refusal) -> None:
        self._metrics.refusals.labels(
            context.workspace.name, refusal.kind.name, refusal.kind.ran
        ).inc()


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


def _service_request(call: ServiceCall) -> WaitingRequest:
    context = call.context
    return WaitingRequest(
        f"{context.request_id}",
        call.service,
        context.workspace.name,
        WorkClass.QUICK,
        SERVICE_COST_TOKENS,
        0,
        len(call.body),
        context.arrived_s,
        context.deadline_s,
        (),
        call.excluded,
    )


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
