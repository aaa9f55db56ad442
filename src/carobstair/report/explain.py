"""The story of one request, told from the log lines of several processes.

Besides the lines about the request, the story names what each process knew when
it decided: the configuration in force and its age, the last news of each upstream
it used, other failures there, and the store and peers it had lost.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

__all__ = ["LogLine", "explain", "read_lines"]

# Failures of other requests count as related within this time.
NEAR_S = 2.0

_FIELD = re.compile(r'([A-Za-z_][\w.]*)(?:=("(?:[^"\\]|\\.)*"|\S*))?(?:\s+|$)')
_NUMBER = re.compile(r"-?[\d.]+s?")
_ESCAPE = re.compile(r"\\(.)")
# Fields that every line has, or that the story tells in other words.
_COMMON = frozenset({"timestamp", "level", "module", "event", "zone", "request_id"})
_FAILURES = frozenset({"attempt_failed", "upstream_unreached"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event in the log of a process.

    Attributes
    ----------
    process : str
        Name of the process: what stands before the line, or of its file.
    at_s : float
        Unix time.
    """

    process: str
    at_s: float
    event: str
    fields: dict[str, str] = field(default_factory=dict)


def read_lines(name: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of one log file; what is no event is left out.

    Parameters
    ----------
    name : str
        Name of the process, unless a line has a prefix that names it.
    lines : iterable of str
    """
    for line in lines:
        begin = line.find("timestamp=")
        if begin < 0:
            continue
        fields = _read_fields(line[begin:])
        try:
            at = datetime.fromisoformat(fields.get("timestamp", ""))
        except ValueError:
            continue
        if at.tzinfo is None:
            at = at.replace(tzinfo=UTC)
        if "event" in fields:
            process = _process(line[:begin]) or name
            yield LogLine(process, at.timestamp(), fields["event"], fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the story of a request, one line of text for each step.

    Parameters
    ----------
    request_id : str
        As the caller sent it.
    lines : iterable of LogLine
        Of all processes that may have had the request, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    steps = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not steps:
        return [f"{request_id}: no line; requests that go well are sampled"]
    story = [f"request {request_id}"]
    for step in steps:
        story.append(_tell(step))
        before = [
            line
            for line in ordered
            if line.process == step.process and line.at_s <= step.at_s
        ]
        story += [f"    {text}" for text in _knowledge(step, before)]
        story += [f"    {text}" for text in _others(step, ordered, request_id)]
    return story


def _read_fields(text: str) -> dict[str, str]:
    fields = {}
    for match in _FIELD.finditer(text):
        name, value = match.groups()
        if value is None:
            # A flag that is set has no value.
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


def _clock(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).strftime("%H:%M:%S.%f")[:-3]


def _tell(line: LogLine) -> str:
    told = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in _COMMON)
    return f"{_clock(line.at_s)} {line.process} {line.event} {told}"


def _knowledge(step: LogLine, before: list[LogLine]) -> Iterator[str]:
    """Yield what the process knew at a step, each with its age."""
    yield from _last(step, before, "in force", _is_routing)
    upstream = step.fields.get("upstream")
    if upstream:
        yield from _last(
            step, before, f"news of {upstream}", lambda line: _names(line, upstream)
        )
    store = [line for line in before if line.event.startswith("store_")]
    if store and store[-1].event != "store_regained":
        yield f"store: {store[-1].event} {step.at_s - store[-1].at_s:.1f} s before"
    lost = _silent_peers(before)
    if lost:
        yield f"peers not heard: {', '.join(sorted(lost))}"
    for line in _since_start(before):
        yield f"{line.event} {step.at_s - line.at_s:.1f} s before"


def _last(step: LogLine, before: list[LogLine], title: str, fits) -> Iterator[str]:
    found = next((line for line in reversed(before) if fits(line)), None)
    if found is not None:
        version = found.fields.get("version", "")
        yield (
            f"{title}: version {version}, revision {found.fields.get('revision', '')},"
            f" {step.at_s - found.at_s:.1f} s old"
        )


def _is_routing(line: LogLine) -> bool:
    return line.event == "state_changed" and line.fields.get("kind") == "routing"


def _names(line: LogLine, upstream: str) -> bool:
    if line.event != "state_changed":
        return False
    return upstream in line.fields.get("names", "").split(",")


def _since_start(before: list[LogLine]) -> list[LogLine]:
    """Return the last start of the process and a stop that has begun since."""
    told = [x for x in before if x.event in ("router_started", "router_stopping")]
    starts = [n for n, line in enumerate(told) if line.event == "router_started"]
    return told[starts[-1] :] if starts else told


def _silent_peers(before: list[LogLine]) -> set[str]:
    silent: set[str] = set()
    for line in before:
        peer = line.fields.get("peer", "")
        if line.event == "peer_lost":
            silent.add(peer)
        elif line.event == "peer_heard":
            silent.discard(peer)
    return silent


def _others(step: LogLine, ordered: list[LogLine], request_id: str) -> Iterator[str]:
    """Yield failures of other requests at the same upstream, on any router."""
    upstream = step.fields.get("upstream")
    if not upstream:
        return
    near = [
        line
        for line in ordered
        if line.event in _FAILURES
        and line.fields.get("upstream") == upstream
        and line.fields.get("request_id") != request_id
        and abs(line.at_s - step.at_s) <= NEAR_S
    ]
    if near:
        routers = len({line.process for line in near})
        last = near[-1].fields
        cause = last.get("detail", last.get("outcome", ""))
        yield (
            f"{len(near)} other failures at {upstream} within {NEAR_S:.0f} s, on "
            f"{routers} routers, the last: {cause}"
        )
