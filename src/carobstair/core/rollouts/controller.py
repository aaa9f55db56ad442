"""One router's part in all roll-outs: orders, evidence, exposure and the verdict."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from carobstair.core.rollout_messages import (
    OrderDirective,
    RolloutNews,
    RolloutReport,
)
from carobstair.core.rollouts.collector import OrderCollector
from carobstair.core.rollouts.counts import AnswerLedger, TrackedAnswer
from carobstair.core.rollouts.effects import (
    Effect,
    LogEvent,
    SendMessage,
    decision_event,
    order_event,
)
from carobstair.core.rollouts.orders import (
    OrderState,
    Phase,
    RolloutOrder,
    RolloutState,
)
from carobstair.core.rollouts.rollout import Rollout
from carobstair.core.rollouts.settings import RolloutSettings
from carobstair.core.rollouts.verdicts import due_write
from carobstair.core.shares import rendezvous_rank
from carobstair.core.store_stamp import Stamp

__all__ = ["RolloutController"]

# Routers that collect at a time: if one is lost, the other has all counts.
COLLECTORS = 2
# Time for a write to appear. A version found bad in between would send requests to old
# upstreams that have stopped.
SETTLE_S = 1.0
# An order that a restored store lacks is kept for this time; operators write it again.
RESTORED_GRACE_S = 5.0


@dataclass(slots=True)
class RolloutController:
    """Orders of all services, as one router follows them.

    Parameters
    ----------
    name : str
        Name of this router.
    incarnation : int
        Incarnation of this process.
    settings : RolloutSettings
    count_target : callable
        Returns how many warm upstreams of a version may get requests of a service.
    skip_reason : callable
        Returns why an order can't be followed now, or an empty text.
    """

    name: str
    incarnation: int
    settings: RolloutSettings
    count_target: Callable[[str, str, float], int] = lambda service, version, now_s: 1
    skip_reason: Callable[[RolloutOrder, bool], str] = lambda order, is_new: ""
    # Raised with each change of an exposure, so that plans are computed anew.
    generation: int = 0
    _rollouts: dict[str, Rollout] = field(default_factory=dict)
    # Targets of former orders that were never completed, by service.
    _unfinished: dict[str, set[str]] = field(default_factory=dict)
    _events: list[LogEvent] = field(default_factory=list)

    # Orders and their status

    def on_order(
        self,
        order: RolloutOrder,
        stated: RolloutState | None,
        now_s: float,
        is_first_list: bool = False,
    ) -> None:
        """Apply an object that the store lists.

        Parameters
        ----------
        stated : RolloutState or None
            Its status, as far as it concerns the target of the order.
        is_first_list : bool
            Whether the object may have been there before this router started.
        """
        known = self._rollouts.get(order.service)
        if known is None:
            self._begin(order, stated, now_s, is_first_list)
            return
        if order.stamp <= known.state.order.stamp:
            return
        if known.state.is_restarted_by(order, stated):
            # The status is that of the previous order if the object kept it.
            is_kept = stated is known.state.stated
            self._begin(order, None if is_kept else stated, now_s, False)
            return
        state = known.state
        was_restored = order.stamp.era > state.order.stamp.era
        state.order, state.forget_s = order, None
        if was_restored and state.is_final and stated in (None, RolloutState.RUNNING):
            # The copy is older than the verdict, which is written again.
            state.verdict, state.stated = state.final, stated
            state.write_after_s = None
            self._note("rollout_restored", state, verdict=str(state.verdict))
            return
        self._note_stated(state, stated, now_s)

    def _begin(
        self,
        order: RolloutOrder,
        stated: RolloutState | None,
        now_s: float,
        is_first_list: bool,
    ) -> None:
        self._note_unfinished(order)
        state = OrderState(order, order.stamp, now_s, not is_first_list)
        collector = OrderCollector(self.settings, order.duration_s)
        rollout = Rollout(state, AnswerLedger(), collector)
        self._rollouts[order.service] = rollout
        self.generation += 1
        self._note("rollout_ordered", state, duration_s=order.duration_s)
        self._note_stated(state, stated, now_s)
        self._check(rollout)

    def _note_unfinished(self, order: RolloutOrder) -> None:
        """Note the target of the order that another one replaces."""
        unfinished = self._unfinished.setdefault(order.service, set())
        previous = self._rollouts.get(order.service)
        if previous is not None and not previous.state.skipped:
            state = previous.state
            if state.final is RolloutState.COMPLETED:
                unfinished.discard(state.order.target)
            else:
                unfinished.add(state.order.target)
        unfinished.discard(order.target)

    def unfinished(self, service: str, listed: Collection[str]) -> set[str]:
        """Return versions whose orders were never completed and replaced by others.

        They are bad or not judged. One that is no longer listed is forgotten.
        """
        versions = self._unfinished.get(service)
        if not versions:
            return set()
        versions.intersection_update(listed)
        return set(versions)

    def _note_stated(
        self, state: OrderState, stated: RolloutState | None, now_s: float
    ) -> None:
        state.stated = stated
        if stated in (None, RolloutState.RUNNING) or stated is state.final:
            return
        state.verdict = state.final = stated
        state.write_after_s = None
        state.share = 1.0 if stated is RolloutState.COMPLETED else 0.0
        self.generation += 1
        age_s = round(state.age_s(now_s), 2)
        self._note("rollout_status", state, state=str(stated), age_s=age_s)

    def on_removed(
        self, service: str, now_s: float, was_restored: bool = False
    ) -> None:
        """Forget an order that was removed: its versions are plain upstreams again.

        A store that was restored from a copy may lack an order that operators will
        write again; it is kept until then.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        if was_restored:
            rollout.state.forget_s = now_s + RESTORED_GRACE_S
            return
        del self._rollouts[service]
        self._unfinished.pop(service, None)
        self.generation += 1
        self._note("rollout_removed", rollout.state)

    def state_of(self, service: str) -> OrderState | None:
        """Return the order of a service, unless it is skipped."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state.skipped:
            return None
        return rollout.state

    # Requests

    def share(self, service: str, now_s: float) -> float:
        """Return the share of a service's requests for the version of its order."""
        state = self.state_of(service)
        if state is None:
            return 0.0
        if state.is_final:
            return float(state.final is RolloutState.COMPLETED)
        if state.verdict is RolloutState.ROLLED_BACK:
            return 0.0
        if now_s - state.decided_s > self.settings.evidence_timeout_s:
            return 0.0
        return state.share

    def begin_answer(
        self,
        service: str,
        route: str,
        version: str,
        upstream_id: str,
        size_tokens: int,
        is_resumable: bool = False,
        is_cold: bool = False,
    ) -> TrackedAnswer | None:
        """Count a request that is sent; None if no order of the service runs."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state.skipped or rollout.state.is_final:
            return None
        is_target = version == rollout.state.order.target
        return rollout.ledger.begin(
            route, size_tokens, upstream_id if is_target else "", is_resumable, is_cold
        )

    # Exchange and decisions

    def is_running(self) -> bool:
        """Return whether any order still needs evidence or a write."""
        return any(
            not r.state.is_final or r.state.stated is not r.state.final
            for r in self._rollouts.values()
        )

    def tick(self, heard: Collection[str], known: int, now_s: float) -> list[Effect]:
        """Return the messages, writes and log lines that are due.

        Parameters
        ----------
        heard : collection of str
            Names of the other routers that are heard.
        known : int
            Number of the other routers that the store lists.
        """
        effects: list[Effect] = []
        running: list[Rollout] = []
        for service, rollout in list(self._rollouts.items()):
            state = rollout.state
            if state.forget_s is not None and now_s >= state.forget_s:
                self.on_removed(service, now_s)
                continue
            self._check(rollout)
            if not state.is_final and not state.skipped:
                running.append(rollout)
            elif state.is_final and state.stated is not state.final:
                rank = self._ranked(heard).index(self.name)
                effects += due_write(state, rank, now_s)
        if running:
            effects += self._exchange(running, heard, known, now_s)
        effects += self._events
        self._events = []
        return effects

    def _ranked(self, heard: Collection[str]) -> list[str]:
        return rendezvous_rank("rollouts", sorted({*heard, self.name}))

    def _check(self, rollout: Rollout) -> None:
        """Skip an order that can't be followed, or follow it after all."""
        state = rollout.state
        reason = ""
        if state.phase is Phase.WAITING and not state.is_final:
            reason = self.skip_reason(state.order, state.is_witnessed)
        if reason != state.skipped:
            state.skipped = reason
            self.generation += 1
            if reason:
                self._note("rollout_skipped", state, reason=reason)

    def _exchange(
        self,
        running: list[Rollout],
        heard: Collection[str],
        known: int,
        now_s: float,
    ) -> list[Effect]:
        interval_s = self.settings.scaled_interval_s(len(heard) + 1)
        ranked = self._ranked(heard)
        collectors = ranked[:COLLECTORS]
        reports = [rollout.report(now_s) for rollout in running]
        effects: list[Effect] = []
        receivers = tuple(name for name in collectors if name != self.name)
        if receivers:
            effects.append(SendMessage(receivers, RolloutReport(reports)))
        own_rank = ranked.index(self.name)
        # Without most of the routers that the store lists, this one may be cut off.
        in_touch = len(ranked) * 2 > known + 1
        directives = []
        for rollout, report in zip(running, reports, strict=True):
            if own_rank < COLLECTORS and in_touch:
                collector = rollout.collector
                collector.note_report(self.name, self.incarnation, report, now_s)
                directive = self._decide(rollout, ranked, interval_s, now_s)
                if directive is not None:
                    directives.append(directive)
            effects += due_write(rollout.state, own_rank, now_s)
        if directives and heard:
            effects.append(SendMessage(tuple(sorted(heard)), RolloutNews(directives)))
        return effects

    def _decide(
        self,
        rollout: Rollout,
        routers: Collection[str],
        interval_s: float,
        now_s: float,
    ) -> OrderDirective | None:
        state = rollout.state
        order, age_s = state.order, state.age_s(now_s)
        if now_s < state.settled_s:
            # The write is on its way, and at its end the old upstreams stop.
            state.decided_s = now_s
            return None
        targets = self.count_target(order.service, order.target, now_s)
        decision = rollout.collector.decide(age_s, targets, routers, interval_s, now_s)
        if decision is None:
            return None
        directive = OrderDirective(
            order.service,
            order.target,
            (state.started.era, state.started.revision),
            age_s,
            decision.phase,
            decision.share,
        )
        if decision.has_advanced:
            self._events.append(
                decision_event("rollout_exposure", state, decision, age_s)
            )
        is_undone = decision.phase is Phase.BAD
        if decision.verdict not in (RolloutState.RUNNING, state.verdict) and (
            state.verdict is RolloutState.RUNNING or is_undone
        ):
            state.verdict, state.write_after_s = decision.verdict, None
            if decision.verdict is RolloutState.COMPLETED:
                state.settled_s = now_s + SETTLE_S
            self._events.append(
                decision_event("rollout_verdict", state, decision, age_s)
            )
        self._apply(state, directive, now_s)
        return directive

    # Messages

    def on_report(
        self, sender: str, incarnation: int, report: RolloutReport, now_s: float
    ) -> None:
        """Collect the report of a router."""
        for row in report.orders:
            rollout = self._matching(row.service, row.target, row.started)
            if rollout is not None:
                self._adopt_age(rollout.state, row.started, row.age_s, now_s)
                rollout.collector.note_report(sender, incarnation, row, now_s)

    def on_news(self, sender: str, news: RolloutNews, now_s: float) -> None:
        """Apply the decisions of a collector."""
        for row in news.orders:
            rollout = self._matching(row.service, row.target, row.started)
            if rollout is not None:
                self._adopt_age(rollout.state, row.started, row.age_s, now_s)
                self._apply(rollout.state, row, now_s)

    def _matching(
        self, service: str, target: str, started: tuple[int, int]
    ) -> Rollout | None:
        """Return the order that a message is about, if this router follows it."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state.order.target != target:
            return None
        state = rollout.state
        # One that this router did not see appear may have begun earlier. A status
        # that was written meanwhile makes an order seem to begin later.
        if Stamp(*started) < state.started and state.is_witnessed:
            return None
        return rollout if Stamp(*started) <= state.order.stamp else None

    def _adopt_age(
        self, state: OrderState, started: tuple[int, int], age_s: float, now_s: float
    ) -> None:
        if Stamp(*started) < state.started:
            state.started = Stamp(*started)
        if 0.0 <= age_s <= 2.0 * state.order.duration_s:
            state.began_s = min(state.began_s, now_s - age_s)

    def _apply(
        self, state: OrderState, directive: OrderDirective, now_s: float
    ) -> None:
        """Apply a decision, unless a later phase is known."""
        if state.is_final or directive.phase not in Phase._value2member_map_:
            return
        if now_s < state.settled_s:
            return
        phase = Phase(directive.phase)
        if phase < state.phase:
            return
        share = min(1.0, max(0.0, directive.share))
        if phase is Phase.BAD and state.verdict is not RolloutState.ROLLED_BACK:
            state.verdict, state.write_after_s = RolloutState.ROLLED_BACK, None
        if phase is not state.phase or share != state.share:
            self.generation += 1
        if phase is not state.phase:
            self._note(
                "rollout_phase", state, phase=phase.name.lower(), share=round(share, 3)
            )
        state.phase, state.share, state.decided_s = phase, share, now_s

    def _note(self, event: str, known: OrderState, **fields: object) -> None:
        self._events.append(order_event(event, known, **fields))
