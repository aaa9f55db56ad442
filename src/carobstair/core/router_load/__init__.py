"""Utilisation of a router's event loop, and early load shedding towards idle peers.

`LoopUtilisation` is the share of time that the event loop does not wait for events,
`PeerUtilisation` is what peers state of theirs, `EarlyShedding` is the part of new
requests that a router refuses, so that their callers reach a peer, and `Withdrawal`
decides when the load balancer should send no new connections.
"""

from carobstair.core.router_load.peers import PeerUtilisation
from carobstair.core.router_load.shedding import (
    NOTHING_SHED,
    EarlyShedding,
    EarlySheddingSettings,
    ShedParts,
)
from carobstair.core.router_load.utilisation import LoopUtilisation
from carobstair.core.router_load.withdrawal import Withdrawal, WithdrawalSettings

__all__ = [
    "NOTHING_SHED",
    "EarlyShedding",
    "EarlySheddingSettings",
    "LoopUtilisation",
    "PeerUtilisation",
    "ShedParts",
    "Withdrawal",
    "WithdrawalSettings",
]
