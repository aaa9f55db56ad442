"""Settings of an allocator and its record of a grant."""

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
        Time after which a gateway's demand expires unless it is refreshed.
    pending_s : float
        Longest time for which the cost of a grant to another gateway is added to
        the service totals, until these include it.
    quick_ahead_tokens : float
        Service per weight by which a workspace may lead the others with quick
        requests; a term of the bound on the service gap.
    drain_after_s : float
        How long the next request in order waits for KV tokens before an
        upstream is drained for it.
    """

    demand_validity_s: float = 3.0
    pending_s: float = 2.5
    quick: QuickReserveSettings = field(default_factory=QuickReserveSettings)
    quick_ahead_tokens: float = 1000.0
    drain_after_s: float = 0.5


@dataclass(slots=True)
class Grant:
    """A slot in use; the grant expires unless the gateway renews it."""

    gateway: str
    offer: Offer
    expires_s: float
    granted_s: float = 0.0
    in_reserve: bool = False
