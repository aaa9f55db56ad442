"""Follows roll-out orders: exchanges evidence with other routers, writes verdicts."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.messages import Envelope
from carobstair.core.rollouts import (
    LogEvent,
    RolloutController,
    RolloutNews,
    RolloutOrder,
    RolloutReport,
    RolloutState,
    SendMessage,
    VersionGate,
    WriteStatus,
)
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.rollout_evidence import RolloutEvidence
from carobstair.edge.state_store import StateStore, StoreConflict, StoreError
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["RolloutDriver"]

logger = get_logger(__name__)

# Interval at which versions of upstreams are noted while no order runs.
IDLE_INTERVAL_S = 0.5
# How long a router that knows its configuration waits for the orders before it is
# ready: a store without this kind must not keep it from serving.
LIST_WAIT_S = 2.0

DecodedRollout = tuple[RolloutOrder, RolloutState | None]


@dataclass(slots=True)
class RolloutDriver:
    """Connects the controller of roll-outs to the store and the peers.

    Parameters
    ----------
    controller : RolloutController
    gate : VersionGate
    evidence : RolloutEvidence
    view : FleetView
    store : StateStore
    transport : PeerTransport
    heard : callable
        Returns the names of the other routers that are heard.
    count_known : callable
        Returns the number of the other routers that the store lists.
    decode : callable
        Decodes an object into an order and its state; None if it can't be read.
    encode_status : callable
        Returns the status to write for a target and a verdict.
    metrics : EdgeMetrics
    rng : random.Random
    """

    controller: RolloutController
    gate: VersionGate
    evidence: RolloutEvidence
    view: FleetView
    store: StateStore
    transport: PeerTransport
    heard: Callable[[], Collection[str]]
    count_known: Callable[[], int]
    decode: Callable[[StoreChange], DecodedRollout | None]
    encode_status: Callable[[str, RolloutState], object]
    metrics: EdgeMetrics
    rng: random.Random
    _woken: asyncio.Event = field(default_factory=asyncio.Event)
    _writes: dict[str, asyncio.Task] = field(default_factory=dict)
    _has_list: bool = False
    _era: int = 0
    _noted_s: float = 0.0
    # Monotonic time of the first change that the store showed.
    _first_change_s: float | None = None

    def __post_init__(self) -> None:
        self.transport.subscribe(RolloutReport, self._on_report)
        self.transport.subscribe(RolloutNews, self._on_news)

    async def run(self) -> None:
        """Exchange evidence until cancelled."""
        while True:
            interval_s = IDLE_INTERVAL_S
            if self.controller.is_running():
                routers = len(self.heard()) + 1
                interval_s = self.controller.settings.scaled_interval_s(routers)
                interval_s *= self.rng.uniform(0.9, 1.1)
            try:
                async with asyncio.timeout(interval_s):
                    await self._woken.wait()
            except TimeoutError:
                # The interval has passed without a new order.
                pass
            self._woken.clear()
            try:
                self.tick(time.monotonic())
            except Exception:
                # An order that can't be judged must not end the others.
                logger.exception("rollout_tick_failed")

    def tick(self, now_s: float) -> None:
        """Note versions and evidence, and carry out what is due."""
        self._has_list = self._has_list or StateKind.ROLLOUTS in self.view.listed
        if now_s - self._noted_s >= IDLE_INTERVAL_S:
            self._noted_s = now_s
            self.gate.keep(now_s)
        self.evidence.count_first_bytes()
        heard = sorted(self.heard())
        for effect in self.controller.tick(heard, self.count_known(), now_s):
            if isinstance(effect, SendMessage):
                self.transport.send_all(effect.receivers, effect.payload)
            elif isinstance(effect, LogEvent):
                self._log(effect)
            else:
                self._begin_write(effect)

    def on_state_change(self, kind: StateKind, names: list[str]) -> None:
        """Apply changes of orders and of upstreams."""
        if self._first_change_s is None:
            self._first_change_s = time.monotonic()
        if kind is StateKind.UPSTREAMS:
            self.gate.on_upstreams_changed()
        elif kind is StateKind.ROLLOUTS:
            self.apply(names)

    def is_ready(self, now_s: float) -> bool:
        """Return whether the orders are listed, or were waited for long enough."""
        if StateKind.ROLLOUTS in self.view.listed:
            return True
        first_s = self._first_change_s
        return first_s is not None and now_s - first_s >= LIST_WAIT_S

    def apply(self, names: list[str]) -> None:
        """Apply objects that were written or removed in the store."""
        now_s = time.monotonic()
        objects = self.view.objects(StateKind.ROLLOUTS)
        era = self.view.stamps()[StateKind.ROLLOUTS.value].era
        was_restored, self._era = era > self._era, era
        unreadable = 0
        for name in names:
            change = objects.get(name)
            decoded = None if change is None else self.decode(change)
            if decoded is not None:
                self.controller.on_order(*decoded, now_s, not self._has_list)
                continue
            if change is None:
                self.controller.on_removed(name, now_s, was_restored)
                continue
            # The last readable order still holds: without it, the upstreams of a bad
            # version would be used like any others.
            unreadable += 1
        if unreadable:
            self.metrics.rollouts_skipped.labels("unreadable").inc(unreadable)
        self._has_list = True
        self._woken.set()

    def _log(self, effect: LogEvent) -> None:
        fields = effect.fields
        service = str(fields["service"])
        if effect.event == "rollout_skipped":
            self.metrics.rollouts_skipped.labels("not_applicable").inc()
        elif effect.event == "rollout_status":
            is_completed = fields["state"] == RolloutState.COMPLETED
            self.metrics.rollout_share.labels(service).set(float(is_completed))
            self.metrics.rollout_verdicts.labels(service, str(fields["state"])).inc()
        elif effect.event == "rollout_phase":
            self.metrics.rollout_share.labels(service).set(float(fields["share"]))
        logger.info(effect.event, **fields)

    # Store

    def _begin_write(self, effect: WriteStatus) -> None:
        previous = self._writes.get(effect.service)
        if previous is not None and not previous.done():
            return
        task = asyncio.create_task(self._write(effect))
        self._writes[effect.service] = task
        task.add_done_callback(lambda done: self._forget_write(effect.service, done))

    def _forget_write(self, service: str, task: asyncio.Task) -> None:
        if self._writes.get(service) is task:
            del self._writes[service]

    async def _write(self, effect: WriteStatus) -> None:
        """Write a verdict; the controller asks again until the store shows one."""
        fields = {"service": effect.service, "version": effect.target}
        fields |= {"state": str(effect.state), "revision": effect.stamp.revision}
        status = self.encode_status(effect.target, effect.state)
        try:
            change = await self.store.put_status(
                StateKind.ROLLOUTS, effect.service, status, effect.stamp.revision
            )
            logger.info("rollout_status_written", **fields)
        except StoreConflict as error:
            change = error.current
            logger.info("rollout_status_refused", **fields, error=str(error))
        except StoreError as error:
            # It may have been written: the watch shows it, or it is written again.
            logger.info("rollout_status_uncertain", **fields, error=str(error))
            return
        if change is not None and self.view.apply_response(StateKind.ROLLOUTS, change):
            self.apply([change.name])

    # Messages

    def _on_report(self, envelope: Envelope, report: RolloutReport) -> None:
        self.controller.on_report(
            envelope.sender, envelope.incarnation, report, time.monotonic()
        )

    def _on_news(self, envelope: Envelope, news: RolloutNews) -> None:
        self.controller.on_news(envelope.sender, news, time.monotonic())
