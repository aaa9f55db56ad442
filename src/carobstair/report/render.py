"""Renders the report as terminal text, JSON or one self-contained HTML page."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from datetime import UTC, datetime
from importlib import resources

import jinja2
import pygal
from pygal.style import Style

from carobstair.report.burn import WINDOWS, BurnReport, Row, WindowBurn
from carobstair.report.tallies import Objective

__all__ = ["render_html", "render_json", "render_text"]

MAX_CURVES = 8
SCRIPT_ELEMENT = re.compile(r"<script.*?</script>", re.DOTALL)
OBJECTIVE_TITLES = {
    Objective.FIRST_TOKEN: "first token within 0.64 s",
    Objective.TOKEN_INTERVAL: "60 ms between tokens",
    Objective.WHOLE: "whole answers",
    Objective.TRUTH: "truth of refusals",
}
# Uses local fonts; the default style loads fonts from the network.
STYLE = Style(font_family="sans-serif", background="white", plot_background="white")


def render_text(report: BurnReport, everything: bool = False) -> str:
    """Return the report for a terminal.

    Parameters
    ----------
    report : BurnReport
    everything : bool, optional
        Include rows that have neither an alarm nor a bad event.
    """
    lines = [f"service level burn at {_format_time(report.at_s)}"]
    lines += [f"  note: {note}" for note in report.notes]
    lines += _router_lines(report)
    if report.at_s is None:
        return "\n".join(lines)
    alarmed = [row for row in report.rows if row.alarms]
    lines += ["", f"alarms: {len(alarmed)}"]
    lines += [f"  {_alarm_line(row)}" for row in alarmed]
    shown = [
        row for row in report.rows if everything or row.alarms or row.budget.tally.bad
    ]
    lines += ["", "burn rate (1 spends the budget exactly within its period):"]
    lines += _table([_column_names(), *map(_row_cells, [*report.fleet, *shown])])
    hidden = len(report.rows) - len(shown)
    if hidden:
        lines.append(f"{hidden} rows without a bad event are left out")
    lines.append("* scrapes cover less than nine tenths of this window")
    return "\n".join(lines)


def render_json(report: BurnReport) -> str:
    """Return the report as JSON."""
    document = {
        "at_s": report.at_s,
        "notes": report.notes,
        "routers": {
            name: {
                "last_s": status.last_s,
                "error": status.error,
                "restarts": status.restarts,
                "failed_scrapes": status.failed,
            }
            for name, status in sorted(report.history.routers.items())
        },
        "fleet": [_row_document(row) for row in report.fleet],
        "rows": [_row_document(row) for row in report.rows],
    }
    return json.dumps(document, indent=2)


def render_html(report: BurnReport) -> str:
    """Return the report as one HTML page without external resources."""
    source = resources.files("carobstair.report").joinpath("templates/report.html.j2")
    environment = jinja2.Environment(
        autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True
    )
    environment.filters["time"] = _format_time
    template = environment.from_string(source.read_text(encoding="utf-8"))
    return template.render(
        report=report,
        heading=_column_names(),
        fleet=[_row_cells(row) for row in report.fleet],
        rows=[(bool(row.alarms), _row_cells(row)) for row in report.rows],
        alarms=[_alarm_line(row) for row in report.rows if row.alarms],
        charts=[_chart(report, objective) for objective in Objective],
    )


def _row_document(row: Row) -> dict:
    return {
        "workspace": row.key.workspace,
        "work_class": row.key.work_class,
        "objective": row.key.objective,
        "alarms": list(row.alarms),
        "burn": {
            item.window.name: {
                "burn": item.burn,
                "bad": item.tally.bad,
                "total": item.tally.total,
                "covered_s": item.covered_s,
            }
            for item in row.windows
        },
        "budget": {
            "bad": row.budget.tally.bad,
            "total": row.budget.tally.total,
            "left": row.budget.left,
        },
        "share_of_fleet_burn": row.share,
        "since_s": row.since_s,
        "bad_by_router": row.by_router,
    }


def _router_lines(report: BurnReport) -> list[str]:
    lines = []
    for name, status in sorted(report.history.routers.items()):
        state = f"down: {status.error}" if status.error else "up"
        lines.append(
            f"  router {name}: {state}; last scraped {_format_time(status.last_s)}, "
            f"restarts {status.restarts}, failed scrapes {status.failed}"
        )
    return lines


def _alarm_line(row: Row) -> str:
    routers = sorted(row.by_router, key=lambda name: -row.by_router[name])
    worst = ", ".join(f"{name} {row.by_router[name]:.0f}" for name in routers[:3])
    return (
        f"{'+'.join(row.alarms)}: {row.key.workspace} {row.key.work_class}, "
        f"{OBJECTIVE_TITLES[row.key.objective]}: "
        f"burns since {_format_time(row.since_s)}, "
        f"{row.budget.left:.0%} of its budget left, "
        f"{row.share:.0%} of the fleet's bad events (by router: {worst})"
    )


def _column_names() -> list[str]:
    return [
        "workspace",
        "class",
        "objective",
        *(window.name for window in WINDOWS),
        "bad/all",
        "budget left",
        "share",
        "since",
        "alarms",
    ]


def _row_cells(row: Row) -> list[str]:
    return [
        row.key.workspace,
        row.key.work_class,
        row.key.objective,
        *map(_burn_cell, row.windows),
        f"{row.budget.tally.bad:.0f}/{row.budget.tally.total:.0f}",
        f"{row.budget.left:.0%}",
        f"{row.share:.0%}",
        _format_time(row.since_s) if row.since_s is not None else "-",
        "+".join(row.alarms) or "-",
    ]


def _burn_cell(item: WindowBurn) -> str:
    if item.burn is None:
        return "-"
    return f"{item.burn:.2f}{'*' if item.partial else ''}"


def _table(rows: list[list[str]]) -> Iterable[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  " + "  ".join(cells).rstrip()


def _chart(report: BurnReport, objective: Objective) -> str:
    """Return an SVG chart of the burn rates of the fleet and the worst rows."""
    chart = pygal.DateTimeLine(
        style=STYLE,
        js=[],
        height=320,
        width=1000,
        show_dots=False,
        title=f"burn rate: {OBJECTIVE_TITLES[objective]}",
        no_data_text="no event yet",
        x_value_formatter=lambda at: at.strftime("%d %H:%M:%S"),
        x_label_rotation=20,
    )
    rows = [row for row in report.rows if row.key.objective is objective]
    rows.sort(key=lambda row: row.budget.left)
    for row in [*(r for r in report.fleet if r.key.objective is objective), *rows][
        : MAX_CURVES + 1
    ]:
        curve = [(datetime.fromtimestamp(at, UTC), burn) for at, burn in row.points]
        chart.add(f"{row.key.workspace} {row.key.work_class}", curve)
    svg = chart.render(is_unicode=True, disable_xml_declaration=True)
    # The script only configures pygal's tooltips, which the page doesn't load.
    return SCRIPT_ELEMENT.sub("", svg)


def _format_time(at_s: float | None) -> str:
    if at_s is None:
        return "never"
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
