"""Calls to upstreams: numbered token streams and plain service calls."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

import aiohttp

from carobstair.core.limits import LoadReport
from carobstair.core.placement import CacheEvent
from carobstair.core.state import Upstream
from carobstair.net.events import (
    AnswerMismatch,
    Chunk,
    EventReader,
    NotSent,
    ProgressLimits,
    StreamBroken,
    UpstreamError,
    UpstreamRefused,
    read_chunks,
)
from carobstair.settings import GatewaySettings

__all__ = ["ServiceAnswer", "UpstreamClient"]

HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
    }
)
CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
NOT_RUN_STATUSES = frozenset({429, 503})
# Raised before any byte of a request is written.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CANCEL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A plain service's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamClient:
    """HTTP client of engines and services.

    Parameters
    ----------
    settings : GatewaySettings
    """

    def __init__(self, settings: GatewaySettings):
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def stream(
        self,
        upstream: Upstream,
        attempt_id: str,
        body: bytes,
        after: int,
        usable_until: Callable[[], float],
        deadline_s: float,
    ) -> AsyncIterator[Chunk]:
        """Yield the events of a generation that follow a number.

        Parameters
        ----------
        usable_until : callable
            Returns the monotonic time at which the use of the grant must stop.
        deadline_s : float
            Monotonic time until which the first token is of use.

        Raises
        ------
        NotSent, UpstreamRefused, StreamBroken, AnswerMismatch
        """
        headers = {
            "X-Request-Id": attempt_id,
            "X-Deadline-Ms": _left_ms(deadline_s),
            "Content-Type": "application/json",
        }
        if after:
            headers["Last-Event-ID"] = str(after)
        first_token_s = time.monotonic() + self._settings.first_token_timeout_s
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._settings.first_token_timeout_s,
        )
        url = upstream.address + "/v1/chat/completions"
        try:
            async with self._open().post(
                url, data=body, headers=headers, timeout=timeout
            ) as response:
                _check_engine(response, attempt_id)
                # The wait for the head counts towards the first token.
                limits = ProgressLimits(
                    max(0.0, first_token_s - time.monotonic()),
                    self._settings.progress_timeout_s,
                    usable_until,
                )
                reader = EventReader(response.content, limits)
                try:
                    async for chunk in read_chunks(reader, after):
                        yield chunk
                finally:
                    reader.close()
        except CONNECT_ERRORS as error:
            raise NotSent(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StreamBroken(str(error) or type(error).__name__) from error

    async def call(
        self,
        upstream: Upstream,
        attempt_id: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Return a plain service's answer.

        Raises
        ------
        NotSent, UpstreamRefused, StreamBroken, AnswerMismatch
        """
        passed = {k: v for k, v in headers.items() if k.lower() not in HOP_HEADERS}
        passed["X-Request-Id"] = attempt_id
        passed["X-Deadline-Ms"] = str(int(timeout_s * 1000))
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._open().request(
                method,
                upstream.address + path,
                data=body,
                headers=passed,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                _check_echo(response, attempt_id)
                content = await response.read()
        except CONNECT_ERRORS as error:
            raise NotSent(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StreamBroken(str(error) or type(error).__name__) from error
        if response.status in NOT_RUN_STATUSES and _says_not_run(content):
            raise UpstreamRefused(f"status {response.status}")
        kept = tuple(
            (str(k), str(v))
            for k, v in response.headers.items()
            if k.lower() not in HOP_HEADERS
        )
        return ServiceAnswer(response.status, kept, content)

    async def cancel(self, upstream: Upstream, attempt_id: str) -> None:
        """Have an engine stop a generation; a failure does no harm."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = f"{upstream.address}/v1/requests/{attempt_id}"
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._open().delete(url, timeout=timeout):
                pass

    async def load(self, upstream: Upstream) -> LoadReport:
        """Return an upstream's load report.

        Raises
        ------
        UpstreamError
            If there is none or it can't be read.
        """
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        try:
            async with self._open().get(
                upstream.address + "/load", timeout=timeout
            ) as response:
                document = await response.json(content_type=None)
            return LoadReport(
                incarnation=str(document["incarnation"]),
                running=max(0, int(document["running"])),
                kv_tokens=max(0, int(document.get("kv_tokens", 0))),
                loading=document.get("state") == "loading",
                leaving=bool(document.get("leaving", False)),
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NotSent(str(error)) from error
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UpstreamError(f"load report: {error}") from error

    async def cache_events(
        self, upstream: Upstream, since: int
    ) -> tuple[str, list[CacheEvent]]:
        """Return an engine's incarnation and what changed in its prefix cache.

        Raises
        ------
        UpstreamError
            If there is no answer or it can't be read.
        """
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        url = f"{upstream.address}/cache/events?since={since}"
        try:
            async with self._open().get(url, timeout=timeout) as response:
                document = await response.json(content_type=None)
            return str(document["incarnation"]), [
                _cache_event(event) for event in document["events"]
            ]
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NotSent(str(error)) from error
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UpstreamError(f"cache events: {error}") from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=self._settings.progress_timeout_s,
            )
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            self._session = aiohttp.ClientSession(
                timeout=timeout,
                connector=connector,
                response_class=_Response,
                # Bodies pass through as they are, with their Content-Encoding.
                auto_decompress=False,
                headers={"Accept-Encoding": "identity"},
            )
            # aiohttp sends PUT and DELETE again when a kept connection breaks; an
            # action must not run twice, and it has no public switch for this.
            self._session._retry_connection = False
        return self._session


def _cache_event(event: dict) -> CacheEvent:
    return CacheEvent(
        int(event["number"]),
        tuple(int(block) for block in event.get("cached", ())),
        tuple(int(block) for block in event.get("evicted", ())),
    )


class _Response(aiohttp.ClientResponse):
    """A response that knows the transport on which it came."""

    transport: asyncio.Transport | None = None

    async def start(self, connection) -> aiohttp.ClientResponse:
        self.transport = connection.transport
        return await super().start(connection)


def _left_ms(deadline_s: float) -> str:
    return str(max(0, int((deadline_s - time.monotonic()) * 1000)))


def _check_engine(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    # An engine that refuses so has not begun; it may not get as far as the echo.
    if response.status in NOT_RUN_STATUSES:
        raise UpstreamRefused(f"status {response.status}")
    _check_echo(response, attempt_id)
    if response.status != 200:
        raise StreamBroken(f"status {response.status}")


def _check_echo(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    if response.headers.get("X-Request-Id") != attempt_id:
        # Closing the response is not enough: with a short answer the connection
        # is back in the pool by now.
        response.transport.abort()
        raise AnswerMismatch(attempt_id)


def _says_not_run(content: bytes) -> bool:
    try:
        document = json.loads(content)
    except ValueError:
        return False
    return isinstance(document, dict) and document.get("ran") == "no"
