"""HTTP client of the object API, with versioned conditional writes and watches.

Expected errors are returned as ``returns`` failures. A write that fails with
`Unavailable` may still have taken effect; the caller has to read the object back.
"""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from carobstair.net.bodies import CheckedResponse, read_body
from carobstair.settings import PlatformSettings

__all__ = [
    "Conflict",
    "ListedInstance",
    "Missing",
    "NotSent",
    "ObjectApi",
    "StoreError",
    "ApiObject",
    "Unavailable",
    "WatchEvent",
    "WatchExpired",
]

WATCH_READ_TIMEOUT_S = 15.0
# A list of all objects below a name.
MAX_OBJECT_BYTES = 32 * 1024 * 1024


@dataclass(eq=False)
class StoreError(Exception):
    """A call to the object API failed."""

    detail: str = ""


class Conflict(StoreError):
    """The version precondition failed; nothing was written."""


class Missing(StoreError):
    """The object does not exist."""


class NotSent(StoreError):
    """The connection could not be established; nothing was written."""


class Unavailable(StoreError):
    """No response or a server error; a write may have taken effect."""


class WatchExpired(StoreError):
    """The store no longer has the changes since this version; list again."""


@dataclass(frozen=True, slots=True)
class ApiObject:
    """A stored object with its version."""

    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the instance list; `state` is ``live`` or ``leaving``."""

    name: str
    state: str


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of an object, or a heartbeat of the watch if `stored` is None."""

    version: int
    stored: ApiObject | None = None
    deleted: bool = False


class ObjectApi:
    """Client of the object API.

    Parameters
    ----------
    settings : PlatformSettings
    on_call : callable
        Called with the operation and its outcome for each call.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        on_call: Callable[[str, str], None] = lambda operation, outcome: None,
    ):
        self._settings = settings
        self._on_call = on_call
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, name: str) -> Result[ApiObject, StoreError]:
        """Return an object."""
        result = await self._call("GET", f"/objects/{name}", "get")
        return result.map(lambda pair: ApiObject(name, *pair))

    async def create(self, name: str, value: bytes) -> Result[ApiObject, StoreError]:
        """Write an object if the name does not exist yet."""
        headers = {"If-None-Match": "*"}
        return await self._write(name, value, headers, "create")

    async def update(
        self, name: str, value: bytes, version: int
    ) -> Result[ApiObject, StoreError]:
        """Replace an object if it still has this version."""
        return await self._write(name, value, {"If-Match": str(version)}, "update")

    async def delete(self, name: str, version: int) -> Result[None, StoreError]:
        """Remove an object if it still has this version."""
        headers = {"If-Match": str(version)}
        result = await self._call("DELETE", f"/objects/{name}", "delete", headers)
        return result.map(lambda pair: None)

    async def list(
        self, prefix: str, after: str = ""
    ) -> Result[tuple[int, list[ApiObject]], StoreError]:
        """Return the store's version and the objects with names after `after`."""
        params = {"prefix": prefix, "after": after}
        result = await self._call("GET", "/objects", "list", params=params)
        return result.bind(lambda pair: _decode_body(_decode_list, *pair))

    async def instances(self) -> Result[list[ListedInstance], StoreError]:
        """Return the platform's list of instances; it lags behind their true state."""
        result = await self._call("GET", "/instances", "instances")
        return result.bind(lambda pair: _decode_body(_decode_instances, *pair)).map(
            lambda pair: pair[1]
        )

    async def watch(self, prefix: str, since: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the connection is closed.

        Raises
        ------
        WatchExpired
            If the store no longer has the changes since that version.
        Unavailable
            If the connection fails or delivers nothing for `WATCH_READ_TIMEOUT_S`.
        """
        params = {"prefix": prefix, "since": str(since)}
        timeout = aiohttp.ClientTimeout(total=None, sock_read=WATCH_READ_TIMEOUT_S)
        self._on_call("watch", "ok")
        try:
            async with self._get_session().get(
                self._url("/watch"), params=params, timeout=timeout
            ) as response:
                if response.status == 410:
                    raise WatchExpired(str(since))
                if response.status != 200:
                    raise Unavailable(f"status {response.status}")
                async for line in response.content:
                    yield _decode_event(json.loads(line))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise Unavailable(str(error) or type(error).__name__) from error

    async def _write(
        self, name: str, value: bytes, headers: dict[str, str], operation: str
    ) -> Result[ApiObject, StoreError]:
        result = await self._call("PUT", f"/objects/{name}", operation, headers, value)
        return result.map(lambda pair: ApiObject(name, pair[0], value))

    async def _call(
        self,
        method: str,
        path: str,
        operation: str,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
        params: dict[str, str] | None = None,
    ) -> Result[tuple[int, bytes], StoreError]:
        try:
            async with self._get_session().request(
                method, self._url(path), headers=headers, data=data, params=params
            ) as response:
                body = await read_body(response, MAX_OBJECT_BYTES)
                result = _to_result(response.status, response.headers, body)
        except aiohttp.ClientConnectorError as error:
            result = Failure(NotSent(str(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result = Failure(Unavailable(str(error) or type(error).__name__))
        outcome = (
            "ok" if isinstance(result, Success) else _outcome_label(result.failure())
        )
        self._on_call(operation, outcome)
        return result

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
            headers = {}
            if self._settings.api_key:
                headers["Authorization"] = f"Bearer {self._settings.api_key}"
            self._session = aiohttp.ClientSession(
                timeout=timeout, headers=headers, response_class=CheckedResponse
            )
        return self._session

    def _url(self, path: str) -> str:
        return self._settings.address.rstrip("/") + path


def _outcome_label(error: StoreError) -> str:
    return type(error).__name__.lower()


def _to_result(status: int, headers, body: bytes) -> Result:
    if status in (200, 201):
        return Success((int(headers.get("ETag", "0").strip('"')), body))
    if status == 404:
        return Failure(Missing())
    if status == 412:
        return Failure(Conflict())
    return Failure(Unavailable(f"status {status}"))


def _decode_body(decode: Callable[[bytes], Any], version: int, body: bytes) -> Result:
    """Return the version and the decoded body, or a failure if it is malformed."""
    try:
        return Success((version, decode(body)))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(Unavailable(f"malformed response body: {error!r}"))


def _decode_instances(body: bytes) -> list[ListedInstance]:
    items = json.loads(body)["instances"]
    return [ListedInstance(str(i["name"]), str(i.get("state", "live"))) for i in items]


def _decode_list(body: bytes) -> list[ApiObject]:
    items = json.loads(body)["objects"]
    return [
        ApiObject(item["name"], item["version"], base64.b64decode(item["value"]))
        for item in items
    ]


def _decode_event(item: dict) -> WatchEvent:
    if "name" not in item:
        return WatchEvent(item["version"])
    value = base64.b64decode(item.get("value", ""))
    stored = ApiObject(item["name"], item["version"], value)
    return WatchEvent(item["version"], stored, item.get("deleted", False))
