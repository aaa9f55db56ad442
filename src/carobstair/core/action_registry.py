"""Registry of the keyed actions of one router: running, and outcomes in memory."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from carobstair.core.action_events import OwnerAnswer
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import LocalAttempts, Outcome, OwnerState
from carobstair.core.actions import ActionMachine
from carobstair.core.refusals import refuse

__all__ = ["ActionRegistry", "ActionRegistryLimits"]


@dataclass(frozen=True, slots=True)
class ActionRegistryLimits:
    """Limits of the actions and outcomes that a router keeps in memory.

    Attributes
    ----------
    max_active : int
        Actions that run or whose outcome is not stored yet. The number of stored
        outcomes in memory has the same limit.
    max_outcome_bytes : int
        Total size of the bodies of stored outcomes in memory.
    cache_s : float
        How long a stored outcome is served from memory.
    """

    max_active: int = 5_000
    max_outcome_bytes: int = 32_000_000
    cache_s: float = 600.0


@dataclass(frozen=True, slots=True)
class _CachedOutcome:
    body_hash: str
    outcome: Outcome
    until_s: float


class ActionRegistry:
    """Runs one state machine per key and answers other routers' queries.

    Parameters
    ----------
    attempts : LocalAttempts
    settings : ActionSettings
    limits : ActionRegistryLimits
    """

    def __init__(
        self,
        attempts: LocalAttempts,
        settings: ActionSettings,
        limits: ActionRegistryLimits,
    ):
        self._attempts = attempts
        self._settings = settings
        self._limits = limits
        self.active: dict[str, ActionMachine] = {}
        self._cached: OrderedDict[str, _CachedOutcome] = OrderedDict()
        self._cached_bytes = 0

    def cached_outcome(
        self, record: str, body_hash: str, now_s: float
    ) -> Outcome | None:
        """Return the stored outcome if it is still in memory.

        Raises
        ------
        Refusal
            ``key-reused`` if the key was used for a different request.
        """
        found = self._cached.get(record)
        if found is None or found.until_s <= now_s:
            return None
        if found.body_hash != body_hash:
            raise refuse("key-reused")
        return found.outcome

    def join(self, record: str, body_hash: str, deadline_s: float) -> ActionMachine:
        """Add a caller to the state machine of a key, creating it if needed.

        Raises
        ------
        Refusal
            ``key-reused``, or ``record-store-unavailable`` if too many outcomes
            wait to be stored.
        """
        machine = self.active.get(record)
        # A machine that is deleting its record is not reused. Its state may be
        # stale: another router may have taken the record over and run the action.
        if machine is not None and machine.phase is not Phase.DELETING:
            if machine.body_hash != body_hash:
                raise refuse("key-reused")
            machine.join(deadline_s)
            return machine
        if len(self.active) >= self._limits.max_active:
            raise refuse("record-store-unavailable", "too many unwritten outcomes")
        machine = ActionMachine(body_hash, self._attempts, self._settings, deadline_s)
        self.active[record] = machine
        return machine

    def close(self, record: str, machine: ActionMachine, now_s: float) -> None:
        """Remove a machine that has ended and keep its outcome in memory."""
        if self.active.get(record) is machine:
            del self.active[record]
        if isinstance(machine.result, Outcome):
            until_s = now_s + self._limits.cache_s
            entry = _CachedOutcome(machine.body_hash, machine.result, until_s)
            self._evict(record)
            self._cached[record] = entry
            self._cached_bytes += len(machine.result.body)
        while self._cached_bytes > self._limits.max_outcome_bytes or (
            len(self._cached) > self._limits.max_active
        ):
            self._evict(next(iter(self._cached)))

    def answer(self, record: str, attempt_id: str, now_s: float) -> OwnerAnswer:
        """Return the state of an attempt, or of any attempt if the id is empty."""
        machine = self.active.get(record)
        if attempt_id and self._attempts.was_not_sent(attempt_id):
            return OwnerAnswer(OwnerState.NOT_SENT)
        if machine is not None:
            return _answer_of(machine, attempt_id)
        found = self._cached.get(record)
        if found is not None and found.until_s > now_s:
            return OwnerAnswer(OwnerState.DONE, found.outcome)
        return OwnerAnswer(OwnerState.NONE)

    def _evict(self, record: str) -> None:
        found = self._cached.pop(record, None)
        if found is not None:
            self._cached_bytes -= len(found.outcome.body)


def _answer_of(machine: ActionMachine, attempt_id: str) -> OwnerAnswer:
    if isinstance(machine.result, Outcome):
        return OwnerAnswer(OwnerState.DONE, machine.result)
    if machine.phase is Phase.RECORDING:
        return OwnerAnswer(OwnerState.LOST)
    if attempt_id and attempt_id != machine.attempt_id:
        return OwnerAnswer(OwnerState.NONE)
    if not attempt_id and machine.phase in (
        Phase.READING,
        Phase.ASKING_PEERS,
        Phase.DELETING,
    ):
        # In these phases the machine knows no more than the router that asks.
        return OwnerAnswer(OwnerState.NONE)
    return OwnerAnswer(OwnerState.RUNNING)
