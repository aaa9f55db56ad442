"""Settings of the edge router, whatever file they come from."""

from __future__ import annotations

import random

from pydantic import BaseModel, ConfigDict, Field

from carobstair.core.directory import DirectorySettings
from carobstair.core.engine_load import PlacementSettings
from carobstair.core.fair_admission import AdmissionSettings
from carobstair.core.overload import OverloadSettings
from carobstair.core.send_limits import SendLimitSettings
from carobstair.core.upstream_health import HealthSettings

__all__ = ["EdgeSettings", "ListenSettings", "StopSettings", "SyncSettings"]

# Digests that may be missed before a peer counts as silent: one is lost now and
# then, and a slow machine is late with the next.
MISSED_DIGESTS = 3
# The store ends a watch at 30 s.
LONGEST_WATCH_S = 30.0


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Model):
    """Addresses of this process, and how many callers' connections it keeps.

    Attributes
    ----------
    max_kept : int
        Open connections beyond which answers close theirs. At the limit of
        descriptors a server takes no connection for a whole second.
    """

    host: str
    callers_port: int = Field(ge=1, le=65535)
    ready_port: int = Field(ge=1, le=65535)
    peer_port: int = Field(ge=1, le=65535)
    metrics_port: int = Field(ge=1, le=65535)
    max_kept: int = Field(1_000, ge=1)


class SyncSettings(_Model):
    """How the router follows the store and its peers.

    Attributes
    ----------
    watch_wait_s : float
        How long a watch waits for a change. A silent connection is noticed after
        this and the client's margin, within the three seconds after which a
        router counts as in touch again.
    watch_pause_s : float
        Pause after a watch that brought changes, before the next: upstreams that
        register or leave together are read together.
    longest_pause_s : float
        Most of this pause in large fleets; a small part of the two seconds within
        which a change is to be in force.
    behind_s : float
        How long a peer may be ahead before its changes are fetched from it.
    drift_tokens : int
        Change of a router's prompt backlog after which it sends a digest early,
        times the slowdown: in a large fleet few routers hold most of the load, and
        what they hold changes faster than the others need to speak.
    demand_s : float
        How often digests tell demand; it is an average over a longer time.
    far_slowdown : int
        In fleets beyond the full rate, peers in other zones get every so many
        digests: bytes between zones are dear, and most requests stay in theirs.
    full_rate_peers : int
        Peers up to which digests go out at the full rate. Larger fleets slow down
        in proportion, so that what a router receives stays the same in number.
    watches_per_s : float
        Watches of one kind of state that the fleet ends in a second while nothing
        changes; each costs a call of the store. News travels by peers meanwhile.
    """

    store_address: str = Field(pattern=r"^\S+:\d+$")
    watch_wait_s: float = Field(1.5, gt=0, le=30)
    watch_pause_s: float = Field(0.1, ge=0, le=10)
    longest_pause_s: float = Field(0.4, ge=0, le=10)
    routers_wait_s: float = Field(10.0, gt=0, le=30)
    retry_s: float = Field(0.1, gt=0, le=10)
    longest_retry_s: float = Field(0.5, gt=0, le=30)
    digest_s: float = Field(0.1, gt=0, le=10)
    behind_s: float = Field(0.2, gt=0, le=10)
    peer_silence_s: float = Field(1.0, gt=0, le=60)
    full_rate_peers: int = Field(12, ge=1)
    watches_per_s: float = Field(5.0, gt=0)
    drift_tokens: int = Field(8_000, ge=1)
    demand_s: float = Field(0.3, gt=0, le=10)
    far_slowdown: int = Field(4, ge=1)
    seeds: list[str] = []

    def slowdown(self, peers: int) -> float:
        """Return by which factor intervals are longer for the fleet's size."""
        return max(1.0, peers / self.full_rate_peers)

    def far_factor(self, peers: int, far: bool) -> int:
        """Return how many times longer intervals are to other zones."""
        return self.far_slowdown if far and peers > self.full_rate_peers else 1

    def digest_interval_s(self, peers: int, far: bool) -> float:
        """Return the longest time between two digests of this router.

        Parameters
        ----------
        far : bool
            To peers in other zones.
        """
        return self.digest_s * self.slowdown(peers) * self.far_factor(peers, far)

    def drift_limit(self, peers: int, far: bool) -> float:
        """Return the change of backlog after which a digest goes out early."""
        return self.drift_tokens * self.slowdown(peers) * self.far_factor(peers, far)

    def silence_s(self, peers: int, far: bool) -> float:
        """Return after which silence a peer counts as lost."""
        interval_s = self.digest_interval_s(peers, far)
        return max(self.peer_silence_s, MISSED_DIGESTS * interval_s)

    def retry_limit_s(self, peers: int) -> float:
        """Return the longest pause between two calls to a store that fails.

        Twice as long in large fleets, where peers bring the changes meanwhile.
        """
        return self.longest_retry_s * min(2.0, self.slowdown(peers))

    def pause_s(self, peers: int) -> float:
        """Return the pause after a watch that brought changes."""
        return min(self.longest_pause_s, self.watch_pause_s * self.slowdown(peers))

    def draw_watch_s(self, peers: int, rng: random.Random) -> float:
        """Return how long the next watch waits for a change.

        In a large fleet the waits differ, so that some watch ends at any time and
        a store connection that went silent everywhere is noticed as early as in
        a small one.
        """
        mean_s = max(self.watch_wait_s, peers / self.watches_per_s)
        longest_s = 2.0 * min(mean_s, LONGEST_WATCH_S / 2.0) - self.watch_wait_s
        return rng.uniform(self.watch_wait_s, max(self.watch_wait_s, longest_s))


class StopSettings(_Model):
    """How a router leaves.

    Attributes
    ----------
    grace_s : float
        Time between the signal to stop and the end of the process by force.
    accept_s : float
        How long new streams are still taken: the balancer asks once a second
        and takes a router out after two misses.
    margin_s : float
        Time before the end by force at which what still runs is broken off.
    """

    grace_s: float = Field(8.0, gt=0, le=3600)
    accept_s: float = Field(3.0, ge=0, le=3600)
    margin_s: float = Field(0.8, ge=0, le=60)


class EdgeSettings(_Model):
    """All settings of an edge router."""

    model_config = ConfigDict(extra="forbid", frozen=True, arbitrary_types_allowed=True)

    name: str = Field(min_length=1, max_length=255)
    zone: str = Field(min_length=1, max_length=255)
    listen: ListenSettings
    sync: SyncSettings
    stop: StopSettings = StopSettings()
    send_limits: SendLimitSettings = SendLimitSettings()
    placement: PlacementSettings = PlacementSettings()
    health: HealthSettings = HealthSettings()
    admission: AdmissionSettings = AdmissionSettings()
    overload: OverloadSettings = OverloadSettings()
    directory: DirectorySettings = DirectorySettings()
    max_open_requests: int = Field(2_000, ge=1)
