"""Router nodes that run only gossip, for tests of the messages between peers."""

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.engine_load import LoadTracker, PlacementSettings, PromptShape
from carobstair.core.fleet_view import FleetView, StoreAvailability
from carobstair.core.messages import PeerAddress
from carobstair.edge.gossip import Gossip
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.settings import EdgeSettings, ListenSettings, SyncSettings
from carobstair.net.peers import LinkKeys, PeerTransport
from carobstair.platform.documents import decode_routing, decode_upstream


@dataclass
class GossipNode:
    """A node that runs only gossip, with the parts that tests inspect."""

    address: PeerAddress
    directory: UpstreamDirectory
    view: FleetView
    loads: LoadTracker
    transport: PeerTransport
    gossip: Gossip
    prompt: PromptShape = PromptShape(1000, 10)


class RecordingTransport:
    """Transport that records the receivers and payload of each message sent."""

    def __init__(self):
        self.sent = []

    def subscribe(self, payload_type, handler):
        """Ignore the subscription: no messages are received."""

    def connect(self, address):
        """Open no link."""

    def send_all(self, instances, payload):
        """Record a message."""
        self.sent.append((list(instances), payload))
        return len(self.sent[-1][0])

    def reconnect(self, instance):
        """Open no link."""


def make_node(name, port, transport=None, digest_s=0.05):
    """Return a gossip node that listens on the given loopback port."""
    address = PeerAddress(name, 1, "127.0.0.1", port, 1, "a")
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
        transport = PeerTransport(address, listen, LinkKeys(), EdgeMetrics())
    gossip = Gossip(
        address,
        settings,
        transport,
        view,
        StoreAvailability(2.0),
        loads,
        random.Random(1),
        lambda kind, names: None,
    )
    return GossipNode(address, directory, view, loads, transport, gossip)


@contextlib.asynccontextmanager
async def running_nodes(count=2):
    """Run gossip nodes on free loopback ports, and close them at the end."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    nodes = [make_node(f"r{number}", port) for number, port in enumerate(ports)]
    runs = [run for node in nodes for run in (node.transport.run, node.gossip.run)]
    tasks = [asyncio.create_task(run()) for run in runs]
    try:
        yield nodes
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            node.transport.close()
