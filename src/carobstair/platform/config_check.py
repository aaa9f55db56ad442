"""Reads the platform's configuration documents for checks before they are filed."""

from __future__ import annotations

import re
from collections.abc import Collection

import msgspec

from carobstair.core.config_check import Path, Problem
from carobstair.core.routing import RoutingConfig
from carobstair.platform.documents import read_routing

__all__ = ["FIELD_NAMES", "is_routing", "parse_routing"]

# The document's name of each field of the project's types, if it differs.
FIELD_NAMES = {
    "cold_rate": "coldPerS",
    "cold_start_s": "coldStartS",
    "header_timeout_s": "headerTimeoutMs",
    "health_path": "healthPath",
    "idle_timeout_s": "idleTimeoutMs",
    "keys": "apiKeys",
    "max_attempts": "maxAttempts",
    "max_body_bytes": "maxBodyBytes",
    "max_connections": "maxConnections",
    "max_gap_s": "targetGapMs",
    "max_header_bytes": "maxHeaderBytes",
    "path_prefix": "pathPrefix",
    "split": "trafficSplit",
    "target_latency_s": "targetLatencyMs",
    "timeout_s": "timeoutMs",
    "tokens_per_s": "tokensPerS",
    "workspaces": "tenants",
}
CONFIG_FIELDS = frozenset({"version", "routes", "services", "limits", "tenants"})
# An error of the decoder, such as "Expected `int`, got `str` - at `$.version`".
LOCATED = re.compile(r"(?P<text>.*) - at `\$(?P<path>.*)`", re.DOTALL)
PATH_PART = re.compile(r"\.(?P<name>\w+)|\[(?P<index>\d+)\]")


def is_routing(fields: Collection[str]) -> bool:
    """Return whether a document with these fields is a routing configuration."""
    return not CONFIG_FIELDS.isdisjoint(fields)


def parse_routing(spec: bytes) -> tuple[RoutingConfig | None, list[Problem]]:
    """Return the configuration, or None and the first place that can't be read."""
    try:
        return read_routing(spec), []
    except RecursionError:
        return None, [((), "it is nested too deeply")]
    except msgspec.DecodeError as error:
        match = LOCATED.fullmatch(str(error))
        if match is None:
            return None, [((), str(error))]
        return None, [(_path(match["path"]), match["text"])]


def _path(text: str) -> Path:
    return tuple(
        part["name"] or int(part["index"]) for part in PATH_PART.finditer(text)
    )
