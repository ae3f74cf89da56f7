"""Requests that a picker has sent to other regions, and that are not told yet.

Another region's requests are heard of with a delay. A picker that chose by
them alone would send every long prompt of half a second to the engine that was
free half a second ago; so what it has sent itself counts until that region
tells of it. Pure; times are seconds on this VM's monotonic clock.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitshunt.registry.records import Load

# A region that tells nothing for so long is cut off: what was sent there has
# been refused, or has come to an end unheard.
LONGEST_S = 2.0
# What a hand-over takes beyond its way: reading it and finding its place.
TAKEN_IN_S = 0.02


@dataclass(frozen=True)
class HandedOver:
    """A request that was sent to another region.

    Parameters
    ----------
    ends_s : float
        When it is likely to be over.
    """

    instance: str
    region: str
    load: Load
    sent_s: float
    ends_s: float


@dataclass
class HandedLoads:
    """What was handed over and is not told by its region yet.

    Parameters
    ----------
    told_s : callable
        Returns for a region the time that its last news is as of.
    way_s : callable
        Returns for a region the seconds of one way there.

    Examples
    --------
    >>> handed = HandedLoads(told_s=lambda region: 5.0, way_s=lambda _: 0.05)
    >>> handed.note('i-1', 'tvm', tokens=300, lasts_s=0.5, now_s=5.2)
    >>> handed.totals
    {'i-1': Load(in_flight=1, pending_tokens=300)}
    >>> handed.told_s = lambda region: 5.3
    >>> handed.forget(now_s=5.4)
    >>> handed.totals
    {}
    """

    told_s: Callable[[str], float]
    way_s: Callable[[str], float]
    sent: deque[HandedOver] = field(default_factory=deque)
    totals: dict[str, Load] = field(default_factory=dict)

    def note(
        self,
        instance: str,
        region: str,
        tokens: int,
        lasts_s: float,
        now_s: float,
    ) -> None:
        """Count a request that goes to another region.

        Parameters
        ----------
        lasts_s : float
            Seconds that an upstream there needs for it. Look-ups of a tenth
            of a second are over before their region tells of them; counted
            until then, twelve of a third of a second filled an upstream that
            ran three, and the own region's callers were refused.
        """
        load = Load(1, tokens)
        ends_s = now_s + self.way_s(region) + lasts_s
        one = HandedOver(instance, region, load, now_s, ends_s)
        self.sent.append(one)
        self.totals[instance] = self.totals.get(instance, Load()) + load

    def forget(self, now_s: float) -> None:
        """Count no more what its region tells of by now."""
        kept: deque[HandedOver] = deque()
        for one in self.sent:
            if self.is_told(one, now_s):
                self.take_back(one)
            else:
                kept.append(one)
        self.sent = kept

    def is_told(self, one: HandedOver, now_s: float) -> bool:
        """Tell whether a region's news holds what was handed over.

        One that is over by now is part of no news any more.
        """
        arrived_s = one.sent_s + self.way_s(one.region) + TAKEN_IN_S
        is_over = now_s > min(one.ends_s, one.sent_s + LONGEST_S)
        return is_over or self.told_s(one.region) >= arrived_s

    def take_back(self, one: HandedOver) -> None:
        """Count a request no more."""
        left = self.totals.pop(one.instance) - one.load
        if left != Load():
            self.totals[one.instance] = left
