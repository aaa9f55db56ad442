"""Calls of plain services: slots, attempts, and repeats where these are safe."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from carobstair.core.fairness import service_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.queueing import WaitingRequest, WorkClass
from carobstair.core.refusals import Refusal, refuse
from carobstair.metrics import RouterMetrics
from carobstair.net.capacity import CapacityDriver
from carobstair.net.context import CallerContext, Progress
from carobstair.net.upstream import (
    AnswerMismatch,
    NotSent,
    ServiceAnswer,
    UpstreamClient,
    UpstreamError,
    UpstreamRefused,
)

__all__ = ["ServiceCall", "ServiceCaller"]

SERVICE_COST_TOKENS = 2.0
# How long a call that may repeat waits before it is tried elsewhere.
SERVICE_ATTEMPT_S = 10.0
MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A plain service call on its way through the pipeline.

    Attributes
    ----------
    key : str
        The caller's ``Idempotency-Key``; empty if there is none.
    excluded : frozenset of str
        Upstreams that did not run this call before.
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
        """Return the call with more upstreams excluded."""
        return replace(self, excluded=self.excluded | set(upstreams))


class ServiceCaller:
    """Sends service calls on granted slots.

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

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Return the answer of a call without a key, or of one that may repeat.

        Raises
        ------
        Refusal
        """
        attempts, may_have_run = 0, False
        while True:
            attempts += 1
            try:
                grant = await self.acquire(call, attempts > 1)
            except Refusal as refusal:
                raise refusal.given(may_have_run) from None
            attempt_id = f"{call.context.request_id}.{uuid.uuid4().hex[:8]}"
            left_s = call.context.deadline_s - time.monotonic()
            try:
                limit_s = min(SERVICE_ATTEMPT_S, left_s) if call.repeatable else left_s
                return await self.send(call, grant, attempt_id, max(0.1, limit_s))
            except UpstreamError as error:
                may_have_run |= not isinstance(error, NotSent | UpstreamRefused)
                refusal = self._end_of(call, error, attempts, may_have_run)
                if refusal is not None:
                    raise refusal from error
                call = call.excluding({grant.offer.upstream})
            finally:
                self.release(grant)

    async def acquire(self, call: ServiceCall, at_front: bool = False) -> HeldGrant:
        """Wait for a slot on an upstream that is not excluded.

        Raises
        ------
        Refusal
        """
        others = self._capacity.state.pool_upstreams(call.service)
        if all(u.name in call.excluded for u in others):
            call = replace(call, excluded=frozenset())
        return await self._capacity.acquire(_waiting(call), at_front)

    def release(self, grant: HeldGrant) -> None:
        """Give a slot back."""
        self._capacity.release(grant)

    async def send(
        self, call: ServiceCall, grant: HeldGrant, send_id: str, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call on a slot, once.

        Raises
        ------
        UpstreamError
        """
        upstream = self._capacity.state.upstreams.get(grant.offer.upstream)
        if upstream is None or not self._capacity.state.accepts_work(upstream):
            raise UpstreamRefused("the upstream left service")
        call.progress.upstream = upstream.name
        began_s = time.monotonic()
        try:
            return await self._upstreams.call(
                upstream,
                send_id,
                call.method,
                call.path,
                call.headers,
                call.body,
                timeout_s,
            )
        except UpstreamError as error:
            if isinstance(error, AnswerMismatch):
                self._metrics.mismatched.inc()
            if isinstance(error, NotSent):
                self._capacity.node.note_failure(upstream.name, time.monotonic())
            if not isinstance(error, NotSent | UpstreamRefused):
                call.progress.may_have_run = True
            raise
        finally:
            took_s = time.monotonic() - began_s
            self._capacity.node.charge(grant, service_cost_tokens(took_s))
            self._capacity.node.note_service_call(upstream.name, took_s)

    def _end_of(
        self, call: ServiceCall, error: UpstreamError, attempts: int, may_have_run: bool
    ) -> Refusal | None:
        """Return the refusal that ends a call, or None if it may be sent again."""
        if attempts < MAX_ATTEMPTS and (call.repeatable or not may_have_run):
            return None
        name = "upstream-refused"
        if isinstance(error, NotSent):
            name = "upstream-unreachable"
        return refuse(name, str(error)).given(may_have_run)


def _waiting(call: ServiceCall) -> WaitingRequest:
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
