"""Upstreams that have stated in an answer that they are leaving."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field

# Departures of upstreams that are not present are kept for this long: one may
# be missing from the table of a control VM that has restarted.
RETENTION_S = 60.0


@dataclass
class DepartureTable:
    """Upstreams that are leaving, by their own answers.

    An incarnation that is leaving never accepts requests again.

    Parameters
    ----------
    stated_s : dict
        When each departure was recorded, in monotonic seconds.
    absent : set of str
        Those of upstreams that were not present at the last update.

    Examples
    --------
    >>> departures = DepartureTable()
    >>> departures.record('i-1', now_s=5.0)
    True
    >>> 'i-1' in departures
    True
    """

    stated_s: dict[str, float] = field(default_factory=dict)
    absent: set[str] = field(default_factory=set)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self.stated_s

    def present(self) -> Iterator[str]:
        """Yield the upstreams that are leaving and still present.

        Only these are sent to other processes. Two processes that sent each
        other the absent ones would never remove them.
        """
        for incarnation in self.stated_s:
            if incarnation not in self.absent:
                yield incarnation

    def record(self, incarnation: str, now_s: float) -> bool:
        """Record a departure; return whether it was unknown."""
        if incarnation in self.stated_s:
            return False
        self.stated_s[incarnation] = now_s
        return True

    def record_all(
        self, incarnations: Iterable[str], now_s: float
    ) -> list[str]:
        """Record departures; return those that were unknown."""
        return [name for name in incarnations if self.record(name, now_s)]

    def remove_absent(self, present: Container[str], now_s: float) -> None:
        """Remove older departures of upstreams that are not present."""
        self.absent = {name for name in self.stated_s if name not in present}
        for incarnation, stated_s in tuple(self.stated_s.items()):
            is_old = now_s - stated_s > RETENTION_S
            if is_old and incarnation not in present:
                self.stated_s.pop(incarnation)
