"""What routers tell each other: load, parts of prompts, and changes of state.

Nothing here is waited for by a request. A router that the store turns away gets
changes from a peer that is ahead of it.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.engine_load import LoadBook
from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange, StoreTrust
from carobstair.core.messages import (
    Envelope,
    FleetDigest,
    LoadRow,
    PeerAddress,
    StateNews,
    StatePull,
    StateRow,
)
from carobstair.edge.settings import EdgeSettings
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["Gossip"]

logger = get_logger(__name__)

MAX_PART_ROWS = 64
# Rows of one state message; a pull is repeated until nothing is missing.
MAX_STATE_ROWS = 400


@dataclass(slots=True)
class _Told:
    """What peers of one zone, or of all others, have been told.

    Attributes
    ----------
    far : bool
        Whether they are in other zones.
    at_s, demands_s : float
        When they were last told anything, and the demand.
    parts : int
        See `LoadBook.part_news`.
    backlog : dict
        Prompt tokens in hand by upstream.
    """

    far: bool
    at_s: float = -math.inf
    demands_s: float = -math.inf
    parts: int = 0
    backlog: dict[str, int] = field(default_factory=dict)


class Gossip:
    """Digests to all peers, and pulls of state that this router has missed.

    Parameters
    ----------
    own : PeerAddress
    settings : EdgeSettings
    transport : PeerTransport
    view : FleetView
    trust : StoreTrust
    loads : LoadBook
    admission : FairAdmission
    rng : random.Random
    on_news : callable
        Called with the kind and the names that changed.
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: EdgeSettings,
        transport: PeerTransport,
        view: FleetView,
        trust: StoreTrust,
        loads: LoadBook,
        admission: FairAdmission,
        rng: random.Random,
        on_news: Callable[[StateKind, list[str]], None],
    ):
        self._own = own
        self._settings = settings
        self._transport = transport
        self._view = view
        self._trust = trust
        self._loads = loads
        self._admission = admission
        self._rng = rng
        self._on_news = on_news
        self._peers: dict[str, PeerAddress] = {}
        self._heard_s: dict[str, float] = {}
        self._behind_since_s: dict[str, float] = {}
        self._pulled_s = 0.0
        self._near = _Told(far=False)
        self._far = _Told(far=True)
        transport.subscribe(FleetDigest, self._on_digest)
        transport.subscribe(StatePull, self._on_pull)
        transport.subscribe(StateNews, self._on_state)

    @property
    def peers(self) -> frozenset[str]:
        """Names of the peers that were heard or are listed."""
        return frozenset(self._peers)

    def alive(self, now_s: float) -> int:
        """Return how many peers were heard lately."""
        return sum(not self._is_silent(name, now_s) for name in self._heard_s)

    def add(self, address: PeerAddress) -> None:
        """Open a link to a router that the store or a peer names."""
        if address.instance == self._own.instance:
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
            self._heard_s.pop(name, None)

    async def run(self) -> None:
        """Send digests until cancelled."""
        seeds = self._connect_seeds()
        while True:
            sync = self._settings.sync
            await asyncio.sleep(sync.digest_s * self._rng.uniform(0.9, 1.1))
            now_s = time.monotonic()
            for told in (self._near, self._far):
                names = self._peer_names(told.far)
                if names and self._is_due(told, now_s):
                    self._tell(told, names, now_s)
            if seeds and not self._heard_s:
                self._tell(_Told(False), seeds, now_s)
            self._forget_silent(now_s)

    def _is_due(self, told: _Told, now_s: float) -> bool:
        """Return whether it is time for a digest, or much has changed since."""
        sync, peers = self._settings.sync, len(self._peers)
        # Half a turn early counts: turns vary by a tenth.
        age_s = now_s - told.at_s + sync.digest_s / 2
        if age_s >= sync.digest_interval_s(peers, told.far):
            return True
        return self._drift_tokens(told) >= sync.drift_limit(peers, told.far)

    def _drift_tokens(self, told: _Told) -> int:
        """Return by how many prompt tokens the load differs from what was told."""
        now = {upstream: tokens for upstream, tokens, _ in self._loads.own_rows()}
        return sum(
            abs(now.get(upstream, 0) - told.backlog.get(upstream, 0))
            for upstream in now.keys() | told.backlog.keys()
        )

    def _tell(self, told: _Told, names: list[str], now_s: float) -> None:
        self._transport.send_all(names, self._digest(told, now_s))
        told.at_s = now_s

    def _peer_names(self, far: bool) -> list[str]:
        return [name for name in self._peers if self._is_far(name) is far]

    def _is_far(self, name: str) -> bool:
        return self._peers[name].zone != self._own.zone

    def _connect_seeds(self) -> list[str]:
        """Open links to the addresses in the settings, whose names aren't known."""
        names = []
        for seed in self._settings.sync.seeds:
            host, _, port = seed.rpartition(":")
            if host == self._own.host:
                continue
            name = f"seed/{seed}"
            self._transport.connect(PeerAddress(name, 0, host, int(port), 0, ""))
            names.append(name)
        return names

    def _digest(self, told: _Told, now_s: float) -> FleetDigest:
        rows, told.parts = self._loads.part_news(told.parts, MAX_PART_ROWS)
        parts: dict[str, list[tuple[str, int]]] = {}
        for upstream, part, tokens in rows:
            parts.setdefault(upstream, []).append((part, tokens))
        own = self._view.revisions()
        loads = self._loads.own_rows()
        told.backlog = {upstream: tokens for upstream, tokens, _ in loads}
        return FleetDigest(
            self._own,
            [own[kind.value] for kind in StateKind],
            [LoadRow(*row) for row in loads],
            parts,
            self._demands(told, now_s),
        )

    def _demands(self, told: _Told, now_s: float) -> dict[str, dict[str, int]] | None:
        if now_s - told.demands_s < self._settings.sync.demand_s:
            return None
        told.demands_s = now_s
        demands: dict[str, dict[str, int]] = {}
        for pool, workspace, rate in self._admission.own_rows(now_s):
            demands.setdefault(pool, {})[workspace] = round(rate)
        return demands

    def _forget_silent(self, now_s: float) -> None:
        for name in list(self._heard_s):
            if self._is_silent(name, now_s):
                del self._heard_s[name]
                self._forget_load(name)
                self._transport.reconnect(name)
                logger.info("peer_lost", peer=name)

    def _is_silent(self, name: str, now_s: float) -> bool:
        far = self._is_far(name)
        silence_s = self._settings.sync.silence_s(len(self._peers), far)
        return now_s - self._heard_s[name] > silence_s

    def _forget_load(self, name: str) -> None:
        self._loads.forget_peer(name)
        self._admission.forget_peer(name)

    # Messages

    def _on_digest(self, envelope: Envelope, digest: FleetDigest) -> None:
        now_s = time.monotonic()
        peer = digest.address.instance
        if peer == self._own.instance:
            return
        self.add(digest.address)
        if peer not in self._heard_s:
            logger.info("peer_heard", peer=peer, incarnation=envelope.incarnation)
        self._heard_s[peer] = now_s
        self._loads.note_peer(
            peer, ((r.upstream, r.backlog_tokens, r.running) for r in digest.loads)
        )
        if digest.demands is not None:
            rows = (
                (pool, workspace, rate)
                for pool, rates in digest.demands.items()
                for workspace, rate in rates.items()
            )
            self._admission.note_peer(peer, rows)
        for upstream, parts in digest.parts.items():
            for part, tokens in parts:
                self._loads.note_part(upstream, part, tokens)
        kinds = [kind.value for kind in StateKind]
        self._compare(peer, dict(zip(kinds, digest.revisions, strict=False)), now_s)

    def _compare(self, peer: str, revisions: dict[str, int], now_s: float) -> None:
        own = self._view.revisions()
        if all(own[kind] >= revisions.get(kind, 0) for kind in own):
            self._behind_since_s.pop(peer, None)
            return
        since_s = self._behind_since_s.setdefault(peer, now_s)
        wait_s = self._settings.sync.behind_s
        new = self._view.version == 0
        if not new and now_s - since_s < wait_s:
            return
        if now_s - self._pulled_s < wait_s:
            return
        self._pulled_s = now_s
        self._transport.send(peer, StatePull(own))

    def _on_pull(self, envelope: Envelope, pull: StatePull) -> None:
        steady = self._trust.lapse_until_s(time.monotonic()) is None
        for kind in StateKind:
            changes = self._view.changes_since(kind, pull.revisions.get(kind.value, 0))
            if changes:
                rows = [
                    StateRow(c.name, c.revision, c.spec)
                    for c in changes[:MAX_STATE_ROWS]
                ]
                news = StateNews(kind.value, rows, steady)
                self._transport.send(envelope.sender, news)

    def _on_state(self, envelope: Envelope, news: StateNews) -> None:
        now_s = time.monotonic()
        kind = StateKind(news.kind)
        lapse_until_s = None if news.steady else now_s + self._trust.grace_s
        changes = [StoreChange(row.name, row.revision, row.spec) for row in news.rows]
        names = self._view.apply(kind, changes, lapse_until_s, now_s)
        if names:
            logger.info(
                "state_from_peer",
                peer=envelope.sender,
                kind=news.kind,
                count=len(names),
            )
            self._on_news(kind, names)
