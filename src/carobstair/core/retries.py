"""Retry budgets, backoff and the ejection of failing upstreams."""

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
    per_request : float
        Retries that each request adds to a budget.
    floor_per_s : float
        Retries per second that a budget gains without requests, so that a small
        workspace is not left without any.
    max_saved : float
        Most retries that a budget holds; bounds the burst after a quiet time.
    backoff_base_s, backoff_max_s : float
        First and largest bound of the delay before a retry.
    """

    per_request: float = 0.1
    floor_per_s: float = 0.2
    max_saved: float = 10.0
    backoff_base_s: float = 0.05
    backoff_max_s: float = 2.0


class RetryBudget:
    """Token bucket that is filled by requests and by time."""

    def __init__(self, settings: RetrySettings, now_s: float):
        self._settings = settings
        self._saved = settings.max_saved
        self._filled_s = now_s

    def note_request(self) -> None:
        """Count a request, which earns a part of a retry."""
        self._add(self._settings.per_request)

    def can_take(self, now_s: float) -> bool:
        """Return whether a retry is left."""
        self._add((now_s - self._filled_s) * self._settings.floor_per_s)
        self._filled_s = now_s
        return self._saved >= 1.0

    def take(self) -> None:
        """Spend one retry."""
        self._saved -= 1.0

    def _add(self, amount: float) -> None:
        self._saved = min(self._settings.max_saved, self._saved + max(0.0, amount))


class Backoff:
    """Delays that double, with full jitter from a seeded generator."""

    def __init__(self, settings: RetrySettings, generator: random.Random):
        self._settings = settings
        self._generator = generator

    def delay_s(self, attempt: int) -> float:
        """Return the delay in seconds before retry number `attempt`, from 1."""
        bound_s = self._settings.backoff_base_s * 2 ** min(attempt - 1, 20)
        return self._generator.uniform(0.0, min(bound_s, self._settings.backoff_max_s))


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When and for how long a failing upstream gets no work from this router.

    Attributes
    ----------
    failures : int
        Failures in a row that eject.
    base_s, max_s : float
        Length of the first ejection, and the bound of its doubling.
    max_fraction : float
        Largest part of a pool that is ejected; beyond it the fault is more likely
        on this side.
    """

    failures: int = 3
    base_s: float = 1.0
    max_s: float = 30.0
    max_fraction: float = 0.5


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    until_s: float = 0.0


class Ejections:
    """Upstreams that failed several times in a row."""

    def __init__(self, settings: EjectionSettings):
        self._settings = settings
        self._health: dict[str, _Health] = {}

    def note_success(self, upstream: str) -> None:
        """Count a whole answer, which forgives all failures."""
        self._health.pop(upstream, None)

    def note_failure(self, upstream: str, now_s: float) -> bool:
        """Count a failure and return whether it ejects the upstream."""
        health = self._health.setdefault(upstream, _Health())
        if now_s < health.until_s:
            return False
        health.failures += 1
        # After an ejection a single failure ejects again.
        if health.failures < self._settings.failures and not health.ejections:
            return False
        length_s = self._settings.base_s * 2 ** min(health.ejections, 20)
        health.until_s = now_s + min(self._settings.max_s, length_s)
        health.ejections += 1
        health.failures = 0
        return True

    def ejected(self, pool: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the upstreams of a pool that get no work now."""
        names = list(pool)
        out = sorted(
            (-self._health[n].until_s, n)
            for n in names
            if n in self._health and self._health[n].until_s > now_s
        )
        most = int(len(names) * self._settings.max_fraction)
        return frozenset(name for _, name in out[:most])

    def keep(self, upstreams: Iterable[str]) -> None:
        """Forget upstreams that are no longer in force."""
        known = set(upstreams)
        self._health = {n: h for n, h in self._health.items() if n in known}


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
        if not all([budget.can_take(now_s) for budget in budgets]):
            return False
        for budget in budgets:
            budget.take()
        return True

    def keep(self, workspaces: Iterable[str], upstreams: Iterable[str]) -> None:
        """Forget what is no longer in force."""
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
