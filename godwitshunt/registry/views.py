"""A control VM's table as another VM holds it, and the merged view."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from godwitshunt.grants import GrantNews
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_wire import news_from_wire
from godwitshunt.registry.incarnations import TOMBSTONE_TTL_S, EndedIncarnation
from godwitshunt.registry.records import (
    EntryRecord,
    Load,
    UpstreamAnnounced,
    incarnation_name,
)
from godwitshunt.registry.table import Tombstone
from godwitshunt.registry.wire import (
    MILLISECONDS,
    address_from_wire,
    admitted_from_wire,
    ends_from_wire,
    entry_from_wire,
    loads_from_wire,
    upstream_from_wire,
)
from godwitshunt.settings import Address

# The table of a control VM that has not answered for this long is no longer
# evidence of which upstreams are alive; their departures remain valid.
FRESH_S = 3.0
NEVER_S = float('-inf')


@dataclass
class ReportedUpstream:
    """One incarnation as one control VM reports it.

    Parameters
    ----------
    version : int
        Version of the control VM's table that it was received with.
    """

    announcement: UpstreamAnnounced
    cold_until_s: float
    ends_at_s: float | None
    silent: bool
    version: int = 0


@dataclass
class ReportedEntry:
    """An entry VM as one control VM reports it.

    Parameters
    ----------
    record : EntryRecord or None
        None if the entry VM has departed.
    """

    record: EntryRecord | None
    version: int


@dataclass
class ControlTable:
    """The table of one control VM, received from it or from a relay.

    Each part keeps the version of the update that it was received with. That
    is never lower than the version in which it changed; so a process that
    requests changes after a version receives it, perhaps more than once.

    Parameters
    ----------
    source : str
        Process of the control VM; empty before the first update.
    control : Address or None
        Peer address of the control VM.
    region : str
        Its region.
    version, entries_version : int
        Versions to request changes after.
    asof_s : float
        The table is at least as recent as this: the time at which the poll
        for it was *sent*, less the age that the sender stated.
    upstreams : dict
        Reported incarnation of each upstream, by instance name.
    tombstones : dict
        Ended incarnations, by name.
    ended_born_ms : dict
        Start time of the newest ended incarnation, by instance name; None if
        unknown.
    entries : dict
        Entry VMs by name, departed ones included.
    loads : mapping
        Load of upstreams by the entry VMs that report to the control VM.
    loads_asof_s : float
        The loads are at least as recent as this.
    admitted : mapping
        Units that its picker has admitted since its process started, by
        organisation; received with the loads.
    grants : GrantNews or None
        Grants and demand of its picker; None before the first.
    grants_asof_s : float
        They are at least as recent as this.
    """

    source: str = ''
    control: Address | None = None
    region: str = ''
    version: int = 0
    entries_version: int = 0
    asof_s: float = NEVER_S
    upstreams: dict[str, ReportedUpstream] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    ended_born_ms: dict[str, int | None] = field(default_factory=dict)
    entries: dict[str, ReportedEntry] = field(default_factory=dict)
    loads: Mapping[str, Load] = field(default_factory=dict)
    loads_asof_s: float = NEVER_S
    admitted: Mapping[str, float] = field(default_factory=dict)
    grants: GrantNews | None = None
    grants_asof_s: float = NEVER_S

    def apply(
        self,
        update: ttypes.TableNews,
        asof_s: float,
        now_s: float,
    ) -> tuple[EndedIncarnation, ...]:
        """Apply an update; return the incarnations that ended.

        Updates arrive over several paths and may be older than the table.
        """
        if self.is_outdated(update, asof_s):
            return ()
        if update.whole:
            self.reset(update)
        self.asof_s = max(self.asof_s, asof_s)
        self.apply_loads(update, asof_s)
        self.apply_grants(update, asof_s)
        if update.version < self.version:
            return ()
        self.version = update.version
        ends = ends_from_wire(update.gone)
        for ended in ends:
            self.end_incarnation(ended, now_s)
        for struct in update.upstreams or ():
            announcement = upstream_from_wire(struct)
            self.upstreams[announcement.instance] = reported_upstream(
                announcement,
                now_s,
                silent=bool(struct.silent),
                version=update.version,
            )
        self.apply_entries(update)
        return ends

    def is_outdated(self, update: ttypes.TableNews, asof_s: float) -> bool:
        """Return whether an update is of a process that has been replaced.

        An update of an unknown process can be applied only if it contains the
        whole table and is newer than the one held.
        """
        if update.source == self.source:
            return False
        return not update.whole or asof_s <= self.asof_s

    def reset(self, update: ttypes.TableNews) -> None:
        """Discard the table of the previous process."""
        if update.source == self.source and update.version < self.version:
            return
        self.upstreams.clear()
        self.tombstones.clear()
        self.ended_born_ms.clear()
        self.entries.clear()
        self.grants = None
        self.source = update.source
        self.region = update.region or ''
        if update.control is not None:
            self.control = address_from_wire(update.control)
        self.version = 0
        self.entries_version = 0

    def apply_loads(self, update: ttypes.TableNews, asof_s: float) -> None:
        """Replace the loads of upstreams if those of an update are newer."""
        if update.loads is not None and asof_s > self.loads_asof_s:
            self.loads = loads_from_wire(update.loads)
            self.admitted = admitted_from_wire(update.admitted)
            self.loads_asof_s = asof_s

    def apply_grants(self, update: ttypes.TableNews, asof_s: float) -> None:
        """Replace the grants if those of an update are newer."""
        if update.grants is not None and asof_s > self.grants_asof_s:
            sent_s = asof_s + update.age_ms / MILLISECONDS
            self.grants = news_from_wire(update.grants, update.source, sent_s)
            self.grants_asof_s = asof_s

    def apply_entries(self, update: ttypes.TableNews) -> None:
        """Apply the changes of entry VMs."""
        version = update.entries_version
        if version < self.entries_version:
            return
        self.entries_version = version
        for name in update.gone_entries or ():
            self.entries[name] = ReportedEntry(None, version)
        for entry in map(entry_from_wire, update.entries or ()):
            self.entries[entry.name] = ReportedEntry(entry, version)

    def end_incarnation(self, ended: EndedIncarnation, now_s: float) -> None:
        """Remove an incarnation; a later one of the upstream remains."""
        known = self.upstreams.get(ended.instance)
        if known is not None and known.announcement.born_ms == ended.born_ms:
            self.upstreams.pop(ended.instance)
        name = incarnation_name(ended.instance, ended.born_ms)
        self.tombstones[name] = Tombstone(ended, self.version, now_s)
        if ended.expired:
            return
        born_ms = self.ended_born_ms.get(ended.instance)
        if born_ms is None or (ended.born_ms or 0) > born_ms:
            self.ended_born_ms[ended.instance] = ended.born_ms

    def expire(self, now_s: float) -> None:
        """Remove old tombstones; no process holds a table that old."""
        for name, tombstone in tuple(self.tombstones.items()):
            if now_s - tombstone.ended_s > TOMBSTONE_TTL_S:
                self.tombstones.pop(name)

    def knows_ended(self, instance: str, born_ms: int | None) -> bool:
        """Return whether the control VM itself knows an incarnation ended.

        The incarnation that it reports now is then a later one, even if the
        upstream's clock says otherwise.
        """
        if instance not in self.ended_born_ms:
            return False
        ended_ms = self.ended_born_ms[instance]
        return born_ms is None or (ended_ms is not None and ended_ms >= born_ms)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the table is at most `FRESH_S` old."""
        return now_s - self.asof_s <= FRESH_S

    def present_entries(self) -> Iterator[EntryRecord]:
        """Yield the entry VMs that have not departed."""
        for entry in self.entries.values():
            if entry.record is not None:
                yield entry.record


def reported_upstream(
    announcement: UpstreamAnnounced,
    now_s: float,
    *,
    silent: bool,
    version: int = 0,
) -> ReportedUpstream:
    """Return an incarnation, its durations converted to points in time."""
    ends_at_s = (
        None
        if announcement.ends_in_s is None
        else now_s + announcement.ends_in_s
    )
    cold_until_s = now_s + announcement.cold_s
    return ReportedUpstream(
        announcement,
        cold_until_s,
        ends_at_s,
        silent,
        version,
    )


@dataclass(frozen=True)
class UpstreamSeen:
    """One incarnation of an upstream in the merged view.

    Parameters
    ----------
    announcement : UpstreamAnnounced
        Its newest announcement that any control VM reported.
    region : str
        Region of its failure domain; empty if unknown.
    cold_until_s : float
        When its cold start ends, in monotonic seconds.
    ends_at_s : float or None
        When it terminates, whether or not requests are still running; None if
        unknown.
    silent : bool
        True if no control VM has received an announcement recently.
    """

    announcement: UpstreamAnnounced
    region: str
    cold_until_s: float
    ends_at_s: float | None
    silent: bool


@dataclass
class RegistryView:
    """Upstreams and entry VMs, merged from the tables of all control VMs.

    Parameters
    ----------
    upstreams : mapping
        Incarnations that have not ended, by name.
    entries : mapping
        Entry VMs that poll a control VM, by name.
    loads : mapping
        Load of each incarnation by the other entry VMs.
    entry_points : mapping
        Entry VMs that accept requests, by region.
    """

    upstreams: Mapping[str, UpstreamSeen] = field(default_factory=dict)
    entries: Mapping[str, EntryRecord] = field(default_factory=dict)
    loads: Mapping[str, Load] = field(default_factory=dict)
    entry_points: Mapping[str, tuple[EntryRecord, ...]] = field(
        default_factory=dict,
    )
