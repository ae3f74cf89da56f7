"""A common budget for retries and hedges, as a share of first tries.

Without it a loss of capacity amplifies itself: failed requests are retried,
which adds load and makes more of them fail.

References
----------
Bronson, Aghayev, Charapko and Zhu, "Metastable failures in distributed
systems", HotOS 2021.
"""

from dataclasses import dataclass
from typing import Self

RESERVE_RETRIES = 10.0
IDLE_REFILL_PER_S = 0.5


@dataclass
class RetryBudget:
    """Budget of retries, which first tries replenish.

    Parameters
    ----------
    share : float
        Retries added by each first try.
    tokens : float
        Retries available now, at most `RESERVE_RETRIES`.
    updated_s : float or None
        When the budget was last refilled, on the timer's clock.

    Notes
    -----
    Over any period, the number of retries is at most share x first tries, plus
    the reserve, plus `IDLE_REFILL_PER_S` per second while below the reserve,
    so that a VM with little traffic can retry. A share of zero allows none.
    The budget is empty at first: a VM whose process restarts again and again
    would have the reserve each time.

    Examples
    --------
    >>> budget = RetryBudget.from_config(0.5)
    >>> budget.record_first_try(now=0.0), budget.spend(now=0.0)
    (None, False)
    >>> budget.record_first_try(now=0.0), budget.spend(now=0.0)
    (None, True)
    """

    share: float
    tokens: float = 0.0
    updated_s: float | None = None

    @classmethod
    def from_config(cls, share: float) -> Self:
        """Return an empty budget for the manifest's ``retry_share``."""
        return cls(share)

    def record_first_try(self, now: float) -> None:
        """Count a first try, which adds its share of a retry."""
        self.refill(now)
        self.earn(self.share)

    def spend(self, now: float) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        self.refill(now)
        if not self.share or self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now: float) -> None:
        """Add what the elapsed time has earned."""
        if self.updated_s is not None and now > self.updated_s:
            self.earn(IDLE_REFILL_PER_S * (now - self.updated_s))
        self.updated_s = now

    def earn(self, amount: float) -> None:
        """Add to the budget, up to the reserve."""
        self.tokens = min(RESERVE_RETRIES, self.tokens + amount)
