"""Prediction of the time to the first token at one upstream.

Load reports lag, so a prediction adds what this VM has sent since the last
report of the upstream.
"""

from dataclasses import dataclass

from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.messages import RouteRequest

TYPICAL_OUTPUT_TOKENS = 256
PLAIN_SERVICE_S = 0.05
CACHE_MISS_WEIGHT = 4.0
MAX_DECODE_SHARE = 0.5
# The share of slots that a request may use grows by the gain each time this
# share of its time has passed.
AGING_PERIOD_SHARE = 0.4
AGING_SHARE_GAIN = 0.25
MIN_AGING_S = 0.001


def occupancy(upstream: UpstreamView) -> int:
    """Return the estimated number of requests in flight at an upstream."""
    reported = upstream.running + upstream.queued - upstream.finished_since
    return max(0, reported) + upstream.sent_since


def open_slots(upstream: UpstreamView, slot_share: float) -> float:
    """Return the free slots of a class; zero or less if there is none.

    A share below 1 reserves the last slots of each upstream for classes with a
    larger share, so that long jobs never occupy all slots.
    """
    usable = max(1.0, upstream.slots * slot_share)
    return usable - occupancy(upstream)


def usable_share(request: RouteRequest) -> float:
    """Return the share of an upstream's slots that a request may use.

    It starts with the share of the request's class and grows while the request
    waits. Above 1 the request may queue at an upstream, behind more and more
    others. This prevents starvation of long jobs by a steady stream of urgent
    requests.
    """
    allowed_s = request.waited_s + request.deadline_s
    aging_periods = request.waited_s / max(
        AGING_PERIOD_SHARE * allowed_s, MIN_AGING_S
    )
    return request.slot_share + AGING_SHARE_GAIN * aging_periods


def slot_hold_s(upstream: UpstreamView) -> float:
    """Return the seconds that a typical request occupies a slot."""
    if upstream.models:
        return TYPICAL_OUTPUT_TOKENS / upstream.decode_tokens_per_s
    return PLAIN_SERVICE_S


def slot_wait_s(upstream: UpstreamView) -> float:
    """Return the predicted seconds until a slot is free."""
    excess = occupancy(upstream) - upstream.slots + 1
    if excess <= 0:
        return 0.0
    return excess * slot_hold_s(upstream) / max(1, upstream.slots)


def cached_share(upstream: UpstreamView, blocks: tuple[int, ...]) -> float:
    """Return the share of a prompt's blocks reported as cached, 0 to 1.

    Each block's hash covers the prompt up to the block's end, so the deepest
    cached block decides; events of earlier blocks may have been lost.
    """
    if upstream.cached_prefixes.isdisjoint(blocks):
        return 0.0
    for depth in range(len(blocks), 0, -1):
        if blocks[depth - 1] in upstream.cached_prefixes:
            return depth / len(blocks)
    return 0.0


@dataclass(frozen=True)
class RequestWork:
    """Properties of a request that a prediction depends on.

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
            The candidate upstream.
        cached : float
            Share of the prompt that need not be prefilled, 0 to 1.
        """
        if not upstream.models:
            return slot_wait_s(upstream) + PLAIN_SERVICE_S
        speed = upstream.prefill_tokens_per_s
        backlog = upstream.queued_tokens + upstream.sent_tokens_since
        # Prompts are prefilled as slots become free, so the two waits overlap
        # and the longer one counts.
        wait_s = max(slot_wait_s(upstream), backlog / speed)
        return wait_s + self.uncached_tokens(cached) / speed

    def uncached_tokens(self, cached: float) -> float:
        """Return the prompt tokens that have to be prefilled."""
        return self.prompt_tokens * (1.0 - cached)

    def cache_miss_cost_s(self, upstream: UpstreamView, cached: float) -> float:
        """Return the seconds that a cache miss costs other requests.

        They wait for the prefill of this request, and the prefix that it adds
        to the cache evicts another one, which will be prefilled again.
        """
        if not upstream.models:
            return 0.0
        uncached_s = (
            self.uncached_tokens(cached) / upstream.prefill_tokens_per_s
        )
        return CACHE_MISS_WEIGHT * uncached_s

    def decode_reserve_s(self, decode_tokens_per_s: float) -> float:
        """Return the seconds reserved for decoding after the first token.

        The output length is an estimate, often the caller's upper bound. The
        reserve is at most half of the request's total time, so that a generous
        bound alone does not cause a refusal.
        """
        decode_s = self.output_tokens / decode_tokens_per_s
        return min(decode_s, self.allowed_s * MAX_DECODE_SHARE)
