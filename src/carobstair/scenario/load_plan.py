"""Loads that are played on the routers, and what the callers got."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from carobstair.core.admission import AdmissionSettings
from carobstair.core.engine_load import PlacementSettings
from carobstair.core.share_collector import ShareSettings
from carobstair.scenario.batch_engine import BatchEngineSpec

__all__ = ["CallerGroup", "LoadPlan", "LoadReport", "TokensBySecond"]


@dataclass(frozen=True, slots=True)
class CallerGroup:
    """Requests of one workspace and one size.

    Attributes
    ----------
    rate_per_s : float
    shared_tokens, own_tokens, output_tokens : int
        Mean sizes; a shared segment is one of `segments` of the group's workspace.
    aim_s, deadline_s : float
        Objective for the first token, and when the caller gives up.
    begin_s, end_s : float
        When the group sends requests.
    routers : tuple of int
        Numbers of the routers that first attempts reach; all by their weights if
        empty. Second attempts reach any router.
    """

    workspace: str
    rate_per_s: float
    shared_tokens: int = 200
    own_tokens: int = 600
    output_tokens: int = 290
    segments: int = 10
    aim_s: float = 0.4
    deadline_s: float = 12.0
    begin_s: float = 0.0
    end_s: float = 1e9
    routers: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load, and the fleet that it is played on.

    Attributes
    ----------
    router_weights : tuple of float
        Fraction of the requests that each router receives, in relative terms.
    digest_s : float
        Interval between the digests of one router.
    share_s : float
        Interval between the exchanges of demand by one router; that of digests if 0.
    loaded_share_s : float
        The same of routers that find the engines loaded.
    ideal : bool
        Admit a request exactly if some engine really has a free slot and little to
        read. What begins then is what the engines take.
    tokens_per_s : float
        Configured throughput of all engines.
    lost_engines : int
        Engines that end at `lost_at_s`.
    silent_s : tuple of float
        From when to when no sums arrive, as if the collector were lost or frozen.
    lost_totals : float
        Part of the sums that are lost.
    restarted_part, restarted_s : float
        Part of the routers that restart, and when. Their requests end.
    speeds : tuple of float
        Speeds of the engines in turn; all run at `spec` if empty.
    slowdowns : mapping
        Periods in which neighbours slow an engine down, by its number.
    states_slowdown : bool
        Whether engines report their slowdown.
    shares_segments : bool
        Whether digests carry the segments that a router has sent, and its waits.
    zones : tuple of str
        Zones of routers and of engines in turn.
    digest_delay_s : float
        Time until a digest reaches the others.
    has_homes : bool
        Whether the homes of shared prompt parts are enabled.
    """

    groups: tuple[CallerGroup, ...]
    engines: int = 7
    router_weights: tuple[float, ...] = (6.0, 2.0, 1.0, 1.0)
    seconds: float = 20.0
    digest_s: float = 0.2
    tokens_per_s: float = 1e6
    spec: BatchEngineSpec = BatchEngineSpec()
    admission: AdmissionSettings = AdmissionSettings()
    placement: PlacementSettings = PlacementSettings()
    seed: int = 1
    lost_engines: int = 0
    lost_at_s: float = 0.0
    silent_s: tuple[float, float] = (math.inf, math.inf)
    lost_totals: float = 0.0
    restarted_part: float = 0.0
    restarted_s: float = 0.0
    share_s: float = 0.0
    loaded_share_s: float = ShareSettings().loaded_interval_s
    ideal: bool = False
    speeds: tuple[float, ...] = ()
    slowdowns: Mapping[int, Sequence[tuple[float, float, float]]] = field(
        default_factory=dict
    )
    states_slowdown: bool = False
    shares_segments: bool = False
    zones: tuple[str, ...] = ("a",)
    digest_delay_s: float = 0.0
    has_homes: bool = False


TokensBySecond = dict[int, Counter[str]]


@dataclass(slots=True)
class LoadReport:
    """Outcomes by workspace, and what the engines did.

    `counts` has the outcomes of each workspace, each request counted once with its
    last outcome: ``in-aim``, ``late``, ``refused``, ``failed`` or ``gave-up``.

    Attributes
    ----------
    asked, begun, refusals : mapping
        Weighted tokens of first attempts, weighted tokens whose answers began, and
        refused attempts, by second and workspace.
    returned, returned_begun : int
        Second attempts, and those whose answers began.
    waited_begun : int
        Requests that waited at a router and were sent in time.
    slot_waits_s : mapping
        Times for which requests waited for a slot, by the second of their arrival.
    loads : dict
        Slots in use relative to all, and the mean factor, by second.
    shared_reads : Counter
        How often engines read each shared segment.
    repeated_tokens : int
        Tokens of shared segments that an engine read while another kept them.
    other_zone_sends, other_zone_tokens : int
        Sends to engines of other zones, and the prompt tokens of these.
    """

    counts: dict[str, Counter] = field(default_factory=dict)
    first_token_s: list[float] = field(default_factory=list)
    refused_again: int = 0
    rejected: int = 0
    read_tokens: int = 0
    # Work by engine relative to its speed, for the balance.
    weighed_work: dict[str, float] = field(default_factory=dict)
    other_zone_sends: int = 0
    other_zone_tokens: int = 0
    shared_reads: Counter[str] = field(default_factory=Counter)
    repeated_tokens: int = 0
    requests: int = 0
    timeline: dict[int, Counter] = field(default_factory=dict)
    asked: TokensBySecond = field(default_factory=lambda: defaultdict(Counter))
    begun: TokensBySecond = field(default_factory=lambda: defaultdict(Counter))
    refusals: TokensBySecond = field(default_factory=lambda: defaultdict(Counter))
    returned: int = 0
    returned_begun: int = 0
    waited_begun: int = 0
    slot_waits_s: dict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    loads: dict[int, list[float]] = field(default_factory=dict)

    def balance(self) -> float:
        """Return the busiest engine's work over the mean, weighed by speed."""
        work = self.weighed_work.values()
        return max(work) * len(work) / max(1.0, sum(work))

    def begun_per_s(self, begin_s: int, end_s: int) -> float:
        """Return the weighted tokens a second that began in some seconds."""
        tokens = sum(sum(self.begun[s].values()) for s in range(begin_s, end_s))
        return tokens / (end_s - begin_s)

    def slot_wait_s(self, begin_s: int, end_s: int) -> float:
        """Return the median wait for a slot of requests that begin in some seconds."""
        return median(w for s in range(begin_s, end_s) for w in self.slot_waits_s[s])

    def worst_part(self, begin_s: int, end_s: int, span_s: int = 6) -> float:
        """Return the least part of its due that a workspace with refusals got.

        Its due in a span is the least of what it asked and what the best served
        workspace got. Only workspaces with a refusal in each second count.
        """
        worst = 1.0
        for first in range(begin_s, end_s - span_s + 1):
            seconds = range(first, first + span_s)
            got: Counter[str] = sum((self.begun[s] for s in seconds), Counter())
            asked: Counter[str] = sum((self.asked[s] for s in seconds), Counter())
            best = max(got.values(), default=0.0)
            for workspace, tokens in asked.items():
                if all(self.refusals[s][workspace] for s in seconds):
                    due = min(tokens, best)
                    worst = min(worst, got[workspace] / due if due else 1.0)
        return worst

    def fraction(self, outcome: str, workspace: str | None = None) -> float:
        """Return the fraction of the requests with an outcome."""
        counters = [
            counter
            for name, counter in self.counts.items()
            if workspace in (None, name)
        ]
        total = sum(sum(counter.values()) for counter in counters)
        return sum(counter[outcome] for counter in counters) / max(1, total)
