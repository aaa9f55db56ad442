"""An operator who files a ticket and files it again until it is settled."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from carobstair.core.effects import FilingFinished
from carobstair.core.refusals import Ran
from carobstair.core.state import AvailabilityZone, FleetState, Ticket, UpstreamState

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter
    from carobstair.scenario.world import World

__all__ = ["Operator", "is_untrue"]

RETRY_S = 0.5


class Operator:
    """Files one change through a router.

    Parameters
    ----------
    world : World
    change : tuple of str
        What the ticket sets, as in ``zone lac out``.
    through : str
        Router to file at; the first ready one if empty.
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
        """File the ticket on top of the state that the router has in force."""
        router = self._router()
        if router is None:
            self._again()
            return
        state = router.control.node.log.state
        ticket = _ticket(state, self._change, self._submission_id)
        router.run(lambda: router.control.file(ticket, self._settled))

    def _router(self) -> SimRouter | None:
        """Return a running router; one that takes no callers still takes tickets."""
        names = [self._through] if self._through else self._world.router_names()
        for name in names:
            router = self._world.routers[name]
            if not router.is_dead and router.control.node.state.number:
                return router
        return None

    def _settled(self, settled: FilingFinished) -> None:
        self._world.log.note_settled(self._world, settled, self._submission_id)
        if settled.refusal is not None:
            self._again()

    def _again(self) -> None:
        self._world.clock.after(RETRY_S, self.file)


def _ticket(state: FleetState, change: tuple[str, ...], submission_id: str) -> Ticket:
    """Return the ticket that carries the whole new state of one object."""
    kind, name, value = change
    if kind == "zone":
        zones = {name: AvailabilityZone(name, value == "in")}
        return Ticket(0, submission_id, zones=zones)
    if kind == "workspace":
        workspace = replace(state.workspaces[name], weight=float(value))
        return Ticket(0, submission_id, workspaces={name: workspace})
    upstream = replace(state.upstreams[name], state=UpstreamState(value))
    return Ticket(0, submission_id, upstreams={name: upstream})


def is_untrue(settled: FilingFinished, written: bool) -> bool:
    """Return whether an answer to a filing contradicts the store."""
    if settled.refusal is None:
        return not written
    return written and settled.refusal.kind.ran is Ran.NO
