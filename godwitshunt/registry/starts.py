"""Starts of upstreams that have ended, so that late words of them are known.

An upstream may start again under the name that it gives itself: its count of
announcements begins anew, and whatever was learned of the start before says
nothing of the next. Times are seconds on this VM's monotonic clock.
"""

from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.records import UpstreamAnnounced

# Announcements come seconds late, and later where a partition held them up.
# For so long a start that began before the newest known one is taken for a
# late word; after it, for an upstream whose clock was set back between two
# starts. Users' partitions last for up to eight seconds.
LATE_WORD_S = 20.0
# For so long a start that left is known to have left.
TOMBSTONE_S = 120.0


@dataclass(frozen=True)
class EndedStart:
    """The newest start of an upstream that has ended.

    Parameters
    ----------
    instance : str
        What the upstream calls itself.
    born_ms : int or None
        When it started, by its own clock in Unix milliseconds; None where
        that is not known.
    """

    instance: str
    born_ms: int | None = None


@dataclass(frozen=True)
class NotedEnd:
    """An end, and when it was noted.

    Parameters
    ----------
    ended_s : float
        Monotonic seconds.
    ended_ms : float or None
        Unix milliseconds by this VM's clock, where a start that is not known
        ended: one that says that it began later is another one.
    """

    start: EndedStart
    ended_s: float
    ended_ms: float | None = None


@dataclass
class EndedStarts:
    """The newest ended start of each upstream.

    Examples
    --------
    >>> ends = EndedStarts()
    >>> ends.note(EndedStart('i-1', born_ms=1000), now_s=5.0)
    >>> ends.covers('i-1', 900, now_s=6.0), ends.covers('i-1', 1000, now_s=99.0)
    (True, True)
    >>> ends.covers('i-1', 2000, now_s=6.0), ends.covers('i-1', 900, now_s=99.0)
    (False, False)
    """

    by_instance: dict[str, NotedEnd] = field(default_factory=dict)

    def note(
        self,
        start: EndedStart,
        now_s: float,
        now_ms: float | None = None,
    ) -> None:
        """Note an end; that of an earlier start than is known changes nothing.

        An end whose start is not known is that of whatever was there.
        """
        known = self.by_instance.get(start.instance)
        if known is not None and is_earlier(start, known.start):
            start = known.start
        self.by_instance[start.instance] = NotedEnd(start, now_s, now_ms)

    def covers(
        self,
        instance: str,
        born_ms: int | None,
        now_s: float,
    ) -> bool:
        """Tell whether a word is of a start that is known to be over.

        Parameters
        ----------
        instance : str
            What the upstream calls itself.
        born_ms : int or None
            The start that the word is of; None where it does not tell.
        now_s : float
            When the word came.
        """
        known = self.by_instance.get(instance)
        if known is None:
            return False
        ended_born_ms = known.start.born_ms
        if born_ms is None or born_ms == ended_born_ms:
            return True
        if ended_born_ms is None and born_ms > (known.ended_ms or inf):
            return False
        if ended_born_ms is None or born_ms < ended_born_ms:
            return now_s - known.ended_s < LATE_WORD_S
        return False

    def forget(self, now_s: float) -> None:
        """Drop what ended long ago."""
        for instance, known in tuple(self.by_instance.items()):
            if now_s - known.ended_s > TOMBSTONE_S:
                self.by_instance.pop(instance)


def is_earlier(one: EndedStart, other: EndedStart) -> bool:
    """Tell whether a start is not known to be as late as another one."""
    if other.born_ms is None:
        return False
    return one.born_ms is None or one.born_ms < other.born_ms


def is_other_start(
    known: UpstreamAnnounced,
    announcement: UpstreamAnnounced,
) -> bool:
    """Tell whether two words of one upstream are of different starts.

    A word that does not tell its start goes with whatever start is known; one
    that does follows one that does not, unless its count goes on.
    """
    if announcement.born_ms is None or announcement.born_ms == known.born_ms:
        return False
    if known.born_ms is None:
        return announcement.sequence <= known.sequence
    return True
