"""Ticket distribution: few watchers per zone, relay, and anti-entropy.

Only the watchers read the object API, so its calls do not grow with the fleet.
They pass on what they find; a process that missed it sees a higher number in a
heartbeat and pulls from that peer.
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
    take_or_warn,
    ticket_name,
)

__all__ = ["DistributionSettings", "TicketDistribution", "choose_relays"]

SNAPSHOT_OBJECT = "snapshot"


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Settings of ticket distribution.

    Attributes
    ----------
    check_every_s : float
        How often a watcher lists new tickets beside its watch. This bounds the
        delay of a watch that went silent or lost an event.
    watch_silence_s : float
        Age of the last event from which a watch counts as silent; the object
        API sends one at least every 5 s.
    relay_fanout : int
        Peers to which a process passes on news. At 8, a push reaches all but
        about one process in 3000; anti-entropy reaches the rest.
    snapshot_every : int
        Tickets between two snapshots.
    """

    watchers_per_zone: int = 2
    check_every_s: float = 2.0
    watch_silence_s: float = 12.0
    retry_min_s: float = 0.2
    retry_max_s: float = 5.0
    pull_every_s: float = 0.25
    push_limit: int = 50
    relay_fanout: int = 8
    snapshot_every: int = 20


def choose_relays(
    names: Iterable[str], fanout: int, generator: random.Random
) -> list[str]:
    """Return the peers that news are passed on to: all, or a sample of many."""
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
        Returns the instances that messages are worth sending to.
    on_change : callable
        Called with the time when a new state is in force; returns effects.
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
        self._watch_heard_s = 0.0
        self._busy = False
        self._failures = 0
        self._next_step_s = 0.0
        self._next_pull_s = -math.inf
        self._read_snapshot = False
        self._snapshot_version: int | None = None
        self._snapshot_number: int | None = None
        self._next_snapshot_s = 0.0
        self._writing_snapshot = False

    # Time

    def tick(self, now_s: float, watches: bool, writes: bool) -> list[Effect]:
        """Do what is due.

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
        silent_s = now_s - self._watch_heard_s
        if self._watch is not None and silent_s > self._settings.watch_silence_s:
            effects += [Warn("ticket_watch_silent"), *self._stop_watching()]
            self._next_step_s = now_s
        if not self._busy and now_s >= self._next_step_s:
            self._busy = True
            effects.append(self._read())
        if writes:
            effects += self._keep_snapshot(now_s)
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
        """Pull from a peer that is ahead."""
        state = self._log.state
        if heartbeat.in_force == state.number:
            if heartbeat.digest != self._log.digest:
                return [Warn("ticket_digest_differs", f"{sender} at {state.number}")]
            return []
        if heartbeat.in_force < state.number or now_s < self._next_pull_s:
            return []
        self._next_pull_s = now_s + self._settings.pull_every_s
        return [Send(sender, TicketPull(state.number))]

    def on_pull(self, sender: str, message: TicketPull) -> list[Effect]:
        """Send what the asking peer lacks: tickets, or the whole state."""
        if message.after >= self._log.state.number:
            return []
        tickets = self._log.after(max(0, message.after), self._settings.push_limit)
        if tickets is None:
            return [Send(sender, TicketPush([], self._log.snapshot()))]
        return [Send(sender, TicketPush(tickets))]

    def on_push(self, sender: str, push: TicketPush, now_s: float) -> list[Effect]:
        """Take in a peer's tickets or state."""
        effects = self._restore(push.snapshot, now_s) if push.snapshot else []
        effects += self.take(push.tickets, now_s, sender)
        if len(push.tickets) >= self._settings.push_limit:
            effects.append(Send(sender, TicketPull(self._log.state.number)))
        return effects

    def take(
        self, tickets: list[bytes], now_s: float, source: str = ""
    ) -> list[Effect]:
        """Put the tickets that come next in force and pass them on."""
        before = self._log.state.number
        changed, effects = take_or_warn(self._log, tickets)
        if not changed:
            return effects
        effects += self._on_change(now_s)
        news = self._log.after(before, self._settings.push_limit) or []
        targets = set(self._peers()) - {source}
        fanout = self._settings.relay_fanout
        push = TicketPush(news)
        return effects + [
            Send(peer, push) for peer in choose_relays(targets, fanout, self._random)
        ]

    def _restore(self, snapshot: bytes, now_s: float) -> list[Effect]:
        try:
            newer = self._log.restore(snapshot)
        except ValueError as error:
            return [Warn("snapshot_unreadable", str(error))]
        return self._on_change(now_s) if newer else []

    # Reading the object API

    def _read(self):
        if self._log.state.number == 0 and not self._read_snapshot:
            return self._calls.get(SNAPSHOT_OBJECT, self._on_first_snapshot)
        return self._list()

    def _list(self):
        after = ticket_name(self._log.state.number)
        return self._calls.list(TICKET_PREFIX, after, self._on_list)

    def _on_first_snapshot(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok and answer.outcome is not StoreOutcome.MISSING:
            return self._failed(answer, now_s)
        self._read_snapshot = True
        effects: list[Effect] = []
        for stored in answer.objects:
            effects += self._restore(stored.value, now_s)
        return [*effects, self._list()]

    def _on_list(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok:
            return self._failed(answer, now_s)
        self._busy = False
        self._failures = 0
        self.store_error = None
        self._next_step_s = now_s + self._settings.check_every_s
        before = self._log.state.number
        effects = self.take([o.value for o in answer.objects], now_s)
        if self._log.state.number > before:
            # The watch should have told of these before the list did.
            effects += self._stop_watching()
        if self.is_watcher and self._watch is None:
            self._watch = self._calls.next_number()
            self._watch_heard_s = now_s
            effects.append(WatchOpen(self._watch, TICKET_PREFIX, answer.version))
        return effects

    def _failed(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        self._busy = False
        self.store_error = str(answer.outcome)
        self._next_step_s = now_s + self._backoff_s()
        return []

    def _backoff_s(self) -> float:
        """Return a delay with full jitter, so that retries spread out."""
        self._failures += 1
        settings = self._settings
        longest_s = settings.retry_min_s * 2 ** min(self._failures, 10)
        span_s = min(settings.retry_max_s, longest_s) - settings.retry_min_s
        return settings.retry_min_s + self._random.random() * span_s

    # Watch

    def on_watch_change(self, change: WatchChange, now_s: float) -> list[Effect]:
        """Take in a watch event; one of a closed watch has no effect."""
        if change.watch != self._watch:
            return []
        self._watch_heard_s = now_s
        if change.stored is None:
            return []
        effects = self.take([change.stored.value], now_s)
        if change.stored.name > ticket_name(self._log.state.number):
            # The watch skipped a ticket; the list has it.
            self._next_step_s = now_s
        return effects

    def on_watch_ended(self, ended: WatchEnded, now_s: float) -> list[Effect]:
        """List again, then watch again, after a delay with jitter."""
        if ended.watch == self._watch:
            self._watch = None
            self._next_step_s = now_s + self._backoff_s()
        return []

    # Snapshot

    def _keep_snapshot(self, now_s: float) -> list[Effect]:
        known = self._snapshot_number
        number = self._log.state.number
        is_due = known is None or number >= known + self._settings.snapshot_every
        if self._writing_snapshot or now_s < self._next_snapshot_s or not is_due:
            return []
        if number < self._settings.snapshot_every:
            return []
        self._writing_snapshot = True
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
        self._writing_snapshot = False
        if answer.outcome is StoreOutcome.MISSING:
            self._snapshot_number, self._snapshot_version = 0, None
            return []
        if not answer.ok:
            self._next_snapshot_s = now_s + self._settings.retry_max_s
            return []
        stored = answer.objects[0]
        self._snapshot_version = stored.version
        self._snapshot_number = self._log.number_of(stored.value)
        return []

    def _on_snapshot_written(
        self, answer: StoreAnswer, now_s: float, number: int
    ) -> list[Effect]:
        self._writing_snapshot = False
        if answer.ok:
            self._snapshot_number, self._snapshot_version = number, answer.version
        else:
            self._snapshot_number = None
            self._next_snapshot_s = now_s + self._settings.retry_max_s
        return []
