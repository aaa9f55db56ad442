"""Retry budgets, backoff, and ejection of failing upstreams."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "Backoff",
    "EjectionSettings",
    "Ejections",
    "RetryBudget",
    "RetryPolicy",
    "RetrySettings",
]


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of retries.

    Attributes
    ----------
    earned_per_request : float
        Retries that each request adds to a budget.
    floor_per_s : float
        Retries per second that a budget gains independently of requests, so that a
        workspace with little traffic has retries as well.
    max_balance : float
        Largest balance of a budget; bounds the burst of retries after an idle time.
    backoff_base_s, backoff_max_s : float
        Initial and largest upper bound of the random delay before a retry.
    """

    earned_per_request: float = 0.1
    floor_per_s: float = 0.2
    max_balance: float = 10.0
    backoff_base_s: float = 0.05
    backoff_max_s: float = 2.0


class RetryBudget:
    """Token bucket of retries, filled per request and over time."""

    def __init__(self, settings: RetrySettings, now_s: float):
        self._settings = settings
        self._balance = settings.max_balance
        self._filled_s = now_s

    def note_request(self) -> None:
        """Count a request, which earns a fraction of a retry."""
        self._add(self._settings.earned_per_request)

    def has_retry(self, now_s: float) -> bool:
        """Return whether the budget allows a retry."""
        self._add((now_s - self._filled_s) * self._settings.floor_per_s)
        self._filled_s = now_s
        return self._balance >= 1.0

    def take(self) -> None:
        """Spend one retry."""
        self._balance -= 1.0

    def _add(self, amount: float) -> None:
        self._balance = min(
            self._settings.max_balance, self._balance + max(0.0, amount)
        )


class Backoff:
    """Exponential backoff with full jitter, from a seeded generator."""

    def __init__(self, settings: RetrySettings, generator: random.Random):
        self._settings = settings
        self._generator = generator

    def delay_s(self, attempt: int) -> float:
        """Return the delay in seconds before retry number `attempt`, from 1."""
        bound_s = self._settings.backoff_base_s * 2 ** min(attempt - 1, 20)
        return self._generator.uniform(0.0, min(bound_s, self._settings.backoff_max_s))


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When and for how long this router sends no work to a failing upstream.

    Attributes
    ----------
    failures : int
        Consecutive failures that eject an upstream.
    base_s, max_s : float
        Length of the first ejection, and the upper bound as it doubles.
    max_fraction : float
        Largest fraction of a pool that is ejected; if more upstreams fail, the fault
        is more likely on this router's side.
    """

    failures: int = 3
    base_s: float = 1.0
    max_s: float = 30.0
    max_fraction: float = 0.5


@dataclass(slots=True)
class _EjectionState:
    failures: int = 0
    ejections: int = 0
    until_s: float = 0.0


class Ejections:
    """Ejection of upstreams after consecutive failures."""

    def __init__(self, settings: EjectionSettings):
        self._settings = settings
        self._states: dict[str, _EjectionState] = {}

    def note_success(self, upstream: str) -> None:
        """Record a complete answer, which resets failures and ejections."""
        self._states.pop(upstream, None)

    def note_failure(self, upstream: str, now_s: float) -> bool:
        """Record a failure; return whether it ejects the upstream."""
        state = self._states.setdefault(upstream, _EjectionState())
        if now_s < state.until_s:
            return False
        state.failures += 1
        # After an ejection, a single failure ejects again.
        if state.failures < self._settings.failures and not state.ejections:
            return False
        length_s = self._settings.base_s * 2 ** min(state.ejections, 20)
        state.until_s = now_s + min(self._settings.max_s, length_s)
        state.ejections += 1
        state.failures = 0
        return True

    def ejected(self, pool: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the upstreams of a pool that are ejected now, up to the limit."""
        names = list(pool)
        still_ejected = sorted(
            (-self._states[n].until_s, n)
            for n in names
            if n in self._states and self._states[n].until_s > now_s
        )
        max_ejected = int(len(names) * self._settings.max_fraction)
        return frozenset(name for _, name in still_ejected[:max_ejected])

    def keep(self, upstreams: Iterable[str]) -> None:
        """Drop the state of upstreams that are no longer in force."""
        known = set(upstreams)
        self._states = {n: h for n, h in self._states.items() if n in known}


class RetryPolicy:
    """Decides whether a failed attempt may be repeated, where and when.

    Parameters
    ----------
    settings : RetrySettings
    ejection : EjectionSettings
    generator : random.Random
    """

    def __init__(
        self,
        settings: RetrySettings,
        ejection: EjectionSettings,
        generator: random.Random,
    ):
        self._settings = settings
        self._workspaces: dict[str, RetryBudget] = {}
        self._upstreams: dict[str, RetryBudget] = {}
        self.backoff = Backoff(settings, generator)
        self.ejections = Ejections(ejection)

    def note_request(self, workspace: str, now_s: float) -> None:
        """Count a caller's request."""
        self._budget(self._workspaces, workspace, now_s).note_request()

    def note_attempt(self, upstream: str, now_s: float) -> None:
        """Count an attempt at an upstream."""
        self._budget(self._upstreams, upstream, now_s).note_request()

    def allow(self, workspace: str, upstream: str, now_s: float) -> bool:
        """Return whether an attempt that failed at an upstream may be repeated.

        A retry is spent from both budgets or from none.
        """
        budgets = (
            self._budget(self._workspaces, workspace, now_s),
            self._budget(self._upstreams, upstream, now_s),
        )
        if not all([budget.has_retry(now_s) for budget in budgets]):
            return False
        for budget in budgets:
            budget.take()
        return True

    def keep(self, workspaces: Iterable[str], upstreams: Iterable[str]) -> None:
        """Drop the state of workspaces and upstreams no longer in force."""
        names = set(upstreams)
        self.ejections.keep(names)
        _keep_only(self._workspaces, set(workspaces))
        _keep_only(self._upstreams, names)

    def _budget(
        self, budgets: dict[str, RetryBudget], name: str, now_s: float
    ) -> RetryBudget:
        if name not in budgets:
            budgets[name] = RetryBudget(self._settings, now_s)
        return budgets[name]


def _keep_only(budgets: dict[str, RetryBudget], names: set[str]) -> None:
    for name in set(budgets) - names:
        del budgets[name]
