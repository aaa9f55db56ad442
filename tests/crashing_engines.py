"""Engine stand-ins that end when they begin to answer a prompt with some segment."""

import asyncio
import itertools

from carobstair.standins.proxy import reset_connection
from platform_standins import HttpStandIn, make_upstream_entry

__all__ = ["CrashingEngine", "prompt_headers"]

_numbers = itertools.count(1)
# Start times of all engines of a process: an engine that takes the place and the name
# of another is another incarnation, as it would be on a machine.
_incarnations = itertools.count(1)


def prompt_headers(*segments):
    """Return the headers of a prompt with shared segments and one of its own."""
    parts = [*segments, f"own{next(_numbers)}"]
    return {
        "Carobstair-Token-Counts": f"{100 * len(parts)},20",
        "Carobstair-Prompt-Prefix": ",".join(f"{part}:100" for part in parts),
    }


class CrashingEngine(HttpStandIn):
    """Engine that ends when it begins to answer a prompt with a bad segment.

    Parameters
    ----------
    name : str
    store : StoreStandIn
    bad_segments : set of str
        Shared by all engines of a test.
    ends : list of str
        Names of engines that have ended, shared by all engines of a test.
    restart_s : float or None
        Time after which it is back as a new incarnation.
    """

    def __init__(self, name, store, bad_segments, ends, restart_s=None):
        super().__init__()
        self.name = name
        self.incarnation = 0
        self.engine_id = ""
        self.requests = []
        # "before_head", "head", "event" or "in_event"; how connections then end.
        self.crash_after = "head"
        # If set, it goes on to answer and ends so long after the first event.
        self.crash_delay_s = None
        self.crash_by = "abort"
        # Whether its store entry goes when it ends, as that of a lapsed lease.
        self.entry_lapses = False
        # Whether answers have neither a length nor chunks.
        self.unframed = False
        self._store = store
        self._bad_segments = bad_segments
        self._ends = ends
        self._restart_s = restart_s
        self._restarting = None
        self.event_gap_s = 0.01
        self.events = 4

    async def boot(self):
        """Listen and register as a new incarnation."""
        if self._server is None:
            port = self.port
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
            self.port = self._server.sockets[0].getsockname()[1]
        self.incarnation = next(_incarnations)
        self.engine_id = f"{self.name}-{self.incarnation}"
        entry = make_upstream_entry(self.port, born=self.incarnation)
        self._store.put("servers", self.engine_id, entry)
        return self

    async def stop(self):
        """End for good."""
        if self._restarting is not None:
            self._restarting.cancel()
        if self._server is not None:
            await super().stop()

    def crash(self):
        """End this incarnation: close all connections and refuse new ones."""
        if self._server is None:
            return
        self._ends.append(self.engine_id)
        self._server.close()
        self._server = None
        for writer in self._writers:
            if self.crash_by == "abort":
                reset_connection(writer)
            elif self.crash_by == "close":
                writer.close()
        if self.entry_lapses:
            self._store.delete("servers", self.engine_id)
        if self._restart_s is not None:
            self._restarting = asyncio.create_task(self._restart())

    async def _restart(self):
        await asyncio.sleep(self._restart_s)
        if ("servers", self.engine_id) in self._store.objects:
            self._store.delete("servers", self.engine_id)
        await self.boot()

    def is_bad(self, request):
        """Return whether the prompt of a request has a bad segment."""
        prefix = request.headers.get("carobstair-prompt-prefix", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")]
        return bool(self._bad_segments & set(parts[:-1]))

    async def respond(self, request, writer):
        """Answer a request with a stream, or end."""
        self.requests.append(request)
        bad = self.is_bad(request)
        await asyncio.sleep(0.005)
        if bad and self.crash_after == "before_head":
            return await self._end(writer)
        attempt_id = request.headers["carobstair-attempt-id"]
        writer.write(
            f"HTTP/1.1 200 X\r\nCarobstair-Attempt-Id: {attempt_id}\r\n"
            "Carobstair-Response-Seal: seal\r\n"
            f"{'' if self.unframed else 'Transfer-Encoding: chunked'}\r\n".encode()
        )
        if not self.unframed:
            writer.write(b"\r\n")
        await writer.drain()
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: part\n\n" % number
            if bad and self.crash_after == "in_event":
                event = event[:9]
            if not (bad and self.crash_after == "head"):
                chunk = b"%x\r\n%s\r\n" % (len(event), event)
                writer.write(event if self.unframed else chunk)
                await writer.drain()
            if bad and self.crash_delay_s is not None:
                self._end_later()
            elif bad:
                return await self._end(writer)
            await asyncio.sleep(self.event_gap_s)
        if self.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def _end_later(self):
        loop, incarnation = asyncio.get_running_loop(), self.incarnation
        loop.call_later(
            self.crash_delay_s,
            lambda: self.incarnation == incarnation and self.crash(),
        )

    async def _end(self, writer):
        # What was written must arrive before a reset discards it.
        await writer.drain()
        await asyncio.sleep(0.01)
        self.crash()
        if self.crash_by == "silence":
            await asyncio.sleep(30)
        return False
