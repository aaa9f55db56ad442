"""Estimates of an upstream's load, and placement by the time to the first token.

Answers the load of many callers with long prompts that share parts: engines read
prompts at a limited rate and keep the parts they have read, so where a request
goes decides both how long it waits and whether a part is read again.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["LoadBook", "PlacementSettings", "PromptShape", "SentRequest"]

# Memory of an engine until the configuration names it.
DEFAULT_KV_TOKENS = 500_000

# Parts lately sent that peers may still have to be told; more are not worth it.
MAX_PART_NEWS = 256

NOTHING = (0, 0)
# Far below any cost, so that it only decides between equals.
TIE_S = 1e-6

Parts = tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class PromptShape:
    """Sizes of a model request.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        The output as the caller expects it, or its maximum.
    parts : tuple of (str, int)
        Parts of the prompt in order, each an id with its tokens.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: Parts = ()


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights of the estimated time to the first token.

    Attributes
    ----------
    read_tokens_per_s : float
        Prompt tokens that an engine reads in a second, from its data sheet.
    backlog_weight : float
        Weight of prompt tokens that wait at an engine ahead of the request.
    unread_weight : float
        Weight of the request's own tokens that the engine must read. Far above 1:
        what is read twice takes time from every other request, and going to
        where parts are held costs only a longer wait.
    running_s : float
        Delay by each request that runs: the step grows with the batch.
    other_zone_s : float
        Cost of leaving the zone, for the hop and the bytes.
    full_wait_s : float
        Mean wait for prompts ahead at which engines have enough: below two thirds of
        the shortest objective for the first token, 400 ms, as waits vary.
    full_running : float
        Requests running on an engine at which it has enough: from its data sheet a
        step takes half as long again as with one request. With more, long answers
        miss their deadlines.
    full_slots : float
        The same as a part of the slots, for engines with few: beyond all slots
        requests wait.
    held_fraction : float
        Part of an engine's memory that is taken to hold known parts; the rest
        goes to running requests and to parts that only peers know.
    """

    read_tokens_per_s: float = 56_600.0
    backlog_weight: float = 3.0
    unread_weight: float = 16.0
    running_s: float = 0.002
    other_zone_s: float = 0.005
    full_wait_s: float = 0.25
    full_running: float = 22.0
    full_slots: float = 0.8
    held_fraction: float = 0.5


@dataclass(slots=True)
class SentRequest:
    """A request that an upstream holds."""

    upstream_id: str
    unread_tokens: int
    sent_s: float
    began_s: float | None = None


@dataclass(slots=True)
class _Load:
    backlog_tokens: int = 0
    running: int = 0
    unanswered: dict[int, SentRequest] = field(default_factory=dict)
    heard_s: float = 0.0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_slots: int = 0
    reported_s: float = -1.0
    held: OrderedDict[str, int] = field(default_factory=OrderedDict)
    held_tokens: int = 0


@dataclass(slots=True)
class LoadBook:
    """Load per upstream: own requests, what peers say and what answers carry.

    Attributes
    ----------
    kv_tokens : int
        Memory of one engine.
    """

    settings: PlacementSettings
    zone: str
    kv_tokens: int = DEFAULT_KV_TOKENS
    _loads: dict[str, _Load] = field(default_factory=dict)
    _peers: dict[str, dict[str, tuple[int, int]]] = field(default_factory=dict)
    # Sums over the peers: placement reads them for every upstream and request.
    _peer_totals: dict[str, list[int]] = field(default_factory=dict)
    _news: deque[tuple[str, str, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_PART_NEWS)
    )
    _news_count: int = 0

    # Own requests

    def begin(self, upstream_id: str, prompt: PromptShape, now_s: float) -> SentRequest:
        """Count a request that is being sent."""
        load = self._load(upstream_id)
        sent = SentRequest(upstream_id, self.unread_tokens(upstream_id, prompt), now_s)
        load.backlog_tokens += sent.unread_tokens
        load.running += 1
        load.unanswered[id(sent)] = sent
        for part, tokens in prompt.parts:
            self.note_part(upstream_id, part, tokens)
        # The last part is the request's own; peers can't make use of it.
        self._news.extend((upstream_id, p, t) for p, t in prompt.parts[:-1])
        self._news_count += len(prompt.parts[:-1])
        return sent

    def note_first_byte(self, sent: SentRequest, now_s: float) -> None:
        """Note that an engine has read a prompt."""
        load = self._load(sent.upstream_id)
        load.heard_s = now_s
        if sent.began_s is None:
            sent.began_s = now_s
            load.backlog_tokens -= sent.unread_tokens
            load.unanswered.pop(id(sent), None)

    def note_heard(self, upstream_id: str, now_s: float) -> None:
        """Note that an upstream has sent something."""
        self._load(upstream_id).heard_s = now_s

    def end(self, sent: SentRequest, now_s: float) -> None:
        """Count a request no longer."""
        load = self._load(sent.upstream_id)
        if sent.began_s is None:
            load.backlog_tokens -= sent.unread_tokens
            load.unanswered.pop(id(sent), None)
        load.running -= 1

    # Parts

    def note_part(self, upstream_id: str, part: str, tokens: int) -> None:
        """Remember that an engine has read a part or is reading it."""
        load = self._load(upstream_id)
        load.held_tokens += tokens - load.held.pop(part, 0)
        load.held[part] = tokens
        # The least recently used parts yield, as in the engine.
        while load.held_tokens > self.settings.held_fraction * self.kv_tokens:
            load.held_tokens -= load.held.popitem(last=False)[1]

    def forget_parts(self, upstream_id: str) -> None:
        """Forget the parts of an engine that has restarted."""
        load = self._load(upstream_id)
        load.held.clear()
        load.held_tokens = 0

    def unread_tokens(self, upstream_id: str, prompt: PromptShape) -> int:
        """Return the prompt tokens that an engine would have to read."""
        held = self._load(upstream_id).held
        unread = prompt.prompt_tokens
        for part, tokens in prompt.parts:
            if part not in held:
                break
            unread -= tokens
        return max(0, unread)

    # What others say

    def note_report(
        self, upstream_id: str, running: int, waiting: int, slots: int, now_s: float
    ) -> None:
        """Take in the load that an answer carried."""
        load = self._load(upstream_id)
        load.reported_running, load.reported_waiting = running, waiting
        load.reported_slots, load.reported_s = slots, now_s

    def note_peer(self, peer: str, rows: Iterable[tuple[str, int, int]]) -> None:
        """Replace what a peer has in hand: backlog tokens and requests running."""
        self.forget_peer(peer)
        self._peers[peer] = {u: (tokens, running) for u, tokens, running in rows}
        self._add_peer(peer, 1)

    def forget_peer(self, peer: str) -> None:
        """Forget the load of a peer that is gone."""
        self._add_peer(peer, -1)
        self._peers.pop(peer, None)

    def own_rows(self) -> list[tuple[str, int, int]]:
        """Return upstream, backlog tokens and requests running of this router."""
        return [
            (u, load.backlog_tokens, load.running)
            for u, load in self._loads.items()
            if load.running
        ]

    def part_news(
        self, since: int, limit: int
    ) -> tuple[list[tuple[str, str, int]], int]:
        """Return upstream, part and tokens of what was sent since an earlier call.

        Parameters
        ----------
        since : int
            What the earlier call returned second; 0 at first.
        limit : int
            Rows; the newest are kept.
        """
        count = min(self._news_count - since, len(self._news), limit)
        rows = list(self._news)[-count:] if count > 0 else []
        return rows, self._news_count

    def keep(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that are gone and hold nothing of ours."""
        for upstream_id in [u for u in self._loads if u not in upstream_ids]:
            if not self._loads[upstream_id].running:
                del self._loads[upstream_id]

    # Estimates

    def backlog_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens that wait at an engine for all routers."""
        peers = self._peer_totals.get(upstream_id, NOTHING)[0]
        return self._load(upstream_id).backlog_tokens + peers

    def running(self, upstream_id: str) -> int:
        """Return the requests that all routers have at an upstream."""
        peers = self._peer_totals.get(upstream_id, NOTHING)[1]
        return self._load(upstream_id).running + peers

    def own_running(self, upstream_id: str) -> int:
        """Return the requests that this router has at an upstream."""
        return self._load(upstream_id).running

    def stalls(self, upstream_ids: Iterable[str], now_s: float) -> dict[str, float]:
        """Return for how long upstreams have owed an answer and said nothing.

        Only those that owe one are named.
        """
        stalls = {}
        for upstream_id in upstream_ids:
            load = self._loads.get(upstream_id)
            if load is not None and load.unanswered:
                oldest_s = next(iter(load.unanswered.values())).sent_s
                stalls[upstream_id] = max(0.0, now_s - max(oldest_s, load.heard_s))
        return stalls

    def first_token_s(self, upstream_id: str, zone: str, prompt: PromptShape) -> float:
        """Return the weighted estimate that placement compares."""
        rules = self.settings
        work = (
            rules.backlog_weight * self.backlog_tokens(upstream_id)
            + rules.unread_weight * self.unread_tokens(upstream_id, prompt)
        ) / rules.read_tokens_per_s
        hop_s = 0.0 if zone == self.zone else rules.other_zone_s
        return work + rules.running_s * self.running(upstream_id) + hop_s

    def expected_wait_s(self, upstream_id: str, prompt: PromptShape) -> float:
        """Return the plain estimate of the time to the first token."""
        tokens = self.backlog_tokens(upstream_id)
        tokens += self.unread_tokens(upstream_id, prompt)
        return tokens / self.settings.read_tokens_per_s

    def pressure(self, upstreams: Mapping[str, int]) -> float:
        """Return how loaded some engines are; 1 is as much as they should be.

        Parameters
        ----------
        upstreams : mapping
            Slots by upstream id.
        """
        rules = self.settings
        tokens = sum(map(self.backlog_tokens, upstreams))
        wait_s = tokens / rules.read_tokens_per_s / max(1, len(upstreams))
        running = sum(map(self.running, upstreams))
        room = sum(
            min(rules.full_running, rules.full_slots * slots)
            for slots in upstreams.values()
        )
        return max(wait_s / rules.full_wait_s, running / max(1.0, room))

    def pick(
        self,
        candidates: Iterable[tuple[str, str]],
        prompt: PromptShape,
        rng: random.Random,
    ) -> str:
        """Return the engine with the least `first_token_s`, ties at random.

        It is computed in one pass without calls: with hundreds of engines they
        would take most of the time of a request.

        Parameters
        ----------
        candidates : iterable of (str, str)
            Upstream id and zone, at least one.
        """
        rules = self.settings
        per_backlog_s = rules.backlog_weight / rules.read_tokens_per_s
        per_unread_s = rules.unread_weight / rules.read_tokens_per_s
        best, least_s = "", math.inf
        for upstream_id, zone in candidates:
            backlog, running = self._peer_totals.get(upstream_id, NOTHING)
            unread = prompt.prompt_tokens
            load = self._loads.get(upstream_id)
            if load is not None:
                backlog += load.backlog_tokens
                running += load.running
                for part, tokens in prompt.parts:
                    if part not in load.held:
                        break
                    unread -= tokens
            cost_s = per_backlog_s * backlog + rules.running_s * running
            if unread > 0:
                cost_s += per_unread_s * unread
            if zone != self.zone:
                cost_s += rules.other_zone_s
            cost_s += TIE_S * rng.random()
            if cost_s < least_s:
                best, least_s = upstream_id, cost_s
        return best

    def pick_plain(
        self, candidates: Iterable[tuple[str, str]], rng: random.Random
    ) -> str:
        """Return the least loaded upstream of a plain service."""
        ranked = []
        for u, zone in candidates:
            cost = float(self.running(u))
            if zone != self.zone:
                cost += 0.5
            ranked.append((cost, rng.random(), u))
        return min(ranked)[2]

    def _add_peer(self, peer: str, sign: int) -> None:
        for upstream_id, (tokens, running) in self._peers.get(peer, {}).items():
            totals = self._peer_totals.setdefault(upstream_id, [0, 0])
            totals[0] += sign * tokens
            totals[1] += sign * running
            if totals == [0, 0]:
                del self._peer_totals[upstream_id]

    def _load(self, upstream_id: str) -> _Load:
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = _Load()
        return load
