"""Expected time to the first byte at the mean upstream of a service."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WaitModel"]

# Fraction of the sums that a new sample replaces: some hundred samples count.
FORGET = 0.005
# Weight of the prior slopes, as sums of squared deviations: they hold until prompts
# have differed by about 2,000 tokens and concurrency by 2, twenty times over.
PRIOR_TOKENS2 = 20 * 2000.0**2
PRIOR_RUNNING2 = 20 * 2.0**2
# Increase of the time to the first token for each running request, by data sheet.
PRIOR_RUNNING_S = 0.002
PRIOR_BASE_S = 0.02
# Longer waits are those of a service in trouble, and would dominate the sums.
MAX_WAIT_S = 2.0
MIN_WAIT_S = 0.001
# Bound of the learnt read rate relative to the prior one, in both directions.
MAX_RATE_RATIO = 4.0
# Requests at an upstream from which a sample counts a quarter: queues that are known
# late hide the slopes.
QUIET_REQUESTS = 4.0


@dataclass(slots=True)
class WaitModel:
    """Linear regression of waits on the tokens to read and the requests that run.

    Older samples count less. The slopes stay near their priors until the samples
    differ enough.
    """

    prefill_tokens_per_s: float
    base_s: float = PRIOR_BASE_S
    token_s: float = 0.0
    running_s: float = PRIOR_RUNNING_S
    _level_count: float = 0.0
    _level_s: float = 0.0
    _count: float = 0.0
    _mean_tokens: float = 0.0
    _mean_running: float = 0.0
    _mean_wait_s: float = 0.0
    _tokens2: float = 0.0
    _running2: float = 0.0
    _tokens_running: float = 0.0
    _tokens_wait: float = 0.0
    _running_wait: float = 0.0

    def __post_init__(self) -> None:
        self.token_s = 1.0 / self.prefill_tokens_per_s

    def expected_s(self, tokens: float, running: float) -> float:
        """Return the expected wait."""
        return max(
            MIN_WAIT_S,
            self.base_s + self.token_s * tokens + self.running_s * running,
        )

    def note(self, tokens: float, running: float, waited_s: float) -> None:
        """Add a sample of an upstream that runs at its usual speed."""
        waited_s = min(waited_s, MAX_WAIT_S)
        self._level_count = self._level_count * (1.0 - FORGET) + 1.0
        self._level_s += (
            waited_s - self.token_s * tokens - self.running_s * running - self._level_s
        ) / self._level_count
        # Samples of busy upstreams neither add much nor replace those of quiet ones.
        quiet = 1.0 / (1.0 + running / QUIET_REQUESTS) ** 2
        keep = 1.0 - FORGET * quiet
        self._count = self._count * keep + quiet
        off_tokens = tokens - self._mean_tokens
        off_running = running - self._mean_running
        off_wait_s = waited_s - self._mean_wait_s
        share = quiet / self._count
        self._mean_tokens += share * off_tokens
        self._mean_running += share * off_running
        self._mean_wait_s += share * off_wait_s
        rest = quiet * (1.0 - share)
        self._tokens2 = keep * self._tokens2 + rest * off_tokens**2
        self._running2 = keep * self._running2 + rest * off_running**2
        self._tokens_running = (
            keep * self._tokens_running + rest * off_tokens * off_running
        )
        self._tokens_wait = keep * self._tokens_wait + rest * off_tokens * off_wait_s
        self._running_wait = keep * self._running_wait + rest * off_running * off_wait_s
        self._solve()

    def _solve(self) -> None:
        prior_token_s = 1.0 / self.prefill_tokens_per_s
        tokens2 = self._tokens2 + PRIOR_TOKENS2
        running2 = self._running2 + PRIOR_RUNNING2
        cross = self._tokens_running
        tokens_wait = self._tokens_wait + PRIOR_TOKENS2 * prior_token_s
        running_wait = self._running_wait + PRIOR_RUNNING2 * PRIOR_RUNNING_S
        # Positive, as the priors add to a positive semidefinite matrix.
        determinant = tokens2 * running2 - cross**2
        token_s = (tokens_wait * running2 - running_wait * cross) / determinant
        running_s = (running_wait * tokens2 - tokens_wait * cross) / determinant
        self.token_s = min(
            max(token_s, prior_token_s / MAX_RATE_RATIO), prior_token_s * MAX_RATE_RATIO
        )
        self.running_s = max(running_s, 0.0)
        # A few samples say little of the constant part.
        share = self._level_count / (self._level_count + 3.0)
        self.base_s = max(0.0, share * self._level_s + (1.0 - share) * PRIOR_BASE_S)
