"""Order of the changes of a store that may be restored from an older copy."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Stamp"]


class Stamp(NamedTuple):
    """Order of the changes of a store: by era, and by revision within one."""

    era: int
    revision: int
