"""Simulates capacity nodes, engines and callers on virtual time.

Tests and measurements use it. Messages are encoded and decoded, so that their sizes
are those on a network.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.effects import Granted, RefuseWaiting, Send
from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.grants import HeldGrant
from carobstair.core.limits import LoadReport
from carobstair.core.messages import PeerAddress, decode, encode, kind_of
from carobstair.core.queueing import ClassLimits, WaitingRequest, classify
from carobstair.core.refusals import Refusal
from carobstair.core.shares import Epoch
from carobstair.core.state import FleetState, Upstream, UpstreamKind, Workspace

__all__ = ["Engine", "Fleet", "FleetPlan", "closed_loop", "poisson"]

POOL = "draft"
TICK_S = 0.05
DEMAND_DELAY_S = 0.002
LOAD_POLL_S = 0.5
SAMPLE_S = 0.02
# Several tokens per event reduce the CPU time of long runs.
TOKENS_PER_EVENT = 4
ZONES = ("z0", "z1", "z2")


@dataclass(frozen=True)
class FleetPlan:
    """Sizes and parameters of a simulated fleet."""

    nodes: int = 3
    engines: int = 3
    slots: int = 8
    cold_limit: int = 8
    weights: dict[str, float] = field(default_factory=dict)
    pools: tuple[str, ...] = (POOL,)
    max_kv_tokens: int = 200_000
    one_way_s: float = 0.001
    loss: float = 0.0
    base_interval_ms: float = 20.0
    interval_ms_per_request: float = 1.0
    prefill_tokens_per_s: float = 20_000.0
    seed: int = 1
    settings: CapacitySettings = field(default_factory=CapacitySettings)

    def pool_of(self, workspace: str, generator: random.Random) -> str:
        """Return a random one of the two pools that a workspace uses."""
        first = list(self.weights).index(workspace) if len(self.pools) > 1 else 0
        second = first + generator.randrange(2)
        return self.pools[second % len(self.pools)]


@dataclass
class Engine:
    """State of a simulated engine.

    Attributes
    ----------
    incarnation : int
        Changed to simulate a restart.
    peak_running : int
        Largest number of requests that ran at once.
    unexplained : int
        Requests in the load report that come from none of the simulated routers.
    slow_factor : float
        Factor by which the time between tokens is lengthened.
    """

    upstream: Upstream
    running: int = 0
    peak_running: int = 0
    incarnation: int = 1
    loading: bool = False
    leaving: bool = False
    unexplained: int = 0
    slow_factor: float = 1.0


@dataclass
class Measurements:
    """Measurements of a run.

    Attributes
    ----------
    gap_range : dict
        Range of the difference in service per weight, by pair of workspaces.
    """

    served: Counter = field(default_factory=Counter)
    answered: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    first_token_s: dict[str, list[float]] = field(default_factory=dict)
    peer_bytes: Counter = field(default_factory=Counter)
    peer_messages: int = 0
    busy_slot_s: float = 0.0
    idle_waiting_slot_s: float = 0.0
    slot_s: float = 0.0
    gap_range: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    most_in_flight: Counter = field(default_factory=Counter)

    def gap_tokens(self, one: str, other: str) -> float:
        """Return the largest gap between two workspaces over any interval."""
        low, high = self.gap_range.get((one, other), (0.0, 0.0))
        return high - low

    def quick_first_token_s(self, workspace: str) -> list[float]:
        """Return the sorted times to the first token of quick requests."""
        return sorted(self.first_token_s.get(f"{workspace}/quick", [0.0]))

    def percentile_s(self, workspace: str, fraction: float) -> float:
        """Return a percentile of the time to the first token."""
        times = sorted(self.first_token_s.get(workspace, [0.0]))
        return times[min(len(times) - 1, int(len(times) * fraction))]


class Fleet:
    """A fleet on virtual time.

    Parameters
    ----------
    plan : FleetPlan
    """

    def __init__(self, plan: FleetPlan):
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.now_s = 0.0
        self.measured = Measurements()
        self.measured_pairs: list[tuple[str, str]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._requests = 0
        self._callers: dict[str, tuple[WaitingRequest, str, int, Callable]] = {}
        self._flush_scheduled: set[str] = set()
        self._in_flight: Counter = Counter()
        self.nodes: dict[str, CapacityNode] = {}
        self.cut_links: set[frozenset[str]] = set()
        # CPU time in the nodes and the codec, without callers and engines.
        self.control_s = 0.0
        self.state = _state(plan)
        self.engines = {n: Engine(u) for n, u in self.state.upstreams.items()}
        for index in range(plan.nodes):
            self._add_node(f"n{index}", 1)
        self.set_epoch(1)
        for name in self.nodes:
            self.start_node(name)
        self.at(SAMPLE_S, self._sample)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, action))

    def run(self, until_s: float) -> Measurements:
        """Process events up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s
        return self.measured

    def reset_measurements(self) -> None:
        """Reset the measurements, for example after a warm-up."""
        self.measured = Measurements()

    def send_request(
        self,
        node: str,
        workspace: str,
        output_tokens: int,
        hint_tokens: int | None = None,
        input_tokens: int = 40,
        on_end: Callable[[], None] = lambda: None,
        deadline_s: float = 600.0,
    ) -> None:
        """Send a request through a node; `on_end` runs after answer or refusal."""
        self._requests += 1
        hint = output_tokens if hint_tokens is None else hint_tokens
        request = WaitingRequest(
            f"r{self._requests}",
            self.plan.pool_of(workspace, self.random),
            workspace,
            classify(hint, input_tokens, ClassLimits()),
            engine_cost_tokens(hint, input_tokens),
            input_tokens + hint,
            100,
            self.now_s,
            self.now_s + deadline_s,
        )
        self._callers[request.request_id] = (request, node, output_tokens, on_end)
        try:
            began_s = time.process_time()
            effects = self.nodes[node].enqueue(request, self.now_s)
            self.control_s += time.process_time() - began_s
        except Refusal:
            self._refuse(request.request_id)
            return
        self.carry_out(node, effects)

    def carry_out(self, node: str, effects: list) -> None:
        """Execute the effects that a node returned."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(node, effect)
            elif isinstance(effect, Granted):
                self._dispatch(node, effect)
            elif isinstance(effect, RefuseWaiting):
                self._refuse(effect.request_id)
        if self.nodes[node].demand_due and node not in self._flush_scheduled:
            self._flush_scheduled.add(node)
            self.at(DEMAND_DELAY_S, lambda: self._flush(node))

    def set_epoch(self, number: int) -> None:
        """Make an epoch of all nodes settled at every node."""
        members = tuple(
            PeerAddress(n, node.totals.incarnation, "h", 1, 2, _zone(i))
            for i, (n, node) in enumerate(self.nodes.items())
        )
        for node in self.nodes.values():
            node.shares.learn(Epoch(number, members), self.now_s)
            for member in members:
                identity = (member.instance, member.incarnation)
                node.shares.acknowledge(identity, number, self.now_s)
            # At this later time all leases of earlier epochs count as lapsed.
            node.shares.settle(self.now_s + 1000.0)

    def start_node(self, name: str) -> None:
        """Set the fleet state of a node and start its timers."""
        node = self.nodes[name]
        node.live_peers = frozenset(self.nodes) - {name}
        self.carry_out(name, node.set_state(self.state, self.now_s))
        self.at(self.random.random() * TICK_S, lambda: self._tick(name, node))
        self.at(self.random.random() * LOAD_POLL_S, lambda: self._poll(name, node))

    def restart_node(self, name: str, incarnation: int) -> None:
        """Replace a node by one without state; open streams are no longer accounted."""
        self._add_node(name, incarnation)
        self.set_epoch(incarnation)
        self.start_node(name)

    def _add_node(self, name: str, incarnation: int) -> None:
        generator = random.Random(f"{self.plan.seed}/{name}/{incarnation}")
        member_id = (name, incarnation)
        self.nodes[name] = CapacityNode(member_id, self.plan.settings, generator)

    def _tick(self, name: str, node: CapacityNode) -> None:
        if self.nodes[name] is not node:
            return
        self.at(TICK_S, lambda: self._tick(name, node))
        began_s = time.process_time()
        effects = node.tick(self.now_s)
        self.control_s += time.process_time() - began_s
        self.carry_out(name, effects)

    def _flush(self, name: str) -> None:
        self._flush_scheduled.discard(name)
        began_s = time.process_time()
        effects = self.nodes[name].flush_demand(self.now_s)
        self.control_s += time.process_time() - began_s
        self.carry_out(name, effects)

    def _poll(self, name: str, node: CapacityNode) -> None:
        if self.nodes[name] is not node:
            return
        self.at(LOAD_POLL_S, lambda: self._poll(name, node))
        for upstream in node.estimated_upstreams():
            engine = self.engines[upstream]
            report = LoadReport(
                str(engine.incarnation),
                engine.running + engine.unexplained,
                0,
                engine.loading,
                engine.leaving,
            )
            self.carry_out(name, node.on_load_report(upstream, report, self.now_s))

    def _send(self, sender: str, effect: Send) -> None:
        incarnation = self.nodes[sender].totals.incarnation
        began_s = time.process_time()
        data = encode(effect.payload, sender, incarnation, 1, self._count)
        self.control_s += time.process_time() - began_s
        self.measured.peer_bytes[kind_of(effect.payload)] += len(data)
        self.measured.peer_messages += 1
        if self.random.random() < self.plan.loss:
            return
        if frozenset((sender, effect.to)) in self.cut_links:
            return
        delay_s = self.plan.one_way_s * (0.5 + self.random.random())
        self.at(delay_s, lambda: self._deliver(effect.to, data))

    def _deliver(self, to: str, data: bytes) -> None:
        began_s = time.process_time()
        envelope, payload = decode(data)
        effects = self.nodes[to].on_message(envelope.sender, payload, self.now_s)
        self.control_s += time.process_time() - began_s
        self.carry_out(to, effects)

    def _dispatch(self, node: str, effect: Granted) -> None:
        request, _, tokens, _ = self._callers[effect.request_id]
        engine = self.engines[effect.grant.offer.upstream]
        engine.running += 1
        engine.peak_running = max(engine.peak_running, engine.running)
        workspace = request.workspace
        weight = self.plan.weights.get(workspace, 1.0)
        self._in_flight[workspace] += request.cost_tokens / weight
        most = max(self.measured.most_in_flight[workspace], self._in_flight[workspace])
        self.measured.most_in_flight[workspace] = most
        input_tokens = request.kv_tokens
        prefill_s = input_tokens / self.plan.prefill_tokens_per_s
        owner = self.nodes[node]
        self.at(
            prefill_s + self._interval_s(engine),
            lambda: self._token(node, owner, effect.grant, request, 0, tokens),
        )

    def _token(
        self,
        name: str,
        node: CapacityNode,
        grant: HeldGrant,
        request: WaitingRequest,
        done: int,
        tokens: int,
    ) -> None:
        engine = self.engines[grant.offer.upstream]
        if done == 0:
            waited_s = self.now_s - request.enqueued_s
            for row in (
                request.workspace,
                f"{request.workspace}/{request.work_class}",
            ):
                self.measured.first_token_s.setdefault(row, []).append(waited_s)
        step = min(TOKENS_PER_EVENT, tokens - done)
        interval_s = self._interval_s(engine)
        node.charge(grant, float(step))
        node.note_token_interval(grant.offer.upstream, interval_s * 1000.0)
        self.measured.served[request.workspace] += step
        done += step
        self._record_gaps()
        if done < tokens:
            self.at(
                step * interval_s,
                lambda: self._token(name, node, grant, request, done, tokens),
            )
            return
        engine.running -= 1
        weight = self.plan.weights.get(request.workspace, 1.0)
        self._in_flight[request.workspace] -= request.cost_tokens / weight
        self.measured.answered[request.workspace] += 1
        on_end = self._callers.pop(request.request_id)[3]
        if self.nodes[name] is node:
            began_s = time.process_time()
            effects = node.release(grant, self.now_s)
            self.control_s += time.process_time() - began_s
            self.carry_out(name, effects)
        on_end()

    def _refuse(self, request_id: str) -> None:
        request, _, _, on_end = self._callers.pop(request_id)
        self.measured.refused[request.workspace] += 1
        self.at(0.5, on_end)

    def _interval_s(self, engine: Engine) -> float:
        ms = self.plan.base_interval_ms
        ms += self.plan.interval_ms_per_request * engine.running
        return ms * engine.slow_factor / 1000.0

    def _record_gaps(self) -> None:
        served, weights = self.measured.served, self.plan.weights
        for pair in self.measured_pairs:
            one, other = (served[w] / weights.get(w, 1.0) for w in pair)
            low, high = self.measured.gap_range.get(pair, (one - other, one - other))
            gap = one - other
            self.measured.gap_range[pair] = (min(low, gap), max(high, gap))

    def _sample(self) -> None:
        self.at(SAMPLE_S, self._sample)
        waiting = sum(len(node.queue) for node in self.nodes.values())
        slots = busy = 0
        for engine in self.engines.values():
            if self.state.accepts_work(engine.upstream) and not engine.leaving:
                slots += engine.upstream.max_requests
                busy += engine.running
        self.measured.slot_s += slots * SAMPLE_S
        self.measured.busy_slot_s += busy * SAMPLE_S
        idle = min(max(0, slots - busy), waiting)
        self.measured.idle_waiting_slot_s += idle * SAMPLE_S


def closed_loop(
    fleet: Fleet,
    workspace: str,
    clients: int,
    lengths: tuple[int, int],
    nodes: list[str],
    hint_tokens: int | None = None,
) -> None:
    """Start clients that each send a request when their last one has ended."""

    def send() -> None:
        tokens = fleet.random.randint(*lengths)
        node = fleet.random.choice(nodes)
        fleet.send_request(node, workspace, tokens, hint_tokens, on_end=send)

    for _ in range(clients):
        fleet.at(fleet.random.random() * 0.1, send)


def poisson(
    fleet: Fleet, workspace: str, per_s: float, tokens: int, nodes: list[str]
) -> None:
    """Start requests that arrive as a Poisson process."""

    def send() -> None:
        fleet.send_request(fleet.random.choice(nodes), workspace, tokens)
        fleet.at(fleet.random.expovariate(per_s), send)

    fleet.at(fleet.random.expovariate(per_s), send)


def _zone(index: int) -> str:
    return ZONES[index % len(ZONES)]


def _state(plan: FleetPlan) -> FleetState:
    workspaces = {
        name: Workspace(name, weight, pools=frozenset(plan.pools))
        for name, weight in plan.weights.items()
    }
    upstreams = {
        f"e{i}": Upstream(
            f"e{i}",
            plan.pools[i % len(plan.pools)],
            UpstreamKind.ENGINE,
            "http://h",
            _zone(i),
            cold_limit=plan.cold_limit,
            max_requests=plan.slots,
            max_kv_tokens=plan.max_kv_tokens,
        )
        for i in range(plan.engines)
    }
    return FleetState(1, workspaces, upstreams)
