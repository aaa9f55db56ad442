"""Reader of the numbered events of a generation, with timeouts between events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from carobstair.net.watchdog import Watchdog

__all__ = [
    "AnswerMismatch",
    "Chunk",
    "EventReader",
    "NotSent",
    "ProgressLimits",
    "StreamBroken",
    "UpstreamError",
    "UpstreamLeft",
    "UpstreamRefused",
    "read_chunks",
]

MAX_EVENT_BYTES = 1_000_000


class UpstreamError(Exception):
    """A call to an upstream that returned no complete answer."""


class NotSent(UpstreamError):
    """The connection could not be established; nothing was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream reported that it did not run the request."""


class UpstreamLeft(UpstreamRefused):
    """The upstream left service before the request was sent.

    It says nothing about the upstream's health, and sending the request elsewhere
    does not count as a retry.
    """


class StreamBroken(UpstreamError):
    """The answer was cut off or stalled; the request may have run in part."""


class AnswerMismatch(UpstreamError):
    """The answer carries the request ID of another request."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One numbered event of a generation.

    Attributes
    ----------
    number : int
        Sequence number in the complete answer, from 1 without gaps.
    finished : bool
        Whether this is the last chunk of the answer.
    """

    number: int
    document: dict
    finished: bool


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Timeouts of a stream, in seconds.

    Attributes
    ----------
    first_event_s, next_event_s : float
        Longest wait for the first event and for each later one.
    usable_until : callable
        Returns the monotonic time at which reading must stop. The time moves
        forward when the lease is renewed.
    """

    first_event_s: float
    next_event_s: float
    usable_until: Callable[[], float]


class EventReader:
    """Reads server-sent events; comments do not reset the timeout.

    Parameters
    ----------
    content : aiohttp.StreamReader
    limits : ProgressLimits
    """

    def __init__(self, content: aiohttp.StreamReader, limits: ProgressLimits):
        self._content = content
        self._limits = limits
        self._timeout_s = limits.first_event_s
        self._loop = asyncio.get_running_loop()
        self._deadline_s = 0.0
        self._watchdog = Watchdog(self._on_timeout)
        self._buffer = b""

    async def next_event(self) -> tuple[int, bytes] | None:
        """Return ID and data of the next event, or None at the end of the stream.

        Raises
        ------
        StreamBroken
            If no event arrives in time, an event is too large or the lease expired.
        """
        # The timeout runs only during this call, so that a caller that reads slowly
        # is not mistaken for a stalled engine.
        self._deadline_s = self._loop.time() + self._timeout_s
        while (event := self._pop_event()) is None:
            data = await self._read()
            if not data:
                return None
            self._buffer += data
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamBroken("an event is too large")
        self._timeout_s = self._limits.next_event_s
        return event

    def close(self) -> None:
        """Stop the watchdog."""
        self._watchdog.close()

    async def _read(self) -> bytes:
        if self._loop.time() >= self._limits.usable_until():
            raise StreamBroken("the grant's lease lapsed")
        self._watchdog.arm(min(self._deadline_s, self._limits.usable_until()))
        try:
            return await self._content.readany()
        finally:
            self._watchdog.disarm()

    def _on_timeout(self) -> None:
        now_s, lease_end_s = self._loop.time(), self._limits.usable_until()
        if now_s >= lease_end_s:
            self._content.set_exception(StreamBroken("the grant's lease lapsed"))
        elif now_s >= self._deadline_s:
            self._content.set_exception(StreamBroken("no token in time"))
        else:
            # The lease was renewed while this timer ran.
            self._watchdog.arm(min(self._deadline_s, lease_end_s))

    def _pop_event(self) -> tuple[int, bytes] | None:
        while True:
            block, found, rest = self._buffer.partition(b"\n\n")
            if not found:
                return None
            self._buffer = rest
            number, data = 0, b""
            for line in block.splitlines():
                if line.startswith(b"id:"):
                    number = int(line[3:])
                elif line.startswith(b"data:"):
                    data = line[5:].strip()
            if data:
                return number, data


async def read_chunks(reader: EventReader, after: int) -> AsyncIterator[Chunk]:
    """Yield the chunks after number `after`, without gaps or duplicates.

    Raises
    ------
    StreamBroken
        If a number is out of order or the stream ends before ``[DONE]``.
    """
    number, finished = after, False
    while (event := await reader.next_event()) is not None:
        event_id, data = event
        if data == b"[DONE]":
            if not finished:
                raise StreamBroken("ended without a closing chunk")
            return
        if event_id != number + 1:
            raise StreamBroken(f"event {event_id} follows {number}")
        number = event_id
        document, finished = _decode(data)
        yield Chunk(number, document, finished)
    raise StreamBroken("ended without [DONE]")


def _decode(data: bytes) -> tuple[dict, bool]:
    """Return an event's document and whether it is the last chunk of the answer."""
    try:
        document = msgspec.json.decode(data)
        return document, bool(document["choices"][0].get("finish_reason"))
    except (
        msgspec.DecodeError,
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
    ) as error:
        raise StreamBroken(f"unreadable event: {error}") from error
