"""Calls to upstreams: numbered token streams and plain service calls."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

import aiohttp

from carobstair import clock
from carobstair.core.limits import LoadReport
from carobstair.core.placement import CacheEvent
from carobstair.core.state import Upstream
from carobstair.net.bodies import CheckedResponse, read_body
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

# Headers of one connection, and headers that the router sets or evaluates itself.
UNFORWARDED_HEADERS = frozenset(
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
# Errors raised before any byte of the request was sent.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CANCEL_TIMEOUT_S = 1.0
# Load reports and lists of cache events.
MAX_REPORT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A plain service's complete answer."""

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
        """Yield the chunks of a generation after number `after`.

        Parameters
        ----------
        usable_until : callable
            Returns the time, by `carobstair.clock`, at which use of the grant must
            stop.
        deadline_s : float
            Monotonic deadline for the first token.

        Raises
        ------
        NotSent, UpstreamRefused, StreamBroken, AnswerMismatch
        """
        headers = {
            "X-Request-Id": attempt_id,
            "X-Deadline-Ms": _remaining_ms(deadline_s),
            "Content-Type": "application/json",
        }
        if after:
            headers["Last-Event-ID"] = str(after)
        first_token_s = clock.now_s() + self._settings.first_token_timeout_s
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._settings.first_token_timeout_s,
        )
        url = upstream.address + "/v1/chat/completions"
        try:
            async with self._get_session().post(
                url, data=body, headers=headers, timeout=timeout
            ) as response:
                _check_engine_response(response, attempt_id)
                # The wait for the response head is part of the first-token timeout.
                limits = ProgressLimits(
                    max(0.0, first_token_s - clock.now_s()),
                    self._settings.progress_timeout_s,
                    # The reader's timers stand still during a suspension.
                    lambda: usable_until() - clock.suspended_s(),
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
        forwarded = {
            k: v for k, v in headers.items() if k.lower() not in UNFORWARDED_HEADERS
        }
        forwarded["X-Request-Id"] = attempt_id
        forwarded["X-Deadline-Ms"] = str(int(timeout_s * 1000))
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._get_session().request(
                method,
                upstream.address + path,
                data=body,
                headers=forwarded,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                _check_request_id(response, attempt_id)
                content = await read_body(response)
        except CONNECT_ERRORS as error:
            raise NotSent(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StreamBroken(str(error) or type(error).__name__) from error
        if response.status in NOT_RUN_STATUSES and _says_not_run(content):
            raise UpstreamRefused(f"status {response.status}")
        answer_headers = tuple(
            (str(k), str(v))
            for k, v in response.headers.items()
            if k.lower() not in UNFORWARDED_HEADERS
        )
        return ServiceAnswer(response.status, answer_headers, content)

    async def cancel(self, upstream: Upstream, attempt_id: str) -> None:
        """Ask an engine to stop a generation; connection errors are ignored."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = f"{upstream.address}/v1/requests/{attempt_id}"
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._get_session().delete(url, timeout=timeout):
                pass

    async def load(self, upstream: Upstream) -> LoadReport:
        """Return an upstream's load report.

        Raises
        ------
        UpstreamError
            If the request fails or the report is invalid.
        """
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        try:
            async with self._get_session().get(
                upstream.address + "/load", timeout=timeout
            ) as response:
                document = json.loads(await read_body(response, MAX_REPORT_BYTES))
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
            raise UpstreamError(f"invalid load report: {error}") from error

    async def cache_events(
        self, upstream: Upstream, since: int
    ) -> tuple[str, list[CacheEvent]]:
        """Return an engine's incarnation and its prefix cache events after `since`.

        Raises
        ------
        UpstreamError
            If the request fails or the answer is invalid.
        """
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        url = f"{upstream.address}/cache/events?since={since}"
        try:
            async with self._get_session().get(url, timeout=timeout) as response:
                document = json.loads(await read_body(response, MAX_REPORT_BYTES))
            return str(document["incarnation"]), [
                _cache_event(event) for event in document["events"]
            ]
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NotSent(str(error)) from error
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UpstreamError(f"invalid cache events: {error}") from error

    def _get_session(self) -> aiohttp.ClientSession:
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
                response_class=CheckedResponse,
                # Bodies are forwarded unchanged, with their Content-Encoding.
                auto_decompress=False,
                headers={"Accept-Encoding": "identity"},
            )
            # aiohttp resends PUT and DELETE if a keep-alive connection breaks, which
            # could run an action twice. There is no public option to disable this.
            self._session._retry_connection = False
        return self._session


def _cache_event(event: dict) -> CacheEvent:
    return CacheEvent(
        int(event["number"]),
        tuple(int(block) for block in event.get("cached", ())),
        tuple(int(block) for block in event.get("evicted", ())),
    )


def _remaining_ms(deadline_s: float) -> str:
    return str(max(0, int((deadline_s - clock.now_s()) * 1000)))


def _check_engine_response(response: CheckedResponse, attempt_id: str) -> None:
    # These statuses mean that the engine did not start the request. They are checked
    # first, since such a response may lack the echoed request ID.
    if response.status in NOT_RUN_STATUSES:
        raise UpstreamRefused(f"status {response.status}")
    _check_request_id(response, attempt_id)
    if response.status != 200:
        raise StreamBroken(f"status {response.status}")


def _check_request_id(response: CheckedResponse, attempt_id: str) -> None:
    if response.headers.get("X-Request-Id") != attempt_id:
        # Abort the connection: closing the response is not enough, since after a
        # short answer the connection is already back in the pool.
        response.transport.abort()
        raise AnswerMismatch(attempt_id)


def _says_not_run(content: bytes) -> bool:
    try:
        document = json.loads(content)
    except ValueError:
        return False
    return isinstance(document, dict) and document.get("ran") == "no"
