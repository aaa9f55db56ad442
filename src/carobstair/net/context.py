"""Context of a request: its authenticated caller, deadline and attempts."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.state import Workspace

__all__ = ["CallerContext", "Progress"]


@dataclass(frozen=True, slots=True)
class CallerContext:
    """An authenticated caller's request; times are monotonic seconds.

    Attributes
    ----------
    request_id : str
        Chosen by the caller or generated. Not unique, since callers of different
        workspaces may choose the same one; never used as a key in the router.
    """

    request_id: str
    workspace: Workspace
    arrived_s: float
    deadline_s: float


@dataclass(slots=True)
class Progress:
    """State of a request's attempts, for its log line and counters.

    Attributes
    ----------
    upstream : str
        Upstream of the latest attempt.
    may_have_run : bool
        Whether an attempt was sent and not refused by its upstream.
    """

    upstream: str = ""
    may_have_run: bool = False
