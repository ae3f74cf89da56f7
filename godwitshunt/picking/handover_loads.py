"""Requests handed over to other regions that these do not report yet.

Loads of other regions arrive with a delay. A picker that used only them would
send every long prompt of half a second to the engine that was free half a
second ago. So the picker counts the requests that it has handed over itself
until the other region's report includes them. No I/O; times are seconds on
this VM's monotonic clock.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.load_table import LoadTable
from godwitshunt.registry.records import Load

# A region without a report for this long is partitioned: requests handed over
# to it were refused, or have ended without a report.
MAX_PENDING_S = 2.0
# Time of a hand-over beyond the network delay: parsing the request and
# selecting its upstream.
ACCEPT_S = 0.02


@dataclass(frozen=True)
class PendingHandover:
    """A request that was handed over to another region.

    Parameters
    ----------
    ends_s : float
        Time by which it has probably ended.
    """

    instance: str
    region: str
    load: Load
    sent_s: float
    ends_s: float


@dataclass
class HandoverLoads:
    """Loads that were handed over and that their region does not report yet.

    Parameters
    ----------
    reported_s : callable
        Returns the time as of which a region's last report was made.
    one_way_s : callable
        Returns the one-way network delay to a region, in seconds.

    Examples
    --------
    >>> handovers = HandoverLoads(
    ...     reported_s=lambda region: 5.0, one_way_s=lambda _: 0.05
    ... )
    >>> handovers.add('i-1', 'tvm', tokens=300, lasts_s=0.5, now_s=5.2)
    >>> handovers.totals
    {'i-1': Load(in_flight=1, pending_tokens=300, reserved_tokens=0)}
    >>> handovers.reported_s = lambda region: 5.3
    >>> handovers.remove_reported(now_s=5.4)
    >>> handovers.totals
    {}
    """

    reported_s: Callable[[str], float]
    one_way_s: Callable[[str], float]
    sent: deque[PendingHandover] = field(default_factory=deque)
    totals: LoadTable = field(default_factory=LoadTable)

    def __post_init__(self) -> None:
        # Nothing is removed until a region's report or delay changes, or the
        # first pending request ends.
        self.region_states: dict[str, tuple[float, float]] = {}
        self.first_end_s = inf

    def add(
        self,
        instance: str,
        region: str,
        tokens: int,
        lasts_s: float,
        now_s: float,
        reserved_tokens: int = 0,
    ) -> None:
        """Count a request that is handed over to another region.

        Parameters
        ----------
        lasts_s : float
            Seconds that an upstream there needs for it. Without this bound,
            short requests counted until the next report although they had
            ended: twelve requests of a third of a second filled an upstream
            that ran three, and callers of the own region were refused.
        """
        load = Load(1, tokens, reserved_tokens)
        ends_s = now_s + self.one_way_s(region) + lasts_s
        handover = PendingHandover(instance, region, load, now_s, ends_s)
        self.sent.append(handover)
        self.first_end_s = min(self.first_end_s, last_end_s(handover))
        self.region_states.setdefault(region, self.region_state(region))
        self.totals[instance] = self.totals.get(instance, Load()) + load

    def remove_reported(self, now_s: float) -> None:
        """Remove the requests that their region's reports include by now."""
        states = {
            region: self.region_state(region) for region in self.region_states
        }
        if states == self.region_states and now_s <= self.first_end_s:
            return
        self.region_states = states
        pending: deque[PendingHandover] = deque()
        for handover in self.sent:
            if self.is_reported(handover, now_s):
                self.subtract(handover)
            else:
                pending.append(handover)
        self.sent = pending
        self.first_end_s = min(map(last_end_s, pending), default=inf)

    def region_state(self, region: str) -> tuple[float, float]:
        """Return what decides whether a region's reports include requests."""
        return self.reported_s(region), self.one_way_s(region)

    def is_reported(self, handover: PendingHandover, now_s: float) -> bool:
        """Return whether a region's reports account for a hand-over.

        This includes requests that have ended, which no report contains.
        """
        arrived_s = handover.sent_s + self.one_way_s(handover.region) + ACCEPT_S
        is_over = now_s > last_end_s(handover)
        return is_over or self.reported_s(handover.region) >= arrived_s

    def subtract(self, handover: PendingHandover) -> None:
        """Subtract a request from the total of its upstream."""
        left = self.totals.pop(handover.instance) - handover.load
        if left != Load():
            self.totals[handover.instance] = left


def last_end_s(handover: PendingHandover) -> float:
    """Return when a request no longer counts, whatever is reported."""
    return min(handover.ends_s, handover.sent_s + MAX_PENDING_S)
