"""Burn rates over several windows, error budgets, and when and where they are spent.

The burn rate is the share of bad events divided by the share that the objective
allows. At a burn rate of 1 the budget lasts exactly for its period.
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
MAX_SLOTS = 96


@dataclass(frozen=True, slots=True)
class Window:
    """A period of time that ends at the newest scrape."""

    name: str
    length_s: float


@dataclass(frozen=True, slots=True)
class Alarm:
    """Fires while the burn rates of all its windows exceed its threshold.

    The long window limits it to significant burns. The short window ends it soon
    after the cause is gone.
    """

    name: str
    windows: tuple[Window, ...]
    threshold: float


FIVE_MINUTES = Window("5m", 300.0)
HALF_HOUR = Window("30m", 1800.0)
HOUR = Window("1h", 3600.0)
SIX_HOURS = Window("6h", 21_600.0)
THREE_DAYS = Window("3d", 3 * DAY_S)
WINDOWS = (FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS, THREE_DAYS)
# A burn rate of 14.4 spends 2 % of a 30-day budget in an hour, 6 spends 5 % in six
# hours, and 1 spends all of it exactly within its period.
ALARMS = (
    Alarm("fast", (FIVE_MINUTES, HOUR), 14.4),
    Alarm("slow", (HALF_HOUR, SIX_HOURS), 6.0),
    Alarm("long", (THREE_DAYS,), 1.0),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate over one window.

    Attributes
    ----------
    covered_s : float
        Seconds of the window that are covered by scrapes.
    burn : float or None
        Burn rate; None if the window has no event.
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
        Remaining fraction of the budget; negative if it is overspent.
    """

    tally: Tally
    left: float


@dataclass(frozen=True, slots=True)
class Row:
    """Burn rates and budget of one workspace, work class and objective.

    Attributes
    ----------
    share : float
        Fraction of the fleet's bad events for this objective over the budget's period.
    since_s : float or None
        Unix time at which the current burn above 1 began; None if there is none.
    by_router : dict
        Bad events by router over the budget's period.
    points : list of (float, float)
        Unix time and burn rate, for charts.
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
    """Rows of all series, worst first, and rows of the whole fleet.

    Attributes
    ----------
    notes : list of str
        Messages about missing data.
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
    builder = _RowBuilder(history, settings)
    rows = [builder.row(key) for key in sorted({key for key, _ in history.increments})]
    fleet = [builder.fleet_row(objective) for objective in Objective]
    rows.sort(key=lambda row: (-len(row.alarms), row.budget.left, row.key))
    return BurnReport(history.last_s, history, rows, fleet, notes)


class _RowBuilder:
    def __init__(self, history: History, settings: ReportSettings):
        self._history = history
        self._settings = settings
        self._end_s = history.last_s
        self._period_s = settings.report.budget_days * DAY_S
        self._fleet_bad = defaultdict(float)
        for (key, _), increments in history.increments.items():
            self._fleet_bad[key.objective] += self._sum(increments, self._period_s).bad

    def row(self, key: SeriesKey) -> Row:
        increments_by_router = {
            router: increments
            for (other_key, router), increments in self._history.increments.items()
            if other_key == key
        }
        return self._build_row(key, increments_by_router)

    def fleet_row(self, objective: Objective) -> Row:
        increments_by_router: dict[str, list[Increment]] = {}
        for (key, router), increments in self._history.increments.items():
            if key.objective is objective:
                increments_by_router.setdefault(router, []).extend(increments)
        return self._build_row(SeriesKey(FLEET, "all", objective), increments_by_router)

    def _build_row(
        self, key: SeriesKey, increments_by_router: dict[str, list[Increment]]
    ) -> Row:
        all_increments = [
            item for increments in increments_by_router.values() for item in increments
        ]
        windows = tuple(
            self._window(all_increments, window, key.objective) for window in WINDOWS
        )
        spent = self._sum(all_increments, self._period_s)
        by_router = {
            router: bad
            for router, increments in increments_by_router.items()
            if (bad := self._sum(increments, self._period_s).bad) > 0.0
        }
        slots = self._slots(all_increments)
        allowed = self._allowed_share(key.objective) * spent.total
        left = 1.0 - spent.bad / allowed if allowed else 1.0
        fleet_bad = self._fleet_bad[key.objective]
        return Row(
            key,
            windows,
            self._alarms(windows),
            Budget(spent, left),
            spent.bad / fleet_bad if fleet_bad else 0.0,
            self._burn_start_s(slots, windows, key.objective),
            by_router,
            [
                (end_s, burn)
                for end_s, tally in slots
                if (burn := self._burn_rate(tally, key.objective)) is not None
            ],
        )

    def _window(
        self, increments: Iterable[Increment], window: Window, objective: Objective
    ) -> WindowBurn:
        tally = self._sum(increments, window.length_s)
        covered_s = min(window.length_s, self._end_s - self._history.first_s)
        return WindowBurn(window, covered_s, tally, self._burn_rate(tally, objective))

    def _alarms(self, windows: Iterable[WindowBurn]) -> tuple[str, ...]:
        by_window = {item.window: item for item in windows}
        return tuple(
            alarm.name
            for alarm in ALARMS
            if all(self._exceeds(by_window[w], alarm.threshold) for w in alarm.windows)
        )

    def _exceeds(self, item: WindowBurn, threshold: float) -> bool:
        # Few events are too noisy: at an objective of 95 %, two late answers out of
        # ten can be chance.
        enough = item.tally.total >= self._settings.report.min_events
        return enough and item.burn is not None and item.burn > threshold

    def _slots(self, increments: list[Increment]) -> list[tuple[float, Tally]]:
        """Return the end time and tally of each slot of the budget's period."""
        start_s = max(self._history.first_s, self._end_s - self._period_s)
        step_s = self._step_s(start_s)
        slots: defaultdict[int, Tally] = defaultdict(Tally)
        for item in increments:
            if item.until_s <= start_s:
                continue
            first = max(0, math.floor((item.from_s - start_s) / step_s))
            last = math.ceil((item.until_s - start_s) / step_s)
            for slot in range(first, max(last, first + 1)):
                slot_start_s = start_s + slot * step_s
                fraction = item.overlap_fraction(slot_start_s, slot_start_s + step_s)
                slots[slot] = slots[slot].plus(item.tally, fraction)
        return [
            (start_s + (slot + 1) * step_s, tally)
            for slot, tally in sorted(slots.items())
        ]

    def _step_s(self, start_s: float) -> float:
        span_s = self._end_s - start_s
        between_s = span_s / max(1, self._history.rounds - 1)
        return max(1.0, 2 * between_s, span_s / MAX_SLOTS)

    def _burn_start_s(
        self,
        slots: list[tuple[float, Tally]],
        windows: Iterable[WindowBurn],
        objective: Objective,
    ) -> float | None:
        """Return the start time of the burn that is still going on.

        This is the start of the period up to now with the most bad events in excess
        of those allowed, so that a short pause doesn't count as its end.
        """
        min_events = self._settings.report.min_events
        shortest = next((w for w in windows if w.tally.total >= min_events), None)
        if shortest is None or shortest.burn is None or shortest.burn <= 1.0:
            return None
        start_s = max(self._history.first_s, self._end_s - self._period_s)
        allowed_share = self._allowed_share(objective)
        since_s, excess, max_excess = None, 0.0, 0.0
        for end_s, tally in reversed(slots):
            excess += tally.bad - allowed_share * tally.total
            if excess > max_excess:
                since_s, max_excess = (
                    max(start_s, end_s - self._step_s(start_s)),
                    excess,
                )
        return since_s

    def _sum(self, increments: Iterable[Increment], length_s: float) -> Tally:
        summed = Tally()
        for item in increments:
            fraction = item.overlap_fraction(self._end_s - length_s, self._end_s)
            if fraction:
                summed = summed.plus(item.tally, fraction)
        return summed

    def _burn_rate(self, tally: Tally, objective: Objective) -> float | None:
        # Less than half an event is a remainder of split increments.
        if tally.total < 0.5:
            return None
        return tally.bad / tally.total / self._allowed_share(objective)

    def _allowed_share(self, objective: Objective) -> float:
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
