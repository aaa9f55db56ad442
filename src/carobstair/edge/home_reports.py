"""Log lines and metrics of the homes of shared prompt parts."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

from carobstair.core.prompt_homes import PromptHomes
from carobstair.edge.metrics import EdgeMetrics
from carobstair.logs import get_logger

__all__ = ["HomeReports"]

logger = get_logger(__name__)


@dataclass(slots=True)
class HomeReports:
    """Reports where requests were sent that have homes."""

    homes: PromptHomes
    metrics: EdgeMetrics
    # Counts at the last log line and at the last export.
    _logged: dict[str, int] = field(default_factory=dict)
    _exported: dict[str, int] = field(default_factory=dict)

    def enable(self, reason: str) -> None:
        """Let placement use homes, and log it once.

        Parameters
        ----------
        reason : str
            The service whose upstreams stated a slowdown, or ``settings``.
        """
        if self.homes.enable():
            logger.info("prompt_homes_enabled", reason=reason)

    def log_sends(self) -> None:
        """Log the sends since the last call, if there were any."""
        counts = asdict(self.homes.counts)
        if counts != self._logged:
            changes = {k: v - self._logged.get(k, 0) for k, v in counts.items()}
            self._logged = counts
            if any(changes.values()):
                logger.info("prompt_home_sends", **changes)

    def export(self) -> None:
        """Add the sends since the last call to the metrics."""
        counts = asdict(self.homes.counts)
        for name, count in counts.items():
            change = count - self._exported.get(name, 0)
            if name == "repeated_tokens":
                self.metrics.home_repeated_tokens.inc(change)
            else:
                self.metrics.home_sends.labels(name).inc(change)
        self._exported = counts
