"""Binding of grants to local waiting requests, and accounting of their service."""

from __future__ import annotations

from carobstair.core.fairness import ServiceTotals, VirtualTime
from carobstair.core.grants import HeldGrant, HeldGrants
from carobstair.core.messages import Offer
from carobstair.core.queueing import GatewayQueue, WaitingRequest

__all__ = ["Binder"]


class Binder:
    """Reserves the estimated cost of a request when its grant is bound.

    The reservation is reduced as the actual service is charged.

    Parameters
    ----------
    queue : GatewayQueue
    held : HeldGrants
    totals : ServiceTotals
    virtual_time : VirtualTime
    """

    def __init__(
        self,
        queue: GatewayQueue,
        held: HeldGrants,
        totals: ServiceTotals,
        virtual_time: VirtualTime,
    ):
        self._queue = queue
        self._held = held
        self._totals = totals
        self._virtual_time = virtual_time

    def bind(
        self, allocator: str, offer: Offer, demand_sent_s: float
    ) -> tuple[WaitingRequest, HeldGrant] | None:
        """Bind an offer to the first waiting request of its workspace that fits it.

        Returns
        -------
        tuple of (WaitingRequest, HeldGrant) or None
            None if no waiting request fits the offer.
        """
        request = self._queue.pop(
            offer.pool,
            offer.workspace,
            offer.work_class,
            offer.upstream,
            offer.kv_tokens,
        )
        if request is None:
            return None
        grant = self._held.add(allocator, offer, demand_sent_s)
        weight = self._virtual_time.weight(offer.workspace)
        grant.reserved_tokens = request.cost_tokens / weight
        self._totals.reserve(offer.pool, offer.workspace, grant.reserved_tokens)
        return request, grant

    def charge(self, grant: HeldGrant, tokens: float) -> None:
        """Charge weighted tokens and release the same amount of the reservation."""
        offer = grant.offer
        served = tokens / self._virtual_time.weight(offer.workspace)
        self._totals.charge(offer.pool, offer.workspace, served)
        self._release(grant, served)

    def finish(self, grant: HeldGrant) -> bool:
        """Release the remaining reservation; return whether the grant was held."""
        self._release(grant, grant.reserved_tokens)
        return self._held.remove(grant)

    def _release(self, grant: HeldGrant, tokens: float) -> None:
        released = min(max(0.0, tokens), grant.reserved_tokens)
        grant.reserved_tokens -= released
        self._totals.reserve(grant.offer.pool, grant.offer.workspace, -released)
