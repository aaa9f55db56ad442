"""The request path: authenticate, classify, limit, queue, dispatch, relay, account."""

from __future__ import annotations

import hashlib
import hmac
import re
import uuid
from collections import Counter
from collections.abc import AsyncIterator, Mapping

from carobstair import clock
from carobstair.core.action_records import RETENTION_S
from carobstair.core.answer_rates import AnswerRates
from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.placement import prefix_hashes
from carobstair.core.queueing import (
    ClassLimits,
    WaitingRequest,
    WorkClass,
    classify,
    valid_hint_tokens,
)
from carobstair.core.refusals import Ran, Refusal, refuse
from carobstair.core.state import FleetState, UpstreamKind, Workspace
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import ChatRequestModel, ModelError, parse_model
from carobstair.net.actions import ActionDriver
from carobstair.net.capacity import CapacityDriver
from carobstair.net.chat import ChatRelay, Generation
from carobstair.net.context import CallerContext, Progress
from carobstair.net.events import Chunk
from carobstair.net.services import ServiceCall, ServiceCaller
from carobstair.net.upstream import ServiceAnswer
from carobstair.settings import RouterSettings

__all__ = ["Gateway"]

logger = get_logger(__name__)

CHARACTERS_PER_TOKEN = 4
MAX_KEY_CHARACTERS = 255
# Refusals whose Retry-After is estimated from the queue length.
QUEUE_REFUSALS = frozenset({"queue-full", "deadline-exceeded"})
DEADLINE_MS = re.compile(r"[0-9]{1,9}")


class Gateway:
    """Handles requests in stages, each of which may refuse the request.

    Parameters
    ----------
    settings : RouterSettings
    capacity : CapacityDriver
    chat : ChatRelay
    services : ServiceCaller
    actions : ActionDriver
    metrics : RouterMetrics
    """

    def __init__(
        self,
        settings: RouterSettings,
        capacity: CapacityDriver,
        chat: ChatRelay,
        services: ServiceCaller,
        actions: ActionDriver,
        metrics: RouterMetrics,
    ):
        self._settings = settings
        self._capacity = capacity
        self._chat = chat
        self._services = services
        self._actions = actions
        self._metrics = metrics
        self._class_limits = ClassLimits(
            settings.gateway.quick_output_tokens, settings.gateway.quick_input_tokens
        )
        self._open_requests: Counter[str] = Counter()
        self._answer_rates = AnswerRates()
        self.closing = False
        self.refuses_new = False

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self._capacity.state

    @property
    def running(self) -> int:
        """Number of open requests."""
        return self._open_requests.total()

    def keep_in_force(self, state: FleetState) -> None:
        """Discard service rates of pools and workspaces that are no longer in force."""
        pools = {upstream.pool for upstream in state.upstreams.values()}
        self._answer_rates.keep(pools, set(state.workspaces))

    def open(self, workspace: Workspace) -> None:
        """Count a request as open until `close` is called.

        Raises
        ------
        Refusal
            ``too-many-connections``
        """
        if self._open_requests[workspace.name] >= workspace.max_connections:
            text = f"at most {workspace.max_connections} at once"
            raise refuse("too-many-connections", text)
        self._open_requests[workspace.name] += 1

    def close(self, workspace: Workspace) -> None:
        """Stop counting a request as open."""
        self._open_requests[workspace.name] -= 1
        if not self._open_requests[workspace.name]:
            del self._open_requests[workspace.name]

    def authenticate(
        self, authorization: str | None, request_id: str, deadline_ms: str | None
    ) -> CallerContext:
        """Authenticate a caller and return the context of its request.

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
        now_s = clock.now_s()
        timeout_s = self._settings.gateway.default_deadline_s
        if deadline_ms is not None and DEADLINE_MS.fullmatch(deadline_ms):
            timeout_s = min(timeout_s, int(deadline_ms) / 1000.0)
        return CallerContext(request_id, workspace, now_s, now_s + timeout_s)

    def parse_generation(self, context: CallerContext, body: bytes) -> Generation:
        """Return a validated and classified chat request.

        Raises
        ------
        Refusal
            ``bad-request``, ``not-found``, ``forbidden`` or ``no-capacity``.
        """
        try:
            model = parse_model(ChatRequestModel, body)
        except ModelError as error:
            raise refuse("bad-request", str(error)) from error
        self._check_pool(context.workspace, model.model, UpstreamKind.ENGINE)
        prompt = model.prompt()
        input_tokens = len(prompt) // CHARACTERS_PER_TOKEN
        output_tokens = valid_hint_tokens(model.max_tokens)
        waiting = WaitingRequest(
            uuid.uuid4().hex,
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
        """Yield the complete answer, resuming on another grant after a failure.

        Raises
        ------
        Refusal
            Before the first chunk, if the request is refused; later, if the stream
            can't be completed.
        """
        outcome = "cancelled"
        try:
            async for chunk in self._chat.chunks(generation):
                yield chunk
            outcome = "answered"
            workspace = generation.context.workspace.name
            now_s = clock.now_s()
            self._answer_rates.note_answer(generation.waiting.pool, workspace, now_s)
        except Refusal as refusal:
            generation.progress.may_have_run |= generation.chunks > 0
            self._set_retry_after(refusal, generation.waiting.pool, generation.context)
            outcome = self._count_refusal(
                generation.context,
                generation.waiting.work_class,
                refusal,
                generation.progress,
            )
            raise
        finally:
            self._record_end(
                generation.context,
                generation.waiting.work_class,
                outcome,
                generation.progress,
            )

    def parse_service_call(
        self,
        context: CallerContext,
        service: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> ServiceCall:
        """Return a validated call of a plain service.

        Raises
        ------
        Refusal
            ``bad-request``, ``not-found``, ``forbidden`` or ``no-capacity``.
        """
        self._check_pool(context.workspace, service, UpstreamKind.SERVICE)
        repeatable = self.state.is_repeatable(service, method, path)
        lowercase_headers = {name.lower(): value for name, value in headers.items()}
        key = lowercase_headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            text = f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} characters"
            raise refuse("bad-request", text)
        return ServiceCall(
            context, service, method, path, headers, body, repeatable, key
        )

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Return the answer of a plain service.

        Raises
        ------
        Refusal
        """
        outcome = "cancelled"
        try:
            answer = await self._call_or_replay(call)
            outcome = "answered"
            workspace = call.context.workspace.name
            self._answer_rates.note_answer(call.service, workspace, clock.now_s())
            return answer
        except Refusal as refusal:
            self._set_retry_after(refusal, call.service, call.context)
            outcome = self._count_refusal(
                call.context, WorkClass.QUICK, refusal, call.progress
            )
            raise
        finally:
            self._record_end(call.context, WorkClass.QUICK, outcome, call.progress)

    async def _call_or_replay(self, call: ServiceCall) -> ServiceAnswer:
        """Return the answer; a keyed call that is not repeatable runs at most once."""
        if call.repeatable or not call.key:
            return await self._services.call(call)
        outcome = await self._actions.call(call)
        if not outcome.body_kept:
            raise refuse("outcome-too-large", f"status {outcome.status}")
        retention = ("Idempotency-Retention-S", str(RETENTION_S))
        headers = (*map(tuple, outcome.headers), retention)
        return ServiceAnswer(outcome.status, headers, outcome.body)

    # Checks and accounting

    def _workspace_of(self, authorization: str | None) -> Workspace:
        scheme, _, key = (authorization or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        found = None
        # Compare with every hash, so that the response time reveals nothing about the
        # keys.
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
        if not any(map(self.state.accepts_work, self.state.pool_upstreams(pool))):
            raise refuse("no-capacity", f"{kind} {pool}")

    def _set_retry_after(
        self, refusal: Refusal, pool: str, context: CallerContext
    ) -> None:
        if refusal.kind.name not in QUEUE_REFUSALS:
            return
        workspace = context.workspace.name
        waiting = self._capacity.node.queue.waiting(pool, workspace)
        refusal.retry_after_s = self._answer_rates.retry_after_s(
            pool, workspace, waiting, clock.now_s()
        )

    def _count_refusal(
        self,
        context: CallerContext,
        work_class: WorkClass,
        refusal: Refusal,
        progress: Progress,
    ) -> str:
        """Count a refusal and return the outcome under which the request is counted."""
        workspace = context.workspace.name
        ran = refusal.kind.ran
        self._metrics.refusals.labels(
            workspace, work_class, refusal.kind.name, ran
        ).inc()
        if ran is Ran.NO and progress.may_have_run:
            self._metrics.refusals_untrue.labels(workspace, work_class).inc()
        return "broken" if progress.may_have_run else "refused"

    def _record_end(
        self,
        context: CallerContext,
        work_class: WorkClass,
        outcome: str,
        progress: Progress,
    ) -> None:
        workspace = context.workspace.name
        self._metrics.requests.labels(workspace, work_class, outcome).inc()
        logger.info(
            "request_ended",
            request_id=context.request_id,
            workspace=workspace,
            work_class=str(work_class),
            upstream=progress.upstream or None,
            outcome=outcome,
            took_s=round(clock.now_s() - context.arrived_s, 4),
        )
