"""Adapter that connects the edge router to the users' platform."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from carobstair.edge.router import PlatformParts
from carobstair.edge.settings import EdgeSettings
from carobstair.platform.boot import load_boot_settings, settings_stamp
from carobstair.platform.documents import (
    decode_rollout,
    decode_routing,
    decode_upstream,
    rollout_status,
)
from carobstair.platform.headers import PlatformDialect
from carobstair.platform.store import PlatformStore

__all__ = ["platform_parts"]


def platform_parts(settings: EdgeSettings, path: Path) -> PlatformParts:
    """Return the parts of the adapter for settings that were read from a file."""
    return PlatformParts(
        PlatformDialect(),
        partial(PlatformStore, settings.sync.store_address),
        decode_routing,
        decode_upstream,
        partial(load_boot_settings, path),
        partial(settings_stamp, path),
        decode_rollout,
        rollout_status,
    )
