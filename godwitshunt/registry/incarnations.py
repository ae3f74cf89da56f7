"""Ended incarnations of upstreams, so that late messages can be ignored.

An upstream may restart under the same instance name. Its announcement
sequence then begins again, and nothing learned about the previous incarnation
applies to the next. Times are seconds on this VM's monotonic clock.
"""

from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.records import UpstreamAnnounced

# Announcements arrive seconds late, and later still after a network partition;
# expected partitions last for up to eight seconds. For this long an incarnation
# that started before the newest known one is treated as a delayed message;
# after that, as an upstream whose clock was set back before a restart.
MAX_ANNOUNCEMENT_DELAY_S = 20.0
# How long the end of an incarnation is remembered.
TOMBSTONE_TTL_S = 120.0


@dataclass(frozen=True)
class EndedIncarnation:
    """The newest incarnation of an upstream that has ended.

    Parameters
    ----------
    instance : str
        Name that the upstream gives itself.
    born_ms : int or None
        Its start time by its own clock, in Unix milliseconds; None if unknown.
    expired : bool
        True if one control VM has only stopped to hear it. It may announce
        itself to another one.
    """

    instance: str
    born_ms: int | None = None
    expired: bool = False


@dataclass(frozen=True)
class RecordedEnd:
    """The end of an incarnation and when it was recorded.

    Parameters
    ----------
    ended_s : float
        Monotonic seconds.
    ended_ms : float or None
        For an incarnation with an unknown start time: when it ended, in Unix
        milliseconds by this VM's clock. An announcement with a later start
        time belongs to another incarnation.
    """

    incarnation: EndedIncarnation
    ended_s: float
    ended_ms: float | None = None


@dataclass
class EndedIncarnations:
    """The newest ended incarnation of each upstream.

    Examples
    --------
    >>> ends = EndedIncarnations()
    >>> ends.record(EndedIncarnation('i-1', born_ms=1000), now_s=5.0)
    >>> ends.covers('i-1', 900, now_s=6.0), ends.covers('i-1', 1000, now_s=99.0)
    (True, True)
    >>> ends.covers('i-1', 2000, now_s=6.0), ends.covers('i-1', 900, now_s=99.0)
    (False, False)
    """

    by_instance: dict[str, RecordedEnd] = field(default_factory=dict)

    def record(
        self,
        incarnation: EndedIncarnation,
        now_s: float,
        now_ms: float | None = None,
    ) -> None:
        """Record the end of an incarnation; keep the newest known start time.

        An end without a start time applies to whichever incarnation was
        running.
        """
        known = self.by_instance.get(incarnation.instance)
        if known is not None and is_earlier(incarnation, known.incarnation):
            incarnation = known.incarnation
        self.by_instance[incarnation.instance] = RecordedEnd(
            incarnation,
            now_s,
            now_ms,
        )

    def covers(
        self,
        instance: str,
        born_ms: int | None,
        now_s: float,
    ) -> bool:
        """Return whether a message is from an incarnation known to have ended.

        Parameters
        ----------
        instance : str
            Name that the upstream gives itself.
        born_ms : int or None
            Start time of the incarnation in the message; None if absent.
        now_s : float
            When the message arrived.
        """
        known = self.by_instance.get(instance)
        if known is None:
            return False
        ended_born_ms = known.incarnation.born_ms
        if born_ms is None or born_ms == ended_born_ms:
            return True
        if ended_born_ms is None and born_ms > (known.ended_ms or inf):
            return False
        if ended_born_ms is None or born_ms < ended_born_ms:
            return now_s - known.ended_s < MAX_ANNOUNCEMENT_DELAY_S
        return False

    def expire(self, now_s: float) -> None:
        """Remove the ends that are older than `TOMBSTONE_TTL_S`."""
        for instance, known in tuple(self.by_instance.items()):
            if now_s - known.ended_s > TOMBSTONE_TTL_S:
                self.by_instance.pop(instance)


def is_earlier(ended: EndedIncarnation, other: EndedIncarnation) -> bool:
    """Return whether an incarnation must be assumed to predate another."""
    if other.born_ms is None:
        return False
    return ended.born_ms is None or ended.born_ms < other.born_ms


def is_other_incarnation(
    known: UpstreamAnnounced,
    announcement: UpstreamAnnounced,
) -> bool:
    """Return whether two announcements are of different incarnations.

    An announcement without a start time belongs to the known incarnation. One
    with a start time, after one without, is a new incarnation unless its
    sequence continues.
    """
    if announcement.born_ms is None or announcement.born_ms == known.born_ms:
        return False
    if known.born_ms is None:
        return announcement.sequence <= known.sequence
    return True
