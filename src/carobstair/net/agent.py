"""Driver of an agent node: timer, peer messages, object API calls and futures."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from returns.result import Result, Success

from carobstair import clock
from carobstair.core.agent import AgentNode, AgentSettings
from carobstair.core.distribution import DistributionSettings
from carobstair.core.effects import (
    Connect,
    Disconnect,
    Effect,
    EpochLearned,
    FilingFinished,
    InForceResult,
    Reconnect,
    Send,
    SendOrder,
    StateChanged,
    Warn,
)
from carobstair.core.members import MembershipSettings
from carobstair.core.messages import (
    Envelope,
    EpochAck,
    EpochNotice,
    InForceAnswer,
    InForceQuery,
    LeavingNotice,
    MemberSync,
    PeerAddress,
    Probe,
    ProbeAck,
    ProbeRequest,
    ShareTransfer,
    TicketPull,
    TicketPush,
)
from carobstair.core.orders import OrderSettings
from carobstair.core.refusals import refuse
from carobstair.core.share_coordinator import CapacityView
from carobstair.core.shares import ShareTable
from carobstair.core.state import FleetState
from carobstair.core.store_calls import StoreCall, WatchClose, WatchOpen
from carobstair.core.tickets import ticket_name
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import JsonCodec, TicketModel
from carobstair.net.peers import PeerTransport
from carobstair.net.store import StoreDriver
from carobstair.platform import Missing, ObjectApi
from carobstair.settings import RouterSettings

__all__ = ["Agent"]

logger = get_logger(__name__)

TICK_S = 0.05
# The node finishes a filing within 8 s and an in-force query within 0.5 s.
FILING_TIMEOUT_S = 15.0
WARNING_INTERVAL_S = 10.0
HANDLED_MESSAGES = (
    EpochAck,
    EpochNotice,
    InForceAnswer,
    InForceQuery,
    LeavingNotice,
    MemberSync,
    Probe,
    ProbeAck,
    ProbeRequest,
    ShareTransfer,
    TicketPull,
    TicketPush,
)


class Agent:
    """Keeps the fleet state, the list of live peers and the epoch up to date.

    Parameters
    ----------
    own : PeerAddress
    settings : RouterSettings
    peers : PeerTransport
    store : ObjectApi
    shares : ShareTable
    capacity : CapacityView
    metrics : RouterMetrics
    on_state : callable
        Called with each new `FleetState`.
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: RouterSettings,
        peers: PeerTransport,
        store: ObjectApi,
        shares: ShareTable,
        capacity: CapacityView,
        metrics: RouterMetrics,
        on_state: Callable[[FleetState], None],
    ):
        self._own = own
        self._peers = peers
        self._store = store
        self._metrics = metrics
        self._on_state = on_state
        # Called with each order to send to an upstream.
        self.on_order: Callable[[SendOrder], None] = lambda order: None
        self._store_driver = StoreDriver(store, self._on_store_answer, self._on_watch)
        seeds = [f"seed {seed}" for seed in settings.peers.seeds]
        self.node = AgentNode(
            own,
            seeds,
            _node_settings(settings),
            random.Random(f"{settings.seed}/{own.instance}/{own.incarnation}"),
            JsonCodec(),
            shares,
            capacity,
        )
        self._filings: dict[int, asyncio.Future[int]] = {}
        self._last_filing = 0
        self._queries: dict[int, asyncio.Future[dict[str, int]]] = {}
        self._last_warning_s: dict[str, float] = {}
        for payload_type in HANDLED_MESSAGES:
            peers.subscribe(payload_type, self._on_message)
        for name, seed in zip(seeds, settings.peers.seeds, strict=True):
            host, _, port = seed.rpartition(":")
            # The instance name of a seed is unknown until it answers.
            peers.connect(PeerAddress(name, 0, host, int(port), 0, ""))

    @property
    def state(self) -> FleetState:
        """The fleet state in force."""
        return self.node.state

    @property
    def leaving(self) -> bool:
        """Whether this router is leaving the fleet."""
        return self.node.leaving

    def live_peers(self) -> frozenset[str]:
        """Return the names of the other instances that are eligible for work."""
        return self.node.live_peers()

    def unready_reason(self) -> str | None:
        """Return why this router must not receive requests, or None if it is ready."""
        return self.node.unready_reason()

    def note_leaving(self, upstream: str, leaving: bool) -> None:
        """Record whether an upstream's load report says that it is leaving."""
        self._execute_effects(self.node.note_leaving(upstream, leaving))

    def leave(self) -> None:
        """Start leaving: become unready and transfer the shares to other routers."""
        self._execute_effects(self.node.leave(clock.now_s()))

    def announce_departure(self) -> None:
        """Announce to the peers that this process exits and has no capacity in use."""
        self._execute_effects(self.node.announce_departure(clock.now_s()))

    async def run(self) -> None:
        """Run the periodic tick until cancelled."""
        try:
            while True:
                try:
                    self._execute_effects(self.node.tick(clock.now_s()))
                except Exception:
                    logger.exception("agent_tick_failed")
                await asyncio.sleep(TICK_S)
        finally:
            self._store_driver.close()

    async def file(self, ticket: TicketModel) -> int:
        """Write a ticket to the object API and return its number.

        Raises
        ------
        Refusal
            ``ticket-conflict``, ``ticket-not-written``, ``ticket-unknown`` or
            ``too-large``.
        """
        submission_id = ticket.submission_id or uuid.uuid4().hex
        filed = ticket.model_copy(update={"submission_id": submission_id}).to_core()
        self._last_filing += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._filings[self._last_filing] = future
        effects = self.node.file(self._last_filing, filed, clock.now_s())
        self._execute_effects(effects)
        try:
            return await asyncio.wait_for(future, FILING_TIMEOUT_S)
        except TimeoutError as error:
            detail = f"submission_id {submission_id}"
            raise refuse("ticket-unknown", detail) from error

    async def in_force(self) -> dict[str, int]:
        """Return the ticket number in force per live instance."""
        number, effects = self.node.query_in_force(clock.now_s())
        future: asyncio.Future[dict[str, int]] = (
            asyncio.get_running_loop().create_future()
        )
        self._queries[number] = future
        self._execute_effects(effects)
        return await future

    async def ticket(self, number: int) -> bytes:
        """Return a ticket in force, including one that precedes the snapshot.

        Raises
        ------
        Refusal
            ``not-found`` or ``ticket-store-unavailable``.
        """
        if not 1 <= number <= self.node.log.state.number:
            raise refuse("not-found", f"ticket {number}")
        kept = self.node.log.ticket(number)
        if kept is not None:
            return kept
        answer: Result = await self._store.get(ticket_name(number))
        if isinstance(answer, Success):
            return answer.unwrap().value
        error = answer.failure()
        if isinstance(error, Missing):
            raise refuse("not-found", f"ticket {number}") from error
        raise refuse("ticket-store-unavailable", f"ticket {number}") from error

    # Events

    def _on_message(self, envelope: Envelope, payload) -> None:
        now_s = clock.now_s()
        self._execute_effects(
            self.node.on_message(envelope.sender, envelope.incarnation, payload, now_s)
        )

    def _on_store_answer(self, answer) -> None:
        self._execute_effects(self.node.on_store_answer(answer, clock.now_s()))

    def _on_watch(self, event) -> None:
        self._execute_effects(self.node.on_watch(event, clock.now_s()))

    # Effects

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            self._execute_effect(effect)

    @singledispatchmethod
    def _execute_effect(self, effect) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_execute_effect.register
    def _(self, effect: Send) -> None:
        self._peers.send(effect.to, effect.payload)

    @_execute_effect.register
    def _(self, effect: Connect) -> None:
        self._peers.connect(effect.address)

    @_execute_effect.register
    def _(self, effect: Disconnect) -> None:
        self._peers.disconnect(effect.instance)

    @_execute_effect.register
    def _(self, effect: Reconnect) -> None:
        self._peers.reconnect(effect.instance)

    @_execute_effect.register
    def _(self, effect: StateChanged) -> None:
        self._metrics.in_force.set(effect.state.number)
        logger.info("ticket_in_force", number=effect.state.number)
        self._on_state(effect.state)

    @_execute_effect.register
    def _(self, effect: EpochLearned) -> None:
        self._peers.epoch = effect.number
        self._metrics.epoch.set(effect.number)
        logger.info("epoch_learned", number=effect.number, size=effect.size)

    @_execute_effect.register
    def _(self, effect: FilingFinished) -> None:
        future = self._filings.pop(effect.filing, None)
        if future is None or future.done():
            return
        if effect.refusal is not None:
            future.set_exception(effect.refusal)
        else:
            future.set_result(effect.number)

    @_execute_effect.register
    def _(self, effect: InForceResult) -> None:
        future = self._queries.pop(effect.query, None)
        if future is not None and not future.done():
            future.set_result(effect.numbers)

    @_execute_effect.register
    def _(self, effect: SendOrder) -> None:
        self.on_order(effect)

    @_execute_effect.register
    def _(self, effect: Warn) -> None:
        now_s = clock.now_s()
        if now_s >= self._last_warning_s.get(effect.event, 0.0) + WARNING_INTERVAL_S:
            self._last_warning_s[effect.event] = now_s
            logger.warning(effect.event, detail=effect.detail)

    @_execute_effect.register(StoreCall)
    @_execute_effect.register(WatchOpen)
    @_execute_effect.register(WatchClose)
    def _(self, effect) -> None:
        self._store_driver.carry_out(effect)


def _node_settings(settings: RouterSettings) -> AgentSettings:
    peers = settings.peers
    return AgentSettings(
        membership=MembershipSettings(
            probe_every_s=peers.heartbeat_s, suspicion_s=peers.suspicion_s
        ),
        distribution=DistributionSettings(
            watchers_per_zone=settings.platform.watchers_per_zone
        ),
        orders=OrderSettings(load_slots=settings.platform.load_slots),
    )
