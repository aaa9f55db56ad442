"""Configurations of a small deployment."""

from __future__ import annotations

__all__ = ["KEY", "configuration", "route"]

KEY = "asnmgkcuyj8pjbvk9m68"


def route(name: str, kind: str, **changes: object) -> dict:
    """Return a route of the host ``api.test`` whose prefix is its name."""
    document = {
        "name": f"r-{name}",
        "host": "api.test",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "plain",
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return document | changes


def configuration(
    version: int, routes: list[dict], keys: tuple[str, ...] = (KEY,)
) -> dict:
    """Return a configuration with a plain service and a service of model engines."""
    plain = {
        "name": "plain",
        "healthPath": "/health",
        "maxConnections": 110,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }
    engines = plain | {
        "name": "llm",
        "maxConnections": 370,
        "engine": {"slots": 64, "kvCapacityTokens": 535283},
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
        "tokensPerS": 100000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [plain, engines],
        "limits": limits,
        "tenants": [{"name": "hule930", "apiKeys": list(keys), "priority": 1}],
    }
