"""Exchange of load, prompt segments and state changes between routers.

No request waits for this exchange. A router that can't reach the store obtains
state changes from peers with newer revisions.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.addresses import is_host
from carobstair.core.engine_load import LoadTracker
from carobstair.core.fleet_view import (
    FleetView,
    Stamp,
    StateKind,
    StoreAvailability,
    StoreChange,
)
from carobstair.core.handoff import HandoffPeers
from carobstair.core.messages import (
    Envelope,
    FleetDigest,
    LoadRow,
    PeerAddress,
    StateNews,
    StatePull,
    StateRow,
)
from carobstair.core.router_load import EarlyShedding
from carobstair.core.upstream_capacity import WaitRow
from carobstair.edge.settings import EdgeSettings
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["Gossip"]

logger = get_logger(__name__)

MAX_SEGMENT_ROWS = 64
MAX_LEAVING_ROWS = 32
# Waits in one digest: more first bytes than one router relays in its interval, except
# under overload, when the latest are enough.
MAX_WAIT_ROWS = 64
# Rows in one state message; pulls are repeated until the router is up to date.
MAX_STATE_ROWS = 400


@dataclass(slots=True)
class _DigestGroup:
    """Peers that receive the same digests, and what was last sent to them.

    Attributes
    ----------
    cross_zone : bool
        Whether the peers are in other zones than this router.
    sent_s : float
        Monotonic time of the last digest.
    segment_cursor : int
        Position in the sequence of prompt segments; see `LoadTracker.recent_segments`.
    wait_cursor : int
        Position in the sequence of waits; see `ServiceCapacities.recent_waits`.
    sent_backlog : dict
        Backlog in prompt tokens by upstream, as last sent.
    """

    cross_zone: bool
    sent_s: float = -math.inf
    segment_cursor: int = 0
    wait_cursor: int = 0
    sent_backlog: dict[str, int] = field(default_factory=dict)


class Gossip:
    """Sends digests to all peers and pulls state that this router has missed.

    Parameters
    ----------
    own : PeerAddress
    settings : EdgeSettings
    transport : PeerTransport
    view : FleetView
    availability : StoreAvailability
    loads : LoadTracker
    rng : random.Random
    on_change : callable
        Called with a kind of state and the names of the objects that changed.
    on_peer_heard : callable, optional
        Called with the name of a peer that was not heard before, or not lately.
    shedding : EarlyShedding, optional
        States this router's utilisation and records that of the peers.

    Attributes
    ----------
    on_answer : callable
        Called with the sender and an answer to a contiguous pull that was applied.
    select_rows : callable
        Returns the rows of a message that may be applied, or None for none of it.
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: EdgeSettings,
        transport: PeerTransport,
        view: FleetView,
        availability: StoreAvailability,
        loads: LoadTracker,
        rng: random.Random,
        on_change: Callable[[StateKind, list[str]], None],
        on_peer_heard: Callable[[str], None] = lambda peer: None,
        shedding: EarlyShedding | None = None,
    ):
        self._own = own
        self._settings = settings
        self._transport = transport
        self._view = view
        self._availability = availability
        self._loads = loads
        self._rng = rng
        self._on_change = on_change
        self._on_peer_heard = on_peer_heard
        self._shedding = shedding or EarlyShedding()
        self.handoff_peers = HandoffPeers(own.zone, settings.handoff)
        # Returns the port that takes requests from peers.
        self.handoff_port: Callable[[], int] = lambda: 0
        self.on_answer = lambda sender, news: None
        self.select_rows = lambda news: news.rows
        self._peers: dict[str, PeerAddress] = {}
        self._last_heard_s: dict[str, float] = {}
        # Peers that take `EvidenceNews`.
        self._evidence_peers: set[str] = set()
        # Peers that were heard once and are not any more.
        self._silent: set[str] = set()
        self._behind_since_s: dict[str, float] = {}
        self._last_pull_s = 0.0
        self._same_zone_group = _DigestGroup(cross_zone=False)
        self._cross_zone_group = _DigestGroup(cross_zone=True)
        transport.subscribe(FleetDigest, self._on_digest)
        transport.subscribe(StatePull, self._on_pull)
        transport.subscribe(StateNews, self._on_state)

    @property
    def peers(self) -> frozenset[str]:
        """Names of the peers that the store lists or that have sent digests."""
        return frozenset(self._peers)

    def count_alive(self, now_s: float) -> int:
        """Return the number of peers that have sent a digest recently."""
        return sum(not self._is_silent(name, now_s) for name in self._last_heard_s)

    def present(self) -> frozenset[str]:
        """Return the names of the peers that are known and have not fallen silent.

        A router that has just started knows the peers that the store lists long before
        it has heard all of them.
        """
        return frozenset(self._peers.keys() - self._silent)

    def zone_peers(self) -> list[str]:
        """Return the names of the known peers of this router's zone."""
        return self._peer_names(cross_zone=False)

    def heard_by_zone(self) -> dict[str, list[str]]:
        """Return the names of the peers that have sent a digest recently, by zone."""
        zones: dict[str, list[str]] = {}
        for name in self._last_heard_s:
            zones.setdefault(self._peers[name].zone, []).append(name)
        return zones

    def evidence_peers_by_zone(self) -> dict[str, list[str]]:
        """Return those of `heard_by_zone` that pass evidence on."""
        zones: dict[str, list[str]] = {}
        for name in self._last_heard_s:
            if name in self._evidence_peers:
                zones.setdefault(self._peers[name].zone, []).append(name)
        return zones

    def add(self, address: PeerAddress) -> None:
        """Open a link to a router listed in the store or heard from directly."""
        if address.instance == self._own.instance:
            return
        if not is_host(address.host) or not address.peer_port:
            logger.warning("peer_address_invalid", peer=address.instance[:255])
            return
        known = self._peers.get(address.instance)
        if known is not None and known.incarnation >= address.incarnation:
            return
        self._peers[address.instance] = address
        self._transport.connect(address)

    def remove(self, name: str) -> None:
        """Close the link to a router that has left."""
        if self._peers.pop(name, None) is not None:
            self._transport.disconnect(name)
            self._forget_load(name)
            self._last_heard_s.pop(name, None)
            self._evidence_peers.discard(name)
            self._silent.discard(name)

    async def run(self) -> None:
        """Send digests until cancelled."""
        seeds = self._connect_seeds()
        while True:
            sync = self._settings.sync
            tick_s = sync.tick_s(len(self._peers))
            await asyncio.sleep(tick_s * self._rng.uniform(0.9, 1.1))
            now_s = time.monotonic()
            for group in (self._same_zone_group, self._cross_zone_group):
                names = self._peer_names(group.cross_zone)
                if names and self._is_due(group, now_s):
                    self._send_digest(group, names, now_s)
            if seeds and not self._last_heard_s:
                self._send_digest(_DigestGroup(False), seeds, now_s)
            self._expire_silent_peers(now_s)

    def _is_due(self, group: _DigestGroup, now_s: float) -> bool:
        """Return whether the interval has passed or the load changed enough."""
        sync, peers = self._settings.sync, len(self._peers)
        # Half a tick of tolerance, as each is jittered by a tenth.
        age_s = now_s - group.sent_s + sync.tick_s(peers) / 2
        if age_s >= sync.digest_interval_s(peers, group.cross_zone):
            return True
        return self._drift_tokens(group) >= sync.drift_limit(peers, group.cross_zone)

    def _drift_tokens(self, group: _DigestGroup) -> int:
        """Return the change in backlog, in prompt tokens, since the last digest."""
        now = {upstream: tokens for upstream, tokens, _ in self._loads.own_rows()}
        return sum(
            abs(now.get(upstream, 0) - group.sent_backlog.get(upstream, 0))
            for upstream in now.keys() | group.sent_backlog.keys()
        )

    def _send_digest(self, group: _DigestGroup, names: list[str], now_s: float) -> None:
        self._transport.send_all(names, self._make_digest(group, now_s))
        group.sent_s = now_s

    def _peer_names(self, cross_zone: bool) -> list[str]:
        return [name for name in self._peers if self._is_cross_zone(name) is cross_zone]

    def _is_cross_zone(self, name: str) -> bool:
        return self._peers[name].zone != self._own.zone

    def _connect_seeds(self) -> list[str]:
        """Open links to the seed addresses; the names of these peers are unknown."""
        names = []
        for seed in self._settings.sync.seeds:
            host, _, port = seed.rpartition(":")
            if host == self._own.host:
                continue
            name = f"seed/{seed}"
            self._transport.connect(PeerAddress(name, 0, host, int(port), 0, ""))
            names.append(name)
        return names

    def _make_digest(self, group: _DigestGroup, now_s: float) -> FleetDigest:
        rows, group.segment_cursor = self._loads.recent_segments(
            group.segment_cursor, MAX_SEGMENT_ROWS
        )
        waits: list[WaitRow] = []
        if not group.cross_zone:
            # Those of one zone's routers are enough, and bytes between zones cost.
            waits, group.wait_cursor = self._loads.capacities.recent_waits(
                group.wait_cursor, MAX_WAIT_ROWS
            )
        segments: dict[str, list[tuple[str, int]]] = {}
        for upstream, segment, tokens in rows:
            segments.setdefault(upstream, []).append((segment, tokens))
        own = self._view.stamps()
        loads = self._loads.own_rows()
        group.sent_backlog = {upstream: tokens for upstream, tokens, _ in loads}
        return FleetDigest(
            self._own,
            [own[kind.value].revision for kind in self._view.kinds],
            [LoadRow(*row) for row in loads],
            segments,
            None,
            [own[kind.value].era for kind in self._view.kinds],
            self._view.directory.leaving()[:MAX_LEAVING_ROWS],
            self._utilisation_percent(),
            waits,
            self.handoff_port(),
            routes_evidence=True,
        )

    def _utilisation_percent(self) -> int | None:
        utilisation = self._shedding.utilisation()
        return None if utilisation is None else round(100.0 * utilisation)

    def _expire_silent_peers(self, now_s: float) -> None:
        for name in list(self._last_heard_s):
            if self._is_silent(name, now_s):
                del self._last_heard_s[name]
                self._silent.add(name)
                self._forget_load(name)
                self._transport.reconnect(name)
                logger.info("peer_lost", peer=name)

    def _is_silent(self, name: str, now_s: float) -> bool:
        cross_zone = self._is_cross_zone(name)
        silence_timeout_s = self._settings.sync.silence_timeout_s(
            len(self._peers), cross_zone
        )
        return now_s - self._last_heard_s[name] > silence_timeout_s

    def _forget_load(self, name: str) -> None:
        self._loads.forget_peer(name)
        self._shedding.peers.forget(name)
        self.handoff_peers.forget(name)

    # Messages

    def _on_digest(self, envelope: Envelope, digest: FleetDigest) -> None:
        now_s = time.monotonic()
        peer = digest.address.instance
        if peer == self._own.instance:
            return
        self.add(digest.address)
        if peer not in self._peers:
            return
        if digest.routes_evidence:
            self._evidence_peers.add(peer)
        else:
            self._evidence_peers.discard(peer)
        if peer not in self._last_heard_s:
            logger.info("peer_heard", peer=peer, incarnation=envelope.incarnation)
            self._on_peer_heard(peer)
        self._last_heard_s[peer] = now_s
        self._silent.discard(peer)
        percent = digest.utilisation_percent
        utilisation = None if percent is None else percent / 100.0
        self._shedding.peers.note(peer, utilisation)
        address = self._peers[peer]
        self.handoff_peers.note(
            peer, address.zone, address.host, digest.handoff_port, utilisation, now_s
        )
        self._loads.note_peer(
            peer, ((r.upstream, r.backlog_tokens, r.running) for r in digest.loads)
        )
        for upstream, segments in digest.segments.items():
            for segment, tokens in segments:
                self._loads.note_segment(upstream, segment, tokens)
        for row in digest.waits[:MAX_WAIT_ROWS]:
            listed = self._view.directory.find(row[0])
            if listed is not None and listed.entry.born_ms == row[1]:
                self._loads.note_peer_wait(listed.entry.service, row, now_s)
        for upstream, born_ms in digest.leaving:
            self._view.directory.note_leaving_incarnation(upstream, born_ms, now_s)
        eras = digest.eras or [0] * len(digest.revisions)
        kinds = [kind.value for kind in self._view.kinds]
        stamps = map(Stamp, eras, digest.revisions)
        self._pull_if_behind(peer, dict(zip(kinds, stamps, strict=False)), now_s)

    def _pull_if_behind(
        self, peer: str, stamps: dict[str, Stamp], now_s: float
    ) -> None:
        own = self._view.stamps()
        if all(own[kind] >= stamps.get(kind, own[kind]) for kind in own):
            self._behind_since_s.pop(peer, None)
            return
        since_s = self._behind_since_s.setdefault(peer, now_s)
        wait_s = self._settings.sync.behind_s
        has_no_config = self._view.version == 0
        if not has_no_config and now_s - since_s < wait_s:
            return
        if now_s - self._last_pull_s < wait_s:
            return
        self._last_pull_s = now_s
        revisions = {kind: stamp.revision for kind, stamp in own.items()}
        eras = {kind: stamp.era for kind, stamp in own.items()}
        self._transport.send(peer, StatePull(revisions, eras))

    def _on_pull(self, envelope: Envelope, pull: StatePull) -> None:
        if pull.contiguous:  # Answered by `StoreFollowingDriver`.
            return
        steady = self._availability.grace_until_s(time.monotonic()) is None
        for kind in self._view.kinds:
            known, era = pull.revisions.get(kind.value, 0), pull.eras.get(kind.value, 0)
            changes = self._view.changes_since(kind, known, era)
            if not changes:
                continue
            # After a restore the receiver may know objects that no longer exist.
            stamp = self._view.stamps()[kind.value]
            complete = era < stamp.era
            rows = [
                StateRow(c.name, c.revision, c.spec, c.era)
                for c in (changes if complete else changes[:MAX_STATE_ROWS])
            ]
            news = StateNews(kind.value, rows, steady, stamp if complete else None)
            self._transport.send(envelope.sender, news)

    def _on_state(self, envelope: Envelope, news: StateNews) -> None:
        now_s = time.monotonic()
        kind = StateKind(news.kind)
        if kind not in self._view.kinds:
            return
        rows = self.select_rows(news)
        if rows is None:
            logger.info("state_outdated", peer=envelope.sender, kind=news.kind)
            return
        grace_until_s = None if news.steady else now_s + self._availability.grace_s
        changes = [
            StoreChange(row.name, row.revision, row.spec, row.era) for row in rows
        ]
        if news.complete_at is None:
            names = self._view.apply(kind, changes, grace_until_s, now_s)
        else:
            era, revision = news.complete_at
            names = self._view.apply_list(
                kind, changes, revision, grace_until_s, now_s, era
            )
        if names:
            logger.info(
                "state_from_peer",
                peer=envelope.sender,
                kind=news.kind,
                count=len(names),
            )
            self._on_change(kind, names)
        if news.through is not None:
            self.on_answer(envelope.sender, news)
