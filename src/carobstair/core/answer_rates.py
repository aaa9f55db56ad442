"""Rate at which waiting requests are answered, from which ``Retry-After`` follows."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["AnswerRates"]

HALF_LIFE_S = 10.0
MIN_WAIT_S = 1.0
MAX_WAIT_S = 60.0


@dataclass(slots=True)
class _Rate:
    per_s: float
    updated_s: float

    def at(self, now_s: float) -> float:
        return self.per_s * 0.5 ** (max(0.0, now_s - self.updated_s) / HALF_LIFE_S)


class AnswerRates:
    """Exponentially decaying rate of answers per pool and workspace."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], _Rate] = {}

    def note_answer(self, pool: str, workspace: str, now_s: float) -> None:
        """Count a request that was answered."""
        rate = self._rates.setdefault((pool, workspace), _Rate(0.0, now_s))
        rate.per_s = rate.at(now_s) + math.log(2) / HALF_LIFE_S
        rate.updated_s = now_s

    def retry_after_s(
        self, pool: str, workspace: str, waiting: int, now_s: float
    ) -> float:
        """Return the time in which half of the waiting requests will be answered.

        Without a known rate of answers, this is `MAX_WAIT_S` if requests wait.
        """
        rate = self._rates.get((pool, workspace))
        per_s = rate.at(now_s) if rate is not None else 0.0
        if per_s <= 0.0:
            return MAX_WAIT_S if waiting else MIN_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, 0.5 * waiting / per_s))

    def keep(self, pools: set[str], workspaces: set[str]) -> None:
        """Drop the rates of pools and workspaces that are no longer in force."""
        for key in list(self._rates):
            if key[0] not in pools or key[1] not in workspaces:
                del self._rates[key]
