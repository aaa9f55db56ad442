"""Builds a scenario from parsed statements and checks the names they refer to."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from lark import Token, Tree

from carobstair.core.queueing import WorkClass
from carobstair.core.state import UpstreamKind
from carobstair.scenario.plan import (
    FLEET_START_S,
    EngineSpec,
    Expectation,
    FaultEvent,
    FaultKind,
    LinkSpec,
    LoadSpec,
    RouterSpec,
    Scenario,
    WorkspaceSpec,
)

__all__ = ["ScenarioBuilder", "ScenarioError"]

STORE = "store"
# Default ranges of output and input tokens per request, by kind of load.
DEFAULT_TOKEN_RANGES = {
    "quick": ((8, 40), (30, 200)),
    "long": ((100, 400), (200, 1200)),
    "calls": ((1, 1), (10, 10)),
    "actions": ((1, 1), (10, 10)),
}
SERVICE_KINDS = ("calls", "actions")
FORMULA_MEASURES = ("gap", "unserved")


class ScenarioError(ValueError):
    """An error in a scenario file; the message gives file and line."""

    def __init__(self, source: str, line: int, detail: str):
        super().__init__(f"{source}:{line}: {detail}")


class ScenarioBuilder:
    """Builds a scenario statement by statement.

    Parameters
    ----------
    name : str
    source : str
        Path of the file, for error messages.
    """

    def __init__(self, name: str, source: str):
        self._source = source
        self._line = 0
        self._scenario = Scenario(name, (), (), (), ())
        self._name_checks: list[tuple[int, str, tuple[str, ...]]] = []

    def add(self, statement: Tree) -> None:
        """Add one statement."""
        self._line = statement.meta.line
        getattr(self, f"_add_{statement.data}")(statement)

    def build(self) -> Scenario:
        """Return the scenario.

        Raises
        ------
        ScenarioError
            If a name is undefined, or if there are no routers, engines, loads or
            expectations.
        """
        for line, kind, names in self._name_checks:
            self._check_names(line, kind, names)
        self._check_loads()
        scenario = self._scenario
        for part in ("routers", "engines", "loads", "expectations"):
            if not getattr(scenario, part):
                raise self._error(f"the scenario has no {part}", self._line or 1)
        return scenario

    # Statements

    def _add_run(self, tree: Tree) -> None:
        duration, measured = tree.children
        duration_s = _seconds(duration)
        measured_s = _seconds(measured) if measured else duration_s / 4
        if measured_s >= duration_s:
            raise self._error(
                "the measured interval must start before the end of the run"
            )
        self._set(duration_s=duration_s, measure_from_s=measured_s)

    def _add_seed(self, tree: Tree) -> None:
        self._set(seed=int(tree.children[0]))

    def _add_link(self, tree: Tree) -> None:
        self._set(link=LinkSpec(**dict(_options(tree.children))))

    def _add_routers(self, tree: Tree) -> None:
        names, zone = tree.children
        added = tuple(RouterSpec(name, str(zone)) for name in _names(names))
        self._extend("routers", added)

    def _add_engines(self, tree: Tree) -> None:
        self._add_upstreams(tree, UpstreamKind.ENGINE)

    def _add_services(self, tree: Tree) -> None:
        self._add_upstreams(tree, UpstreamKind.SERVICE)

    def _add_upstreams(self, tree: Tree, kind: UpstreamKind) -> None:
        names, pool, zone, *options = tree.children
        values = dict(_options(options))
        values.setdefault("cold_bears", values.get("cold_limit", 2))
        added = tuple(
            EngineSpec(name, str(pool), str(zone), kind, **values)
            for name in _names(names)
        )
        self._extend("engines", added)

    def _add_workspaces(self, tree: Tree) -> None:
        names, *rest = tree.children
        sending = rest.pop()
        values = dict(_options(rest))
        added = tuple(WorkspaceSpec(name, **values) for name in _names(names))
        self._extend("workspaces", added)
        if sending is not None:
            for workspace in added:
                self._add_load(workspace.name, sending)

    def _add_sends(self, tree: Tree) -> None:
        workspace, sending = tree.children
        self._name_checks.append((self._line, "workspace", (str(workspace),)))
        self._add_load(str(workspace), sending)

    def _add_load(self, workspace: str, sending: Tree) -> None:
        kind, *options = sending.children
        output, inputs = DEFAULT_TOKEN_RANGES[kind]
        work_class = WorkClass.LONG if kind == "long" else WorkClass.QUICK
        values = dict(_options(options))
        start_s, end_s = values.pop("span", (FLEET_START_S, float("inf")))
        load = LoadSpec(workspace, "", work_class, output, inputs)
        idempotent = kind == "actions"
        load = replace(
            load, start_s=start_s, end_s=end_s, idempotent=idempotent, **values
        )
        if (load.per_s > 0) == (load.clients > 0):
            raise self._error(
                "state either a rate (at 3/s) or clients (with 5 clients)"
            )
        self._name_checks.append((self._line, "router", load.through))
        wanted = UpstreamKind.SERVICE if kind in SERVICE_KINDS else UpstreamKind.ENGINE
        if not load.pool:
            load = replace(load, pool=self._default_pool(wanted))
        self._name_checks.append((self._line, "pool", (load.pool,)))
        self._extend("loads", (load,))

    def _add_event(self, tree: Tree) -> None:
        at, action = tree.children
        fault = _fault(_seconds(at), action)
        if fault.at_s >= self._scenario.duration_s:
            raise self._error("the event must come before the end of the run")
        kind = _FAULT_TARGET_KINDS.get(fault.kind)
        if kind is not None:
            self._name_checks.append((self._line, kind, fault.names + fault.others))
        if fault.change:
            self._name_checks.append((self._line, fault.change[0], (fault.change[1],)))
        self._extend("faults", (fault,))

    def _add_expect(self, tree: Tree) -> None:
        measure, operator, limit, span = tree.children
        name = str(measure.data).replace("_", "-")
        parts = tuple(_flatten(measure.children))
        bound = None if limit.data == "formula" else _value(limit.children[0])
        if bound is None and name not in FORMULA_MEASURES:
            allowed = " and ".join(FORMULA_MEASURES)
            raise self._error(f"only {allowed} have a bound by formula; state a value")
        start_s, end_s = _span(span) if span is not None else (None, None)
        kind = _MEASURE_TARGET_KINDS.get(name)
        if kind is not None:
            self._name_checks.append((self._line, kind, parts))
        text = f"{name} {' '.join(parts)}".strip()
        expectation = Expectation(
            text, name, parts, str(operator), bound, start_s, end_s, self._line
        )
        self._extend("expectations", (expectation,))

    # Checks

    def _check_loads(self) -> None:
        for load in self._scenario.loads:
            if load.start_s >= self._scenario.duration_s:
                raise self._error(
                    f"{load.workspace} starts sending after the end of the run"
                )

    def _check_names(self, line: int, kind: str, names: tuple[str, ...]) -> None:
        known = self._defined_names(kind)
        for name in names:
            if name not in known:
                allowed = ", ".join(sorted(known)) or "none"
                raise self._error(
                    f"{kind} {name} is not defined; allowed: {allowed}", line
                )

    def _defined_names(self, kind: str) -> set[str]:
        scenario = self._scenario
        zones = {r.zone for r in scenario.routers} | {e.zone for e in scenario.engines}
        routers = {r.name for r in scenario.routers}
        upstreams = {e.name for e in scenario.engines}
        return {
            "router": routers,
            "upstream": upstreams,
            "zone": zones,
            "zone or upstream": zones | upstreams,
            "workspace": {w.name for w in scenario.workspaces},
            "pool": {e.pool for e in scenario.engines},
            "endpoint": routers | upstreams | {STORE},
        }[kind]

    def _default_pool(self, kind: UpstreamKind) -> str:
        pools = {e.pool for e in self._scenario.engines if e.kind is kind}
        if len(pools) != 1:
            names = ", ".join(sorted(pools)) or "none is defined above this line"
            raise self._error(f"state the pool (to NAME); allowed: {names}")
        return pools.pop()

    def _error(self, detail: str, line: int | None = None) -> ScenarioError:
        return ScenarioError(self._source, line or self._line, detail)

    def _set(self, **values) -> None:
        self._scenario = replace(self._scenario, **values)

    def _extend(self, part: str, added: tuple) -> None:
        known = {
            getattr(value, "name", None) for value in getattr(self._scenario, part)
        }
        for value in added:
            name = getattr(value, "name", None)
            if name is not None and name in known:
                raise self._error(f"{name} is defined twice")
        self._set(**{part: getattr(self._scenario, part) + added})


_FAULT_TARGET_KINDS = {
    FaultKind.PARTITION: "endpoint",
    FaultKind.PARTITION_ONE_WAY: "endpoint",
    FaultKind.KILL: "router",
    FaultKind.STOP: "router",
    FaultKind.NOTICE: "upstream",
    FaultKind.LIST_LEAVING: "upstream",
    FaultKind.TICKET: "router",
    FaultKind.RESTART: "router",
    FaultKind.PAUSE: "router",
    FaultKind.CRASH: "upstream",
    FaultKind.CHILL: "upstream",
    FaultKind.STALL: "upstream",
    FaultKind.SILENCE: "endpoint",
}
_MEASURE_TARGET_KINDS = {
    "gap": "workspace",
    "unserved": "workspace",
    "idle-while-waiting": "pool",
    "utilisation": "pool",
    "cold-overloads": "upstream",
    "over-limit": "upstream",
    "new-work": "zone or upstream",
}


def _fault(at_s: float, action: Tree) -> FaultEvent:
    rule = str(action.data)
    if rule.startswith("ticket_"):
        *parts, router = action.children
        change = (rule.removeprefix("ticket_"), *map(str, parts))
        names = (str(router),) if router is not None else ()
        return FaultEvent(at_s, FaultKind.TICKET, names, change=change)
    names, others, values = [], [], []
    for child in action.children:
        if isinstance(child, Tree):
            (others if names else names).extend(_names(child))
        elif child.type == "NAME":
            names.append(str(child))
        else:
            values.append(_value(child))
    kind = FaultKind(rule.replace("_", "-"))
    value, duration = (*values, 0.0, 0.0)[:2]
    return FaultEvent(at_s, kind, tuple(names), tuple(others), value, duration)


def _options(trees: Iterable[Tree]) -> Iterator[tuple[str, object]]:
    for tree in trees:
        name = str(tree.data)
        if name == "span":
            yield name, _span(tree)
        elif name == "through":
            yield name, tuple(_names(tree.children[0]))
        else:
            yield name, _value(tree.children[0])


def _span(tree: Tree) -> tuple[float, float]:
    start, end = tree.children
    return _seconds(start), _seconds(end) if end else float("inf")


def _names(tree: Tree) -> list[str]:
    return [str(token) for token in tree.children]


def _flatten(children: Iterable) -> Iterator[str]:
    for child in children:
        if isinstance(child, Tree):
            yield from _names(child)
        elif child is not None:
            yield str(child)


def _value(token: Token):
    """Convert a token to a number or a range of numbers.

    Durations become seconds, percentages fractions and rates events per second.
    """
    match token.type:
        case "DURATION":
            return _seconds(token)
        case "PERCENT":
            return float(token[:-1]) / 100.0
        case "RATE":
            return float(token[:-2])
        case "RANGE":
            low, _, high = token.partition("..")
            return int(low), int(high)
        case "NUMBER":
            return float(token) if "." in token else int(token)
    return str(token)


def _seconds(token: Token) -> float:
    return float(token[:-2]) / 1000.0 if token.endswith("ms") else float(token[:-1])
