"""Grants that a gateway holds, and the leases that bound their use."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.messages import Offer

__all__ = ["GrantTimings", "HeldGrant", "HeldGrants"]


@dataclass(frozen=True, slots=True)
class GrantTimings:
    """Durations of grant leases, in seconds.

    The allocator waits `margin_s` longer than the gateway, which covers the
    drift of two monotonic clocks over one lease.
    """

    lease_s: float = 10.0
    renew_every_s: float = 3.0
    margin_s: float = 1.0


@dataclass(slots=True)
class HeldGrant:
    """A grant in use, with the monotonic time at which its use must stop.

    Attributes
    ----------
    reserved_tokens : float
        Part of the estimated cost that is not charged yet.
    """

    allocator: str
    offer: Offer
    expires_s: float
    reserved_tokens: float = 0.0


class HeldGrants:
    """The grants that a gateway uses, by (allocator, grant id)."""

    def __init__(self, timings: GrantTimings):
        self._timings = timings
        self._held: dict[tuple[str, int], HeldGrant] = {}
        self._renewals: dict[int, tuple[str, float]] = {}
        self._next_renewal = 0

    def __len__(self) -> int:
        return len(self._held)

    def add(self, allocator: str, offer: Offer, asked_s: float) -> HeldGrant:
        """Record a grant that was bound to a request.

        Parameters
        ----------
        asked_s : float
            When the demand that the offer answers was sent. The offer can have
            been on its way for long, so its receipt says nothing.
        """
        grant = HeldGrant(allocator, offer, asked_s + self._timings.lease_s)
        self._held[(allocator, offer.grant_id)] = grant
        return grant

    def remove(self, grant: HeldGrant) -> bool:
        """Forget a grant that ended; return whether it was held."""
        return self._held.pop((grant.allocator, grant.offer.grant_id), None) is not None

    def expired(self, now_s: float) -> list[HeldGrant]:
        """Return the grants whose use must stop now."""
        return [g for g in self._held.values() if g.expires_s <= now_s]

    def renewals(self, now_s: float) -> dict[str, tuple[int, list[int]]]:
        """Return per allocator the request number and the ids to renew."""
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
        """Extend leases, counted from the time the renewal was sent."""
        asked, sent_s = self._renewals.pop(request, ("", 0.0))
        if asked != allocator:
            return
        for grant_id in grant_ids:
            grant = self._held.get((allocator, grant_id))
            if grant is not None:
                grant.expires_s = max(grant.expires_s, sent_s + self._timings.lease_s)

    def _forget_old_renewals(self, now_s: float) -> None:
        oldest_s = now_s - self._timings.lease_s
        self._renewals = {
            number: asked
            for number, asked in self._renewals.items()
            if asked[1] >= oldest_s
        }
