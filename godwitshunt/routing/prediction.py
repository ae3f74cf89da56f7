"""Prediction of the time to the first token at one upstream.

Load reports lag, so a prediction adds what this VM has sent since to what the
upstream last reported.
"""

from dataclasses import dataclass

from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.messages import RouteRequest

TYPICAL_OUTPUT_TOKENS = 256
PLAIN_SERVICE_S = 0.05
CACHE_MISS_WEIGHT = 4.0
MAX_DECODE_SHARE = 0.5
# What a request may use grows by the gain in each such part of its time.
AGING_PERIOD_SHARE = 0.4
AGING_SHARE_GAIN = 0.25
MIN_AGING_S = 0.001


def occupancy(upstream: UpstreamView) -> int:
    """Return the requests that an upstream holds, as far as is known here."""
    reported = upstream.running + upstream.queued - upstream.finished_since
    return max(0, reported) + upstream.sent_since


def open_slots(upstream: UpstreamView, slot_share: float) -> float:
    """Return the slots of a class that are free; zero or less where none is.

    A share below 1 keeps the last slots of each upstream for classes with a
    larger one, so that long jobs never hold them all.
    """
    usable = max(1.0, upstream.slots * slot_share)
    return usable - occupancy(upstream)


def usable_share(request: RouteRequest) -> float:
    """Return the share of slots that may be taken when a request is sent.

    It starts with the share of the request's class and grows while the
    request waits, also beyond the whole: then it queues at an upstream, among
    ever more others. So a long job is not starved by urgent ones that come
    without end.
    """
    allowed_s = request.waited_s + request.deadline_s
    aging_periods = request.waited_s / max(
        AGING_PERIOD_SHARE * allowed_s, MIN_AGING_S
    )
    return request.slot_share + AGING_SHARE_GAIN * aging_periods


def slot_hold_s(upstream: UpstreamView) -> float:
    """Return the seconds that a typical request holds a slot."""
    if upstream.models:
        return TYPICAL_OUTPUT_TOKENS / upstream.decode_tokens_per_s
    return PLAIN_SERVICE_S


def slot_wait_s(upstream: UpstreamView) -> float:
    """Return the seconds until a slot is free for a new request."""
    excess = occupancy(upstream) - upstream.slots + 1
    if excess <= 0:
        return 0.0
    return excess * slot_hold_s(upstream) / max(1, upstream.slots)


def cached_share(upstream: UpstreamView, blocks: tuple[int, ...]) -> float:
    """Return the reported share of a prompt's blocks that is cached, 0 to 1.

    Blocks are hashed over the prompt up to their end, so the deepest cached
    block tells all: events of shallower ones may have been lost.
    """
    if upstream.cached_prefixes.isdisjoint(blocks):
        return 0.0
    for depth in range(len(blocks), 0, -1):
        if blocks[depth - 1] in upstream.cached_prefixes:
            return depth / len(blocks)
    return 0.0


@dataclass(frozen=True)
class RequestWork:
    """The part of a request that a prediction needs.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Estimated lengths in tokens.
    allowed_s : float
        Seconds from its arrival to its deadline.
    """

    prompt_tokens: int
    output_tokens: int
    allowed_s: float

    def first_token_s(self, upstream: UpstreamView, cached: float) -> float:
        """Return the predicted seconds to the first token.

        Parameters
        ----------
        upstream : UpstreamView
            Where the request would go.
        cached : float
            Share of the prompt that need not be computed, 0 to 1.
        """
        if not upstream.models:
            return slot_wait_s(upstream) + PLAIN_SERVICE_S
        speed = upstream.prefill_tokens_per_s
        backlog = upstream.queued_tokens + upstream.sent_tokens_since
        # Prompts are prefilled as slots come free, so that the longer of the
        # two waits holds the other.
        wait_s = max(slot_wait_s(upstream), backlog / speed)
        return wait_s + self.uncached_tokens(cached) / speed

    def uncached_tokens(self, cached: float) -> float:
        """Return the prompt tokens that are left to compute."""
        return self.prompt_tokens * (1.0 - cached)

    def cache_miss_cost_s(self, upstream: UpstreamView, cached: float) -> float:
        """Return the seconds that a cache miss costs later requests.

        What this request has computed, others wait for; what it puts into
        the cache pushes out a prefix that another one will compute again.
        """
        if not upstream.models:
            return 0.0
        uncached_s = (
            self.uncached_tokens(cached) / upstream.prefill_tokens_per_s
        )
        return CACHE_MISS_WEIGHT * uncached_s

    def decode_reserve_s(self, decode_tokens_per_s: float) -> float:
        """Return the seconds kept for the answer after its first token.

        The length is an estimate, often the caller's upper bound: it never
        takes more than half of the time that the request had at first, so
        that a generous bound alone does not get a request refused.
        """
        decode_s = self.output_tokens / decode_tokens_per_s
        return min(decode_s, self.allowed_s * MAX_DECODE_SHARE)
