"""The router process: construction, startup and shutdown."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time

from carobstair.core.action_sweep import SweepSettings
from carobstair.core.messages import PeerAddress
from carobstair.core.refusals import refuse
from carobstair.core.retries import EjectionSettings, RetryPolicy, RetrySettings
from carobstair.core.state import FleetState
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.net.actions import ActionDriver
from carobstair.net.agent import Agent
from carobstair.net.app import make_app
from carobstair.net.capacity import CapacityDriver
from carobstair.net.chat import ChatRelay
from carobstair.net.connection_limits import ConnectionLimits
from carobstair.net.gateway import Gateway
from carobstair.net.http import HttpServer
from carobstair.net.orders import OrderDriver
from carobstair.net.peers import PeerTransport
from carobstair.net.services import ServiceCaller
from carobstair.net.sweep import SweepDriver
from carobstair.net.upstream import UpstreamClient
from carobstair.platform import ObjectApi
from carobstair.process_signals import on_reload
from carobstair.settings import RouterSettings

__all__ = ["Router"]

logger = get_logger(__name__)

PEER_REFRESH_S = 0.25
EXIT_FORCED = 1
# Time for streams to end once they are stopped at the shutdown limit. A stream checks
# for the stop at each token; tokens arrive every few hundredths of a second, and a
# stream without one for 2 s is abandoned.
STOP_GRACE_S = 3.0


class Router:
    """One router: gateway, allocator and agent in one event loop.

    Parameters
    ----------
    settings : RouterSettings
    """

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        instance = settings.instance
        # Wall-clock milliseconds increase from one start to the next; the platform
        # keeps the clocks of its instances synchronized closely enough for that.
        incarnation = time.time_ns() // 1_000_000
        self.own = PeerAddress(
            instance.name,
            incarnation,
            instance.host,
            instance.peer_port,
            instance.http_port,
            instance.zone,
        )
        self.metrics = RouterMetrics()
        self._store = ObjectApi(settings.platform, self._count_store_call)
        self._peers = PeerTransport(self.own, instance, settings.peers, self.metrics)
        self._upstreams = UpstreamClient(settings.gateway)
        self.capacity = CapacityDriver(
            self.own, settings, self._peers, self._upstreams, self.metrics
        )
        self.agent = Agent(
            self.own,
            settings,
            self._peers,
            self._store,
            self.capacity.node.shares,
            self.capacity.node,
            self.metrics,
            self._on_state,
        )
        self.capacity.on_leaving_report = self.agent.note_leaving
        self._orders = OrderDriver(self.agent.node.orders, self._upstreams)
        self.agent.on_order = self._orders.send
        self._retries = RetryPolicy(
            RetrySettings(),
            EjectionSettings(),
            random.Random(f"{settings.seed}/{instance.name}/retries"),
        )
        services = ServiceCaller(
            self.capacity, self._upstreams, self._retries, self.metrics
        )
        self.actions = ActionDriver(
            self.own,
            self._store,
            self._peers,
            services,
            self.agent.live_peers,
            random.Random(f"{settings.seed}/{instance.name}/actions"),
        )
        self._chat = ChatRelay(
            self.capacity,
            self._upstreams,
            self._retries,
            self.metrics,
            settings.gateway,
        )
        self.gateway = Gateway(
            settings,
            self.capacity,
            self._chat,
            services,
            self.actions,
            self.metrics,
        )
        self._sweep = SweepDriver(
            instance.name,
            self._store,
            self.agent.live_peers,
            lambda: self.capacity.state,
            SweepSettings(),
        )
        app = make_app(self.gateway, self.agent, self.metrics, settings)
        self._server = HttpServer(
            app,
            instance.host,
            instance.http_port,
            settings.gateway.body_timeout_s,
            ConnectionLimits(
                on_closed=lambda kind: self.metrics.closed_connections.labels(
                    kind
                ).inc()
            ),
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and leave the fleet."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        on_reload(loop, self._refuse_reload)
        tasks = [
            asyncio.create_task(self._peers.run()),
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self._orders.run()),
            asyncio.create_task(self.capacity.run()),
            asyncio.create_task(self._refresh_peers()),
            asyncio.create_task(self._sweep.run()),
        ]
        serving = asyncio.create_task(self._server.serve())
        logger.info("router_started", instance=self.own.instance, zone=self.own.zone)
        await self._stopping.wait()
        await self._drain()
        self.agent.announce_departure()
        self._server.stop()
        await serving
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._upstreams.close()
        await self._store.close()
        self._peers.close()
        logger.info("router_stopped", instance=self.own.instance)

    def _on_state(self, state: FleetState) -> None:
        self.capacity.set_state(state)
        self._orders.set_state(state)
        self.metrics.keep_in_force(state)
        self._retries.keep(state.workspaces, state.upstreams)
        self.gateway.keep_in_force(state)

    def _on_signal(self) -> None:
        if self._stopping.is_set():
            # A second signal forces an immediate exit.
            os._exit(EXIT_FORCED)
        self._stopping.set()

    def _refuse_reload(self, reason: str) -> None:
        logger.info("settings_not_reloaded", reason=reason, error="read at start only")

    async def _drain(self) -> None:
        """Wait for open requests; accept new ones until the balancer has noticed."""
        began_s = time.monotonic()
        limits = self._settings.gateway
        self.agent.leave()
        self.gateway.closing = True
        await asyncio.sleep(limits.balancer_lag_s)
        self.gateway.refuses_new = True
        await self._wait_until_idle(began_s + limits.shutdown_limit_s)
        if self._busy():
            logger.warning("shutdown_limit_reached", open=self.gateway.running)
            self._chat.stop_all()
            self.capacity.refuse_waiting(refuse("shutting-down"))
            await self._wait_until_idle(time.monotonic() + STOP_GRACE_S)

    async def _wait_until_idle(self, deadline_s: float) -> None:
        while self._busy() and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)

    def _busy(self) -> bool:
        return bool(self.gateway.running or self.actions.unfinished)

    async def _refresh_peers(self) -> None:
        while True:
            self.capacity.set_live_peers(self.agent.live_peers())
            await asyncio.sleep(PEER_REFRESH_S)

    def _count_store_call(self, operation: str, outcome: str) -> None:
        self.metrics.store_calls.labels(operation, outcome).inc()
