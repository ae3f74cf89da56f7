"""Rate limit on requests to cold upstreams, over all VMs together.

There is no shared counter: the limit is divided among the processes that can
send to the upstream, so it holds even if they cannot communicate. A process
that has just started sends nothing until the others count it as well.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

WINDOW_S = 1.0
# A delayed request arrives in a later second than it was sent in, so that it
# counts in two windows.
ARRIVAL_MARGIN_S = 0.25
# Others learn of a new VM by polling; until then they divide the limit without
# it.
STARTUP_HOLD_S = 3.0


@dataclass(frozen=True)
class ColdBounds:
    """Limit for cold upstreams, relative to the rate that they announce.

    At most ``rate * factor + allowance`` requests per second are sent.

    Parameters
    ----------
    factor : float
        Multiple of the announced rate.
    allowance : float
        Additional requests per second.
    """

    factor: float = 1.0
    allowance: float = 0.0


@dataclass
class ColdBudget:
    """Requests that this process recently sent to cold upstreams.

    Examples
    --------
    >>> budget = ColdBudget(ColdBounds(factor=1.5, allowance=3), started_s=0)
    >>> taken = [budget.spend('a', 6.6, 1 / 3, now_s=10) for _ in range(6)]
    >>> taken
    [True, True, True, True, False, False]
    >>> budget.spend('a', 6.6, 1 / 3, now_s=11.3)
    True
    >>> budget.spend('a', 6.6, 1 / 30, now_s=20)
    False
    """

    bounds: ColdBounds
    started_s: float
    sent: dict[str, deque[float]] = field(default_factory=dict)

    def spend(
        self,
        instance: str,
        rate_per_s: float,
        share: float,
        now_s: float,
    ) -> bool:
        """Count one request; return False if this process's share is used up.

        Parameters
        ----------
        instance : str
            The cold upstream.
        rate_per_s : float
            Requests per second that it announces for a cold start.
        share : float
            This process's share of the limit, 0 to 1.
        now_s : float
            Monotonic time in seconds.
        """
        if not self.has_room(instance, rate_per_s, share, now_s):
            return False
        self.sent[instance].append(now_s)
        return True

    def has_room(
        self,
        instance: str,
        rate_per_s: float,
        share: float,
        now_s: float,
    ) -> bool:
        """Return whether one more request may go to a cold upstream."""
        if now_s - self.started_s < STARTUP_HOLD_S:
            return False
        bound = rate_per_s * self.bounds.factor + self.bounds.allowance
        sent = self.sent.setdefault(instance, deque())
        while sent and now_s - sent[0] > WINDOW_S + ARRIVAL_MARGIN_S:
            sent.popleft()
        return len(sent) < floor(bound * share)

    def remove_absent(self, present: frozenset[str]) -> None:
        """Remove upstreams that are not present."""
        for instance in self.sent.keys() - present:
            self.sent.pop(instance)
