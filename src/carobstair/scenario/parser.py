"""Parses scenario files; errors give file, line and the allowed alternatives."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken

from carobstair.scenario.builder import ScenarioBuilder, ScenarioError
from carobstair.scenario.plan import Scenario

__all__ = ["ScenarioError", "parse_scenario", "read_scenario"]

_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "DURATION": "a duration such as 5s or 1.5ms",
    "PERCENT": "a percentage such as 2%",
    "NUMBER": "a number",
    "RATE": "a rate such as 3/s",
    "RANGE": "a range such as 60..200",
    "KIND": "quick, long, calls or actions",
    "CLASS": "quick or long",
    "ZONE_STATE": "in or out",
    "UPSTREAM_STATE": "live, leaving or gone",
    "PERCENTILE": "p50, p95 or p99",
    "COMPARISON": "<=, >= or =",
    "_NL": "the end of the line",
    "$END": "the end of the file",
}

_PARSER = Lark(
    resources.files(__package__).joinpath("scenario.lark").read_text(),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=True,
)


def read_scenario(path: Path) -> Scenario:
    """Parse a scenario file; the scenario is named after the file.

    Raises
    ------
    ScenarioError
        If the text is not a valid scenario.
    """
    return parse_scenario(path.read_text(), path.stem, str(path))


def parse_scenario(text: str, name: str, source: str) -> Scenario:
    """Parse the text of a scenario.

    Parameters
    ----------
    source : str
        Path or name of the text's origin, for error messages.

    Raises
    ------
    ScenarioError
        If the text is not a valid scenario, or has no routers, engines, loads or
        expectations.
    """
    try:
        tree = _PARSER.parse(text.rstrip() + "\n")
    except UnexpectedInput as error:
        raise ScenarioError(source, error.line, _describe(error)) from error
    builder = ScenarioBuilder(name, source)
    for statement in tree.children:
        if isinstance(statement, Tree):
            builder.add(statement)
    return builder.build()


def _describe(error: UnexpectedInput) -> str:
    if isinstance(error, UnexpectedToken):
        token: Token = error.token
        found = (
            _TERMINAL_DESCRIPTIONS.get(token.type, "")
            if not token.strip()
            else f"{token!s}"
        )
        expected = error.accepts or error.expected
    elif isinstance(error, UnexpectedCharacters):
        found, expected = error.char, error.allowed or set()
    else:
        return str(error)
    allowed = sorted({_describe_terminal(name) for name in expected})
    return f"found {found!r}; allowed: {', '.join(allowed)}"


def _describe_terminal(terminal: str) -> str:
    if terminal in _TERMINAL_DESCRIPTIONS:
        return _TERMINAL_DESCRIPTIONS[terminal]
    return _PARSER.get_terminal(terminal).pattern.value
