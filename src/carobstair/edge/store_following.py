"""Sends and receives the messages of following the store by few routers."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable

from carobstair.core.fleet_view import FleetView, StoreAvailability
from carobstair.core.messages import (
    Envelope,
    FollowNews,
    StateNews,
    StatePull,
    StateRow,
)
from carobstair.core.store_following import (
    StoreFollowing,
    contiguous_answers,
    select_rows,
)
from carobstair.edge.follower import StoreFollower
from carobstair.edge.gossip import Gossip
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.settings import EdgeSettings
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["StoreFollowingDriver"]

logger = get_logger(__name__)

# A small part of the time after which a silent router is replaced; a turn takes some
# 10 us in a zone of 30 routers.
TICK_S = 0.1
# Time over which the routers of a fleet end their pending watches when this is enabled:
# each makes four calls.
RENEW_SPREAD_S = 0.5


class StoreFollowingDriver:
    """Runs `StoreFollowing` for a router; does nothing until it is enabled.

    Parameters
    ----------
    following : StoreFollowing
    follower : StoreFollower
        Told to begin and to stop watching.
    gossip : Gossip
        Knows the peers and applies the answers to pulls.
    transport : PeerTransport
    view : FleetView
    availability : StoreAvailability
    settings : EdgeSettings
    utilisation : callable
        Returns the utilisation of the event loop, or None.
    metrics : EdgeMetrics
    rng : random.Random
    """

    def __init__(
        self,
        following: StoreFollowing,
        follower: StoreFollower,
        gossip: Gossip,
        transport: PeerTransport,
        view: FleetView,
        availability: StoreAvailability,
        settings: EdgeSettings,
        utilisation: Callable[[], float | None],
        metrics: EdgeMetrics,
        rng: random.Random,
    ):
        self._following = following
        self._follower = follower
        self._gossip = gossip
        self._transport = transport
        self._view = view
        self._availability = availability
        self._settings = settings
        self._utilisation = utilisation
        self._metrics = metrics
        self._rng = rng
        self._enabled = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._pulled = False
        self._was_first = True
        metrics.watches_store.set(1)
        follower.on_changes_read = self._on_changes_read
        gossip.on_answer = self._on_answer
        gossip.select_rows = self._select_rows
        transport.subscribe(FollowNews, self._on_news)
        transport.subscribe(StatePull, self._on_pull)

    def enable(self) -> None:
        """Leave the watching to a few routers of each zone from now on."""
        if self._following.is_enabled:
            return
        self._following.is_enabled = True
        self._enabled.set()
        logger.info(
            "store_following_enabled",
            followers_per_zone=self._settings.sync.followers_per_zone,
        )

    async def run(self) -> None:
        """Decide on the role and send what is due, until cancelled."""
        await self._enabled.wait()
        self._renew_watches_soon()
        while True:
            self._tick(time.monotonic())
            await asyncio.sleep(TICK_S * self._rng.uniform(0.9, 1.1))

    def _tick(self, now_s: float) -> None:
        was_first, self._was_first = self._was_first, self._following.is_first(now_s)
        if self._was_first and not was_first and self._following.watches:
            self._renew_watches_soon()
        heard = self._gossip.heard_by_zone().get(self._settings.zone, [])
        watched = self._following.watches
        if self._following.update(heard, self._utilisation(), now_s):
            role = str(self._following.duty.role)
            self._metrics.watch_roles.labels(role).inc()
            self._metrics.watches_store.set(self._following.watches)
            logger.info("watch_role_changed", role=role, peers=len(heard))
            if self._following.watches is not watched:
                self._follower.note_role()
        self._send_due(now_s)

    def _renew_watches_soon(self) -> None:
        asyncio.get_running_loop().call_later(
            self._rng.uniform(0.0, RENEW_SPREAD_S), self._follower.renew_watches
        )

    def _send_due(self, now_s: float) -> None:
        """Send the announcement and the pull that are due, and set the next timer."""
        following = self._following
        if now_s >= following.announcement_due_s(now_s):
            news = following.announce(now_s)
            self._transport.send_all(self._gossip.zone_peers(), news)
        self._pull(now_s)
        self._set_timer(now_s)

    def _pull(self, now_s: float) -> None:
        was_alone = now_s < self._following.pulls.alone_until_s
        pull = self._following.next_pull(now_s)
        if pull is None:
            return
        if self._pulled:
            self._metrics.state_pulls.labels("unanswered").inc()
        self._pulled = self._transport.send(*pull)
        if not was_alone and now_s < self._following.pulls.alone_until_s:
            logger.warning("store_watched_alone", peer=pull[0])

    def _set_timer(self, now_s: float) -> None:
        """Wake up for what is due before the next turn."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        following = self._following
        due_s = min(following.announcement_due_s(now_s), following.pulls.due_s)
        if due_s < math.inf and due_s - now_s < TICK_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._send_due(time.monotonic())

    def _on_changes_read(self) -> None:
        if self._following.is_enabled:
            self._following.note_changes_read()
            self._send_due(time.monotonic())

    # Messages

    def _on_news(self, envelope: Envelope, news: FollowNews) -> None:
        if not self._following.is_enabled:
            return
        now_s = time.monotonic()
        peer_count = len(self._gossip.zone_peers())
        effect = self._following.on_news(envelope.sender, news, peer_count, now_s)
        if effect.is_steady is not None:
            event = "store_steady" if effect.is_steady else "store_unsteady"
            logger.info(event, peer=envelope.sender)
        if effect.newer_era is not None:
            # All routers list at the same time.
            spread_s = self._settings.sync.relist_spread_s(len(self._gossip.peers))
            asyncio.get_running_loop().call_later(
                self._rng.uniform(0.0, spread_s),
                self._follower.note_era,
                effect.newer_era,
            )
        if effect.verify:
            self._follower.verify()
        self._set_timer(now_s)

    def _on_pull(self, envelope: Envelope, pull: StatePull) -> None:
        if not pull.contiguous:
            return
        steady = self._availability.grace_until_s(time.monotonic()) is None
        reads = self._following.reads
        for news in contiguous_answers(self._view, reads, pull, steady):
            self._transport.send(envelope.sender, news)

    def _select_rows(self, news: StateNews) -> list[StateRow] | None:
        if not self._following.is_enabled:
            return news.rows
        return select_rows(news, self._view, self._following.reads)

    def _on_answer(self, sender: str, news: StateNews) -> None:
        now_s = time.monotonic()
        if self._pulled:
            self._pulled = False
            self._metrics.state_pulls.labels("answered").inc()
        self._following.on_answer(sender, news, now_s)
        self._follower.note_era_read(news.through[0])
        if self._following.duty.role.watches:
            # Others may hear of it from this router only.
            self._following.note_changes_read()
        self._send_due(now_s)
