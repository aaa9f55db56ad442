"""Admission of requests to engines that cannot take all of them.

`FairAdmission` decides by max-min fair shares of the engines' throughput, which
`ThroughputControl` corrects by their load. Where nothing may be refused while engines
have room, `WorkConservingShares` decides instead: `SupplyControl` estimates what they
take, and `EngineRoom` tells whether one has room for a request.
"""

from carobstair.core.admission.conserving import ROOM
from carobstair.core.admission.fair_admission import FairAdmission
from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.room import EngineLoad, EngineRoom
from carobstair.core.admission.settings import AdmissionDecision, AdmissionSettings
from carobstair.core.admission.shares import max_min_shares
from carobstair.core.admission.supply import SupplyControl
from carobstair.core.admission.throughput import ThroughputControl
from carobstair.core.admission.waiting_room import WaitingRequest, WaitingRoom

__all__ = [
    "ROOM",
    "AdmissionDecision",
    "AdmissionRequest",
    "AdmissionSettings",
    "EngineLoad",
    "EngineRoom",
    "FairAdmission",
    "SupplyControl",
    "ThroughputControl",
    "WaitingRequest",
    "WaitingRoom",
    "max_min_shares",
]
