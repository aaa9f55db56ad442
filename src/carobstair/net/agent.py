"""Agent: membership, epoch and tickets of one router."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import Callable

from returns.result import Failure, Success

from carobstair.core.messages import (
    Envelope,
    EpochAck,
    EpochNotice,
    Heartbeat,
    PeerAddress,
    TicketPull,
    TicketPush,
)
from carobstair.core.refusals import refuse
from carobstair.core.shares import Epoch, ShareTable, rendezvous_rank
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import (
    ModelError,
    TicketModel,
    decode_epoch,
    decode_ticket,
    encode_epoch,
    encode_ticket,
)
from carobstair.net.peers import PeerTransport
from carobstair.platform import Conflict, Missing, ObjectApi, StoreError, WatchExpired
from carobstair.settings import RouterSettings

__all__ = ["Agent"]

logger = get_logger(__name__)

EPOCH_OBJECT = "fleet-epoch"
TICKET_PREFIX = "tickets/"
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
READ_BACK_ATTEMPTS = 5


class Agent:
    """Keeps the fleet state, the list of live peers and the epoch up to date.

    Parameters
    ----------
    own : PeerAddress
    settings : RouterSettings
    peers : PeerTransport
    store : ObjectApi
    shares : ShareTable
    metrics : RouterMetrics
    on_state : callable
        Called with each new fleet state.
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: RouterSettings,
        peers: PeerTransport,
        store: ObjectApi,
        shares: ShareTable,
        metrics: RouterMetrics,
        on_state: Callable[[FleetState], None],
    ):
        self._own = own
        self._settings = settings
        self._peers = peers
        self._store = store
        self._shares = shares
        self._metrics = metrics
        self._on_state = on_state
        self._random = random.Random(f"{settings.seed}/{own.instance}")
        self.state = FleetState()
        self.tickets: list[bytes] = []
        self._heard: dict[str, tuple[Heartbeat, float]] = {}
        self._epoch_version = 0
        self.leaving = False
        self.ready = False
        for payload_type, handler in (
            (Heartbeat, self._on_heartbeat),
            (TicketPull, self._on_pull),
            (TicketPush, self._on_push),
            (EpochNotice, self._on_epoch_notice),
            (EpochAck, self._on_epoch_ack),
        ):
            peers.subscribe(payload_type, handler)
        for seed in settings.peers.seeds:
            host, _, port = seed.rpartition(":")
            # A seed's name is not known before its first heartbeat.
            peers.connect(PeerAddress(f"seed {seed}", 0, host, int(port), 0, ""))

    def live_peers(self) -> set[str]:
        """Return the instances heard of lately, without the own one."""
        oldest_s = time.monotonic() - self._settings.peers.dead_after_s
        return {
            name
            for name, (beat, heard_s) in self._heard.items()
            if heard_s >= oldest_s and not beat.leaving
        }

    def in_force(self) -> dict[str, int]:
        """Return the ticket number in force per live instance."""
        live = self.live_peers()
        found = {n: b.in_force for n, (b, _) in self._heard.items() if n in live}
        found[self._own.instance] = self.state.number
        return found

    async def run(self) -> None:
        """Drive all periodic work until cancelled."""
        await asyncio.gather(
            self._beat(), self._keep_epoch(), self._keep_tickets(), self._greet()
        )

    async def file(self, ticket: TicketModel) -> int:
        """Write a ticket to the object API and return its number.

        Raises
        ------
        Refusal
            If another ticket took the number or the store can't be reached.
        """
        number = ticket.number or self.state.number + 1
        submission_id = ticket.submission_id or uuid.uuid4().hex
        filed = ticket.model_copy(
            update={"number": number, "submission_id": submission_id}
        )
        if number != self.state.number + 1:
            raise refuse("ticket-conflict", f"the next number is not {number}")
        data = encode_ticket(filed)
        name = ticket_name(number)
        match await self._store.create(name, data):
            case Success(_):
                pass
            case Failure(Conflict()):
                await self._settle(name, submission_id)
            case Failure(_):
                await self._settle(name, submission_id)
        self._apply([data])
        return number

    async def _settle(self, name: str, submission_id: str) -> None:
        """Find out whose ticket an object holds after a doubtful write."""
        for attempt in range(READ_BACK_ATTEMPTS):
            match await self._store.get(name):
                case Success(stored):
                    if decode_ticket(stored.value).submission_id == submission_id:
                        return
                    self._apply([stored.value])
                    raise refuse("ticket-conflict", f"{name} was taken")
                case Failure(Missing()):
                    raise refuse("ticket-not-written", name)
            await asyncio.sleep(RETRY_MIN_S * (attempt + 1))
        raise refuse("ticket-unknown", f"read {name} to learn the outcome")

    # Heartbeats

    async def _beat(self) -> None:
        while True:
            beat = Heartbeat(
                self._own,
                self.state.number,
                self._shares.epoch.number,
                self.ready,
                self.leaving,
                self._known_addresses(),
            )
            for peer in self._known_names():
                self._peers.send(peer, beat)
            if not self._shares.in_transition or self._fits():
                ack = EpochAck(self._shares.epoch.number)
                for peer in self._known_names():
                    self._peers.send(peer, ack)
            await asyncio.sleep(self._settings.peers.heartbeat_s)

    def _fits(self) -> bool:
        return True

    def _known_names(self) -> set[str]:
        seeds = {f"seed {seed}" for seed in self._settings.peers.seeds}
        return seeds | set(self._heard)

    def _known_addresses(self) -> list[PeerAddress]:
        live = self.live_peers()
        return [beat.address for n, (beat, _) in self._heard.items() if n in live]

    def _on_heartbeat(self, envelope: Envelope, beat: Heartbeat) -> None:
        address = beat.address
        known = self._heard.get(address.instance)
        if address.instance == self._own.instance:
            return
        if known is not None and known[0].address.incarnation > address.incarnation:
            return
        self._heard[address.instance] = (beat, time.monotonic())
        self._peers.connect(address)
        for other in beat.known:
            if other.instance not in self._heard:
                self._peers.connect(other)
        if beat.in_force > self.state.number:
            self._peers.send(address.instance, TicketPull(self.state.number))
        if beat.epoch < self._shares.epoch.number:
            epoch = self._shares.epoch
            notice = EpochNotice(epoch.number, list(epoch.members), _departed(epoch))
            self._peers.send(address.instance, notice)

    async def _greet(self) -> None:
        """Learn of peers from the epoch as long as none is heard."""
        while True:
            for member in self._shares.epoch.members:
                self._peers.connect(member)
                if member.instance not in self._heard:
                    beat = Heartbeat(
                        self._own, self.state.number, self._shares.epoch.number
                    )
                    self._peers.send(member.instance, beat)
            await asyncio.sleep(self._settings.peers.heartbeat_s)

    # Epoch

    def _on_epoch_notice(self, envelope: Envelope, notice: EpochNotice) -> None:
        departed = tuple((str(i), int(n)) for i, n in notice.departed)
        self._learn(Epoch(notice.number, tuple(notice.members), departed))

    def _on_epoch_ack(self, envelope: Envelope, ack: EpochAck) -> None:
        member = (envelope.sender, envelope.incarnation)
        self._shares.acknowledge(member, ack.number, time.monotonic())

    def _learn(self, epoch: Epoch) -> None:
        if self._shares.learn(epoch, time.monotonic()):
            self._peers.epoch = epoch.number
            self._metrics.epoch.set(epoch.number)
            logger.info("epoch_learned", number=epoch.number, size=len(epoch.members))

    async def _keep_epoch(self) -> None:
        """Join the epoch, and take out members that are known to be gone."""
        while True:
            match await self._store.get(EPOCH_OBJECT):
                case Success(stored):
                    epoch = decode_epoch(stored.value)
                    self._learn(epoch)
                    await self._propose(epoch, stored.version)
                case Failure(Missing()):
                    await self._propose(Epoch(0), None)
            await asyncio.sleep(2.0 + self._random.random())

    async def _propose(self, current: Epoch, version: int | None) -> None:
        own_id = (self._own.instance, self._own.incarnation)
        if self.leaving or own_id in current.member_ids():
            return
        members = {m.instance: m for m in current.members}
        replaced = members.get(self._own.instance)
        members[self._own.instance] = self._own
        departed = list(current.departed)[-8:]
        if replaced is not None:
            departed.append((replaced.instance, replaced.incarnation))
        epoch = Epoch(
            current.number + 1,
            tuple(members[name] for name in sorted(members)),
            tuple(departed),
        )
        data = encode_epoch(epoch)
        if version is None:
            result = await self._store.create(EPOCH_OBJECT, data)
        else:
            result = await self._store.update(EPOCH_OBJECT, data, version)
        if isinstance(result, Success):
            self._learn(epoch)

    # Tickets

    async def _keep_tickets(self) -> None:
        while True:
            try:
                await self._follow_tickets()
            except StoreError as error:
                logger.warning("ticket_watch_ended", error=repr(error))
            await asyncio.sleep(RETRY_MIN_S + self._random.random() * RETRY_MIN_S)

    async def _follow_tickets(self) -> None:
        match await self._store.list(TICKET_PREFIX, ticket_name(self.state.number)):
            case Success((version, found)):
                self._apply([stored.value for stored in found])
                self._note_ready()
            case Failure(error):
                raise error
        if not self._is_watcher():
            await asyncio.sleep(RETRY_MAX_S)
            return
        async for event in self._store.watch(TICKET_PREFIX, version):
            if event.stored is not None and not event.deleted:
                self._apply([event.stored.value])
            if event.version < version:
                raise WatchExpired("the version went back")

    def _is_watcher(self) -> bool:
        live = self.live_peers()
        zone = [
            name
            for name, (beat, _) in self._heard.items()
            if name in live and beat.address.zone == self._own.zone
        ]
        ranked = rendezvous_rank("ticket watch", [*zone, self._own.instance])
        return self._own.instance in ranked[: self._settings.platform.watchers_per_zone]

    def _apply(self, tickets: list[bytes]) -> None:
        """Apply the tickets that come next; later ones are pulled again."""
        before = self.state.number
        for data in tickets:
            try:
                ticket = decode_ticket(data)
            except ModelError as error:
                logger.error("ticket_unreadable", error=str(error))
                return
            if ticket.number == self.state.number + 1:
                self.state = self.state.apply(ticket)
                self.tickets.append(data)
        if self.state.number > before:
            self._metrics.in_force.set(self.state.number)
            logger.info("ticket_in_force", number=self.state.number)
            self._on_state(self.state)
            self._note_ready()
            push = TicketPush(self.tickets[before:])
            for peer in self.live_peers():
                self._peers.send(peer, push)

    def _note_ready(self) -> None:
        self.ready = self.state.number > 0

    def _on_pull(self, envelope: Envelope, message: TicketPull) -> None:
        missing = self.tickets[max(0, message.after) :]
        if missing:
            self._peers.send(envelope.sender, TicketPush(missing[:50]))

    def _on_push(self, envelope: Envelope, message: TicketPush) -> None:
        self._apply(message.tickets)


def ticket_name(number: int) -> str:
    """Return the name of a ticket's object."""
    return f"{TICKET_PREFIX}{number:08d}"


def _departed(epoch: Epoch) -> list[tuple[str, int]]:
    return list(epoch.departed)
