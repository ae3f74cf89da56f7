"""Token bucket of the weight store for the whole deployment; no I/O.

The replicated log contains the units acquired, but refills depend on each
leader's own monotonic clock. A new leader cannot know when the previous one
acquired units, so it starts with an empty bucket. Over any period, with any
number of leaders, the deployment then acquires at most the burst plus the rate
times the period.
"""

from dataclasses import dataclass, replace
from typing import Self


@dataclass(frozen=True)
class BucketOptions:
    """Limits of the weight store.

    Parameters
    ----------
    units_per_s : float
        Refill rate in units per second.
    burst : float
        Capacity of the bucket in units.
    """

    units_per_s: float = 1.0
    burst: float = 10.0


@dataclass(frozen=True)
class WeightBucket:
    """State of the bucket at a leader.

    Parameters
    ----------
    level : float
        Units available.
    updated_s : float
        Monotonic time of the level, in seconds.
    acquired : int
        Total units acquired according to the log at that time.
    """

    options: BucketOptions
    level: float
    updated_s: float
    acquired: int

    @classmethod
    def empty(cls, options: BucketOptions, acquired: int, now: float) -> Self:
        """Return the initial bucket of a new leader."""
        return cls(options, 0, now, acquired)

    def observe(self, acquired: int, now: float) -> Self:
        """Return the bucket refilled to now, minus units acquired since.

        Examples
        --------
        >>> bucket = WeightBucket.empty(BucketOptions(2, 10), 0, 0)
        >>> bucket.observe(acquired=3, now=4).level
        5.0
        """
        refill = max(0, now - self.updated_s) * self.options.units_per_s
        level = min(self.options.burst, self.level + refill)
        spent = acquired - self.acquired
        return replace(
            self, level=float(level - spent), updated_s=now, acquired=acquired
        )

    def wait_s(self, units: int) -> float:
        """Return the seconds until that many units are available, or 0."""
        missing = max(0, units - self.level)
        return missing / self.options.units_per_s
