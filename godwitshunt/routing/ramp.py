"""Gradual return of traffic to upstreams with cold caches.

A region or an upstream that recovers from an outage looks idle: all of its
traffic would return at once, with no prefix cached. Prefill then falls so far
behind that requests time out and its work is discarded. So the rate of
uncached prompt tokens sent to a cold upstream is limited to what its prefill
can process. The more of the prompts is cached, the more requests fit into that
rate, so the ramp follows the warm-up of the cache and needs no fixed schedule.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.meters import TokenBucket

# Share of the prefill rate that returning traffic may use, and the seconds of
# that rate that may be sent as a burst.
PREFILL_SHARE = 0.8
BURST_S = 1.0
WARM_UP_S = 30.0


@dataclass
class WarmingUpstream:
    """An upstream that started recently.

    Parameters
    ----------
    incarnation : int
        The process that is warming up.
    bucket : TokenBucket
        Uncached prompt tokens that this VM may send now.
    until_s : float
        When it is considered warm, regardless of what was sent.
    burst : float
        Capacity of the bucket in tokens.
    """

    incarnation: int
    bucket: TokenBucket
    until_s: float
    burst: float


@dataclass
class ColdRamp:
    """Limits on what one VM sends to upstreams that started recently.

    Parameters
    ----------
    vms : int
        Entry VMs of the region, which share each upstream's prefill rate.
    incarnations : dict of str to int
        Last observed incarnation of each upstream.
    warming : dict of str to WarmingUpstream
        Upstreams that are warming up.
    has_observed : bool
        Whether `observe` has been called.
    """

    vms: int = 1
    incarnations: dict[str, int] = field(default_factory=dict)
    warming: dict[str, WarmingUpstream] = field(default_factory=dict)
    has_observed: bool = False

    def observe(self, upstreams: Iterable[UpstreamView], now: float) -> None:
        """Record which upstreams have started, restarted or been removed.

        Upstreams present at the first call are considered warm: other VMs may
        have used them for a long time.
        """
        present = {each.name: each for each in upstreams if each.models}
        for name, upstream in present.items():
            same = self.incarnations.get(name) == upstream.incarnation
            if self.has_observed and not same:
                self.warming[name] = self.start_warming(upstream, now)
        self.warming = {
            known_name: warming
            for known_name, warming in self.warming.items()
            if known_name in present and now < warming.until_s
        }
        self.incarnations = {
            each: newest.incarnation for each, newest in present.items()
        }
        self.has_observed = True

    def start_warming(
        self, upstream: UpstreamView, now: float
    ) -> WarmingUpstream:
        """Return the initial state of an upstream that warms up."""
        share = PREFILL_SHARE / max(1, self.vms)
        rate = upstream.prefill_tokens_per_s * share
        burst = rate * BURST_S
        bucket = TokenBucket(burst, now, rate)
        return WarmingUpstream(
            upstream.incarnation, bucket, now + WARM_UP_S, burst
        )

    def throttled(self, now: float) -> frozenset[str]:
        """Return upstreams to exclude now, for `RouteRequest.excluded`."""
        names = []
        for name, warming in self.warming.items():
            bucket = warming.bucket
            bucket.refill(bucket.rate_per_s, warming.burst, now)
            if bucket.tokens <= 0:
                names.append(name)
        return frozenset(names)

    def record_sent(self, upstream: str, uncached_tokens: float) -> None:
        """Count the uncached prompt tokens of a request.

        The bucket may become negative by one prompt; otherwise a prompt longer
        than `BURST_S` of prefill could never be sent.
        """
        warming = self.warming.get(upstream)
        if warming is not None:
            warming.bucket.tokens -= uncached_tokens
