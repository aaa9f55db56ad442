"""What callers and engines saw, held against what is promised."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from callers import DEADLINE_S, Attempt
from clock import HARNESS
from engines import COLD_PER_S
from world import World

__all__ = ["find_violations"]

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
REPEATABLE = frozenset({"safe", "resume", "version"})
# A part counts as calm once it has been undisturbed for so long.
CONTACT_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
APPLY_S = 2.0
ROLLBACK_S = 0.25
# Beyond a time limit, for the answer to reach the caller and for a busy machine.
LATE_S = 0.5
# A request that is on its way while the process ends is reset at once.
CROSSING_S = 0.1
COLD_BOUND = COLD_PER_S * 1.5 + 5.0


def find_violations(world: World) -> list[str]:
    """Return one line for each broken promise."""
    found = []
    for check in (
        _bodies,
        _runs,
        _times,
        _leaving,
        _evacuated,
        _cold,
        _versions,
        _keys,
        _stops,
    ):
        found += [f"{check.__name__.strip('_')}: {text}" for text in check(world)]
    return found


def _bodies(world: World) -> Iterator[str]:
    for attempt in world.callers.attempts:
        if attempt.status == 200 and attempt.complete:
            wrong = attempt.wrong_body()
            if wrong:
                yield f"{attempt.request_id} ({attempt.kind}) whole with {wrong}"
        elif attempt.kind in ("stream", "resume") and attempt.status == 200:
            numbers = [number for number, _ in attempt.events()]
            if numbers != list(range(1, len(numbers) + 1)):
                yield f"{attempt.request_id} broken off after events {numbers}"


def _runs(world: World) -> Iterator[str]:
    runs = Counter(arrival.request_id for arrival in world.arrivals)
    known = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for request_id, count in runs.items():
        attempt = known.get(request_id)
        if attempt is None:
            yield f"{request_id} ran and nobody had sent it"
        elif count > 1 and attempt.kind not in REPEATABLE:
            yield f"{request_id} ({attempt.kind}) ran {count} times"
        elif attempt.kind not in REPEATABLE and attempt.status in PROMISES:
            yield f"{request_id} ({attempt.kind}) got {attempt.status} and ran"


def _times(world: World) -> Iterator[str]:
    for attempt in world.callers.attempts:
        took_s = attempt.ended_s - attempt.sent_s
        if took_s <= DEADLINE_S + LATE_S or _harness_late(world, attempt):
            continue
        if _calm(world, attempt, attempt.ended_s):
            yield f"{attempt.request_id} ({attempt.kind}) answered after {took_s:.2f} s"


def _leaving(world: World) -> Iterator[str]:
    attempts = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for arrival in world.arrivals:
        at_s = world.acknowledged.drained.get(arrival.engine_id)
        if at_s is None or arrival.at_s < at_s + DRAIN_S + LATE_S:
            continue
        if _calm(world, attempts[arrival.request_id], arrival.at_s):
            late_s = arrival.at_s - at_s
            yield f"{arrival.request_id} reached a leaving engine after {late_s:.2f} s"


def _evacuated(world: World) -> Iterator[str]:
    zones = {engine.name: engine.zone for engine in world.engines}
    attempts = {attempt.request_id: attempt for attempt in world.callers.attempts}
    for arrival in world.arrivals:
        zone = zones[arrival.engine_id.partition("-")[0]]
        for evacuated, began_s, ended_s in world.acknowledged.evacuated:
            inside = arrival.at_s > began_s + EVACUATE_S and (
                ended_s is None or arrival.at_s < ended_s
            )
            attempt = attempts[arrival.request_id]
            if zone == evacuated and inside and _calm(world, attempt, arrival.at_s):
                yield f"{arrival.request_id} reached evacuated zone {zone}"


def _cold(world: World) -> Iterator[str]:
    reached = defaultdict(list)
    for arrival in world.arrivals:
        reached[arrival.engine_id].append(arrival.at_s)
    for engine in world.engines:
        for engine_id, began_s, ended_s in engine.cold_spans:
            times = [t for t in reached[engine_id] if began_s <= t <= ended_s]
            most = max((_within_a_second(times, t) for t in times), default=0)
            if most > COLD_BOUND:
                yield f"{engine_id} got {most} requests in a second while cold"


def _within_a_second(times: list[float], begin_s: float) -> int:
    return sum(begin_s <= t < begin_s + 1.0 for t in times)


def _versions(world: World) -> Iterator[str]:
    newest: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for attempt in world.callers.attempts:
        if attempt.kind != "version" or attempt.status is None:
            continue
        known = attempt.status not in (404, 503)
        if known:
            process = attempt.router, attempt.incarnation
            newest[process].append((attempt.ended_s, attempt.version))
        yield from _late_version(world, attempt)
    for attempt in world.callers.attempts:
        if attempt.kind != "version" or attempt.status in (None, 404, 503):
            continue
        process = attempt.router, attempt.incarnation
        for seen_s, version in newest[process]:
            if version > attempt.version and attempt.sent_s > seen_s + ROLLBACK_S:
                yield (
                    f"{attempt.request_id} was handled by version {attempt.version} "
                    f"after {attempt.router} had served version {version}"
                )
                break


def _late_version(world: World, attempt: Attempt) -> Iterator[str]:
    versions = world.acknowledged.versions
    current = max(v for v, at_s in versions.items() if at_s <= attempt.sent_s)
    since_s = attempt.sent_s - versions[current]
    if since_s < APPLY_S + LATE_S or not _calm(world, attempt, attempt.ended_s):
        return
    if attempt.version == current and attempt.status == 404:
        yield f"{attempt.request_id}: version {current} unknown after {since_s:.2f} s"
    if attempt.version < current and attempt.status not in (404, 503):
        yield f"{attempt.request_id}: version {attempt.version} after {since_s:.2f} s"


def _keys(world: World) -> Iterator[str]:
    for attempt in world.callers.attempts:
        at_s = world.acknowledged.revoked.get(attempt.key)
        if at_s is None or attempt.sent_s < at_s + APPLY_S + LATE_S:
            continue
        if attempt.status == 200 and _calm(world, attempt, attempt.ended_s):
            yield f"{attempt.request_id} was served with a key taken away"


def _stops(world: World) -> Iterator[str]:
    """Yield requests that a stopping router cut though all else was calm."""
    reached = {arrival.request_id for arrival in world.arrivals}
    for attempt in world.callers.attempts:
        if attempt.status is not None and attempt.complete:
            continue
        if "Cannot connect" in attempt.error or attempt.ended_s == 0.0:
            continue
        span = attempt.sent_s - CONTACT_S, attempt.ended_s
        parts = [("router", attempt.router), ("engine",), ("store",)]
        if not world.disturbed.calm(parts, *span) or _harness_late(world, attempt):
            continue
        if attempt.request_id not in reached and _crossed_exit(world, attempt):
            continue
        yield f"{attempt.request_id} ({attempt.kind}) cut: {attempt.error}"


def _harness_late(world: World, attempt: Attempt) -> bool:
    """Return whether the soak's own process was late while a request was open."""
    return not world.disturbed.calm([HARNESS], attempt.sent_s, attempt.ended_s)


def _crossed_exit(world: World, attempt: Attempt) -> bool:
    """Return whether a request met the end of a process that had not read it."""
    at_once = attempt.ended_s - attempt.sent_s < CROSSING_S
    stop = [("stop", attempt.router)]
    stopping = not world.disturbed.calm(stop, attempt.sent_s, attempt.ended_s)
    return at_once and stopping and attempt.status is None


def _calm(world: World, attempt: Attempt, until_s: float) -> bool:
    """Return whether a router had its process, its store and its engines."""
    parts = [
        ("router", attempt.router),
        ("stop", attempt.router),
        ("store",),
    ]
    from_s = min(attempt.sent_s, until_s) - CONTACT_S
    return world.disturbed.calm(parts, from_s, until_s)
