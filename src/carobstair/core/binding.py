"""Grants bound to requests of the own gateway, and the service charged to them."""

from __future__ import annotations

from carobstair.core.fairness import ServiceTotals, VirtualTime
from carobstair.core.grants import HeldGrant, HeldGrants
from carobstair.core.messages import Offer
from carobstair.core.queueing import GatewayQueue, WaitingRequest

__all__ = ["Binder"]


class Binder:
    """Reserves the estimated cost when a grant is bound, and corrects it.

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
        self, allocator: str, offer: Offer, asked_s: float
    ) -> tuple[WaitingRequest, HeldGrant] | None:
        """Give an offer to the best waiting request of its workspace.

        Returns
        -------
        tuple of (WaitingRequest, HeldGrant) or None
            None if nothing waits that the offer suits.
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
        grant = self._held.add(allocator, offer, asked_s)
        weight = self._virtual_time.weight(offer.workspace)
        grant.reserved_tokens = request.cost_tokens / weight
        self._totals.reserve(offer.pool, offer.workspace, grant.reserved_tokens)
        return request, grant

    def charge(self, grant: HeldGrant, tokens: float) -> None:
        """Add service, in weighted tokens, and free as much of the reservation."""
        offer = grant.offer
        served = tokens / self._virtual_time.weight(offer.workspace)
        self._totals.charge(offer.pool, offer.workspace, served)
        self._free(grant, served)

    def finish(self, grant: HeldGrant) -> bool:
        """Free what is left of the reservation; return whether it was held."""
        self._free(grant, grant.reserved_tokens)
        return self._held.remove(grant)

    def _free(self, grant: HeldGrant, tokens: float) -> None:
        freed = min(max(0.0, tokens), grant.reserved_tokens)
        grant.reserved_tokens -= freed
        self._totals.reserve(grant.offer.pool, grant.offer.workspace, -freed)
