"""Membership, epoch and tickets of a simulated router, from a shared directory.

The directory stands for the object API with its epoch and ticket objects. Each
process reads it while its link to the store works, and exchanges heartbeats and
acknowledgements of the epoch with its peers over the network.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from carobstair.core.messages import (
    Envelope,
    EpochAck,
    EpochNotice,
    Heartbeat,
    PeerAddress,
)
from carobstair.core.shares import Epoch
from carobstair.core.state import FleetState

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter

__all__ = ["STORE", "Directory", "RouterControl"]

STORE = "store"
HEARTBEAT_S = 0.5
DEAD_AFTER_S = 3.0


@dataclass
class Directory:
    """The epoch and the fleet state as the object API holds them."""

    state: FleetState
    epoch: Epoch = field(default_factory=lambda: Epoch(0))
    down_until_s: float = 0.0

    def join(self, member: PeerAddress) -> None:
        """Write an epoch with a member in the place of its former incarnation."""
        members = {m.instance: m for m in self.epoch.members}
        departed = list(self.epoch.departed)
        former = members.get(member.instance)
        if former is not None:
            departed.append((former.instance, former.incarnation))
        members[member.instance] = member
        self.epoch = Epoch(
            self.epoch.number + 1,
            tuple(members[name] for name in sorted(members)),
            tuple(departed),
        )


class RouterControl:
    """Keeps a router's view of the fleet up to date.

    Parameters
    ----------
    router : SimRouter
    """

    def __init__(self, router: SimRouter):
        self._router = router
        self._heard_s: dict[str, float] = {}
        router.repeat(HEARTBEAT_S, self._beat)

    def adopt_founding_epoch(self, epoch: Epoch) -> None:
        """Start from an epoch that all members have acknowledged."""
        now_s, shares = self._router.now_s, self._router.node.shares
        shares.learn(epoch, now_s)
        for member in epoch.member_ids():
            shares.acknowledge(member, epoch.number, now_s)
            self._heard_s[member[0]] = now_s
        self._set_live_peers()

    def receive(self, envelope: Envelope, payload) -> None:
        """Take in a peer's control message."""
        self._heard_s[envelope.sender] = self._router.now_s
        self._handle(payload, envelope)

    @singledispatchmethod
    def _handle(self, payload, envelope: Envelope) -> None:
        pass

    @_handle.register
    def _(self, notice: EpochNotice, envelope: Envelope) -> None:
        departed = tuple((name, number) for name, number in notice.departed)
        epoch = Epoch(notice.number, tuple(notice.members), departed)
        self._router.node.shares.learn(epoch, self._router.now_s)

    @_handle.register
    def _(self, ack: EpochAck, envelope: Envelope) -> None:
        member = (envelope.sender, envelope.incarnation)
        shares = self._router.node.shares
        shares.acknowledge(member, ack.number, self._router.now_s)

    def _beat(self) -> None:
        self._read_directory()
        self._set_live_peers()
        node = self._router.node
        beat = Heartbeat(
            self._router.address, node.state.number, node.shares.epoch.number
        )
        acknowledges = not node.shares.in_transition or node.fits_newest_epoch()
        for peer in self._router.world.router_names():
            if peer == self._router.name:
                continue
            self._router.send(peer, beat)
            if acknowledges:
                self._router.send(peer, EpochAck(node.shares.epoch.number))

    def _read_directory(self) -> None:
        router, directory = self._router, self._router.world.directory
        if router.now_s < directory.down_until_s:
            return
        if not router.world.network.connected(router.name, STORE):
            return
        own_id = (router.address.instance, router.address.incarnation)
        if own_id not in directory.epoch.member_ids():
            directory.join(router.address)
        router.node.shares.learn(directory.epoch, router.now_s)
        if directory.state.number > router.node.state.number:
            effects = router.node.set_state(directory.state, router.now_s)
            router.gateway.carry_out(effects)

    def _set_live_peers(self) -> None:
        oldest_s = self._router.now_s - DEAD_AFTER_S
        live = {name for name, at_s in self._heard_s.items() if at_s >= oldest_s}
        self._router.node.live_peers = frozenset(live - {self._router.name})
