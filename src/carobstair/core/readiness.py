"""Readiness check of a router: why it should receive no requests."""

from __future__ import annotations

from carobstair.core.distribution import TicketDistribution
from carobstair.core.membership import Membership
from carobstair.core.messages import PeerAddress
from carobstair.core.state import FleetState

__all__ = ["unready_reason"]


def unready_reason(
    own: PeerAddress,
    state: FleetState,
    membership: Membership,
    distribution: TicketDistribution,
) -> str | None:
    """Return why the router should receive no requests, or None if it is ready."""
    if membership.leaving:
        return "shutting down"
    if membership.is_superseded:
        return f"a newer process of instance {own.instance} is known"
    if state.number == 0:
        return f"no ticket is in force yet; {_missing_ticket(membership, distribution)}"
    if not state.zone_in_service(own.zone):
        return f"zone {own.zone} is out of service by ticket"
    return None


def _missing_ticket(membership: Membership, distribution: TicketDistribution) -> str:
    peers = len(membership.live())
    error = distribution.store_error
    store = f"the object API is {error}" if error else "the object API has none"
    if not distribution.is_watcher:
        store = "the object API is read by peers"
    return f"{store}, and none of {peers} live peers has sent one"
