"""Stand-in for the platform's object API: in memory, served over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

import falcon
import falcon.asgi

from carobstair.standins.program import StandInSettings, run_stand_in

__all__ = ["ObjectStore", "main", "make_app"]

HISTORY_LIMIT = 1000
WATCH_HEARTBEAT_S = 5.0


@dataclass(frozen=True)
class Change:
    """A write or deletion of an object."""

    version: int
    name: str
    value: bytes
    deleted: bool

    def line(self) -> bytes:
        """Return the change as a line of a watch response."""
        document = {
            "version": self.version,
            "name": self.name,
            "value": base64.b64encode(self.value).decode(),
            "deleted": self.deleted,
        }
        return json.dumps(document).encode() + b"\n"


class ObjectStore:
    """Versioned objects with a change history, and faults that tests enable.

    Attributes
    ----------
    down : bool
        Every call is answered with 503.
    lose_answers : int
        Number of further writes that take effect but are answered with 503.
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.instances: list[dict[str, str]] = []
        self.history: deque[Change] = deque(maxlen=HISTORY_LIMIT)
        self.calls: dict[str, int] = {}
        self.down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self._changed = asyncio.Condition()

    async def write(self, name: str, value: bytes, deleted: bool = False) -> int:
        """Store or delete an object and return the new version."""
        self.version += 1
        if deleted:
            self.objects.pop(name, None)
        else:
            self.objects[name] = (self.version, value)
        self.history.append(Change(self.version, name, value, deleted))
        async with self._changed:
            self._changed.notify_all()
        return self.version

    def has_history_since(self, version: int) -> bool:
        """Return whether the history still holds every change after a version."""
        oldest = self.history[0].version if self.history else self.version + 1
        return version + 1 >= oldest

    async def changes(self, prefix: str, since: int) -> AsyncIterator[bytes]:
        """Yield the changes after a version, and heartbeats while there are none."""
        while not self.down:
            unsent = [c for c in self.history if c.version > since]
            for change in unsent:
                since = change.version
                if change.name.startswith(prefix):
                    yield change.line()
            async with self._changed:
                if self.version > since:
                    continue
                try:
                    await asyncio.wait_for(self._changed.wait(), WATCH_HEARTBEAT_S)
                except TimeoutError:
                    yield json.dumps({"version": since}).encode() + b"\n"


class _FaultInjection:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def process_request(self, req, resp) -> None:
        if req.path.startswith("/control"):
            return
        label = f"{req.method} {req.path.split('/')[1]}"
        self._store.calls[label] = self._store.calls.get(label, 0) + 1
        if self._store.delay_s:
            await asyncio.sleep(self._store.delay_s)
        if self._store.down:
            raise falcon.HTTPServiceUnavailable()

    async def process_response(self, req, resp, resource, req_succeeded) -> None:
        wrote = req.method in ("PUT", "DELETE") and req_succeeded
        if wrote and self._store.lose_answers and not req.path.startswith("/control"):
            self._store.lose_answers -= 1
            resp.status = falcon.HTTP_503
            resp.data = b""


class _Object:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def on_get(self, req, resp, name: str) -> None:
        found = self._store.objects.get(name)
        if found is None:
            raise falcon.HTTPNotFound()
        resp.set_header("ETag", f'"{found[0]}"')
        resp.data = found[1]

    async def on_put(self, req, resp, name: str) -> None:
        value = await req.stream.read()
        self._check(req, name)
        version = await self._store.write(name, value)
        resp.set_header("ETag", f'"{version}"')

    async def on_delete(self, req, resp, name: str) -> None:
        self._check(req, name)
        version = await self._store.write(name, b"", deleted=True)
        resp.set_header("ETag", f'"{version}"')

    def _check(self, req, name: str) -> None:
        found = self._store.objects.get(name)
        if req.get_header("If-None-Match") == "*" and found is not None:
            raise falcon.HTTPPreconditionFailed()
        expected_version = req.get_header("If-Match")
        if expected_version is not None and (
            found is None or str(found[0]) != expected_version.strip('"')
        ):
            raise falcon.HTTPPreconditionFailed()


class _Objects:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def on_get(self, req, resp) -> None:
        prefix, after = req.get_param("prefix", default=""), req.get_param("after")
        resp.set_header("ETag", f'"{self._store.version}"')
        resp.media = {
            "objects": [
                {
                    "name": name,
                    "version": version,
                    "value": base64.b64encode(value).decode(),
                }
                for name, (version, value) in sorted(self._store.objects.items())
                if name.startswith(prefix) and name > (after or "")
            ]
        }


class _Watch:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def on_get(self, req, resp) -> None:
        since = req.get_param_as_int("since", default=0)
        if not self._store.has_history_since(since):
            raise falcon.HTTPGone()
        resp.content_type = "application/jsonlines"
        resp.stream = self._store.changes(req.get_param("prefix", default=""), since)


class _Instances:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def on_get(self, req, resp) -> None:
        resp.media = {"instances": self._store.instances}

    async def on_put(self, req, resp) -> None:
        self._store.instances = (await req.get_media())["instances"]


class _Control:
    def __init__(self, store: ObjectStore):
        self._store = store

    async def on_get(self, req, resp) -> None:
        resp.media = {"calls": self._store.calls, "version": self._store.version}

    async def on_put(self, req, resp) -> None:
        for key, value in (await req.get_media()).items():
            setattr(self._store, key, value)


def make_app(store: ObjectStore) -> falcon.asgi.App:
    """Return the ASGI application of a store."""
    app = falcon.asgi.App(middleware=[_FaultInjection(store)])
    app.add_route("/objects", _Objects(store))
    app.add_route("/objects/{name:path}", _Object(store))
    app.add_route("/watch", _Watch(store))
    app.add_route("/instances", _Instances(store))
    app.add_route("/control", _Control(store))
    return app


def main() -> None:
    """Run the stand-in as a program."""
    run_stand_in(lambda settings: make_app(ObjectStore()), StandInSettings)


if __name__ == "__main__":
    main()
