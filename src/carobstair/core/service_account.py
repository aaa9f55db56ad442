"""What each workspace asked of a pool and got, so that its share can be explained."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.admission import ROOM, AdmissionDecision

__all__ = ["ROUTER_BUSY", "ServiceAccount", "WorkspaceService"]

# Reason of refusals by a router that has too little time.
ROUTER_BUSY = "router-busy"


@dataclass(slots=True)
class WorkspaceService:
    """Service of one workspace in one pool since the account was last read.

    Attributes
    ----------
    asked_tokens, begun_tokens : float
        Weighted tokens of the requests that arrived, and of those whose answers
        began.
    admitted_tokens, room_tokens : float
        Weighted tokens of the requests that were admitted, and of the part of them
        that exceeded the share and was admitted because engines had room.
    share_per_s, demand_per_s : float
        Share and demand at all routers, as last decided on.
    refused : Counter
        Refused requests by reason.
    """

    pool: str
    workspace: str
    asked_tokens: float = 0.0
    begun_tokens: float = 0.0
    admitted_tokens: float = 0.0
    room_tokens: float = 0.0
    share_per_s: float = 0.0
    demand_per_s: float = 0.0
    refused: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class ServiceAccount:
    """Counts service and refusals by pool and workspace.

    Parameters
    ----------
    on_asked, on_begun : callable
        Called with pool, workspace and weighted tokens.
    on_refused : callable
        Called with pool, workspace and reason.
    """

    on_asked: Callable[[str, str, float], None] = lambda *args: None
    on_begun: Callable[[str, str, float], None] = lambda *args: None
    on_refused: Callable[[str, str, str], None] = lambda *args: None
    _rows: dict[tuple[str, str], WorkspaceService] = field(default_factory=dict)

    def note_asked(self, pool: str, workspace: str, tokens: float) -> None:
        """Count a request that arrived."""
        self._row(pool, workspace).asked_tokens += tokens
        self.on_asked(pool, workspace, tokens)

    def note_begun(self, pool: str, workspace: str, tokens: float) -> None:
        """Count a request whose answer has begun."""
        self._row(pool, workspace).begun_tokens += tokens
        self.on_begun(pool, workspace, tokens)

    def note_decision(
        self,
        pool: str,
        workspace: str,
        tokens: float,
        decision: AdmissionDecision,
    ) -> None:
        """Record a decision on a request; a refusal is counted by `note_refused`."""
        row = self._row(pool, workspace)
        row.share_per_s, row.demand_per_s = decision.share, decision.demand
        if decision.admitted:
            row.admitted_tokens += tokens
            if decision.reason == ROOM:
                row.room_tokens += tokens

    def note_refused(self, pool: str, workspace: str, reason: str) -> None:
        """Count a refused request."""
        self._row(pool, workspace).refused[reason] += 1
        self.on_refused(pool, workspace, reason)

    def note_shed(self, pool: str, workspace: str, tokens: float) -> None:
        """Count a request that a busy router refuses before it is decided on."""
        self.note_asked(pool, workspace, tokens)
        self.note_refused(pool, workspace, ROUTER_BUSY)

    def take_refused(self, limit: int) -> list[WorkspaceService]:
        """Return the workspaces with refusals that asked most, and start anew."""
        rows = [row for row in self._rows.values() if row.refused]
        self._rows.clear()
        return sorted(rows, key=lambda row: -row.asked_tokens)[:limit]

    def _row(self, pool: str, workspace: str) -> WorkspaceService:
        row = self._rows.get((pool, workspace))
        if row is None:
            row = self._rows[pool, workspace] = WorkspaceService(pool, workspace)
        return row
