"""Stand-ins for the store and the upstreams of the platform, on loopback.

An upstream follows a script: a list of behaviours, one for each request received.
"""

import asyncio
import itertools
import json
import time

from carobstair.standins.proxy import reset_connection

SEAL = "seal"
PART_TOKENS = 5


def make_upstream_entry(port, **changes):
    """Return the store entry of an upstream that is ready."""
    entry = {
        "service": "plain",
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
    }
    return entry | changes


def make_route(prefix, **changes):
    """Return the configuration of a route."""
    route = {
        "name": f"r{prefix}",
        "host": "api.test",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "plain",
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
    }
    return route | changes


def make_config(version=1, **changes):
    """Return a routing configuration with a route for each kind of request."""
    config = {
        "version": version,
        "routes": [
            make_route("/safe/"),
            make_route("/unsafe/", kind="unsafe"),
            make_route("/stream/", kind="streaming", timeoutMs=2000),
            make_route("/resume/", kind="streaming", resumable=True, timeoutMs=2000),
            make_route("/open/", public=True),
        ],
        "services": [{"name": "plain", "healthPath": "/health", "maxConnections": 90}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000},
        "tenants": [{"name": "team", "apiKeys": ["key1"]}],
    }
    return config | changes


def make_script(text):
    """Return an iterator over the behaviours named in a text; the last one repeats."""
    names = text.split()
    return itertools.chain(names, itertools.repeat(names[-1]))


class HttpStandIn:
    """Minimal HTTP/1.1 server that passes each request to `respond`."""

    def __init__(self):
        self.port = 0
        self.connections = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Close the listening socket and all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client has disconnected, or the test has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = [
            (name.lower(), value.strip())
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        ]
        length = int(dict(headers).get("content-length", 0))
        body = await reader.readexactly(length)
        request = Request(method, target, headers, body)
        return await self.respond(request, writer)

    async def respond(self, request, writer):
        """Respond to a request; return whether to keep the connection open."""
        raise NotImplementedError


class Request:
    """A request as received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.body = method, target, body
        self.header_pairs = headers
        self.headers = dict(headers)


class StoreStandIn(HttpStandIn):
    """The subset of the platform's store that routers use."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.events = []
        self.revision = 1
        self.compacted_revision = 0
        self.down = False
        self.calls = 0
        # Kinds of all calls, and the status writes among them.
        self.called_kinds = set()
        self.status_writes = []
        # Bytes that are sent in place of specs, by a text that stands for each.
        self.raw_specs = {}
        # None sends no era, as stores did before they could be restored.
        self.era = None
        # One event for each watch that waits.
        self._waiting = set()

    def copy(self):
        """Return a copy of the objects, from which the store can be restored."""
        return dict(self.objects), self.revision

    def restore(self, copy, cut=True):
        """Return to a copy: later changes are lost and revisions are reused.

        Watches that wait end with their connections, or go on waiting.
        """
        self.objects, self.revision = dict(copy[0]), copy[1]
        self.events.clear()
        self.compacted_revision = 0
        self.era = (self.era or 0) + 1
        for writer in self._writers if cut else ():
            writer.transport.abort()

    def put(self, kind, name, spec):
        """Write an object, as an operator or an upstream does."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        stored = {"metadata": metadata, "spec": spec}
        self.objects[kind, name] = stored
        self._record_event(kind, stored, False)

    def put_status(self, kind, name, revision, status):
        """Write the status of an object that has a revision; return the answer."""
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        if revision != stored["metadata"]["revision"]:
            return 409, stored
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        stored = {"metadata": metadata, "spec": stored["spec"], "status": status}
        self.objects[kind, name] = stored
        self._record_event(kind, stored, False)
        return 200, stored

    def delete(self, kind, name):
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        self._record_event(kind, stored | {"metadata": metadata}, True)

    def compact(self):
        """Drop the change history, as a compaction does."""
        self.compacted_revision = self.revision
        self.events.clear()

    async def respond(self, request, writer):
        """Respond to a store call."""
        self.calls += 1
        if self.down:
            writer.transport.abort()
            return False
        path, _, query = request.target.partition("?")
        options = dict(part.split("=") for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        self.called_kinds.add(kind)
        if request.method == "GET":
            status, document = await self._read(kind, options)
        else:
            status, document = self._write(request, kind, name)
        body = json.dumps(document).encode()
        for name, raw in self.raw_specs.items():
            body = body.replace(json.dumps(name).encode(), raw)
        era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{era}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        return True

    async def _read(self, kind, options):
        if "watch" not in options:
            after = options.get("after", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            # Two entries a page, so that lists span several pages.
            entries = [self.objects[kind, n] for n in names[:2]]
            more = len(names) > 2
            answer = {"entries": entries, "hasMore": more, "currentRev": self.revision}
            return 200, answer
        since = int(options["watch"])
        if since < self.compacted_revision or since > self.revision:
            return 410, {}
        deadline_s = asyncio.get_running_loop().time() + int(options["waitMs"]) / 1000
        era = self.era
        while True:
            if since < self.compacted_revision or era != self.era:
                return 410, {}
            events = [e for k, r, e in self.events if k == kind and r > since]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = asyncio.Event()
            self._waiting.add(changed)
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
            finally:
                self._waiting.discard(changed)

    def _write(self, request, kind, name):
        if request.method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, {}
            self.delete(kind, name)
            return 200, {}
        document = json.loads(request.body)
        if name.endswith("/status"):
            revision = document["metadata"]["revision"]
            status = document["status"]
            self.status_writes.append((name, revision, status))
            name = name.removesuffix("/status")
            return self.put_status(kind, name, revision, status)
        name = name or document["metadata"]["name"]
        if request.method == "POST" and (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    def _record_event(self, kind, stored, deleted):
        event = {"object": stored, "deleted": deleted}
        self.events.append((kind, self.revision, event))
        for changed in self._waiting:
            changed.set()


class UpstreamStandIn(HttpStandIn):
    """A service or engine whose responses follow a script.

    Parameters
    ----------
    script : iterator of str
        Behaviour for each request in turn; upstreams may share one iterator.
    """

    def __init__(self, script):
        super().__init__()
        self.requests = []
        self.arrivals_s = []
        self._script = script
        self._previous = None
        self.ended_hangs = 0
        # Bytes of an endless response that the router's side accepted.
        self.endless_bytes = 0
        self.retry_after = "1.0"
        self.limit_per_s = "4.0"
        self.raw_status = 200
        self.raw_headers = []
        self.raw_body = b""
        self.raw_cut = None
        # How the connection ends: "close", "reset", or "keep" if it doesn't.
        self.raw_end = "close"

    async def respond(self, request, writer):
        """Respond with the next behaviour of the script."""
        self.requests.append(request)
        self.arrivals_s.append(time.monotonic())
        behaviour = next(self._script)
        return await getattr(self, "_" + behaviour)(request, writer)

    def _response_head(self, request, status=200, extra=(), seal=True):
        lines = [f"HTTP/1.1 {status} X"]
        attempt_id = request.headers["carobstair-attempt-id"]
        lines.append(f"Carobstair-Attempt-Id: {attempt_id}")
        if seal:
            lines.append(f"Carobstair-Response-Seal: {SEAL}")
        return ("\r\n".join([*lines, *extra]) + "\r\n\r\n").encode()

    def _complete_response(self, request, status=200, body=b"whole"):
        return (
            self._response_head(request, status, [f"Content-Length: {len(body)}"])
            + body
        )

    async def _ok(self, request, writer):
        writer.write(self._complete_response(request))
        return True

    async def _slow(self, request, writer):
        await asyncio.sleep(0.3)
        return await self._ok(request, writer)

    async def _error(self, request, writer):
        writer.write(self._complete_response(request, 500, b"failed"))
        return True

    async def _full(self, request, writer):
        extra = ["Carobstair-Not-Executed: 1", "Content-Length: 0"]
        writer.write(self._response_head(request, 503, extra, seal=False))
        return True

    async def _other_instance(self, request, writer):
        extra = ["Carobstair-Not-Executed: 1", "Content-Length: 0"]
        writer.write(self._response_head(request, 421, extra, seal=False))
        return True

    async def _busy_without_marker(self, request, writer):
        writer.write(self._complete_response(request, 503, b"?"))
        return True

    async def _reset(self, request, writer):
        writer.transport.abort()
        return False

    async def _malformed(self, request, writer):
        writer.write(b"no answer in the protocol\r\n\r\n")
        return True

    async def _truncated(self, request, writer):
        writer.write(
            self._response_head(request, 200, ["Content-Length: 100"]) + b"begin"
        )
        await writer.drain()
        return False

    async def _extra(self, request, writer):
        writer.write(
            self._complete_response(request)
            + self._complete_response(request, body=b"extra")
        )
        return True

    async def _late_extra(self, request, writer):
        writer.write(self._complete_response(request))
        await asyncio.sleep(0.05)
        writer.write(self._complete_response(request, body=b"extra"))
        return True

    async def _mismatched_id(self, request, writer):
        other = Request("GET", "/", [("carobstair-attempt-id", "other")], b"")
        writer.write(
            self._complete_response(other, body=b"not yours")
            + self._complete_response(request)
        )
        return True

    async def _unsealed(self, request, writer):
        writer.write(
            self._response_head(request, 200, ["Content-Length: 2"], False) + b"no"
        )
        return True

    async def _no_length(self, request, writer):
        writer.write(self._response_head(request) + b"until the end")
        await writer.drain()
        return False

    async def _raw(self, request, writer):
        """Send a response up to `raw_cut` as it is, then end by `raw_end`."""
        head = self._response_head(request, self.raw_status, self.raw_headers)
        writer.write((head + self.raw_body)[: self.raw_cut])
        await writer.drain()
        if self.raw_end == "reset":
            # The data must be read before the reset discards it.
            await asyncio.sleep(0.01)
            reset_connection(writer)
        return self.raw_end == "keep"

    async def _ok_leaving(self, request, writer):
        extra = ["Server-Leaving: 1", "Content-Length: 5"]
        writer.write(self._response_head(request, 200, extra) + b"whole")
        return True

    async def _ok_limited(self, request, writer):
        """Name the requests a second that this upstream accepts from all routers."""
        extra = [f"Server-Limit: {self.limit_per_s}", "Content-Length: 5"]
        writer.write(self._response_head(request, 200, extra) + b"whole")
        return True

    async def _paused(self, request, writer):
        extra = [
            "Carobstair-Not-Executed: 1",
            f"Retry-After: {self.retry_after}",
            "Content-Length: 0",
        ]
        writer.write(self._response_head(request, 503, extra, seal=False))
        return True

    async def _ok_after_late_copy(self, request, writer):
        """Send the previous response again before that to this request."""
        if self._previous is not None:
            writer.write(self._complete_response(self._previous, body=b"not yours"))
        self._previous = request
        writer.write(self._complete_response(request))
        return True

    async def _ok_after_unnamed_copy(self, request, writer):
        """Send a response without an id before that to this request."""
        if self._previous is not None:
            head = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n"
            seal = b"Carobstair-Response-Seal: seal\r\n\r\n"
            writer.write(head + seal + b"not yours")
        self._previous = request
        writer.write(self._complete_response(request))
        return True

    async def _write_endlessly(self, writer, begin, unit):
        writer.write(begin)
        block = unit * (65536 // len(unit))
        while True:
            writer.write(block)
            self.endless_bytes += len(block)
            await writer.drain()

    async def _endless_headers(self, request, writer):
        await self._write_endlessly(writer, b"HTTP/1.1 200 X\r\n", b"x-a: b\r\n")

    async def _endless_header_line(self, request, writer):
        await self._write_endlessly(writer, b"HTTP/1.1 200 X\r\nx-a: ", b"b")

    async def _endless_informational(self, request, writer):
        await self._write_endlessly(writer, b"", b"HTTP/1.1 102 X\r\n\r\n")

    async def _endless_trailers(self, request, writer):
        head = self._response_head(request, 200, ["Transfer-Encoding: chunked"])
        await self._write_endlessly(writer, head + b"1\r\na\r\n0\r\n", b"x-a: b\r\n")

    async def _endless_chunk_extension(self, request, writer):
        head = self._response_head(request, 200, ["Transfer-Encoding: chunked"])
        await self._write_endlessly(writer, head + b"1;x=", b"b")

    async def _endless_event(self, request, writer):
        head = self._response_head(request, 200)
        await self._write_endlessly(writer, head + b"id: 1\ndata: ", b"b")

    async def _endless_error(self, request, writer):
        await self._write_endlessly(writer, self._response_head(request, 500), b"b")

    async def _endless_body(self, request, writer):
        await self._write_endlessly(writer, self._response_head(request), b"b\n\n")

    async def _endless_refusal(self, request, writer):
        extra = ["Carobstair-Not-Executed: 1"]
        head = self._response_head(request, 503, extra, seal=False)
        await self._write_endlessly(writer, head, b"b")

    async def _endless_stale_response(self, request, writer):
        other = Request("GET", "/", [("carobstair-attempt-id", "other")], b"")
        await self._write_endlessly(writer, self._response_head(other), b"b")

    async def _trailers(self, request, writer):
        head = self._response_head(request, 200, ["Transfer-Encoding: chunked"])
        writer.write(head + b"5\r\nwhole\r\n0\r\nX-Late: 1\r\n\r\n")
        return True

    async def _slow_refusal(self, request, writer):
        """Decline a request with a body that trickles without end."""
        extra = ["Carobstair-Not-Executed: 1"]
        writer.write(self._response_head(request, 503, extra, seal=False))
        while True:
            writer.write(b"b")
            await writer.drain()
            await asyncio.sleep(0.02)

    async def _hang(self, request, writer):
        try:
            await asyncio.sleep(30)
        finally:
            self.ended_hangs += 1
        return False

    def _event_chunk(self, number):
        event = b"id: %d\ndata: part\n\n" % number
        return b"%x\r\n%s\r\n" % (len(event), event)

    async def _stream(self, request, writer, truncate_at=None):
        writer.write(self._response_head(request, 200, ["Transfer-Encoding: chunked"]))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, 6):
            if number == truncate_at:
                writer.write(b"%x\r\n%s\r\n" % (8, b"id: 3\nda"))
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return False
            writer.write(self._event_chunk(number))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True

    async def _slow_stream(self, request, writer):
        writer.write(self._response_head(request, 200, ["Transfer-Encoding: chunked"]))
        for number in range(1, 6):
            writer.write(self._event_chunk(number))
            await writer.drain()
            await asyncio.sleep(0.35)
        writer.write(b"0\r\n\r\n")
        return True

    async def _trickling_stream(self, request, writer):
        """Send a byte now and then, and never a whole event."""
        writer.write(self._response_head(request, 200, ["Transfer-Encoding: chunked"]))
        writer.write(self._event_chunk(1))
        while True:
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)

    async def _truncated_stream(self, request, writer):
        return await self._stream(request, writer, truncate_at=3)
