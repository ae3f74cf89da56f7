"""Budget of bytes that requests may carry to another region.

Answers a peak whose requests would fill the link of a pair of regions: bodies
of up to 200 kB queue there for longer than a short request's objective, and
so do the polls that keep both regions informed. No I/O; times are seconds on
this VM's monotonic clock.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from math import log2
from typing import Self

# Requests that compete for the budget, and bytes that were sent, are those of
# this long. It is three poll periods, so that a single late poll decides
# nothing.
WINDOW_S = 0.6
# The budget of a window is spent evenly over parts of this length. Spent at
# once, it made queues of 0.3 s.
PACE_S = 0.15
# The shortest round trip of this long is taken as the delay without a queue.
BASE_WINDOW_S = 30.0
# Growth of the shortest round trip of a window that shows a queue. Busy
# processes delay single polls by as much, but hardly all of a window.
QUEUE_S = 0.05
# A queue is drained within about this long.
DRAIN_S = 0.6
# Share of the measured rate that is sent, which lets a queue end, and its least
# value while a long queue drains.
SENT_SHARE = 0.9
MIN_SENT_SHARE = 0.25
# Growth of the measured rate for each window without a queue in which it was
# needed: doubled until the first queue, then in small steps.
FIRST_GROWTH = 2.0
GROWTH = 1.05
# Share of the budget from which it counts as needed.
NEEDED_SHARE = 0.7
# Bytes per second that are sent while nothing is known of the link. A peak of
# long prompts needs ten times as much, which it gets two seconds later.
FIRST_RATE = 1e6


@dataclass(frozen=True)
class Crossing:
    """A request that could be sent to another region.

    Parameters
    ----------
    size : int
        Bytes of its body.
    value : float
        Worth of serving it; a more urgent one has a higher value.
    """

    size: int
    value: float

    @property
    def level(self) -> int:
        """Value for each byte, in steps by a factor of 1.4.

        Requests of one level are alike; so a choice adds up a few levels, not
        the requests of a window.
        """
        return round(2 * log2(self.value / max(1, self.size)))

    @classmethod
    def from_route(cls, size: int, rank: int, objective_s: float) -> Self:
        """Return a request's crossing by its route.

        Examples
        --------
        >>> short = Crossing.from_route(2_000, rank=0, objective_s=0.8)
        >>> long = Crossing.from_route(70_000, rank=1, objective_s=2.0)
        >>> short.level > long.level
        True
        """
        return cls(size, 1 / ((1 + rank) * max(0.1, objective_s)))


@dataclass
class ByteWindow:
    """Bytes of the last seconds, by level.

    Examples
    --------
    >>> window = ByteWindow(0.6)
    >>> window.add(Crossing(500, 1.0), now_s=5.0)
    >>> window.total(now_s=5.5), window.total(now_s=5.7)
    (500, 0)
    """

    length_s: float
    parts: deque[tuple[float, int, int]] = field(default_factory=deque)
    levels: Counter[int] = field(default_factory=Counter)

    def add(self, crossing: Crossing, now_s: float) -> None:
        """Add a request's bytes."""
        level = crossing.level
        self.parts.append((now_s, level, crossing.size))
        self.levels[level] += crossing.size

    def expire(self, now_s: float) -> None:
        """Remove the bytes that are older than the window."""
        while self.parts and self.parts[0][0] <= now_s - self.length_s:
            _, level, size = self.parts.popleft()
            self.levels[level] -= size

    def total(self, now_s: float) -> int:
        """Return the bytes of all levels."""
        self.expire(now_s)
        return self.levels.total()

    def of(self, level: int, now_s: float) -> int:
        """Return the bytes of a level."""
        self.expire(now_s)
        return self.levels[level]

    def above(self, level: int, now_s: float) -> int:
        """Return the bytes of higher levels."""
        self.expire(now_s)
        return sum(size for other, size in self.levels.items() if other > level)


@dataclass
class LinkBudget:
    """Bytes per second that requests may carry to one region.

    Parameters
    ----------
    carried : float
        Measured rate in bytes per second that the link carries of requests.
    rate : float
        Bytes per second that may be sent now.
    last_queue_s : float
        Delay by the queue when the rate was last adjusted.
    has_queued : bool
        True since the first queue.
    trips : deque
        Times and round trips of the last `BASE_WINDOW_S`.
    sent, wanted : ByteWindow
        Bytes of the last `WINDOW_S`.
    burst : ByteWindow
        Bytes that were sent in the last `PACE_S`.

    Examples
    --------
    >>> link = LinkBudget()
    >>> for poll in range(3):
    ...     link.measure(0.11, poll / 5)
    ...     link.spend(Crossing(300_000, 1.0), poll / 5)
    >>> round(link.rate)
    1000000
    >>> link.measure(0.11, 0.6)
    >>> round(link.rate)
    2000000
    """

    carried: float = FIRST_RATE
    rate: float = FIRST_RATE
    changed_s: float = 0.0
    last_queue_s: float = 0.0
    has_queued: bool = False
    trips: deque[tuple[float, float]] = field(default_factory=deque)
    sent: ByteWindow = field(default_factory=partial(ByteWindow, WINDOW_S))
    wanted: ByteWindow = field(default_factory=partial(ByteWindow, WINDOW_S))
    burst: ByteWindow = field(default_factory=partial(ByteWindow, PACE_S))

    def measure(self, round_trip_s: float, now_s: float) -> None:
        """Adjust the budget by the round trip of a poll."""
        self.trips.append((now_s, round_trip_s))
        while self.trips[0][0] <= now_s - BASE_WINDOW_S:
            self.trips.popleft()
        if now_s - self.changed_s >= WINDOW_S:
            sent_rate = self.sent.total(now_s) / WINDOW_S
            self.adjust(self.queue_s(now_s), sent_rate)
            self.changed_s = now_s

    def adjust(self, queue_s: float, sent_rate: float) -> None:
        """Adjust the budget by the queue of a window.

        Of what was sent, the part by which the queue grew was not carried yet.
        """
        growth = (queue_s - self.last_queue_s) / WINDOW_S
        self.last_queue_s = queue_s
        share = SENT_SHARE if self.has_queued else 1.0
        if queue_s > QUEUE_S:
            self.has_queued = True
            if sent_rate:
                self.carried = sent_rate / max(MIN_SENT_SHARE, 1 + growth)
            share = max(MIN_SENT_SHARE, SENT_SHARE - queue_s / DRAIN_S)
        elif sent_rate > NEEDED_SHARE * self.rate:
            self.carried *= GROWTH if self.has_queued else FIRST_GROWTH
        self.rate = share * self.carried

    @property
    def is_queueing(self) -> bool:
        """True while a queue is seen in the link."""
        return self.last_queue_s > QUEUE_S

    def queue_s(self, now_s: float) -> float:
        """Return by how much the round trip exceeds that without a queue."""
        base_s = min((trip_s for _, trip_s in self.trips), default=0.0)
        recent = [
            trip_s for at_s, trip_s in self.trips if now_s - at_s <= WINDOW_S
        ]
        return min(recent, default=base_s) - base_s

    def admits(self, crossing: Crossing, now_s: float) -> bool:
        """Return whether a request may be sent now.

        Its bytes come after those of all requests with more value for each
        byte that were wanted within the window, sent or not. So long prompts
        leave room for the short requests to come, and those are not held up by
        long prompts that have been sent.
        """
        level = crossing.level
        before = self.wanted.above(level, now_s)
        total = before + self.sent.of(level, now_s)
        if not total:
            # A body that exceeds the budget of a window crosses on its own.
            return True
        burst = self.burst.of(level, now_s)
        left = self.rate - before / WINDOW_S
        is_paced = not burst or burst + crossing.size <= left * PACE_S
        return is_paced and total + crossing.size <= self.rate * WINDOW_S

    def want(self, crossing: Crossing, now_s: float) -> None:
        """Record a request that finds no room in its own region."""
        self.wanted.expire(now_s)
        self.wanted.add(crossing, now_s)

    def spend(self, crossing: Crossing, now_s: float) -> None:
        """Record a request that is sent."""
        self.sent.add(crossing, now_s)
        self.burst.add(crossing, now_s)
