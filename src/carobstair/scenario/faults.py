"""Carries out the scripted events of a scenario."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from carobstair.core.state import AvailabilityZone, FleetState, UpstreamState
from carobstair.scenario.plan import FaultEvent, FaultKind

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["changed_state", "strike"]


def strike(world: World, fault: FaultEvent) -> None:
    """Let an event happen now."""
    _ACTIONS[fault.kind](world, fault)


def changed_state(state: FleetState, change: tuple[str, ...]) -> FleetState:
    """Return the state after a ticket with one change, as ``zone lac out``."""
    kind, name, value = change
    number = state.number + 1
    if kind == "zone":
        zone = AvailabilityZone(name, value == "in")
        return replace(state, number=number, zones={**state.zones, name: zone})
    if kind == "workspace":
        workspace = replace(state.workspaces[name], weight=float(value))
        workspaces = {**state.workspaces, name: workspace}
        return replace(state, number=number, workspaces=workspaces)
    upstream = replace(state.upstreams[name], state=UpstreamState(value))
    return replace(state, number=number, upstreams={**state.upstreams, name: upstream})


def _partition(world: World, fault: FaultEvent) -> None:
    world.network.cut(fault.names, fault.others)
    world.network.cut(fault.others, fault.names)


def _one_way(world: World, fault: FaultEvent) -> None:
    world.network.cut(fault.names, fault.others)


def _heal(world: World, fault: FaultEvent) -> None:
    world.network.heal()


def _kill(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.routers[name].kill()


def _restart(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.routers[name].kill()
        world.start_router(name)


def _pause(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.routers[name].pause(fault.value)


def _crash(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.engines[name].crash()


def _chill(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.engines[name].chill()


def _stall(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.engines[name].stall(fault.value)


def _silence(world: World, fault: FaultEvent) -> None:
    router, engine = fault.names
    for attempt in world.engines[engine].running.values():
        if attempt.router == router:
            attempt.silent = True


def _loss(world: World, fault: FaultEvent) -> None:
    world.network.loss = fault.value


def _store_down(world: World, fault: FaultEvent) -> None:
    world.directory.down_until_s = world.clock.now_s + fault.value


def _ticket(world: World, fault: FaultEvent) -> None:
    world.file_ticket(changed_state(world.directory.state, fault.change))


_ACTIONS = {
    FaultKind.PARTITION: _partition,
    FaultKind.PARTITION_ONE_WAY: _one_way,
    FaultKind.HEAL: _heal,
    FaultKind.KILL: _kill,
    FaultKind.RESTART: _restart,
    FaultKind.PAUSE: _pause,
    FaultKind.CRASH: _crash,
    FaultKind.CHILL: _chill,
    FaultKind.STALL: _stall,
    FaultKind.SILENCE: _silence,
    FaultKind.LOSS: _loss,
    FaultKind.STORE_DOWN: _store_down,
    FaultKind.TICKET: _ticket,
}
