"""Batches of upstream changes: what to send, and what was received.

An upstream's details go out once, under a number of the sender's own; after
that its load is a row of seven small integers. A receiver that misses the
details, after a loss or its own restart, fetches them.
"""

from dataclasses import dataclass, field

import crc32c

from godwitshunt.exceptions import FrameError
from godwitshunt.membership.events import (
    MILLISECONDS,
    Gossiped,
    Left,
    PrefixesChanged,
    UpstreamDetails,
    UpstreamEvent,
    UpstreamLoad,
    Withdrawn,
)
from godwitshunt.membership.gen.wire.ttypes import (
    Batch,
    Departure,
    Prefixes,
)
from godwitshunt.membership.prefixes import PendingPrefixes
from godwitshunt.membership.summaries import RegionReport
from godwitshunt.membership.table import UpstreamTable
from godwitshunt.membership.wire import (
    details_from_wire,
    details_to_wire,
    report_to_wire,
    whole_ms,
)

ROW_INTEGERS = 7
# A departure goes out with several batches: its loss would cost the rest of
# a lease, which requests sent in vain would show.
DEPARTURE_REPEATS = 3
PREFIXES_PER_FETCH = 64
MAX_NUMBERS = 8192
MAX_DEPARTURES_PER_FETCH = 256

Numbered = tuple[str, int]
Numbers = dict[int, Numbered]
PeerNumbers = tuple[int, Numbers]


@dataclass
class GossipSender:
    """Changes that this VM received itself and passes on once."""

    numbers: dict[str, tuple[int, int, UpstreamDetails]] = field(
        default_factory=dict,
    )
    next_number: int = 1
    published: set[int] = field(default_factory=set)
    own: set[str] = field(default_factory=set)
    loads: set[str] = field(default_factory=set)
    departures: dict[str, tuple[Left, int]] = field(default_factory=dict)
    prefixes: dict[str, PendingPrefixes] = field(default_factory=dict)
    reports: dict[str, RegionReport] = field(default_factory=dict)

    def note_load(self, name: str) -> None:
        """Pass on an upstream's announcement."""
        self.own.add(name)
        self.loads.add(name)
        self.departures.pop(name, None)

    def note_left(self, left: Left) -> None:
        """Pass on a departure, several times."""
        self.own.discard(left.name)
        self.loads.discard(left.name)
        self.prefixes.pop(left.name, None)
        self.departures[left.name] = (left, DEPARTURE_REPEATS)

    def note_prefixes(
        self,
        name: str,
        added: tuple[int, ...],
        dropped: tuple[int, ...],
    ) -> None:
        """Pass on changes of an upstream's prefix cache."""
        if not (added or dropped):
            return
        pending = self.prefixes.setdefault(name, PendingPrefixes())
        pending.extend(added, dropped)

    def note_report(self, report: RegionReport) -> None:
        """Pass on another region's report."""
        self.reports[report.region] = report

    def number(self, name: str, table: UpstreamTable) -> int:
        """Return the number of an upstream with its present details."""
        record = table.records[name]
        known = self.numbers.get(name)
        current = (record.incarnation, record.details)
        if known is not None and known[1:] == current:
            return known[0]
        number = self.next_number
        self.next_number += 1
        self.numbers[name] = (number, *current)
        return number

    def take_batch(
        self,
        table: UpstreamTable,
        now_s: float,
        *,
        with_prefixes: bool,
    ) -> Batch | None:
        """Return what has changed since the last batch; None for nothing."""
        names = [name for name in sorted(self.loads) if name in table.records]
        self.loads.clear()
        batch = self.describe(names, table, now_s)
        self.published.update(wire.number for wire in batch.details or ())
        batch.departures = self.take_departures() or None
        if with_prefixes:
            batch.prefixes = self.take_prefixes(table) or None
        batch.summaries = [
            report_to_wire(report, now_s) for report in self.reports.values()
        ] or None
        self.reports.clear()
        parts = (
            batch.loads,
            batch.departures,
            batch.prefixes,
            batch.summaries,
        )
        return batch if any(parts) else None

    def describe(
        self,
        names: list[str],
        table: UpstreamTable,
        now_s: float,
        *,
        whole: bool = False,
    ) -> Batch:
        """Return a batch with the loads of upstreams.

        Parameters
        ----------
        whole : bool
            True adds the details also where they were sent before.
        """
        details = []
        rows = []
        for name in names:
            record = table.records[name]
            number = self.number(name, table)
            if whole or number not in self.published:
                details.append(
                    details_to_wire(
                        number,
                        name,
                        record.incarnation,
                        record.details,
                    ),
                )
            rows.extend(
                (
                    number,
                    record.sequence,
                    whole_ms(now_s - record.announced_s),
                    whole_ms(now_s - record.measured_s),
                    record.load.running,
                    record.load.queued,
                    record.load.queued_tokens,
                ),
            )
        return Batch(details=details or None, loads=rows or None)

    def take_departures(self) -> list[Departure]:
        """Return departures, and count down their repeats."""
        taken = []
        for left, repeats in tuple(self.departures.values()):
            taken.append(
                Departure(left.name, left.incarnation, left.sequence, 0),
            )
            if repeats > 1:
                self.departures[left.name] = (left, repeats - 1)
            else:
                self.departures.pop(left.name)
        return taken

    def take_prefixes(self, table: UpstreamTable) -> list[Prefixes]:
        """Return a bounded part of the prefix changes that wait."""
        taken = []
        for name, pending in tuple(self.prefixes.items()):
            known = self.numbers.get(name)
            if name in table.records and known is not None:
                added, dropped = pending.take()
                taken.append(Prefixes(known[0], added, dropped))
            if pending.is_empty() or name not in table.records:
                self.prefixes.pop(name)
        return taken

    def whole_batch(
        self,
        table: UpstreamTable,
        now_s: float,
        *,
        own_only: bool,
    ) -> Batch:
        """Return everything known, for a VM that lacks something."""
        self.own &= set(table.records)
        names = sorted(self.own if own_only else table.records)
        batch = self.describe(names, table, now_s, whole=True)
        batch.departures = [
            Departure(name, stone.incarnation, stone.sequence, 0)
            for name, stone in table.departures(MAX_DEPARTURES_PER_FETCH)
        ]
        batch.prefixes = [
            Prefixes(
                self.numbers[name][0],
                list(table.records[name].prefixes)[-PREFIXES_PER_FETCH:],
                [],
            )
            for name in names
            if table.records[name].prefixes
        ]
        return batch


@dataclass
class GossipReader:
    """What the numbers of each peer stand for."""

    numbers: dict[str, PeerNumbers] = field(default_factory=dict)

    def read(
        self,
        peer: str,
        session: int,
        batch: Batch,
        transit_s: float | None,
    ) -> tuple[list[UpstreamEvent], bool]:
        """Return a batch's events, and whether a number was unknown.

        Parameters
        ----------
        transit_s : float or None
            None where the batch's age is unknown: only its numbers and its
            departures are of use then.

        Raises
        ------
        FrameError
            Where the batch is malformed.
        """
        numbers = self.numbers_of(peer, session)
        details: dict[int, UpstreamDetails] = {}
        for wire in batch.details or ():
            details[wire.number] = details_from_wire(wire)
            numbers[wire.number] = (wire.name, wire.incarnation)
        rows = split_rows(batch.loads or [])
        known = [row for row in rows if row[0] in numbers]
        events: list[UpstreamEvent] = []
        if transit_s is not None:
            events.extend(
                row_event(row, numbers[row[0]], details.get(row[0]), transit_s)
                for row in known
            )
        events.extend(departure_events(batch))
        events.extend(prefix_events(batch, numbers))
        return events, len(known) < len(rows)

    def numbers_of(self, peer: str, session: int) -> Numbers:
        """Return a peer's numbers; a new session of it begins anew."""
        known = self.numbers.get(peer)
        if known is None or known[0] != session or len(known[1]) > MAX_NUMBERS:
            known = (session, {})
            self.numbers[peer] = known
        return known[1]


def split_rows(loads: list[int]) -> list[list[int]]:
    """Return the rows of a batch's loads.

    Raises
    ------
    FrameError
        Where a row is cut or a number is negative.
    """
    if len(loads) % ROW_INTEGERS or min(loads, default=0) < 0:
        raise FrameError('Batch: malformed loads')
    starts = range(0, len(loads), ROW_INTEGERS)
    return [loads[start : start + ROW_INTEGERS] for start in starts]


def row_event(
    row: list[int],
    numbered: Numbered,
    details: UpstreamDetails | None,
    transit_s: float,
) -> Gossiped:
    """Return the event of one load row."""
    return Gossiped(
        name=numbered[0],
        incarnation=numbered[1],
        sequence=row[1],
        load=UpstreamLoad(*row[4:]),
        age_s=row[2] / MILLISECONDS + transit_s,
        measured_age_s=row[3] / MILLISECONDS + transit_s,
        details=details,
    )


def departure_events(batch: Batch) -> list[Withdrawn]:
    """Return the departures of a batch; they count however old."""
    return [
        Withdrawn(wire.name, wire.incarnation, wire.sequence)
        for wire in batch.departures or ()
    ]


def prefix_events(
    batch: Batch,
    numbers: Numbers,
) -> list[PrefixesChanged]:
    """Return the prefix changes of known upstreams."""
    return [
        PrefixesChanged(
            *numbers[wire.number],
            tuple(wire.added or ()),
            tuple(wire.dropped or ()),
        )
        for wire in batch.prefixes or ()
        if wire.number in numbers
    ]


def table_digest(table: UpstreamTable) -> int:
    """Return a checksum over who is there, apart from loads and ages."""
    lines = sorted(
        f'{name} {record.incarnation}' for name, record in table.records.items()
    )
    return crc32c.crc32c('\n'.join(lines).encode())
