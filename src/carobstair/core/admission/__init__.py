"""Admission of requests to engines that cannot take all of them.

`FairAdmission` decides by max-min fair shares of the engines' throughput,
`ThroughputControl` corrects that throughput by the load of the engines.
"""

from carobstair.core.admission.fair_admission import FairAdmission
from carobstair.core.admission.settings import AdmissionDecision, AdmissionSettings
from carobstair.core.admission.shares import max_min_shares
from carobstair.core.admission.throughput import ThroughputControl

__all__ = [
    "AdmissionDecision",
    "AdmissionSettings",
    "FairAdmission",
    "ThroughputControl",
    "max_min_shares",
]
