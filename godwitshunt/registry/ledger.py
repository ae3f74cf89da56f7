"""The requests of many entry VMs at upstreams, as one process adds them up.

Entry VMs report all of their own requests each time, so that a report that is
lost, or a process that starts anew, costs no more than the time to the next
one. A place that was given and that no report holds yet counts besides; so
two requests that ask for a place in the same millisecond are never given the
same free slot. Pure; times are seconds on this VM's monotonic clock.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from godwitshunt.registry.records import Load

# A place is part of its entry VM's reports within a few hundredths of a
# second. One that is part of none after this was never heard of: its answer
# was lost, or its asker gave up on it, and it must not block a slot for ever.
GIVEN_EXPIRES_S = 1.0
NO_LOAD = Load()


@dataclass(frozen=True)
class ReportedLoad:
    """One entry VM's requests at one upstream.

    Parameters
    ----------
    oldest_s : float or None
        When the oldest of those that have shown nothing was sent; None for
        none.
    last_received_s : float or None
        When bytes last came from the upstream; None for never.
    """

    load: Load
    oldest_s: float | None = None
    last_received_s: float | None = None


@dataclass(frozen=True)
class Report:
    """All requests of an entry VM.

    Parameters
    ----------
    session : str
        Drawn at each start of the entry VM's process.
    number : int
        Rises with each report of a session.
    loads : mapping
        By incarnation.
    places_taken : int
        The last place of this ledger's that the loads hold.
    """

    session: str
    number: int
    loads: Mapping[str, ReportedLoad]
    places_taken: int = 0


@dataclass(frozen=True)
class GivenPlace:
    """A place that was given and that no report holds yet."""

    number: int
    instance: str
    load: Load
    given_s: float


@dataclass
class EntryLoads:
    """What one entry VM reported, and what it was given since."""

    session: str = ''
    number: int = 0
    loads: Mapping[str, ReportedLoad] = field(default_factory=dict)
    given: deque[GivenPlace] = field(default_factory=deque)


@dataclass
class LoadLedger:
    """Requests at each upstream, of all entry VMs that report here.

    Examples
    --------
    >>> ledger = LoadLedger()
    >>> number = ledger.reserve('e-1', 'i-1', tokens=300, now_s=5.0)
    >>> ledger.totals['i-1']
    Load(in_flight=1, pending_tokens=300)
    >>> held = {'i-1': ReportedLoad(Load(1, 300))}
    >>> ledger.report('e-1', Report('s', 1, held, number))
    True
    >>> ledger.totals['i-1']
    Load(in_flight=1, pending_tokens=300)
    """

    entries: dict[str, EntryLoads] = field(default_factory=dict)
    totals: dict[str, Load] = field(default_factory=dict)
    places: int = 0

    def report(self, name: str, report: Report) -> bool:
        """Take a report; False for one that a later one has overtaken."""
        known = self.entries.setdefault(name, EntryLoads())
        taken = report.places_taken
        if known.session != report.session:
            # The process before this one has ended, and with it its requests.
            known.session = report.session
            taken = self.places
        elif report.number <= known.number:
            return False
        known.number = report.number
        self.put(known, report.loads)
        while known.given and known.given[0].number <= taken:
            self.take_back(known.given.popleft())
        return True

    def reserve(
        self,
        name: str,
        instance: str,
        tokens: int,
        now_s: float,
    ) -> int:
        """Count a place that an entry VM is given; return its number."""
        self.places += 1
        place = GivenPlace(self.places, instance, Load(1, tokens), now_s)
        self.entries.setdefault(name, EntryLoads()).given.append(place)
        self.totals[instance] = self.total(instance) + place.load
        return place.number

    def tick(self, now_s: float) -> tuple[GivenPlace, ...]:
        """Drop places that nobody took; return them."""
        expired = []
        for known in self.entries.values():
            while known.given and is_expired(known.given[0], now_s):
                expired.append(known.given.popleft())
        for place in expired:
            self.take_back(place)
        return tuple(expired)

    def forget(self, name: str) -> None:
        """Drop an entry VM that is not heard any more."""
        known = self.entries.pop(name, None)
        if known is not None:
            self.put(known, {})
            for place in known.given:
                self.take_back(place)

    def put(
        self,
        known: EntryLoads,
        loads: Mapping[str, ReportedLoad],
    ) -> None:
        """Put an entry VM's new requests in the place of its old ones."""
        before = known.loads
        known.loads = loads
        for instance, one in loads.items():
            self.totals[instance] = self.total(instance) + one.load
        for instance, one in before.items():
            self.subtract(instance, one.load)

    def take_back(self, place: GivenPlace) -> None:
        """Count a given place no more."""
        self.subtract(place.instance, place.load)

    def subtract(self, instance: str, load: Load) -> None:
        """Take requests from an upstream's sum."""
        left = self.total(instance) - load
        if left == NO_LOAD:
            self.totals.pop(instance, None)
        else:
            self.totals[instance] = left

    def total(self, instance: str) -> Load:
        """Return the requests of all entry VMs at an upstream."""
        return self.totals.get(instance, NO_LOAD)

    def totals_without(self, name: str) -> Iterator[tuple[str, Load]]:
        """Give the requests of all entry VMs but one at each upstream."""
        own = self.entries.get(name, EntryLoads()).loads
        for instance, total in self.totals.items():
            mine = own.get(instance)
            others = total if mine is None else total - mine.load
            if others != NO_LOAD:
                yield instance, others


def is_expired(place: GivenPlace, now_s: float) -> bool:
    """Tell whether a place was given so long ago that nobody took it."""
    return now_s - place.given_s > GIVEN_EXPIRES_S


@dataclass(frozen=True)
class SummedLoads(Mapping[str, Load]):
    """Several processes' sums of requests at upstreams, added up when asked.

    Parameters
    ----------
    parts : tuple of mapping
        Sums by incarnation.

    Examples
    --------
    >>> summed = SummedLoads(({'i-1': Load(1, 5)}, {'i-1': Load(2, 0)}))
    >>> summed.get('i-1'), summed.get('i-2')
    (Load(in_flight=3, pending_tokens=5), None)
    """

    parts: tuple[Mapping[str, Load], ...]

    def __getitem__(self, instance: str) -> Load:
        found = [part[instance] for part in self.parts if instance in part]
        if not found:
            raise KeyError(instance)
        return found[0] if len(found) == 1 else add(found)

    def __iter__(self) -> Iterator[str]:
        return iter({name for part in self.parts for name in part})

    def __len__(self) -> int:
        return len({name for part in self.parts for name in part})


def add(loads: Iterable[Load]) -> Load:
    """Return the sum of loads."""
    return sum(loads, start=NO_LOAD)
