"""Ticket distribution: a few watchers per zone, gossip, and anti-entropy.

Only the watchers read the object API, so the number of its calls does not grow with
the fleet. They relay new tickets to peers. A process that missed a ticket sees a
higher number in a heartbeat and pulls from that peer.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from carobstair.core.effects import Effect, Send, Warn
from carobstair.core.messages import Heartbeat, TicketPull, TicketPush
from carobstair.core.store_calls import (
    StoreAnswer,
    StoreCalls,
    StoreOutcome,
    WatchChange,
    WatchClose,
    WatchEnded,
    WatchOpen,
)
from carobstair.core.tickets import (
    TICKET_PREFIX,
    TicketLog,
    apply_or_warn,
    ticket_name,
)

__all__ = ["DistributionSettings", "TicketDistribution", "choose_relay_targets"]

SNAPSHOT_OBJECT = "snapshot"


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Settings of ticket distribution.

    Attributes
    ----------
    list_interval_s : float
        Time between two lists of new tickets, which a watcher reads besides its
        watch. This bounds the delay if a watch stalls or loses an event.
    watch_timeout_s : float
        Time without an event after which a watch is reopened; the object API sends
        an event at least every 5 s.
    relay_fanout : int
        Number of peers to which a process relays new tickets and notices. At 8, a
        push reaches all but about one process in 3000; anti-entropy reaches the rest.
    tickets_per_snapshot : int
        Number of tickets between two snapshots.
    """

    watchers_per_zone: int = 2
    list_interval_s: float = 2.0
    watch_timeout_s: float = 12.0
    retry_min_s: float = 0.2
    retry_max_s: float = 5.0
    pull_interval_s: float = 0.25
    max_tickets_per_push: int = 50
    relay_fanout: int = 8
    tickets_per_snapshot: int = 20


def choose_relay_targets(
    names: Iterable[str], fanout: int, generator: random.Random
) -> list[str]:
    """Return the peers to relay to: all, or a random sample of `fanout` peers."""
    ordered = sorted(names)
    return ordered if len(ordered) <= fanout else generator.sample(ordered, fanout)


class TicketDistribution:
    """Keeps the ticket log of one process up to date.

    Parameters
    ----------
    log : TicketLog
    settings : DistributionSettings
    calls : StoreCalls
    generator : random.Random
    peers : callable
        Returns the instances to send to, those not believed dead.
    on_change : callable
        Called with the current time after a new state came into force; returns
        effects.
    """

    def __init__(
        self,
        log: TicketLog,
        settings: DistributionSettings,
        calls: StoreCalls,
        generator: random.Random,
        peers: Callable[[], Iterable[str]],
        on_change: Callable[[float], list[Effect]],
    ):
        self._log = log
        self._settings = settings
        self._calls = calls
        self._random = generator
        self._peers = peers
        self._on_change = on_change
        self.is_watcher = False
        self.store_error: str | None = None
        self._watch: int | None = None
        self._last_watch_event_s = 0.0
        self._read_pending = False
        self._failures = 0
        self._next_read_s = 0.0
        self._next_pull_s = -math.inf
        self._snapshot_was_read = False
        self._snapshot_version: int | None = None
        self._snapshot_number: int | None = None
        self._next_snapshot_s = 0.0
        self._snapshot_call_pending = False

    # Timer

    def tick(self, now_s: float, watches: bool, writes: bool) -> list[Effect]:
        """Run what is due.

        Parameters
        ----------
        watches : bool
            Whether this process is one of its zone's watchers.
        writes : bool
            Whether this process writes the snapshots.
        """
        self.is_watcher = watches
        if not watches:
            return self._stop_watching()
        effects: list[Effect] = []
        silent_s = now_s - self._last_watch_event_s
        if self._watch is not None and silent_s > self._settings.watch_timeout_s:
            effects += [Warn("ticket_watch_silent"), *self._stop_watching()]
            self._next_read_s = now_s
        if not self._read_pending and now_s >= self._next_read_s:
            self._read_pending = True
            effects.append(self._next_read())
        if writes:
            effects += self._maintain_snapshot(now_s)
        return effects

    def _stop_watching(self) -> list[Effect]:
        if self._watch is None:
            return []
        watch, self._watch = self._watch, None
        return [WatchClose(watch)]

    # Messages

    def on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now_s: float
    ) -> list[Effect]:
        """Pull from a peer whose state is newer; warn if an equal number differs."""
        state = self._log.state
        if heartbeat.in_force == state.number:
            if heartbeat.digest != self._log.digest:
                return [
                    Warn(
                        "ticket_digest_differs",
                        f"{sender} has another digest at ticket {state.number}",
                    )
                ]
            return []
        if heartbeat.in_force < state.number or now_s < self._next_pull_s:
            return []
        self._next_pull_s = now_s + self._settings.pull_interval_s
        return [Send(sender, TicketPull(state.number))]

    def on_pull(self, sender: str, message: TicketPull) -> list[Effect]:
        """Send the tickets that a peer lacks, or a snapshot if some are not kept."""
        if message.after >= self._log.state.number:
            return []
        tickets = self._log.tickets_after(
            max(0, message.after), self._settings.max_tickets_per_push
        )
        if tickets is None:
            return [Send(sender, TicketPush([], self._log.snapshot()))]
        return [Send(sender, TicketPush(tickets))]

    def on_push(self, sender: str, push: TicketPush, now_s: float) -> list[Effect]:
        """Apply a peer's snapshot and tickets, and pull more if the push was full."""
        effects = self._restore(push.snapshot, now_s) if push.snapshot else []
        effects += self.apply_tickets(push.tickets, now_s, sender)
        if len(push.tickets) >= self._settings.max_tickets_per_push:
            effects.append(Send(sender, TicketPull(self._log.state.number)))
        return effects

    def apply_tickets(
        self, tickets: list[bytes], now_s: float, source: str = ""
    ) -> list[Effect]:
        """Put the next tickets in force and relay them to peers."""
        before = self._log.state.number
        changed, effects = apply_or_warn(self._log, tickets)
        if not changed:
            return effects
        effects += self._on_change(now_s)
        applied = (
            self._log.tickets_after(before, self._settings.max_tickets_per_push) or []
        )
        targets = set(self._peers()) - {source}
        fanout = self._settings.relay_fanout
        push = TicketPush(applied)
        return effects + [
            Send(peer, push)
            for peer in choose_relay_targets(targets, fanout, self._random)
        ]

    def _restore(self, snapshot: bytes, now_s: float) -> list[Effect]:
        try:
            newer = self._log.restore(snapshot)
        except ValueError as error:
            return [Warn("snapshot_unreadable", str(error))]
        return self._on_change(now_s) if newer else []

    # Reading the object API

    def _next_read(self):
        if self._log.state.number == 0 and not self._snapshot_was_read:
            return self._calls.get(SNAPSHOT_OBJECT, self._on_first_snapshot)
        return self._list()

    def _list(self):
        after = ticket_name(self._log.state.number)
        return self._calls.list(TICKET_PREFIX, after, self._on_list)

    def _on_first_snapshot(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok and answer.outcome is not StoreOutcome.MISSING:
            return self._on_failure(answer, now_s)
        self._snapshot_was_read = True
        effects: list[Effect] = []
        for stored in answer.objects:
            effects += self._restore(stored.value, now_s)
        return [*effects, self._list()]

    def _on_list(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok:
            return self._on_failure(answer, now_s)
        self._read_pending = False
        self._failures = 0
        self.store_error = None
        self._next_read_s = now_s + self._settings.list_interval_s
        before = self._log.state.number
        effects = self.apply_tickets([o.value for o in answer.objects], now_s)
        if self._log.state.number > before:
            # The watch should have reported these tickets first; replace it.
            effects += self._stop_watching()
        if self.is_watcher and self._watch is None:
            self._watch = self._calls.next_number()
            self._last_watch_event_s = now_s
            effects.append(WatchOpen(self._watch, TICKET_PREFIX, answer.version))
        return effects

    def _on_failure(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        self._read_pending = False
        self.store_error = str(answer.outcome)
        self._next_read_s = now_s + self._backoff_s()
        return []

    def _backoff_s(self) -> float:
        """Return an exponential delay with full jitter, so that retries spread out."""
        self._failures += 1
        settings = self._settings
        longest_s = settings.retry_min_s * 2 ** min(self._failures, 10)
        span_s = min(settings.retry_max_s, longest_s) - settings.retry_min_s
        return settings.retry_min_s + self._random.random() * span_s

    # Watch

    def on_watch_change(self, change: WatchChange, now_s: float) -> list[Effect]:
        """Handle a watch event; an event of a closed watch has no effect."""
        if change.watch != self._watch:
            return []
        self._last_watch_event_s = now_s
        if change.stored is None:
            return []
        effects = self.apply_tickets([change.stored.value], now_s)
        if change.stored.name > ticket_name(self._log.state.number):
            # The watch skipped a ticket; the list contains it.
            self._next_read_s = now_s
        return effects

    def on_watch_ended(self, ended: WatchEnded, now_s: float) -> list[Effect]:
        """Schedule a new list, then a new watch, after a delay with jitter."""
        if ended.watch == self._watch:
            self._watch = None
            self._next_read_s = now_s + self._backoff_s()
        return []

    # Snapshot

    def _maintain_snapshot(self, now_s: float) -> list[Effect]:
        known = self._snapshot_number
        number = self._log.state.number
        is_due = known is None or number >= known + self._settings.tickets_per_snapshot
        if self._snapshot_call_pending or now_s < self._next_snapshot_s or not is_due:
            return []
        if number < self._settings.tickets_per_snapshot:
            return []
        self._snapshot_call_pending = True
        if known is None:
            return [self._calls.get(SNAPSHOT_OBJECT, self._on_snapshot_read)]
        data, version = self._log.snapshot(), self._snapshot_version
        return [
            self._calls.write(
                SNAPSHOT_OBJECT,
                data,
                version,
                lambda answer, at_s: self._on_snapshot_written(answer, at_s, number),
            )
        ]

    def _on_snapshot_read(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        self._snapshot_call_pending = False
        if answer.outcome is StoreOutcome.MISSING:
            self._snapshot_number, self._snapshot_version = 0, None
            return []
        if not answer.ok:
            self._next_snapshot_s = now_s + self._settings.retry_max_s
            return []
        stored = answer.objects[0]
        self._snapshot_version = stored.version
        self._snapshot_number = self._log.snapshot_number(stored.value)
        return []

    def _on_snapshot_written(
        self, answer: StoreAnswer, now_s: float, number: int
    ) -> list[Effect]:
        self._snapshot_call_pending = False
        if answer.ok:
            self._snapshot_number, self._snapshot_version = number, answer.version
        else:
            self._snapshot_number = None
            self._next_snapshot_s = now_s + self._settings.retry_max_s
        return []
