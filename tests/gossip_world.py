"""Routers reduced to their gossip, for tests of what peers tell each other."""

import random
from dataclasses import dataclass

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView, StoreAvailability
from carobstair.core.messages import PeerAddress
from carobstair.edge.gossip import Gossip
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.settings import EdgeSettings, ListenSettings, SyncSettings
from carobstair.net.peers import LinkKeys, PeerTransport
from carobstair.platform.documents import decode_routing, decode_upstream


@dataclass
class Node:
    """What a test looks at."""

    own: PeerAddress
    directory: UpstreamDirectory
    view: FleetView
    loads: LoadTracker
    admission: FairAdmission
    transport: PeerTransport
    gossip: Gossip
    prompt: PromptShape = PromptShape(1000, 10)


class SentMessages:
    """A transport that keeps what is sent: the receivers and the payload."""

    def __init__(self):
        self.sent = []

    def subscribe(self, payload_type, handler):
        """Take no messages in."""

    def connect(self, address):
        """Open no link."""

    def send_all(self, instances, payload):
        """Keep a message."""
        self.sent.append((list(instances), payload))
        return len(self.sent[-1][0])

    def reconnect(self, instance):
        """Open no link."""


def make_node(name, port, transport=None, digest_s=0.05):
    """Return a router's gossip that listens on a port of loopback."""
    own = PeerAddress(name, 1, "127.0.0.1", port, 1, "a")
    directory = UpstreamDirectory()
    view = FleetView(directory, decode_routing, decode_upstream)
    loads = LoadTracker(PlacementSettings(), "a")
    listen = ListenSettings(
        host="127.0.0.1", callers_port=1, ready_port=1, peer_port=port, metrics_port=1
    )
    settings = EdgeSettings(
        name=name,
        zone="a",
        listen=listen,
        sync=SyncSettings(
            store_address="127.0.0.1:1", digest_s=digest_s, behind_s=0.05
        ),
    )
    if transport is None:
        transport = PeerTransport(own, listen, LinkKeys(), EdgeMetrics())
    admission = FairAdmission()
    gossip = Gossip(
        own,
        settings,
        transport,
        view,
        StoreAvailability(2.0),
        loads,
        admission,
        random.Random(1),
        lambda kind, names: None,
    )
    return Node(own, directory, view, loads, admission, transport, gossip)
