"""Headers of the users' platform, read into and written from the router's metadata."""

from __future__ import annotations

import re

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
# The caller's estimate of the output tokens: right at the median, often far off.
LENGTH_HINT = b"carobstair-length-hint"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = b"carobstair-not-executed"
ENGINE_LOAD = b"carobstair-engine-load"
RESPONSE_SEAL = b"carobstair-response-seal"

# Concern one connection only, or are computed anew for the next one.
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
# Callers can't set these: the router does, or nobody.
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
DROPPED = HOP_BY_HOP | ROUTER_ONLY
# A prompt has a few parts; more would only cost time to read.
MAX_PARTS = 64
MAX_TOKENS = 10_000_000
MISDIRECTED = 421
INTEGER = re.compile(rb"[0-9]{1,9}")
REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,256}")


class PlatformDialect:
    """The `Dialect` of the users' platform."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return a caller's metadata."""
        found: dict[bytes, bytes] = {}
        for name, value in headers:
            if name in (ATTEMPT_ID, b"host") and name in found:
                raise BadRequest(f"{name.decode()}: given twice")
            found.setdefault(name, value)
        request_id = found.get(ATTEMPT_ID, b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequest("the id of the attempt is missing or malformed")
        deadline = found.get(DEADLINE_MS, b"")
        deadline_s = int(deadline) / 1000 if INTEGER.fullmatch(deadline) else None
        key = found.get(KEY)
        last_event_id = found.get(LAST_EVENT_ID)
        return RequestMetadata(
            request_id.decode("latin-1"),
            found.get(b"host", b"").decode("latin-1"),
            deadline_s,
            None if key is None else key.decode("latin-1"),
            _read_prompt(
                found.get(TOKEN_COUNTS),
                found.get(PROMPT_PREFIX),
                found.get(LENGTH_HINT, b""),
            ),
            None if last_event_id is None else last_event_id.decode("latin-1"),
        )

    def write_request(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        """Return the headers that go to an upstream."""
        dropped = DROPPED | _connection_options(headers)
        passed = [(name, value) for name, value in headers if name not in dropped]
        passed.append((DEADLINE_MS, b"%d" % metadata.remaining_ms))
        passed.append((EXPECT_INSTANCE, metadata.upstream_id.encode()))
        if metadata.workspace is not None:
            passed.append((TENANT, metadata.workspace.encode()))
        if metadata.last_event_id is not None:
            passed.append((LAST_EVENT_ID, metadata.last_event_id.encode("latin-1")))
        return passed

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return an upstream's metadata."""
        found = dict(headers)
        request_id = found.get(ATTEMPT_ID)
        return ResponseMetadata(
            None if request_id is None else request_id.decode("latin-1"),
            NOT_EXECUTED in found,
            status == MISDIRECTED,
            RESPONSE_SEAL in found,
            _read_load(found.get(ENGINE_LOAD)),
        )

    def write_response(self, headers: Headers) -> Headers:
        """Return the headers that go to the caller."""
        dropped = HOP_BY_HOP | _connection_options(headers)
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
    """Return the sizes of a prompt; values that make no sense count as absent."""
    numbers = [part.strip() for part in (counts or b"").split(b",")]
    if len(numbers) != 2 or not all(map(INTEGER.fullmatch, numbers)):
        return PromptShape()
    prompt_tokens, output_tokens = (min(int(n), MAX_TOKENS) for n in numbers)
    if INTEGER.fullmatch(hint):
        output_tokens = min(output_tokens, int(hint))
    parts = []
    for entry in (prefix or b"").split(b",")[:MAX_PARTS]:
        part, _, tokens = entry.strip().partition(b":")
        if not part or not INTEGER.fullmatch(tokens):
            break
        parts.append((part.decode("latin-1"), int(tokens)))
    return PromptShape(prompt_tokens, output_tokens, tuple(parts))


def _read_load(value: bytes | None) -> ReportedLoad | None:
    numbers = [part.strip() for part in (value or b"").split(b",")]
    if len(numbers) != 3 or not all(map(INTEGER.fullmatch, numbers)):
        return None
    return ReportedLoad(*map(int, numbers))
