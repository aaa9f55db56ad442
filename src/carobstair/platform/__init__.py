"""Client of the platform's object API."""

from carobstair.platform.object_api import (
    Conflict,
    Missing,
    ObjectApi,
    Stored,
    StoreError,
    Unavailable,
    WatchEvent,
    WatchExpired,
)

__all__ = [
    "Conflict",
    "Missing",
    "ObjectApi",
    "StoreError",
    "Stored",
    "Unavailable",
    "WatchEvent",
    "WatchExpired",
]
