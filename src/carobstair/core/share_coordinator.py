"""Acknowledges epochs to other members, and transfers shares when leaving."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from carobstair.core.effects import Effect, Send
from carobstair.core.membership import Membership
from carobstair.core.messages import EpochAck, InUseEntry, PeerAddress, ShareTransfer
from carobstair.core.shares import Epoch, ShareTable, SlotShare, rendezvous_rank

__all__ = [
    "CapacityView",
    "EmptyCapacityView",
    "ShareCoordinator",
    "ShareCoordinatorSettings",
]


@dataclass(frozen=True, slots=True)
class ShareCoordinatorSettings:
    """Intervals for requesting missing acknowledgements and repeating transfers."""

    ack_every_s: float = 0.5
    transfer_every_s: float = 0.5


class CapacityView(Protocol):
    """The part of the capacity node's interface that the agent uses."""

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit the shares of the newest epoch."""

    def in_use(self) -> Mapping[str, SlotShare]:
        """Return the capacity in use, by upstream."""


class EmptyCapacityView:
    """Capacity view of a node without grants."""

    def fits_newest_epoch(self) -> bool:
        """Return True, since there are no grants."""
        return True

    def in_use(self) -> Mapping[str, SlotShare]:
        """Return an empty mapping, since nothing is in use."""
        return {}


class ShareCoordinator:
    """Sends one process's epoch acknowledgements and share transfers.

    Parameters
    ----------
    own : PeerAddress
    settings : ShareCoordinatorSettings
    shares : ShareTable
    capacity : CapacityView
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: ShareCoordinatorSettings,
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
        self._transfer_sequence = 0
        self._next_transfer_s = 0.0

    def on_new_epoch(self, now_s: float) -> list[Effect]:
        """Acknowledge a new epoch at once if the grants fit it already."""
        self._next_ack_s = now_s
        return self.acknowledge(now_s)

    def acknowledge(self, now_s: float) -> list[Effect]:
        """Acknowledge the newest epoch once; then request missing acknowledgements."""
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
            members = self._shares.other_processes()
        else:
            members = self._shares.unsettled_members(now_s)
        wants_reply = self._shares.in_transition
        names = sorted({instance for instance, _ in members} - {self._own.instance})
        return [Send(name, EpochAck(number, wants_reply)) for name in names]

    def answer(self, sender: str, ack: EpochAck) -> list[Effect]:
        """Answer a member that lacks the acknowledgement of this process."""
        is_current = ack.number == self._shares.epoch.number
        if ack.wants_reply and is_current and self._capacity.fits_newest_epoch():
            return [Send(sender, EpochAck(ack.number))]
        return []

    def transfer(self, now_s: float, membership: Membership) -> list[Effect]:
        """Transfer the shares and report to the receiver what is still in use.

        Without a receiver the shares are retained, so that a lone router still
        serves the requests it has accepted.
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
        self._transfer_sequence += 1
        in_use = [
            InUseEntry(name, used.request_slots, used.kv_tokens)
            for name, used in sorted(self._capacity.in_use().items())
            if used.request_slots or used.kv_tokens
        ]
        transfer = ShareTransfer(epoch.number, *own_id, self._transfer_sequence, in_use)
        return [Send(receiver, transfer)]

    def _choose_receiver(self, epoch: Epoch, membership: Membership) -> str | None:
        live = membership.live()
        names = [
            m.instance
            for m in epoch.members
            if m.instance in live and membership.members[m.instance].address == m
        ]
        return rendezvous_rank(self._own.instance, names)[0] if names else None
