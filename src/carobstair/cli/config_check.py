"""Command ``carobstair-ticket check``: reads documents and prints the findings."""

from __future__ import annotations

import json
import math
import uuid
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from carobstair.cli.program import EXIT_FAILED, EXIT_USAGE, fail
from carobstair.core.config_check import (
    CheckSettings,
    Finding,
    Unchecked,
    check_routing,
    check_ticket,
    format_path,
    state_of_ticket,
    unchecked_rules,
    unreadable,
)
from carobstair.core.routing import RoutingConfig
from carobstair.core.state import FleetState
from carobstair.edge.settings import EdgeSettings
from carobstair.models import (
    ModelError,
    decode_state,
    decode_ticket,
    encode_core_ticket,
    invalid_fields,
)
from carobstair.platform.boot import load_boot_settings
from carobstair.platform.config_check import FIELD_NAMES, is_routing, parse_routing
from carobstair.settings_error import SettingsError

__all__ = ["check_documents", "make_check_settings"]

_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


@dataclass(frozen=True, slots=True)
class _Document:
    """A file that holds a JSON object.

    Attributes
    ----------
    is_routing : bool
        Whether it is a routing configuration; otherwise it is a ticket, or a
        snapshot of the fleet state.
    """

    path: Path
    data: bytes
    fields: frozenset[str]
    is_routing: bool


def make_check_settings(
    path: Path | None,
    body_memory_bytes: int | None,
    retry_ratio: float | None,
    engines: Sequence[str],
) -> CheckSettings:
    """Return the figures that the rules need; options precede the settings file.

    Parameters
    ----------
    path : Path or None
        Settings file of a router.
    engines : sequence of str
        ``SERVICE=N`` for each service whose number of engines is known.
    """
    figures: dict[str, object] = {}
    if path is not None:
        edge = _edge_settings(path)
        figures = {
            "body_memory_bytes": edge.max_body_memory_bytes,
            "resend_ratio": edge.send_limits.resend_ratio,
            "cold_overshoot": edge.send_limits.cold_overshoot,
            "cold_slack": edge.send_limits.cold_slack,
        }
    if body_memory_bytes is not None:
        figures["body_memory_bytes"] = body_memory_bytes
    if retry_ratio is not None:
        if not 0.0 <= retry_ratio < math.inf:
            fail(f"--retry-ratio {retry_ratio}: not a ratio of 0 or more", EXIT_USAGE)
        figures["resend_ratio"] = retry_ratio
    return CheckSettings(**figures, engines=dict(map(_engine_count, engines)))


def _edge_settings(path: Path) -> EdgeSettings:
    try:
        return load_boot_settings(path)
    except SettingsError as error:
        fail(str(error), EXIT_USAGE)


def _engine_count(text: str) -> tuple[str, int]:
    service, separator, count = text.rpartition("=")
    if not separator or not service or not count.isdecimal() or int(count) < 1:
        fail(f"--engines {text}: not SERVICE=N with N of 1 or more", EXIT_USAGE)
    return service, int(count)


def check_documents(
    path: Path, in_force: Sequence[Path], as_json: bool, settings: CheckSettings
) -> int:
    """Check a document, print what was found, and return the exit status.

    Parameters
    ----------
    in_force : sequence of Path
        A configuration; or a snapshot, a ticket or several, in the order in which
        they were filed. Empty if there is nothing to compare with.
    """
    document = _read(path)
    others = [_read(other) for other in in_force]
    for other in others:
        if other.is_routing is not document.is_routing:
            fail(f"{path} and {other.path} are documents of two kinds", EXIT_USAGE)
    unchecked: list[Unchecked] = []
    if document.is_routing:
        if len(others) > 1:
            fail("only one configuration can be in force", EXIT_USAGE)
        known = _routing_in_force(others[0]) if others else None
        config, problems = parse_routing(document.data)
        if config is None:
            findings = unreadable(problems)
        else:
            findings = check_routing(config, known, settings)
            unchecked = unchecked_rules(config, settings)
        names = FIELD_NAMES
    else:
        state = None
        for other in others:
            state = _state_after(other, state)
        findings = _check_ticket(document.data, state)
        names = {}
    if as_json:
        _print_json(document, findings, unchecked, names)
    else:
        _print_text(path, findings, unchecked, names)
    return EXIT_FAILED if findings else 0


def _read(path: Path) -> _Document:
    try:
        data = path.read_bytes()
        fields = frozenset(_FIELDS.decode(data))
    except (OSError, msgspec.DecodeError, RecursionError) as error:
        fail(f"{path}: {error}", EXIT_USAGE)
    return _Document(path, data, fields, is_routing(fields))


def _routing_in_force(document: _Document) -> RoutingConfig:
    config, problems = parse_routing(document.data)
    if config is None:
        _, text = problems[0]
        fail(f"{document.path}: {text}", EXIT_USAGE)
    return config


def _state_after(document: _Document, state: FleetState | None) -> FleetState:
    """Return a snapshot, or the state after a ticket that follows a state."""
    try:
        if "submissions" in document.fields:
            return decode_state(document.data)
        return state_of_ticket(decode_ticket(document.data), state)
    except ModelError as error:
        fail(f"{document.path}: {error}", EXIT_USAGE)


def _check_ticket(data: bytes, in_force: FleetState | None) -> list[Finding]:
    try:
        ticket = decode_ticket(data)
    except ModelError as error:
        return unreadable(invalid_fields(error))
    # As it is stored: filing adds what is missing.
    filed = replace(
        ticket,
        number=ticket.number or 1,
        submission_id=ticket.submission_id or uuid.UUID(int=0).hex,
    )
    return check_ticket(ticket, len(encode_core_ticket(filed)), in_force)


def _print_json(
    document: _Document,
    findings: list[Finding],
    unchecked: list[Unchecked],
    names: Mapping[str, str],
) -> None:
    rows = [
        {
            "rule": finding.rule,
            "severity": finding.severity.value,
            "path": format_path(finding.path, names),
            "message": finding.message,
            "action": finding.action,
        }
        for finding in findings
    ]
    not_checked = [
        {
            "rule": entry.rule,
            "path": format_path(entry.path, names),
            "missing": entry.missing,
            "option": entry.option,
        }
        for entry in unchecked
    ]
    kind = "configuration" if document.is_routing else "ticket"
    text = {"document": kind, "findings": rows, "not_checked": not_checked}
    print(json.dumps(text, indent=2))


def _print_text(
    path: Path,
    findings: list[Finding],
    unchecked: list[Unchecked],
    names: Mapping[str, str],
) -> None:
    for finding in findings:
        place = format_path(finding.path, names)
        line = f"{place}: {finding.severity} {finding.rule}: {finding.message}"
        print(_printable(f"{line} {finding.action}"))
    counts = Counter(finding.severity.value for finding in findings)
    parts = [f"{severity} {count}" for severity, count in counts.items()]
    text = f"{path}: {', '.join(parts) or 'nothing found'}"
    needed: dict[str, list[str]] = {}
    for entry in unchecked:
        options = needed.setdefault(entry.rule, [])
        if entry.option not in options:
            options.append(entry.option)
    for rule, options in needed.items():
        text += f"; {rule} not checked, needs {', '.join(options)}"
    print(_printable(text))


def _printable(text: str) -> str:
    """Escape control characters, which names of routes may hold."""
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode() for c in text
    )
