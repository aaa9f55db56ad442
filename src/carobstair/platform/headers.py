"""Converts between HTTP headers of the users' platform and the router's own types."""

from __future__ import annotations

import math
import re
import time
from email.utils import parsedate_to_datetime

from carobstair.core.engine_load import PromptShape
from carobstair.edge.metadata import (
    BadRequest,
    ForwardMetadata,
    Headers,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
)

__all__ = ["PlatformDialect"]

ATTEMPT_ID = b"carobstair-attempt-id"
DEADLINE_MS = b"carobstair-deadline-ms"
KEY = b"carobstair-key"
TENANT = b"carobstair-tenant"
EXPECT_INSTANCE = b"carobstair-expect-instance"
TOKEN_COUNTS = b"carobstair-token-counts"
PROMPT_PREFIX = b"carobstair-prompt-prefix"
# The caller's estimate of the output tokens. Its median is right, but single values
# are often far off.
LENGTH_HINT = b"carobstair-length-hint"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = b"carobstair-not-executed"
ENGINE_LOAD = b"carobstair-engine-load"
RESPONSE_SEAL = b"carobstair-response-seal"
SERVER_LEAVING = b"server-leaving"
# Requests a second that the engine accepts from all machines together.
SERVER_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"

# Apply to a single connection only, or are set again for each connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Removed from callers' requests: only the router may send these to an upstream.
ROUTER_ONLY = frozenset(
    {
        KEY,
        TENANT,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        LAST_EVENT_ID,
        b"carobstair-hold",
        b"carobstair-pin-ms",
        b"carobstair-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
STRIPPED_FROM_REQUESTS = HOP_BY_HOP | ROUTER_ONLY
# Prompts have only a few parts; the limit bounds the time to parse the header.
MAX_PREFIX_PARTS = 64
# Parts that are compared with those that are refused.
MAX_SHARED_PARTS = 1024
MAX_TOKENS = 10_000_000
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
# A longer Retry-After is a mistake: it would take an upstream out of use for good.
MAX_PAUSE_S = 300.0
# Running, waiting, slots and the slowdown of the machine.
MAX_LOAD_FIGURES = 4
# Far above any engine's slots and any slowdown by neighbours: larger figures are
# mistakes, and would take an upstream out of use.
MAX_REPORTED_REQUESTS = 100_000
MAX_SLOWDOWN_PERCENT = 10_000
INTEGER = re.compile(rb"[0-9]{1,9}")
DECIMAL = re.compile(rb"[0-9]{1,7}(\.[0-9]{1,9})?")
DEADLINE_LINE = re.compile(
    rb"\r\n" + DEADLINE_MS + rb":[ \t]*([0-9]{1,9})[ \t]*\r\n", re.IGNORECASE
)
REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,256}")


class PlatformDialect:
    """Implementation of `Dialect` for the users' platform."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Parse the headers of a caller's request."""
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            if name in (ATTEMPT_ID, b"host") and name in values:
                raise BadRequest(f"{name.decode()}: given twice")
            values.setdefault(name, value)
        request_id = values.get(ATTEMPT_ID, b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequest("the id of the attempt is missing or malformed")
        deadline = values.get(DEADLINE_MS, b"")
        deadline_s = int(deadline) / 1000 if INTEGER.fullmatch(deadline) else None
        key = values.get(KEY)
        last_event_id = values.get(LAST_EVENT_ID)
        return RequestMetadata(
            request_id.decode("latin-1"),
            values.get(b"host", b"").decode("latin-1"),
            deadline_s,
            None if key is None else key.decode("latin-1"),
            _read_prompt(
                values.get(TOKEN_COUNTS),
                values.get(PROMPT_PREFIX),
                values.get(LENGTH_HINT, b""),
            ),
            None if last_event_id is None else last_event_id.decode("latin-1"),
        )

    def read_caller_timeout_s(self, request: bytes) -> float | None:
        """Return how long the caller waits, from the bytes of a request."""
        match = DEADLINE_LINE.search(request, 0, request.find(b"\r\n\r\n") + 2)
        return int(match[1]) / 1000 if match else None

    def write_request(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        """Return the request headers to send to an upstream."""
        dropped = STRIPPED_FROM_REQUESTS
        if options := _connection_options(headers):
            dropped |= options
        forwarded = [(name, value) for name, value in headers if name not in dropped]
        forwarded.append((DEADLINE_MS, b"%d" % metadata.remaining_ms))
        forwarded.append((EXPECT_INSTANCE, metadata.upstream_id.encode()))
        if metadata.workspace is not None:
            forwarded.append((TENANT, metadata.workspace.encode()))
        if metadata.last_event_id is not None:
            forwarded.append((LAST_EVENT_ID, metadata.last_event_id.encode("latin-1")))
        return forwarded

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Parse the headers of an upstream's response."""
        values = dict(headers)
        request_id = values.get(ATTEMPT_ID)
        limit = values.get(SERVER_LIMIT)
        rate_per_s = _read_rate(limit)
        load, load_unreadable = _read_load(values.get(ENGINE_LOAD))
        return ResponseMetadata(
            None if request_id is None else request_id.decode("latin-1"),
            NOT_EXECUTED in values,
            status == MISDIRECTED_REQUEST,
            RESPONSE_SEAL in values,
            load,
            values.get(SERVER_LEAVING, b"").strip() == b"1",
            _read_retry_after(values.get(RETRY_AFTER))
            if status == SERVICE_UNAVAILABLE
            else None,
            rate_per_s,
            limit is not None and rate_per_s is None,
            load_unreadable,
        )

    def write_response(self, headers: Headers) -> Headers:
        """Return the response headers to send to the caller."""
        dropped = HOP_BY_HOP
        if options := _connection_options(headers):
            dropped |= options
        return [(name, value) for name, value in headers if name not in dropped]


def _connection_options(headers: Headers) -> set[bytes]:
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }


def _read_prompt(
    counts: bytes | None, prefix: bytes | None, hint: bytes
) -> PromptShape:
    """Return the token counts and prefix of a prompt; malformed values are ignored."""
    entries = (prefix or b"").split(b",", MAX_SHARED_PARTS)
    shared = tuple(
        entry.strip().partition(b":")[0].decode("latin-1") for entry in entries[:-1]
    )
    numbers = [part.strip() for part in (counts or b"").split(b",")]
    if len(numbers) != 2 or not all(map(INTEGER.fullmatch, numbers)):
        return PromptShape(shared_segments=shared)
    prompt_tokens, output_tokens = (min(int(n), MAX_TOKENS) for n in numbers)
    if INTEGER.fullmatch(hint):
        output_tokens = min(output_tokens, int(hint))
    parts = []
    for entry in entries[:MAX_PREFIX_PARTS]:
        part, _, tokens = entry.strip().partition(b":")
        if not part or not INTEGER.fullmatch(tokens):
            break
        parts.append((part.decode("latin-1"), int(tokens)))
    return PromptShape(prompt_tokens, output_tokens, tuple(parts), shared)


def _read_retry_after(value: bytes | None) -> float | None:
    """Return the seconds of a Retry-After header, a number or an HTTP date."""
    text = (value or b"").strip().decode("latin-1")
    try:
        pause_s = float(text)
    except ValueError:
        try:
            pause_s = parsedate_to_datetime(text).timestamp() - time.time()
        except (ValueError, OverflowError):
            return None
    if not math.isfinite(pause_s) or pause_s <= 0.0:
        return None
    return min(pause_s, MAX_PAUSE_S)


def _read_rate(value: bytes | None) -> float | None:
    """Return a positive rate, or None."""
    text = (value or b"").strip()
    return float(text) or None if DECIMAL.fullmatch(text) else None


def _read_load(value: bytes | None) -> tuple[ReportedLoad | None, bool]:
    """Return the load that a header states, and whether some of it is unreadable.

    The first three figures are used or dropped together. The slowdown is left out if
    it is no credible percentage, and figures after it are ignored.
    """
    if value is None:
        return None, False
    figures = [part.strip() for part in value.split(b",", MAX_LOAD_FIGURES)]
    if len(figures) < 3 or not all(map(INTEGER.fullmatch, figures[:3])):
        return None, True
    running, waiting, slots = map(int, figures[:3])
    if len(figures) == 3:
        return ReportedLoad(running, waiting, slots), False
    if max(running, waiting, slots) > MAX_REPORTED_REQUESTS:
        return None, True
    slowdown = None
    if INTEGER.fullmatch(figures[3]) and 0 < int(figures[3]) <= MAX_SLOWDOWN_PERCENT:
        slowdown = int(figures[3]) / 100
    unreadable = slowdown is None or len(figures) > MAX_LOAD_FIGURES
    return ReportedLoad(running, waiting, slots, slowdown), unreadable
