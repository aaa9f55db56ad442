"""Timeline of one request, built from the log lines of several processes.

Besides the log lines of the request, the timeline shows what each process knew at
each step: the configuration in force and its age, the last change of the upstream
used, other failures at that upstream, and whether the store or peers were lost.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

__all__ = ["LogLine", "explain", "read_lines"]

# Failures of other requests within this time of a step are listed with it.
RELATED_FAILURE_WINDOW_S = 2.0

_FIELD = re.compile(r'([A-Za-z_][\w.]*)(?:=("(?:[^"\\]|\\.)*"|\S*))?(?:\s+|$)')
_NUMBER = re.compile(r"-?[\d.]+s?")
_ESCAPE = re.compile(r"\\(.)")
# Fields that all lines have, or that the timeline shows in another form.
_COMMON_FIELDS = frozenset(
    {"timestamp", "level", "module", "event", "zone", "request_id"}
)
_FAILURE_EVENTS = frozenset({"attempt_failed", "upstream_unreached"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log event of a process.

    Attributes
    ----------
    process : str
        Name of the process, from the prefix of the line or the name of its file.
    at_s : float
        Unix time.
    """

    process: str
    at_s: float
    event: str
    fields: dict[str, str] = field(default_factory=dict)


def read_lines(name: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of one log file; other lines are skipped.

    Parameters
    ----------
    name : str
        Name of the process for lines without a prefix that names it.
    lines : iterable of str
    """
    for line in lines:
        start = line.find("timestamp=")
        if start < 0:
            continue
        fields = _read_fields(line[start:])
        try:
            at = datetime.fromisoformat(fields.get("timestamp", ""))
        except ValueError:
            continue
        if at.tzinfo is None:
            at = at.replace(tzinfo=UTC)
        if "event" in fields:
            process = _process(line[:start]) or name
            yield LogLine(process, at.timestamp(), fields["event"], fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the timeline of a request as lines of text.

    Parameters
    ----------
    request_id : str
        Request id as sent by the caller.
    lines : iterable of LogLine
        Log lines of all processes that may have handled the request, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    steps = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not steps:
        return [f"{request_id}: no line; successful requests are sampled"]
    timeline = [f"request {request_id}"]
    for step in steps:
        timeline.append(_format_step(step))
        before = [
            line
            for line in ordered
            if line.process == step.process and line.at_s <= step.at_s
        ]
        timeline += [f"    {text}" for text in _process_context(step, before)]
        timeline += [
            f"    {text}" for text in _related_failures(step, ordered, request_id)
        ]
    return timeline


def _read_fields(text: str) -> dict[str, str]:
    fields = {}
    for match in _FIELD.finditer(text):
        name, value = match.groups()
        if value is None:
            # Flags are written without a value if they are set.
            value = "true"
        elif value.startswith('"'):
            value = _ESCAPE.sub(_unescape, value[1:-1])
        fields[name] = value
    return fields


def _unescape(match: re.Match) -> str:
    return "\n" if match[1] == "n" else match[1]


def _process(prefix: str) -> str:
    words = [word.strip(":|[]") for word in prefix.split()]
    named = [word for word in words if word and not _NUMBER.fullmatch(word)]
    return named[-1] if named else ""


def _format_time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).strftime("%H:%M:%S.%f")[:-3]


def _format_step(line: LogLine) -> str:
    shown_fields = " ".join(
        f"{k}={v}" for k, v in line.fields.items() if k not in _COMMON_FIELDS
    )
    return f"{_format_time(line.at_s)} {line.process} {line.event} {shown_fields}"


def _process_context(step: LogLine, before: list[LogLine]) -> Iterator[str]:
    """Yield what the process knew at a step, with the age of each fact."""
    yield from _last_change(step, before, "in force", _is_routing)
    upstream = step.fields.get("upstream")
    if upstream:
        yield from _last_change(
            step,
            before,
            f"news of {upstream}",
            lambda line: _names_upstream(line, upstream),
        )
    yield from _limits(step, before)
    store = [line for line in before if line.event.startswith("store_")]
    if store and store[-1].event != "store_regained":
        yield f"store: {store[-1].event} {step.at_s - store[-1].at_s:.1f} s before"
    lost = _unheard_peers(before)
    if lost:
        yield f"peers not heard: {', '.join(sorted(lost))}"
    for line in _lifecycle_events(before):
        yield f"{line.event} {step.at_s - line.at_s:.1f} s before"


def _last_change(
    step: LogLine, before: list[LogLine], label: str, matches
) -> Iterator[str]:
    change = next((line for line in reversed(before) if matches(line)), None)
    if change is not None:
        version = change.fields.get("version", "")
        yield (
            f"{label}: version {version}, revision {change.fields.get('revision', '')},"
            f" {step.at_s - change.at_s:.1f} s old"
        )


def _limits(step: LogLine, before: list[LogLine]) -> Iterator[str]:
    """Yield the rates that upstreams had stated, who told them, and the sends.

    Of a step that names an upstream, only that one's.
    """
    changes: dict[str, LogLine] = {}
    sends: dict[str, LogLine] = {}
    for line in before:
        upstream = line.fields.get("upstream", "")
        if line.event == "upstream_limit_changed":
            changes[upstream] = line
        elif line.event == "upstream_limited":
            sends[upstream] = line
    for upstream, change in changes.items():
        limit = change.fields.get("limit_per_s", "")
        if limit == "none" or step.fields.get("upstream", upstream) != upstream:
            continue
        told_by = change.fields.get("told_by", "its response")
        text = (
            f"limit of {upstream}: {limit} a second, "
            f"{step.at_s - change.at_s:.1f} s old, told by {told_by}"
        )
        sent = sends.get(upstream)
        if sent is not None and sent.at_s >= change.at_s:
            text += f"; {sent.fields.get('sent_in_4s')} sends of this router in 4 s"
        yield text


def _is_routing(line: LogLine) -> bool:
    return line.event == "state_changed" and line.fields.get("kind") == "routing"


def _names_upstream(line: LogLine, upstream: str) -> bool:
    if line.event != "state_changed":
        return False
    return upstream in line.fields.get("names", "").split(",")


def _lifecycle_events(before: list[LogLine]) -> list[LogLine]:
    """Return the last start of the process and, if it is stopping, the stop."""
    lifecycle = [x for x in before if x.event in ("router_started", "router_stopping")]
    starts = [n for n, line in enumerate(lifecycle) if line.event == "router_started"]
    return lifecycle[starts[-1] :] if starts else lifecycle


def _unheard_peers(before: list[LogLine]) -> set[str]:
    unheard: set[str] = set()
    for line in before:
        peer = line.fields.get("peer", "")
        if line.event == "peer_lost":
            unheard.add(peer)
        elif line.event == "peer_heard":
            unheard.discard(peer)
    return unheard


def _related_failures(
    step: LogLine, ordered: list[LogLine], request_id: str
) -> Iterator[str]:
    """Yield a summary of other failures at the same upstream, on any router."""
    upstream = step.fields.get("upstream")
    if not upstream:
        return
    related = [
        line
        for line in ordered
        if line.event in _FAILURE_EVENTS
        and line.fields.get("upstream") == upstream
        and line.fields.get("request_id") != request_id
        and abs(line.at_s - step.at_s) <= RELATED_FAILURE_WINDOW_S
    ]
    if related:
        routers = len({line.process for line in related})
        last = related[-1].fields
        cause = last.get("detail", last.get("outcome", ""))
        yield (
            f"{len(related)} other failures at {upstream} "
            f"within {RELATED_FAILURE_WINDOW_S:.0f} s, on "
            f"{routers} routers, the last: {cause}"
        )
