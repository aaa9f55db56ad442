"""Burn rates over several windows, budgets, and who burned them since when.

The burn rate is the share of bad events divided by the share that the objective
allows: at 1 the budget lasts exactly for its period.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from carobstair.report.history import History, Increment
from carobstair.report.settings import ReportSettings
from carobstair.report.tallies import Objective, SeriesKey, Tally

__all__ = [
    "ALARMS",
    "Alarm",
    "Budget",
    "BurnReport",
    "Row",
    "Window",
    "WindowBurn",
    "make_report",
]

FLEET = "(fleet)"
DAY_S = 86_400.0
HISTORY_POINTS = 96


@dataclass(frozen=True, slots=True)
class Window:
    """A stretch of time before the newest scrape."""

    name: str
    length_s: float


@dataclass(frozen=True, slots=True)
class Alarm:
    """Fires while all its windows burn faster than its threshold.

    The long window makes it matter, the short one ends it soon after the cause.
    """

    name: str
    windows: tuple[Window, ...]
    burn_over: float


FIVE_MINUTES = Window("5m", 300.0)
HALF_HOUR = Window("30m", 1800.0)
HOUR = Window("1h", 3600.0)
SIX_HOURS = Window("6h", 21_600.0)
THREE_DAYS = Window("3d", 3 * DAY_S)
WINDOWS = (FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS, THREE_DAYS)
# 14.4 spends 2 % of a 30-day budget in an hour, 6 spends 5 % in six hours, and
# 1 spends it exactly within its period.
ALARMS = (
    Alarm("fast", (FIVE_MINUTES, HOUR), 14.4),
    Alarm("slow", (HALF_HOUR, SIX_HOURS), 6.0),
    Alarm("long", (THREE_DAYS,), 1.0),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn over one window.

    Attributes
    ----------
    covered_s : float
        Seconds of the window that scrapes cover.
    burn : float or None
        None if no event fell into the window.
    """

    window: Window
    covered_s: float
    tally: Tally
    burn: float | None

    @property
    def partial(self) -> bool:
        """Whether scrapes cover less than nine tenths of the window."""
        return self.covered_s < 0.9 * self.window.length_s


@dataclass(frozen=True, slots=True)
class Budget:
    """Bad events allowed over the budget's period, and those that occurred.

    Attributes
    ----------
    left : float
        Part of the budget that is left; negative when overspent.
    """

    tally: Tally
    left: float


@dataclass(frozen=True, slots=True)
class Row:
    """One workspace, class and objective.

    Attributes
    ----------
    share : float
        Part of the fleet's bad events under this objective, over the period.
    since_s : float or None
        Unix time at which the present burn above 1 began; None if there is none.
    by_router : dict
        Bad events by router over the period.
    points : list of (float, float)
        Unix time and burn, for plots.
    """

    key: SeriesKey
    windows: tuple[WindowBurn, ...]
    alarms: tuple[str, ...]
    budget: Budget
    share: float
    since_s: float | None
    by_router: dict[str, float]
    points: list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """All rows, worst first, and the fleet as a whole.

    Attributes
    ----------
    notes : list of str
        What is missing from the data.
    """

    at_s: float | None
    history: History
    rows: list[Row]
    fleet: list[Row]
    notes: list[str] = field(default_factory=list)


def make_report(history: History, settings: ReportSettings) -> BurnReport:
    """Return the report at the time of the newest scrape.

    Parameters
    ----------
    history : History
    settings : ReportSettings
    """
    notes = _notes(history, settings)
    if history.first_s is None or history.last_s is None:
        return BurnReport(None, history, [], [], notes)
    maker = _RowMaker(history, settings)
    rows = [maker.row(key) for key in sorted({key for key, _ in history.increments})]
    fleet = [maker.fleet_row(objective) for objective in Objective]
    rows.sort(key=lambda row: (-len(row.alarms), row.budget.left, row.key))
    return BurnReport(history.last_s, history, rows, fleet, notes)


class _RowMaker:
    def __init__(self, history: History, settings: ReportSettings):
        self._history = history
        self._settings = settings
        self._end_s = history.last_s
        self._period_s = settings.report.budget_days * DAY_S
        self._bad = defaultdict(float)
        for (key, _), kept in history.increments.items():
            self._bad[key.objective] += self._sum(kept, self._period_s).bad

    def row(self, key: SeriesKey) -> Row:
        parts = {
            router: kept
            for (found, router), kept in self._history.increments.items()
            if found == key
        }
        return self._make(key, parts)

    def fleet_row(self, objective: Objective) -> Row:
        parts: dict[str, list[Increment]] = {}
        for (key, router), kept in self._history.increments.items():
            if key.objective is objective:
                parts.setdefault(router, []).extend(kept)
        return self._make(SeriesKey(FLEET, "all", objective), parts)

    def _make(self, key: SeriesKey, parts: dict[str, list[Increment]]) -> Row:
        everything = [item for kept in parts.values() for item in kept]
        windows = tuple(
            self._window(everything, window, key.objective) for window in WINDOWS
        )
        spent = self._sum(everything, self._period_s)
        by_router = {
            router: bad
            for router, kept in parts.items()
            if (bad := self._sum(kept, self._period_s).bad) > 0.0
        }
        slots = self._slots(everything)
        allowed = self._allowed(key.objective) * spent.total
        left = 1.0 - spent.bad / allowed if allowed else 1.0
        fleet_bad = self._bad[key.objective]
        return Row(
            key,
            windows,
            self._alarms(windows),
            Budget(spent, left),
            spent.bad / fleet_bad if fleet_bad else 0.0,
            self._since(slots, windows, key.objective),
            by_router,
            [
                (end_s, burn)
                for end_s, tally in slots
                if (burn := self._burn(tally, key.objective)) is not None
            ],
        )

    def _window(
        self, kept: Iterable[Increment], window: Window, objective: Objective
    ) -> WindowBurn:
        tally = self._sum(kept, window.length_s)
        covered_s = min(window.length_s, self._end_s - self._history.first_s)
        return WindowBurn(window, covered_s, tally, self._burn(tally, objective))

    def _alarms(self, windows: Iterable[WindowBurn]) -> tuple[str, ...]:
        found = {item.window: item for item in windows}
        return tuple(
            alarm.name
            for alarm in ALARMS
            if all(self._over(found[w], alarm.burn_over) for w in alarm.windows)
        )

    def _over(self, item: WindowBurn, burn_over: float) -> bool:
        # At an objective of 95 % two late answers out of ten are still chance.
        enough = item.tally.total >= self._settings.report.min_events
        return enough and item.burn is not None and item.burn > burn_over

    def _slots(self, kept: list[Increment]) -> list[tuple[float, Tally]]:
        """Return the end and the tally of each slot of the budget's period."""
        begin_s = max(self._history.first_s, self._end_s - self._period_s)
        step_s = self._step_s(begin_s)
        slots: defaultdict[int, Tally] = defaultdict(Tally)
        for item in kept:
            if item.until_s <= begin_s:
                continue
            first = max(0, math.floor((item.from_s - begin_s) / step_s))
            last = math.ceil((item.until_s - begin_s) / step_s)
            for slot in range(first, max(last, first + 1)):
                low_s = begin_s + slot * step_s
                part = item.within(low_s, low_s + step_s)
                slots[slot] = slots[slot].plus(item.tally, part)
        return [
            (begin_s + (slot + 1) * step_s, tally)
            for slot, tally in sorted(slots.items())
        ]

    def _step_s(self, begin_s: float) -> float:
        span_s = self._end_s - begin_s
        between_s = span_s / max(1, self._history.rounds - 1)
        return max(1.0, 2 * between_s, span_s / HISTORY_POINTS)

    def _since(
        self,
        slots: list[tuple[float, Tally]],
        windows: Iterable[WindowBurn],
        objective: Objective,
    ) -> float | None:
        """Return when the burn that still goes on began.

        That is the begin of the stretch up to now with the most bad events
        beyond those allowed, so that a short pause does not hide the begin.
        """
        least = self._settings.report.min_events
        newest = next((w for w in windows if w.tally.total >= least), None)
        if newest is None or newest.burn is None or newest.burn <= 1.0:
            return None
        begin_s = max(self._history.first_s, self._end_s - self._period_s)
        allowed = self._allowed(objective)
        since_s, excess, most = None, 0.0, 0.0
        for end_s, tally in reversed(slots):
            excess += tally.bad - allowed * tally.total
            if excess > most:
                since_s, most = max(begin_s, end_s - self._step_s(begin_s)), excess
        return since_s

    def _sum(self, kept: Iterable[Increment], length_s: float) -> Tally:
        summed = Tally()
        for item in kept:
            part = item.within(self._end_s - length_s, self._end_s)
            if part:
                summed = summed.plus(item.tally, part)
        return summed

    def _burn(self, tally: Tally, objective: Objective) -> float | None:
        # Less than half an event is a rest of splitting increments.
        if tally.total < 0.5:
            return None
        return tally.bad / tally.total / self._allowed(objective)

    def _allowed(self, objective: Objective) -> float:
        return 1.0 - self._settings.objectives.target(objective)


def _notes(history: History, settings: ReportSettings) -> list[str]:
    notes = []
    if not history.rounds:
        notes.append("no scrape yet: run collect or once")
    elif history.rounds == 1:
        notes.append("one scrape only: rates need a second one")
    for name in settings.report.names():
        status = history.routers.get(name)
        if status is None:
            notes.append(f"router {name}: never scraped")
        elif status.last_s is None:
            notes.append(f"router {name}: never reached: {status.error}")
        elif status.error:
            notes.append(f"router {name}: down: {status.error}")
    if history.bad_lines:
        notes.append(f"{history.bad_lines} lines of the history can't be read")
    return notes
