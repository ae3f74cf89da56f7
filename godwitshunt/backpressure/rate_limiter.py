"""Token buckets that keep one process within its share of rate limits."""

from collections.abc import Container
from dataclasses import dataclass, field
from math import inf, isinf

from godwitshunt.backpressure.rate_limits import RateLimitTable
from godwitshunt.backpressure.rate_shares import NO_SHARE, RateShare

# An upstream whose limit is lower still gets a request now and then. Only an
# answer shows that the limit has ended.
MIN_PER_S = 0.1
# Refused callers are told times up to this far ahead, one after the other.
# Most callers that are told a later time have given up by then.
MAX_QUEUE_S = 5.0


@dataclass
class TokenBucket:
    """Token bucket of one upstream; one token is one request.

    Parameters
    ----------
    refilled_s : float
        Time of the last refill.
    promised_s : float
        Latest time at which a refused caller was told to come back.
    """

    refilled_s: float
    tokens: float = 0.0
    promised_s: float = -inf

    def refill(self, per_s: float, capacity: float, now_s: float) -> None:
        """Add the tokens of the time since the last refill."""
        passed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        self.tokens = min(capacity, self.tokens + per_s * passed_s)


@dataclass
class RateLimiter:
    """Keeps the requests of one process within its share of rate limits.

    Parameters
    ----------
    table : RateLimitTable
        The limits that upstreams have stated.
    share : RateShare
        Share of each limit that this process may use.
    buckets : dict
        Token buckets by incarnation.

    Examples
    --------
    >>> from godwitshunt.backpressure import RateLimitNotice
    >>> limiter = RateLimiter(share=RateShare(rate=1.0, burst=1))
    >>> limiter.wait_s('i-1', now_s=5.0)
    0.0
    >>> limiter.table.record(RateLimitNotice('i-1', 2.0, asof_s=5.0))
    True
    >>> limiter.wait_s('i-1', now_s=5.0)
    0.5
    >>> limiter.wait_s('i-1', now_s=5.5)
    0.0
    """

    table: RateLimitTable = field(default_factory=RateLimitTable)
    share: RateShare = NO_SHARE
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def wait_s(self, incarnation: str, now_s: float) -> float:
        """Return the seconds until an upstream may get one more request.

        Zero if it may get one now; infinite if this process may never send to
        it while the limit is in force.
        """
        limit_per_s = self.table.per_s(incarnation)
        if limit_per_s is None:
            self.buckets.pop(incarnation, None)
            return 0.0
        limit_per_s = max(MIN_PER_S, limit_per_s)
        capacity = self.share.capacity(limit_per_s)
        if capacity < 1:
            return inf
        per_s = self.share.rate * limit_per_s
        bucket = self.buckets.setdefault(incarnation, TokenBucket(now_s))
        bucket.refill(per_s, capacity, now_s)
        return max(0.0, 1 - bucket.tokens) / per_s

    def spend(self, incarnation: str, now_s: float) -> None:
        """Count one request that is sent to an upstream."""
        self.wait_s(incarnation, now_s)
        bucket = self.buckets.get(incarnation)
        if bucket is not None:
            bucket.tokens -= 1

    def retry_wait_s(self, incarnation: str, now_s: float) -> float:
        """Return the retry delay of one more refused caller, in seconds.

        Each refused caller is told a later time than the one before, because
        only one of them can be served with the next token. The delay is
        infinite if this process may never send to the upstream.
        """
        wait_s = self.wait_s(incarnation, now_s)
        bucket = self.buckets.get(incarnation)
        if bucket is None or isinf(wait_s):
            return wait_s
        limit_per_s = max(MIN_PER_S, self.table.per_s(incarnation))
        interval_s = 1 / (self.share.rate * limit_per_s)
        queued_s = bucket.promised_s + interval_s - now_s
        return max(wait_s, min(queued_s, MAX_QUEUE_S))

    def record_retry(self, incarnation: str, retry_s: float) -> None:
        """Record when a refused caller was told to come back."""
        bucket = self.buckets.get(incarnation)
        if bucket is not None:
            bucket.promised_s = max(bucket.promised_s, retry_s)

    def remove_absent(self, present: Container[str], now_s: float) -> None:
        """Remove upstreams that have been absent for long."""
        self.table.remove_absent(present, now_s)
        for incarnation in tuple(self.buckets):
            if self.table.per_s(incarnation) is None:
                self.buckets.pop(incarnation)
