"""Hand-off of requests from a router without processor time to idle peers.

`HandoffDecision` says which streams are handed off and to which peer of `HandoffPeers`,
`is_single_request` which bytes may be sent on unchanged, and `AnswerFraming` where the
answer to them ends.
"""

from carobstair.core.handoff.answer_framing import AnswerError, AnswerFraming
from carobstair.core.handoff.decision import HandoffDecision
from carobstair.core.handoff.peers import HandoffPeer, HandoffPeers
from carobstair.core.handoff.request_bytes import is_single_request
from carobstair.core.handoff.settings import HandoffSettings

__all__ = [
    "AnswerError",
    "AnswerFraming",
    "HandoffDecision",
    "HandoffPeer",
    "HandoffPeers",
    "HandoffSettings",
    "is_single_request",
]
