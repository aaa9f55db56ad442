"""Grants held by a gateway, and the leases that limit their use."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.messages import Offer

__all__ = ["GrantTimings", "HeldGrant", "HeldGrants"]


@dataclass(frozen=True, slots=True)
class GrantTimings:
    """Durations of grant leases, in seconds.

    A grant expires at the allocator `margin_s` later than at the gateway, which
    covers the drift between their monotonic clocks over one lease.
    """

    lease_s: float = 10.0
    renew_every_s: float = 3.0
    margin_s: float = 1.0


@dataclass(slots=True)
class HeldGrant:
    """An active grant and the monotonic time at which its use must stop.

    Attributes
    ----------
    reserved_tokens : float
        Part of the estimated cost that has not been charged yet.
    """

    allocator: str
    offer: Offer
    expires_s: float
    reserved_tokens: float = 0.0


class HeldGrants:
    """The active grants of a gateway, by (allocator, grant id)."""

    def __init__(self, timings: GrantTimings):
        self._timings = timings
        self._held: dict[tuple[str, int], HeldGrant] = {}
        self._renewals: dict[int, tuple[str, float]] = {}
        self._next_renewal = 0

    def __len__(self) -> int:
        return len(self._held)

    def add(self, allocator: str, offer: Offer, demand_sent_s: float) -> HeldGrant:
        """Add a grant that was bound to a request.

        Parameters
        ----------
        demand_sent_s : float
            When the demand that the offer answers was sent. The lease counts from
            then, not from receipt, since the offer may have been delayed.
        """
        grant = HeldGrant(allocator, offer, demand_sent_s + self._timings.lease_s)
        self._held[(allocator, offer.grant_id)] = grant
        return grant

    def remove(self, grant: HeldGrant) -> bool:
        """Remove a finished grant; return whether it was held."""
        return self._held.pop((grant.allocator, grant.offer.grant_id), None) is not None

    def expired(self, now_s: float) -> list[HeldGrant]:
        """Return the grants whose use must stop now."""
        return [g for g in self._held.values() if g.expires_s <= now_s]

    def renewals(self, now_s: float) -> dict[str, tuple[int, list[int]]]:
        """Return the renewal number and the grant ids to renew, by allocator."""
        ids: dict[str, list[int]] = {}
        for allocator, grant_id in self._held:
            ids.setdefault(allocator, []).append(grant_id)
        result = {}
        for allocator, grant_ids in ids.items():
            self._next_renewal += 1
            self._renewals[self._next_renewal] = (allocator, now_s)
            result[allocator] = (self._next_renewal, grant_ids)
        self._forget_old_renewals(now_s)
        return result

    def renewed(self, allocator: str, request: int, grant_ids: list[int]) -> None:
        """Extend the renewed leases, counted from when the renewal was sent."""
        target, sent_s = self._renewals.pop(request, ("", 0.0))
        if target != allocator:
            return
        for grant_id in grant_ids:
            grant = self._held.get((allocator, grant_id))
            if grant is not None:
                grant.expires_s = max(grant.expires_s, sent_s + self._timings.lease_s)

    def _forget_old_renewals(self, now_s: float) -> None:
        oldest_s = now_s - self._timings.lease_s
        self._renewals = {
            number: renewal
            for number, renewal in self._renewals.items()
            if renewal[1] >= oldest_s
        }
