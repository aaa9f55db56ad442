"""Messages between the routers of a played load: digests and sums of demand."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from carobstair.core.share_collector import ShareCollector
from carobstair.core.share_exchange import EARLY_PART, LOADED
from carobstair.scenario.load_plan import LoadPlan
from carobstair.scenario.load_router import POOL, PlayedRouter

__all__ = ["LoadExchange"]

# Intervals from the report of a router until the totals with it reach another: it
# passes two collectors, each of which sends at its own interval.
TOTALS_DELAY_INTERVALS = 1.5


class LoadExchange:
    """Passes on what routers tell each other, as late as in a large fleet.

    Parameters
    ----------
    plan : LoadPlan
    routers : sequence of PlayedRouter
    at : callable
        Calls an action at a time.
    """

    def __init__(
        self,
        plan: LoadPlan,
        routers: Sequence[PlayedRouter],
        at: Callable[[float, Callable[[float], None]], None],
    ):
        self._plan = plan
        self._routers = routers
        self._at = at
        self._rng = random.Random(f"{plan.seed} messages")
        self._collector = ShareCollector()

    def start(self) -> None:
        """Begin with the messages of all routers, one after the other."""
        plan = self._plan
        for number, router in enumerate(self._routers):
            offset_s = plan.digest_s * number / len(self._routers)
            self._at(offset_s, lambda t, r=router: self._digest(r, t))
            if plan.share_s:
                offset_s = plan.share_s * number / len(self._routers)
                self._at(offset_s, lambda t, r=router: self._exchange_often(r, t))

    def _digest(self, sender: PlayedRouter, now_s: float) -> None:
        if now_s > self._plan.seconds:
            return
        rows, segments, waits = sender.loads.own_rows(), [], []
        if self._plan.shares_segments:
            segments, sender.segment_cursor = sender.loads.recent_segments(
                sender.segment_cursor, 100
            )
            waits, sender.wait_cursor = sender.loads.capacities.recent_waits(
                sender.wait_cursor, 100
            )
        if not self._plan.share_s:
            self._exchange(sender, 0.0, now_s)

        def receive(at_s: float) -> None:
            for router in self._routers:
                if router is not sender:
                    router.loads.note_peer(sender.name, rows)
                    for upstream, segment, tokens in segments:
                        router.loads.note_segment(upstream, segment, tokens)
                    if router.loads.zone == sender.loads.zone:
                        for row in waits:
                            router.loads.note_peer_wait(POOL, row, at_s)

        if self._plan.digest_delay_s:
            self._at(now_s + self._plan.digest_delay_s, receive)
        else:
            receive(now_s)
        self._at(now_s + self._plan.digest_s, lambda t: self._digest(sender, t))

    def _exchange_often(self, sender: PlayedRouter, now_s: float) -> None:
        """Exchange demand at the interval that `ShareExchange` would use."""
        if now_s > self._plan.seconds:
            return
        calm_s = check_s = self._plan.share_s
        if sender.admission.may_be_loaded:
            check_s = min(self._plan.loaded_share_s, calm_s)
        is_loaded = sender.admission.is_loaded(LOADED)
        due_s = sender.exchanged_s + (1.0 - EARLY_PART) * calm_s
        if is_loaded or now_s >= due_s:
            sender.exchanged_s = now_s
            self._exchange(sender, check_s if is_loaded else calm_s, now_s)
        self._at(now_s + check_s, lambda t: self._exchange_often(sender, t))

    def _exchange(self, sender: PlayedRouter, interval_s: float, now_s: float) -> None:
        dispatcher, admission = sender.dispatcher, sender.admission
        for pool in admission.pools():
            if admission.conserves_work(pool):
                load = sender.room.read(pool, now_s)
                admission.refresh_conserving(pool, load, now_s)
                continue
            pressure = dispatcher.pressure(pool, now_s)
            slots_used = dispatcher.slots_used(pool, now_s)
            admission.refresh(pool, pressure, slots_used, now_s)
        self._collector.note_report(sender.name, admission.report(now_s), now_s)
        fleet = self._collector.fleet_totals()
        totals = self._collector.totals_for(sender.name, fleet)
        if not self._plan.share_s:
            admission.note_totals(totals, now_s)
            return
        begin_s, end_s = self._plan.silent_s
        is_lost = self._rng.random() < self._plan.lost_totals
        if is_lost or begin_s <= now_s < end_s:
            return
        at_s = now_s + TOTALS_DELAY_INTERVALS * interval_s
        self._at(at_s, lambda t: sender.admission.note_totals(totals, t))
