"""Limit on retries in a sliding window, over all VMs together.

Each VM may retry a share of its own first tries, plus its part of a fixed
allowance, which `AllowanceLease` tells. So the sum over all VMs stays below
the limit, however requests are distributed among them.

References
----------
Bronson, Aghayev, Charapko and Zhu, "Metastable failures in distributed
systems", HotOS 2021.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of the share of first tries that a VM spends. The windows of two VMs, or
# of a process and of the one before it, overlap in part only: the first tries
# that they count lie within two windows, of which the limit counts one.
SHARE_PART = 0.5


@dataclass(frozen=True)
class RetryBounds:
    """The limit that the deployment configures.

    Parameters
    ----------
    share : float
        Retries as a share of first tries.
    allowance : float
        Retries of all VMs together beyond that share.
    window_s : float
        Length of the sliding window in seconds.
    """

    share: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


@dataclass(frozen=True)
class RetryDecision:
    """Whether a retry was allowed, and what decided it.

    Parameters
    ----------
    is_allowed : bool
        True where the retry is counted and may be sent.
    first_tries, retries : int
        Sent by this VM within the window; this retry is included if allowed.
    allowance : float
        This VM's part of the fixed allowance.
    """

    is_allowed: bool
    first_tries: int
    retries: int
    allowance: float


@dataclass
class RetryWindow:
    """First tries and retries that this VM sent to one service.

    Parameters
    ----------
    bounds : RetryBounds
        Limit over all VMs together.
    first_tries, retries : deque of float
        Monotonic times of sending, in seconds.

    Examples
    --------
    >>> window = RetryWindow(RetryBounds(share=0.5, allowance=0))
    >>> window.spend(now_s=0, part=1).is_allowed
    False
    >>> for _ in range(4):
    ...     window.record_first_try(0)
    >>> [window.spend(now_s=1, part=1).is_allowed for _ in range(2)]
    [True, False]
    >>> window.spend(now_s=20, part=1).is_allowed
    False
    """

    bounds: RetryBounds
    first_tries: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_first_try(self, now_s: float) -> None:
        """Count a first try."""
        self.expire(now_s)
        self.first_tries.append(now_s)

    def spend(self, now_s: float, part: float) -> RetryDecision:
        """Count one retry, unless the limit is reached.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        part : float
            This VM's part of the fixed allowance, 0 to 1.
        """
        self.expire(now_s)
        own_allowance = self.bounds.allowance * part
        earned = self.bounds.share * SHARE_PART * len(self.first_tries)
        limit = earned + own_allowance
        is_allowed = len(self.retries) + 1 <= limit
        if is_allowed:
            self.retries.append(now_s)
        return RetryDecision(
            is_allowed, len(self.first_tries), len(self.retries), own_allowance
        )

    def expire(self, now_s: float) -> None:
        """Remove entries older than the window."""
        start_s = now_s - self.bounds.window_s
        for sent in (self.first_tries, self.retries):
            while sent and sent[0] <= start_s:
                sent.popleft()
