"""Adapters between external platforms and the project's own types."""

from __future__ import annotations

from typing import Any

__all__ = [
    "Conflict",
    "ListedInstance",
    "Missing",
    "NotSent",
    "ObjectApi",
    "StoreError",
    "ApiObject",
    "Unavailable",
    "WatchEvent",
    "WatchExpired",
]


def __getattr__(name: str) -> Any:
    # Imported on first use: the edge router does not need the object API client.
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from carobstair.platform import object_api

    return getattr(object_api, name)
