"""Client of the platform's object API."""

from carobstair.platform.object_api import (
    Conflict,
    ListedInstance,
    Missing,
    NotSent,
    ObjectApi,
    Stored,
    StoreError,
    Unavailable,
    WatchEvent,
    WatchExpired,
)

__all__ = [
    "Conflict",
    "ListedInstance",
    "Missing",
    "NotSent",
    "ObjectApi",
    "StoreError",
    "Stored",
    "Unavailable",
    "WatchEvent",
    "WatchExpired",
]
