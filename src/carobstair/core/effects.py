"""Effects: what a decision asks its driver to do."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from carobstair.core.grants import HeldGrant
from carobstair.core.refusals import Refusal
from carobstair.core.state import FleetState

__all__ = ["Effect", "Granted", "RefuseWaiting", "Send", "StateChanged"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a payload to a peer; it may be lost."""

    to: str
    payload: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Granted:
    """A waiting request may go to the grant's upstream."""

    request_id: str
    grant: HeldGrant


@dataclass(frozen=True, slots=True)
class RefuseWaiting:
    """A waiting request ends with a refusal."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StateChanged:
    """A new fleet state is in force at this node."""

    state: FleetState


Effect = Send | Granted | RefuseWaiting | StateChanged
