"""Former module of the admission by fair shares; see `carobstair.core.admission`."""

from carobstair.core.admission import (
    AdmissionDecision,
    AdmissionSettings,
    FairAdmission,
    ThroughputControl,
    max_min_shares,
)

__all__ = [
    "AdmissionDecision",
    "AdmissionSettings",
    "FairAdmission",
    "ThroughputControl",
    "max_min_shares",
]
