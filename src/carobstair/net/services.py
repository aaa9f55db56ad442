"""Calls of plain services: slots, attempts, and retries where these are safe."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from carobstair import clock
from carobstair.core.fairness import service_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.queueing import WaitingRequest, WorkClass
from carobstair.core.refusals import Refusal, refuse
from carobstair.core.retries import RetryPolicy
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.net.capacity import CapacityDriver
from carobstair.net.context import CallerContext, Progress
from carobstair.net.events import (
    AnswerMismatch,
    NotSent,
    UpstreamError,
    UpstreamLeft,
    UpstreamRefused,
)
from carobstair.net.upstream import ServiceAnswer, UpstreamClient

__all__ = ["ServiceCall", "ServiceCaller"]

logger = get_logger(__name__)

SERVICE_COST_TOKENS = 2.0
# Timeout of one attempt of a repeatable call, which is then retried elsewhere.
SERVICE_ATTEMPT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service.

    Attributes
    ----------
    key : str
        The caller's ``Idempotency-Key``; empty if there is none.
    excluded : frozenset of str
        Upstreams on which an earlier attempt failed.
    """

    context: CallerContext
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    repeatable: bool
    key: str = ""
    excluded: frozenset[str] = field(default_factory=frozenset)
    progress: Progress = field(default_factory=Progress, compare=False)

    def excluding(self, upstreams: Iterable[str]) -> ServiceCall:
        """Return the call with additional upstreams excluded."""
        return replace(self, excluded=self.excluded | set(upstreams))

    def waiting_until(self, deadline_s: float) -> ServiceCall:
        """Return the call with another deadline for the wait in the queue."""
        return replace(self, context=replace(self.context, deadline_s=deadline_s))


class ServiceCaller:
    """Sends service calls on granted slots.

    Parameters
    ----------
    capacity : CapacityDriver
    upstreams : UpstreamClient
    retries : RetryPolicy
    metrics : RouterMetrics
    """

    def __init__(
        self,
        capacity: CapacityDriver,
        upstreams: UpstreamClient,
        retries: RetryPolicy,
        metrics: RouterMetrics,
    ):
        self._capacity = capacity
        self._upstreams = upstreams
        self._retries = retries
        self._metrics = metrics

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Return the answer of a call that has no key or is repeatable.

        Raises
        ------
        Refusal
        """
        attempts, may_have_run = 0, False
        self.note_request(call)
        while True:
            attempts += 1
            try:
                grant = await self.acquire(call, attempts > 1)
            except Refusal as refusal:
                raise refusal.after_attempt(may_have_run) from None
            attempt_id = uuid.uuid4().hex
            remaining_s = call.context.deadline_s - clock.now_s()
            try:
                limit_s = (
                    min(SERVICE_ATTEMPT_TIMEOUT_S, remaining_s)
                    if call.repeatable
                    else remaining_s
                )
                return await self.send(call, grant, attempt_id, max(0.1, limit_s))
            except UpstreamError as error:
                may_have_run |= not isinstance(error, NotSent | UpstreamRefused)
                refusal = self._final_refusal(call, grant, error, may_have_run)
                if refusal is not None:
                    raise refusal from error
                call = call.excluding({grant.offer.upstream})
            finally:
                self.release(grant)
            await asyncio.sleep(self._retries.backoff.delay_s(attempts))

    async def acquire(self, call: ServiceCall, at_front: bool = False) -> HeldGrant:
        """Wait for a slot on an upstream that is not excluded.

        Raises
        ------
        Refusal
        """
        names = {u.name for u in self._capacity.state.pool_upstreams(call.service)}
        ejected = self._retries.ejections.ejected(names, clock.now_s())
        if not names <= call.excluded | ejected:
            call = call.excluding(ejected)
        elif names <= call.excluded:
            call = replace(call, excluded=frozenset())
        return await self._capacity.acquire(_waiting_request(call), at_front)

    def release(self, grant: HeldGrant) -> None:
        """Release a slot."""
        self._capacity.release(grant)

    async def send(
        self, call: ServiceCall, grant: HeldGrant, send_id: str, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call on a slot, without retries.

        Raises
        ------
        UpstreamError
        """
        upstream = self._capacity.state.upstreams.get(grant.offer.upstream)
        if upstream is None or not self._capacity.state.accepts_work(upstream):
            raise UpstreamLeft("the upstream left service")
        if not self._capacity.is_valid(grant):
            # While this process was paused, its slot may have been granted to others.
            raise UpstreamLeft("the grant's lease lapsed before the call was sent")
        call.progress.upstream = upstream.name
        began_s = clock.now_s()
        self._retries.note_attempt(upstream.name, began_s)
        self._metrics.attempts.labels(upstream.name).inc()
        try:
            answer = await self._upstreams.call(
                upstream,
                send_id,
                call.method,
                call.path,
                call.headers,
                call.body,
                timeout_s,
            )
            self._retries.ejections.note_success(upstream.name)
            return answer
        except UpstreamError as error:
            self._note_failure(upstream.name, error)
            if isinstance(error, AnswerMismatch):
                self._metrics.mismatched.inc()
            if isinstance(error, NotSent):
                self._capacity.node.note_failure(upstream.name, clock.now_s())
            if not isinstance(error, NotSent | UpstreamRefused):
                call.progress.may_have_run = True
            raise
        finally:
            took_s = clock.now_s() - began_s
            self._capacity.node.charge(grant, service_cost_tokens(took_s))
            self._capacity.node.note_service_call(upstream.name, took_s)

    def _note_failure(self, upstream: str, error: UpstreamError) -> None:
        if isinstance(error, UpstreamRefused):
            return
        if self._retries.ejections.note_failure(upstream, clock.now_s()):
            self._metrics.ejections.labels(upstream).inc()
            logger.warning("upstream_ejected", upstream=upstream)

    def note_request(self, call: ServiceCall) -> None:
        """Count a caller's request towards the retry budgets."""
        self._retries.note_request(call.context.workspace.name, clock.now_s())

    def may_retry(self, call: ServiceCall, upstream: str, error: UpstreamError) -> bool:
        """Return whether the retry budgets and the deadline allow another attempt."""
        if isinstance(error, UpstreamLeft):
            return True
        now_s, workspace = clock.now_s(), call.context.workspace.name
        if now_s < call.context.deadline_s and self._retries.allow(
            workspace, upstream, now_s
        ):
            return True
        self._metrics.retries_denied.labels(workspace).inc()
        return False

    def _final_refusal(
        self,
        call: ServiceCall,
        grant: HeldGrant,
        error: UpstreamError,
        may_have_run: bool,
    ) -> Refusal | None:
        """Return the refusal that ends a call, or None if it may be retried."""
        repeatable = call.repeatable or not may_have_run
        if repeatable and self.may_retry(call, grant.offer.upstream, error):
            return None
        name = "upstream-refused"
        if isinstance(error, NotSent):
            name = "upstream-unreachable"
        return refuse(name, str(error)).after_attempt(may_have_run)


def _waiting_request(call: ServiceCall) -> WaitingRequest:
    context = call.context
    return WaitingRequest(
        uuid.uuid4().hex,
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
