"""The keyed actions that one router runs or remembers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from carobstair.core.action_events import OwnerAnswer
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import Outcome, OwnAttempts, OwnerState
from carobstair.core.actions import ActionMachine
from carobstair.core.refusals import refuse

__all__ = ["ActionBook", "BookLimits"]


@dataclass(frozen=True, slots=True)
class BookLimits:
    """Bounds of what a router keeps in memory.

    Attributes
    ----------
    max_active : int
        Actions that run or whose outcome is not written yet.
    max_outcome_bytes : int
        Bodies of outcomes that are written already.
    remember_s : float
        How long a written outcome is answered from memory.
    """

    max_active: int = 5_000
    max_outcome_bytes: int = 32_000_000
    remember_s: float = 600.0


@dataclass(frozen=True, slots=True)
class _Remembered:
    body_hash: str
    outcome: Outcome
    until_s: float


class ActionBook:
    """Joins callers with the same key and answers other routers.

    Parameters
    ----------
    attempts : OwnAttempts
    settings : ActionSettings
    limits : BookLimits
    """

    def __init__(
        self, attempts: OwnAttempts, settings: ActionSettings, limits: BookLimits
    ):
        self._attempts = attempts
        self._settings = settings
        self._limits = limits
        self.active: dict[str, ActionMachine] = {}
        self._remembered: OrderedDict[str, _Remembered] = OrderedDict()
        self._remembered_bytes = 0

    def remembered(self, record: str, body_hash: str, now_s: float) -> Outcome | None:
        """Return a written outcome that this router still has.

        Raises
        ------
        Refusal
            ``key-reused`` if the key stood for another request.
        """
        found = self._remembered.get(record)
        if found is None or found.until_s <= now_s:
            return None
        if found.body_hash != body_hash:
            raise refuse("key-reused")
        return found.outcome

    def join(self, record: str, body_hash: str, deadline_s: float) -> ActionMachine:
        """Return the machine of a key, made where there is none yet.

        Raises
        ------
        Refusal
            ``key-reused``, or ``record-store-unavailable`` where too many outcomes
            wait for the store.
        """
        machine = self.active.get(record)
        # What a machine that only frees its key was told may be out of date:
        # another router can have taken the record over and run the action.
        if machine is not None and machine.phase is not Phase.RELEASING:
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
        """Take out a machine that has ended, and remember its outcome."""
        if self.active.get(record) is machine:
            del self.active[record]
        if isinstance(machine.result, Outcome):
            until_s = now_s + self._limits.remember_s
            entry = _Remembered(machine.body_hash, machine.result, until_s)
            self._forget(record)
            self._remembered[record] = entry
            self._remembered_bytes += len(machine.result.body)
        while self._remembered_bytes > self._limits.max_outcome_bytes or (
            len(self._remembered) > self._limits.max_active
        ):
            self._forget(next(iter(self._remembered)))

    def answer(self, record: str, attempt_id: str, now_s: float) -> OwnerAnswer:
        """Return what another router learns about an attempt, or any without id."""
        machine = self.active.get(record)
        if attempt_id and self._attempts.was_not_sent(attempt_id):
            return OwnerAnswer(OwnerState.NOT_SENT)
        if machine is not None:
            return _answer_of(machine, attempt_id)
        found = self._remembered.get(record)
        if found is not None and found.until_s > now_s:
            return OwnerAnswer(OwnerState.DONE, found.outcome)
        return OwnerAnswer(OwnerState.NONE)

    def _forget(self, record: str) -> None:
        found = self._remembered.pop(record, None)
        if found is not None:
            self._remembered_bytes -= len(found.outcome.body)


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
        Phase.RELEASING,
    ):
        # Such a machine knows no more than the one that asks.
        return OwnerAnswer(OwnerState.NONE)
    return OwnerAnswer(OwnerState.RUNNING)
