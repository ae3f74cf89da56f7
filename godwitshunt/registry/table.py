"""The table of upstreams that announced themselves to a control VM.

Each change receives the next version, so that an entry VM can request what
changed after the version that it holds. No I/O; times are seconds on this
VM's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from godwitshunt.registry.incarnations import (
    MAX_ANNOUNCEMENT_DELAY_S,
    TOMBSTONE_TTL_S,
    EndedIncarnation,
    EndedIncarnations,
    is_other_incarnation,
)
from godwitshunt.registry.records import UpstreamAnnounced, incarnation_name
from godwitshunt.settings import Address

# Announcements are sent every 1.2 s and some are seconds late; an upstream
# that crashed sends none. After three missed in a row it is marked silent,
# which by itself takes no requests from it while it still responds to them.
SILENT_AFTER_S = 4.5
# A silent upstream is removed after this time without an announcement.
EXPIRED_AFTER_S = 60.0
# A new incarnation at an address replaces one that missed two announcements.
REPLACEABLE_AFTER_S = 2.5
# The remaining cold time falls by itself; only a rise beyond this is a change.
COLD_MARGIN_S = 0.5


@dataclass(frozen=True)
class Taken:
    """The announcement is the newest of its incarnation and was applied."""


@dataclass(frozen=True)
class Stale:
    """The incarnation has ended, or a newer announcement was applied."""


@dataclass(frozen=True)
class Foreign:
    """The announcement contradicts an incarnation that is still announcing.

    An incarnation never changes its service, address or failure domain; so
    another writer is using its name, whose announcements must not displace it.

    Parameters
    ----------
    field : str
        The field that differs.
    """

    field: str


AnnounceOutcome = Taken | Stale | Foreign


@dataclass
class UpstreamEntry:
    """One incarnation in the table."""

    announcement: UpstreamAnnounced
    last_seen_s: float
    cold_until_s: float
    version: int
    silent: bool = False


@dataclass(frozen=True)
class Tombstone:
    """A removed incarnation, with the version and the time of its removal."""

    incarnation: EndedIncarnation
    version: int
    ended_s: float


@dataclass
class UpstreamTable:
    """The upstreams that announced themselves here and have not left.

    Parameters
    ----------
    entries : dict
        Newest incarnation of each upstream, by instance name.
    tombstones : dict
        Ended incarnations by name, for updates to entry VMs.
    ends : EndedIncarnations
        Distinguishes late announcements from those of a later incarnation.

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
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    ends: EndedIncarnations = field(default_factory=EndedIncarnations)
    version: int = 0

    def announce(
        self,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> AnnounceOutcome:
        """Apply an announcement; a late one changes nothing."""
        if self.ends.covers(
            announcement.instance,
            announcement.born_ms,
            now_s,
        ):
            return Stale()
        known = self.entries.get(announcement.instance)
        if known is not None and is_other_incarnation(
            known.announcement,
            announcement,
        ):
            if not self.is_successor(known, announcement, now_s):
                return Stale()
            self.end_incarnation(known.announcement, now_s)
            # If the clock was set back, the ended incarnation has the later
            # start time; recorded as an end it would cover its successor.
            self.ends.by_instance.pop(announcement.instance, None)
            known = None
        if known is None:
            self.add(announcement, now_s)
            return Taken()
        return self.apply_to_known(known, announcement, now_s)

    def apply_to_known(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> AnnounceOutcome:
        """Apply another announcement of the known incarnation."""
        field_name = conflicting_field(known.announcement, announcement)
        if field_name is not None:
            return self.resolve_conflict(
                known,
                announcement,
                field_name,
                now_s,
            )
        if announcement.sequence <= known.announcement.sequence:
            return Stale()
        self.update(
            known,
            replace(announcement, born_ms=known.announcement.born_ms),
            now_s,
        )
        return Taken()

    def resolve_conflict(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        field_name: str,
        now_s: float,
    ) -> AnnounceOutcome:
        """Replace the known incarnation by a conflicting one if it is silent.

        Nothing tells which of the two writers owns the name; the one that
        continues to announce itself keeps it.
        """
        if now_s - known.last_seen_s <= SILENT_AFTER_S:
            return Foreign(field_name)
        self.entries.pop(known.announcement.instance)
        self.add(announcement, now_s)
        return Taken()

    def is_successor(
        self,
        known: UpstreamEntry,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> bool:
        """Return whether an incarnation started after the known one.

        An earlier start time means a late announcement for as long as one may
        arrive; after that, the upstream's clock was set back.
        """
        if (
            known.announcement.born_ms is None
            or announcement.born_ms > known.announcement.born_ms
        ):
            return True
        return now_s - known.last_seen_s > MAX_ANNOUNCEMENT_DELAY_S

    def restore(
        self,
        upstreams: Iterable[UpstreamAnnounced],
        ends: Iterable[EndedIncarnation],
        now_s: float,
    ) -> None:
        """Restore the upstreams that the previous process stored.

        They have not announced themselves to this process and are therefore
        silent: others are preferred, and another upstream at the same address
        replaces them.
        """
        for ended in ends:
            if not ended.expired:
                self.ends.record(ended, now_s)
            self.add_tombstone(ended, now_s)
        for announcement in upstreams:
            if self.ends.covers(
                announcement.instance,
                announcement.born_ms,
                now_s,
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
        """Add an incarnation that is not in the table."""
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
        """Apply a newer announcement; a new version only if it changes any."""
        before = replace(known.announcement, sequence=0, cold_s=0)
        after = replace(announcement, sequence=0, cold_s=0)
        # An incarnation that is draining never accepts requests again.
        after = replace(after, draining=after.draining or before.draining)
        cold_until_s = now_s + announcement.cold_s
        warms_later = cold_until_s > known.cold_until_s + COLD_MARGIN_S
        is_change = before != after or known.silent
        if is_change or (announcement.cold_s > 0 and warms_later):
            known.version = self.next_version()
        known.announcement = replace(announcement, draining=after.draining)
        known.last_seen_s = now_s
        known.cold_until_s = cold_until_s
        known.silent = False

    def replace_silent(self, address: Address, now_s: float) -> None:
        """End the incarnations that another one replaces at an address."""
        for known in tuple(self.entries.values()):
            silent_s = now_s - known.last_seen_s
            if (
                known.announcement.address == address
                and silent_s > REPLACEABLE_AFTER_S
            ):
                self.end_incarnation(known.announcement, now_s)

    def withdraw(
        self,
        instance: str,
        now_s: float,
        now_ms: float | None = None,
    ) -> None:
        """End the known incarnation of an upstream for good.

        Parameters
        ----------
        instance : str
            Name that the upstream gives itself.
        now_s : float
            Monotonic seconds.
        now_ms : float or None
            Unix milliseconds; distinguishes a later incarnation from the
            withdrawn one if that never announced itself here.
        """
        known = self.entries.get(instance)
        if known is not None:
            self.end_incarnation(known.announcement, now_s)
            return
        self.ends.record(EndedIncarnation(instance), now_s, now_ms)
        self.add_tombstone(EndedIncarnation(instance), now_s)

    def end(self, ended: EndedIncarnation, now_s: float) -> None:
        """End the incarnation that another control VM was told of.

        One that was started since goes on.
        """
        known = self.entries.get(ended.instance)
        born_ms = None if known is None else known.announcement.born_ms
        if known is not None and ended.born_ms in {None, born_ms}:
            self.end_incarnation(known.announcement, now_s)
            return
        self.ends.record(ended, now_s)
        self.add_tombstone(ended, now_s)

    def end_incarnation(
        self,
        announcement: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        """End one incarnation for good."""
        self.entries.pop(announcement.instance, None)
        ended = EndedIncarnation(announcement.instance, announcement.born_ms)
        self.ends.record(ended, now_s)
        self.add_tombstone(ended, now_s)

    def expire(self, announcement: UpstreamAnnounced, now_s: float) -> None:
        """Remove a silent incarnation, which another control VM may hear."""
        self.entries.pop(announcement.instance)
        expired = EndedIncarnation(
            announcement.instance, announcement.born_ms, expired=True
        )
        self.add_tombstone(expired, now_s)

    def add_tombstone(self, ended: EndedIncarnation, now_s: float) -> None:
        """Add the removal of an incarnation as a new version."""
        name = incarnation_name(ended.instance, ended.born_ms)
        known = self.tombstones.get(name)
        if known is None or known.incarnation != ended:
            self.tombstones[name] = Tombstone(
                ended,
                self.next_version(),
                now_s,
            )

    def tick(self, now_s: float) -> None:
        """Mark silent upstreams and remove what has expired."""
        for known in tuple(self.entries.values()):
            silent_s = now_s - known.last_seen_s
            if silent_s > EXPIRED_AFTER_S:
                self.expire(known.announcement, now_s)
            elif silent_s > SILENT_AFTER_S and not known.silent:
                known.silent = True
                known.version = self.next_version()
        self.ends.expire(now_s)
        for name, tombstone in tuple(self.tombstones.items()):
            if now_s - tombstone.ended_s > TOMBSTONE_TTL_S:
                self.tombstones.pop(name)

    def changed_since(self, version: int) -> tuple[UpstreamEntry, ...]:
        """Return the incarnations that changed after a version."""
        return tuple(
            known for known in self.entries.values() if known.version > version
        )

    def ended_since(self, version: int) -> tuple[EndedIncarnation, ...]:
        """Return the incarnations that ended after a version."""
        return tuple(
            tombstone.incarnation
            for tombstone in self.tombstones.values()
            if tombstone.version > version
        )

    def next_version(self) -> int:
        """Increment the version and return it."""
        self.version += 1
        return self.version


def conflicting_field(
    known: UpstreamAnnounced,
    announcement: UpstreamAnnounced,
) -> str | None:
    """Return the first immutable field that differs; None if none does."""
    for name in ('service', 'address', 'failure_domain'):
        if getattr(announcement, name) != getattr(known, name):
            return name
    return None
