"""Budget of the bytes that a process holds for slow connections; no I/O.

Load that this answers: a thousand callers that read long answers slowly, and
upstreams that stop reading within a long request, at a process with 200 MB.
Below the budget nothing is refused or ended. When it is full, one held
request or answer is ended at a time until the rest is within it.

All times are seconds on the process's monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf

# A transfer that has gone on for less than this is not taken for a slow one.
SLOW_AFTER_S = 1.0
# One answer is read on to this share of the budget; beyond it, its upstream is
# slowed again.
CONNECTION_SHARE = 0.125


@dataclass(eq=False)
class Holding:
    """Bytes that are held for one caller's connection.

    Parameters
    ----------
    end : callable
        Closes the connection and releases the bytes.
    rank : int or None
        Rank of the route, 0 for the most urgent; None while the request is
        received. It then counts as urgent: otherwise a full budget would end
        every new request.
    name : str
        The request, for logs.
    body_bytes : int
        Body of the request, until its answer is complete.
    gathered_bytes : int
        Answer that is received whole before any of it is sent.
    answer_bytes : int
        Part of an answer that waits to be written to a send buffer.
    is_receiving : bool
        True while the body is being received.
    buffers : dict
        Functions that return the bytes in a send buffer, by connection: the
        caller's, and that of the upstream to which the request is sent.
    size : int
        All bytes as last counted.
    since_s : float or None
        Since when bytes have been waiting to be sent or received; None if
        none are.
    moved_bytes : int
        Bytes that were to be sent, or were received, since then.
    is_ended : bool
        True once the connection has ended; it holds nothing from then on.
    """

    end: Callable[[], None]
    rank: int | None = None
    name: str = ''
    body_bytes: int = 0
    gathered_bytes: int = 0
    answer_bytes: int = 0
    is_receiving: bool = False
    buffers: dict[object, Callable[[], int]] = field(default_factory=dict)
    size: int = 0
    since_s: float | None = None
    moved_bytes: int = 0
    is_ended: bool = False

    def unsent_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        return self.answer_bytes + sum(
            buffered() for buffered in self.buffers.values()
        )

    def taken_per_s(self, now_s: float) -> float:
        """Return the rate of the transfer; infinite if none is slow."""
        if self.since_s is None or now_s - self.since_s < SLOW_AFTER_S:
            return inf
        taken_bytes = self.moved_bytes - self.unsent_bytes()
        return max(0, taken_bytes) / (now_s - self.since_s)


@dataclass
class BufferBudget:
    """Counts what is held, by connection and in total.

    Parameters
    ----------
    limit_bytes : int
        Largest total.
    on_ended : callable
        Called with each holding that is ended for the budget, and with the
        total before that.
    held_bytes : int
        The total as last counted. Sent bytes are subtracted late, so it may
        be too high but not too low.

    Examples
    --------
    >>> ended = []
    >>> budget = BufferBudget(100, lambda holding, _: ended.append(holding))
    >>> slow, urgent = Holding(lambda: None, rank=1), Holding(lambda: None, 0)
    >>> slow.answer_bytes, urgent.answer_bytes = 60, 60
    >>> budget.update(urgent, 0.0)
    >>> budget.update(slow, 0.5)
    >>> budget.held_bytes, ended == [slow]
    (60, True)
    """

    limit_bytes: int
    on_ended: Callable[[Holding, int], None]
    held_bytes: int = 0
    holdings: dict[Holding, None] = field(default_factory=dict)

    @property
    def connection_bytes(self) -> int:
        """Bytes up to which an answer is read on for a slow caller."""
        return int(CONNECTION_SHARE * self.limit_bytes)

    def update(self, holding: Holding, now_s: float, moved: int = 0) -> None:
        """Count what a connection holds now; end holdings beyond the limit.

        Parameters
        ----------
        moved : int
            Bytes that were received or are to be sent since the last update.
        """
        self.count(holding, now_s, moved)
        if self.held_bytes > self.limit_bytes:
            self.measure(now_s)
        while self.held_bytes > self.limit_bytes:
            victim = self.next_to_end(now_s)
            self.on_ended(victim, self.held_bytes)
            self.remove(victim)
            victim.end()

    def next_to_end(self, now_s: float) -> Holding:
        """Return the holding that is ended first."""
        return min(self.holdings, key=partial(ending_order, now_s=now_s))

    def count(self, holding: Holding, now_s: float, moved: int = 0) -> None:
        """Count what a connection holds now."""
        if holding.is_ended:
            return
        unsent_bytes = holding.unsent_bytes()
        if unsent_bytes or holding.is_receiving:
            if holding.since_s is None:
                holding.since_s = now_s
                holding.moved_bytes = 0
            holding.moved_bytes += moved
        else:
            holding.since_s = None
        size = holding.body_bytes + holding.gathered_bytes + unsent_bytes
        self.held_bytes += size - holding.size
        holding.size = size
        if size:
            self.holdings[holding] = None
        else:
            self.holdings.pop(holding, None)

    def measure(self, now_s: float) -> None:
        """Count all holdings again."""
        for holding in tuple(self.holdings):
            self.count(holding, now_s)

    def remove(self, holding: Holding) -> None:
        """Remove a connection that has ended."""
        self.holdings.pop(holding, None)
        self.held_bytes -= holding.size
        holding.size = 0
        holding.is_ended = True


def ending_order(holding: Holding, now_s: float) -> tuple[int, float, int]:
    """Return the sort key by which holdings are ended, first ones first.

    The least urgent one goes first, then the slowest, then the largest. A
    request that waits for its answer is not slow.
    """
    taken_per_s = holding.taken_per_s(now_s)
    return -(holding.rank or 0), taken_per_s, -holding.size
