"""Simulated operator that files a ticket and retries until it is accepted."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from carobstair.core.effects import FilingFinished
from carobstair.core.refusals import Ran
from carobstair.core.state import AvailabilityZone, FleetState, Ticket, UpstreamState

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter
    from carobstair.scenario.world import World

__all__ = ["Operator", "contradicts_store"]

RETRY_S = 0.5


class Operator:
    """Files one change at a router and retries until it is accepted.

    Parameters
    ----------
    world : World
    change : tuple of str
        What the ticket sets, as in ``zone lac out``.
    through : str
        Router to file at; if empty, the first one that runs and has a fleet state.
    submission_id : str
    """

    def __init__(
        self, world: World, change: tuple[str, ...], through: str, submission_id: str
    ):
        self._world = world
        self._change = change
        self._through = through
        self._submission_id = submission_id

    def file(self) -> None:
        """File the ticket, based on the state in force at the router."""
        router = self._choose_router()
        if router is None:
            self._retry()
            return
        state = router.control.node.log.state
        ticket = _ticket(state, self._change, self._submission_id)
        router.run(lambda: router.control.file(ticket, self._on_finished))

    def _choose_router(self) -> SimRouter | None:
        """Return a running router, ready or not: unready routers accept tickets too."""
        names = [self._through] if self._through else self._world.router_names()
        for name in names:
            router = self._world.routers[name]
            if not router.is_dead and router.control.node.state.number:
                return router
        return None

    def _on_finished(self, result: FilingFinished) -> None:
        self._world.log.note_filing_result(self._world, result, self._submission_id)
        if result.refusal is not None:
            self._retry()

    def _retry(self) -> None:
        self._world.clock.after(RETRY_S, self.file)


def _ticket(state: FleetState, change: tuple[str, ...], submission_id: str) -> Ticket:
    """Return a ticket with the complete new state of one object."""
    kind, name, value = change
    if kind == "zone":
        zones = {name: AvailabilityZone(name, value == "in")}
        return Ticket(0, submission_id, zones=zones)
    if kind == "workspace":
        workspace = replace(state.workspaces[name], weight=float(value))
        return Ticket(0, submission_id, workspaces={name: workspace})
    upstream = replace(state.upstreams[name], state=UpstreamState(value))
    return Ticket(0, submission_id, upstreams={name: upstream})


def contradicts_store(result: FilingFinished, written: bool) -> bool:
    """Return whether the answer to a ticket contradicts the store.

    Parameters
    ----------
    result : FilingFinished
    written : bool
        Whether the store holds the ticket.
    """
    if result.refusal is None:
        return not written
    return written and result.refusal.kind.ran is Ran.NO
