"""Services whose upstreams fail when they reject many requests."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitshunt.backpressure.notices import record_newest


@dataclass(frozen=True)
class BrittleNotice:
    """What one answer states about the rejections that its service bears.

    Parameters
    ----------
    service : str
        The service; a restarted upstream bears no more than the one before.
    per_s : float or None
        Rejections per second that an upstream bears; None if the answer
        states no bound.
    asof_s : float
        When the answer was received, in monotonic seconds. Without a bound,
        when its request was sent.
    """

    service: str
    per_s: float | None
    asof_s: float


@dataclass
class BrittleTable:
    """The newest notice of each service that has stated a bound.

    The notice that a bound has ended is retained as well. Otherwise the notice
    of another VM, received late, would restore the bound.

    Examples
    --------
    >>> table = BrittleTable()
    >>> table.record(BrittleNotice('chat', 3.0, asof_s=5.0))
    True
    >>> table.is_brittle('chat')
    True
    >>> table.record(BrittleNotice('chat', None, asof_s=4.9))
    False
    """

    notices: dict[str, BrittleNotice] = field(default_factory=dict)

    def record(self, notice: BrittleNotice) -> bool:
        """Record a notice; return whether it changes the bound."""
        return record_newest(self.notices, notice.service, notice)

    def is_brittle(self, service: str) -> bool:
        """Return whether the upstreams of a service are brittle."""
        return self.rejections_per_s(service) is not None

    def rejections_per_s(self, service: str) -> float | None:
        """Return the rejections that an upstream bears; None for any."""
        notice = self.notices.get(service)
        return None if notice is None else notice.per_s

    def stated(self) -> Iterator[BrittleNotice]:
        """Yield the notices of the services that are brittle."""
        for notice in self.notices.values():
            if notice.per_s is not None:
                yield notice
