"""Overlapping faults, drawn from a seed and injected from outside the routers."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from crowds import inject_crowd
from world import ZONES, World

__all__ = [
    "ANSWER_FAULTS",
    "CROWD_FAULTS",
    "FAULTS",
    "LATER_FAULTS",
    "LIMIT_FAULTS",
    "PROMPT_FAULTS",
    "Fault",
    "draw_faults",
    "inject",
]

# The first seconds run without faults, as a baseline.
FIRST_FAULT_S = 2.0
MEAN_FAULT_INTERVAL_S = 1.2
MEAN_LATER_INTERVAL_S = 6.0
# Time after which operators and engines have written their objects again.
REWRITE_DELAY_S = 1.0
# An engine keeps responding for this long after it reported draining.
DRAIN_PERIOD_S = 3.0
ENTRY_EXPIRY_S = 1.0
# Long enough for a window in which all routers know of the limit.
LIMIT_S = 7.5
MIN_LIMIT_PER_S = 2.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: start, kind, duration, and a number that selects its target."""

    at_s: float
    kind: str
    for_s: float
    target_number: int


Inject = Callable[[World, Fault], Awaitable[None]]


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, determined by the seed and the duration."""
    rng = random.Random(seed)
    # Kinds that came later have generators of their own, so that the other faults of
    # a seed stay.
    faults = _draw_spaced(random.Random(f"later-{seed}"), seconds, LATER_FAULTS)
    faults += _draw_spaced(random.Random(f"ends-{seed}"), seconds, ANSWER_FAULTS)
    faults += _draw_spaced(random.Random(f"prompts-{seed}"), seconds, PROMPT_FAULTS)
    faults += _draw_spaced(random.Random(f"limits-{seed}"), seconds, LIMIT_FAULTS)
    faults += _draw_spaced(random.Random(f"crowds-{seed}"), seconds, CROWD_FAULTS)
    at_s = FIRST_FAULT_S
    while at_s < seconds:
        kind = rng.choice(sorted(FAULTS))
        faults.append(
            Fault(round(at_s, 3), kind, rng.uniform(0.5, 4.0), rng.randrange(1000))
        )
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_spaced(
    rng: random.Random, seconds: float, kinds: dict[str, Inject]
) -> list[Fault]:
    faults = []
    at_s = FIRST_FAULT_S + rng.expovariate(1 / MEAN_LATER_INTERVAL_S)
    while at_s < seconds:
        kind = rng.choice(sorted(kinds))
        faults.append(
            Fault(round(at_s, 3), kind, rng.uniform(0.5, 3.0), rng.randrange(1000))
        )
        at_s += rng.expovariate(1 / MEAN_LATER_INTERVAL_S)
    return faults


async def inject(world: World, faults: list[Fault]) -> None:
    """Inject all faults at their times and wait until the last has ended."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    running = []
    for fault in faults:
        await asyncio.sleep(max(0.0, began_s + fault.at_s - loop.time()))
        action = _ALL_FAULTS[fault.kind]
        running.append(asyncio.create_task(action(world, fault)))
    await asyncio.gather(*running)


def _pick_router(world: World, fault: Fault):
    return world.routers[fault.target_number % len(world.routers)]


def _pick_engine(world: World, fault: Fault):
    return world.engines[fault.target_number % len(world.engines)]


async def _kill(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    span = world.disruptions.begin(("router", router.name))
    router.signal(signal.SIGKILL)
    await router.wait_exited(5.0)
    await asyncio.sleep(min(fault.for_s, 1.0))
    await _restart(router)
    world.disruptions.end(span)


async def _kill_all(world: World, fault: Fault) -> None:
    spans = [world.disruptions.begin(("router", r.name)) for r in world.routers]
    for router in world.routers:
        router.signal(signal.SIGKILL)
    for router in world.routers:
        await router.wait_exited(5.0)
    await asyncio.sleep(0.5)
    for router in world.routers:
        await _restart(router)
    for span in spans:
        world.disruptions.end(span)


async def _restart(router) -> None:
    # An overlapping fault may have restarted it already.
    if not router.running:
        await router.start()


async def _pause(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    span = world.disruptions.begin(("router", router.name))
    router.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    router.signal(signal.SIGCONT)
    world.disruptions.end(span)


async def _terminate(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    span = world.disruptions.begin(("stop", router.name))
    router.signal(signal.SIGTERM)
    if fault.target_number % 3 == 0:
        await asyncio.sleep(0.3)
        router.signal(signal.SIGTERM)
    if not await router.wait_exited(6.0):
        # As the platform does after its grace period.
        router.signal(signal.SIGKILL)
        await router.wait_exited(5.0)
    await _restart(router)
    world.disruptions.end(span)


async def _reload(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    router.cold_slack = 5 - fault.target_number % 2
    router.write_settings()
    router.signal(signal.SIGHUP)


async def _store_down(world: World, fault: Fault) -> None:
    span = world.disruptions.begin(("store",))
    world.store.down = True
    await asyncio.sleep(fault.for_s)
    world.store.down = False
    world.disruptions.end(span)


async def _store_silent(world: World, fault: Fault) -> None:
    routers = [r for n, r in enumerate(world.routers) if (fault.target_number >> n) & 1]
    spans = [world.disruptions.begin(("store", r.name)) for r in routers]
    for router in routers:
        router.store_proxy.silence_new = True
        router.store_proxy.silence_open()
    await asyncio.sleep(fault.for_s)
    for router in routers:
        router.store_proxy.silence_new = False
    for span in spans:
        world.disruptions.end(span)


async def _store_connections_silent(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    span = world.disruptions.begin(("store", router.name))
    router.store_proxy.silence_open()
    world.disruptions.end(span)


async def _store_slow(world: World, fault: Fault) -> None:
    spans = [world.disruptions.begin(("store", r.name)) for r in world.routers]
    for router in world.routers:
        router.store_proxy.delay_s = 0.3
    await asyncio.sleep(fault.for_s)
    for router in world.routers:
        router.store_proxy.delay_s = 0.0
    for span in spans:
        world.disruptions.end(span)


async def _store_answers_lost(world: World, fault: Fault) -> None:
    router = _pick_router(world, fault)
    span = world.disruptions.begin(("store", router.name))
    router.store_proxy.cut_answers = True
    await asyncio.sleep(fault.for_s)
    router.store_proxy.cut_answers = False
    world.disruptions.end(span)


async def _store_history_lost(world: World, fault: Fault) -> None:
    span = world.disruptions.begin(("store",))
    world.store.compact()
    for router in world.routers:
        router.store_proxy.cut_open()
    world.disruptions.end(span)


async def _engine_crash(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    if not engine.up:
        return
    span = world.disruptions.begin(("engine", engine.name))
    engine.crash()
    await asyncio.sleep(ENTRY_EXPIRY_S)
    engine.remove_entry()
    await asyncio.sleep(fault.for_s)
    await engine.boot(cold=True)
    world.disruptions.end(span)


async def _engine_leaves(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    if not engine.up:
        return
    span = world.disruptions.begin(("engine", engine.name))
    engine.up = False
    engine.report_draining()
    world.accepted_changes.drained[engine.engine_id] = asyncio.get_running_loop().time()
    await asyncio.sleep(DRAIN_PERIOD_S)
    engine.crash()
    engine.remove_entry()
    await asyncio.sleep(0.5)
    await engine.boot(cold=True)
    world.disruptions.end(span)


async def _engine_cold(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    if not engine.up:
        return
    old_id = engine.engine_id
    await engine.boot(cold=True)
    # The entry of the previous incarnation expires after missed heartbeats.
    await asyncio.sleep(ENTRY_EXPIRY_S)
    engine.remove_entry(old_id)


async def _engine_resets(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    span = world.disruptions.begin(("engine", engine.name))
    engine.proxy.cut_open()
    world.disruptions.end(span)


async def _engine_answers_lost(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    span = world.disruptions.begin(("engine", engine.name))
    engine.proxy.cut_answers = True
    await asyncio.sleep(min(fault.for_s, 1.5))
    engine.proxy.cut_answers = False
    world.disruptions.end(span)


async def _engine_silent(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    span = world.disruptions.begin(("engine", engine.name))
    engine.proxy.silence_new = True
    engine.proxy.silence_open()
    await asyncio.sleep(fault.for_s)
    engine.proxy.silence_new = False
    engine.proxy.cut_open()
    world.disruptions.end(span)


async def _engine_slow(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    span = world.disruptions.begin(("engine", engine.name))
    engine.proxy.delay_s = 0.15
    await asyncio.sleep(fault.for_s)
    engine.proxy.delay_s = 0.0
    world.disruptions.end(span)


async def _change_config(world: World, fault: Fault) -> None:
    world.change_configuration()


async def _change_config_repeatedly(world: World, fault: Fault) -> None:
    for _ in range(5):
        world.change_configuration()
        await asyncio.sleep(0.2)


async def _revoke(world: World, fault: Fault) -> None:
    world.callers.keys = ["key1", "key2"]
    world.revoke("key2")


async def _evacuate(world: World, fault: Fault) -> None:
    zone = ZONES[fault.target_number % len(ZONES)]
    if ("evacuations", zone) in world.store.objects:
        return
    world.evacuate(zone)
    await asyncio.sleep(fault.for_s + 3.0)
    world.end_evacuation(zone)


async def _store_restored(world: World, fault: Fault) -> None:
    copy = world.store.copy()
    await asyncio.sleep(fault.for_s)
    span = world.disruptions.begin(("store",))
    world.store.restore(copy, cut=fault.target_number % 2 == 0)
    await asyncio.sleep(REWRITE_DELAY_S)
    world.write_again()
    world.disruptions.end(span)


async def _engine_announces(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    if not engine.up:
        return
    engine.announces_leaving = True
    await asyncio.sleep(DRAIN_PERIOD_S)
    # An overlapping fault may have started a new incarnation.
    if engine.up and engine.announces_leaving:
        span = world.disruptions.begin(("engine", engine.name))
        engine.crash()
        engine.remove_entry()
        await asyncio.sleep(0.5)
        await engine.boot(cold=True)
        world.disruptions.end(span)


async def _engine_pauses(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    engine.pause_until_s = asyncio.get_running_loop().time() + 0.5 + fault.for_s


async def _engine_truncates(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    span = world.disruptions.begin(("engine", engine.name))
    engine.truncates_until_s = asyncio.get_running_loop().time() + fault.for_s
    await asyncio.sleep(fault.for_s)
    world.disruptions.end(span)


async def _bad_segment(world: World, fault: Fault) -> None:
    segment = f"bad{fault.target_number}"
    world.bad_segments.add(segment)
    # The callers go on with it until another one comes.
    world.callers.bad_segment = segment


FAULTS: dict[str, Inject] = {
    "change": _change_config,
    "engine-answers-lost": _engine_answers_lost,
    "engine-cold": _engine_cold,
    "engine-crash": _engine_crash,
    "engine-leaves": _engine_leaves,
    "engine-resets": _engine_resets,
    "engine-silent": _engine_silent,
    "engine-slow": _engine_slow,
    "evacuate": _evacuate,
    "kill": _kill,
    "kill-all": _kill_all,
    "pause": _pause,
    "reload": _reload,
    "revoke": _revoke,
    "storm": _change_config_repeatedly,
    "store-answers-lost": _store_answers_lost,
    "store-connections-silent": _store_connections_silent,
    "store-down": _store_down,
    "store-history-lost": _store_history_lost,
    "store-silent": _store_silent,
    "store-slow": _store_slow,
    "terminate": _terminate,
}
LATER_FAULTS: dict[str, Inject] = {
    "engine-announces": _engine_announces,
    "engine-pauses": _engine_pauses,
    "store-restored": _store_restored,
}
ANSWER_FAULTS: dict[str, Inject] = {"engine-truncates": _engine_truncates}
PROMPT_FAULTS: dict[str, Inject] = {"bad-segment": _bad_segment}


async def _engine_limits(world: World, fault: Fault) -> None:
    engine = _pick_engine(world, fault)
    if engine.limit_per_s is None:
        engine.set_limit(MIN_LIMIT_PER_S + fault.target_number % 4)
        await asyncio.sleep(LIMIT_S + fault.for_s)
        engine.end_limit()


async def _odd_entry(world: World, fault: Fault) -> None:
    name = f"odd-{fault.target_number}"
    depth = 400 * (1 + fault.target_number % 5)
    spec = f"raw-{name}"
    world.store.raw_specs[spec] = b'{"x":' + b"[" * depth + b"]" * depth + b"}"
    world.store.put("servers", name, spec)
    await asyncio.sleep(fault.for_s)
    if ("servers", name) in world.store.objects:
        world.store.delete("servers", name)


LIMIT_FAULTS: dict[str, Inject] = {
    "engine-limits": _engine_limits,
    "odd-entry": _odd_entry,
}
CROWD_FAULTS: dict[str, Inject] = {"crowd": inject_crowd}
_ALL_FAULTS = (
    FAULTS | LATER_FAULTS | ANSWER_FAULTS | PROMPT_FAULTS | LIMIT_FAULTS | CROWD_FAULTS
)
