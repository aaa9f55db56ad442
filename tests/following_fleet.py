"""Routers of one zone that follow a store, on virtual time, with faults."""

import asyncio
import json
import random
import selectors
import time
from unittest import mock

from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.core.messages import decode, encode
from carobstair.core.store_following import FollowingSettings, StoreFollowing
from carobstair.edge.follower import StoreFollower
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.state_store import Listing, RevisionExpired, StoreUnavailable
from carobstair.edge.store_following import StoreFollowingDriver
from carobstair.platform.store import CALL_TIMEOUT_S, WATCH_MARGIN_S
from gossip_nodes import make_node
from platform_standins import make_config

LATENCY_S = 0.001
CALL_S = 0.004


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__(selectors.SelectSelector())
        self.now_s = 1000.0
        self._selector.select = self._skip

    def time(self):
        """Return the virtual time."""
        return self.now_s

    def _skip(self, timeout=None):
        self.now_s += timeout or 0.0
        return []


def run_virtually(coroutine):
    """Run a coroutine on virtual time."""
    loop = VirtualLoop()
    with (
        mock.patch.object(time, "monotonic", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(coroutine)


class FakeStore:
    """A store with revisions and eras; `refused` and `hung` are names of routers."""

    def __init__(self):
        self.revision, self.era, self.compacted = 1, 0, 0
        self.objects, self.events = {}, []
        self.refused, self.hung = set(), set()
        # Answers of these kinds are lost until a time.
        self.lost_kinds, self.lost_until_s = frozenset(), 0.0
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, kind, name, document=None):
        """Write an object, or remove it if there is no document."""
        self.revision += 1
        spec = None if document is None else json.dumps(document).encode()
        change = StoreChange(name, self.revision, spec, self.era)
        self.objects.pop((kind, name), None)
        if spec is not None:
            self.objects[kind, name] = change
        self.events.append((kind, change))
        self._wake()

    def restore(self, copy):
        """Return to a copy of objects and revision, in a new era."""
        self.era += 1
        self.revision = copy[1]
        self.objects = {
            key: StoreChange(c.name, c.revision, c.spec, self.era)
            for key, c in copy[0].items()
        }
        self.events.clear()
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def list(self, router, kind):
        """Return all objects of a kind."""
        await self._begin(router, CALL_TIMEOUT_S)
        objects = [c for (k, _), c in self.objects.items() if k is kind]
        return Listing(objects, self.revision, self.era)

    async def watch(self, router, kind, revision, wait_s, era):
        """Return the changes after a revision, as soon as there are some."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        await self._begin(router, wait_s + WATCH_MARGIN_S)
        began_era = self.era
        while True:
            if self.era != era or self.era != began_era or revision < self.compacted:
                raise RevisionExpired("410")
            found = [c for k, c in self.events if k is kind and c.revision > revision]
            if found or loop.time() >= until_s - 1e-6:
                break
            with_limit = asyncio.wait_for(self._changed.wait(), until_s - loop.time())
            try:
                await with_limit
            except TimeoutError:
                continue
        is_lost = kind in self.lost_kinds and loop.time() < self.lost_until_s
        if router in self.hung or is_lost:
            await asyncio.sleep(until_s + WATCH_MARGIN_S - loop.time())
            raise StoreUnavailable("no answer")
        return Listing(found, max(revision, self.revision), era)

    async def _begin(self, router, timeout_s):
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if router in self.refused:
            raise StoreUnavailable("refused")
        if router in self.hung:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable("no answer")


class Client:
    """Store client of one router."""

    def __init__(self, store, router):
        self._store, self._router = store, router

    async def list(self, kind):
        """List as this router."""
        return await self._store.list(self._router, kind)

    async def watch(self, kind, revision, wait_s, era=0):
        """Watch as this router."""
        return await self._store.watch(self._router, kind, revision, wait_s, era)


class Link:
    """Transport of one router in the memory of this process."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name
        self.handlers = {}

    def subscribe(self, payload_type, handler):
        """Register a handler."""
        self.handlers.setdefault(payload_type, []).append(handler)

    def connect(self, address):
        """Links need not be opened."""

    disconnect = reconnect = connect

    def send(self, instance, payload):
        """Send a message to one router."""
        return self.send_all((instance,), payload) == 1

    def send_all(self, instances, payload):
        """Send a message, as bytes, to the routers that are reached."""
        data = encode(payload, self._name, 1, 0, 0)
        for instance in instances:
            asyncio.get_running_loop().call_later(
                LATENCY_S, self._fleet.deliver, self._name, instance, data
            )
        return len(list(instances))


class Router:
    """The parts of a router that follow the store."""

    def __init__(self, fleet, name, seed):
        self.name, rng = name, random.Random(seed)
        self.link = Link(fleet, name)
        node = make_node(name, 7400, self.link, digest_s=1.0)
        self.view, self.gossip = node.view, node.gossip
        self.availability = node.gossip._availability
        settings = node.gossip._settings
        self.following = StoreFollowing(
            name, "a", self.view.kinds, FollowingSettings(), self.availability, rng
        )
        self.restores = []
        self.follower = StoreFollower(
            Client(fleet.store, name),
            self.view,
            self.availability,
            settings.sync,
            rng,
            lambda kind, names: None,
            lambda: len(self.gossip.peers),
            lambda: self.restores.append(1),
            self.following,
        )
        self.utilisation = 0.1
        self.driver = StoreFollowingDriver(
            self.following,
            self.follower,
            self.gossip,
            self.link,
            self.view,
            self.availability,
            settings,
            lambda: self.utilisation,
            EdgeMetrics(),
            rng,
        )
        self.tasks = [
            asyncio.create_task(part.run())
            for part in (self.follower, self.gossip, self.driver)
        ]

    def stop(self):
        """End the router without a word."""
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Routers of one zone, with a store that has a configuration of version 1."""

    def __init__(self, count, is_enabled=True, seed=1):
        self.store = FakeStore()
        self.store.put(StateKind.ROUTING, "main", make_config(1))
        # Pairs of sender and receiver whose messages are lost.
        self.cut = set()
        self.routers = {}
        self._seed, self._is_enabled = seed, is_enabled
        for number in range(count):
            self.start(f"r{number}")

    def start(self, name):
        """Start a router that knows all others and is known to them."""
        router = Router(self, name, f"{self._seed}/{name}")
        for other in self.routers.values():
            router.gossip.add(other.gossip._own)
            other.gossip.add(router.gossip._own)
        self.routers[name] = router
        if self._is_enabled:
            router.driver.enable()
        return router

    def kill(self, name):
        """End a router."""
        self.routers.pop(name).stop()

    def freeze(self, name):
        """Stop a router that goes on when it is removed from `cut` and `hung`."""
        self.isolate(name)
        self.store.hung.add(name)

    def isolate(self, name):
        """Cut a router off from its peers."""
        for other in self.routers:
            self.cut |= {(name, other), (other, name)}

    def deliver(self, sender, receiver, data):
        """Deliver a message to a router that is reached."""
        router = self.routers.get(receiver)
        if router is None or (sender, receiver) in self.cut:
            return
        envelope, payload = decode(data)
        for handler in router.link.handlers.get(type(payload), ()):
            handler(envelope, payload)

    def watching(self):
        """Return the names of the routers that watch."""
        return [n for n, router in self.routers.items() if router.following.watches]

    async def until(self, condition, limit_s, without=()):
        """Wait until a condition holds at all routers; return the time taken."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        routers = [r for n, r in self.routers.items() if n not in without]
        while not all(map(condition, routers)):
            late = [r.name for r in routers if not condition(r)]
            if loop.time() - began_s > limit_s:
                raise AssertionError(f"not in effect after {limit_s} s at {late}")
            await asyncio.sleep(0.01)
        return loop.time() - began_s

    async def configure(self, version, limit_s, without=()):
        """Write a configuration; return the time until it is in force."""
        self.store.put(StateKind.ROUTING, "main", make_config(version))
        return await self.until(lambda r: r.view.version >= version, limit_s, without)
