"""Order of the work classes within a workspace."""

from __future__ import annotations

from collections.abc import Mapping

from carobstair.core.demand import DemandKey
from carobstair.core.queueing import WorkClass

__all__ = ["ClassOrder"]

# A quick request counts this much less than a long one within its workspace.
CLASS_WEIGHTS: Mapping[str, float] = {WorkClass.QUICK: 8.0, WorkClass.LONG: 1.0}


class ClassOrder:
    """Weighted fair order of the classes of each pool and workspace."""

    def __init__(self) -> None:
        self._finish: dict[DemandKey, float] = {}
        self._clock: dict[tuple[str, str], float] = {}

    def ordered(self, pool: str, workspace: str) -> list[str]:
        """Return the classes in the order in which they are to be served."""
        clock = self._clock.get((pool, workspace), 0.0)
        # A class that was idle starts level; quick goes first among equals.
        return sorted(
            CLASS_WEIGHTS,
            key=lambda c: max(clock, self._finish.get((pool, workspace, c), 0.0)),
        )

    def charge(self, key: DemandKey, cost_tokens: float) -> None:
        """Count a request that was served."""
        pool, workspace, work_class = key
        clock = self._clock.get((pool, workspace), 0.0)
        start = max(clock, self._finish.get(key, 0.0))
        self._clock[(pool, workspace)] = start
        cost = max(1.0, cost_tokens)
        self._finish[key] = start + cost / CLASS_WEIGHTS[work_class]

    def keep_only(self, workspaces: Mapping[str, object]) -> None:
        """Forget workspaces that no ticket names any more."""
        for held in (self._finish, self._clock):
            for key in [key for key in held if key[1] not in workspaces]:
                del held[key]
