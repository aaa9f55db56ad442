"""Settings of the edge router, independent of their source."""

from __future__ import annotations

import random

from pydantic import BaseModel, ConfigDict, Field

from carobstair.core.directory import DirectorySettings
from carobstair.core.engine_load import PlacementSettings
from carobstair.core.fair_admission import AdmissionSettings
from carobstair.core.fleet_view import StateKind
from carobstair.core.handoff import HandoffSettings
from carobstair.core.overload import OverloadSettings
from carobstair.core.rollouts import RolloutSettings
from carobstair.core.send_limits import SendLimitSettings
from carobstair.core.share_collector import ShareSettings
from carobstair.core.upstream_health import HealthSettings

__all__ = ["EdgeSettings", "ListenSettings", "ShutdownSettings", "SyncSettings"]

# Missed digests after which a peer is considered silent: digests may be lost or
# delayed on a slow machine.
ALLOWED_MISSED_DIGESTS = 3
# The store ends a watch after 30 s.
MAX_WATCH_S = 30.0


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Model):
    """Listening addresses, and the limit on callers' idle connections.

    Attributes
    ----------
    keep_alive_limit : int
        Number of open connections above which responses close theirs. A server
        that reaches the limit on file descriptors stops accepting connections
        for a second.
    max_connections : int
        Number of open connections of callers. At the limit, idle connections are
        closed for new ones.
    max_peer_connections : int
        Number of connections that peers have to this router.
    handoff_port : int
        Port at which peers hand requests to this router; 0 for none. Callers must not
        reach it. It is opened where the hand-off is enabled.
    max_handoff_connections : int
        Number of connections to this port.
    """

    host: str
    callers_port: int = Field(ge=1, le=65535)
    ready_port: int = Field(ge=1, le=65535)
    peer_port: int = Field(ge=1, le=65535)
    metrics_port: int = Field(ge=1, le=65535)
    keep_alive_limit: int = Field(1_000, ge=1)
    max_connections: int = Field(2_000, ge=1)
    max_peer_connections: int = Field(512, ge=1)
    handoff_port: int = Field(0, ge=0, le=65535)
    max_handoff_connections: int = Field(512, ge=1)


class SyncSettings(_Model):
    """Synchronization with the store and with peers.

    Attributes
    ----------
    watch_wait_s : float
        How long a watch waits for a change. A dead connection is detected after
        this time plus the client's margin, within the three seconds allowed for
        a router to be in contact with the store again.
    watch_pause_s : float
        Pause between a watch that returned changes and the next, so that
        upstreams that register or leave together are read in one call.
    max_watch_pause_s : float
        Maximum of this pause in large fleets; a small part of the two seconds
        within which a change must be in force.
    max_upstreams_pause_s, max_routers_pause_s : float
        The same for upstreams, which change most often in large fleets, and for
        routers, whose addresses digests carry as well. Peers that are ahead pass
        changes on meanwhile, so the pauses bound only how late a change may be.
    quiet_wait_s : float
        How long watches of the kinds that rarely change wait at most. TCP keep-alive
        detects a dead connection; the watch of the upstreams shows whether the store
        answers.
    state_wait_s : float
        The same for the configuration and evacuations, for each router of the fleet:
        only the end of its wait shows that the answer to a watch was lost. Peers
        whose answer came pass it on.
    behind_s : float
        How long a peer may be ahead before its changes are fetched from it.
    drift_tokens : int
        Change in a router's prompt backlog after which it sends a digest early,
        multiplied by the slowdown: in a large fleet few routers hold most of the
        load, and their load changes faster than the other routers' digests are due.
    cross_zone_slowdown : int
        In fleets larger than `full_rate_peers`, factor between the digest
        intervals to other zones and within the zone: traffic between zones is
        expensive, and most requests stay in their zone.
    full_rate_peers : int
        Number of peers up to which digests are sent at the full rate. In larger
        fleets the interval grows in proportion, so that the rate of digests that
        a router receives stays constant.
    large_fleet_peers : int
        Number of peers from which that rate is halved: receiving digests takes most
        of the processor time of an idle router.
    watches_per_s : float
        Rate at which the watches of one kind end in the whole fleet while nothing
        changes; each costs the store a call. Peers pass on changes in between.
    followers_per_zone : int
        Number of routers of each zone that watch the store once following by few
        routers is enabled; the others learn of changes from them.
    """

    store_address: str = Field(pattern=r"^\S+:\d+$")
    watch_wait_s: float = Field(1.5, gt=0, le=30)
    watch_pause_s: float = Field(0.1, ge=0, le=10)
    max_watch_pause_s: float = Field(0.4, ge=0, le=10)
    max_upstreams_pause_s: float = Field(1.0, ge=0, le=10)
    max_routers_pause_s: float = Field(3.0, ge=0, le=10)
    quiet_wait_s: float = Field(20.0, gt=0, le=30)
    state_wait_s: float = Field(0.6, gt=0, le=30)
    retry_s: float = Field(0.1, gt=0, le=10)
    max_retry_s: float = Field(0.5, gt=0, le=30)
    digest_s: float = Field(0.1, gt=0, le=10)
    behind_s: float = Field(0.2, gt=0, le=10)
    peer_silence_s: float = Field(1.0, gt=0, le=60)
    full_rate_peers: int = Field(12, ge=1)
    large_fleet_peers: int = Field(40, ge=1)
    watches_per_s: float = Field(5.0, gt=0)
    drift_tokens: int = Field(8_000, ge=1)
    cross_zone_slowdown: int = Field(4, ge=1)
    followers_per_zone: int = Field(3, ge=1)
    seeds: list[str] = []

    def slowdown(self, peers: int) -> float:
        """Return the factor by which intervals grow with the size of the fleet."""
        return max(1.0, peers / self.full_rate_peers)

    def tick_s(self, peers: int) -> float:
        """Return the interval at which a router looks whether a digest is due."""
        return self.digest_s * max(1.0, self.slowdown(peers) / 4)

    def cross_zone_factor(self, peers: int, cross_zone: bool) -> int:
        """Return the factor by which intervals to other zones are longer."""
        return (
            self.cross_zone_slowdown
            if cross_zone and peers > self.full_rate_peers
            else 1
        )

    def digest_interval_s(self, peers: int, cross_zone: bool) -> float:
        """Return the maximum time between two digests of this router.

        Parameters
        ----------
        cross_zone : bool
            Whether the digests go to peers in other zones.
        """
        return (
            self.digest_s
            * self.slowdown(peers)
            * self.cross_zone_factor(peers, cross_zone)
            * (2 if peers >= self.large_fleet_peers else 1)
        )

    def drift_limit(self, peers: int, cross_zone: bool) -> float:
        """Return the change in backlog after which a digest is sent early."""
        return (
            self.drift_tokens
            * self.slowdown(peers)
            * self.cross_zone_factor(peers, cross_zone)
        )

    def silence_timeout_s(self, peers: int, cross_zone: bool) -> float:
        """Return the time without digests after which a peer is considered lost."""
        interval_s = self.digest_interval_s(peers, cross_zone)
        return max(self.peer_silence_s, ALLOWED_MISSED_DIGESTS * interval_s)

    def retry_limit_s(self, peers: int) -> float:
        """Return the maximum delay between retries to a store that fails.

        Up to twice as long in large fleets, where peers pass on changes meanwhile.
        """
        return self.max_retry_s * min(2.0, self.slowdown(peers))

    def relist_spread_s(self, peers: int) -> float:
        """Return the time over which the fleet's new lists are spread."""
        return min(self.max_watch_pause_s, self.digest_s * self.slowdown(peers))

    def scaled_watch_pause_s(self, peers: int, kind: StateKind) -> float:
        """Return the pause after a watch that returned changes."""
        slowdown, longest_s = self.slowdown(peers), self.max_watch_pause_s
        # Each change costs as many calls as there are routers, and the number of
        # changes grows with the fleet as well.
        if kind is StateKind.UPSTREAMS:
            slowdown, longest_s = slowdown**2, self.max_upstreams_pause_s
        elif kind is StateKind.ROUTERS:
            slowdown, longest_s = slowdown**2, self.max_routers_pause_s
        return min(longest_s, self.watch_pause_s * slowdown)

    def random_watch_wait_s(self, peers: int, rng: random.Random) -> float:
        """Return a random wait for the next watch.

        In a large fleet waits are spread out, so that some watch ends at any time
        and the loss of all store connections is detected as early as in a small
        fleet.
        """
        mean_s = max(self.watch_wait_s, peers / self.watches_per_s)
        longest_s = 2.0 * min(mean_s, MAX_WATCH_S / 2.0) - self.watch_wait_s
        return rng.uniform(self.watch_wait_s, max(self.watch_wait_s, longest_s))

    def random_quiet_wait_s(
        self,
        peers: int,
        kind: StateKind,
        rng: random.Random,
        after_change: bool = False,
    ) -> float:
        """Return a random wait for the next watch of a kind that rarely changes.

        Parameters
        ----------
        after_change : bool
            Whether the last watch returned a change. All routers then begin their
            watches together, and the first that ends shows whether answers are lost.
        """
        part = rng.uniform(0.6, 1.0)
        fleet_s = self.state_wait_s * (peers + 1)
        is_state = kind in (
            StateKind.ROUTING,
            StateKind.EVACUATIONS,
            StateKind.ROLLOUTS,
        )
        if is_state and fleet_s < self.quiet_wait_s:
            return fleet_s * (rng.uniform(0.05, 1.0) if after_change else part)
        return max(self.random_watch_wait_s(peers, rng), self.quiet_wait_s * part)


class ShutdownSettings(_Model):
    """Graceful shutdown of a router.

    Attributes
    ----------
    grace_s : float
        Time between the stop signal and the forced end of the process.
    accept_s : float
        How long new streams are still accepted: the load balancer checks health
        once a second and removes a router after two failed checks.
    margin_s : float
        Time before the forced end at which open requests are cancelled.
    """

    grace_s: float = Field(8.0, gt=0, le=3600)
    accept_s: float = Field(3.0, ge=0, le=3600)
    margin_s: float = Field(0.8, ge=0, le=60)


class EdgeSettings(_Model):
    """All settings of an edge router.

    Attributes
    ----------
    rollouts : RolloutSettings or None
        None where no roll-outs are in force; their orders are then not followed.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, arbitrary_types_allowed=True)

    name: str = Field(min_length=1, max_length=255)
    zone: str = Field(min_length=1, max_length=255)
    listen: ListenSettings
    sync: SyncSettings
    stop: ShutdownSettings = ShutdownSettings()
    send_limits: SendLimitSettings = SendLimitSettings()
    placement: PlacementSettings = PlacementSettings()
    health: HealthSettings = HealthSettings()
    admission: AdmissionSettings = AdmissionSettings()
    shares: ShareSettings = ShareSettings()
    overload: OverloadSettings = OverloadSettings()
    handoff: HandoffSettings = HandoffSettings()
    directory: DirectorySettings = DirectorySettings()
    rollouts: RolloutSettings | None = None
    max_open_requests: int = Field(2_000, ge=1)
    max_body_memory_bytes: int = Field(64 * 1024 * 1024, ge=1)
    # For bodies of up to 64 KiB, which don't wait: beyond the memory of all kinds
    # together, new requests are refused.
    max_small_body_memory_bytes: int = Field(16 * 1024 * 1024, ge=1)
    # For answers that are passed on when they are whole.
    max_answer_memory_bytes: int = Field(16 * 1024 * 1024, ge=1)
    # For what transports towards upstreams have not sent.
    max_unsent_memory_bytes: int = Field(8 * 1024 * 1024, ge=1)
    # For unfinished request heads, pipelined requests and unread answers.
    max_connection_memory_bytes: int = Field(32 * 1024 * 1024, ge=1)
