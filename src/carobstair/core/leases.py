"""Leases with a fencing number, stored in the object API.

The clocks of two processes are never compared. The holder measures its lease from
just before it sent the write; another process measures from when it first read that
version. So the lease expires at its holder before another process acquires it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from carobstair.core.effects import Effect, Warn
from carobstair.core.shares import MemberId
from carobstair.core.store_calls import StoreAnswer, StoreCalls, StoreOutcome

__all__ = ["Lease", "LeaseRecord", "LeaseSettings"]


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Durations of a lease.

    Attributes
    ----------
    drift_margin_s : float
        Added to a lease before another process acquires it; covers the drift of
        two monotonic clocks over one lease.
    poll_every_s : float
        Time between two reads of a lease that another process holds.
    """

    lease_s: float = 15.0
    renew_every_s: float = 5.0
    drift_margin_s: float = 3.0
    poll_every_s: float = 3.0


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored lease object.

    `nonce` distinguishes the writes of a process, so that it recognises its own
    write after a lost answer. `done` identifies the wanted state that was reached by
    the last order to finish.
    """

    instance: str
    incarnation: int
    fencing: int
    nonce: int
    held: bool
    done: str = ""

    @property
    def holder(self) -> MemberId:
        """Instance and incarnation of the process that wrote the record."""
        return (self.instance, self.incarnation)


class Lease:
    """One process's view of a stored lease.

    Parameters
    ----------
    name : str
        Name of the object.
    own : tuple of (str, int)
    settings : LeaseSettings
    calls : StoreCalls
    generator : random.Random
    is_gone : callable
        Returns whether a holder's process is believed to have ended, so that its
        lease may be acquired before it expires. Only given where that is safe.
    """

    def __init__(
        self,
        name: str,
        own: MemberId,
        settings: LeaseSettings,
        calls: StoreCalls,
        generator: random.Random,
        is_gone: Callable[[MemberId], bool] = lambda holder: False,
    ):
        self.name = name
        self._own = own
        self._settings = settings
        self._calls = calls
        self._random = generator
        self._is_gone = is_gone
        self.record: LeaseRecord | None = None
        self.is_read = False
        self._version: int | None = None
        self._version_seen_s = 0.0
        self._call_pending = False
        self._next_call_s = 0.0
        self._valid_until_s = -math.inf
        self._last_nonce = 0
        self._sent_at_s: dict[int, float] = {}

    @property
    def fencing(self) -> int:
        """Fencing number of this process; valid only while it holds the lease."""
        return self.record.fencing if self.record else 0

    def is_held(self, now_s: float) -> bool:
        """Return whether this process certainly holds the lease."""
        return now_s < self._valid_until_s

    def is_held_elsewhere(self, now_s: float) -> bool:
        """Return whether another process holds the lease, as of the last read."""
        return (
            self.is_read
            and not self.is_held(now_s)
            and self.record is not None
            and self.record.held
            and not self._may_acquire(now_s)
        )

    def tick(self, wanted: bool, now_s: float) -> list[Effect]:
        """Acquire, renew or release the lease as needed.

        Parameters
        ----------
        wanted : bool
            Whether this process wants the lease; if not, the object is not read.
        """
        if self._call_pending or now_s < self._next_call_s:
            return []
        if self.is_held(now_s):
            return self._renew(now_s) if wanted else self.release(now_s)
        if not wanted:
            return []
        if not self.is_read:
            return self.read(now_s)
        if self._may_acquire(now_s):
            return self._acquire(now_s)
        self._next_call_s = now_s + self._settings.poll_every_s
        return self.read(now_s)

    def read(self, now_s: float) -> list[Effect]:
        """Read the object, unless a call is pending."""
        if self._call_pending:
            return []
        self._call_pending = True
        return [self._calls.get(self.name, self._on_read)]

    def release(self, now_s: float, done: str | None = None) -> list[Effect]:
        """Release the lease and store `done`, or keep the stored value if it is None.

        Returns
        -------
        list of Effect
            Empty while a call is pending; the caller then tries again later.
        """
        if self._call_pending or self.record is None:
            return []
        self._valid_until_s = -math.inf
        finished = self.record.done if done is None else done
        return self._write(self.record.fencing, False, finished, now_s)

    def _may_acquire(self, now_s: float) -> bool:
        record = self.record
        if record is None or not record.held or record.holder == self._own:
            return True
        lapse_s = self._settings.lease_s + self._settings.drift_margin_s
        return now_s >= self._version_seen_s + lapse_s or self._is_gone(record.holder)

    def _acquire(self, now_s: float) -> list[Effect]:
        done = self.record.done if self.record else ""
        return self._write(self.fencing + 1, True, done, now_s)

    def _renew(self, now_s: float) -> list[Effect]:
        sent_s = self._valid_until_s - self._settings.lease_s
        if now_s < sent_s + self._settings.renew_every_s:
            return []
        return self._write(self.record.fencing, True, self.record.done, now_s)

    def _write(self, fencing: int, held: bool, done: str, now_s: float) -> list[Effect]:
        self._call_pending = True
        self._last_nonce += 1
        nonce = self._last_nonce
        if held:
            self._sent_at_s[nonce] = now_s
        record = LeaseRecord(*self._own, fencing, nonce, held, done)

        def on_written(answer: StoreAnswer, at_s: float) -> list[Effect]:
            return self._on_written(record, answer, at_s)

        data = msgspec.json.encode(record)
        return [self._calls.write(self.name, data, self._version, on_written)]

    def _on_written(
        self, record: LeaseRecord, answer: StoreAnswer, now_s: float
    ) -> list[Effect]:
        self._call_pending = False
        if answer.ok:
            self._accept(record, answer.version, now_s)
            return []
        # After a conflict or a lost answer, only a read shows who holds the lease.
        self._back_off(now_s)
        if answer.outcome is StoreOutcome.CONFLICT:
            self._valid_until_s = -math.inf
        return self.read(now_s)

    def _on_read(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        self._call_pending = False
        if answer.outcome is StoreOutcome.MISSING:
            self.is_read = True
            self.record, self._version = None, None
            return []
        if not answer.ok:
            self._back_off(now_s)
            return []
        stored = answer.objects[0]
        try:
            record = msgspec.json.decode(stored.value, type=LeaseRecord)
        except msgspec.DecodeError as error:
            self._back_off(now_s)
            return [Warn("lease_unreadable", f"{self.name}: {error}")]
        self.is_read = True
        if self._version is None or stored.version > self._version:
            self._accept(record, stored.version, now_s)
        return []

    def _accept(self, record: LeaseRecord, version: int, now_s: float) -> None:
        self.is_read = True
        self.record, self._version, self._version_seen_s = record, version, now_s
        sent_s = self._sent_at_s.get(record.nonce)
        if record.holder == self._own and record.held and sent_s is not None:
            self._valid_until_s = sent_s + self._settings.lease_s
        else:
            self._valid_until_s = -math.inf
        oldest_s = now_s - 2 * self._settings.lease_s
        self._sent_at_s = {n: s for n, s in self._sent_at_s.items() if s >= oldest_s}

    def _back_off(self, now_s: float) -> None:
        delay_s = self._settings.poll_every_s * (0.2 + 0.3 * self._random.random())
        self._next_call_s = now_s + delay_s
