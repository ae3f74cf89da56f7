"""Shares of large prompts among the starts of a route; no I/O.

Answers a load in which each large prompt has less time to wait than a small
one, so that under overload only small ones would start.
"""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from math import exp

# Sizes from which a route's largest tenth and the fifth below it are learned.
KEPT_SIZES = 256
# The bounds are computed again after this many requests.
SIZES_BETWEEN_UPDATES = 16
LARGE_SHARES = (0.7, 0.9)
# Older requests count less by this time constant.
MEMORY_S = 5.0
# Large prompts of a route are preferred while the share of them that starts is
# below this multiple of the route's. They are to get at least half of it.
PREFERRED_BELOW = 0.75
# Fewer requests of a size say nothing about their share.
MIN_ARRIVED = 2.0


@dataclass
class SizeCount:
    """Decayed numbers of requests of one size."""

    arrived: float = 0.0
    started: float = 0.0

    @property
    def share(self) -> float:
        """Share of the requests that started."""
        return self.started / self.arrived if self.arrived else 1.0

    def decay(self, factor: float) -> None:
        """Let older requests count less."""
        self.arrived *= factor
        self.started *= factor


@dataclass
class SizeShares:
    """Sizes of a route's prompts, and how many of each size start.

    Parameters
    ----------
    sizes : deque of float
        Tokens of the last prompts.
    bounds : tuple of float
        Tokens above which a prompt is of the next size.
    counts : tuple of SizeCount
        By size: the small ones, the fifth above them, the largest tenth.

    Examples
    --------
    >>> shares = SizeShares()
    >>> for number in range(500):
    ...     tokens = 37 * number % 100
    ...     shares.record_arrival(tokens, now_s=0.0)
    ...     if tokens < 70:
    ...         shares.record_start(tokens, now_s=0.0)
    >>> shares.is_behind(95.0), shares.is_behind(10.0)
    (True, False)
    """

    sizes: deque[float] = field(
        default_factory=lambda: deque(maxlen=KEPT_SIZES)
    )
    bounds: tuple[float, ...] = ()
    counts: tuple[SizeCount, ...] = field(
        default_factory=lambda: (SizeCount(), SizeCount(), SizeCount())
    )
    added: int = 0
    updated_s: float = 0.0

    def record_arrival(self, tokens: float, now_s: float) -> None:
        """Record a request before it starts, waits or is refused."""
        self.sizes.append(tokens)
        self.added += 1
        if self.added % SIZES_BETWEEN_UPDATES == 0:
            ordered = sorted(self.sizes)
            self.bounds = tuple(
                ordered[int(share * len(ordered))] for share in LARGE_SHARES
            )
        self.advance(now_s)
        self.count_of(tokens).arrived += 1

    def record_start(self, tokens: float, now_s: float) -> None:
        """Record a request that starts."""
        self.advance(now_s)
        self.count_of(tokens).started += 1

    def is_behind(self, tokens: float) -> bool:
        """Return whether prompts of this size start too seldom."""
        count = self.count_of(tokens)
        if count is self.counts[0] or count.arrived < MIN_ARRIVED:
            return False
        arrived = sum(entry.arrived for entry in self.counts)
        started = sum(entry.started for entry in self.counts)
        return count.share < PREFERRED_BELOW * started / arrived

    def count_of(self, tokens: float) -> SizeCount:
        """Return the count of a size."""
        return self.counts[bisect_right(self.bounds, tokens)]

    def advance(self, now_s: float) -> None:
        """Let older requests count less."""
        factor = exp((self.updated_s - now_s) / MEMORY_S)
        self.updated_s = now_s
        for count in self.counts:
            count.decay(factor)
