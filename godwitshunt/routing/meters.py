"""A token bucket and a meter of demand, both on the timer's clock."""

import math
from dataclasses import dataclass

DEMAND_DECAY_S = 2.0
IDLE_AFTER_S = 60.0
LONGEST_WAIT_S = 60.0


@dataclass
class Bucket:
    """A token bucket whose rate may change between requests.

    Parameters
    ----------
    tokens : float
        Requests that may pass now.
    updated_s : float
        When the tokens were last counted.
    rate_per_s : float
        The rate that held then.

    Notes
    -----
    The time between two counts is credited with the lower of the two rates:
    a rate that has just been borrowed was not there while the bucket idled.

    Examples
    --------
    >>> bucket = Bucket(tokens=1.0, updated_s=0.0, rate_per_s=2.0)
    >>> bucket.take(rate_per_s=2.0, burst=1.0, now=0.0)
    0.0
    >>> bucket.take(rate_per_s=2.0, burst=1.0, now=0.0)
    0.5
    """

    tokens: float
    updated_s: float
    rate_per_s: float

    def refill(self, rate_per_s: float, burst: float, now: float) -> None:
        """Count the tokens up to now; `rate_per_s` holds from now on."""
        elapsed_s = max(0.0, now - self.updated_s)
        earned = elapsed_s * min(self.rate_per_s, rate_per_s)
        self.tokens = min(burst, self.tokens + earned)
        self.updated_s = now
        self.rate_per_s = rate_per_s

    def acquire(self, rate_per_s: float, burst: float, now: float) -> float:
        """Take one token; return 0.0, or the seconds until there is one."""
        self.refill(rate_per_s, burst, now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        if rate_per_s <= 0:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, (1 - self.tokens) / rate_per_s)


@dataclass
class DemandMeter:
    """Requests a second, with exponential forgetting.

    Parameters
    ----------
    weight : float
        What was counted, less what is forgotten.
    updated_s : float
        When it was last counted.
    decay_s : float
        Seconds after which a count weighs 1/e.
    """

    weight: float = 0.0
    updated_s: float = 0.0
    decay_s: float = DEMAND_DECAY_S

    def record(self, now: float) -> None:
        """Count one request."""
        self.weight = self.decayed_weight(now) + 1
        self.updated_s = now

    def per_s(self, now: float) -> float:
        """Return the requests a second of late."""
        return self.decayed_weight(now) / self.decay_s

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was counted for long."""
        return now - self.updated_s > IDLE_AFTER_S

    def decayed_weight(self, now: float) -> float:
        """Return the count as it weighs now."""
        elapsed_s = max(0.0, now - self.updated_s)
        return self.weight * math.exp(-elapsed_s / self.decay_s)
