"""Grants as an allocator holds them, and its settings."""

from __future__ import annotations

from dataclasses import dataclass, field

from carobstair.core.messages import Offer
from carobstair.core.reserve import QuickReserveSettings

__all__ = ["AllocatorSettings", "Grant"]


@dataclass(frozen=True, slots=True)
class AllocatorSettings:
    """Settings of an allocator.

    Attributes
    ----------
    demand_validity_s : float
        How long a gateway's demand holds without being refreshed.
    pending_s : float
        How long the cost of a grant to another gateway counts on top of the
        service totals, if these don't tell of it sooner.
    quick_ahead_tokens : float
        How far a workspace may run ahead of the others with quick requests, per
        weight; a term of the bound on the gap.
    drain_after_s : float
        How long the request whose turn it is waits for KV tokens before an
        upstream takes no other work until it fits.
    """

    demand_validity_s: float = 3.0
    pending_s: float = 2.5
    quick: QuickReserveSettings = field(default_factory=QuickReserveSettings)
    quick_ahead_tokens: float = 1000.0
    drain_after_s: float = 0.5


@dataclass(slots=True)
class Grant:
    """A slot in use; it lapses when the gateway does not renew it."""

    gateway: str
    offer: Offer
    lapses_s: float
    granted_s: float = 0.0
    in_reserve: bool = False
