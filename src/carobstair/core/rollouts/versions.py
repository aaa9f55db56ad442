"""Which upstreams of a service may get requests, by their version."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.rollouts.controller import RolloutController
from carobstair.core.rollouts.orders import OrderState, RolloutOrder, RolloutState
from carobstair.core.rollouts.settings import RolloutSettings
from carobstair.core.shares import rendezvous_rank

__all__ = ["VersionGate", "VersionPlan"]

# A single upstream that fails could not be told from a bad version.
MIN_SELECTED = 2
# Plans are computed anew after this time, as upstreams come, leave and warm up.
PLAN_TTL_S = 0.05
# A router that starts after an order was completed hides other versions for this time:
# replaced upstreams stop at completion, and are unlisted by then.
REPLACED_HOLD_S = 10.0


@dataclass(frozen=True, slots=True)
class VersionPlan:
    """Upstreams of a service that may get requests.

    Attributes
    ----------
    share : float
        Share of the requests for the new version.
    new, old : frozenset of str
        Ids of the upstreams of the new version that share it, and of the others.
    hidden : int
        Number of listed upstreams that get no ordinary requests.
    """

    share: float
    new: frozenset[str]
    old: frozenset[str]
    hidden: int

    @property
    def in_use(self) -> frozenset[str]:
        """Ids of the upstreams that get ordinary requests."""
        if self.share >= 1.0 and self.new:
            return self.new
        return self.old | self.new


@dataclass(slots=True)
class VersionGate:
    """Filters the upstreams of a service by the order that runs or ended.

    Parameters
    ----------
    directory : UpstreamDirectory
    controller : RolloutController
    settings : RolloutSettings
    """

    directory: UpstreamDirectory
    controller: RolloutController
    settings: RolloutSettings
    _held_until_s: dict[str, dict[str, float]] = field(default_factory=dict)
    # Version that runs, by service: that of the oldest upstream, then of each order.
    _running: dict[str, str] = field(default_factory=dict)
    _plans: dict[str, tuple[float, int, VersionPlan | None]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.controller.count_target = self.count_target
        self.controller.skip_reason = self.skip_reason

    def plan(self, service: str, now_s: float) -> VersionPlan | None:
        """Return the plan for a service; None if all its upstreams may be used."""
        known = self._plans.get(service)
        generation = self.controller.generation
        is_current = known is not None and known[1] == generation
        if is_current and 0.0 <= now_s - known[0] < PLAN_TTL_S:
            return known[2]
        plan = self._make_plan(service, now_s)
        self._plans[service] = now_s, generation, plan
        return plan

    def groups(
        self, service: str, draw: float, now_s: float
    ) -> list[frozenset[str]] | None:
        """Return sets of upstreams to choose from, the preferred one first.

        Parameters
        ----------
        draw : float
            Number of the request, evenly distributed between 0 and 1. It is drawn
            once for each request: one drawn for each attempt would raise the share
            while upstreams are busy.
        """
        plan = self.plan(service, now_s)
        if plan is None:
            return None
        if draw < plan.share or plan.share >= 1.0:
            return [plan.new, plan.old]
        return [plan.old]

    def allows(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Return whether an upstream may get a request now."""
        plan = self.plan(entry.service, now_s)
        if plan is None or entry.upstream_id in plan.old:
            return True
        return plan.share > 0.0 and entry.upstream_id in plan.new

    def in_use(
        self, service: str, entries: list[UpstreamEntry], now_s: float
    ) -> list[UpstreamEntry]:
        """Return those upstreams that get ordinary requests."""
        plan = self.plan(service, now_s)
        if plan is None:
            return entries
        return [entry for entry in entries if entry.upstream_id in plan.in_use]

    def hidden_count(self, service: str, now_s: float) -> int:
        """Return the number of listed upstreams that get no ordinary requests."""
        plan = self.plan(service, now_s)
        return 0 if plan is None else plan.hidden

    def count_target(self, service: str, version: str, now_s: float) -> int:
        """Return how many warm upstreams of a version may get requests."""
        warm, _ = self.directory.warm_and_cold(service, now_s)
        return sum(entry.version == version for entry in warm)

    def skip_reason(self, order: RolloutOrder, is_new: bool) -> str:
        """Return why an order can't be followed before it has begun, or nothing.

        Parameters
        ----------
        is_new : bool
            Whether the order appeared after this router started. Otherwise the new
            version may have more upstreams than the one that runs.
        """
        listed = self.directory.listed(order.service)
        versions = {entry.version for entry in listed if not entry.draining}
        if not listed:
            return "no upstream of the service is known"
        runs = self._running.get(order.service) == order.target
        if versions == {order.target} or (is_new and runs and order.target in versions):
            return "the version runs already"
        return ""

    def on_upstreams_changed(self) -> None:
        """Compute plans anew, so that a new version waits from its first moment on."""
        self._plans.clear()

    def keep(self, now_s: float) -> None:
        """Note the versions of all services, and forget services without upstreams."""
        services = self.directory.services()
        for service in services:
            self.plan(service, now_s)
        for service in [s for s in self._held_until_s if s not in services]:
            del self._held_until_s[service]
            self._plans.pop(service, None)
            self._running.pop(service, None)

    def _make_plan(self, service: str, now_s: float) -> VersionPlan | None:
        listed = self.directory.listed(service)
        if not listed:
            return None
        held = self._note_versions(service, listed, now_s)
        unfinished = self.controller.unfinished(service, {e.version for e in listed})
        state = self.controller.state_of(service)
        if state is None:
            allowed = self._released(listed, held, unfinished, now_s)
            if len(allowed) == len(listed):
                return None
            return _fixed(allowed, len(listed))
        # Once the order is removed, its version needs to wait for none.
        self._held_until_s[service][state.order.target] = now_s
        target = [e for e in listed if e.version == state.order.target]
        others = [e for e in listed if e.version != state.order.target]
        if state.final is RolloutState.COMPLETED:
            return self._completed_plan(state, target, others, held, unfinished, now_s)
        if all(e.draining for e in others):
            # Without the new version, the service would not be served at all.
            return None
        usable = self._released(others, held, unfinished, now_s)
        if state.final is RolloutState.ROLLED_BACK:
            return _fixed(usable, len(listed))
        share = self.controller.share(service, now_s)
        new = self._selected(state, target, len(usable), share, now_s)
        old = frozenset(e.upstream_id for e in usable)
        used = len(new) if share >= 1.0 and new else len(new) + len(old)
        return VersionPlan(share, new, old, len(listed) - used)

    def _released(
        self,
        entries: list[UpstreamEntry],
        held: set[str],
        unfinished: set[str],
        now_s: float,
    ) -> list[UpstreamEntry]:
        """Return upstreams that may be used, with hidden ones if no other serves.

        Versions that wait for an order come first. Those that never completed are
        the last, and a pause of the others is no reason to use them.
        """
        trusted = [e for e in entries if e.version not in unfinished]
        allowed = [e for e in trusted if e.version not in held]
        if any(self.directory.is_usable(e, now_s) for e in allowed):
            return allowed
        return entries if all(e.draining for e in trusted) else trusted

    def _completed_plan(
        self,
        state: OrderState,
        target: list[UpstreamEntry],
        others: list[UpstreamEntry],
        held: set[str],
        unfinished: set[str],
        now_s: float,
    ) -> VersionPlan:
        self._running[state.order.service] = state.order.target
        if state.replaced is None:
            state.replaced = frozenset((e.upstream_id, e.born_ms) for e in others)
            if not state.is_witnessed:
                # Some of them may have come after the completion, without an order.
                state.replaced_until_s = now_s + REPLACED_HOLD_S
        if not any(self.directory.is_usable(e, now_s) for e in target):
            listed = [*target, *others]
            allowed = self._released(listed, held, unfinished, now_s)
            return _fixed(allowed, len(listed))
        # Later versions may come without an order.
        replaced = state.replaced if now_s < state.replaced_until_s else frozenset()
        hidden = held | unfinished
        later = [
            e
            for e in others
            if e.version not in hidden and (e.upstream_id, e.born_ms) not in replaced
        ]
        return _fixed([*target, *later], len(target) + len(others))

    def _note_versions(
        self, service: str, listed: list[UpstreamEntry], now_s: float
    ) -> set[str]:
        """Return the versions that wait because an order may be on its way.

        At first sight, the version of the oldest upstream is the one that runs: in the
        middle of a roll-out, the new version may have more upstreams.
        """
        counts = Counter(entry.version for entry in listed)
        held_until_s = self._held_until_s.get(service)
        if held_until_s is None:
            held_until_s = self._held_until_s[service] = {}
            oldest = min(listed, key=lambda e: (e.born_ms, -counts[e.version]))
            held_until_s[oldest.version] = now_s
            self._running[service] = oldest.version
        for version in counts:
            held_until_s.setdefault(version, now_s + self.settings.unordered_hold_s)
        return {version for version in counts if now_s < held_until_s[version]}

    def _selected(
        self,
        state: OrderState,
        target: list[UpstreamEntry],
        old_count: int,
        share: float,
        now_s: float,
    ) -> frozenset[str]:
        """Return the upstreams of the new version that share its requests.

        So few that each is as loaded as the old ones are: a version that is bad under
        load only would not show otherwise. All routers select the same ones.
        """
        if share <= 0.0:
            return frozenset()
        usable = [e for e in target if self.directory.is_usable(e, now_s)]
        if share >= 1.0:
            return frozenset(entry.upstream_id for entry in usable)
        warm = [e.upstream_id for e in usable if not self.directory.is_cold(e, now_s)]
        count = max(MIN_SELECTED, round(old_count * share / (1.0 - share)))
        key = f"{state.started}\0{state.order.service}"
        return frozenset(rendezvous_rank(key, warm)[:count])


def _fixed(allowed: list[UpstreamEntry], listed: int) -> VersionPlan:
    """Return the plan by which only some upstreams are used."""
    ids = frozenset(entry.upstream_id for entry in allowed)
    return VersionPlan(0.0, frozenset(), ids, listed - len(ids))
