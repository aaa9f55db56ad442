"""Client of the users' platform's metadata store."""

from __future__ import annotations

import json
from collections.abc import Callable

import aiohttp
import msgspec

from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.edge.state_store import (
    Listing,
    RevisionExpired,
    StoreConflict,
    StoreUnavailable,
)
from carobstair.platform.documents import KINDS

__all__ = ["PlatformStore"]

# An answer takes 4 ms; sixty times that still counts as an answer.
CALL_TIMEOUT_S = 1.0
# A watch that stays silent past its wait sits on a dead connection.
WATCH_MARGIN_S = 0.8
# Lists of several pages; far above 600 upstreams at 500 entries a page.
MAX_PAGES = 200


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    # Entries are decoded one by one: a bad one must not hide the others.
    entries: list[msgspec.Raw] = []
    has_more: bool = False
    current_rev: int = 0


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Watch(msgspec.Struct, rename="camel"):
    events: list[msgspec.Raw] = []
    current_rev: int = 0


_PAGE = msgspec.json.Decoder(_Page)
_WATCH = msgspec.json.Decoder(_Watch)
_OBJECT = msgspec.json.Decoder(_Object)
_EVENT = msgspec.json.Decoder(_Event)


class PlatformStore:
    """The `StateStore` of the users' platform.

    Parameters
    ----------
    address : str
        HOST:PORT of the store.
    on_call : callable
        Called with the operation and its outcome for each call.
    """

    def __init__(self, address: str, on_call: Callable[[str, str], None]):
        self._base = f"http://{address}/v1/objects/"
        self._on_call = on_call
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list(self, kind: StateKind) -> Listing:
        """Return all objects of a kind, from as many pages as there are."""
        changes: dict[str, StoreChange] = {}
        revision = 0
        params: dict[str, str] = {}
        for _ in range(MAX_PAGES):
            page = self._decode(_PAGE, await self._get(kind, "list", params))
            last = ""
            for raw in page.entries:
                change = _read_object(raw)
                if change is not None:
                    changes[change.name] = change
                    last = change.name
            # Later pages may be newer; the watch goes on from the first.
            revision = revision or page.current_rev
            if not page.has_more or not last:
                return Listing(list(changes.values()), revision)
            params = {"after": last}
        raise StoreUnavailable("the list does not end")

    async def watch(self, kind: StateKind, revision: int, wait_s: float) -> Listing:
        """Return the changes after a revision, after a wait if there are none."""
        params = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        body = await self._get(kind, "watch", params, wait_s + WATCH_MARGIN_S)
        answer = self._decode(_WATCH, body)
        changes = [c for c in map(_read_event, answer.events) if c is not None]
        return Listing(changes, max(revision, answer.current_rev))

    async def put(self, kind: StateKind, name: str, spec: object) -> None:
        """Create an object of the router's own, or replace it."""
        path = KINDS[kind]
        document = {"metadata": {"name": name}, "spec": spec}
        try:
            await self._call("POST", path, "create", document)
        except StoreConflict:
            await self._call("PUT", f"{path}/{name}", "replace", document)

    async def delete(self, kind: StateKind, name: str) -> None:
        """Remove an object of the router's own."""
        await self._call("DELETE", f"{KINDS[kind]}/{name}", "delete")

    async def _get(
        self,
        kind: StateKind,
        operation: str,
        params: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        return await self._call("GET", KINDS[kind], operation, None, params, timeout_s)

    async def _call(
        self,
        method: str,
        path: str,
        operation: str,
        document: object = None,
        params: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        data = None if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"} if data is not None else None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._open().request(
                method,
                self._base + path,
                params=params,
                data=data,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._on_call(operation, "unavailable")
            raise StoreUnavailable(str(error) or type(error).__name__) from error
        self._on_call(operation, str(status))
        if status in (200, 201, 204):
            return body
        if status == 410:
            raise RevisionExpired(f"status {status}")
        if status in (404, 409):
            raise StoreConflict(f"status {status}")
        raise StoreUnavailable(f"status {status}")

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def _decode(self, decoder: msgspec.json.Decoder, body: bytes):
        try:
            return decoder.decode(body)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"unreadable answer: {error}") from error


def _read_object(raw: msgspec.Raw) -> StoreChange | None:
    try:
        found = _OBJECT.decode(raw)
    except msgspec.DecodeError:
        return None
    return StoreChange(found.metadata.name, found.metadata.revision, bytes(found.spec))


def _read_event(raw: msgspec.Raw) -> StoreChange | None:
    try:
        event = _EVENT.decode(raw)
    except msgspec.DecodeError:
        return None
    metadata = event.object.metadata
    spec = None if event.deleted else bytes(event.object.spec)
    return StoreChange(metadata.name, metadata.revision, spec)
