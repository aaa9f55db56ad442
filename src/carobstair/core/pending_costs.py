"""Costs of offers that the service totals do not include yet."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.totals import TotalsKey

__all__ = ["PendingCosts"]


@dataclass(slots=True)
class _Pending:
    expires_s: float
    gateway: str
    key: TotalsKey
    tokens: float


class PendingCosts:
    """Pending costs by offer, and their sums by pool and workspace.

    Parameters
    ----------
    validity_s : float
        Longest time for which a cost counts until the totals include it.
    """

    def __init__(self, validity_s: float):
        self._validity_s = validity_s
        self._pending: dict[int, _Pending] = {}
        self._sums: dict[TotalsKey, float] = {}

    def add(
        self, grant_id: int, gateway: str, key: TotalsKey, tokens: float, now_s: float
    ) -> None:
        """Add an offer's cost, in weighted tokens per weight."""
        expires_s = now_s + self._validity_s
        self._pending[grant_id] = _Pending(expires_s, gateway, key, tokens)
        self._sums[key] = self._sums.get(key, 0.0) + tokens

    def sum(self, key: TotalsKey) -> float:
        """Return the pending cost of a workspace in a pool."""
        return self._sums.get(key, 0.0)

    def settle(self, grant_id: int) -> None:
        """Remove the cost of one offer."""
        pending = self._pending.pop(grant_id, None)
        if pending is None:
            return
        left = self._sums[pending.key] - pending.tokens
        # A rounding error must not keep an entry forever.
        if left > 1e-6:
            self._sums[pending.key] = left
        else:
            del self._sums[pending.key]

    def acknowledge(self, gateway: str, last_offer: int) -> None:
        """Remove the costs of a gateway's offers that its totals include."""
        contained = [
            grant_id
            for grant_id, pending in self._pending.items()
            if pending.gateway == gateway and grant_id <= last_offer
        ]
        for grant_id in contained:
            self.settle(grant_id)

    def expire(self, now_s: float) -> None:
        """Remove the costs whose validity has ended."""
        expired = [g for g, p in self._pending.items() if p.expires_s <= now_s]
        for grant_id in expired:
            self.settle(grant_id)
