"""Accounting of the requests that entry VMs have at upstreams.

An entry VM reports all of its requests each time, so that a lost report or a
restarted process causes an error only until the next report. A reservation
that no report includes yet is counted in addition; so two concurrent requests
are never assigned the same free slot. No I/O; times are seconds on this VM's
monotonic clock.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from math import inf

from godwitshunt.registry.load_table import LoadTable
from godwitshunt.registry.records import Load, MemoryClaim
from godwitshunt.registry.shared_prefixes import SharedPrefixes

# An entry VM's reports include a reservation within a few hundredths of a
# second. If none has by this time, the reply was lost or the entry VM gave up
# waiting for it, and the reservation must not block a slot any longer.
RESERVATION_TTL_S = 1.0
# An entry VM reports with each poll, a few times a second, to the control VM
# that it prefers. One that has not reported for this long is absent, or reports
# elsewhere, where its requests are counted as well.
REPORT_TTL_S = 2.0
NO_LOAD = Load()
NO_CLAIM = MemoryClaim()


@dataclass(frozen=True)
class ReportedLoad:
    """One entry VM's requests at one upstream.

    Parameters
    ----------
    load : Load
        Its `reserved_tokens` are those without shared prefixes.
    oldest_s : float or None
        When the oldest request without a response so far was sent; None if
        there is none.
    last_received_s : float or None
        When bytes last arrived from the upstream; None if never.
    shared : mapping
        Tokens of the shared prefixes that the requests use, by key.
    """

    load: Load
    oldest_s: float | None = None
    last_received_s: float | None = None
    shared: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Report:
    """All requests of an entry VM.

    Parameters
    ----------
    session : str
        Random identifier, new at each start of the entry VM's process.
    number : int
        Rises with each report of a session.
    loads : mapping
        Load by incarnation.
    last_reservation : int
        Number of this ledger's last reservation that the loads include.
    received_s : float
        When it was received, in monotonic seconds.
    """

    session: str
    number: int
    loads: Mapping[str, ReportedLoad]
    last_reservation: int = 0
    received_s: float = field(default=inf, compare=False)


@dataclass(frozen=True)
class Reservation:
    """A slot that was assigned and that no report includes yet."""

    number: int
    instance: str
    load: Load
    reserved_s: float
    claim: MemoryClaim = NO_CLAIM


@dataclass
class EntryLoads:
    """An entry VM's last report and its reservations since."""

    session: str = ''
    number: int = 0
    loads: Mapping[str, ReportedLoad] = field(default_factory=dict)
    received_s: float = inf
    reservations: deque[Reservation] = field(default_factory=deque)


@dataclass
class LoadLedger:
    """Load of each upstream, summed over the entry VMs that report here.

    Parameters
    ----------
    totals : dict
        Load by incarnation. The reserved tokens include each shared prefix
        once.
    shared : dict
        Shared prefixes in use, by incarnation.
    sharing : dict
        Incarnations at which a shared prefix is in use, by its key.

    Examples
    --------
    >>> ledger = LoadLedger()
    >>> number = ledger.reserve('e-1', 'i-1', tokens=300, now_s=5.0)
    >>> ledger.totals['i-1']
    Load(in_flight=1, pending_tokens=300, reserved_tokens=0)
    >>> loads = {'i-1': ReportedLoad(Load(1, 300))}
    >>> ledger.apply_report('e-1', Report('s', 1, loads, number))
    True
    >>> ledger.totals['i-1']
    Load(in_flight=1, pending_tokens=300, reserved_tokens=0)
    """

    entries: dict[str, EntryLoads] = field(default_factory=dict)
    totals: LoadTable = field(default_factory=LoadTable)
    last_number: int = 0
    shared: dict[str, SharedPrefixes] = field(default_factory=dict)
    sharing: dict[int, set[str]] = field(default_factory=dict)

    def apply_report(self, name: str, report: Report) -> bool:
        """Apply a report; return False if a later one was applied before."""
        known = self.entries.setdefault(name, EntryLoads())
        included = report.last_reservation
        if known.session != report.session:
            # The previous process has ended, and its requests with it.
            known.session = report.session
            included = self.last_number
        elif report.number <= known.number:
            return False
        known.number = report.number
        known.received_s = report.received_s
        self.replace_loads(known, report.loads)
        while known.reservations and known.reservations[0].number <= included:
            self.release(known.reservations.popleft())
        return True

    def reserve(
        self,
        name: str,
        instance: str,
        tokens: int,
        now_s: float,
        claim: MemoryClaim = NO_CLAIM,
    ) -> int:
        """Reserve a slot and memory; return the reservation's number."""
        self.last_number += 1
        reservation = Reservation(
            self.last_number,
            instance,
            Load(1, tokens, claim.own_tokens),
            now_s,
            claim,
        )
        self.entries.setdefault(name, EntryLoads()).reservations.append(
            reservation,
        )
        self.totals[instance] = self.total(instance) + reservation.load
        if claim.shared_key is not None:
            self.add_prefix(instance, claim.shared_key, claim.shared_tokens)
        return reservation.number

    def tick(self, now_s: float) -> tuple[Reservation, ...]:
        """Release the reservations that expired unused; return them."""
        expired = []
        for known in self.entries.values():
            while known.reservations and is_expired(
                known.reservations[0],
                now_s,
            ):
                expired.append(known.reservations.popleft())
        for reservation in expired:
            self.release(reservation)
        return tuple(expired)

    def remove_silent(self, now_s: float) -> tuple[str, ...]:
        """Remove entry VMs that have stopped reporting; return their names."""
        silent = tuple(
            name
            for name, known in self.entries.items()
            if now_s - known.received_s > REPORT_TTL_S
        )
        for name in silent:
            self.remove_entry(name)
        return silent

    def remove_entry(self, name: str) -> None:
        """Remove an entry VM that no longer reports here."""
        known = self.entries.pop(name, None)
        if known is not None:
            self.replace_loads(known, {})
            for reservation in known.reservations:
                self.release(reservation)

    def replace_loads(
        self,
        known: EntryLoads,
        loads: Mapping[str, ReportedLoad],
    ) -> None:
        """Replace an entry VM's reported loads in the totals.

        Only differences are applied: most loads of a report are as before, and
        a chooser updates its index for each total that changes.
        """
        before = known.loads
        known.loads = loads
        for instance, reported in loads.items():
            old = before.get(instance)
            if old is None or old.load != reported.load:
                self.totals[instance] = self.total(instance) + reported.load
                if old is not None:
                    self.subtract(instance, old.load)
            for key, tokens in reported.shared.items():
                self.add_prefix(instance, key, tokens)
        for instance, reported in before.items():
            for key in reported.shared:
                self.remove_prefix(instance, key)
            if instance not in loads:
                self.subtract(instance, reported.load)

    def release(self, reservation: Reservation) -> None:
        """Remove a reservation from the totals."""
        if reservation.claim.shared_key is not None:
            self.remove_prefix(
                reservation.instance, reservation.claim.shared_key
            )
        self.subtract(reservation.instance, reservation.load)

    def add_prefix(self, instance: str, key: int, tokens: int) -> None:
        """Add a user of a shared prefix at an upstream."""
        prefixes = self.shared.setdefault(instance, SharedPrefixes())
        reserved = prefixes.add(key, tokens)
        self.sharing.setdefault(key, set()).add(instance)
        self.totals[instance] = self.total(instance) + Load(0, 0, reserved)

    def remove_prefix(self, instance: str, key: int) -> None:
        """Remove a user of a shared prefix at an upstream."""
        prefixes = self.shared[instance]
        released = prefixes.remove(key)
        if key not in prefixes.users:
            self.sharing[key].discard(instance)
            if not self.sharing[key]:
                self.sharing.pop(key)
        if not prefixes.users:
            self.shared.pop(instance)
        self.subtract(instance, Load(0, 0, released))

    def subtract(self, instance: str, load: Load) -> None:
        """Subtract a load from an upstream's total."""
        remaining = self.total(instance) - load
        if remaining == NO_LOAD:
            self.totals.pop(instance, None)
        else:
            self.totals[instance] = remaining

    def total(self, instance: str) -> Load:
        """Return the load of an upstream by all entry VMs."""
        return self.totals.get(instance, NO_LOAD)

    def totals_without(self, name: str) -> Iterator[tuple[str, Load]]:
        """Yield the load of each upstream by all entry VMs but one."""
        own = self.entries.get(name, EntryLoads()).loads
        for instance, total in self.totals.items():
            own_load = own.get(instance)
            others = total
            if own_load is not None:
                unshared = self.unshared_tokens(instance, own_load)
                others = total - own_load.load - Load(0, 0, unshared)
            if others != NO_LOAD:
                yield instance, others

    def unshared_tokens(self, instance: str, own: ReportedLoad) -> int:
        """Return the tokens of the prefixes that only one entry VM uses."""
        prefixes = self.shared.get(instance)
        if prefixes is None:
            return 0
        return sum(
            prefixes.tokens[key]
            for key in own.shared
            if prefixes.users[key] == 1
        )


def is_expired(reservation: Reservation, now_s: float) -> bool:
    """Return whether a reservation is older than `RESERVATION_TTL_S`."""
    return now_s - reservation.reserved_s > RESERVATION_TTL_S


@dataclass(frozen=True)
class SummedLoads(Mapping[str, Load]):
    """Sum of several processes' totals, added up on access.

    Parameters
    ----------
    parts : tuple of mapping
        Totals by incarnation.

    Examples
    --------
    >>> summed = SummedLoads(({'i-1': Load(1, 5)}, {'i-1': Load(2, 0)}))
    >>> summed.get('i-1'), summed.get('i-2')
    (Load(in_flight=3, pending_tokens=5, reserved_tokens=0), None)
    """

    parts: tuple[Mapping[str, Load], ...]

    @cached_property
    def tables(self) -> tuple[Mapping[str, Load], ...]:
        """The mappings whose loads are added up, those of nested sums too."""
        tables: list[Mapping[str, Load]] = []
        for part in self.parts:
            nested = part.tables if isinstance(part, SummedLoads) else (part,)
            tables.extend(nested)
        return tuple(tables)

    def __getitem__(self, instance: str) -> Load:
        load = self.get(instance)
        if load is None:
            raise KeyError(instance)
        return load

    def get(self, instance: str, default: Load | None = None) -> Load | None:
        """Return a sum; faster than with an exception if there is none."""
        total = None
        for table in self.tables:
            load = table.get(instance)
            if load is not None:
                total = load if total is None else total + load
        return default if total is None else total

    def __iter__(self) -> Iterator[str]:
        return iter({name for part in self.parts for name in part})

    def __len__(self) -> int:
        return len({name for part in self.parts for name in part})
