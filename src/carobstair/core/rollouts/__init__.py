"""Roll-outs: moving a service to upstreams of another version, under observation.

`RolloutController` follows the orders of one router, `AnswerLedger` counts answers,
`OrderCollector` sums the counts of all routers and decides with `VersionEvidence` (the
sequential test) and `ExposurePlan` (the share of requests), and `VersionGate` says
which upstreams may get a request.
"""

from carobstair.core.rollout_messages import (
    CountRow,
    OrderDirective,
    OrderReport,
    RolloutNews,
    RolloutReport,
)
from carobstair.core.rollouts.collector import Decision, OrderCollector
from carobstair.core.rollouts.controller import RolloutController
from carobstair.core.rollouts.counts import (
    AnswerLedger,
    AnswerOutcome,
    TrackedAnswer,
    VersionCounts,
)
from carobstair.core.rollouts.effects import LogEvent, SendMessage, WriteStatus
from carobstair.core.rollouts.evidence import (
    EvidenceSettings,
    Finding,
    VersionEvidence,
)
from carobstair.core.rollouts.exposure import ExposurePlan, FleetCounts
from carobstair.core.rollouts.orders import (
    MAX_DURATION_S,
    MIN_DURATION_S,
    OrderState,
    Phase,
    RolloutOrder,
    RolloutState,
)
from carobstair.core.rollouts.settings import RolloutSettings
from carobstair.core.rollouts.versions import VersionGate, VersionPlan

__all__ = [
    "MAX_DURATION_S",
    "MIN_DURATION_S",
    "AnswerLedger",
    "AnswerOutcome",
    "CountRow",
    "Decision",
    "EvidenceSettings",
    "ExposurePlan",
    "Finding",
    "FleetCounts",
    "LogEvent",
    "OrderCollector",
    "OrderDirective",
    "OrderReport",
    "OrderState",
    "Phase",
    "RolloutController",
    "RolloutNews",
    "RolloutOrder",
    "RolloutReport",
    "RolloutSettings",
    "RolloutState",
    "SendMessage",
    "TrackedAnswer",
    "VersionCounts",
    "VersionEvidence",
    "VersionGate",
    "VersionPlan",
    "WriteStatus",
]
