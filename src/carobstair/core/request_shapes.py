"""Sizes of model requests, the weights of placement, and requests in flight."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.prompt_homes import HomeSettings
from carobstair.core.upstream_capacity import CapacitySettings, Incarnation

__all__ = ["PlacementSettings", "PromptShape", "SentRequest"]

Segments = tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class PromptShape:
    """Sizes of a model request.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        `output_tokens` is the length that the caller expects, or the maximum.
    segments : tuple of (str, int)
        Segments of the prompt in order, each as its id and its number of tokens.
    shared_segments : tuple of str
        Ids of all segments but the last, which other requests may share. Given
        whatever else of the prompt is unknown.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    segments: Segments = ()
    shared_segments: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights of the estimated time to the first token.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prefill rate of an engine in prompt tokens a second, from its data sheet.
    backlog_weight : float
        Weight of the prompt tokens queued at an engine ahead of the request.
    uncached_weight : float
        Weight of the request's own tokens that the engine has not cached. Far above
        1: prefilling a segment twice takes time from every other request, whereas
        choosing an engine that has it cached costs only a longer wait.
    limited_uncached_weight : float
        The same at engines that limit their requests: they are short of sends, not of
        time to read, so long prompts are best placed there.
    limited_send_weight : float
        Weight of the time between two sends that such an engine accepts: each request
        takes it from the others whatever its size, so short ones are placed elsewhere.
    max_limited_send_s : float
        Bound of that cost, at which long prompts still prefer such an engine.
    running_request_s : float
        Delay per running request: a decode step takes longer with a larger batch.
    other_zone_s : float
        Cost of an upstream in another zone: the network hop and the traffic.
    target_wait_s : float
        Mean wait for queued prompts at which engines count as fully loaded. Below
        two thirds of the shortest objective for the first token, 400 ms, because
        waits vary.
    target_running : float
        Running requests at which an engine counts as fully loaded: by its data sheet
        a decode step then takes 1.5 times as long as with one request. With more,
        long answers miss their deadlines.
    target_slot_fraction : float
        The same limit as a fraction of the slots, for engines with few slots:
        requests beyond the number of slots have to wait.
    cache_fraction : float
        Fraction of an engine's KV cache that is assumed to hold the segments known
        here; the rest holds running requests and segments known only to peers.
    report_lifetime_s : float
        How long the load that an upstream reported is used instead of the sum over
        all routers.
    slot_wait_s : float
        Delay for each request beyond the slots of an engine: the time after which
        the next of its slots becomes free.
    capacity : CapacitySettings
        Estimates of each upstream, for services whose upstreams state a slowdown.
    homes : HomeSettings
        Homes of shared prompt parts, where they are enabled.
    """

    prefill_tokens_per_s: float = 56_600.0
    backlog_weight: float = 3.0
    uncached_weight: float = 16.0
    limited_uncached_weight: float = 8.0
    limited_send_weight: float = 4.0
    max_limited_send_s: float = 0.8
    running_request_s: float = 0.002
    other_zone_s: float = 0.005
    target_wait_s: float = 0.25
    target_running: float = 22.0
    target_slot_fraction: float = 1.0
    cache_fraction: float = 0.5
    report_lifetime_s: float = 0.5
    slot_wait_s: float = 0.2
    capacity: CapacitySettings = CapacitySettings()
    homes: HomeSettings = HomeSettings()


@dataclass(slots=True)
class SentRequest:
    """A request in flight at an upstream."""

    upstream_id: str
    uncached_tokens: int
    sent_s: float
    first_byte_s: float | None = None
    # Prompt and whole answer in an engine's memory.
    held_tokens: int = 0
    # Load at the send, for services whose upstreams state a slowdown.
    incarnation: Incarnation | None = None
    tokens_ahead: int = 0
    running_at_send: int = 0
