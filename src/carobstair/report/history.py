"""History of scrapes in a JSON-lines file, and the increments between scrapes.

Each line holds one scrape of all routers. The entry of a router lists only the
tallies that changed since its previous entry, so that idle workspaces take no space.
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
    "HistoryLocked",
    "HistoryWriter",
    "Increment",
    "RouterStatus",
    "ScrapeRound",
    "read_history",
    "read_rounds",
]

# Windows of up to 6 h need the full resolution of the scrapes; longer ones don't.
FULL_RESOLUTION_S = 6 * 3600.0
DOWNSAMPLED_SLOT_S = 600.0

_RouterSeriesKey = tuple[SeriesKey, str]


@dataclass(frozen=True, slots=True)
class ScrapeRound:
    """One scrape of all routers.

    Attributes
    ----------
    at_s : float
        Unix time.
    routers : mapping
        Tallies or error message by router name.
    """

    at_s: float
    routers: Mapping[str, RouterTallies | str]


@dataclass(frozen=True, slots=True)
class Increment:
    """Events that one router counted between two Unix times."""

    from_s: float
    until_s: float
    tally: Tally

    def overlap_fraction(self, from_s: float, until_s: float) -> float:
        """Return the fraction of this increment that lies in a window, from 0 to 1."""
        length_s = self.until_s - self.from_s
        if length_s <= 0.0:
            return float(from_s < self.until_s <= until_s)
        overlap_s = min(until_s, self.until_s) - max(from_s, self.from_s)
        return max(0.0, overlap_s) / length_s


@dataclass(slots=True)
class RouterStatus:
    """Scrape status of a router.

    Attributes
    ----------
    last_s : float or None
        Unix time of the last successful scrape.
    error : str
        Error of the newest scrape; empty if it succeeded.
    """

    last_s: float | None = None
    error: str = ""
    restarts: int = 0
    failed: int = 0


@dataclass
class History:
    """Increments of all series, accumulated from rounds in order."""

    first_s: float | None = None
    last_s: float | None = None
    rounds: int = 0
    bad_lines: int = 0
    routers: dict[str, RouterStatus] = field(default_factory=dict)
    increments: dict[_RouterSeriesKey, list[Increment]] = field(default_factory=dict)
    _last_scrape: dict[str, tuple[float, RouterTallies]] = field(default_factory=dict)

    def add(self, scrape_round: ScrapeRound) -> None:
        """Add the next round."""
        previous_s = self.last_s
        if previous_s is not None and scrape_round.at_s < previous_s:
            # The clock was set back; an interval must not be negative.
            scrape_round = ScrapeRound(previous_s, scrape_round.routers)
        self.first_s = scrape_round.at_s if self.first_s is None else self.first_s
        self.last_s, self.rounds = scrape_round.at_s, self.rounds + 1
        for name, scraped in scrape_round.routers.items():
            status = self.routers.setdefault(name, RouterStatus())
            if isinstance(scraped, str):
                status.error, status.failed = scraped, status.failed + 1
                continue
            self._add_router(name, scraped, scrape_round.at_s, previous_s, status)

    def _add_router(
        self,
        name: str,
        scraped: RouterTallies,
        at_s: float,
        previous_s: float | None,
        status: RouterStatus,
    ) -> None:
        last = self._last_scrape.get(name)
        from_s: float | None
        if last is not None and not _is_restart(last[1], scraped):
            from_s, baseline = last[0], last[1].tallies
        elif last is not None:
            status.restarts += 1
            from_s, baseline = max(last[0], min(scraped.started_s, at_s)), {}
        elif previous_s is not None and scraped.started_s >= previous_s:
            from_s, baseline = min(scraped.started_s, at_s), {}
        else:
            # It is unknown when the events before the first scrape occurred.
            from_s, baseline = None, {}
        if from_s is not None:
            for key, tally in scraped.tallies.items():
                before = baseline.get(key, Tally())
                # Counters also restart from 0 without a restart of the process, when
                # a ticket removes a workspace and a later one adds it again.
                if tally.total < before.total:
                    before = Tally()
                self._append((key, name), from_s, at_s, tally.minus(before))
        self._last_scrape[name] = (at_s, scraped)
        status.last_s, status.error = at_s, ""

    def _append(
        self, key: _RouterSeriesKey, from_s: float, until_s: float, tally: Tally
    ) -> None:
        if tally.total <= 0.0 and tally.bad <= 0.0:
            return
        increments = self.increments.setdefault(key, [])
        increments.append(Increment(from_s, until_s, tally))

    def downsample(self) -> None:
        """Merge old increments, so that days of scrapes fit into memory."""
        cutoff_s = (self.last_s or 0.0) - FULL_RESOLUTION_S
        for key, increments in self.increments.items():
            self.increments[key] = list(_merge_old(increments, cutoff_s))


def _merge_old(increments: Iterable[Increment], cutoff_s: float) -> Iterator[Increment]:
    pending: Increment | None = None
    for item in increments:
        if pending is not None and _same_slot(pending, item, cutoff_s):
            pending = Increment(
                pending.from_s, item.until_s, pending.tally.plus(item.tally)
            )
            continue
        if pending is not None:
            yield pending
        pending = item
    if pending is not None:
        yield pending


def _same_slot(left: Increment, right: Increment, cutoff_s: float) -> bool:
    return (
        right.until_s < cutoff_s
        and left.until_s // DOWNSAMPLED_SLOT_S == right.until_s // DOWNSAMPLED_SLOT_S
        and left.until_s >= right.from_s
    )


def _is_restart(old: RouterTallies, new: RouterTallies) -> bool:
    # Start times are accurate to one kernel clock tick, well below 1 s.
    return abs(new.started_s - old.started_s) > 1.0


class HistoryLocked(Exception):
    """Another process holds the lock of the history file."""


class HistoryWriter:
    """Appends rounds to a history file.

    Lines hold only changes since the writer's previous line, which would be wrong with
    two writers. A lock file next to the history file therefore allows only one.

    Parameters
    ----------
    path : Path
        JSON-lines file; created if it does not exist.
    keep_s : float
        Retention in seconds; older rounds are dropped when the file is opened.

    Raises
    ------
    HistoryLocked
        If another process holds the lock.
    OSError
        If the file can't be written.
    """

    def __init__(self, path: Path, keep_s: float):
        self._path = path
        self._last_written: dict[str, RouterTallies] = {}
        self._lock = open(path.with_name(path.name + ".lock"), "w")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            self._lock.close()
            raise HistoryLocked("another process collects into this file") from error
        self._prune(keep_s)

    def close(self) -> None:
        """Release the lock."""
        self._lock.close()

    def append(self, scrape_round: ScrapeRound) -> None:
        """Write one round as a line."""
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(json.dumps(self._encode(scrape_round)) + "\n")

    def _prune(self, keep_s: float) -> None:
        rounds, _ = read_rounds(self._path)
        if not rounds:
            return
        cutoff_s = rounds[-1].at_s - keep_s
        kept = [
            scrape_round for scrape_round in rounds if scrape_round.at_s >= cutoff_s
        ]
        new_path = self._path.with_name(self._path.name + ".new")
        with open(new_path, "w", encoding="utf-8") as file:
            for scrape_round in kept:
                file.write(json.dumps(self._encode(scrape_round)) + "\n")
        new_path.replace(self._path)

    def _encode(self, scrape_round: ScrapeRound) -> dict:
        routers = {
            name: {"error": scraped}
            if isinstance(scraped, str)
            else self._encode_router(name, scraped)
            for name, scraped in scrape_round.routers.items()
        }
        return {"at_s": round(scrape_round.at_s, 3), "routers": routers}

    def _encode_router(self, name: str, scraped: RouterTallies) -> dict:
        last = self._last_written.get(name)
        baseline = last.tallies if last and not _is_restart(last, scraped) else {}
        self._last_written[name] = scraped
        return {
            "started_s": scraped.started_s,
            "whole": not baseline,
            "tallies": [
                [key.workspace, key.work_class, key.objective, tally.bad, tally.total]
                for key, tally in sorted(scraped.tallies.items())
                if baseline.get(key) != tally
            ],
        }


def read_rounds(path: Path) -> tuple[list[ScrapeRound], int]:
    """Return the rounds of a history file and the number of malformed lines.

    Parameters
    ----------
    path : Path
        A missing file contains no rounds. Malformed lines, such as a last line
        truncated by a crash, are skipped and counted.
    """
    if not path.exists():
        return [], 0
    rounds, bad_lines = [], 0
    last_by_router: dict[str, RouterTallies] = {}
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                rounds.append(_decode(json.loads(line), last_by_router))
            except (ValueError, KeyError, TypeError, AttributeError):
                bad_lines += 1
    return rounds, bad_lines


def read_history(path: Path) -> History:
    """Return the history accumulated from a file."""
    rounds, bad_lines = read_rounds(path)
    history = History(bad_lines=bad_lines)
    for scrape_round in rounds:
        history.add(scrape_round)
    history.downsample()
    return history


def _decode(document: dict, last_by_router: dict[str, RouterTallies]) -> ScrapeRound:
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
            changed = {**last_by_router[name].tallies, **changed}
        last_by_router[name] = RouterTallies(float(entry["started_s"]), changed)
        routers[name] = last_by_router[name]
    return ScrapeRound(float(document["at_s"]), routers)
