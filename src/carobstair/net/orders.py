"""Sends orders to upstreams and learns their incarnations."""

from __future__ import annotations

import asyncio

import aiohttp

from carobstair import clock
from carobstair.core.effects import SendOrder
from carobstair.core.orders import OrderManager, OrderOutcome
from carobstair.core.state import FleetState, Upstream
from carobstair.logs import get_logger
from carobstair.net.events import UpstreamError
from carobstair.net.upstream import UpstreamClient

__all__ = ["OrderDriver"]

logger = get_logger(__name__)

INCARNATION_POLL_S = 2.0
# An engine answers an order after loading the model, which can take minutes.
ORDER_TIMEOUT_S = 600.0
CONNECT_TIMEOUT_S = 1.0
STATUS_CONFLICT = 409


class OrderDriver:
    """Sends the orders of an `OrderManager` to upstreams.

    Parameters
    ----------
    orders : OrderManager
    upstreams : UpstreamClient
        Reads the load reports, which contain the incarnation.
    """

    def __init__(self, orders: OrderManager, upstreams: UpstreamClient):
        self._orders = orders
        self._upstreams = upstreams
        self._state = FleetState()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()

    def set_state(self, state: FleetState) -> None:
        """Set the fleet state in force."""
        self._state = state

    def send(self, order: SendOrder) -> None:
        """Start sending an order; its outcome is reported to the `OrderManager`."""
        task = asyncio.get_running_loop().create_task(self._send(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Poll the incarnations of upstreams with orders until cancelled."""
        try:
            while True:
                names = self._orders.upstreams_to_poll()
                await asyncio.gather(*(self._read_incarnation(name) for name in names))
                await asyncio.sleep(INCARNATION_POLL_S)
        finally:
            for task in self._tasks:
                task.cancel()
            if self._session is not None:
                await self._session.close()

    async def _read_incarnation(self, name: str) -> None:
        upstream = self._state.upstreams.get(name)
        if upstream is None:
            return
        try:
            report = await self._upstreams.load(upstream)
        except UpstreamError as error:
            logger.debug("load_report_failed", upstream=name, error=str(error))
            return
        self._orders.note_incarnation(name, report.incarnation)

    async def _send(self, order: SendOrder) -> None:
        upstream = self._state.upstreams.get(order.upstream)
        outcome = OrderOutcome.UNKNOWN
        if upstream is not None:
            outcome = await self._post(upstream, order)
        logger.info(
            "order_answered",
            upstream=order.upstream,
            fencing=order.fencing,
            outcome=str(outcome),
        )
        self._orders.on_answer(order.order, outcome, clock.now_s())

    async def _post(self, upstream: Upstream, order: SendOrder) -> OrderOutcome:
        document = {"versions": list(order.versions), "role": order.role}
        headers = {"Fencing-Number": str(order.fencing)}
        try:
            async with self._get_session().post(
                upstream.address + "/orders", json=document, headers=headers
            ) as response:
                if response.status == STATUS_CONFLICT:
                    return OrderOutcome.REFUSED
                if response.status >= 400:
                    return OrderOutcome.UNKNOWN
                return OrderOutcome.DONE
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.warning(
                "order_failed", upstream=upstream.name, error=str(error) or repr(error)
            )
            return OrderOutcome.UNKNOWN

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(
                total=ORDER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            )
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session
