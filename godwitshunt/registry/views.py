"""What an entry VM hears of control VMs, and what it makes of that; pure."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.records import (
    EntryRecord,
    Load,
    UpstreamAnnounced,
    incarnation_name,
)
from godwitshunt.registry.starts import TOMBSTONE_S, EndedStart
from godwitshunt.registry.table import GoneStart
from godwitshunt.registry.wire import (
    address_of,
    admitted_from_wire,
    ends_from_wire,
    entry_from_wire,
    loads_from_wire,
    upstream_from_wire,
)
from godwitshunt.settings import Address

# A control VM that has not answered for so long says nothing about who is
# alive; what it said of those who leave still holds.
FRESH_S = 3.0
NEVER_S = float('-inf')


@dataclass
class HeardUpstream:
    """One incarnation as one control VM tells of it.

    Parameters
    ----------
    version : int
        Of the control VM's table, when this was told.
    """

    announcement: UpstreamAnnounced
    cold_until_s: float
    ends_at_s: float | None
    silent: bool
    version: int = 0


@dataclass
class HeardEntry:
    """An entry VM as one control VM tells of it; None for one that left."""

    record: EntryRecord | None
    version: int


@dataclass
class ControlTable:
    """The table of one control VM, as it told it or another one did.

    Each part keeps the version of the news that it came with. That is never
    lower than the version in which it changed; so whoever asks for what is
    newer than a version is told of it, perhaps once more than needed.

    Parameters
    ----------
    source : str
        The control VM's process; empty before the first news.
    control : Address or None
        Where peers reach it.
    region : str
        Where it stands.
    version, entries_version : int
        What to ask changes after.
    answered_s : float
        The table is at least as new as this: when the poll that brought it
        was *sent*, less the age that the teller gave it.
    upstreams : dict
        The start of each upstream that it tells of, by the upstream's name.
    gone : dict
        Starts that it told the end of, by incarnation.
    ended : dict
        When the newest start that it told the end of was born, by the
        upstream's name; None where it does not know.
    entries : dict
        Entry VMs by name, those that left among them.
    loads : mapping
        Requests of the entry VMs that report to it.
    loads_asof_s : float
        These are at least as new as this.
    admitted : mapping
        What its picker has admitted since its process started, by
        organisation; told with the requests.
    """

    source: str = ''
    control: Address | None = None
    region: str = ''
    version: int = 0
    entries_version: int = 0
    answered_s: float = NEVER_S
    upstreams: dict[str, HeardUpstream] = field(default_factory=dict)
    gone: dict[str, GoneStart] = field(default_factory=dict)
    ended: dict[str, int | None] = field(default_factory=dict)
    entries: dict[str, HeardEntry] = field(default_factory=dict)
    loads: Mapping[str, Load] = field(default_factory=dict)
    loads_asof_s: float = NEVER_S
    admitted: Mapping[str, float] = field(default_factory=dict)

    def take(
        self,
        news: ttypes.TableNews,
        asof_s: float,
        now_s: float,
    ) -> tuple[EndedStart, ...]:
        """Take news; return the starts that ended.

        News comes by several ways, and may be older than what is known.
        """
        if self.is_past(news, asof_s):
            return ()
        if news.whole:
            self.begin_anew(news)
        self.answered_s = max(self.answered_s, asof_s)
        self.take_loads(news, asof_s)
        if news.version < self.version:
            return ()
        self.version = news.version
        gone = ends_from_wire(news.gone)
        for start in gone:
            self.end(start, now_s)
        for info in news.upstreams or ():
            announcement = upstream_from_wire(info)
            self.upstreams[announcement.instance] = reported_upstream(
                announcement,
                now_s,
                silent=bool(info.silent),
                version=news.version,
            )
        self.take_entries(news)
        return gone

    def is_past(self, news: ttypes.TableNews, asof_s: float) -> bool:
        """Tell whether news is of a process that another one has followed.

        News of a process that is not known is of use only where it is the
        whole table, and newer than what is held.
        """
        if news.source == self.source:
            return False
        return not news.whole or asof_s <= self.answered_s

    def begin_anew(self, news: ttypes.TableNews) -> None:
        """Forget what the process before told."""
        if news.source == self.source and news.version < self.version:
            return
        self.upstreams.clear()
        self.gone.clear()
        self.ended.clear()
        self.entries.clear()
        self.source = news.source
        self.region = news.region or ''
        if news.control is not None:
            self.control = address_of(news.control)
        self.version = 0
        self.entries_version = 0

    def take_loads(self, news: ttypes.TableNews, asof_s: float) -> None:
        """Take requests at upstreams, where they are newer."""
        if news.loads is not None and asof_s > self.loads_asof_s:
            self.loads = loads_from_wire(news.loads)
            self.admitted = admitted_from_wire(news.admitted)
            self.loads_asof_s = asof_s

    def take_entries(self, news: ttypes.TableNews) -> None:
        """Take what is told of entry VMs."""
        version = news.entries_version
        if version < self.entries_version:
            return
        self.entries_version = version
        for name in news.gone_entries or ():
            self.entries[name] = HeardEntry(None, version)
        for entry in map(entry_from_wire, news.entries or ()):
            self.entries[entry.name] = HeardEntry(entry, version)

    def end(self, start: EndedStart, now_s: float) -> None:
        """Take the end of a start; a later one of the upstream stays."""
        known = self.upstreams.get(start.instance)
        if known is not None and known.announcement.born_ms == start.born_ms:
            self.upstreams.pop(start.instance)
        name = incarnation_name(start.instance, start.born_ms)
        self.gone[name] = GoneStart(start, self.version, now_s)
        ended_ms = self.ended.get(start.instance)
        if ended_ms is None or (start.born_ms or 0) > ended_ms:
            self.ended[start.instance] = start.born_ms

    def forget(self, now_s: float) -> None:
        """Drop ends of long ago; nobody holds a table that old."""
        for name, gone in tuple(self.gone.items()):
            if now_s - gone.gone_s > TOMBSTONE_S:
                self.gone.pop(name)

    def has_judged(self, instance: str, born_ms: int | None) -> bool:
        """Tell whether the control VM itself knows that a start is over.

        What it tells of that upstream now is then of a later start, even
        where the upstream's clock says otherwise.
        """
        if instance not in self.ended:
            return False
        ended_ms = self.ended[instance]
        return born_ms is None or (ended_ms is not None and ended_ms >= born_ms)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the table is as of late."""
        return now_s - self.answered_s <= FRESH_S

    def present(self) -> Iterator[EntryRecord]:
        """Give the entry VMs that it hears."""
        for entry in self.entries.values():
            if entry.record is not None:
                yield entry.record


def reported_upstream(
    announcement: UpstreamAnnounced,
    now_s: float,
    *,
    silent: bool,
    version: int = 0,
) -> HeardUpstream:
    """Return an incarnation with its durations as points in time."""
    ends_at_s = (
        None
        if announcement.ends_in_s is None
        else now_s + announcement.ends_in_s
    )
    cold_until_s = now_s + announcement.cold_s
    return HeardUpstream(announcement, cold_until_s, ends_at_s, silent, version)


@dataclass(frozen=True)
class UpstreamSeen:
    """One incarnation of an upstream as an entry VM believes it to be.

    Parameters
    ----------
    announcement : UpstreamAnnounced
        The newest announcement that any control VM told of.
    region : str
        Region of its failure domain; empty where that is not known.
    cold_until_s : float
        When it stops being cold, in monotonic seconds.
    ends_at_s : float or None
        When it is gone whatever it runs.
    silent : bool
        True where no control VM has heard of it of late.
    """

    announcement: UpstreamAnnounced
    region: str
    cold_until_s: float
    ends_at_s: float | None
    silent: bool


@dataclass
class RegistryView:
    """What all control VMs together tell of upstreams and entry VMs.

    Parameters
    ----------
    upstreams : mapping
        Incarnations that have not left, by instance.
    entries : mapping
        Entry VMs that are heard, by name.
    loads : mapping
        Requests of the other entry VMs at each incarnation.
    doors : mapping
        Entry VMs that take requests, by region.
    """

    upstreams: Mapping[str, UpstreamSeen] = field(default_factory=dict)
    entries: Mapping[str, EntryRecord] = field(default_factory=dict)
    loads: Mapping[str, Load] = field(default_factory=dict)
    entry_points: Mapping[str, tuple[EntryRecord, ...]] = field(
        default_factory=dict
    )
