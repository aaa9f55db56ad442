"""Applies the scripted faults and other events of a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carobstair.scenario.plan import FaultEvent, FaultKind

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["apply_fault"]


def apply_fault(world: World, fault: FaultEvent) -> None:
    """Apply a scripted event now."""
    _HANDLERS[fault.kind](world, fault)


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
        world.engines[name].make_cold()


def _stall(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.engines[name].stall(fault.value)


def _silence(world: World, fault: FaultEvent) -> None:
    router, engine = fault.names
    for attempt in world.engines[engine].running.values():
        if attempt.router == router:
            attempt.output_dropped = True


def _loss(world: World, fault: FaultEvent) -> None:
    world.network.loss = fault.value


def _store_down(world: World, fault: FaultEvent) -> None:
    world.store.start_outage(fault.value)


def _store_slow(world: World, fault: FaultEvent) -> None:
    world.store.start_slowdown(fault.value, fault.duration_s)


def _store_loses(world: World, fault: FaultEvent) -> None:
    world.store.lose_answers(fault.value, fault.duration_s)


def _stop(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.routers[name].stop()


def _notice(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.engines[name].leaving = True


def _list_leaving(world: World, fault: FaultEvent) -> None:
    for name in fault.names:
        world.store.list_instance(name, leaving=True)


def _ticket(world: World, fault: FaultEvent) -> None:
    world.file(fault.change, fault.names[0] if fault.names else "")


_HANDLERS = {
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
    FaultKind.STORE_SLOW: _store_slow,
    FaultKind.STORE_LOSES: _store_loses,
    FaultKind.STOP: _stop,
    FaultKind.NOTICE: _notice,
    FaultKind.LIST_LEAVING: _list_leaving,
    FaultKind.TICKET: _ticket,
}
