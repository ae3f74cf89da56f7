"""One budget for retries and hedges, as a share of first tries.

Without it a loss of capacity feeds itself: failed requests are sent again,
which adds load, which fails more of them.

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
    """Retries that may be made, earned by first tries.

    Parameters
    ----------
    share : float
        Retries earned by each first try.
    tokens : float
        Retries that may be made now; never above `RESERVE_RETRIES`.
    updated_s : float or None
        When the reserve was last refilled, on the timer's clock.

    Notes
    -----
    Over any time, retries number at most share x first tries, plus the
    reserve, plus `IDLE_REFILL_PER_S` each second while below the reserve, so
    that a quiet VM can retry at all. A share of zero allows no retry.

    Examples
    --------
    >>> budget = RetryBudget.from_config(0.5)
    >>> budget.tokens = 0.0
    >>> budget.record_first_try(now=0.0), budget.spend(now=0.0)
    (None, False)
    >>> budget.record_first_try(now=0.0), budget.spend(now=0.0)
    (None, True)
    """

    share: float
    tokens: float = RESERVE_RETRIES
    updated_s: float | None = None

    @classmethod
    def from_config(cls, share: float) -> Self:
        """Make a full budget from the manifest's ``retry_share``."""
        return cls(share)

    def record_first_try(self, now: float) -> None:
        """Earn a share of a retry by a first try."""
        self.refill(now)
        self.earn(self.share)

    def spend(self, now: float) -> bool:
        """Take one retry; False where the budget has none."""
        self.refill(now)
        if not self.share or self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now: float) -> None:
        """Earn by the time that passed."""
        if self.updated_s is not None and now > self.updated_s:
            self.earn(IDLE_REFILL_PER_S * (now - self.updated_s))
        self.updated_s = now

    def earn(self, amount: float) -> None:
        """Add to the budget up to its reserve."""
        self.tokens = min(RESERVE_RETRIES, self.tokens + amount)
