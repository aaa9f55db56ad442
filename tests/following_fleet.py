"""Routers of one zone that follow a store, on virtual time, with faults."""

import asyncio
import json
import random
import selectors
import time
from functools import partial
from types import SimpleNamespace
from unittest import mock

from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.core.messages import decode, encode
from carobstair.core.store_following import FollowingSettings, StoreFollowing
from carobstair.edge.follower import StoreFollower
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.state_store import (
    Listing,
    RevisionExpired,
    StoreTimedOut,
    StoreUnavailable,
)
from carobstair.edge.store_following import StoreFollowingDriver
from carobstair.platform.store import CALL_TIMEOUT_S, WATCH_MARGIN_S
from gossip_nodes import make_node
from platform_standins import make_config

LATENCY_S = 0.001
CALL_S = 0.004


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__(selectors.SelectSelector())
        self.now_s = 1000.0
        self._selector.select = self._skip

    def time(self):
        return self.now_s

    def _skip(self, timeout=None):
        self.now_s += timeout or 0.0
        return []


def run_virtually(coroutine):
    """Run a coroutine on virtual time."""
    loop = _VirtualLoop()
    with (
        mock.patch.object(time, "monotonic", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(coroutine)


class FakeStore:
    """A store with revisions and eras.

    `refused` and `hung` are names of routers, or pairs of a router and a kind.
    """

    def __init__(self):
        self.revision, self.era, self.compacted, self.calls = 1, 0, 0, 0
        self.objects, self.events = {}, []
        self.refused, self.hung = set(), set()
        # Answers of these kinds are lost until a time.
        self.lost_kinds, self.lost_until_s = frozenset(), 0.0
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

    def copy(self):
        """Return a copy, from which the store can be restored."""
        return dict(self.objects), self.revision

    def restore(self, copy):
        """Return to a copy, in a new era."""
        self.era += 1
        self.compacted, self.revision = 0, copy[1]
        self.objects = {
            key: StoreChange(c.name, c.revision, c.spec, self.era)
            for key, c in copy[0].items()
        }
        self.events.clear()
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def client(self, router):
        """Return the client of a router."""
        return SimpleNamespace(
            list=partial(self._list, router), watch=partial(self._watch, router)
        )

    def named(self, kind):
        """Return the objects of a kind by name."""
        return {name: c for (k, name), c in self.objects.items() if k is kind}

    async def _list(self, router, kind):
        await self._begin(router, kind, CALL_TIMEOUT_S)
        return Listing(list(self.named(kind).values()), self.revision, self.era)

    async def _watch(self, router, kind, revision, wait_s, era=0):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        await self._begin(router, kind, wait_s + WATCH_MARGIN_S)
        while True:
            if self.era != era or revision < self.compacted:
                raise RevisionExpired("410")
            found = [c for k, c in self.events if k is kind and c.revision > revision]
            left_s = until_s - loop.time()
            if found or left_s < 1e-6:
                break
            await asyncio.wait(
                {asyncio.create_task(self._changed.wait())}, timeout=left_s
            )
        is_lost = kind in self.lost_kinds and loop.time() < self.lost_until_s
        if is_lost or {router, (router, kind)} & self.hung:
            await asyncio.sleep(left_s + WATCH_MARGIN_S)
            raise StoreTimedOut("no answer")
        return Listing(found, max(revision, self.revision), era)

    async def _begin(self, router, kind, timeout_s):
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if {router, (router, kind)} & self.refused:
            raise StoreUnavailable("refused")
        if {router, (router, kind)} & self.hung:
            await asyncio.sleep(timeout_s)
            raise StoreTimedOut("no answer")


class _Link:
    """Transport of one router in the memory of this process."""

    def __init__(self, fleet, name):
        self._fleet, self._name, self.handlers = fleet, name, {}

    def subscribe(self, payload_type, handler):
        self.handlers.setdefault(payload_type, []).append(handler)

    def connect(self, address):
        pass  # Links need not be opened.

    disconnect = reconnect = connect

    def send(self, instance, payload):
        return self.send_all((instance,), payload) == 1

    def send_all(self, instances, payload):
        data, loop = encode(payload, self._name, 1, 0, 0), asyncio.get_running_loop()
        for instance in instances:
            deliver = self._fleet.deliver
            loop.call_later(LATENCY_S, deliver, self._name, instance, data)
        return len(list(instances))


class Router:
    """The parts of a router that follow the store."""

    def __init__(self, fleet, name, rng):
        self.name, self.link = name, _Link(fleet, name)
        # As in fleets of some 60 routers.
        node = make_node(name, 7400, self.link, digest_s=1.0)
        self.view, self.gossip = node.view, node.gossip
        availability, settings = self.gossip._availability, self.gossip._settings
        kinds, settings_of = self.view.kinds, FollowingSettings()
        self.following = StoreFollowing(
            name, "a", kinds, settings_of, availability, rng
        )
        self.restores, self.utilisation = [], 0.1
        self.follower = StoreFollower(
            fleet.store.client(name),
            self.view,
            availability,
            settings.sync,
            rng,
            lambda kind, names: None,
            lambda: len(self.gossip.peers),
            lambda: self.restores.append(1),
            self.following,
        )
        self.driver = StoreFollowingDriver(
            self.following,
            self.follower,
            self.gossip,
            self.link,
            self.view,
            availability,
            settings,
            lambda: self.utilisation,
            EdgeMetrics(),
            rng,
        )
        parts = self.follower, self.gossip, self.driver
        self.tasks = [asyncio.create_task(part.run()) for part in parts]


class Fleet:
    """Routers of one zone, with a store that has a configuration of version 1."""

    def __init__(self, count, is_enabled=True, seed=1):
        self.store, self.routers = FakeStore(), {}
        self.store.put(StateKind.ROUTING, "main", make_config(1))
        # Pairs of sender and receiver whose messages are lost.
        self.cut = set()
        self._seed, self._is_enabled, self.rng = seed, is_enabled, random.Random(seed)
        for number in range(count):
            self.start(f"r{number}")

    def start(self, name):
        """Start a router that knows all others and is known to them."""
        router = Router(self, name, random.Random(f"{self._seed}/{name}"))
        for other in self.routers.values():
            router.gossip.add(other.gossip._own)
            other.gossip.add(router.gossip._own)
        self.routers[name] = router
        if self._is_enabled:
            router.driver.enable()

    def kill(self, name):
        """End a router without a word."""
        for task in self.routers.pop(name).tasks:
            task.cancel()

    def isolate(self, name):
        """Cut a router off from its peers."""
        self.cut |= {
            p for other in self.routers for p in ((name, other), (other, name))
        }

    def freeze(self, name):
        """Cut a router off from its peers and the store, as if it stood still."""
        self.isolate(name)
        self.store.hung.add(name)

    def deliver(self, sender, receiver, data):
        """Deliver a message to a router that is reached."""
        router = self.routers.get(receiver)
        if router is not None and (sender, receiver) not in self.cut:
            envelope, payload = decode(data)
            for handler in router.link.handlers.get(type(payload), ()):
                handler(envelope, payload)

    def watching(self):
        """Return the names of the routers that watch."""
        return [n for n, router in self.routers.items() if router.following.watches]

    async def until(self, condition, limit_s, without=()):
        """Wait until a condition holds at all routers; return the time taken."""
        began_s = time.monotonic()
        while late := [
            name
            for name, router in self.routers.items()
            if name not in without and not condition(router)
        ]:
            if time.monotonic() - began_s > limit_s:
                raise AssertionError(f"not in effect after {limit_s} s at {late}")
            await asyncio.sleep(0.01)
        return time.monotonic() - began_s

    async def configure(self, version, limit_s, without=()):
        """Write a configuration; return the time until it is in force."""
        self.store.put(StateKind.ROUTING, "main", make_config(version))
        return await self.until(lambda r: r.view.version >= version, limit_s, without)
