"""Port at which peers hand requests to this router."""

from __future__ import annotations

import asyncio

from carobstair.core.memory_ledger import MemoryKind, MemoryLedger
from carobstair.edge.app import EdgeApp
from carobstair.edge.arrival_gate import ArrivalGate
from carobstair.edge.memory import handoff_bound_bytes
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.server import EVENT_PAUSE_S, CallerServer
from carobstair.edge.settings import EdgeSettings
from carobstair.logs import get_logger
from carobstair.net.connection_limits import ConnectionLimits, ConnectionSettings

__all__ = ["RELAYED_PAUSE_S", "HandoffPort"]

logger = get_logger(__name__)

# Events of a handed-off stream are relayed together, as those of a busy router are
# (`EarlySheddingSettings.max_event_pause_s`): the busy router pays for each piece.
RELAYED_PAUSE_S = 0.04


class HandoffPort:
    """Opens the port when the hand-off is enabled, and serves peers like callers.

    Requests that arrive here came by a hand-off; they are not handed off again.

    Parameters
    ----------
    app : EdgeApp
    settings : EdgeSettings
    gate : ArrivalGate
        That of the callers' server: turns of the event loop are bounded together.
    metrics : EdgeMetrics
    ledger : MemoryLedger, optional
        Shows what the connections of peers hold.
    """

    def __init__(
        self,
        app: EdgeApp,
        settings: EdgeSettings,
        gate: ArrivalGate,
        metrics: EdgeMetrics,
        ledger: MemoryLedger | None = None,
    ):
        self._ledger = ledger
        self._app = app
        self._settings = settings
        self._gate = gate
        self._metrics = metrics
        self._enabled = asyncio.Event()
        self._server: CallerServer | None = None

    @property
    def port(self) -> int:
        """The port to which peers may hand requests; 0 for none."""
        if self._server is None or self._app.draining:
            return 0
        return self._server.port

    @property
    def is_idle(self) -> bool:
        """Whether peers have taken all that was written."""
        return self._server is None or self._server.is_idle

    def enable(self) -> None:
        """Open the port, unless the settings have none."""
        if self._settings.listen.handoff_port:
            self._enabled.set()

    async def run(self) -> None:
        """Serve peers until cancelled, once enabled."""
        await self._enabled.wait()
        listen = self._settings.listen
        limits = ConnectionLimits(
            # Each address is that of a router, and sends many callers' requests.
            ConnectionSettings(
                listen.max_handoff_connections,
                address_share=1.0,
                max_held_bytes=handoff_bound_bytes(self._settings),
            ),
            self._metrics.count_closed("handoff"),
        )
        if self._ledger is not None:
            self._ledger.attach(MemoryKind.HANDOFFS, lambda: limits.held_bytes)
        try:
            server = CallerServer(
                self._serve,
                listen.host,
                listen.handoff_port,
                self._gate,
                self._app.refusals,
                limits,
                on_unanswered=self._metrics.count_unanswered,
            )
        except OSError as error:
            logger.warning(
                "handoff_port_closed", port=listen.handoff_port, error=str(error)
            )
            return
        server.detect_dead_connections()
        self._server = server
        logger.info("handoff_port_open", port=server.port)
        await server.serve()

    async def _serve(self, scope, receive, send) -> None:
        if scope["type"] == "http":
            self._metrics.taken_over.inc()
            scope[EVENT_PAUSE_S] = RELAYED_PAUSE_S
        await self._app(scope, receive, send)
