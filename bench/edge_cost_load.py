"""Load of `edge_cost.py`: engines, a peer and callers, in a second process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

__all__ = ["LONG_EVENTS", "PHASES", "SHORT_EVENTS", "peers_main"]

SHORT_EVENTS, LONG_EVENTS = 2, 102
EVENT_INTERVAL_S = 0.004
CALLERS = 8
REQUESTS = {"plain": 1000, "stream": 600, "long": 64, "shed": 1000, "head": 600}
BODY = b"x" * 512
EVENT = b'id: %d\ndata: {"choices":[{"delta":{"content":"word"}}]}\n\n'


@dataclass(frozen=True)
class Phase:
    """One kind of load."""

    path: str
    events: int
    requests: int
    port: str = "callers"


PHASES = {
    "plain": Phase("/plain/x", 0, REQUESTS["plain"]),
    "stream": Phase("/stream/x", SHORT_EVENTS, REQUESTS["stream"]),
    "long": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"]),
    # Streams pause between reads, as those of a busy router do.
    "paced": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"]),
    # Streams that peers serve for this router, and that it serves for peers.
    "handed": Phase("/stream/x", SHORT_EVENTS, REQUESTS["stream"], "busy"),
    "handed-long": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"], "busy"),
    "taken": Phase("/stream/x", SHORT_EVENTS, REQUESTS["stream"], "handoff"),
    "taken-long": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"], "handoff"),
    "shed": Phase("/stream/x", SHORT_EVENTS, REQUESTS["shed"]),
    # The body arrives after the head, so the router can't refuse the request unread.
    "head": Phase("/stream/x", SHORT_EVENTS, REQUESTS["head"]),
}


class Engine(asyncio.Protocol):
    """Answers requests with events, or with a short body on other paths."""

    def __init__(self):
        self.data = b""
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Answer a request once it has arrived whole."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < len(BODY):
            return
        self.data = b""
        lines = dict(
            line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:] if line
        )
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Carobstair-Attempt-Id: %s\r\nCarobstair-Response-Seal: c2VhbA\r\n"
            b"Carobstair-Engine-Load: 4,0,16\r\nKeep-Alive: timeout=30\r\n"
            % lines[b"carobstair-attempt-id"]
        )
        if head.startswith(b"POST /plain/"):
            body = b"{}" * 64
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            self.transport.write(answer + length + body)
            return
        answer += b"Transfer-Encoding: chunked\r\n\r\n"
        events = int(lines[b"x-events"])
        self.send_event(answer, 0, events)

    def send_event(self, head, number, events):
        """Send an event and schedule the next one."""
        event = EVENT % number
        data = head + b"%x\r\n%s\r\n" % (len(event), event)
        if number + 1 == events:
            self.transport.write(data + b"0\r\n\r\n")
            return
        self.transport.write(data)
        asyncio.get_running_loop().call_later(
            EVENT_INTERVAL_S, self.send_event, b"", number + 1, events
        )


class Peer(Engine):
    """Answers as the hand-off port of a router does, with events joined for 40 ms."""

    JOINED = 10

    def data_received(self, data):
        """Answer a request once it has arrived whole."""
        if self.data or not data.endswith(BODY):
            super().data_received(data)
            return
        events = int(data.lower().partition(b"x-events: ")[2].split()[0])
        head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        self.send_events(head + b"transfer-encoding: chunked\r\n\r\n", 0, events)

    def send_events(self, head, number, events):
        """Send the first event at once, and others together."""
        count = min(self.JOINED if number else 1, events - number)
        joined = b"".join(EVENT % (number + n) for n in range(count))
        data = head + b"%x\r\n%s\r\n" % (len(joined), joined)
        number += count
        if number == events:
            self.transport.write(data + b"0\r\n\r\n")
            return
        self.transport.write(data)
        pause_s = EVENT_INTERVAL_S * min(self.JOINED, events - number)
        asyncio.get_running_loop().call_later(
            pause_s, self.send_events, b"", number, events
        )


class Caller:
    """Sends requests on one kept connection."""

    def __init__(self, port):
        self.port = port
        self.number = 0

    async def open(self):
        """Connect to the router."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def call(self, phase, split):
        """Send a request and read its response; return the status."""
        self.number += 1
        request_id = b"c%x-%d" % (id(self), self.number)
        head = (
            b"POST %s HTTP/1.1\r\nHost: api.test\r\nContent-Type: application/json\r\n"
            b"Carobstair-Key: key%d\r\nCarobstair-Attempt-Id: %s\r\n"
            b"Carobstair-Deadline-Ms: 10000\r\nCarobstair-Token-Counts: 2368,120\r\n"
            b"Carobstair-Prompt-Prefix: s%d:900,t%d:800,%s:668\r\nX-Events: %d\r\n"
            b"Carobstair-Length-Hint: 110\r\nContent-Length: %d\r\n\r\n"
        ) % (
            phase.path.encode(),
            self.number % 30,
            request_id,
            self.number % 12,
            self.number % 70,
            request_id,
            phase.events,
            len(BODY),
        )
        if split:
            self.writer.write(head)
            await asyncio.sleep(0.002)
            self.writer.write(BODY)
        else:
            self.writer.write(head + BODY)
        answer = await self.reader.readuntil(b"\r\n\r\n")
        lines = answer.lower().split(b"\r\n")
        lengths = [line for line in lines if line.startswith(b"content-length:")]
        if lengths:
            await self.reader.readexactly(int(lengths[0].split(b":")[1]))
        else:
            while await self.reader.readuntil(b"\r\n") != b"0\r\n":
                pass
            await self.reader.readuntil(b"\r\n")
        return int(answer.split(b" ", 2)[1])


async def run_peers(pipe):
    """Serve as engines, and send the load that the router's process asks for."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Engine, "127.0.0.1", 0)
    peer = await loop.create_server(Peer, "127.0.0.1", 0)
    pipe.send([found.sockets[0].getsockname()[1] for found in (server, peer)])
    ports = await loop.run_in_executor(None, pipe.recv)
    callers = {
        name: [await Caller(port).open() for _ in range(CALLERS)]
        for name, port in ports.items()
    }
    while True:
        order = await loop.run_in_executor(None, pipe.recv)
        if order is None:
            return
        name, requests = order
        statuses = set()

        async def send(caller, name=name, count=requests // CALLERS, seen=statuses):
            for _ in range(count):
                seen.add(await caller.call(PHASES[name], name == "head"))

        await asyncio.gather(*map(send, callers[PHASES[name].port]))
        pipe.send(sorted(statuses))


def peers_main(pipe):
    """Run the second process."""
    asyncio.run(run_peers(pipe))
