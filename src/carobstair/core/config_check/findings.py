"""Findings of a check and the settings of its rules."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.send_limits import SendLimitSettings

__all__ = [
    "DEFAULT_BODY_MEMORY_BYTES",
    "CheckSettings",
    "Finding",
    "Path",
    "Severity",
    "format_path",
]

# Names and positions from the root of the document to the entry. The names are those
# of the data classes in core, which an adapter translates to its own.
Path = tuple[str | int, ...]

# The default of routers (`EdgeSettings.max_body_memory_bytes`).
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024

PLAIN_NAME = re.compile(r"[A-Za-z0-9_-]+")


class Severity(StrEnum):
    """How serious a finding is.

    Only documents that a router refuses have errors. A warning is an entry that can't
    work as it is written, and a change is a difference from what is in force.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


@dataclass(frozen=True, slots=True)
class Finding:
    """What a rule has found.

    Attributes
    ----------
    rule : str
        Identifier that stays the same over releases.
    message : str
        One sentence on the fault, or on what a change does to callers.
    action : str
        What to do about it.
    """

    rule: str
    severity: Severity
    path: Path
    message: str
    action: str


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """Figures that the rules need and that no document holds.

    Attributes
    ----------
    body_memory_bytes : int
        Memory for request bodies of the smallest router; the default is that of
        routers.
    resend_ratio : float or None
        Resends that the fleet allows, as a fraction of the requests; None if unknown.
    engines : mapping of str to int
        Number of engines by service, where it is known.
    cold_overshoot, cold_slack : float
        See `SendLimitSettings`.
    """

    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    resend_ratio: float | None = None
    engines: Mapping[str, int] = field(default_factory=dict)
    cold_overshoot: float = SendLimitSettings().cold_overshoot
    cold_slack: float = SendLimitSettings().cold_slack


def format_path(path: Path, names: Mapping[str, str] | None = None) -> str:
    """Return a path as text, such as ``routes[3].timeout_s``.

    Parameters
    ----------
    names : mapping of str to str, optional
        The document's name of each field that it names differently.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        part = (names or {}).get(part, part)
        if PLAIN_NAME.fullmatch(part):
            text += f".{part}" if text else part
        else:
            text += f'["{part}"]'
    return text or "document"
