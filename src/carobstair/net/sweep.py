"""Driver of the sweep that deletes action records past their retention period."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from returns.result import Failure, Success

from carobstair.core.action_records import RecordError, decode_record
from carobstair.core.action_sweep import ActionSweep, SweepSettings, is_sweeper
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.platform import ApiObject, ObjectApi

__all__ = ["SweepDriver"]

logger = get_logger(__name__)


class SweepDriver:
    """Lists and deletes records at a bounded rate while this router is the sweeper.

    Parameters
    ----------
    own : str
        Name of this instance.
    store : ObjectApi
    live_peers : callable
        Returns the names of the routers believed to be alive.
    state : callable
        Returns the fleet state in force.
    settings : SweepSettings
    """

    def __init__(
        self,
        own: str,
        store: ObjectApi,
        live_peers: Callable[[], set[str]],
        state: Callable[[], FleetState],
        settings: SweepSettings,
    ):
        self._own = own
        self._store = store
        self._live_peers = live_peers
        self._state = state
        self._settings = settings
        self._sweep = ActionSweep(settings)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(self._settings.list_every_s)
            if is_sweeper(self._own, self._live_peers()):
                try:
                    await self.sweep_once()
                except Exception:
                    logger.exception("action_sweep_failed")

    async def sweep_once(self) -> int:
        """List the next prefix, delete its expired records and return their number."""
        prefix = self._sweep.next_prefix(self._state().workspaces)
        if prefix is None:
            return 0
        match await self._store.list(prefix):
            case Success((_, found)):
                self._sweep.adjust_prefix_length(prefix, len(found))
            case Failure(_):
                return 0
        deleted = 0
        for stored in found:
            if self._is_due(stored):
                # The version check prevents deleting a record whose key was reused.
                await self._store.delete(stored.name, stored.version)
                deleted += 1
                await asyncio.sleep(self._settings.delete_every_s)
        if deleted:
            logger.info("action_records_deleted", prefix=prefix, count=deleted)
        return deleted

    def _is_due(self, stored: ApiObject) -> bool:
        try:
            record = decode_record(stored.value)
        except RecordError as error:
            logger.warning("action_record_unreadable", error=str(error))
            return False
        return self._sweep.is_expired(record, time.time())
