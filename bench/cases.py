"""Scenarios of the comparison, for two deployments of different sizes.

``three-zones`` has 6 routers in 3 zones, 9 engines, 3 services and 16 workspaces;
``four-zones`` has 8 routers in 4 zones, 5 engines, 4 services and 16 workspaces.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from carobstair.core.queueing import WorkClass
from carobstair.core.state import UpstreamKind
from carobstair.scenario.plan import (
    EngineSpec,
    FaultEvent,
    FaultKind,
    LinkSpec,
    LoadSpec,
    RouterSpec,
    Scenario,
    WorkspaceSpec,
)

__all__ = ["CASES", "DRAFT"]

DRAFT, BOOKING = "draft", "booking"
LONG_OUTPUT, LONG_INPUT = (100, 400), (200, 1200)
QUICK_OUTPUT, QUICK_INPUT = (8, 40), (30, 200)
LARGE_WORKSPACES = 4
SMALL_WORKSPACES = 12


@dataclass(frozen=True)
class Site:
    """Sizes of a deployment.

    Attributes
    ----------
    delay_s : float
        One-way delay of messages between routers.
    slots : int
        Request slots of each engine.
    """

    name: str
    zones: tuple[str, ...]
    routers: int
    engines: int
    services: int
    delay_s: float
    slots: int


SITES = (
    Site("three-zones", ("a", "b", "c"), 6, 9, 3, 0.0015, 12),
    Site("four-zones", ("a", "b", "c", "d"), 8, 5, 4, 0.0005, 16),
)


def mixed_load(site: Site, spread: bool = True, load: float = 1.1) -> Scenario:
    """Return the scenario of a site under mixed load.

    Parameters
    ----------
    spread : bool
        Whether the callers of each workspace are spread over all routers; else
        each large workspace calls through one router.
    load : float
        Long work offered by the large workspaces, as a multiple of the capacity.
    """
    routers = tuple(
        RouterSpec(f"entry-{i + 1}", site.zones[i % len(site.zones)])
        for i in range(site.routers)
    )
    engines = tuple(_engine(site, i) for i in range(site.engines))
    services = tuple(_service(site, i) for i in range(site.services))
    workspaces = [WorkspaceSpec(f"large-{i + 1}", 2.0) for i in range(LARGE_WORKSPACES)]
    workspaces += [
        WorkspaceSpec(f"small-{i + 1}", 1.0) for i in range(SMALL_WORKSPACES)
    ]
    return Scenario(
        site.name,
        routers,
        engines + services,
        tuple(workspaces),
        tuple(_loads(site, routers, spread, load)),
        link=LinkSpec(site.delay_s, 0.0003),
        duration_s=60.0,
        measure_from_s=15.0,
    )


def _engine(site: Site, i: int) -> EngineSpec:
    zone = site.zones[i % len(site.zones)]
    return EngineSpec(f"engine-{i + 1}", DRAFT, zone, max_requests=site.slots)


def _service(site: Site, i: int) -> EngineSpec:
    zone = site.zones[i % len(site.zones)]
    return EngineSpec(
        f"service-{i + 1}",
        BOOKING,
        zone,
        UpstreamKind.SERVICE,
        max_requests=16,
        cold_limit=8,
        cold_bears=8,
    )


def _loads(site: Site, routers, spread: bool, load: float) -> list[LoadSpec]:
    rate_tokens_per_s = site.engines * _engine(site, 0).rate_tokens_per_s()
    per_s = load * rate_tokens_per_s / (sum(LONG_OUTPUT) / 2) / LARGE_WORKSPACES
    loads = []
    for i in range(LARGE_WORKSPACES):
        through = () if spread else (routers[i % len(routers)].name,)
        workspace = f"large-{i + 1}"
        loads.append(_long_load(workspace, through, per_s=per_s))
    for i in range(SMALL_WORKSPACES):
        through = () if spread else (routers[(i * 5 + 1) % len(routers)].name,)
        loads.append(_quick_load(f"small-{i + 1}", through, 0.5))
        loads.append(_service_load(f"small-{i + 1}", through, 1.0))
    return loads


def _long_load(
    workspace: str, through, per_s: float = 0.0, clients: int = 0
) -> LoadSpec:
    return LoadSpec(
        workspace,
        DRAFT,
        WorkClass.LONG,
        LONG_OUTPUT,
        LONG_INPUT,
        per_s=per_s,
        clients=clients,
        through=through,
        prefixes=20,
    )


def _quick_load(workspace: str, through, per_s: float) -> LoadSpec:
    return LoadSpec(
        workspace,
        DRAFT,
        WorkClass.QUICK,
        QUICK_OUTPUT,
        QUICK_INPUT,
        per_s=per_s,
        through=through,
    )


def _service_load(workspace: str, through, per_s: float) -> LoadSpec:
    return LoadSpec(
        workspace, BOOKING, WorkClass.QUICK, (1, 1), (10, 10), per_s, through=through
    )


def flood_by_one(site: Site) -> Scenario:
    """Let the clients of one workspace fill all queues through one router."""
    scenario = mixed_load(site, load=0.6)
    flood = _long_load("small-1", ("entry-1",), clients=300)
    return replace(scenario, loads=(*scenario.loads, flood))


def long_beside_quick(site: Site) -> Scenario:
    """Have every large workspace send long and quick requests at once."""
    scenario = mixed_load(site, load=1.2)
    quick = tuple(
        _quick_load(f"large-{i + 1}", (), 1.0) for i in range(LARGE_WORKSPACES)
    )
    return replace(scenario, loads=scenario.loads + quick)


def with_faults(scenario: Scenario, *faults: FaultEvent) -> Scenario:
    """Return the scenario with these faults."""
    return replace(scenario, faults=faults)


def cold_engine(site: Site) -> Scenario:
    """Crash an engine under load; it comes back cold."""
    fault = FaultEvent(25.0, FaultKind.CRASH, ("engine-1",))
    return with_faults(mixed_load(site, load=0.9), fault)


def router_restart(site: Site) -> Scenario:
    """Kill a router and start it again five seconds later."""
    return with_faults(
        mixed_load(site),
        FaultEvent(25.0, FaultKind.KILL, ("entry-2",)),
        FaultEvent(30.0, FaultKind.RESTART, ("entry-2",)),
    )


def partition(site: Site) -> Scenario:
    """Cut two routers off from the other routers for 15 s."""
    names = [f"entry-{i + 1}" for i in range(site.routers)]
    return with_faults(
        mixed_load(site, spread=False),
        FaultEvent(20.0, FaultKind.PARTITION, tuple(names[:2]), tuple(names[2:])),
        FaultEvent(35.0, FaultKind.HEAL),
    )


def zone_out(site: Site, load: float) -> Scenario:
    """Take a zone out of service for 15 s at a load relative to the whole fleet."""
    zone = site.zones[-1]
    return with_faults(
        mixed_load(site, load=load),
        FaultEvent(20.0, FaultKind.TICKET, change=("zone", zone, "out")),
        FaultEvent(35.0, FaultKind.TICKET, change=("zone", zone, "in")),
    )


def _cases() -> dict[str, Callable[[], Scenario]]:
    builders: dict[str, Callable[[Site], Scenario]] = {
        "even": lambda site: mixed_load(site),
        "uneven": lambda site: mixed_load(site, spread=False),
        "flood": flood_by_one,
        "long-beside-quick": long_beside_quick,
        "cold-engine": cold_engine,
        "router-restart": router_restart,
        "partition": partition,
        "zone-out-70": lambda site: zone_out(site, 0.7),
        "zone-out-90": lambda site: zone_out(site, 0.9),
    }
    return {
        f"{site.name}/{name}": lambda build=build, site=site: build(site)
        for site in SITES
        for name, build in builders.items()
    }


CASES = _cases()
