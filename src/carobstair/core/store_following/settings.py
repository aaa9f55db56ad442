"""Times and thresholds of following the store by few routers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FollowingSettings"]


@dataclass(frozen=True, slots=True)
class FollowingSettings:
    """Who watches the store, and when the others watch by themselves.

    Attributes
    ----------
    followers_per_zone : int
        Number of routers of a zone that watch: with three, one may be frozen and
        another cut off from the store while a change is still seen at once.
    busy_from, calm_below : float
        Utilisation from which a router leaves the watching to others, and below which
        it watches again. The distance keeps it from changing with each measurement.
    relief_s : float
        How long a selected router that became busy watches on at least: longer than
        `announce_every_s`, so that one announcement that it is busy may be lost before
        it relies on others, which may have become busy at the same time.
    announce_every_s : float
        Interval of announcements while nothing changes; two may be lost before a
        receiver watches by itself.
    announce_gap_s : float
        Shortest time between two announcements: changes that come together take one.
    silence_s : float
        Time without an announcement after which a router watches by itself.
    resume_spread_s : float
        Time over which the routers of a zone begin to watch by themselves. The first
        that succeeds announces it, and the others need not begin.
    answered_within_s : float
        Age of the store's last answer up to which the store counts as answering.
    failing_for_s : float
        How long all calls, or those of one urgent kind, fail before the store counts as
        not answering. A single call that fails is repeated within this time.
    first_wait_s : float
        Longest watch of the first of the watching routers, for state that must take
        effect within 2 s. Only the end of a watch shows that its answer was lost, and
        the client waits for 0.8 s longer.
    other_upstreams_wait_s, other_wait_s : float
        The same for the other watching routers, for upstreams and for the rest. The
        watch of the upstreams shows whether the store answers, and has to end before
        `answered_within_s`.
    first_pause_s, other_pause_s : float
        Pause after a watch of the upstreams that returned changes. While upstreams
        change all the time, each watching router makes a call per pause; the others
        of them read what the first announces.
    routers_pause_s : float
        The same for routers, whose addresses digests carry as well.
    start_pause_s : float
        Longest pause between a list of a kind and its first watch. In a fleet that
        starts, most routers hear an announcement meanwhile and need no watch.
    pull_spread_s : float
        Time over which the routers of a zone pull a change, for each of them. Meanwhile
        the other routers that watch announce it too, and the pulls divide among them.
    follower_pull_delay_s : float
        Delay of the pull of a router that watches and is about to read the change
        from the store.
    pull_timeout_s : float
        Time without an answer after which another router is asked.
    pull_rest_s : float
        Time for the rest of an answer, which has a message for each kind.
    alone_after_s : float
        Time that a router stays behind an announcement before it watches by itself.
    alone_for_s : float
        How long it then goes on.
    relist_first_s : float
        Time that a router has to list a store of a newer era before it pulls its state.
    verify_for_s : float
        Time for a check of the store that follows the announcement of another router
        that it is not answered; calls take some milliseconds. After it the store
        counts as not answering until it does.
    verify_every_s : float
        Shortest time between two such checks.
    """

    followers_per_zone: int = 3
    busy_from: float = 0.8
    calm_below: float = 0.65
    relief_s: float = 0.7
    announce_every_s: float = 0.5
    announce_gap_s: float = 0.05
    silence_s: float = 1.5
    resume_spread_s: float = 0.5
    answered_within_s: float = 4.0
    failing_for_s: float = 0.5
    first_wait_s: float = 1.1
    other_upstreams_wait_s: float = 3.3
    other_wait_s: float = 6.6
    first_pause_s: float = 0.25
    other_pause_s: float = 0.75
    routers_pause_s: float = 1.0
    start_pause_s: float = 0.6
    pull_spread_s: float = 0.001
    follower_pull_delay_s: float = 0.2
    pull_timeout_s: float = 0.3
    pull_rest_s: float = 0.1
    alone_after_s: float = 1.0
    alone_for_s: float = 5.0
    relist_first_s: float = 1.0
    verify_for_s: float = 0.1
    verify_every_s: float = 1.0
