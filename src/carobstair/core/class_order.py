"""Weighted fair queueing between the work classes of a workspace."""

from __future__ import annotations

from collections.abc import Mapping

from carobstair.core.demand import DemandKey
from carobstair.core.queueing import WorkClass

__all__ = ["ClassOrder"]

# Fair-queueing weights: a quick request is charged an eighth of its cost.
CLASS_WEIGHTS: Mapping[str, float] = {WorkClass.QUICK: 8.0, WorkClass.LONG: 1.0}


class ClassOrder:
    """Start-time fair queueing of the classes of each pool and workspace."""

    def __init__(self) -> None:
        self._finish_tags: dict[DemandKey, float] = {}
        self._virtual_times: dict[tuple[str, str], float] = {}

    def ordered(self, pool: str, workspace: str) -> list[str]:
        """Return the work classes in service order."""
        virtual_time = self._virtual_times.get((pool, workspace), 0.0)
        # A class that was idle starts at the current virtual time. The sort is
        # stable, so that quick comes first on a tie.
        return sorted(
            CLASS_WEIGHTS,
            key=lambda c: max(
                virtual_time, self._finish_tags.get((pool, workspace, c), 0.0)
            ),
        )

    def charge(self, key: DemandKey, cost_tokens: float) -> None:
        """Charge a served request to its class."""
        pool, workspace, work_class = key
        virtual_time = self._virtual_times.get((pool, workspace), 0.0)
        start = max(virtual_time, self._finish_tags.get(key, 0.0))
        self._virtual_times[(pool, workspace)] = start
        cost = max(1.0, cost_tokens)
        self._finish_tags[key] = start + cost / CLASS_WEIGHTS[work_class]

    def keep_only(self, workspaces: Mapping[str, object]) -> None:
        """Drop the state of workspaces that are no longer configured."""
        for tags in (self._finish_tags, self._virtual_times):
            for key in [key for key in tags if key[1] not in workspaces]:
                del tags[key]
