"""What an entry VM hears of control VMs, and what it makes of that; pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.records import EntryRecord, Load, UpstreamAnnounced
from godwitshunt.registry.starts import EndedStart
from godwitshunt.registry.wire import (
    ends_from_wire,
    entry_from_wire,
    loads_from_wire,
    upstream_from_wire,
)

# A control VM that has not answered for so long says nothing about who is
# alive; what it said of those who leave still holds.
FRESH_S = 3.0
NEVER_S = float('-inf')


@dataclass
class HeardUpstream:
    """One incarnation as one control VM tells of it."""

    told: UpstreamAnnounced
    cold_until_s: float
    ends_at_s: float | None
    silent: bool


@dataclass
class ControlTable:
    """The table of one control VM, as last heard.

    Parameters
    ----------
    source : str
        The control VM's process; empty before the first reply.
    version, entries_version : int
        What to ask changes after.
    answered_s : float
        When the last poll that was answered was *sent*, so that what the
        control VM acknowledged before then is known here.
    round_trip_s : float
        What its last answer took.
    prefixes_version : int
        What to ask held prefixes after.
    prefixes_told : int
        Version of this VM's own reads that the control VM has been told.
    upstreams : dict
        The start of each upstream that it tells of, by the upstream's name.
    ended : dict
        When the newest start that it told the end of was born, likewise; None
        where it does not know.
    """

    source: str = ''
    version: int = 0
    entries_version: int = 0
    answered_s: float = NEVER_S
    round_trip_s: float = inf
    prefixes_version: int = 0
    prefixes_told: int = 0
    upstreams: dict[str, HeardUpstream] = field(default_factory=dict)
    ended: dict[str, int | None] = field(default_factory=dict)
    entries: dict[str, EntryRecord] = field(default_factory=dict)
    loads: Mapping[str, Load] = field(default_factory=dict)

    def take(
        self,
        reply: ttypes.PollReply,
        sent_s: float,
        now_s: float,
    ) -> tuple[EndedStart, ...]:
        """Take a reply; return the starts that ended."""
        if reply.whole:
            self.upstreams.clear()
            self.ended.clear()
            self.entries.clear()
            self.prefixes_version = 0
            self.prefixes_told = 0
        self.source = reply.source
        self.version = reply.version
        self.entries_version = reply.entries_version
        self.answered_s = sent_s
        self.round_trip_s = now_s - sent_s
        gone = ends_from_wire(reply.gone)
        for start in gone:
            self.end(start)
        for info in reply.upstreams or ():
            told = upstream_from_wire(info)
            self.upstreams[told.instance] = heard(
                told,
                now_s,
                silent=bool(info.silent),
            )
        for name in reply.gone_entries or ():
            self.entries.pop(name, None)
        for entry in map(entry_from_wire, reply.entries or ()):
            self.entries[entry.name] = entry
        self.loads = loads_from_wire(reply.loads)
        return gone

    def end(self, start: EndedStart) -> None:
        """Take the end of a start; a later one of the upstream stays."""
        known = self.upstreams.get(start.instance)
        if known is not None and known.told.born_ms == start.born_ms:
            self.upstreams.pop(start.instance)
        ended_ms = self.ended.get(start.instance)
        if ended_ms is None or (start.born_ms or 0) > ended_ms:
            self.ended[start.instance] = start.born_ms

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
        """Tell whether the control VM has answered of late."""
        return now_s - self.answered_s <= FRESH_S


def heard(
    told: UpstreamAnnounced,
    now_s: float,
    *,
    silent: bool,
) -> HeardUpstream:
    """Return an incarnation with its durations as points in time."""
    ends_at_s = None if told.ends_in_s is None else now_s + told.ends_in_s
    return HeardUpstream(told, now_s + told.cold_s, ends_at_s, silent)


@dataclass(frozen=True)
class UpstreamSeen:
    """One incarnation of an upstream as an entry VM believes it to be.

    Parameters
    ----------
    told : UpstreamAnnounced
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

    told: UpstreamAnnounced
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
    doors: Mapping[str, tuple[EntryRecord, ...]] = field(default_factory=dict)
