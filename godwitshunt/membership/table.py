"""Leased upstreams of a region, without I/O.

An upstream is used while its lease lasts: a fixed time from its announcement,
whichever VM received that. The highest (incarnation, sequence) of a name wins,
so delayed, duplicate and reordered messages have no effect. Tombstones of
departed upstreams are retained for longer than any message can be delayed.
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
# Announcements arrive over HTTP, whose clients time out within one or two
# minutes; no duplicate is delayed for longer than this.
TOMBSTONE_TTL_S = 600.0
# Ages in views may be too small by this much. Expired leases take effect
# immediately in any case.
VIEW_REFRESH_S = 0.5

LAST_SEQUENCE = 2**63 - 1

Changes = tuple[UpstreamChange, ...]


@dataclass
class UpstreamTable:
    """The upstreams of one region that a VM knows.

    Parameters
    ----------
    region : str
        The VM's region.
    lease_s : float
        Seconds after an announcement until the upstream gets no new requests.
    records : dict
        Live upstreams by name.
    tombstones : dict
        Departed upstreams by name, oldest first.
    cached_views : dict
        Views of the records as of their last change or `views_built_s`.
    cached_view_tuple : tuple of UpstreamView
        The same views, as returned to routing.
    changed_names : set of str
        Upstreams whose cached view is outdated.
    next_expiry_s : float
        When the next lease expires.
    """

    region: str
    lease_s: float = 2.5
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    cached_views: dict[str, UpstreamView] = field(default_factory=dict)
    cached_view_tuple: tuple[UpstreamView, ...] = ()
    changed_names: set[str] = field(default_factory=set)
    views_built_s: float = 0.0
    next_expiry_s: float = 0.0

    def apply(self, event: UpstreamEvent, now_s: float) -> Changes:
        """Apply one event and return the changes that it made."""
        match event:
            case Announced():
                return self.handle_announced(event, now_s)
            case Gossiped():
                return self.handle_gossiped(event, now_s)
            case Withdrawn():
                return self.handle_withdrawn(event, now_s)
            case PrefixesChanged():
                self.handle_prefixes_changed(event)
            case RequestSent() | RequestFinished():
                self.handle_request_event(event, now_s)
            case Tick():
                return self.expire_leases(now_s)
        return ()

    def handle_announced(self, event: Announced, now_s: float) -> Changes:
        """Apply an announcement that this VM received itself."""
        announcement = event.announcement
        changes = self.handle_gossiped(to_gossiped(event), now_s)
        if any(isinstance(change, Stale | Full) for change in changes):
            return changes
        record = self.records[event.name]
        record.update_prefixes(
            announcement.cached_added,
            announcement.cached_dropped,
        )
        if announcement.leaving:
            departure = Withdrawn(
                event.name,
                announcement.incarnation,
                announcement.sequence,
            )
            return self.handle_withdrawn(departure, now_s)
        return changes

    def handle_gossiped(self, event: Gossiped, now_s: float) -> Changes:
        """Apply an announcement of known age."""
        newer = self.find_newer(event.name, event.incarnation, event.sequence)
        if newer is not None:
            return (newer,)
        if event.age_s >= self.lease_s:
            return (Late(event.name),)
        record = self.records.get(event.name)
        if record is None or record.incarnation != event.incarnation:
            return self.add_upstream(event, now_s)
        details_changed = record.update(event, now_s)
        self.changed_names.add(event.name)
        return (Refreshed(event.name, details_changed),)

    def find_newer(
        self,
        name: str,
        incarnation: int,
        sequence: int,
    ) -> Stale | None:
        """Return the known version if it is at least as new."""
        known = self.newest_version(name)
        if known is None or (incarnation, sequence) > known:
            return None
        return Stale(name, *known)

    def newest_version(self, name: str) -> tuple[int, int] | None:
        """Return the highest known (incarnation, sequence) of a name."""
        tombstone = self.tombstones.get(name)
        if tombstone is not None:
            return (tombstone.incarnation, tombstone.sequence)
        record = self.records.get(name)
        if record is None:
            return None
        return (record.incarnation, record.sequence)

    def add_upstream(self, event: Gossiped, now_s: float) -> Changes:
        """Add an upstream, or replace its earlier incarnation."""
        if event.details is None:
            return (DetailsMissing(event.name),)
        is_full = len(self.records) >= MAX_UPSTREAMS
        if is_full and event.name not in self.records:
            return (Full(event.name),)
        self.records[event.name] = UpstreamRecord.from_event(event, now_s)
        self.tombstones.pop(event.name, None)
        self.changed_names.add(event.name)
        return (Joined(event.name),)

    def handle_withdrawn(self, event: Withdrawn, now_s: float) -> Changes:
        """Remove an upstream that departed and record a tombstone."""
        sequence = event.sequence
        if sequence is None:
            sequence = LAST_SEQUENCE
        known = self.newest_version(event.name)
        departure = (event.incarnation, sequence)
        # An announcement with `leaving` has just been recorded with the same
        # version, so an equal version is a duplicate only if it is in a
        # tombstone.
        is_duplicate = event.name in self.tombstones and departure == known
        if is_duplicate or (known is not None and departure < known):
            return (Stale(event.name, *known),)
        self.remove_upstream(event.name, departure, now_s)
        return (Left(event.name, *departure),)

    def remove_upstream(
        self,
        name: str,
        departure: tuple[int, int],
        now_s: float,
    ) -> None:
        """Replace a record by a tombstone."""
        self.records.pop(name, None)
        self.tombstones.pop(name, None)
        if len(self.tombstones) >= MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.tombstones.pop(oldest)
        self.tombstones[name] = Tombstone(*departure, now_s)
        self.changed_names.add(name)

    def expire_leases(self, now_s: float) -> Changes:
        """Remove every upstream whose lease has expired."""
        expired = [
            (name, record)
            for name, record in self.records.items()
            if now_s - record.announced_s >= self.lease_s
        ]
        for name, record in expired:
            version = (record.incarnation, record.sequence)
            self.remove_upstream(name, version, now_s)
        self.expire_tombstones(now_s)
        return tuple(Lapsed(expired_name) for expired_name, _ in expired)

    def expire_tombstones(self, now_s: float) -> None:
        """Remove tombstones older than any possible message delay."""
        # Tombstones are ordered by creation time.
        while self.tombstones:
            name = next(iter(self.tombstones))
            if now_s - self.tombstones[name].created_s < TOMBSTONE_TTL_S:
                return
            self.tombstones.pop(name)

    def handle_prefixes_changed(self, event: PrefixesChanged) -> None:
        """Apply relayed changes of an upstream's prefix cache."""
        record = self.records.get(event.name)
        if record is None or record.incarnation != event.incarnation:
            return
        record.update_prefixes(event.added, event.dropped)
        self.changed_names.add(event.name)

    def handle_request_event(
        self, event: RequestSent | RequestFinished, now_s: float
    ) -> None:
        """Record the start or end of a request of this VM."""
        record = self.records.get(event.name)
        if record is None:
            return
        if isinstance(event, RequestSent):
            record.record_sent(event.tokens, now_s)
        else:
            record.record_finished(event.tokens, now_s)
        self.changed_names.add(event.name)

    def views(self, now_s: float) -> tuple[UpstreamView, ...]:
        """Return the view of every upstream with a valid lease.

        Returns
        -------
        tuple of UpstreamView
            The same object as before if nothing has changed.
        """
        if now_s >= self.next_expiry_s:
            self.expire_leases(now_s)
            self.views_built_s = float('-inf')
        if now_s - self.views_built_s >= VIEW_REFRESH_S:
            self.rebuild_all(now_s)
        elif self.changed_names:
            self.rebuild_changed(now_s)
        return self.cached_view_tuple

    def rebuild_all(self, now_s: float) -> None:
        """Rebuild all views, with their current age."""
        self.cached_views = {
            name: record.view(name, self.region, now_s)
            for name, record in self.records.items()
        }
        self.views_built_s = now_s
        self.next_expiry_s = self.lease_s + min(
            (record.announced_s for record in self.records.values()),
            default=float('inf'),
        )
        self.cache_views()

    def rebuild_changed(self, now_s: float) -> None:
        """Rebuild the views of changed upstreams."""
        for name in self.changed_names:
            record = self.records.get(name)
            if record is None:
                self.cached_views.pop(name, None)
            else:
                view = record.view(name, self.region, now_s)
                self.cached_views[name] = view
                expiry_s = record.announced_s + self.lease_s
                self.next_expiry_s = min(self.next_expiry_s, expiry_s)
        self.cache_views()

    def cache_views(self) -> None:
        """Cache the views as one tuple until the next change."""
        self.changed_names.clear()
        self.cached_view_tuple = tuple(self.cached_views.values())

    def newest_tombstones(
        self, limit: int
    ) -> tuple[tuple[str, Tombstone], ...]:
        """Return the newest tombstones, at most `limit`."""
        newest_first = reversed(self.tombstones.items())
        return tuple(islice(newest_first, limit))


def to_gossiped(event: Announced) -> Gossiped:
    """Return a first-hand announcement in the form of a relayed one."""
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
