"""The table of upstreams that a control VM has heard of; pure.

Each change gets the next version, so that an entry VM asks for what is newer
than the version it holds. Times are seconds on this VM's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from godwitshunt.registry.records import UpstreamAnnounced, incarnation_name
from godwitshunt.registry.starts import (
    LATE_WORD_S,
    TOMBSTONE_S,
    EndedStart,
    EndedStarts,
    is_other_start,
)
from godwitshunt.settings import Address

# Announcements come every 1.2 s and some are seconds late; an upstream that
# crashed sends nothing. Three lost in a row make it silent, which alone takes
# no work from it as long as its answers come.
SILENT_AFTER_S = 4.5
# A silent upstream that nothing was heard of for so long is forgotten.
FORGOTTEN_AFTER_S = 60.0
# A new incarnation at an address replaces one that missed two announcements.
REPLACED_AFTER_S = 2.5
# Remaining cold time falls by itself; only a rise beyond this is news.
COLD_MARGIN_S = 0.5


@dataclass(frozen=True)
class Taken:
    """The announcement is the newest of its incarnation."""


@dataclass(frozen=True)
class Stale:
    """The incarnation has left, or has announced something newer."""


@dataclass(frozen=True)
class Foreign:
    """It tells another service or place of a start that is heard.

    No start changes them; so another writer uses the upstream's name, and
    what it says must not cost the upstream its place.

    Parameters
    ----------
    field : str
        What differs.
    """

    field: str


AnnounceOutcome = Taken | Stale | Foreign


@dataclass
class UpstreamEntry:
    """One incarnation in the table."""

    announcement: UpstreamAnnounced
    heard_s: float
    cold_until_s: float
    version: int
    silent: bool = False


@dataclass(frozen=True)
class GoneStart:
    """A start that ended, the version of that, and when."""

    start: EndedStart
    version: int
    gone_s: float


@dataclass
class UpstreamTable:
    """Every upstream that announced itself here and has not left.

    Parameters
    ----------
    entries : dict
        The newest start of each, by what the upstream calls itself.
    gone : dict
        Starts that ended, by incarnation; entry VMs are told of them.
    ends : EndedStarts
        Tells late words of the past from a later start.

    Examples
    --------
    >>> address = Address(host='10.0.0.1', port=80)
    >>> one = UpstreamAnnounced('i-1', 'chat', address, 'a', 8, False, 0, 1)
    >>> table = UpstreamTable()
    >>> table.announce(one, now_s=0)
    Taken()
    >>> table.announce(one, now_s=1)
    Stale()
    """

    entries: dict[str, UpstreamEntry] = field(default_factory=dict)
    gone: dict[str, GoneStart] = field(default_factory=dict)
    ends: EndedStarts = field(default_factory=EndedStarts)
    version: int = 0

    def announce(
        self,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> AnnounceOutcome:
        """Take an announcement; a late one of the past changes nothing."""
        if self.ends.covers(announcement.instance, announcement.born_ms, now_s):
            return Stale()
        known = self.entries.get(announcement.instance)
        if known is not None and is_other_start(
            known.announcement, announcement
        ):
            if not self.follows(known, announcement, now_s):
                return Stale()
            self.end_start(known.announcement, now_s)
            # The one that ended began later by its clock, which was set back;
            # as an end it would cover the one that follows it.
            self.ends.by_instance.pop(announcement.instance, None)
            known = None
        if known is None:
            self.add(announcement, now_s)
            return Taken()
        return self.renew(known, announcement, now_s)

    def renew(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> AnnounceOutcome:
        """Take another announcement of the start that is known."""
        field_name = other_place(known.announcement, announcement)
        if field_name is not None:
            return self.move(known, announcement, field_name, now_s)
        if announcement.sequence <= known.announcement.sequence:
            return Stale()
        self.update(
            known,
            replace(announcement, born_ms=known.announcement.born_ms),
            now_s,
        )
        return Taken()

    def move(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        field_name: str,
        now_s: float,
    ) -> AnnounceOutcome:
        """Take a word that tells another place, where the known one is silent.

        Which of two writers owns the name is not told; the one that goes on
        to announce itself keeps it.
        """
        if now_s - known.heard_s <= SILENT_AFTER_S:
            return Foreign(field_name)
        self.entries.pop(known.announcement.instance)
        self.add(announcement, now_s)
        return Taken()

    def follows(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> bool:
        """Tell whether a start came after the one that is known.

        One that began earlier by its own clock is a late word of the past, as
        long as words of that may come; after it, its clock was set back.
        """
        if (
            known.announcement.born_ms is None
            or announcement.born_ms > known.announcement.born_ms
        ):
            return True
        return now_s - known.heard_s > LATE_WORD_S

    def restore(
        self,
        upstreams: Iterable[UpstreamAnnounced],
        ends: Iterable[EndedStart],
        now_s: float,
    ) -> None:
        """Take up what this VM knew before its process ended.

        Nobody has heard of these upstreams since, so they are silent: others
        are better, and another one at their address takes their place.
        """
        for start in ends:
            self.ends.note(start, now_s)
            self.note_gone(start, now_s)
        for announcement in upstreams:
            if self.ends.covers(
                announcement.instance, announcement.born_ms, now_s
            ):
                continue
            self.entries[announcement.instance] = UpstreamEntry(
                announcement,
                now_s - SILENT_AFTER_S,
                now_s + announcement.cold_s,
                self.next_version(),
                silent=True,
            )

    def add(self, announcement: UpstreamAnnounced, now_s: float) -> None:
        """Take a start that was not known."""
        self.replace_silent(announcement.address, now_s)
        self.entries[announcement.instance] = UpstreamEntry(
            announcement,
            now_s,
            now_s + announcement.cold_s,
            self.next_version(),
        )

    def update(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        """Take a newer announcement; a version only where it says more."""
        before = replace(known.announcement, sequence=0, cold_s=0)
        after = replace(announcement, sequence=0, cold_s=0)
        # An incarnation that began to drain never goes back.
        after = replace(after, draining=after.draining or before.draining)
        cold_until_s = now_s + announcement.cold_s
        warms_later = cold_until_s > known.cold_until_s + COLD_MARGIN_S
        is_news = before != after or known.silent
        if is_news or (announcement.cold_s > 0 and warms_later):
            known.version = self.next_version()
        known.announcement = replace(announcement, draining=after.draining)
        known.heard_s = now_s
        known.cold_until_s = cold_until_s
        known.silent = False

    def replace_silent(self, address: Address, now_s: float) -> None:
        """Drop incarnations that another one has followed at an address."""
        for known in tuple(self.entries.values()):
            silent_s = now_s - known.heard_s
            if (
                known.announcement.address == address
                and silent_s > REPLACED_AFTER_S
            ):
                self.end_start(known.announcement, now_s)

    def withdraw(
        self,
        instance: str,
        now_s: float,
        now_ms: float | None = None,
    ) -> None:
        """Let the start of an upstream that is known be gone for good.

        Parameters
        ----------
        instance : str
            What the upstream calls itself.
        now_s : float
            Monotonic seconds.
        now_ms : float or None
            Unix milliseconds; tells a later start from the one that left,
            where that one was not heard here.
        """
        known = self.entries.get(instance)
        if known is not None:
            self.end_start(known.announcement, now_s)
            return
        self.ends.note(EndedStart(instance), now_s, now_ms)
        self.note_gone(EndedStart(instance), now_s)

    def end_start(self, announcement: UpstreamAnnounced, now_s: float) -> None:
        """Let one start be gone for good."""
        self.entries.pop(announcement.instance, None)
        start = EndedStart(announcement.instance, announcement.born_ms)
        self.ends.note(start, now_s)
        self.note_gone(start, now_s)

    def note_gone(self, start: EndedStart, now_s: float) -> None:
        """Make an end news."""
        name = incarnation_name(start.instance, start.born_ms)
        if name not in self.gone:
            self.gone[name] = GoneStart(start, self.next_version(), now_s)

    def tick(self, now_s: float) -> None:
        """Note who has fallen silent; forget what is long past."""
        for known in tuple(self.entries.values()):
            silent_s = now_s - known.heard_s
            if silent_s > FORGOTTEN_AFTER_S:
                self.end_start(known.announcement, now_s)
            elif silent_s > SILENT_AFTER_S and not known.silent:
                known.silent = True
                known.version = self.next_version()
        self.ends.forget(now_s)
        for name, gone in tuple(self.gone.items()):
            if now_s - gone.gone_s > TOMBSTONE_S:
                self.gone.pop(name)

    def changed_since(self, version: int) -> tuple[UpstreamEntry, ...]:
        """Return the incarnations with news after a version."""
        return tuple(
            known for known in self.entries.values() if known.version > version
        )

    def gone_since(self, version: int) -> tuple[EndedStart, ...]:
        """Return the starts that ended after a version."""
        return tuple(
            one.start for one in self.gone.values() if one.version > version
        )

    def next_version(self) -> int:
        """Return the version of the next change."""
        self.version += 1
        return self.version


def other_place(
    known: UpstreamAnnounced,
    announcement: UpstreamAnnounced,
) -> str | None:
    """Return the first field of a start's place that differs; None for none."""
    for name in ('service', 'address', 'failure_domain'):
        if getattr(announcement, name) != getattr(known, name):
            return name
    return None
