"""Follows the store: one list, then watches, for each kind of state."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from carobstair.core.fleet_view import FleetView, StateKind, StoreTrust
from carobstair.edge.settings import SyncSettings
from carobstair.edge.state_store import HistoryLost, StateStore, StoreError
from carobstair.logs import get_logger

__all__ = ["StoreFollower"]

logger = get_logger(__name__)

# Of a watch that only finds out whether the store answers.
PROBE_WAIT_S = 0.001


class StoreFollower:
    """Keeps a `FleetView` as new as the store.

    Parameters
    ----------
    store : StateStore
    view : FleetView
    trust : StoreTrust
    settings : SyncSettings
    rng : random.Random
    on_news : callable
        Called with the kind and the names that changed.
    count_peers : callable
        Returns the number of routers beside this one.
    """

    def __init__(
        self,
        store: StateStore,
        view: FleetView,
        trust: StoreTrust,
        settings: SyncSettings,
        rng: random.Random,
        on_news: Callable[[StateKind, list[str]], None],
        count_peers: Callable[[], int] = lambda: 0,
    ):
        self._store = store
        self._view = view
        self._trust = trust
        self._settings = settings
        self._rng = rng
        self._on_news = on_news
        self._count_peers = count_peers
        self._revisions: dict[StateKind, int] = {}
        self._prober: StateKind | None = None
        self._answering = asyncio.Event()

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind in StateKind:
                group.create_task(self._follow(kind))

    async def _follow(self, kind: StateKind) -> None:
        delay_s = self._settings.retry_s
        while True:
            try:
                changed = await self._step(kind)
            except HistoryLost:
                logger.info("store_history_lost", kind=str(kind))
                self._revisions.pop(kind, None)
                self._note_answer(kind)
            except StoreError as error:
                self._note_failure(kind, error)
                await self._before_retry(kind, delay_s)
                longest_s = self._settings.retry_limit_s(self._count_peers())
                delay_s = min(2 * delay_s, longest_s)
            else:
                delay_s = self._settings.retry_s
                self._note_answer(kind)
                if changed:
                    pause_s = self._settings.pause_s(self._count_peers())
                    await asyncio.sleep(pause_s)

    def _note_answer(self, kind: StateKind) -> None:
        if self._prober is kind:
            self._prober = None
            self._answering.set()

    async def _before_retry(self, kind: StateKind, delay_s: float) -> None:
        """Wait before the next call after one that failed.

        One kind tries again at intervals, the others once it has succeeded: a store
        that is away or turns this router away is asked by each router just once at
        a time.
        """
        if self._prober is None:
            self._prober = kind
            self._answering.clear()
        if self._prober is kind:
            # Jitter keeps the routers from returning to the store at once.
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
        else:
            await self._answering.wait()

    def _wait_s(self, kind: StateKind) -> float:
        if self._prober is kind:
            # The others wait to hear whether the store answers at all.
            return PROBE_WAIT_S
        wait_s = self._settings.draw_watch_s(self._count_peers(), self._rng)
        if kind is StateKind.ROUTERS:
            wait_s = max(wait_s, self._settings.routers_wait_s)
        return wait_s

    async def _step(self, kind: StateKind) -> bool:
        """Return whether a watch brought changes."""
        revision = self._revisions.get(kind)
        if revision is None:
            listing = await self._store.list(kind)
            lapse_until_s = self._note_success()
            names = self._view.apply_list(
                kind,
                listing.changes,
                listing.revision,
                lapse_until_s,
                time.monotonic(),
            )
        else:
            listing = await self._store.watch(kind, revision, self._wait_s(kind))
            lapse_until_s = self._note_success()
            names = self._view.apply(
                kind, listing.changes, lapse_until_s, time.monotonic()
            )
        self._revisions[kind] = listing.revision
        if names:
            self._on_news(kind, names)
        return revision is not None and bool(listing.changes)

    def _note_success(self) -> float | None:
        now_s = time.monotonic()
        if self._trust.note_success(now_s):
            logger.info("store_regained")
        return self._trust.lapse_until_s(now_s)

    def _note_failure(self, kind: StateKind, error: StoreError) -> None:
        if self._trust.lapse_until_s(time.monotonic()) is None:
            logger.warning("store_lost", kind=str(kind), error=str(error))
        self._trust.note_failure(time.monotonic())
