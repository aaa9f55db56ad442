"""Request rates that upstreams state for all routers together, and who may send when.

An upstream that is short of capacity states in its responses how many requests a
second it accepts from the whole fleet. `StatedRates` knows what each incarnation has
stated, `PermitDesk` decides which router issues the permits for its sends, and
`PermitIssuer` spaces them.
"""

from carobstair.core.permit_messages import (
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    RateNews,
    RateRow,
)
from carobstair.core.rate_limits.permit_desk import PermitDesk, PermitSettings
from carobstair.core.rate_limits.permit_issuer import IssuedPermit, PermitIssuer
from carobstair.core.rate_limits.stated_rates import (
    NO_LIMIT,
    Incarnation,
    StatedRate,
    StatedRates,
)

__all__ = [
    "NO_LIMIT",
    "Incarnation",
    "IssuedPermit",
    "PermitAnswer",
    "PermitDesk",
    "PermitIssuer",
    "PermitRequest",
    "PermitReturn",
    "PermitSettings",
    "RateNews",
    "RateRow",
    "StatedRate",
    "StatedRates",
]
