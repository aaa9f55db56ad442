"""Which action records to look at and delete, within the store's rates.

Names of records are evenly spread hashes, so a prefix of the hash selects a bounded
part of a workspace's records; the prefix grows where a part is too large.
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
    """Rates of the sweep.

    Attributes
    ----------
    list_every_s : float
        Time between two lists of records.
    delete_every_s : float
        Time between two deletes; with one sweeper, its bound on writes.
    max_listed : int
        Records in one answer beyond which the prefix gets longer.
    """

    list_every_s: float = 2.0
    delete_every_s: float = 0.02
    max_listed: int = 200


class ActionSweep:
    """Goes round all workspaces and prefixes, again and again.

    Parameters
    ----------
    settings : SweepSettings
    """

    def __init__(self, settings: SweepSettings):
        self._settings = settings
        self._digits: dict[str, int] = {}
        self._position = ("", 0)

    def next_prefix(self, workspaces: Iterable[str]) -> str | None:
        """Return the next prefix to list, or None without any workspace."""
        names = sorted(workspaces)
        if not names:
            return None
        workspace, index = self._position
        if workspace not in names or index >= self._parts(workspace):
            workspace = next((n for n in names if n > workspace), names[0])
            index = 0
        self._position = (workspace, index + 1)
        return f"{RECORD_PREFIX}{workspace}/{self._hash_prefix(workspace, index)}"

    def note_listed(self, prefix: str, count: int) -> None:
        """Adapt the size of a workspace's parts to how many records one has."""
        workspace = prefix.removeprefix(RECORD_PREFIX).partition("/")[0]
        digits = self._digits.get(workspace, 0)
        if count > self._settings.max_listed:
            self._set_digits(workspace, digits + 1)
        elif digits and count * len(HEX_DIGITS) * 2 < self._settings.max_listed:
            self._set_digits(workspace, digits - 1)

    def is_due(self, record: ActionRecord, unix_s: float) -> bool:
        """Return whether a record is past its retention."""
        return unix_s - record.created_unix_s > RETENTION_S

    def _set_digits(self, workspace: str, digits: int) -> None:
        self._digits[workspace] = digits
        if self._position[0] == workspace:
            # The parts have changed; begin the workspace again.
            self._position = (workspace, 0)

    def _parts(self, workspace: str) -> int:
        return len(HEX_DIGITS) ** self._digits.get(workspace, 0)

    def _hash_prefix(self, workspace: str, index: int) -> str:
        digits = self._digits.get(workspace, 0)
        return f"{index:0{digits}x}" if digits else ""


def is_sweeper(own: str, live_peers: Iterable[str]) -> bool:
    """Return whether this router sweeps; two that think so do no harm."""
    return rendezvous_rank("action sweep", sorted({*live_peers, own}))[0] == own
