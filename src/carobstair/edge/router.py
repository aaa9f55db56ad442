"""The edge router process: construction, serving, reload and shutdown."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import random
import signal
import time
from collections.abc import Callable
from dataclasses import replace

import msgspec
from prometheus_client import generate_latest

from carobstair.core.admission import EngineRoom, FairAdmission
from carobstair.core.directory import UpstreamDirectory
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker
from carobstair.core.evidence_routing import EvidenceRouter
from carobstair.core.fleet_view import (
    BASE_KINDS,
    FleetView,
    StateKind,
    StoreAvailability,
)
from carobstair.core.handoff import HandoffDecision, HandoffPeers
from carobstair.core.memory_ledger import MemoryKind, MemoryLedger
from carobstair.core.messages import PeerAddress
from carobstair.core.overload import OverloadGuard
from carobstair.core.rollouts import RolloutController, RolloutSettings, VersionGate
from carobstair.core.router_load import LoopUtilisation, Withdrawal
from carobstair.core.send_limits import ColdSendLimit, ResendLimit
from carobstair.core.share_exchange import ShareExchange
from carobstair.core.store_following import FollowingSettings, StoreFollowing
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.edge.app import EdgeApp
from carobstair.edge.arrival_gate import ArrivalGate
from carobstair.edge.capacity_reports import CapacityReports
from carobstair.edge.connection_pool import ConnectionPool
from carobstair.edge.evidence_exchange import EvidenceExchange
from carobstair.edge.follower import StoreFollower
from carobstair.edge.gossip import Gossip
from carobstair.edge.handoff_driver import Handoff
from carobstair.edge.handoff_server import HandoffPort
from carobstair.edge.home_reports import HomeReports
from carobstair.edge.memory import memory_bounds_bytes
from carobstair.edge.metadata import Dialect
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.refusal_store import RefusalStore
from carobstair.edge.relay import Relay
from carobstair.edge.rollout_driver import RolloutDriver
from carobstair.edge.rollout_evidence import RolloutEvidence
from carobstair.edge.server import CallerServer, PageServer
from carobstair.edge.settings import EdgeSettings
from carobstair.edge.share_sync import ShareSync
from carobstair.edge.state_store import StateStore, StoreError
from carobstair.edge.store_following import StoreFollowingDriver
from carobstair.logs import get_logger
from carobstair.net.connection_limits import ConnectionLimits, ConnectionSettings
from carobstair.net.peer_guard import PeerLimits
from carobstair.net.peers import LinkKeys, PeerTransport
from carobstair.process_signals import on_reload
from carobstair.settings_error import SettingsError

__all__ = ["EdgeRouter", "PlatformParts"]

logger = get_logger(__name__)

CLEANUP_INTERVAL_S = 0.25
# Interval between measurements of event loop lag; each wakes the process up.
LAG_PROBE_INTERVAL_S = 0.1
# Allows refusals and final response data to be written before the process exits.
FLUSH_DELAY_S = 0.05
# A timer that fires later shows that the event loop is late.
LATE_TIMER_S = 0.05
SETTINGS_CHECK_INTERVAL_S = 1.0
SERVICE_LOG_INTERVAL_S = 2.0
# Workspaces in the log lines of one interval.
MAX_LOGGED_WORKSPACES = 4
# Upstreams with a limit in the log lines of one interval.
MAX_LOGGED_LIMITS = 8
# Changed objects listed in one log line.
MAX_LOGGED_NAMES = 16
# A digest has some hundred bytes, and a list of all objects some 100 kB, which is
# fetched from one peer.
PEER_LIMITS = PeerLimits(
    burst_bytes=512 * 1024,
    bytes_per_s=4 * 1024 * 1024,
    total_burst_bytes=4 * 1024 * 1024,
    total_bytes_per_s=16 * 1024 * 1024,
)
# Settings applied on reload. The others, such as addresses and placement, are read
# once at start.
RELOADABLE = frozenset({"send_limits", "stop"})


class PlatformParts(msgspec.Struct):
    """Components that a platform adapter provides.

    Attributes
    ----------
    make_store : callable
        Returns a store client, given a function that counts calls.
    decode_routing, decode_upstream : callable
        See `FleetView`.
    reload : callable
        Returns the current settings; raises `SettingsError`.
    settings_stamp : callable
        Returns a value that changes whenever the settings change.
    decode_rollout, encode_rollout_status : callable
        See `RolloutDriver`.
    """

    dialect: Dialect
    make_store: Callable[[Callable[[str, str], None]], StateStore]
    decode_routing: Callable
    decode_upstream: Callable
    reload: Callable[[], EdgeSettings]
    settings_stamp: Callable[[], object]
    decode_rollout: Callable
    encode_rollout_status: Callable


class EdgeRouter:
    """An edge router: caller-facing server, relay, store follower and gossip.

    Parameters
    ----------
    settings : EdgeSettings
    platform : PlatformParts
    utilisation : LoopUtilisation, optional
        Measure of the event loop that runs the router, if it has one.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        platform: PlatformParts,
        utilisation: LoopUtilisation | None = None,
    ):
        self._settings = settings
        self._platform = platform
        started_s = time.monotonic()
        listen = settings.listen
        self._own = PeerAddress(
            settings.name,
            time.time_ns() // 1_000_000,
            listen.host,
            listen.peer_port,
            listen.callers_port,
            settings.zone,
        )
        self._rng = random.Random()
        self.metrics = EdgeMetrics()
        self._store = platform.make_store(self._count_store_call)
        self._directory = UpstreamDirectory(settings.directory)
        self.view = FleetView(
            self._directory,
            platform.decode_routing,
            platform.decode_upstream,
            kinds=tuple(StateKind) if settings.rollouts else BASE_KINDS,
        )
        self._availability = StoreAvailability(settings.directory.removal_grace_s)
        self._loads = LoadTracker(settings.placement, settings.zone)
        self._capacity_reports = CapacityReports(self._loads, self.metrics)
        self._health = UpstreamHealth(settings.health)
        self._dispatcher = Dispatcher(
            settings.name,
            self._directory,
            self._loads,
            self._health,
            ColdSendLimit(settings.send_limits, started_s),
            ResendLimit(settings.send_limits),
            self._rng,
        )
        self._admission = FairAdmission(settings.admission)
        self._room = EngineRoom(
            self._dispatcher,
            self._admission.load_of_others,
            self._admission.conserves_work,
            self._admission.unseen_part,
        )
        self._connections = ConnectionPool()
        self._overload = OverloadGuard(settings.overload, utilisation)
        self._withdrawal = Withdrawal()
        self._loads.on_capacity_enabled = self._on_capacity_enabled
        self._home_reports = HomeReports(self._loads.homes, self.metrics)
        if settings.overload.redirect:
            self._home_reports.enable("settings")
        self._ledger = MemoryLedger(memory_bounds_bytes(settings))
        relay = Relay(
            self._dispatcher, self._connections, platform.dialect, self._ledger
        )
        relay.responses.event_pause_s = self._overload.early.event_pause_s
        self._guard = relay.guard
        self._refusals = RefusalStore(
            self._guard, self.view, self._store, self._dispatcher.rank
        )
        self._guard.on_change = self._refusals.on_change
        self.app = EdgeApp(
            self.view,
            relay,
            self._admission,
            platform.dialect,
            self.metrics,
            self._rng,
            settings.max_open_requests,
            self._should_close_connections,
            self._overload,
            self._room,
        )
        limits = ConnectionLimits(
            ConnectionSettings(
                listen.max_connections,
                max_held_bytes=settings.max_connection_memory_bytes,
            ),
            self.metrics.count_closed("callers"),
        )
        self._ledger.attach(MemoryKind.CALLERS, lambda: limits.held_bytes)
        self._handoff = Handoff(
            HandoffDecision(
                settings.handoff,
                HandoffPeers(settings.zone, settings.handoff),
                settings.max_open_requests,
            ),
            self._overload.early,
            self.app.refusals,
            self.metrics,
            self._rng,
            lambda: not limits.is_tight,
        )
        gate = ArrivalGate()
        self._handoff_port = HandoffPort(
            self.app, settings, gate, self.metrics, self._ledger
        )
        self._caller_server = CallerServer(
            self.app,
            listen.host,
            listen.callers_port,
            gate,
            self.app.refusals,
            limits,
            self._handoff,
            self.metrics.count_unanswered,
        )
        self._ready_server = PageServer(
            self._ready_page,
            listen.host,
            listen.ready_port,
            self.metrics.count_closed("ready"),
        )
        self._metrics_server = PageServer(
            self._metrics_page,
            listen.host,
            listen.metrics_port,
            self.metrics.count_closed("metrics"),
        )
        transport = PeerTransport(
            self._own,
            listen,
            LinkKeys(),
            self.metrics,
            replace(PEER_LIMITS, max_connections=listen.max_peer_connections),
        )
        self._transport = transport
        self._gossip = Gossip(
            self._own,
            settings,
            transport,
            self.view,
            self._availability,
            self._loads,
            self._rng,
            self._on_state_change,
            self._on_peer_heard,
            self._overload.early,
        )
        self._gossip.handoff_peers = self._handoff.decision.peers
        self._gossip.handoff_port = lambda: self._handoff_port.port
        if settings.overload.hand_off:
            self._enable_handoff()
        self._evidence_exchange = EvidenceExchange(
            self._guard,
            transport,
            lambda: self._gossip.peers,
            EvidenceRouter(settings.name, settings.zone, self._own.incarnation),
            self._gossip.evidence_peers_by_zone,
            self._gossip.present,
        )
        self._permits = relay.permits
        self._permits.attach(transport, lambda: self._gossip.peers)
        self._permits.count = lambda outcome: self.metrics.permits.labels(outcome).inc()
        self._dispatcher.permits.others = self._gossip.present
        self._share_sync = ShareSync(
            ShareExchange(
                settings.name, settings.zone, self._admission, settings.shares
            ),
            transport,
            self._gossip.heard_by_zone,
            self._dispatcher,
            self._rng,
            self._room,
        )
        following = StoreFollowing(
            settings.name,
            settings.zone,
            self.view.kinds,
            FollowingSettings(settings.sync.followers_per_zone),
            self._availability,
            self._rng,
        )
        self._follower = StoreFollower(
            self._store,
            self.view,
            self._availability,
            settings.sync,
            self._rng,
            self._on_state_change,
            lambda: len(self._gossip.peers),
            self._on_restore,
            following,
        )
        self._store_following = StoreFollowingDriver(
            following,
            self._follower,
            self._gossip,
            transport,
            self.view,
            self._availability,
            settings,
            self._overload.early.utilisation,
            self.metrics,
            self._rng,
        )
        if settings.overload.redirect:
            self._store_following.enable()
        self._rollouts: RolloutDriver | None = None
        if settings.rollouts is not None:
            self._rollouts = self._make_rollouts(settings.rollouts, relay)
        self._registration: asyncio.Task | None = None
        self._stopping = asyncio.Event()
        # Monotonic times: when the event loop last was on time, and the earliest time
        # at which the stop signal may have been sent.
        self._on_time_s = started_s
        self._signalled_s = started_s

    def _make_rollouts(self, settings: RolloutSettings, relay: Relay) -> RolloutDriver:
        controller = RolloutController(
            self._own.instance, self._own.incarnation, settings
        )
        gate = VersionGate(self._directory, controller, settings)
        evidence = RolloutEvidence(controller, self._dispatcher, self.metrics)
        self._dispatcher.versions, relay.rollouts = gate, evidence
        return RolloutDriver(
            controller,
            gate,
            evidence,
            self.view,
            self._store,
            self._transport,
            lambda: [
                n for names in self._gossip.heard_by_zone().values() for n in names
            ],
            lambda: len(self._gossip.peers),
            self._platform.decode_rollout,
            self._platform.encode_rollout_status,
            self.metrics,
            self._rng,
        )

    async def run(self) -> None:
        """Serve until a stop signal, then drain open requests and exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        on_reload(loop, self._reload)
        # Incomplete responses are logged with their request, not as server errors.
        logging.getLogger("uvicorn.error").disabled = True
        tasks = [
            asyncio.create_task(self._caller_server.serve()),
            asyncio.create_task(self._ready_server.serve()),
            asyncio.create_task(self._metrics_server.serve()),
            asyncio.create_task(self._handoff_port.run()),
            asyncio.create_task(self._transport.run()),
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._store_following.run()),
            asyncio.create_task(self._gossip.run()),
            asyncio.create_task(self._share_sync.run()),
            asyncio.create_task(self._clean_up()),
            asyncio.create_task(self._measure_lag()),
            asyncio.create_task(self._watch_settings()),
            asyncio.create_task(self._log_service()),
        ]
        self._registration = asyncio.create_task(self._register())
        if self._rollouts is not None:
            tasks.append(asyncio.create_task(self._rollouts.run()))
        logger.info(
            "router_started",
            instance=self._own.instance,
            incarnation=self._own.incarnation,
        )
        await self._stopping.wait()
        open_requests = await self._drain()
        logger.info("router_stopped", open=open_requests)
        for task in (*tasks, self._registration):
            task.cancel()
        # Exit without waiting for the remaining tasks: connections close with the
        # process, and the platform stops anything left over.
        os._exit(0)

    def _on_signal(self) -> None:
        # Further signals have no effect: open requests keep their grace period.
        if not self._stopping.is_set():
            # A late event loop handles the signal long after it was sent.
            self._signalled_s = min(self._on_time_s, time.monotonic())
            self._stopping.set()

    def _reload(self, reason: str) -> None:
        """Apply the settings that can change while the process runs."""
        try:
            reloaded = self._platform.reload()
        except SettingsError as error:
            logger.warning("settings_not_reloaded", reason=reason, error=str(error))
            return
        changed = [
            name
            for name in EdgeSettings.model_fields
            if getattr(reloaded, name) != getattr(self._settings, name)
        ]
        applied = [name for name in changed if name in RELOADABLE]
        self._settings = self._settings.model_copy(
            update={name: getattr(reloaded, name) for name in applied}
        )
        self._dispatcher.cold.settings = self._settings.send_limits
        self._dispatcher.resends.settings = self._settings.send_limits
        logger.info(
            "settings_reloaded",
            reason=reason,
            applied=",".join(applied),
            needs_restart=",".join(n for n in changed if n not in RELOADABLE),
        )

    async def _watch_settings(self) -> None:
        """Reload the settings if their file changes without a signal."""
        seen = self._platform.settings_stamp()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            stamp = self._platform.settings_stamp()
            if stamp != seen:
                seen = stamp
                self._reload("file changed")

    async def _drain(self) -> int:
        """Report unready, serve late requests, then finish or cancel open ones.

        Returns the number of requests that were open when the time was over.
        """
        stop = self._settings.stop
        began_s = self._signalled_s
        stop_deadline_s = began_s + stop.grace_s - stop.margin_s
        logger.info(
            "router_stopping",
            open=self._open_requests(),
            late_s=round(time.monotonic() - began_s, 3),
        )
        accept_s = min(stop.accept_s, stop.grace_s / 2)
        self.app.stream_cutoff_s = began_s + accept_s
        self.app.stop_deadline_s = stop_deadline_s
        self.app.draining = True
        self._handoff.decision.stopping = True
        self._dispatcher.permits.is_leaving = True
        leaving = asyncio.create_task(self._unregister())
        await asyncio.sleep(max(0.0, began_s + accept_s - time.monotonic()))
        await self._wait_until_idle(stop_deadline_s)
        # Refuse all requests from here on: one accepted between the last check and
        # the exit would be lost.
        self.app.stream_cutoff_s = self.app.stop_deadline_s = -math.inf
        await asyncio.sleep(FLUSH_DELAY_S)
        await self._wait_until_idle(stop_deadline_s)
        open_requests = self._open_requests()
        for task in list(self.app.open_requests):
            task.cancel()
        self._handoff.abort_all()
        leaving.cancel()
        # Not longer: what is read after the last look would be lost with the process.
        await self._wait_until_idle(time.monotonic() + FLUSH_DELAY_S)
        return open_requests

    async def _wait_until_idle(self, stop_deadline_s: float) -> None:
        while time.monotonic() < stop_deadline_s and (
            self._open_requests()
            or not self._caller_server.is_idle
            or not self._handoff_port.is_idle
        ):
            await asyncio.sleep(0.02)

    def _open_requests(self) -> int:
        """Return how many requests run, here or at the peers that took them over."""
        return len(self.app.open_requests) + self._handoff.open_requests

    def _enable_handoff(self) -> None:
        """Hand off streams while busy, and take those of busy peers."""
        self._handoff.decision.enabled = True
        self._handoff_port.enable()

    async def _register(self) -> None:
        """Register this router in the store, with retries until it succeeds."""
        delay_s = self._settings.sync.retry_s
        while True:
            try:
                spec = msgspec.to_builtins(self._own)
                await self._store.put(StateKind.ROUTERS, self._own.instance, spec)
                return
            except StoreError as error:
                logger.info("registration_failed", error=str(error))
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
                delay_s = min(2 * delay_s, 2.0)

    def _on_peer_heard(self, peer: str) -> None:
        self._evidence_exchange.on_peer_heard(peer)
        self._permits.on_peer_heard(peer)

    def _on_capacity_enabled(self, service: str) -> None:
        """Turn on what is meant for upstreams that share their machines."""
        self._capacity_reports.log_capacity_enabled(service)
        self._overload.enable_redirect()
        self._home_reports.enable(service)
        self._store_following.enable()
        table = self.view.table
        pool = table.services.get(service) if table is not None else None
        if pool is not None and pool.engine is not None:
            self._admission.conserve_work(service)

    def _on_restore(self) -> None:
        """Write again what the restored store may lack."""
        if not self.app.draining:
            self._registration.cancel()
            self._registration = asyncio.create_task(self._register())
            self._refusals.write_again()

    async def _unregister(self) -> None:
        try:
            await self._store.delete(StateKind.ROUTERS, self._own.instance)
        except StoreError as error:
            logger.info("deregistration_failed", error=str(error))

    async def _measure_lag(self) -> None:
        """Measure the event loop's lag by how late a timer fires."""
        last_s = time.monotonic()
        while True:
            due_s = time.monotonic() + LAG_PROBE_INTERVAL_S
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            now_s = time.monotonic()
            self._overload.note(now_s - due_s, now_s)
            self._update_withdrawal(now_s)
            # A signal that came while the loop was late is handled after this timer.
            is_late = now_s - due_s > LATE_TIMER_S
            self._on_time_s = last_s if is_late else now_s
            last_s = now_s

    def _update_withdrawal(self, now_s: float) -> None:
        """Leave the load balancer's rotation while only this router is busy."""
        early = self._overload.early
        utilisation = early.utilisation()
        if self._withdrawal.update(
            utilisation, early.peer_advantage(now_s) >= 1.0, now_s
        ):
            logger.info(
                "balancer_left" if self._withdrawal.is_active else "balancer_rejoined",
                utilisation=_rounded(utilisation),
                connections=self._caller_server.connections,
            )

    def _should_close_connections(self) -> bool:
        limit = self._settings.listen.keep_alive_limit
        return self._withdrawal.is_active or self._caller_server.connections > limit

    async def _log_service(self) -> None:
        """Log what workspaces with refusals asked for and got at this router."""
        while True:
            await asyncio.sleep(SERVICE_LOG_INTERVAL_S)
            factors = self._admission.throughput_factors()
            for row in self.app.account.take_refused(MAX_LOGGED_WORKSPACES):
                factor, pressure = factors.get(row.pool, (1.0, 1.0))
                logger.info(
                    "workspace_service",
                    service=row.pool,
                    workspace=row.workspace,
                    asked_tokens=round(row.asked_tokens),
                    admitted_tokens=round(row.admitted_tokens),
                    room_tokens=round(row.room_tokens),
                    begun_tokens=round(row.begun_tokens),
                    share_per_s=round(row.share_per_s),
                    demand_per_s=round(row.demand_per_s),
                    refused=",".join(f"{k}:{v}" for k, v in row.refused.items()),
                    factor=round(factor, 3),
                    pressure=round(pressure, 2),
                )
            self._log_limited_upstreams()
            self._log_shed()
            self._handoff.log_counts()
            self._capacity_reports.log_changes(time.monotonic())
            self._home_reports.log_sends()

    def _log_shed(self) -> None:
        count = self.app.refusals.take_shed()
        if not count:
            return
        early = self._overload.early
        logger.info(
            "requests_shed",
            count=count,
            utilisation=_rounded(early.utilisation()),
            peers=_rounded(early.peers.median(time.monotonic())),
        )

    def _log_limited_upstreams(self) -> None:
        now_s = time.monotonic()
        limited = self._dispatcher.rates.limited()
        for (upstream_id, _), rate in list(limited.items())[:MAX_LOGGED_LIMITS]:
            logger.info(
                "upstream_limited",
                upstream=upstream_id,
                limit_per_s=round(rate.per_s, 3),
                known_for_s=round(now_s - rate.learned_s, 2),
                sent_in_4s=rate.sent_lately(now_s),
            )

    async def _clean_up(self) -> None:
        """Discard state and idle connections of upstreams that are gone."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self._directory.discard_ended(time.monotonic())
            self._guard.look_for_ended()
            ids = set(self._directory.ids())
            self._loads.keep(ids)
            self._health.keep(ids)
            self._dispatcher.cold.keep(ids)
            found = map(self._directory.find, ids)
            incarnations = {
                (u.upstream_id, u.entry.born_ms) for u in found if u is not None
            }
            self._connections.prune(incarnations)
            self._guard.evidence.keep(incarnations)
            self._loads.keep_incarnations(incarnations)
            self._dispatcher.permits.keep(incarnations, time.monotonic())

    def _on_state_change(self, kind: StateKind, names: list[str]) -> None:
        if kind is StateKind.ROUTERS:
            for name in names:
                self._apply_router_entry(name)
            self._dispatcher.routers = self._gossip.peers | {self._own.instance}
            return
        if kind is StateKind.REFUSED_SEGMENTS:
            self._refusals.apply(names)
        if self._rollouts is not None:
            self._rollouts.on_state_change(kind, names)
        if kind is StateKind.ROUTING and self.view.table is not None:
            limits = self.view.table.config.limits
            if limits.idle_timeout_s > 0:
                self._caller_server.idle_timeout_s = limits.idle_timeout_s
            if limits.header_timeout_s > 0:
                self._caller_server.header_timeout_s = limits.header_timeout_s
            shapes = [p.engine for p in self.view.table.services.values() if p.engine]
            sizes = [shape.kv_tokens for shape in shapes if shape.kv_tokens]
            self._loads.kv_tokens = min(sizes, default=self._loads.kv_tokens)
        logger.info(
            "state_changed",
            kind=str(kind),
            count=len(names),
            names=",".join(names[:MAX_LOGGED_NAMES]),
            version=self.view.version,
            revision=self.view.revisions()[kind.value],
        )

    def _apply_router_entry(self, name: str) -> None:
        change = self.view.objects(StateKind.ROUTERS).get(name)
        if change is None:
            self._gossip.remove(name)
        else:
            try:
                address = msgspec.json.decode(change.spec, type=PeerAddress)
            except msgspec.DecodeError as error:
                logger.warning("router_entry_unreadable", name=name, error=str(error))
                return
            self._gossip.add(address)

    def _ready_page(self) -> tuple[int, bytes]:
        if self.app.draining:
            return 503, b"stopping"
        if self.view.table is None:
            return 503, b"no configuration"
        if self._withdrawal.is_active:
            return 503, b"busy"
        if self._rollouts is not None and not self._rollouts.is_ready(time.monotonic()):
            return 503, b"roll-outs are not listed"
        return 200, b"ready"

    def _metrics_page(self) -> tuple[int, bytes]:
        self.metrics.version.set(self.view.version)
        self.metrics.open_requests.set(len(self.app.open_requests))
        self.metrics.set_memory(self._ledger)
        self.metrics.open_handoffs.set(self._handoff.open_requests)
        suspected, refused = self._guard.refusals.counts()
        self.metrics.limited_upstreams.set(len(self._dispatcher.rates.limited()))
        self.metrics.suspected_segments.set(suspected)
        self.metrics.refused_segments.set(refused)
        self._capacity_reports.export(time.monotonic())
        self._home_reports.export()
        for pool, (factor, _) in self._admission.throughput_factors().items():
            self.metrics.throughput_factor.labels(pool).set(factor)
        self.metrics.sums_age.set(self._admission.lag_s(time.monotonic()))
        early = self._overload.early
        self.metrics.loop_utilisation.set(early.utilisation() or 0.0)
        self.metrics.peer_utilisation.set(early.peers.median(time.monotonic()) or 0.0)
        self.metrics.peers.set(self._gossip.count_alive(time.monotonic()))
        return 200, generate_latest(self.metrics.registry)

    def _count_store_call(self, operation: str, outcome: str) -> None:
        self.metrics.store_calls.labels(operation, outcome).inc()


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
