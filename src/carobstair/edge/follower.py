"""Replicates the store's state: one list, then watches, for each kind."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from carobstair.core.fleet_view import (
    FleetView,
    Stamp,
    StateKind,
    StoreAvailability,
)
from carobstair.edge.settings import SyncSettings
from carobstair.edge.state_store import (
    Listing,
    RevisionExpired,
    StateStore,
    StoreError,
)
from carobstair.logs import get_logger

__all__ = ["StoreFollower"]

logger = get_logger(__name__)

# Wait of a watch that only checks whether the store responds.
PROBE_WAIT_S = 0.001


class StoreFollower:
    """Keeps a `FleetView` in sync with the store.

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
    ):
        self._store = store
        self._view = view
        self._availability = availability
        self._settings = settings
        self._rng = rng
        self._on_change = on_change
        self._count_peers = count_peers
        self._on_restore = on_restore
        self._stamps: dict[StateKind, Stamp] = {}
        self._era: int | None = None
        self._watches: dict[StateKind, asyncio.Task] = {}
        # Kinds whose last call failed: the store may have been restored meanwhile.
        self._unsure: set[StateKind] = set()
        self._probing_kind: StateKind | None = None
        self._probe_succeeded = asyncio.Event()

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind in self._view.kinds:
                group.create_task(self._follow(kind))

    async def _follow(self, kind: StateKind) -> None:
        delay_s = self._settings.retry_s
        while True:
            try:
                changed = await self._sync_once(kind)
            except RevisionExpired as error:
                logger.info("store_history_lost", kind=str(kind), error=str(error))
                self._stamps.pop(kind, None)
                self._end_probe(kind)
                # All routers lose the history at the same time.
                spread_s = self._settings.relist_spread_s(self._count_peers())
                await asyncio.sleep(self._rng.uniform(0.0, spread_s))
            except StoreError as error:
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
                    pause_s = self._settings.scaled_watch_pause_s(
                        self._count_peers(), kind
                    )
                    await asyncio.sleep(pause_s)

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

    def _watch_wait_s(self, kind: StateKind) -> float:
        if self._probing_kind is kind or kind in self._unsure:
            # Other kinds may wait for this call, so it must return at once.
            return PROBE_WAIT_S
        peers = self._count_peers()
        if kind is StateKind.UPSTREAMS:
            return self._settings.random_watch_wait_s(peers, self._rng)
        return self._settings.random_quiet_wait_s(peers, kind, self._rng)

    async def _sync_once(self, kind: StateKind) -> bool:
        """List or watch once; return whether a watch returned changes."""
        stamp = self._stamps.get(kind)
        if stamp is None:
            listing = await self._store.list(kind)
            self._note_era(listing.era)
            grace_until_s = self._note_success()
            names = self._view.apply_list(
                kind,
                listing.changes,
                listing.revision,
                grace_until_s,
                time.monotonic(),
                listing.era,
            )
        else:
            listing = await self._watch(kind, stamp)
            grace_until_s = self._note_success()
            names = self._view.apply(
                kind, listing.changes, grace_until_s, time.monotonic()
            )
        self._stamps[kind] = Stamp(listing.era, listing.revision)
        self._unsure.discard(kind)
        if names:
            self._on_change(kind, names)
        return stamp is not None and bool(listing.changes)

    async def _watch(self, kind: StateKind, stamp: Stamp) -> Listing:
        wait_s = self._watch_wait_s(kind)
        watch = self._store.watch(kind, stamp.revision, wait_s, stamp.era)
        task = self._watches[kind] = asyncio.create_task(watch)
        try:
            await asyncio.wait({task})
        finally:
            task.cancel()
        if task.cancelled():
            raise RevisionExpired("the store was restored")
        return task.result()

    def _note_era(self, era: int) -> None:
        previous, self._era = self._era, era
        if previous is None or era <= previous:
            return
        logger.warning("store_restored", era=era, previous_era=previous)
        self._availability.note_restored(time.monotonic())
        # A watch from a revision that was given out again may wait for long.
        for task in self._watches.values():
            task.cancel()
        self._on_restore()

    def _note_success(self) -> float | None:
        now_s = time.monotonic()
        if self._availability.note_success(now_s):
            logger.info("store_regained")
        return self._availability.grace_until_s(now_s)

    def _note_failure(self, kind: StateKind, error: StoreError) -> None:
        self._unsure.add(kind)
        if self._availability.grace_until_s(time.monotonic()) is None:
            logger.warning("store_lost", kind=str(kind), error=str(error))
        self._availability.note_failure(time.monotonic())
