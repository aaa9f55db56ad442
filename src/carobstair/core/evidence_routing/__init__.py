"""The way of evidence against prompt segments to all routers of the fleet.

Each router collects what it learns for a short time and sends it to the collectors of
its zone, which pass it on to their zone and to the collectors of the others.
`EvidenceRouter` decides what is sent to whom, `NewsOutbox` sends again what was not
acknowledged, `CollectedEvidence` joins what a router learnt meanwhile, and `PassedEnds`
removes what adds nothing.
"""

from carobstair.core.evidence_messages import EvidenceAck, EvidenceItem, EvidenceNews
from carobstair.core.evidence_routing.collected_evidence import CollectedEvidence
from carobstair.core.evidence_routing.evidence_router import (
    EvidenceRouter,
    LearntEvidence,
)
from carobstair.core.evidence_routing.news_outbox import NewsOutbox, Receivers
from carobstair.core.evidence_routing.passed_ends import PassedEnds
from carobstair.core.evidence_routing.routing_settings import RoutingSettings

__all__ = [
    "CollectedEvidence",
    "EvidenceAck",
    "EvidenceItem",
    "EvidenceNews",
    "EvidenceRouter",
    "LearntEvidence",
    "NewsOutbox",
    "PassedEnds",
    "Receivers",
    "RoutingSettings",
]
