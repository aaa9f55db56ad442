"""Log lines and metrics of what each upstream can take."""

from __future__ import annotations

from dataclasses import dataclass, field

from carobstair.core.engine_load import LoadTracker
from carobstair.core.upstream_capacity import Incarnation
from carobstair.edge.metrics import EdgeMetrics
from carobstair.logs import get_logger

__all__ = ["CapacityReports"]

logger = get_logger(__name__)

# Upstreams with metrics of their own, in each service.
MAX_SERIES = 128
# Relative speeds below which an upstream is logged as slow, and from which it is no
# longer; between them, neither changes.
SLOW_SPEED = 0.5
USUAL_SPEED = 0.7
# Lines in one call: if many upstreams change at once, the first ones show it.
MAX_LINES = 8


@dataclass(slots=True)
class CapacityReports:
    """Reports the estimates for services whose upstreams state a slowdown."""

    loads: LoadTracker
    metrics: EdgeMetrics
    _slow: set[Incarnation] = field(default_factory=set)

    def log_capacity_enabled(self, service: str) -> None:
        """Log that the estimates decide for a service from now on."""
        logger.info("capacity_estimates_enabled", service=service)

    def log_changes(self, now_s: float) -> None:
        """Log upstreams that have become slow, or are no longer."""
        lines, known = 0, set()
        for service, capacity in self.loads.capacities.by_service.items():
            for incarnation in capacity.incarnations():
                known.add(incarnation)
                speed = capacity.relative_speed(incarnation, now_s)
                was_slow = incarnation in self._slow
                is_slow = speed < (USUAL_SPEED if was_slow else SLOW_SPEED)
                if is_slow is was_slow or lines >= MAX_LINES:
                    continue
                lines += 1
                self._slow ^= {incarnation}
                logger.info(
                    "upstream_slow" if is_slow else "upstream_no_longer_slow",
                    service=service,
                    upstream=incarnation[0],
                    relative_speed=round(speed, 2),
                    read_tokens_per_s=round(
                        capacity.read_tokens_per_s(incarnation, now_s)
                    ),
                )
        self._slow &= known

    def export(self, now_s: float) -> None:
        """Set the metrics; those of upstreams that are gone are removed."""
        metrics = self.metrics
        metrics.unreadable_loads.set(self.loads.unreadable_reports)
        gauges = (
            metrics.upstream_read_rate,
            metrics.upstream_concurrency,
            metrics.upstream_speed,
        )
        for gauge in gauges:
            gauge.clear()
        for service, capacity in self.loads.capacities.by_service.items():
            for incarnation in capacity.incarnations()[:MAX_SERIES]:
                slots = capacity.record(incarnation).slots
                values = (
                    capacity.read_tokens_per_s(incarnation, now_s),
                    capacity.concurrency(incarnation, slots, now_s),
                    capacity.relative_speed(incarnation, now_s),
                )
                for gauge, value in zip(gauges, values, strict=True):
                    gauge.labels(service, incarnation[0]).set(value)
