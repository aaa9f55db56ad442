"""Tells the other members that grants fit a new epoch, and gives shares away."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from carobstair.core.effects import Effect, Send
from carobstair.core.membership import Membership
from carobstair.core.messages import EpochAck, InUseEntry, PeerAddress, ShareTransfer
from carobstair.core.shares import Epoch, ShareTable, SlotShare, rendezvous_rank

__all__ = ["CapacityView", "NoCapacity", "ShareKeeper", "ShareKeeperSettings"]


@dataclass(frozen=True, slots=True)
class ShareKeeperSettings:
    """How often missing acknowledgements are asked for and transfers repeated."""

    ack_every_s: float = 0.5
    transfer_every_s: float = 0.5


class CapacityView(Protocol):
    """What the agent has to know of the capacity node beside it."""

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit the shares of the newest epoch."""

    def in_use(self) -> Mapping[str, SlotShare]:
        """Return what is in use per upstream."""


class NoCapacity:
    """View of a node that grants nothing."""

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit; there are none."""
        return True

    def in_use(self) -> Mapping[str, SlotShare]:
        """Return what is in use per upstream: nothing."""
        return {}


class ShareKeeper:
    """Speaks for one process about its shares.

    Parameters
    ----------
    own : PeerAddress
    settings : ShareKeeperSettings
    shares : ShareTable
    capacity : CapacityView
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: ShareKeeperSettings,
        shares: ShareTable,
        capacity: CapacityView,
    ):
        self._own = own
        self._settings = settings
        self._shares = shares
        self._capacity = capacity
        self._acked_epoch = 0
        self._next_ack_s = 0.0
        self._receivers: dict[int, str] = {}
        self._transfers = 0
        self._next_transfer_s = 0.0

    def on_new_epoch(self, now_s: float) -> list[Effect]:
        """Acknowledge a new epoch at once if the grants fit it already."""
        self._next_ack_s = now_s
        return self.acknowledge(now_s)

    def acknowledge(self, now_s: float) -> list[Effect]:
        """Tell the other members once that the grants fit; ask who has not told."""
        number = self._shares.epoch.number
        if now_s < self._next_ack_s or not number:
            return []
        if self._acked_epoch == number and not self._shares.in_transition:
            return []
        self._next_ack_s = now_s + self._settings.ack_every_s
        if not self._capacity.fits_newest_epoch():
            return []
        if self._acked_epoch < number:
            self._acked_epoch = number
            members = self._shares.concerned_members()
        else:
            members = self._shares.unsettled_members(now_s)
        asks = self._shares.in_transition
        names = sorted({instance for instance, _ in members} - {self._own.instance})
        return [Send(name, EpochAck(number, asks)) for name in names]

    def answer(self, sender: str, ack: EpochAck) -> list[Effect]:
        """Answer a member that lacks the acknowledgement of this process."""
        same = ack.number == self._shares.epoch.number
        if ack.wants_reply and same and self._capacity.fits_newest_epoch():
            return [Send(sender, EpochAck(ack.number))]
        return []

    def transfer(self, now_s: float, membership: Membership) -> list[Effect]:
        """Give the shares away and tell the receiver what is still in use here.

        Without a receiver they stay in use, so that a lone router still serves
        what it has taken in.
        """
        epoch = self._shares.epoch
        own_id = (self._own.instance, self._own.incarnation)
        if now_s < self._next_transfer_s or own_id not in epoch.member_ids():
            return []
        self._next_transfer_s = now_s + self._settings.transfer_every_s
        receiver = self._receivers.get(epoch.number)
        receiver = receiver or self._choose_receiver(epoch, membership)
        if receiver is None:
            return []
        self._shares.give_away()
        # A second receiver could use the same shares at the same time.
        self._receivers[epoch.number] = receiver
        self._transfers += 1
        in_use = [
            InUseEntry(name, used.request_slots, used.kv_tokens)
            for name, used in sorted(self._capacity.in_use().items())
            if used.request_slots or used.kv_tokens
        ]
        transfer = ShareTransfer(epoch.number, *own_id, self._transfers, in_use)
        return [Send(receiver, transfer)]

    def _choose_receiver(self, epoch: Epoch, membership: Membership) -> str | None:
        live = membership.live()
        names = [
            m.instance
            for m in epoch.members
            if m.instance in live and membership.members[m.instance].address == m
        ]
        return rendezvous_rank(self._own.instance, names)[0] if names else None
