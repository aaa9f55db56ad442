"""Keeps the refused prompt segments in the store.

A fleet that restarts as a whole reads them back, and operators add and remove them
by hand. Routers learn of new ones from each other, without the store.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from carobstair.core.fleet_view import FleetView, StateKind
from carobstair.edge.crash_guard import CrashGuard, EvidenceRow
from carobstair.edge.state_store import StateStore, StoreConflict, StoreError
from carobstair.logs import get_logger

__all__ = ["RefusalStore"]

logger = get_logger(__name__)

# Routers that write a segment if those before them have not, and their intervals.
MAX_WRITERS = 3
WRITER_INTERVAL_S = 1.0
RETRY_S = 2.0
MAX_RETRIES = 10
# Ids of segments that can be the name of an object.
SEGMENT_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")
# Ends that are written for each segment.
MAX_WRITTEN_ENDS = 16


class _RefusedSpec(msgspec.Struct):
    """Spec of the object of a refused segment, which has the segment's name.

    Without ends, an operator refuses the segment.
    """

    ends: list[tuple[str, int, str]] = []


@dataclass(slots=True)
class RefusalStore:
    """Writes refused segments to the store and applies what is read from it.

    Parameters
    ----------
    guard : CrashGuard
    view : FleetView
    store : StateStore
    rank : callable
        Returns the rank of this router among all for a segment.
    """

    guard: CrashGuard
    view: FleetView
    store: StateStore
    rank: Callable[[str], int]
    _tasks: dict[str, asyncio.Task] = field(default_factory=dict)

    def on_change(self, segment: str, refused: bool, rewrite: bool = False) -> None:
        """Write or delete the object of a segment that is refused or cleared.

        Parameters
        ----------
        rewrite : bool
            Write it although this router knows an object.
        """
        rank = self.rank(segment)
        if rank >= MAX_WRITERS or not SEGMENT_NAME.fullmatch(segment):
            return
        previous = self._tasks.pop(segment, None)
        if previous is not None:
            previous.cancel()
        task = asyncio.create_task(
            self._write(segment, refused, rewrite, rank * WRITER_INTERVAL_S)
        )
        self._tasks[segment] = task
        task.add_done_callback(lambda done: self._forget_task(segment, done))

    def write_again(self) -> None:
        """Write what a store that was restored from a copy may lack."""
        for segment in self.guard.refusals.refused():
            self.on_change(segment, True, rewrite=True)

    def apply(self, names: list[str]) -> None:
        """Apply objects that were written or deleted in the store."""
        now_s = time.monotonic()
        refusals = self.guard.refusals
        for segment in names:
            change = self.view.objects(StateKind.REFUSED_SEGMENTS).get(segment)
            if change is None:
                refusals.forget(segment)
                logger.info("refused_segment_deleted", segment=segment)
                continue
            try:
                spec = msgspec.json.decode(change.spec, type=_RefusedSpec)
            except msgspec.DecodeError as error:
                logger.warning(
                    "refused_segment_unreadable", segment=segment, error=str(error)
                )
                continue
            if not spec.ends:
                refusals.refuse(segment, now_s)
            rows: list[EvidenceRow] = [(*end, [segment]) for end in spec.ends]
            self.guard.merge_summary("store", rows)
        self.guard.publish()

    def _forget_task(self, segment: str, task: asyncio.Task) -> None:
        if self._tasks.get(segment) is task:
            del self._tasks[segment]

    async def _write(
        self, segment: str, refused: bool, rewrite: bool, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        for _ in range(MAX_RETRIES):
            known = segment in self.view.objects(StateKind.REFUSED_SEGMENTS)
            if refused is not self._is_refused(segment):
                return
            if known is refused and not rewrite:
                return
            try:
                if refused:
                    spec = _RefusedSpec(self._ends(segment))
                    content = msgspec.to_builtins(spec)
                    await self.store.put(StateKind.REFUSED_SEGMENTS, segment, content)
                else:
                    await self.store.delete(StateKind.REFUSED_SEGMENTS, segment)
            except StoreConflict:
                # Deleted by another router.
                return
            except StoreError as error:
                logger.info(
                    "refused_segment_not_written", segment=segment, error=str(error)
                )
                await asyncio.sleep(RETRY_S)
            else:
                logger.info("refused_segment_written", segment=segment, refused=refused)
                return

    def _is_refused(self, segment: str) -> bool:
        return self.guard.refusals.is_refused((segment,))

    def _ends(self, segment: str) -> list[tuple[str, int, str]]:
        rows = self.guard.refusals.refused_ends()
        ends = [(*upstream, request) for upstream, request, s in rows if s == segment]
        return ends[:MAX_WRITTEN_ENDS]
