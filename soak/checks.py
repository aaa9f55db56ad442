"""Checks of the router's guarantees against what callers and engines recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from callers import DEADLINE_S, Attempt
from disruptions import HARNESS
from engines import COLD_PER_S
from world import World

__all__ = ["ENDS_UNTIL_KNOWN", "SETTLE_S", "find_violations"]

# Statuses by which the router guarantees that a request did not and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REPEATABLE_KINDS = frozenset({"safe", "resume", "version"})
# A component counts as undisrupted only this long after its last disruption.
SETTLE_S = 3.0
DRAIN_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
APPLY_LIMIT_S = 2.0
VERSION_ORDER_MARGIN_S = 0.25
# Tolerance on time limits, for the response to reach the caller on a busy machine.
RESPONSE_MARGIN_S = 0.5
# A request in transit while the router process exits is reset within this time.
EXIT_RACE_S = 0.1
# After this part of a pause, at most so many requests arrive from one router.
PAUSE_START_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# Engines that may end under a segment before it is known, and requests after that.
ENDS_UNTIL_KNOWN = 5
MAX_BAD_PROMPTS_AFTER = 3
# Time after which all routers know of a limit, and span in which it holds.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
MAX_COLD_REQUESTS_PER_S = COLD_PER_S * 1.5 + 5.0


def find_violations(world: World) -> list[str]:
    """Return one line for each violated guarantee."""
    found = []
    for check in (
        _bodies,
        _runs,
        _times,
        _leaving,
        _announced,
        _paused,
        _evacuated,
        _cold,
        _limited,
        _versions,
        _keys,
        _stops,
        _bad_segments,
        _sound_prompts,
    ):
        found += [f"{check.__name__.strip('_')}: {text}" for text in check(world)]
    return found


def _bodies(world: World) -> Iterator[str]:
    """Yield 200 responses whose body is wrong or whose events are out of sequence."""
    for attempt in world.callers.attempts:
        if attempt.status == 200 and attempt.complete:
            mismatch = attempt.body_mismatch()
            if mismatch:
                yield f"{attempt.request_id} ({attempt.kind}) complete with {mismatch}"
        elif attempt.kind in ("stream", "resume") and attempt.status == 200:
            numbers = [number for number, _ in attempt.events()]
            if numbers != list(range(1, len(numbers) + 1)):
                yield f"{attempt.request_id} truncated after events {numbers}"


def _runs(world: World) -> Iterator[str]:
    """Yield requests that ran more often than allowed or despite a refusal."""
    runs = Counter(arrival.request_id for arrival in world.arrivals)
    known = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for request_id, count in runs.items():
        attempt = known.get(request_id)
        if attempt is None:
            yield f"{request_id} ran but no caller sent it"
        elif count > 1 and attempt.kind not in REPEATABLE_KINDS:
            yield f"{request_id} ({attempt.kind}) ran {count} times"
        elif (
            attempt.kind not in REPEATABLE_KINDS and attempt.status in NOT_RUN_STATUSES
        ):
            yield f"{request_id} ({attempt.kind}) got {attempt.status} and ran"


def _times(world: World) -> Iterator[str]:
    """Yield requests whose response came after the deadline."""
    for attempt in world.callers.attempts:
        took_s = attempt.ended_s - attempt.sent_s
        if took_s <= DEADLINE_S + RESPONSE_MARGIN_S or _harness_late(world, attempt):
            continue
        if _undisrupted(world, attempt, attempt.ended_s):
            yield f"{attempt.request_id} ({attempt.kind}) answered after {took_s:.2f} s"


def _leaving(world: World) -> Iterator[str]:
    """Yield requests sent to an engine too long after it reported draining."""
    attempts = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for arrival in world.arrivals:
        at_s = world.accepted_changes.drained.get(arrival.engine_id)
        if at_s is None or arrival.at_s < at_s + DRAIN_LIMIT_S + RESPONSE_MARGIN_S:
            continue
        if _undisrupted(world, attempts[arrival.request_id], arrival.at_s):
            late_s = arrival.at_s - at_s
            yield f"{arrival.request_id} reached a leaving engine after {late_s:.2f} s"


def _announced(world: World) -> Iterator[str]:
    """Yield requests sent to an engine too long after it told a router it leaves."""
    attempts = {attempt.request_id: attempt for attempt in world.callers.attempts}
    told = {key: at_s for e in world.engines for key, at_s in e.announced.items()}
    for arrival in world.arrivals:
        at_s = told.get((arrival.router, arrival.engine_id))
        if at_s is None or arrival.at_s < at_s + DRAIN_LIMIT_S + RESPONSE_MARGIN_S:
            continue
        if _undisrupted(world, attempts[arrival.request_id], arrival.at_s):
            late_s = arrival.at_s - at_s
            yield f"{arrival.request_id} sent {late_s:.2f} s after the announcement"


def _paused(world: World) -> Iterator[str]:
    """Yield pauses in which a router sent more than two further requests."""
    for engine in world.engines:
        for router, engine_id, began_s, until_s in engine.pauses:
            components = [("router", router), ("stop", router)]
            if not world.disruptions.undisrupted(components, began_s, until_s):
                continue
            # Requests that are turned away arrive as well.
            count = sum(
                (other, other_id) == (router, engine_id)
                and began_s + PAUSE_START_S < at_s < until_s
                for other, other_id, at_s, _ in engine.pauses
            )
            if count > MAX_REQUESTS_IN_PAUSE:
                yield f"{engine_id} got {count} requests from {router} in its pause"


def _evacuated(world: World) -> Iterator[str]:
    """Yield requests sent to an availability zone while it was evacuated."""
    zones = {engine.name: engine.zone for engine in world.engines}
    attempts = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for arrival in world.arrivals:
        zone = zones[arrival.engine_id.partition("-")[0]]
        for evacuated, began_s, ended_s in world.accepted_changes.evacuated:
            inside = arrival.at_s > began_s + EVACUATION_LIMIT_S and (
                ended_s is None or arrival.at_s < ended_s
            )
            attempt = attempts[arrival.request_id]
            if (
                zone == evacuated
                and inside
                and _undisrupted(world, attempt, arrival.at_s)
            ):
                yield f"{arrival.request_id} reached evacuated zone {zone}"


def _cold(world: World) -> Iterator[str]:
    """Yield cold engines whose request rate exceeded the limit."""
    reached = defaultdict(list)
    for arrival in world.arrivals:
        reached[arrival.engine_id].append(arrival.at_s)
    for engine in world.engines:
        for engine_id, began_s, ended_s in engine.cold_spans:
            times = [t for t in reached[engine_id] if began_s <= t <= ended_s]
            peak = max((_count_within_second(times, t) for t in times), default=0)
            if peak > MAX_COLD_REQUESTS_PER_S:
                yield f"{engine_id} got {peak} requests in a second while cold"


def _limited(world: World) -> Iterator[str]:
    """Yield engines that got more than one and a half times their limit."""
    for engine in world.engines:
        for engine_id, per_s, began_s, ended_s in engine.limits:
            times = sorted(
                arrival.at_s
                for arrival in world.arrivals
                if arrival.engine_id == engine_id
                and began_s + LIMIT_KNOWN_S <= arrival.at_s <= ended_s
                and world.disruptions.undisrupted(
                    [("router", arrival.router), ("stop", arrival.router)],
                    arrival.at_s - SETTLE_S,
                    arrival.at_s,
                )
            )
            allowed = 1.5 * per_s * LIMIT_WINDOW_S + 5
            for begin_s in times:
                count = sum(begin_s <= t < begin_s + LIMIT_WINDOW_S for t in times)
                if count > allowed:
                    yield f"{engine_id} got {count} requests in 4 s, allowed {allowed}"
                    break


def _count_within_second(times: list[float], begin_s: float) -> int:
    return sum(begin_s <= t < begin_s + 1.0 for t in times)


def _versions(world: World) -> Iterator[str]:
    """Yield requests for which an outdated configuration version was in force."""
    newest: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for attempt in world.callers.attempts:
        if attempt.kind != "version" or attempt.status is None:
            continue
        known = attempt.status not in (404, 503)
        if known:
            process = attempt.router, attempt.incarnation
            newest[process].append((attempt.ended_s, attempt.version))
        yield from _outdated_version(world, attempt)
    for attempt in world.callers.attempts:
        if attempt.kind != "version" or attempt.status in (None, 404, 503):
            continue
        process = attempt.router, attempt.incarnation
        for seen_s, version in newest[process]:
            if (
                version > attempt.version
                and attempt.sent_s > seen_s + VERSION_ORDER_MARGIN_S
            ):
                yield (
                    f"{attempt.request_id} was handled by version {attempt.version} "
                    f"after {attempt.router} had served version {version}"
                )
                break


def _outdated_version(world: World, attempt: Attempt) -> Iterator[str]:
    versions = world.accepted_changes.versions
    current = max(v for v, at_s in versions.items() if at_s <= attempt.sent_s)
    since_s = attempt.sent_s - versions[current]
    if since_s < APPLY_LIMIT_S + RESPONSE_MARGIN_S or not _undisrupted(
        world, attempt, attempt.ended_s
    ):
        return
    if attempt.version == current and attempt.status == 404:
        yield f"{attempt.request_id}: version {current} unknown after {since_s:.2f} s"
    if attempt.version < current and attempt.status not in (404, 503):
        yield f"{attempt.request_id}: version {attempt.version} after {since_s:.2f} s"


def _keys(world: World) -> Iterator[str]:
    """Yield requests that were served with a revoked API key."""
    for attempt in world.callers.attempts:
        at_s = world.accepted_changes.revoked.get(attempt.key)
        if at_s is None or attempt.sent_s < at_s + APPLY_LIMIT_S + RESPONSE_MARGIN_S:
            continue
        if attempt.status == 200 and _undisrupted(world, attempt, attempt.ended_s):
            yield f"{attempt.request_id} was served with a revoked key"


def _stops(world: World) -> Iterator[str]:
    """Yield incomplete responses although only a router stop was in progress."""
    reached = {arrival.request_id for arrival in world.arrivals}
    for attempt in world.callers.attempts:
        if attempt.status is not None and attempt.complete:
            continue
        if "Cannot connect" in attempt.error or attempt.ended_s == 0.0:
            continue
        span = attempt.sent_s - SETTLE_S, attempt.ended_s
        components = [("router", attempt.router), ("engine",), ("store",)]
        if not world.disruptions.undisrupted(components, *span) or _harness_late(
            world, attempt
        ):
            continue
        if attempt.request_id not in reached and _raced_with_exit(world, attempt):
            continue
        yield f"{attempt.request_id} ({attempt.kind}) cut: {attempt.error}"


def _bad_segments(world: World) -> Iterator[str]:
    """Yield segments that still reached engines after they had ended several."""
    for segment in world.bad_segments:
        ends_s = [at_s for ended, at_s in world.segment_ends if ended == segment]
        if len(ends_s) < ENDS_UNTIL_KNOWN:
            continue
        known_s = ends_s[ENDS_UNTIL_KNOWN - 1] + SETTLE_S
        late = [
            arrival
            for arrival in world.arrivals
            if segment in arrival.segments
            and arrival.at_s > known_s
            and world.disruptions.undisrupted(
                [("router", arrival.router), ("stop", arrival.router), ("store",)],
                arrival.at_s - SETTLE_S,
                arrival.at_s,
            )
        ]
        if len(late) > MAX_BAD_PROMPTS_AFTER:
            ended = len(ends_s)
            yield f"{segment} reached engines {len(late)} times more; {ended} ended"


def _sound_prompts(world: World) -> Iterator[str]:
    """Yield requests that were refused for a segment that ends no engine."""
    for attempt in world.callers.attempts:
        sound = not world.bad_segments.intersection(attempt.segments)
        if sound and b"refusal:crashing-prompt" in attempt.body:
            yield f"{attempt.request_id} refused for one of {attempt.segments}"


def _harness_late(world: World, attempt: Attempt) -> bool:
    """Return whether the soak's own event loop lagged while a request was open."""
    return not world.disruptions.undisrupted([HARNESS], attempt.sent_s, attempt.ended_s)


def _raced_with_exit(world: World, attempt: Attempt) -> bool:
    """Return whether a request was reset by an exiting process before it was read."""
    at_once = attempt.ended_s - attempt.sent_s < EXIT_RACE_S
    stop = [("stop", attempt.router)]
    stopping = not world.disruptions.undisrupted(stop, attempt.sent_s, attempt.ended_s)
    return at_once and stopping and attempt.status is None


def _undisrupted(world: World, attempt: Attempt, until_s: float) -> bool:
    """Return whether a router and its store connection were undisrupted."""
    components = [
        ("router", attempt.router),
        ("stop", attempt.router),
        ("store",),
    ]
    from_s = min(attempt.sent_s, until_s) - SETTLE_S
    return world.disruptions.undisrupted(components, from_s, until_s)
