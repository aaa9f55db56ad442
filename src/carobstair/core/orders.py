"""Orders to upstreams: load versions and change role, as tickets state.

One process per upstream, its first live share holder, compares the wanted state
with what was last finished. It gives the order under a lease with a fencing
number and, as loading uses the weight store, under one of few load slots.
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

__all__ = ["OrderKeeper", "OrderOutcome", "OrderSettings"]


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Settings of orders.

    Attributes
    ----------
    load_slots : int
        Loads that the weight store bears at a time, over the whole fleet.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    load_slots: int = 2
    retry_s: float = 5.0


class OrderOutcome(StrEnum):
    """How an upstream answered an order; an unknown one may have run."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Job:
    """What one upstream wants, and how far the order has come."""

    lease: Lease
    wanted: str = ""
    slot: Lease | None = None
    order: int | None = None
    finished: str = ""
    next_s: float = 0.0


class OrderKeeper:
    """Gives the orders of the upstreams that this process is chosen for.

    Parameters
    ----------
    own : tuple of (str, int)
    settings : OrderSettings
    calls : StoreCalls
    generator : random.Random
    is_gone : callable
        Returns whether a process is believed gone.
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
        self._ordered: tuple[str, ...] = ()
        self._chosen: dict[str, Upstream] = {}
        self._basis: tuple[int, int, int] | None = None
        self._kept: tuple[FleetState, frozenset[str]] | None = None

    def ordered_upstreams(self) -> tuple[str, ...]:
        """Return the upstreams whose incarnation this process has to learn."""
        return self._ordered

    def note_incarnation(self, upstream: str, incarnation: str) -> None:
        """Take in an upstream's incarnation; a new one has lost what it loaded."""
        self._incarnations[upstream] = incarnation

    def on_answer(self, order: int, outcome: OrderOutcome, now_s: float) -> None:
        """Take in how an upstream answered."""
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
        reads: bool,
        now_s: float,
    ) -> list[Effect]:
        """Do what is due.

        Parameters
        ----------
        live : frozenset of str
            The other live instances; the same object as long as none changes.
        epoch : Epoch
            The newest one, which names the share holders.
        reads : bool
            Whether this process may begin orders at all.
        """
        if not reads:
            chosen: dict[str, Upstream] = {}
        else:
            basis = (id(state), id(live), epoch.number)
            if basis != self._basis:
                # The objects are kept, so that their ids stay theirs.
                self._basis, self._kept = basis, (state, live)
                self._choose(state, live, epoch)
            chosen = self._chosen
        self._ordered = tuple(chosen)
        if not chosen and not self._jobs:
            return []
        effects: list[Effect] = []
        for name in sorted(chosen.keys() | self._jobs.keys()):
            effects += self._advance(name, chosen.get(name), now_s)
        return effects

    def _choose(self, state: FleetState, live: frozenset[str], epoch: Epoch) -> None:
        """Find the upstreams of which this is the first live share holder.

        Only holders are asked, because ranking all live names for each upstream
        would stall a large fleet at every change of the view.
        """
        self._chosen = {
            name: upstream
            for name, upstream in sorted(state.upstreams.items())
            if _wants_orders(upstream) and self._is_chosen(name, live, epoch)
        }

    def _is_chosen(self, upstream: str, live: frozenset[str], epoch: Epoch) -> bool:
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
            # The order runs; both leases are kept until its answer.
            return self._hold(job, now_s)
        job.wanted = _fingerprint(upstream, incarnation)
        if not job.lease.is_read:
            return job.lease.tick(True, now_s)
        record = job.lease.record
        if record is not None and record.done == job.wanted:
            job.finished = ""
            return self._let_go(name, job, now_s)
        if job.finished == job.wanted:
            return self._finish(name, job, now_s)
        if now_s < job.next_s:
            return self._hold(job, now_s)
        return self._order(name, job, upstream, now_s)

    def _make_lease(self, name: str, upstream: Upstream) -> Lease:
        # An upstream that checks the number refuses the former orderer by itself;
        # at any other the former lease has to lapse first.
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
            effects += self._take_slot(name, job, now_s)
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

    def _take_slot(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        if job.slot is not None and job.slot.is_blocked(now_s):
            self._slot_users.pop(job.slot.name, None)
            job.slot = None
        if job.slot is None:
            free = [s for s in self._slots if s.name not in self._slot_users]
            if not free:
                return []
            # All are tried in turn, as a lapse shows only by reading again.
            job.slot = self._random.choice(free)
            self._slot_users[job.slot.name] = name
        return job.slot.tick(True, now_s)

    def _hold(self, job: _Job, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for lease in (job.lease, job.slot):
            if lease is not None and lease.is_held(now_s):
                effects += lease.tick(True, now_s)
        return effects

    def _finish(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        """Note the finished order; only its holder may do so."""
        if not job.lease.is_held(now_s):
            job.finished = ""
            return [*self._free_slot(job, now_s), *job.lease.read(now_s)]
        effects = job.lease.release(now_s, job.finished)
        return effects + self._free_slot(job, now_s)

    def _let_go(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        effects = self._free_slot(job, now_s)
        if job.lease.is_held(now_s):
            effects += job.lease.tick(False, now_s)
        return effects

    def _abandon(self, name: str, job: _Job, now_s: float) -> list[Effect]:
        if job.order is not None:
            return self._hold(job, now_s)
        effects = self._let_go(name, job, now_s)
        if job.slot is None and not job.lease.is_held(now_s):
            del self._jobs[name]
        return effects

    def _free_slot(self, job: _Job, now_s: float) -> list[Effect]:
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
