"""Costs of offers that the service totals do not contain yet."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.totals import Key

__all__ = ["PendingCosts"]


@dataclass(slots=True)
class _Pending:
    expires_s: float
    gateway: str
    key: Key
    tokens: float


class PendingCosts:
    """Costs by offer, and their sums by pool and workspace.

    Parameters
    ----------
    validity_s : float
        How long a cost counts if the totals don't tell of it sooner.
    """

    def __init__(self, validity_s: float):
        self._validity_s = validity_s
        self._pending: dict[int, _Pending] = {}
        self._sums: dict[Key, float] = {}

    def add(
        self, grant_id: int, gateway: str, key: Key, tokens: float, now_s: float
    ) -> None:
        """Count an offer's cost, in weighted tokens per weight."""
        expires_s = now_s + self._validity_s
        self._pending[grant_id] = _Pending(expires_s, gateway, key, tokens)
        self._sums[key] = self._sums.get(key, 0.0) + tokens

    def sum(self, key: Key) -> float:
        """Return the pending cost of a workspace in a pool."""
        return self._sums.get(key, 0.0)

    def settle(self, grant_id: int) -> None:
        """Stop counting one offer."""
        pending = self._pending.pop(grant_id, None)
        if pending is None:
            return
        left = self._sums[pending.key] - pending.tokens
        # Rounding must not keep an entry for good.
        if left > 1e-6:
            self._sums[pending.key] = left
        else:
            del self._sums[pending.key]

    def acknowledge(self, gateway: str, last_offer: int) -> None:
        """Stop counting a gateway's offers up to one that its totals contain."""
        known = [
            grant_id
            for grant_id, pending in self._pending.items()
            if pending.gateway == gateway and grant_id <= last_offer
        ]
        for grant_id in known:
            self.settle(grant_id)

    def expire(self, now_s: float) -> None:
        """Stop counting offers of which nobody has told for long."""
        old = [g for g, p in self._pending.items() if p.expires_s <= now_s]
        for grant_id in old:
            self.settle(grant_id)
