"""Own need of a region and the demand that it cannot serve.

Answers the moving peak: a region grants only what its own requests will not
need during the lifetime of a grant. No I/O; times are seconds on this VM's
monotonic clock.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil, sqrt

from godwitshunt.grants.records import GRANT_TTL_S, NO_CAPACITY, Capacity

# Number of standard deviations of the arrivals within a grant's lifetime that
# are kept for own requests. With two, more requests of overflowing regions
# were refused than own requests were spared a wait.
MARGIN_DEVIATIONS = 0.5
# Requests within this long are counted together.
STEP_S = 0.03


@dataclass
class Window:
    """Capacity asked for within the last lifetimes of a grant.

    Parameters
    ----------
    parts : deque
        Times and amounts, oldest first. Amounts within `STEP_S` are one part,
        so that the sum costs the same at any number of requests.
    """

    parts: deque[tuple[float, Capacity]] = field(default_factory=deque)

    def add(self, amount: Capacity, now_s: float) -> None:
        """Record an amount."""
        if self.parts and now_s - self.parts[-1][0] < STEP_S:
            at_s, before = self.parts.pop()
            self.parts.append((at_s, before + amount))
            return
        self.expire(now_s)
        self.parts.append((now_s, amount))

    def total(self, now_s: float, lifetimes_ago: int = 0) -> Capacity:
        """Return the sum over one lifetime of a grant that has passed."""
        until_s = now_s - lifetimes_ago * GRANT_TTL_S
        since_s = until_s - GRANT_TTL_S
        return sum(
            (
                amount
                for at_s, amount in self.parts
                if since_s < at_s <= until_s
            ),
            start=NO_CAPACITY,
        )

    def expire(self, now_s: float) -> None:
        """Remove amounts of more than two lifetimes ago."""
        while self.parts and now_s - self.parts[0][0] > 2 * GRANT_TTL_S:
            self.parts.popleft()


@dataclass
class DemandMeter:
    """Own requests of one service that started here and that found no room.

    Examples
    --------
    >>> meter = DemandMeter()
    >>> for _ in range(25):
    ...     meter.starts.add(Capacity(1, 100), now_s=5.0)
    >>> meter.own_need(now_s=5.2)
    28
    >>> meter.overflow.add(Capacity(1, 100), now_s=5.3)
    >>> meter.unmet(Capacity(20, 1000), now_s=5.3)
    Capacity(slots=9, tokens=100.0)
    """

    starts: Window = field(default_factory=Window)
    overflow: Window = field(default_factory=Window)

    def own_need(self, now_s: float) -> int:
        """Return the slots to keep for own requests during a grant's lifetime.

        Requests that run now end at the rate at which they started about one
        lifetime ago. So only a rise of the arrivals needs further slots, and
        their random variation.
        """
        recent = self.starts.total(now_s).slots
        before = self.starts.total(now_s, lifetimes_ago=1).slots
        rise = max(0, recent - before)
        return ceil(rise + MARGIN_DEVIATIONS * sqrt(recent))

    def unmet(self, room: Capacity, now_s: float) -> Capacity:
        """Return the demand that this region cannot serve.

        Parameters
        ----------
        room : Capacity
            Free capacity of the region.
        """
        overflow = self.overflow.total(now_s)
        lacking = max(0, self.own_need(now_s) - room.slots)
        return Capacity(overflow.slots + lacking, overflow.tokens)

    def expire(self, now_s: float) -> None:
        """Remove old amounts."""
        self.starts.expire(now_s)
        self.overflow.expire(now_s)
