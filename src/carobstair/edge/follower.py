"""Replicates the store's state: one list, then watches, for each kind."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

from carobstair.core.fleet_view import (
    FleetView,
    Stamp,
    StateKind,
    StoreAvailability,
)
from carobstair.core.store_following import (
    URGENT_KINDS,
    FollowingSettings,
    StoreFollowing,
)
from carobstair.edge.settings import SyncSettings
from carobstair.edge.state_store import (
    Listing,
    RevisionExpired,
    StateStore,
    StoreCut,
    StoreError,
    StoreTimedOut,
)
from carobstair.logs import get_logger

__all__ = ["StoreFollower"]

logger = get_logger(__name__)

# Wait of a watch that only checks whether the store responds.
PROBE_WAIT_S = 0.001
# All watches of a fleet may be cut off at the same time.
CUT_SPREAD_S = 0.02


class _WatchInterrupted(Exception):
    """A watch was ended by this router, to stop or to check the store."""


class StoreFollower:
    """Keeps a `FleetView` in sync with the store.

    While `following` says that other routers watch, nothing is watched here, and a
    kind is listed only if it has to be.

    Parameters
    ----------
    store : StateStore
    view : FleetView
    availability : StoreAvailability
    settings : SyncSettings
    rng : random.Random
    on_change : callable
        Called with a kind of state and the names of the objects that changed.
    count_peers : callable
        Returns the number of other routers in the fleet.
    on_restore : callable, optional
        Called when the store has come back from an older copy.
    following : StoreFollowing, optional
        Decides whether this router watches.

    Attributes
    ----------
    on_changes_read : callable
        Called when a list or a watch has returned changes.
    """

    def __init__(
        self,
        store: StateStore,
        view: FleetView,
        availability: StoreAvailability,
        settings: SyncSettings,
        rng: random.Random,
        on_change: Callable[[StateKind, list[str]], None],
        count_peers: Callable[[], int] = lambda: 0,
        on_restore: Callable[[], None] = lambda: None,
        following: StoreFollowing | None = None,
    ):
        self._store = store
        self._view = view
        self._availability = availability
        self._settings = settings
        self._rng = rng
        self._on_change = on_change
        self._count_peers = count_peers
        self._on_restore = on_restore
        self._following = following or StoreFollowing(
            "", "", view.kinds, FollowingSettings(), availability, rng
        )
        self._reads = self._following.reads
        self.on_changes_read: Callable[[], None] = lambda: None
        self._era: int | None = None
        self._relisted_era: int | None = None
        self._watches: dict[StateKind, asyncio.Task] = {}
        # Kinds whose watch was ended by `_interrupt`.
        self._interrupted: set[StateKind] = set()
        self._wakes: defaultdict[StateKind, asyncio.Event] = defaultdict(asyncio.Event)
        # Kinds whose last call failed: the store may have been restored meanwhile.
        self._unsure: set[StateKind] = set()
        # Kinds whose last call returned changes.
        self._changed: set[StateKind] = set()
        self._probing_kind: StateKind | None = None
        self._probe_succeeded = asyncio.Event()

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind in self._view.kinds:
                group.create_task(self._follow(kind))

    def note_role(self) -> None:
        """Begin or stop watching, as `following` says."""
        if not self._following.watches:
            self._interrupt(kind for kind in self._view.kinds if self._reads.read(kind))
            return
        # Calls that return at once show what this router has missed, and a restore.
        self._unsure.update(self._view.kinds)
        for wake in self._wakes.values():
            wake.set()

    def verify(self) -> None:
        """Check by short calls that the store still answers watches of urgent kinds."""
        kinds = [
            k for k in self._view.kinds if k in URGENT_KINDS and self._is_watching(k)
        ]
        self._unsure.update(kinds)
        self._interrupt(kinds)
        self._following.expect_answers(kinds, time.monotonic())

    def renew_watches(self) -> None:
        """Begin the watches of urgent kinds again, with the waits that apply now.

        The wait of a pending watch is that of the role or fleet at its begin, and until
        it is over a lost answer is not noticed.
        """
        # A call that returns at once needs no other wait.
        self._interrupt(URGENT_KINDS - self._unsure)

    def note_era(self, era: int) -> None:
        """List again, if a peer has read a newer era of the store."""
        if self._era is None or era <= max(self._era, self._relisted_era or 0):
            return
        self._relisted_era = era
        logger.info("store_era_heard", era=era, own_era=self._era)
        for kind in self._view.kinds:
            read = self._reads.read(kind)
            if read is not None and read.era < era:
                self._reads.forget(kind)
        self._end_watches()
        for wake in self._wakes.values():
            wake.set()

    def note_era_read(self, era: int) -> None:
        """Record that the state of an era was read from a peer."""
        if self._era is None or era > self._era:
            self._note_era(era)

    def _is_watching(self, kind: StateKind) -> bool:
        task = self._watches.get(kind)
        return task is not None and not task.done()

    def _interrupt(self, kinds: Iterable[StateKind]) -> None:
        for kind in kinds:
            if self._is_watching(kind):
                self._interrupted.add(kind)
                self._watches[kind].cancel()

    def _end_watches(self) -> None:
        """End all watches as if their history was lost."""
        self._interrupted.clear()
        for task in self._watches.values():
            task.cancel()

    async def _wait_until_needed(self, kind: StateKind) -> None:
        """Wait while other routers watch and the kind has been listed."""
        wake = self._wakes[kind]
        while not self._following.watches and self._reads.read(kind) is not None:
            self._end_probe(kind)
            wake.clear()
            await wake.wait()

    async def _follow(self, kind: StateKind) -> None:
        delay_s = self._settings.retry_s
        while True:
            await self._wait_until_needed(kind)
            try:
                changed = await self._sync_once(kind)
            except _WatchInterrupted:
                logger.debug("watch_interrupted", kind=str(kind))
            except RevisionExpired as error:
                logger.info("store_history_lost", kind=str(kind), error=str(error))
                self._reads.forget(kind)
                self._end_probe(kind)
                # All routers lose the history at the same time.
                spread_s = self._settings.relist_spread_s(self._count_peers())
                await asyncio.sleep(self._rng.uniform(0.0, spread_s))
            except StoreError as error:
                if self._was_cut_off(kind, error):
                    # Asked again at once, as that shows whether the store is away.
                    logger.info("watch_cut_off", kind=str(kind), error=str(error))
                    self._unsure.add(kind)
                    await asyncio.sleep(self._rng.uniform(0.0, CUT_SPREAD_S))
                    continue
                self._note_failure(kind, error)
                await self._wait_before_retry(kind, delay_s)
                longest_s = self._settings.retry_limit_s(self._count_peers())
                delay_s = min(2 * delay_s, longest_s)
            except Exception:
                # One kind that can't be applied must not end the others.
                logger.exception("state_not_applied", kind=str(kind))
                self._end_probe(kind)
                await asyncio.sleep(self._settings.max_retry_s)
            else:
                delay_s = self._settings.retry_s
                self._end_probe(kind)
                if changed:
                    await asyncio.sleep(self._pause_s(kind))

    def _was_cut_off(self, kind: StateKind, error: StoreError) -> bool:
        """Return whether a watch ended with its connection while it waited."""
        return (
            isinstance(error, StoreCut)
            and kind not in self._unsure
            and self._probing_kind is not kind
            and self._reads.read(kind) is not None
        )

    def _end_probe(self, kind: StateKind) -> None:
        if self._probing_kind is kind:
            self._probing_kind = None
            self._probe_succeeded.set()

    async def _wait_before_retry(self, kind: StateKind, delay_s: float) -> None:
        """Wait before retrying a failed call.

        One kind retries with backoff; the others wait until it succeeds. Each router
        thus has one call at a time in progress to a store that is down or refuses
        to serve it.
        """
        if self._probing_kind is None:
            self._probing_kind = kind
            self._probe_succeeded.clear()
        if self._probing_kind is kind:
            # Jitter keeps the routers from retrying at the same time.
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
        else:
            await self._probe_succeeded.wait()

    def _pause_s(self, kind: StateKind) -> float:
        if self._following.is_enabled:
            pause_s = self._following.pause_s(kind, time.monotonic())
            if pause_s is not None:
                return pause_s
        return self._settings.scaled_watch_pause_s(self._count_watching(), kind)

    def _count_watching(self) -> int:
        """Return the number of other routers that watch as this one does."""
        if self._following.is_enabled:
            return self._settings.followers_per_zone - 1
        return self._count_peers()

    def _watch_wait_s(self, kind: StateKind) -> float:
        if self._probing_kind is kind or kind in self._unsure:
            # Other kinds may wait for this call, so it must return at once.
            return PROBE_WAIT_S
        if self._following.is_enabled:
            wait_s = self._following.watch_wait_s(kind, time.monotonic())
            if wait_s is not None:
                return wait_s
        peers = self._count_watching()
        if kind is StateKind.UPSTREAMS:
            return self._settings.random_watch_wait_s(peers, self._rng)
        after_change = kind in self._changed
        return self._settings.random_quiet_wait_s(peers, kind, self._rng, after_change)

    async def _sync_once(self, kind: StateKind) -> bool:
        """List or watch once; return whether a watch returned changes."""
        stamp = self._reads.read(kind)
        if stamp is None:
            listing = await self._store.list(kind)
            self._note_era(listing.era)
            grace_until_s = self._note_success(kind)
            names = self._view.apply_list(
                kind,
                listing.changes,
                listing.revision,
                grace_until_s,
                time.monotonic(),
                listing.era,
            )
            self._reads.note_list(kind, Stamp(listing.era, listing.revision))
        else:
            listing = await self._watch(kind, stamp)
            grace_until_s = self._note_success(kind)
            names = self._view.apply(
                kind, listing.changes, grace_until_s, time.monotonic()
            )
            through = Stamp(listing.era, listing.revision)
            self._reads.note_changes(kind, stamp, through, bool(listing.changes))
        if listing.changes or stamp is None or kind in self._unsure:
            self.on_changes_read()
        self._unsure.discard(kind)
        if listing.changes:
            self._changed.add(kind)
        else:
            self._changed.discard(kind)
        if names:
            self._on_change(kind, names)
        if stamp is None and self._following.is_enabled:
            await asyncio.sleep(self._following.start_pause_s())
        return stamp is not None and bool(listing.changes)

    async def _watch(self, kind: StateKind, stamp: Stamp) -> Listing:
        wait_s = self._watch_wait_s(kind)
        watch = self._store.watch(kind, stamp.revision, wait_s, stamp.era)
        self._interrupted.discard(kind)
        task = self._watches[kind] = asyncio.create_task(watch)
        try:
            await asyncio.wait({task})
        finally:
            task.cancel()
        if task.cancelled():
            if kind in self._interrupted:
                raise _WatchInterrupted
            raise RevisionExpired("the store was restored")
        return task.result()

    def _note_era(self, era: int) -> None:
        previous, self._era = self._era, era
        if previous is None or era <= previous:
            return
        logger.warning("store_restored", era=era, previous_era=previous)
        self._availability.note_restored(time.monotonic())
        # A watch from a revision that was given out again may wait for long.
        self._end_watches()
        self._on_restore()

    def _note_success(self, kind: StateKind) -> float | None:
        now_s = time.monotonic()
        self._following.note_success(kind)
        if self._availability.note_success(now_s):
            logger.info("store_regained")
        return self._availability.grace_until_s(now_s)

    def _note_failure(self, kind: StateKind, error: StoreError) -> None:
        self._unsure.add(kind)
        timed_out = isinstance(error, StoreTimedOut)
        if timed_out and not self._following.is_enabled:
            # Answers to the others may be lost as well, which their waits would hide.
            others = [
                k
                for k in self._view.kinds
                if self._is_watching(k) and k not in self._unsure
            ]
            self._unsure.update(others)
            self._interrupt(others)
        self._following.note_failure(kind, timed_out, time.monotonic())
        if self._availability.grace_until_s(time.monotonic()) is None:
            logger.warning("store_lost", kind=str(kind), error=str(error))
        self._availability.note_failure(time.monotonic())
