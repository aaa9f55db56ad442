"""Orders to upstreams: load model versions and change role, as tickets require.

One process per upstream, its first live share holder, compares the wanted state
with that of the last finished order. It sends an order only while it holds a lease
with a fencing number and, because loading uses the weight store, one of a few load
slots.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.effects import Effect, SendOrder
from carobstair.core.leases import Lease, LeaseSettings
from carobstair.core.shares import Epoch, MemberId
from carobstair.core.state import FleetState, Upstream, UpstreamState
from carobstair.core.store_calls import StoreCalls

__all__ = ["OrderManager", "OrderOutcome", "OrderSettings"]


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Settings of orders.

    Attributes
    ----------
    load_slots : int
        Largest number of concurrent loads from the weight store, over the whole
        fleet.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    load_slots: int = 2
    retry_s: float = 5.0


class OrderOutcome(StrEnum):
    """Result of an order; after `UNKNOWN` the order may have run."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Job:
    """Wanted state of one upstream and progress of its order."""

    lease: Lease
    wanted: str = ""
    slot: Lease | None = None
    order: int | None = None
    finished: str = ""
    next_s: float = 0.0


class OrderManager:
    """Sends the orders of the upstreams that are assigned to this process.

    Parameters
    ----------
    own : tuple of (str, int)
    settings : OrderSettings
    calls : StoreCalls
    generator : random.Random
    is_gone : callable
        Returns whether a process is believed to have ended.
    """

    def __init__(
        self,
        own: MemberId,
        settings: OrderSettings,
        calls: StoreCalls,
        generator: random.Random,
        is_gone: Callable[[MemberId], bool],
    ):
        self._own = own
        self._settings = settings
        self._calls = calls
        self._random = generator
        self._is_gone = is_gone
        self._jobs: dict[str, _Job] = {}
        self._orders: dict[int, str] = {}
        self._incarnations: dict[str, str] = {}
        self._slots = [
            Lease(f"order-slots/{i}", own, settings.lease, calls, generator)
            for i in range(settings.load_slots)
        ]
        self._slot_users: dict[str, str] = {}
        self._polled: tuple[str, ...] = ()
        self._assigned: dict[str, Upstream] = {}
        self._assignment_key: tuple[int, int, int] | None = None
        self._assignment_inputs: tuple[FleetState, frozenset[str]] | None = None

    def upstreams_to_poll(self) -> tuple[str, ...]:
        """Return the upstreams whose incarnation the driver has to poll."""
        return self._polled

    def note_incarnation(self, upstream: str, incarnation: str) -> None:
        """Record an upstream's incarnation; a new one has lost its loaded versions."""
        self._incarnations[upstream] = incarnation

    def on_answer(self, order: int, outcome: OrderOutcome, now_s: float) -> None:
        """Record the result of an order."""
        job = self._jobs.get(self._orders.pop(order, ""))
        if job is None or job.order != order:
            return
        job.order = None
        if outcome is OrderOutcome.DONE:
            job.finished = job.wanted
        else:
            job.next_s = now_s + self._settings.retry_s

    def tick(
        self,
        state: FleetState,
        live: frozenset[str],
        epoch: Epoch,
        may_start: bool,
        now_s: float,
    ) -> list[Effect]:
        """Run what is due.

        Parameters
        ----------
        live : frozenset of str
            The other live instances; the same object until the set changes.
        epoch : Epoch
            The newest epoch, which names the share holders.
        may_start : bool
            Whether this process may start orders.
        """
        if not may_start:
            assigned: dict[str, Upstream] = {}
        else:
            key = (id(state), id(live), epoch.number)
            if key != self._assignment_key:
                # References are kept, so that the ids are not reused.
                self._assignment_key, self._assignment_inputs = key, (state, live)
                self._assign(state, live, epoch)
            assigned = self._assigned
        self._polled = tuple(assigned)
        if not assigned and not self._jobs:
            return []
        effects: list[Effect] = []
        for name in sorted(assigned.keys() | self._jobs.keys()):
            effects += self._advance(name, assigned.get(name), now_s)
        return effects

    def _assign(self, state: FleetState, live: frozenset[str], epoch: Epoch) -> None:
        """Assign the upstreams of which this process is the first live share holder.

        Only share holders are considered, because ranking all live names for each
        upstream would stall a large fleet at every membership change.
        """
        self._assigned = {
            name: upstream
            for name, upstream in sorted(state.upstreams.items())
            if _wants_orders(upstream) and self._is_assigned(name, live, epoch)
        }

    def _is_assigned(self, upstream: str, live: frozenset[str], epoch: Epoch) -> bool:
        for holder in epoch.holders(upstream):
            if holder[0] == self._own[0] or holder[0] in live:
                return holder == self._own
        return False

    def _advance(
        self, name: str, upstream: Upstream | None, now_s: float
    ) -> list[Effect]:
        incarnation = self._incarnations.get(name)
        job = self._jobs.get(name)
        if upstream is None or incarnation is None:
            return [] if job is None else self._abandon(name, job, now_s)
        if job is None:
            job = self._jobs[name] = _Job(self._make_lease(name, upstream))
        if job.order is not None:
            # The order is running; both leases are renewed until it is answered.
            return self._renew_leases(job, now_s)
        job.wanted = _fingerprint(upstream, incarnation)
        if not job.lease.is_read:
            return job.lease.tick(True, now_s)
        record = job.lease.record
        if record is not None and record.done == job.wanted:
            job.finished = ""
            return self._release(name, job, now_s)
        if job.finished == job.wanted:
            return self._record_finished(name, job, now_s)
        if now_s < job.next_s:
            return self._renew_leases(job, now_s)
        return self._order(name, job, upstream, now_s)

    def _make_lease(self, name: str, upstream: Upstream) -> Lease:
        # An upstream that checks fencing numbers refuses orders of the previous
        # holder by itself. For any other, the previous lease has to expire first.
        is_gone = self._is_gone if upstream.checks_fencing else lambda holder: False
        return Lease(
            f"orders/{name}",
            self._own,
            self._settings.lease,
            self._calls,
            self._random,
            is_gone,
        )

    def _order(
        self, name: str, job: _Job, upstream: Upstream, now_s: float
    ) -> list[Effect]:
        effects = job.lease.tick(True, now_s)
        if not job.lease.is_held(now_s):
            return effects
        if upstream.wanted_versions:
            effects += self._acquire_slot(name, job, now_s)
            if job.slot is None or not job.slot.is_held(now_s):
                return effects
        number = self._calls.next_number()
        job.order = number
        self._orders[number] = name
        order = SendOrder(
            number,
            name,
            job.lease.fencing,
            upstream.wanted_versions,
            upstream.wanted_role,
        )
        return [*effects, order]

    def _acquire_slot(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        if job.slot is not None and job.slot.is_held_elsewhere(now_s):
            self._slot_users.pop(job.slot.name, None)
            job.slot = None
        if job.slot is None:
            free = [s for s in self._slots if s.name not in self._slot_users]
            if not free:
                return []
            # A random one, so that over time all are tried: only reading a slot
            # again shows that its lease has expired.
            job.slot = self._random.choice(free)
            self._slot_users[job.slot.name] = name
        return job.slot.tick(True, now_s)

    def _renew_leases(self, job: _Job, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for lease in (job.lease, job.slot):
            if lease is not None and lease.is_held(now_s):
                effects += lease.tick(True, now_s)
        return effects

    def _record_finished(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        """Store the finished order in the lease, if this process still holds it."""
        if not job.lease.is_held(now_s):
            job.finished = ""
            return [*self._release_slot(job, now_s), *job.lease.read(now_s)]
        effects = job.lease.release(now_s, job.finished)
        return effects + self._release_slot(job, now_s)

    def _release(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        effects = self._release_slot(job, now_s)
        if job.lease.is_held(now_s):
            effects += job.lease.tick(False, now_s)
        return effects

    def _abandon(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        if job.order is not None:
            return self._renew_leases(job, now_s)
        effects = self._release(name, job, now_s)
        if job.slot is None and not job.lease.is_held(now_s):
            del self._jobs[name]
        return effects

    def _release_slot(self, job: _Job, now_s: float) -> list[Effect]:
        slot = job.slot
        if slot is None:
            return []
        effects = slot.tick(False, now_s)
        if not slot.is_held(now_s):
            self._slot_users.pop(slot.name, None)
            job.slot = None
        return effects


def _wants_orders(upstream: Upstream) -> bool:
    wants = bool(upstream.wanted_versions or upstream.wanted_role)
    return wants and upstream.state is UpstreamState.LIVE


def _fingerprint(upstream: Upstream, incarnation: str) -> str:
    versions = ",".join(upstream.wanted_versions)
    return f"{incarnation}/{versions}/{upstream.wanted_role}"
