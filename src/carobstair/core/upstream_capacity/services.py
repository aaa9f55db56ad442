"""Estimates by service, and the waits that digests carry."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from carobstair.core.upstream_capacity.capacity import Incarnation, UpstreamCapacity
from carobstair.core.upstream_capacity.settings import CapacitySettings

__all__ = ["ServiceCapacities", "WaitRow"]

# Waits of own requests that are kept for digests: those of some seconds.
MAX_RECENT_WAITS = 256

# Upstream with its start time, expected and actual wait in milliseconds, and the
# slowdown in percent.
WaitRow = tuple[str, int, int, int, int]


@dataclass(slots=True)
class ServiceCapacities:
    """Estimates of the services whose upstreams state a slowdown.

    Attributes
    ----------
    by_service : dict
    on_capacity_enabled : callable or None
        Called with a service when it is switched on, which happens once: when one of
        its upstreams, or a peer for it, first states a slowdown.
    """

    settings: CapacitySettings = CapacitySettings()
    on_capacity_enabled: Callable[[str], None] | None = None
    by_service: dict[str, UpstreamCapacity] = field(default_factory=dict)
    _recent_waits: deque[WaitRow] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_WAITS)
    )
    _wait_count: int = 0

    def switch_on(self, service: str) -> None:
        """Begin the estimates of a service, unless they have begun."""
        if service not in self.by_service:
            self.by_service[service] = UpstreamCapacity(self.settings)
            if self.on_capacity_enabled is not None:
                self.on_capacity_enabled(service)

    def keep(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the incarnations that are not given."""
        for capacity in self.by_service.values():
            capacity.keep(incarnations)

    def note_wait(
        self,
        capacity: UpstreamCapacity,
        incarnation: Incarnation,
        tokens: int,
        running_at_send: int,
        wait_s: float,
        now_s: float,
    ) -> None:
        """Record the wait of an own request, and keep it for the next digests."""
        expected_s = capacity.note_first_byte(
            incarnation, tokens, running_at_send, wait_s, now_s
        )
        self._recent_waits.append(
            (
                *incarnation,
                round(1000 * expected_s),
                round(1000 * wait_s),
                round(100 * capacity.record(incarnation).slowdown),
            )
        )
        self._wait_count += 1

    def note_peer_wait(self, service: str, row: WaitRow, now_s: float) -> None:
        """Record the wait of a peer's request; the service is switched on."""
        upstream_id, born_ms, expected_ms, waited_ms, slowdown_percent = row
        self.by_service[service].note_peer_wait(
            (upstream_id, born_ms),
            max(1, expected_ms) / 1000,
            max(1, waited_ms) / 1000,
            max(1, slowdown_percent) / 100,
            now_s,
        )

    def recent_waits(self, since: int, limit: int) -> tuple[list[WaitRow], int]:
        """Return the own waits since an earlier call, and the position for the next.

        Parameters
        ----------
        since : int
            Position returned by the earlier call; 0 for the first.
        limit : int
            Maximum number of rows; the oldest are left out.
        """
        count = min(self._wait_count - since, len(self._recent_waits), limit)
        rows = list(self._recent_waits)[-count:] if count > 0 else []
        return rows, self._wait_count
