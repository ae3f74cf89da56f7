"""The weight store's token bucket, shared by the whole deployment; pure.

What was taken stands in the replicated log, while time passes on each leader's
own monotonic clock. A new leader cannot know when the last one took; so it
starts with an empty bucket. Over any stretch of time, through any number of
leaders, the deployment then takes at most the burst plus the rate times that
stretch.
"""

from dataclasses import dataclass, replace
from typing import Self


@dataclass(frozen=True)
class BucketOptions:
    """What the weight store allows.

    Parameters
    ----------
    units_per_s : float
        Units that come back each second.
    burst : float
        Most units that are kept.
    """

    units_per_s: float = 1.0
    burst: float = 10.0


@dataclass(frozen=True)
class WeightBucket:
    """A leader's view of the bucket.

    Parameters
    ----------
    level : float
        Units that may be taken.
    updated_s : float
        Monotonic time of the level, in seconds.
    taken : int
        Units ever taken, as the log said at that time.
    """

    options: BucketOptions
    level: float
    updated_s: float
    taken: int

    @classmethod
    def empty(cls, options: BucketOptions, taken: int, now: float) -> Self:
        """Return the bucket that a new leader starts with."""
        return cls(options, 0, now, taken)

    def observe(self, taken: int, now: float) -> Self:
        """Return the bucket after time has passed and entries were applied.

        Examples
        --------
        >>> bucket = WeightBucket.empty(BucketOptions(2, 10), 0, 0)
        >>> bucket.observe(taken=3, now=4).level
        5.0
        """
        refill = max(0, now - self.updated_s) * self.options.units_per_s
        level = min(self.options.burst, self.level + refill)
        spent = taken - self.taken
        return replace(
            self, level=float(level - spent), updated_s=now, taken=taken
        )

    def wait_s(self, units: int) -> float:
        """Return the seconds until that many units can be taken; 0 for now."""
        missing = max(0, units - self.level)
        return missing / self.options.units_per_s
