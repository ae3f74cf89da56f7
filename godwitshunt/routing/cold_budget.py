"""A bound on what a cold upstream gets each second, over all VMs together.

Nobody counts for all: the bound is divided among the processes that can give
work to the upstream, and holds whether they hear each other or not. One that
has just started gives none until the others count it, too.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

WINDOW_S = 1.0
# A request that waits on its way arrives in a later second than it was sent
# in; two windows then share it.
ARRIVAL_MARGIN_S = 0.25
# Others learn of a new VM by their polls; until then they share without it.
STARTUP_HOLD_S = 3.0


@dataclass(frozen=True)
class ColdBounds:
    """What cold upstreams bear beyond their stated rate.

    Parameters
    ----------
    factor : float
        Requests a second are at most the stated rate times this,
    allowance : float
        plus this.
    """

    factor: float = 1.0
    allowance: float = 0.0


@dataclass
class ColdBudget:
    """What this process gave to cold upstreams of late.

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
        """Take one request; False where this process's part is used up.

        Parameters
        ----------
        instance : str
            The cold upstream.
        rate_per_s : float
            Requests a second that it states to bear.
        share : float
            This process's part of all that may be sent to it.
        now_s : float
            Monotonic seconds.
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
        """Tell whether one more request may go to a cold upstream."""
        if now_s - self.started_s < STARTUP_HOLD_S:
            return False
        bound = rate_per_s * self.bounds.factor + self.bounds.allowance
        sent = self.sent.setdefault(instance, deque())
        while sent and now_s - sent[0] > WINDOW_S + ARRIVAL_MARGIN_S:
            sent.popleft()
        return len(sent) < floor(bound * share)

    def remove_absent(self, present: frozenset[str]) -> None:
        """Drop upstreams that are gone."""
        for instance in self.sent.keys() - present:
            self.sent.pop(instance)
