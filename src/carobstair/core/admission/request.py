"""A request on whose admission is decided by the room of the engines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.admission.room import EngineLoad

__all__ = ["AdmissionRequest"]


@dataclass(slots=True)
class AdmissionRequest:
    """A request on whose admission is decided.

    Attributes
    ----------
    tokens : float
        Weighted tokens.
    capacity, limited_per_s : float
        Nominal throughput of the engines, and that of engines that limit requests.
    engines : callable
        Returns the load of the engines.
    wait : callable
        Returns the expected wait for the first token as a fraction of the objective.
    room : callable
        Returns whether an engine has room for the request now.
    objective_s : float
        Time that is left of the objective for the first token.
    returned : bool
        Whether the caller was refused before.
    running : callable
        Returns the requests that this router has at the engines now.
    """

    pool: str
    workspace: str
    tokens: float
    capacity: float
    engines: Callable[[], EngineLoad]
    wait: Callable[[], float] = lambda: 0.0
    room: Callable[[], bool] = lambda: False
    objective_s: float = 1.0
    returned: bool = False
    limited_per_s: float = 0.0
    running: Callable[[], int] = lambda: 0
