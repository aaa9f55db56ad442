"""Numbered events of a generation, read with limits on silence."""

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
    """A call to an upstream that gave no whole answer."""


class NotSent(UpstreamError):
    """No connection came about; nothing was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream answered that it did not run the request."""


class UpstreamLeft(UpstreamRefused):
    """The upstream left service before the request was sent.

    It says nothing about the upstream's health, and sending the request elsewhere
    is no repeat.
    """


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
class ProgressLimits:
    """How long a stream may be silent, in seconds.

    Attributes
    ----------
    first_s, next_s : float
        For the first event and for each further one.
    usable_until : callable
        Returns the monotonic time at which reading must stop; it may grow.
    """

    first_s: float
    next_s: float
    usable_until: Callable[[], float]


class EventReader:
    """Reads server-sent events; comments count as no progress.

    Parameters
    ----------
    content : aiohttp.StreamReader
    limits : ProgressLimits
    """

    def __init__(self, content: aiohttp.StreamReader, limits: ProgressLimits):
        self._content = content
        self._limits = limits
        self._allowed_s = limits.first_s
        self._loop = asyncio.get_running_loop()
        self._until_s = 0.0
        self._watchdog = Watchdog(self._on_silence)
        self._buffer = b""

    async def next_event(self) -> tuple[int, bytes] | None:
        """Return number and data of the next event, or None at the end.

        Raises
        ------
        StreamBroken
            If the stream stays silent or must not be used any longer.
        """
        # Time counts only while this waits; a slow caller is no silent engine.
        self._until_s = self._loop.time() + self._allowed_s
        while (event := self._take()) is None:
            data = await self._read()
            if not data:
                return None
            self._buffer += data
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamBroken("an event is too large")
        self._allowed_s = self._limits.next_s
        return event

    def close(self) -> None:
        """Stop watching the time."""
        self._watchdog.close()

    async def _read(self) -> bytes:
        if self._loop.time() >= self._limits.usable_until():
            raise StreamBroken("the grant's lease lapsed")
        self._watchdog.arm(min(self._until_s, self._limits.usable_until()))
        try:
            return await self._content.readany()
        finally:
            self._watchdog.disarm()

    def _on_silence(self) -> None:
        now_s, stop_s = self._loop.time(), self._limits.usable_until()
        if now_s >= stop_s:
            self._content.set_exception(StreamBroken("the grant's lease lapsed"))
        elif now_s >= self._until_s:
            self._content.set_exception(StreamBroken("no token in time"))
        else:
            # The lease has been renewed meanwhile.
            self._watchdog.arm(min(self._until_s, stop_s))

    def _take(self) -> tuple[int, bytes] | None:
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
    """Yield the chunks that follow a number, without gap or repeat.

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
    """Return an event's document and whether it closes the answer."""
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
