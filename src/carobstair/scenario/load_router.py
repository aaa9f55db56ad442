"""Routers of a played load: each has its own tracker, directory and admission."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from carobstair.core.admission import (
    AdmissionDecision,
    AdmissionRequest,
    EngineRoom,
    FairAdmission,
    WaitingRoom,
)
from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker, PromptShape
from carobstair.core.routing import EngineShape, ServicePool
from carobstair.core.send_limits import ColdSendLimit, ResendLimit, SendLimitSettings
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.scenario.batch_engine import EngineJob
from carobstair.scenario.load_plan import CallerGroup, LoadPlan

__all__ = ["POOL", "PlayedRequest", "PlayedRouter", "make_router"]

POOL = "model"


@dataclass(slots=True, eq=False)
class PlayedRequest:
    """A request of a caller, who returns once after a refusal."""

    group: CallerGroup
    prompt: PromptShape
    arrived_s: float
    refusals: int = 0
    rejected: bool = False
    waited_s: float = 0.0
    ended: bool = False

    def weighted_tokens(self, output_weight: float) -> float:
        """Return the tokens by which the admission counts the request."""
        return self.prompt.prompt_tokens + output_weight * self.prompt.output_tokens


@dataclass(slots=True)
class PlayedRouter:
    """A router of the edge without its sockets, and the requests that wait at it."""

    name: str
    plan: LoadPlan
    dispatcher: Dispatcher
    admission: FairAdmission
    room: EngineRoom
    waiting: WaitingRoom
    held: dict[int, PlayedRequest] = field(default_factory=dict)
    # What this router has told the others with its digests.
    segment_cursor: int = 0
    wait_cursor: int = 0
    # Requests at the engines.
    open: dict[int, tuple[EngineJob, PlayedRequest]] = field(default_factory=dict)
    # When it last exchanged demand.
    exchanged_s: float = -math.inf

    @property
    def loads(self) -> LoadTracker:
        """Load of the engines as this router knows it."""
        return self.dispatcher.loads

    @property
    def pool(self) -> ServicePool:
        """Pool of the engines."""
        return ServicePool(POOL, engine=EngineShape(self.plan.spec.slots, 0))

    def restart(self, fresh: PlayedRouter) -> None:
        """Forget all, and begin as a new router of the same name."""
        self.dispatcher, self.admission = fresh.dispatcher, fresh.admission
        self.room, self.waiting = fresh.room, fresh.waiting
        self.open.clear()
        self.held.clear()

    def decide(self, request: PlayedRequest, now_s: float) -> AdmissionDecision:
        """Count a request and decide on its admission."""
        dispatcher, prompt = self.dispatcher, request.prompt
        settings = self.admission.settings
        if settings.work_conserving:
            return self.admission.decide_conserving(self.asked(request, now_s), now_s)
        return self.admission.decide(
            POOL,
            request.group.workspace,
            request.weighted_tokens(settings.output_weight),
            dispatcher.throughput(
                POOL, self.plan.tokens_per_s, 0.0, 1.0, now_s
            ).nominal_per_s,
            lambda: dispatcher.pressure(POOL, now_s),
            now_s,
            lambda: (
                dispatcher.queue_wait_s(self.pool, prompt, now_s) / request.group.aim_s
            ),
            lambda: dispatcher.slots_used(POOL, now_s),
        )

    def asked(self, request: PlayedRequest, now_s: float) -> AdmissionRequest:
        """Return a request as the admission by room sees it now."""
        dispatcher, group = self.dispatcher, request.group
        throughput = dispatcher.throughput(
            POOL, self.plan.tokens_per_s, 0.0, 1.0, now_s
        )
        left_s = request.arrived_s + group.aim_s - now_s
        hold_s = self.admission.settings.hold_s
        return AdmissionRequest(
            POOL,
            group.workspace,
            request.weighted_tokens(self.admission.settings.output_weight),
            throughput.nominal_per_s,
            lambda: self.room.load(POOL, now_s),
            lambda: self.room.wait_s(POOL, hold_s, now_s) / group.aim_s,
            lambda: self.room.has_room(POOL, request.prompt, group.aim_s, now_s),
            left_s,
            request.refusals > 0,
            running=lambda: self.room.own_running(POOL, now_s),
        )


def make_router(
    name: str, plan: LoadPlan, engines: Iterable[str], zone: str
) -> PlayedRouter:
    """Return a router of a zone that knows some engines, in the plan's zones."""
    directory, zones = UpstreamDirectory(), itertools.cycle(plan.zones)
    for engine in engines:
        entry = UpstreamEntry(
            engine, POOL, "", 1, next(zones), plan.spec.slots, False, 0.0, 1
        )
        directory.put(entry, 1, 0.0)
    limits = SendLimitSettings()
    loads = LoadTracker(plan.placement, zone)
    if plan.has_homes:
        loads.homes.enable()
    dispatcher = Dispatcher(
        name,
        directory,
        loads,
        UpstreamHealth(),
        ColdSendLimit(limits, -10.0),
        ResendLimit(limits),
        # With one seed for all, every router would first choose the same engine.
        random.Random(f"{plan.seed} {name} choice"),
    )
    admission = FairAdmission(plan.admission, random.Random(f"{plan.seed} {name}"))
    room = EngineRoom(
        dispatcher,
        admission.load_of_others,
        admission.conserves_work,
        admission.unseen_part,
    )
    return PlayedRouter(
        name, plan, dispatcher, admission, room, WaitingRoom(admission.settings)
    )
