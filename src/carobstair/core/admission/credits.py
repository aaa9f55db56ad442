"""Credits of the workspaces that ask for more than their share."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from carobstair.core.admission.pool_shares import PoolShares
from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.settings import AdmissionSettings
from carobstair.core.admission.shares import DemandRate

__all__ = ["Credit", "Credits"]

# Time for which a workspace may save its part of the room.
ROOM_BURST_S = 0.1
# Below this a retry arrives before anything can have changed.
MIN_RETRY_S = 0.03
# Retry-After of requests without a promise, for each multiple of the share that their
# workspace asks for: overloads last for seconds, and returns are spread over them.
RETRY_PER_LOAD_S = 1.0


@dataclass(slots=True)
class Credit:
    """Tokens that a workspace beyond its share may still begin.

    Attributes
    ----------
    tokens : float
    part : float
        Its share relative to its demand.
    room_tokens : float
        What it may begin in addition while engines have room.
    promised_s : float
        Time until which what it earns is promised to refused callers.
    """

    tokens: float
    part: float
    room_tokens: float = 0.0
    promised_s: float = -math.inf


@dataclass(slots=True)
class Credits:
    """Credits by pool and workspace.

    Parameters
    ----------
    settings : AdmissionSettings
    rng : random.Random
    """

    settings: AdmissionSettings
    rng: random.Random
    by_key: dict[tuple[str, str], Credit] = field(default_factory=dict)
    # Tokens admitted lately here.
    _begun: dict[tuple[str, str], DemandRate] = field(default_factory=dict)

    def earn(
        self,
        request: AdmissionRequest,
        pool: PoolShares,
        part: float,
        rate_before: float,
        drained: float,
        now_s: float,
    ) -> Credit:
        """Return the credit of a workspace when a request arrives.

        It grows by the admitted part of the demand as that leaves the estimate, so the
        tokens that begin do not depend on how often a router sees the workspace.
        """
        settings, tokens = self.settings, request.tokens
        key = request.pool, request.workspace
        credit = self.by_key.get(key)
        if credit is None:
            # It owes what it began beyond its share until now. Of all first requests
            # the same part is admitted.
            begun = self._begun.get(key)
            begun_per_s = 0.0
            if begun is not None:
                begun_per_s = begun.rate(now_s, settings.demand_window_s)
            owed_per_s = max(0.0, begun_per_s - part * rate_before)
            most = settings.max_debt_s * part * rate_before
            owed = min(owed_per_s * settings.demand_window_s, most)
            credit = Credit(tokens * (part - self.rng.random()) - owed, part)
            self.by_key[key] = credit
            return credit
        saved = part * rate_before * settings.burst_s
        credit.tokens = min(credit.tokens + part * drained, saved + part * tokens)
        credit.part = part
        # Room is shared like the supply, whatever the number of requests.
        room_part = part * (min(pool.room_level / pool.level, 1.0 / part) - 1.0)
        saved = room_part * (rate_before * ROOM_BURST_S + tokens)
        credit.room_tokens = min(credit.room_tokens + room_part * drained, saved)
        return credit

    def note_admitted(self, request: AdmissionRequest, now_s: float) -> None:
        """Count an admitted request, whether its workspace has a credit or not."""
        key = request.pool, request.workspace
        begun = self._begun.get(key)
        if begun is None:
            begun = self._begun[key] = DemandRate(0.0, now_s)
        begun.add(request.tokens, now_s, self.settings.demand_window_s)

    def forget(self, key: tuple[str, str]) -> None:
        """Drop what is known of a workspace that asks no more."""
        self.by_key.pop(key, None)
        self._begun.pop(key, None)

    def charge(
        self, credit: Credit, tokens: float, by_room: bool, earned_per_s: float
    ) -> None:
        """Take the tokens of an admitted request from a credit.

        Parameters
        ----------
        by_room : bool
            Whether it is admitted beyond the share.
        earned_per_s : float
            What the workspace earns here.
        """
        if by_room and credit.room_tokens > 0:
            credit.room_tokens -= tokens
            return
        if not by_room:
            credit.tokens -= tokens
            return
        debt = self.settings.max_debt_s * earned_per_s
        credit.tokens = max(credit.tokens - tokens, -debt - tokens)

    def note_demand(self, key: tuple[str, str], rate: float, drained: float) -> None:
        """Let a credit grow with a request on which no decision is made."""
        credit = self.by_key.get(key)
        if credit is not None:
            saved = credit.part * rate * self.settings.burst_s
            credit.tokens = min(credit.tokens + credit.part * drained, saved)

    def retry_after_s(
        self,
        request: AdmissionRequest,
        part: float,
        earned_per_s: float,
        ahead: float,
        now_s: float,
    ) -> float:
        """Return when a refused request will begin by the share of its workspace.

        What the workspace earns is promised to as many callers as can begin in time;
        the others are told to come back when the load may have fallen.

        Parameters
        ----------
        part : float
            Share of the workspace relative to its demand.
        earned_per_s : float
            What the workspace earns here.
        ahead : float
            Load of the engines relative to its target.
        """
        settings = self.settings
        in_time_s = settings.promise_part * max(request.objective_s, 0.0)
        drained_s = max(0.0, ahead - 1.0) * settings.hold_s
        credit = self.by_key.get((request.pool, request.workspace))
        if credit is None:
            return max(in_time_s, drained_s, MIN_RETRY_S)
        earned_per_s = max(earned_per_s, 1.0)
        owed_s = max(0.0, -credit.tokens) / earned_per_s
        begins_s = max(now_s + owed_s + drained_s, credit.promised_s)
        if not request.returned and begins_s - now_s <= in_time_s:
            credit.promised_s = begins_s + request.tokens / earned_per_s
            return max(begins_s - now_s, MIN_RETRY_S)
        retry_s = max(in_time_s, RETRY_PER_LOAD_S / part) + drained_s
        return min(retry_s, settings.max_retry_after_s)
