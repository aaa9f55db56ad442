"""Request rates that upstreams state for all routers together, and who may send when.

An upstream that is short of capacity states in its responses how many requests a
second it accepts from the whole fleet. `StatedRates` knows what each incarnation has
stated.
"""

from carobstair.core.rate_limits.stated_rates import (
    NO_LIMIT,
    Incarnation,
    StatedRate,
    StatedRates,
)

__all__ = ["NO_LIMIT", "Incarnation", "StatedRate", "StatedRates"]
