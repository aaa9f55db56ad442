"""Bounds of the memory that a router holds for others, from its settings."""

from __future__ import annotations

from carobstair.core.memory_ledger import MemoryKind, MemoryLedger
from carobstair.edge.settings import EdgeSettings

__all__ = ["default_ledger", "handoff_bound_bytes", "memory_bounds_bytes"]

# Part of the memory for callers' connections that peers' may take in addition.
HANDOFF_SHARE = 0.5


def handoff_bound_bytes(settings: EdgeSettings) -> int:
    """Return the memory for connections of peers that hand over requests."""
    return int(HANDOFF_SHARE * settings.max_connection_memory_bytes)


def memory_bounds_bytes(settings: EdgeSettings) -> dict[MemoryKind, int]:
    """Return the bound of each kind of memory."""
    return {
        MemoryKind.BODIES: settings.max_body_memory_bytes,
        MemoryKind.SMALL_BODIES: settings.max_small_body_memory_bytes,
        MemoryKind.ANSWERS: settings.max_answer_memory_bytes,
        MemoryKind.CALLERS: settings.max_connection_memory_bytes,
        MemoryKind.HANDOFFS: handoff_bound_bytes(settings),
        MemoryKind.UNSENT: settings.max_unsent_memory_bytes,
    }


def default_ledger() -> MemoryLedger:
    """Return a ledger with the bounds of settings that state none."""
    fields = EdgeSettings.model_fields
    return MemoryLedger(
        {
            MemoryKind.BODIES: fields["max_body_memory_bytes"].default,
            MemoryKind.SMALL_BODIES: fields["max_small_body_memory_bytes"].default,
            MemoryKind.ANSWERS: fields["max_answer_memory_bytes"].default,
            MemoryKind.CALLERS: fields["max_connection_memory_bytes"].default,
            MemoryKind.UNSENT: fields["max_unsent_memory_bytes"].default,
        }
    )
