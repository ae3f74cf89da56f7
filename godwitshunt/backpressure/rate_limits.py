"""Rate limits that upstreams state in their answers."""

from collections.abc import Container, Iterator
from dataclasses import dataclass, field

from godwitshunt.backpressure.notices import record_newest

# Notices of an upstream that is not present are kept for this long: it may be
# missing from the table of a control VM that has restarted.
RETENTION_S = 60.0


@dataclass(frozen=True)
class RateLimitNotice:
    """What one answer states about the rate limit of its upstream.

    Parameters
    ----------
    incarnation : str
        The upstream.
    per_s : float or None
        Requests per second that it accepts from all VMs together; None if the
        answer states no limit.
    asof_s : float
        When the answer was received, in monotonic seconds. Without a limit,
        when its request was sent: the answer may have been made before one
        that was received earlier.
    """

    incarnation: str
    per_s: float | None
    asof_s: float


@dataclass
class RateLimitTable:
    """The newest notice of each upstream that has stated a rate limit.

    The notice that a limit has ended is retained as well. Otherwise the notice
    of another VM, received late, would restore the limit.

    Examples
    --------
    >>> table = RateLimitTable()
    >>> table.record(RateLimitNotice('i-1', 2.0, asof_s=5.0))
    True
    >>> table.record(RateLimitNotice('i-1', None, asof_s=4.9))
    False
    >>> table.per_s('i-1')
    2.0
    """

    notices: dict[str, RateLimitNotice] = field(default_factory=dict)

    def record(self, notice: RateLimitNotice) -> bool:
        """Record a notice; return whether it changes the limit."""
        return record_newest(self.notices, notice.incarnation, notice)

    def per_s(self, incarnation: str) -> float | None:
        """Return the rate limit of an upstream; None if it has none."""
        notice = self.notices.get(incarnation)
        return None if notice is None else notice.per_s

    def limited(self) -> Iterator[RateLimitNotice]:
        """Yield the notices of the upstreams that have a limit."""
        for notice in self.notices.values():
            if notice.per_s is not None:
                yield notice

    def remove_absent(self, present: Container[str], now_s: float) -> None:
        """Remove the older notices of upstreams that are not present."""
        for notice in tuple(self.notices.values()):
            is_old = now_s - notice.asof_s > RETENTION_S
            if is_old and notice.incarnation not in present:
                self.notices.pop(notice.incarnation)
