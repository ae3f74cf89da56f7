"""A token bucket and a demand meter, both on the timer's clock."""

import math
from dataclasses import dataclass

DEMAND_DECAY_S = 2.0
IDLE_AFTER_S = 60.0
LONGEST_WAIT_S = 60.0


@dataclass
class TokenBucket:
    """A token bucket whose rate may change between requests.

    Parameters
    ----------
    tokens : float
        Requests that may pass now.
    updated_s : float
        When the bucket was last refilled.
    rate_per_s : float
        Refill rate at that time.

    Notes
    -----
    The time between two refills is credited at the lower of the two rates: a
    rate that has just been leased was not available before.

    Examples
    --------
    >>> bucket = TokenBucket(tokens=1.0, updated_s=0.0, rate_per_s=2.0)
    >>> bucket.acquire(rate_per_s=2.0, burst=1.0, now=0.0)
    0.0
    >>> bucket.acquire(rate_per_s=2.0, burst=1.0, now=0.0)
    0.5
    """

    tokens: float
    updated_s: float
    rate_per_s: float

    def refill(self, rate_per_s: float, burst: float, now: float) -> None:
        """Add the tokens earned up to now; `rate_per_s` applies from now on."""
        elapsed_s = max(0.0, now - self.updated_s)
        earned = elapsed_s * min(self.rate_per_s, rate_per_s)
        self.tokens = min(burst, self.tokens + earned)
        self.updated_s = now
        self.rate_per_s = rate_per_s

    def acquire(self, rate_per_s: float, burst: float, now: float) -> float:
        """Take one token; return 0.0, or the seconds until one is available."""
        self.refill(rate_per_s, burst, now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        if rate_per_s <= 0:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, (1 - self.tokens) / rate_per_s)


@dataclass
class DemandMeter:
    """Request rate with exponential decay.

    Parameters
    ----------
    weight : float
        Decayed count at the last update.
    updated_s : float
        When a request was last counted.
    decay_s : float
        Time constant: a count decays to 1/e of its weight in this time.
    """

    weight: float = 0.0
    updated_s: float = 0.0
    decay_s: float = DEMAND_DECAY_S

    def record(self, now: float) -> None:
        """Count one request."""
        self.weight = self.decayed_weight(now) + 1
        self.updated_s = now

    def per_s(self, now: float) -> float:
        """Return the recent requests per second."""
        return self.decayed_weight(now) / self.decay_s

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was counted for `IDLE_AFTER_S`."""
        return now - self.updated_s > IDLE_AFTER_S

    def decayed_weight(self, now: float) -> float:
        """Return the count decayed up to now."""
        elapsed_s = max(0.0, now - self.updated_s)
        return self.weight * math.exp(-elapsed_s / self.decay_s)
