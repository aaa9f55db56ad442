"""Connects to upstreams that may have ended, to see whether they have."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.directory import UpstreamEntry
from carobstair.core.segment_record import Incarnation
from carobstair.edge.upstream_connection import ConnectionBroken, connect
from carobstair.logs import get_logger

__all__ = ["PROBE_WAIT_S", "EndProbes"]

logger = get_logger(__name__)

# Times after a broken answer at which the upstream is connected to: a process that
# ends closes its connections and its listening socket within some milliseconds.
FIRST_DELAY_S = 0.02
SECOND_DELAY_S = 0.3
# Maximum time that a retry waits for the first connect.
PROBE_WAIT_S = 0.05
# If the wait ends later than that by this, the event loop was late, and so was the
# probe.
LATE_WAIT_S = 0.01
# Number of first connects of a probe, as further broken answers begin it again. It must
# come to a result at an upstream that lives and breaks off all its answers.
MAX_STARTS = 6
# Factor by which the first delay grows with each of them. With a constant delay, all
# routers of a large fleet together connected to such an upstream 1,800 times a second.
DELAY_GROWTH = 2.0


@dataclass(slots=True)
class _Probe:
    """A probe under way.

    Attributes
    ----------
    broken : asyncio.Event
        Set when another answer of the upstream broke off.
    """

    broken: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None


@dataclass(slots=True)
class EndProbes:
    """One probe at a time of each upstream that may have ended.

    Parameters
    ----------
    on_unreachable : callable
        Called with the upstream and the error if a connect failed.
    on_alive : callable
        Called with the upstream if both connects succeeded.
    """

    on_unreachable: Callable[[UpstreamEntry, ConnectionBroken], None]
    on_alive: Callable[[UpstreamEntry], None]
    _probes: dict[Incarnation, _Probe] = field(default_factory=dict)

    def begin(self, entry: UpstreamEntry, broken: bool = False) -> None:
        """Probe an upstream unless it is being probed.

        Parameters
        ----------
        broken : bool
            Whether an answer has just broken off; the upstream is then connected to
            again, even if a connect succeeded before. This is later each time.
        """
        upstream = entry.upstream_id, entry.born_ms
        probe = self._probes.get(upstream)
        if probe is None:
            probe = self._probes[upstream] = _Probe()
            probe.task = asyncio.create_task(self._run(entry, probe.broken))
            probe.task.add_done_callback(lambda _: self._probes.pop(upstream, None))
        elif broken:
            probe.broken.set()

    async def wait(self, upstream: Incarnation) -> None:
        """Wait for the first connect of a probe under way, for a short time."""
        probe = self._probes.get(upstream)
        if probe is None or probe.task is None:
            return
        due_s = time.monotonic() + PROBE_WAIT_S
        await asyncio.wait({probe.task}, timeout=PROBE_WAIT_S)
        if not probe.task.done() and time.monotonic() - due_s > LATE_WAIT_S:
            await asyncio.wait({probe.task}, timeout=PROBE_WAIT_S)

    async def _run(self, entry: UpstreamEntry, broken: asyncio.Event) -> None:
        for start in range(MAX_STARTS):
            broken.clear()
            await asyncio.sleep(FIRST_DELAY_S * DELAY_GROWTH**start)
            if await self._is_unreachable(entry):
                return
            # An answer that broke off since then may be the first sign of the end.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(broken.wait(), SECOND_DELAY_S)
            if not broken.is_set():
                break
        else:
            await asyncio.sleep(SECOND_DELAY_S)
        # A process that ended would still be starting again.
        if not await self._is_unreachable(entry):
            self.on_alive(entry)

    async def _is_unreachable(self, entry: UpstreamEntry) -> bool:
        try:
            connection = await connect(entry.host, entry.port)
        except ConnectionBroken as error:
            logger.info(
                "upstream_probe_failed",
                upstream=entry.upstream_id,
                detail=str(error),
            )
            self.on_unreachable(entry, error)
            return True
        connection.abort()
        return False
