"""Errors for which a router refuses a document."""

from __future__ import annotations

from collections.abc import Iterable

from carobstair.core.config_check.findings import Finding, Path, Severity
from carobstair.core.tickets import MAX_TICKET_BYTES

__all__ = [
    "MAX_FILED_BYTES",
    "Problem",
    "ticket_number",
    "ticket_size",
    "unreadable",
    "version_number",
]

MAX_FILED_BYTES = MAX_TICKET_BYTES

# Where a document can't be read, and why.
Problem = tuple[Path, str]


def unreadable(problems: Iterable[Problem]) -> list[Finding]:
    """Return the findings for a document that routers can't read."""
    return [
        Finding(
            "unreadable",
            Severity.ERROR,
            path,
            f"Routers refuse the document: {text}.",
            "Correct the entry; nothing of the document takes effect until then.",
        )
        for path, text in problems
    ]


def ticket_size(size_bytes: int) -> list[Finding]:
    """Report a ticket that exceeds what the store takes."""
    if size_bytes <= MAX_FILED_BYTES:
        return []
    return [
        Finding(
            "too-large",
            Severity.ERROR,
            (),
            f"The ticket has {size_bytes} bytes, and {MAX_FILED_BYTES} are allowed.",
            "Divide it into several tickets.",
        )
    ]


def ticket_number(number: int, in_force: int) -> list[Finding]:
    """Report a ticket whose number does not follow the one in force.

    Parameters
    ----------
    number, in_force : int
        0 if not stated.
    """
    if not number or not in_force or number == in_force + 1:
        return []
    return [
        Finding(
            "number-conflict",
            Severity.ERROR,
            ("number",),
            f"Ticket {number} does not follow ticket {in_force}, which is in force.",
            f"State {in_force + 1}, or leave the number out.",
        )
    ]


def version_number(version: int, in_force: int) -> list[Finding]:
    """Report a configuration that is not newer than the one in force."""
    if version > in_force:
        return []
    return [
        Finding(
            "version-not-newer",
            Severity.ERROR,
            ("version",),
            f"Routers ignore version {version}, as version {in_force} is in force.",
            f"State version {in_force + 1}.",
        )
    ]
