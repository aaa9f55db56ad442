"""Scrapes kept as JSON lines, and the increments between them.

Each line holds one round over all routers. A router's entry names only the
tallies that changed since the last line that has it, so that idle workspaces
cost nothing.
"""

from __future__ import annotations

import fcntl
import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from carobstair.report.tallies import Objective, RouterTallies, SeriesKey, Tally

__all__ = [
    "History",
    "HistoryBusy",
    "HistoryWriter",
    "Increment",
    "RouterStatus",
    "Round",
    "read_history",
    "read_rounds",
]

# Windows up to 6 h need the resolution of the scrapes, longer ones don't.
FINE_S = 6 * 3600.0
COARSE_SLOT_S = 600.0

_RouterKey = tuple[SeriesKey, str]


@dataclass(frozen=True, slots=True)
class Round:
    """One scrape of all routers.

    Attributes
    ----------
    at_s : float
        Unix time.
    routers : mapping
        Tallies by router name, or the text of the error.
    """

    at_s: float
    routers: Mapping[str, RouterTallies | str]


@dataclass(frozen=True, slots=True)
class Increment:
    """Events that one router counted between two points of Unix time."""

    from_s: float
    until_s: float
    tally: Tally

    def within(self, from_s: float, until_s: float) -> float:
        """Return the part of this increment that lies in a window, 0 to 1."""
        length_s = self.until_s - self.from_s
        if length_s <= 0.0:
            return float(from_s < self.until_s <= until_s)
        overlap_s = min(until_s, self.until_s) - max(from_s, self.from_s)
        return max(0.0, overlap_s) / length_s


@dataclass(slots=True)
class RouterStatus:
    """How a router was reached.

    Attributes
    ----------
    last_s : float or None
        Unix time of the last good scrape.
    error : str
        Why the newest scrape failed; empty if it did not.
    """

    last_s: float | None = None
    error: str = ""
    restarts: int = 0
    failed: int = 0


@dataclass
class History:
    """Increments of all series, folded from rounds in their order."""

    first_s: float | None = None
    last_s: float | None = None
    rounds: int = 0
    bad_lines: int = 0
    routers: dict[str, RouterStatus] = field(default_factory=dict)
    increments: dict[_RouterKey, list[Increment]] = field(default_factory=dict)
    _last: dict[str, tuple[float, RouterTallies]] = field(default_factory=dict)

    def add(self, found: Round) -> None:
        """Take in the next round."""
        previous_s = self.last_s
        if previous_s is not None and found.at_s < previous_s:
            # A clock that was set back must not make an interval negative.
            found = Round(previous_s, found.routers)
        self.first_s = found.at_s if self.first_s is None else self.first_s
        self.last_s, self.rounds = found.at_s, self.rounds + 1
        for name, scraped in found.routers.items():
            status = self.routers.setdefault(name, RouterStatus())
            if isinstance(scraped, str):
                status.error, status.failed = scraped, status.failed + 1
                continue
            self._add_router(name, scraped, found.at_s, previous_s, status)

    def _add_router(
        self,
        name: str,
        scraped: RouterTallies,
        at_s: float,
        previous_s: float | None,
        status: RouterStatus,
    ) -> None:
        known = self._last.get(name)
        from_s: float | None
        if known is not None and not _is_restart(known[1], scraped):
            from_s, base = known[0], known[1].tallies
        elif known is not None:
            status.restarts += 1
            from_s, base = max(known[0], min(scraped.started_s, at_s)), {}
        elif previous_s is not None and scraped.started_s >= previous_s:
            from_s, base = min(scraped.started_s, at_s), {}
        else:
            # What the counters held before the first scrape has no known time.
            from_s, base = None, {}
        if from_s is not None:
            for key, tally in scraped.tallies.items():
                before = base.get(key, Tally())
                # A ticket that removes a workspace and a later one that brings it
                # back let its counters begin anew while the process runs on.
                if tally.total < before.total:
                    before = Tally()
                self._append((key, name), from_s, at_s, tally.minus(before))
        self._last[name] = (at_s, scraped)
        status.last_s, status.error = at_s, ""

    def _append(
        self, key: _RouterKey, from_s: float, until_s: float, tally: Tally
    ) -> None:
        if tally.total <= 0.0 and tally.bad <= 0.0:
            return
        kept = self.increments.setdefault(key, [])
        kept.append(Increment(from_s, until_s, tally))

    def thin(self) -> None:
        """Join old increments, so that days of scrapes fit into memory."""
        limit_s = (self.last_s or 0.0) - FINE_S
        for key, kept in self.increments.items():
            self.increments[key] = list(_join_old(kept, limit_s))


def _join_old(kept: Iterable[Increment], limit_s: float) -> Iterator[Increment]:
    pending: Increment | None = None
    for item in kept:
        if pending is not None and _same_slot(pending, item, limit_s):
            pending = Increment(
                pending.from_s, item.until_s, pending.tally.plus(item.tally)
            )
            continue
        if pending is not None:
            yield pending
        pending = item
    if pending is not None:
        yield pending


def _same_slot(left: Increment, right: Increment, limit_s: float) -> bool:
    return (
        right.until_s < limit_s
        and left.until_s // COARSE_SLOT_S == right.until_s // COARSE_SLOT_S
        and left.until_s >= right.from_s
    )


def _is_restart(old: RouterTallies, new: RouterTallies) -> bool:
    # The start time is exact to a clock tick of the kernel; a second is ample.
    return abs(new.started_s - old.started_s) > 1.0


class HistoryBusy(Exception):
    """Another process appends to the history file."""


class HistoryWriter:
    """Appends rounds to a history file.

    Two writers would each leave out what they know and the file doesn't, so a lock
    beside the file lets one in.

    Parameters
    ----------
    path : Path
        JSON-lines file; it is created where it is missing.
    keep_s : float
        Rounds older than this many seconds are dropped when the file is opened.

    Raises
    ------
    HistoryBusy
        If another process holds the lock.
    OSError
        If the file can't be written.
    """

    def __init__(self, path: Path, keep_s: float):
        self._path = path
        self._known: dict[str, RouterTallies] = {}
        self._lock = open(path.with_name(path.name + ".lock"), "w")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            self._lock.close()
            raise HistoryBusy("another process collects into this file") from error
        self._prune(keep_s)

    def close(self) -> None:
        """Let another writer in."""
        self._lock.close()

    def append(self, found: Round) -> None:
        """Write one round as a line."""
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(json.dumps(self._encode(found)) + "\n")

    def _prune(self, keep_s: float) -> None:
        rounds, _ = read_rounds(self._path)
        if not rounds:
            return
        limit_s = rounds[-1].at_s - keep_s
        kept = [found for found in rounds if found.at_s >= limit_s]
        scratch = self._path.with_name(self._path.name + ".new")
        with open(scratch, "w", encoding="utf-8") as file:
            for found in kept:
                file.write(json.dumps(self._encode(found)) + "\n")
        scratch.replace(self._path)

    def _encode(self, found: Round) -> dict:
        routers = {
            name: {"error": scraped}
            if isinstance(scraped, str)
            else self._encode_router(name, scraped)
            for name, scraped in found.routers.items()
        }
        return {"at_s": round(found.at_s, 3), "routers": routers}

    def _encode_router(self, name: str, scraped: RouterTallies) -> dict:
        known = self._known.get(name)
        base = known.tallies if known and not _is_restart(known, scraped) else {}
        self._known[name] = scraped
        return {
            "started_s": scraped.started_s,
            "whole": not base,
            "tallies": [
                [key.workspace, key.work_class, key.objective, tally.bad, tally.total]
                for key, tally in sorted(scraped.tallies.items())
                if base.get(key) != tally
            ],
        }


def read_rounds(path: Path) -> tuple[list[Round], int]:
    """Return the rounds of a history file and the number of unreadable lines.

    Parameters
    ----------
    path : Path
        A missing file holds no round. A last line cut off by a crash, or any
        other unreadable line, is left out and counted.
    """
    if not path.exists():
        return [], 0
    rounds, bad = [], 0
    known: dict[str, RouterTallies] = {}
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                rounds.append(_decode(json.loads(line), known))
            except (ValueError, KeyError, TypeError, AttributeError):
                bad += 1
    return rounds, bad


def read_history(path: Path) -> History:
    """Return the folded history of a file."""
    rounds, bad_lines = read_rounds(path)
    history = History(bad_lines=bad_lines)
    for found in rounds:
        history.add(found)
    history.thin()
    return history


def _decode(document: dict, known: dict[str, RouterTallies]) -> Round:
    routers: dict[str, RouterTallies | str] = {}
    for name, entry in document["routers"].items():
        if "error" in entry:
            routers[name] = str(entry["error"])
            continue
        changed = {
            SeriesKey(str(workspace), str(work_class), Objective(objective)): Tally(
                float(bad), float(total)
            )
            for workspace, work_class, objective, bad, total in entry["tallies"]
        }
        if not entry["whole"]:
            changed = {**known[name].tallies, **changed}
        known[name] = RouterTallies(float(entry["started_s"]), changed)
        routers[name] = known[name]
    return Round(float(document["at_s"]), routers)
