"""Request rates that upstreams state for all routers together, and who may send when.

An upstream that is short of capacity states in its responses how many requests a
second it accepts from the whole fleet. `StatedRates` knows what each incarnation has
stated, `PermitDesk` decides which router issues the permits for its sends,
`PermitIssuer` spaces them, and `ServiceThroughput` is what such upstreams leave to
share.
"""

from carobstair.core.permit_messages import (
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    RateNews,
    RateRow,
)
from carobstair.core.rate_limits.permit_desk import (
    PermitDesk,
    PermitOutlook,
    PermitSettings,
)
from carobstair.core.rate_limits.permit_issuer import IssuedPermit, PermitIssuer
from carobstair.core.rate_limits.stated_rates import (
    NO_LIMIT,
    Incarnation,
    StatedRate,
    StatedRates,
)
from carobstair.core.rate_limits.throughput import (
    ServiceThroughput,
    service_throughput,
)

__all__ = [
    "NO_LIMIT",
    "Incarnation",
    "IssuedPermit",
    "PermitAnswer",
    "PermitDesk",
    "PermitIssuer",
    "PermitOutlook",
    "PermitRequest",
    "PermitReturn",
    "PermitSettings",
    "RateNews",
    "RateRow",
    "ServiceThroughput",
    "StatedRate",
    "StatedRates",
    "service_throughput",
]
