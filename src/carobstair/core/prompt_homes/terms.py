"""What homes change in the costs that placement compares."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["NO_TERMS", "HomeTerms"]


@dataclass(slots=True)
class HomeTerms:
    """Terms of the cost of each engine for one request.

    Attributes
    ----------
    discounts : mapping
        Parts of the price that others pay for reading the shared tokens which do not
        apply, by upstream id; empty if the request has no homes.
    preferred : str
        The home that this request is to prefer if its part needs several, or empty.
    spread_s : float
        Cost of all other engines then.
    own_tokens : int
        Tokens of the prompt that are not shared.
    report_lifetime_s : float
        Age up to which reports of engines are used, if longer than usual.
    backlog_part : float
        Part of the cost of queued prompts that applies.
    spare_requests : float
        Requests beyond the fair load that cost nothing.
    bound_requests : float
        Requests at an engine from which it costs more.
    balance_s : float
        Cost of requests beyond that bound, as many as the engine takes.
    """

    discounts: Mapping[str, float] = field(default_factory=dict)
    preferred: str = ""
    spread_s: float = 0.0
    own_tokens: int = 0
    report_lifetime_s: float = 0.0
    backlog_part: float = 1.0
    spare_requests: float = 0.0
    bound_requests: float = math.inf
    balance_s: float = 0.0


# Of requests that are placed as if there were no homes.
NO_TERMS = HomeTerms()
