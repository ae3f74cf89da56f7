"""A bound on repeats in every sliding window, over all VMs together.

The sum of what each VM allows itself stays below the bound, however requests
are split between them: each may repeat a share of the first tries that it
sends itself, and an equal part of a fixed allowance.

References
----------
Bronson, Aghayev, Charapko and Zhu, "Metastable failures in distributed
systems", HotOS 2021.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

# Part of the fixed allowance that is given out: the rest covers repeats that
# callers' attempts and VMs which have just started add to a window.
ALLOWANCE_SHARE = 0.7


@dataclass(frozen=True)
class RetryBounds:
    """The bound, as the deployment states it.

    Parameters
    ----------
    share : float
        Repeats as a share of first tries.
    allowance : float
        Repeats of all VMs together beyond that share.
    window_s : float
        Length of the sliding window in seconds.
    """

    share: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


@dataclass
class RetryWindow:
    """First tries and repeats that this VM sent to one service.

    Parameters
    ----------
    bounds : RetryBounds
        What all VMs together may do.
    first_tries, retries : deque of float
        When each was sent, in monotonic seconds.

    Examples
    --------
    >>> window = RetryWindow(RetryBounds(share=0.5, allowance=0))
    >>> window.spend(now_s=0, vms=1)
    False
    >>> window.record_first_try(0), window.record_first_try(0)
    (None, None)
    >>> window.spend(now_s=1, vms=1), window.spend(now_s=1, vms=1)
    (True, False)
    >>> window.spend(now_s=20, vms=1)
    False
    """

    bounds: RetryBounds
    first_tries: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_first_try(self, now_s: float) -> None:
        """Count a first try."""
        self.expire(now_s)
        self.first_tries.append(now_s)

    def spend(self, now_s: float, vms: int) -> bool:
        """Take one repeat; False where the budget has none.

        Parameters
        ----------
        now_s : float
            Monotonic seconds.
        vms : int
            VMs that may repeat requests of this service.
        """
        self.expire(now_s)
        part = floor(self.bounds.allowance * ALLOWANCE_SHARE / max(1, vms))
        limit = self.bounds.share * len(self.first_tries) + part
        if len(self.retries) + 1 > limit:
            return False
        self.retries.append(now_s)
        return True

    def expire(self, now_s: float) -> None:
        """Drop what lies before the window."""
        start_s = now_s - self.bounds.window_s
        for sent in (self.first_tries, self.retries):
            while sent and sent[0] <= start_s:
                sent.popleft()
