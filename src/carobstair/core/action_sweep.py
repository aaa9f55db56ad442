"""Garbage collection of expired action records, at a bounded rate of store calls.

Records are named by hashes, which are evenly distributed, so a prefix of the hash
selects a bounded partition of a workspace's records. The prefix gets longer where a
partition is too large.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from carobstair.core.action_records import RECORD_PREFIX, RETENTION_S, ActionRecord
from carobstair.core.shares import rendezvous_rank

__all__ = ["ActionSweep", "SweepSettings", "is_sweeper"]

HEX_DIGITS = "0123456789abcdef"


@dataclass(frozen=True, slots=True)
class SweepSettings:
    """Rates and limits of the sweep.

    Attributes
    ----------
    list_every_s : float
        Time between two list calls.
    delete_every_s : float
        Time between two deletes. As one router sweeps, this bounds the rate of
        writes.
    max_listed : int
        Number of records in one list answer above which the prefix gets longer.
    """

    list_every_s: float = 2.0
    delete_every_s: float = 0.02
    max_listed: int = 200


class ActionSweep:
    """Iterates over all workspaces and their prefixes in an endless cycle.

    Parameters
    ----------
    settings : SweepSettings
    """

    def __init__(self, settings: SweepSettings):
        self._settings = settings
        self._digits: dict[str, int] = {}
        self._position = ("", 0)

    def next_prefix(self, workspaces: Iterable[str]) -> str | None:
        """Return the next prefix to list, or None if there are no workspaces."""
        names = sorted(workspaces)
        if not names:
            return None
        workspace, index = self._position
        if workspace not in names or index >= self._partition_count(workspace):
            workspace = next((n for n in names if n > workspace), names[0])
            index = 0
        self._position = (workspace, index + 1)
        return f"{RECORD_PREFIX}{workspace}/{self._hash_prefix(workspace, index)}"

    def adjust_prefix_length(self, prefix: str, count: int) -> None:
        """Adjust a workspace's prefix length to the number of records listed."""
        workspace = prefix.removeprefix(RECORD_PREFIX).partition("/")[0]
        digits = self._digits.get(workspace, 0)
        if count > self._settings.max_listed:
            self._set_digits(workspace, digits + 1)
        elif digits and count * len(HEX_DIGITS) * 2 < self._settings.max_listed:
            self._set_digits(workspace, digits - 1)

    def is_expired(self, record: ActionRecord, unix_s: float) -> bool:
        """Return whether a record's retention period is over."""
        return unix_s - record.created_unix_s > RETENTION_S

    def _set_digits(self, workspace: str, digits: int) -> None:
        self._digits[workspace] = digits
        if self._position[0] == workspace:
            # The partitions have changed, so the workspace starts over.
            self._position = (workspace, 0)

    def _partition_count(self, workspace: str) -> int:
        return len(HEX_DIGITS) ** self._digits.get(workspace, 0)

    def _hash_prefix(self, workspace: str, index: int) -> str:
        digits = self._digits.get(workspace, 0)
        return f"{index:0{digits}x}" if digits else ""


def is_sweeper(own: str, live_peers: Iterable[str]) -> bool:
    """Return whether this router runs the sweep; two at a time are harmless."""
    return rendezvous_rank("action sweep", sorted({*live_peers, own}))[0] == own
