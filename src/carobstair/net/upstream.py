"""Calls to upstreams: numbered token streams and plain service calls."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import suppress
from dataclasses import dataclass

import aiohttp

from carobstair.core.limits import LoadReport
from carobstair.core.placement import CacheEvent
from carobstair.core.state import Upstream
from carobstair.settings import GatewaySettings

__all__ = [
    "AnswerMismatch",
    "Chunk",
    "NotSent",
    "ServiceAnswer",
    "StreamBroken",
    "UpstreamClient",
    "UpstreamError",
    "UpstreamRefused",
]

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
        "x-request-id",
    }
)
CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
NOT_RUN_STATUSES = frozenset({429, 503})
# Raised before any byte of a request is written.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CANCEL_TIMEOUT_S = 1.0


class UpstreamError(Exception):
    """A call to an upstream that gave no whole answer."""


class NotSent(UpstreamError):
    """No connection came about; nothing was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream answered that it did not run the request."""


class StreamBroken(UpstreamError):
    """The answer broke off or went silent; it may have run in part."""


class AnswerMismatch(UpstreamError):
    """The answer carries the identifier of another request."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One numbered event of a generation.

    Attributes
    ----------
    number : int
        Counted from 1 without gaps over the whole answer.
    finished : bool
        Whether this event closes the answer.
    """

    number: int
    document: dict
    finished: bool


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
        self, upstream: Upstream, attempt_id: str, body: bytes, after: int
    ) -> AsyncIterator[Chunk]:
        """Yield the events of a generation that follow a number.

        Raises
        ------
        NotSent, UpstreamRefused, StreamBroken, AnswerMismatch
        """
        headers = {"X-Request-Id": attempt_id, "Content-Type": "application/json"}
        if after:
            headers["Last-Event-ID"] = str(after)
        url = upstream.address + "/v1/chat/completions"
        try:
            async with self._open().post(url, data=body, headers=headers) as response:
                _check_engine(response, attempt_id)
                async for chunk in self._read(response, after):
                    yield chunk
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

    async def _read(
        self, response: aiohttp.ClientResponse, after: int
    ) -> AsyncIterator[Chunk]:
        number = after
        finished = False
        async for event_id, data in _events(response):
            if data == b"[DONE]":
                if not finished:
                    raise StreamBroken("ended without a closing chunk")
                return
            if event_id != number + 1:
                raise StreamBroken(f"event {event_id} follows {number}")
            number = event_id
            document = json.loads(data)
            finished = bool(document["choices"][0].get("finish_reason"))
            yield Chunk(number, document, finished)
        raise StreamBroken("ended without [DONE]")

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=self._settings.progress_timeout_s,
            )
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
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


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[tuple[int, bytes]]:
    event_id, data = 0, b""
    async for line in response.content:
        line = line.rstrip(b"\r\n")
        if line.startswith(b"id:"):
            event_id = int(line[3:])
        elif line.startswith(b"data:"):
            data = line[5:].strip()
        elif not line and data:
            yield event_id, data
            data = b""


def _check_engine(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    # An engine that refuses so has not begun; it may not get as far as the echo.
    if response.status in NOT_RUN_STATUSES:
        raise UpstreamRefused(f"status {response.status}")
    _check_echo(response, attempt_id)
    if response.status != 200:
        raise StreamBroken(f"status {response.status}")


def _check_echo(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    if response.headers.get("X-Request-Id") != attempt_id:
        response.close()
        raise AnswerMismatch(attempt_id)


def _says_not_run(content: bytes) -> bool:
    try:
        document = json.loads(content)
    except ValueError:
        return False
    return isinstance(document, dict) and document.get("ran") == "no"
