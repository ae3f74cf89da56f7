"""Traffic that returns to upstreams with cold caches grows as they warm.

After a region or an upstream was lost and comes back, it looks idle: all its
traffic would return in one moment, none of whose prefixes is cached. Prefill
then falls so far behind that requests run out of time, and what it computes
for them is thrown away. So what is sent to a cold upstream is bounded by the
uncached prompt tokens that its prefill can take. The more of the prompts it
has cached, the more requests fit into that rate, so the ramp follows the
warming of the cache and needs no timetable.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.meters import Bucket

# Part of the prefill rate that returning traffic may use, and the seconds of
# it that may come at once.
PREFILL_SHARE = 0.8
BURST_S = 1.0
WARM_UP_S = 30.0


@dataclass
class WarmingUpstream:
    """An upstream that started lately.

    Parameters
    ----------
    bucket : Bucket
        Uncached prompt tokens that this VM may send now.
    until_s : float
        When it is held for warm, whatever was sent.
    """

    incarnation: int
    bucket: Bucket
    until_s: float
    burst: float


@dataclass
class ColdRamp:
    """Bounds on what one VM sends to upstreams that started lately.

    Parameters
    ----------
    vms : int
        Entry VMs of the region, which share each upstream's prefill rate.
    """

    vms: int = 1
    incarnations: dict[str, int] = field(default_factory=dict)
    warming: dict[str, WarmingUpstream] = field(default_factory=dict)
    has_observed: bool = False

    def observe(self, upstreams: Iterable[UpstreamView], now: float) -> None:
        """Note which upstreams are new, back, or gone.

        What the VM sees first, at its own start, it holds for warm: others
        may have used it for long.
        """
        present = {each.name: each for each in upstreams if each.models}
        for name, upstream in present.items():
            same = self.incarnations.get(name) == upstream.incarnation
            if self.has_observed and not same:
                self.warming[name] = self.start_warming(upstream, now)
        self.warming = {
            incarnations: warming
            for incarnations, warming in self.warming.items()
            if incarnations in present and now < warming.until_s
        }
        self.incarnations = {
            each: newest.incarnation for each, newest in present.items()
        }
        self.has_observed = True

    def start_warming(
        self, upstream: UpstreamView, now: float
    ) -> WarmingUpstream:
        """Return the start of an upstream's ramp."""
        share = PREFILL_SHARE / max(1, self.vms)
        rate = upstream.prefill_tokens_per_s * share
        burst = rate * BURST_S
        bucket = Bucket(burst, now, rate)
        return WarmingUpstream(
            upstream.incarnation, bucket, now + WARM_UP_S, burst
        )

    def throttled(self, now: float) -> frozenset[str]:
        """Return upstreams that get nothing now, for `excluded`."""
        names = []
        for name, warming in self.warming.items():
            bucket = warming.bucket
            bucket.refill(bucket.rate_per_s, warming.burst, now)
            if bucket.tokens <= 0:
                names.append(name)
        return frozenset(names)

    def record_sent(self, upstream: str, uncached_tokens: float) -> None:
        """Count the uncached prompt tokens of a request.

        The bucket may go below zero by one prompt, else a prompt longer than
        a second of prefill could never be sent.
        """
        warming = self.warming.get(upstream)
        if warming is not None:
            warming.bucket.tokens -= uncached_tokens
