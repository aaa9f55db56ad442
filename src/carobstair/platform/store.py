"""Client of the metadata store of the users' platform."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Annotated
from urllib.parse import quote, urlencode

import msgspec

from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.edge.http_client import HttpClient
from carobstair.edge.json_repair import repair_document
from carobstair.edge.state_store import (
    Listing,
    RevisionExpired,
    StoreConflict,
    StoreCut,
    StoreTimedOut,
    StoreUnavailable,
)
from carobstair.edge.upstream_connection import ConnectionBroken, ConnectionRefused
from carobstair.logs import get_logger
from carobstair.platform.documents import OBJECT_KINDS

__all__ = ["PlatformStore"]

logger = get_logger(__name__)

# Responses normally take 4 ms; those that take 60 times as long are still accepted.
CALL_TIMEOUT_S = 1.0
# A watch without a response this long after its wait has a dead connection.
WATCH_MARGIN_S = 0.8
# Incremented when the store was restored from an older copy.
STORE_ERA = b"store-era"
# Stops a list whose pages never end; 600 upstreams at 500 entries per page need 2.
MAX_LIST_PAGES = 200


# Containers around the `spec` of an entry and of an event.
ENTRY_LEVELS = 3
EVENT_LEVELS = 4
MAX_REVISION = 2**53

_Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Metadata(msgspec.Struct):
    name: str
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    # Entries are decoded one by one, so that a malformed one is skipped alone.
    entries: list[msgspec.Raw] = []
    has_more: bool = False
    current_rev: _Revision = 0


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _WatchResponse(msgspec.Struct, rename="camel"):
    events: list[msgspec.Raw] = []
    current_rev: _Revision = 0


class _Refused(StoreConflict):
    """A conflict with the body of the response."""

    def __init__(self, message: str, body: bytes):
        super().__init__(message)
        self.body = body


_PAGE = msgspec.json.Decoder(_Page)
_WATCH = msgspec.json.Decoder(_WatchResponse)
_OBJECT = msgspec.json.Decoder(_Object)
_EVENT = msgspec.json.Decoder(_Event)


class PlatformStore:
    """Implementation of `StateStore` for the users' platform.

    Parameters
    ----------
    address : str
        HOST:PORT of the store.
    on_call : callable
        Called with the operation and its outcome for each call.
    """

    def __init__(self, address: str, on_call: Callable[[str, str], None]):
        self._client = HttpClient(address)
        self._on_call = on_call
        self._era = 0

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def list(self, kind: StateKind) -> Listing:
        """Return all objects of a kind, following the pagination."""
        changes: dict[str, StoreChange] = {}
        revision = 0
        first_era: int | None = None
        params: dict[str, str] = {}
        for _ in range(MAX_LIST_PAGES):
            body, era = await self._get(kind, "list", params)
            page = await self._decode(_PAGE, body, ENTRY_LEVELS)
            if first_era not in (None, era):
                raise RevisionExpired("the store was restored between two pages")
            first_era = era
            last = ""
            for raw in page.entries:
                change = _decode_object(raw, era, kind)
                if change is not None:
                    changes[change.name] = change
                    last = change.name
            # Later pages may have a newer revision; the watch starts at that of the
            # first page, so that it misses no change.
            revision = revision or page.current_rev
            if not page.has_more or not last:
                return Listing(list(changes.values()), revision, era)
            params = {"after": last}
        raise StoreUnavailable("list has too many pages")

    async def watch(
        self, kind: StateKind, revision: int, wait_s: float, era: int = 0
    ) -> Listing:
        """Return the changes after a revision, waiting up to `wait_s` for the first."""
        params = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        body, now_era = await self._get(kind, "watch", params, wait_s + WATCH_MARGIN_S)
        if now_era != era:
            # The same revision names another state in another era.
            raise RevisionExpired(f"the store is in era {now_era}")
        response = await self._decode(_WATCH, body, EVENT_LEVELS)
        decoded = (_decode_event(raw, era, kind) for raw in response.events)
        changes = [change for change in decoded if change is not None]
        return Listing(changes, max(revision, response.current_rev), era)

    async def put(self, kind: StateKind, name: str, spec: object) -> None:
        """Create or replace an object that the router owns."""
        path = OBJECT_KINDS[kind]
        document = {"metadata": {"name": name}, "spec": spec}
        try:
            await self._call("POST", path, "create", document)
        except StoreConflict:
            await self._call("PUT", f"{path}/{name}", "replace", document)

    async def put_status(
        self, kind: StateKind, name: str, status: object, revision: int
    ) -> StoreChange | None:
        """Write the status of an object, if it still has the revision."""
        metadata = {"name": name, "revision": revision}
        document = {"metadata": metadata, "status": status}
        path = f"{OBJECT_KINDS[kind]}/{name}/status"
        try:
            body, era = await self._call("PUT", path, "put_status", document)
        except _Refused as error:
            current = _read_object(error.body, kind, self._era)
            raise StoreConflict(str(error), current) from error
        return _read_object(body, kind, era)

    async def delete(self, kind: StateKind, name: str) -> None:
        """Delete an object that the router owns."""
        await self._call("DELETE", f"{OBJECT_KINDS[kind]}/{name}", "delete")

    async def _get(
        self,
        kind: StateKind,
        operation: str,
        params: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[bytes, int]:
        return await self._call(
            "GET", OBJECT_KINDS[kind], operation, None, params, timeout_s
        )

    async def _call(
        self,
        method: str,
        path: str,
        operation: str,
        document: object = None,
        params: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[bytes, int]:
        """Return the body of a response and the era of the store."""
        data = b"" if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"} if data else {}
        query = f"?{urlencode(params)}" if params else ""
        target = f"/v1/objects/{quote(path)}{query}"
        try:
            response = await self._client.request(
                method, target, headers, data, timeout_s, operation == "list"
            )
        except (ConnectionError, TimeoutError, OSError) as error:
            self._on_call(operation, "unavailable")
            raise _failure(error) from error
        status, body = response.head.status, response.body
        era = _read_era(response.head.get(STORE_ERA))
        self._on_call(operation, str(status))
        if era is not None and era < self._era:
            raise StoreUnavailable(f"late response from era {era}")
        # Responses of a store that never had an era name none.
        self._era = era = self._era if era is None else era
        if status in (200, 201, 204):
            return body, era
        if status == 410:
            raise RevisionExpired(f"status {status}")
        if status in (404, 409):
            raise _Refused(f"status {status}", body)
        raise StoreUnavailable(f"status {status}")

    async def _decode(self, decoder: msgspec.json.Decoder, body: bytes, levels: int):
        try:
            try:
                return decoder.decode(body)
            except (msgspec.DecodeError, RecursionError):
                # Another program may have written an object that can't be read.
                return decoder.decode(await _repaired(body, levels))
        except ValueError as error:
            raise StoreUnavailable(f"malformed response body: {error}") from error


def _failure(error: Exception) -> StoreUnavailable:
    """Return the error of a call for that of its connection."""
    text = str(error) or type(error).__name__
    if isinstance(error, TimeoutError):
        return StoreTimedOut(text)
    if isinstance(error, ConnectionBroken) and not isinstance(error, ConnectionRefused):
        return StoreCut(text)
    return StoreUnavailable(text)


async def _repaired(body: bytes, levels: int) -> bytes:
    """Return a body in which each unreadable value is null."""
    steps = repair_document(body, levels)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        # Requests are served between the steps.
        await asyncio.sleep(0)


def _read_era(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _read_object(body: bytes, kind: StateKind, era: int) -> StoreChange | None:
    """Return the object in the response to a write, if there is a whole one."""
    # The watch shows the object as well.
    try:
        decoded = _OBJECT.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None
    if bytes(decoded.spec) == b"null":
        # The response may name only the status; the object has a spec all the same.
        return None
    return _change(decoded, kind, era)


def _change(decoded: _Object, kind: StateKind, era: int) -> StoreChange:
    spec = bytes(decoded.spec)
    if kind is StateKind.ROLLOUTS:
        # Their status is a part of the state.
        spec = b'{"spec":%s,"status":%s}' % (spec, bytes(decoded.status))
    return StoreChange(decoded.metadata.name, decoded.metadata.revision, spec, era)


def _decode_object(
    raw: msgspec.Raw, era: int, kind: StateKind = StateKind.UPSTREAMS
) -> StoreChange | None:
    try:
        decoded = _OBJECT.decode(raw)
    except msgspec.DecodeError as error:
        logger.warning("store_object_unreadable", error=str(error))
        return None
    return _change(decoded, kind, era)


def _decode_event(
    raw: msgspec.Raw, era: int, kind: StateKind = StateKind.UPSTREAMS
) -> StoreChange | None:
    try:
        event = _EVENT.decode(raw)
    except msgspec.DecodeError as error:
        logger.warning("store_object_unreadable", error=str(error))
        return None
    change = _change(event.object, kind, era)
    return replace(change, spec=None) if event.deleted else change
