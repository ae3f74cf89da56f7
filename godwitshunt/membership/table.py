"""Upstreams of a region under leases, as pure logic.

An upstream is used while its lease lasts: a bounded time from its own
announcement, wherever that was received. The highest (incarnation, sequence)
of a name wins, so late, doubled and reordered messages change nothing, and a
departure is remembered for longer than any message can be late.
"""

from dataclasses import dataclass, field
from itertools import islice

from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.membership.events import (
    MILLISECONDS,
    Announced,
    DetailsMissing,
    Full,
    Gossiped,
    Joined,
    Lapsed,
    Late,
    Left,
    PrefixesChanged,
    Refreshed,
    RequestFinished,
    RequestSent,
    Stale,
    Tick,
    UpstreamChange,
    UpstreamDetails,
    UpstreamEvent,
    UpstreamLoad,
    Withdrawn,
)
from godwitshunt.membership.records import Tombstone, UpstreamRecord
from godwitshunt.membership.views import UpstreamView

MAX_UPSTREAMS = 4096
MAX_TOMBSTONES = 4096
# Announcements come over HTTP, whose senders give up within a minute or two:
# a doubled one is never later than this.
TOMBSTONE_S = 600.0
# Ages in views may be this much too small; a lease that runs out is seen at
# once all the same.
VIEW_REFRESH_S = 0.5

END_OF_INCARNATION = 2**63 - 1

Changes = tuple[UpstreamChange, ...]


@dataclass
class UpstreamTable:
    """All upstreams of one region as one VM knows them.

    Parameters
    ----------
    region : str
        The VM's region.
    lease_s : float
        Seconds after an announcement until its upstream gets no more work.
    """

    region: str
    lease_s: float = 2.5
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    cached_views: dict[str, UpstreamView] = field(default_factory=dict)
    cached_tuple: tuple[UpstreamView, ...] = ()
    changed: set[str] = field(default_factory=set)
    views_built_s: float = 0.0
    next_lapse_s: float = 0.0

    def apply(self, event: UpstreamEvent, now_s: float) -> Changes:
        """Take one event and return the changes that it made."""
        match event:
            case Announced():
                return self.announced(event, now_s)
            case Gossiped():
                return self.gossiped(event, now_s)
            case Withdrawn():
                return self.withdrawn(event, now_s)
            case PrefixesChanged():
                self.prefixes_changed(event)
            case RequestSent() | RequestFinished():
                self.work_changed(event, now_s)
            case Tick():
                return self.lapse(now_s)
        return ()

    def announced(self, event: Announced, now_s: float) -> Changes:
        """Take an announcement that this VM received itself."""
        announcement = event.announcement
        changes = self.gossiped(as_gossip(event), now_s)
        if any(isinstance(change, Stale | Full) for change in changes):
            return changes
        record = self.records[event.name]
        record.change_prefixes(
            announcement.cached_added,
            announcement.cached_dropped,
        )
        if announcement.leaving:
            departure = Withdrawn(
                event.name,
                announcement.incarnation,
                announcement.sequence,
            )
            return self.withdrawn(departure, now_s)
        return changes

    def gossiped(self, event: Gossiped, now_s: float) -> Changes:
        """Take an announcement of known age."""
        stale = self.newer_than(event.name, event.incarnation, event.sequence)
        if stale is not None:
            return (stale,)
        if event.age_s >= self.lease_s:
            return (Late(event.name),)
        record = self.records.get(event.name)
        if record is None or record.incarnation != event.incarnation:
            return self.join(event, now_s)
        details_changed = record.update(event, now_s)
        self.changed.add(event.name)
        return (Refreshed(event.name, details_changed),)

    def newer_than(
        self,
        name: str,
        incarnation: int,
        sequence: int,
    ) -> Stale | None:
        """Return what is known where it is as new or newer."""
        known = self.newest(name)
        if known is None or (incarnation, sequence) > known:
            return None
        return Stale(name, *known)

    def newest(self, name: str) -> tuple[int, int] | None:
        """Return the highest (incarnation, sequence) known of a name."""
        tombstone = self.tombstones.get(name)
        if tombstone is not None:
            return (tombstone.incarnation, tombstone.sequence)
        record = self.records.get(name)
        if record is None:
            return None
        return (record.incarnation, record.sequence)

    def join(self, event: Gossiped, now_s: float) -> Changes:
        """Add an upstream, or replace an earlier incarnation."""
        if event.details is None:
            return (DetailsMissing(event.name),)
        is_full = len(self.records) >= MAX_UPSTREAMS
        if is_full and event.name not in self.records:
            return (Full(event.name),)
        self.records[event.name] = UpstreamRecord.from_event(event, now_s)
        self.tombstones.pop(event.name, None)
        self.changed.add(event.name)
        return (Joined(event.name),)

    def withdrawn(self, event: Withdrawn, now_s: float) -> Changes:
        """Take an upstream out of service and remember that it left."""
        sequence = event.sequence
        if sequence is None:
            sequence = END_OF_INCARNATION
        known = self.newest(event.name)
        departure = (event.incarnation, sequence)
        # An announcement that says *leaving* was entered just before with the
        # same pair; only a tombstone as new makes this one a repetition.
        repeated = event.name in self.tombstones and departure == known
        if repeated or (known is not None and departure < known):
            return (Stale(event.name, *known),)
        self.remove(event.name, departure, now_s)
        return (Left(event.name, *departure),)

    def remove(
        self,
        name: str,
        departure: tuple[int, int],
        now_s: float,
    ) -> None:
        """Drop a record and keep a tombstone in its place."""
        self.records.pop(name, None)
        self.tombstones.pop(name, None)
        if len(self.tombstones) >= MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.tombstones.pop(oldest)
        self.tombstones[name] = Tombstone(*departure, now_s)
        self.changed.add(name)

    def lapse(self, now_s: float) -> Changes:
        """Take out every upstream whose lease has run out."""
        lapsed = [
            (name, record)
            for name, record in self.records.items()
            if now_s - record.announced_s >= self.lease_s
        ]
        for name, record in lapsed:
            pair = (record.incarnation, record.sequence)
            self.remove(name, pair, now_s)
        self.forget_tombstones(now_s)
        return tuple(Lapsed(gone) for gone, _ in lapsed)

    def forget_tombstones(self, now_s: float) -> None:
        """Drop tombstones that no message can be later than."""
        # Tombstones stand in the order in which they were made.
        while self.tombstones:
            name = next(iter(self.tombstones))
            if now_s - self.tombstones[name].made_s < TOMBSTONE_S:
                return
            self.tombstones.pop(name)

    def prefixes_changed(self, event: PrefixesChanged) -> None:
        """Take what a peer passed on of an upstream's prefix cache."""
        record = self.records.get(event.name)
        if record is None or record.incarnation != event.incarnation:
            return
        record.change_prefixes(event.added, event.dropped)
        self.changed.add(event.name)

    def work_changed(
        self, event: RequestSent | RequestFinished, now_s: float
    ) -> None:
        """Count what this VM sent to an upstream."""
        record = self.records.get(event.name)
        if record is None:
            return
        if isinstance(event, RequestSent):
            record.record_sent(event.tokens, now_s)
        else:
            record.record_finished(event.tokens, now_s)
        self.changed.add(event.name)

    def views(self, now_s: float) -> tuple[UpstreamView, ...]:
        """Return every upstream under a lease.

        Returns
        -------
        tuple of UpstreamView
            The same object as before where nothing changed.
        """
        if now_s >= self.next_lapse_s:
            self.lapse(now_s)
            self.views_built_s = float('-inf')
        if now_s - self.views_built_s >= VIEW_REFRESH_S:
            self.rebuild_all(now_s)
        elif self.changed:
            self.rebuild_changed(now_s)
        return self.cached_tuple

    def rebuild_all(self, now_s: float) -> None:
        """Build each view anew, with its present age."""
        self.cached_views = {
            name: record.view(name, self.region, now_s)
            for name, record in self.records.items()
        }
        self.views_built_s = now_s
        self.next_lapse_s = self.lease_s + min(
            (record.announced_s for record in self.records.values()),
            default=float('inf'),
        )
        self.finish_views()

    def rebuild_changed(self, now_s: float) -> None:
        """Build the views of changed upstreams anew."""
        for name in self.changed:
            record = self.records.get(name)
            if record is None:
                self.cached_views.pop(name, None)
            else:
                view = record.view(name, self.region, now_s)
                self.cached_views[name] = view
                lapse_s = record.announced_s + self.lease_s
                self.next_lapse_s = min(self.next_lapse_s, lapse_s)
        self.finish_views()

    def finish_views(self) -> None:
        """Keep the views as one tuple, the same until the next change."""
        self.changed.clear()
        self.cached_tuple = tuple(self.cached_views.values())

    def departures(self, limit: int) -> tuple[tuple[str, Tombstone], ...]:
        """Return the newest tombstones, at most `limit`."""
        newest_first = reversed(self.tombstones.items())
        return tuple(islice(newest_first, limit))


def as_gossip(event: Announced) -> Gossiped:
    """Return an own announcement in the form of one just passed on."""
    announcement: UpstreamAnnouncement = event.announcement
    return Gossiped(
        name=event.name,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        load=UpstreamLoad(
            announcement.running,
            announcement.queued,
            announcement.queued_tokens,
        ),
        age_s=0,
        measured_age_s=announcement.measured_age_ms / MILLISECONDS,
        details=UpstreamDetails.from_announcement(announcement),
    )
