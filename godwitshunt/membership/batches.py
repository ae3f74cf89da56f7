"""Batches of upstream changes: building them and reading received ones.

A sender transmits an upstream's details once, under a number that it assigns.
After that, it transmits the load as a row of seven integers. A receiver that
lacks the details, after message loss or its own restart, fetches them.
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
    round_up_ms,
)

INTEGERS_PER_ROW = 7
# A departure is repeated in several batches: if it were lost, a VM would send
# requests to the departed upstream until the lease expires.
DEPARTURE_REPEATS = 3
PREFIXES_PER_FETCH = 64
MAX_NUMBERS_PER_PEER = 8192
MAX_DEPARTURES_PER_FETCH = 256

IncarnationId = tuple[str, int]
NumberMap = dict[int, IncarnationId]
SessionNumbers = tuple[int, NumberMap]


@dataclass
class BatchBuilder:
    """Collects changes that this VM received first-hand and batches them.

    Parameters
    ----------
    details_numbers : dict
        For each upstream, its number and the incarnation and details that the
        number stands for.
    next_number : int
        The next number to assign.
    sent_numbers : set of int
        Numbers whose details were sent to the peers.
    announced_here : set of str
        Upstreams that announce themselves to this VM.
    changed_loads : set of str
        Upstreams whose load has changed since the last batch.
    pending_departures : dict
        Departures to send, and in how many more batches.
    pending_prefixes : dict
        Prefix cache changes to send, by upstream.
    pending_reports : dict
        Reports of other regions to send, by region.
    """

    details_numbers: dict[str, tuple[int, int, UpstreamDetails]] = field(
        default_factory=dict,
    )
    next_number: int = 1
    sent_numbers: set[int] = field(default_factory=set)
    announced_here: set[str] = field(default_factory=set)
    changed_loads: set[str] = field(default_factory=set)
    pending_departures: dict[str, tuple[Left, int]] = field(
        default_factory=dict
    )
    pending_prefixes: dict[str, PendingPrefixes] = field(default_factory=dict)
    pending_reports: dict[str, RegionReport] = field(default_factory=dict)

    def record_load(self, name: str) -> None:
        """Record that an upstream announced itself to this VM."""
        self.announced_here.add(name)
        self.changed_loads.add(name)
        self.pending_departures.pop(name, None)

    def record_departure(self, left: Left) -> None:
        """Record a departure, to be sent in several batches."""
        self.announced_here.discard(left.name)
        self.changed_loads.discard(left.name)
        self.pending_prefixes.pop(left.name, None)
        self.pending_departures[left.name] = (left, DEPARTURE_REPEATS)

    def record_prefixes(
        self,
        name: str,
        added: tuple[int, ...],
        dropped: tuple[int, ...],
    ) -> None:
        """Record changes of an upstream's prefix cache."""
        if not (added or dropped):
            return
        pending = self.pending_prefixes.setdefault(name, PendingPrefixes())
        pending.extend(added, dropped)

    def record_report(self, report: RegionReport) -> None:
        """Record another region's report."""
        self.pending_reports[report.region] = report

    def number_of(self, name: str, table: UpstreamTable) -> int:
        """Return the number of an upstream with its current details."""
        record = table.records[name]
        known = self.details_numbers.get(name)
        current = (record.incarnation, record.details)
        if known is not None and known[1:] == current:
            return known[0]
        number = self.next_number
        self.next_number += 1
        self.details_numbers[name] = (number, *current)
        return number

    def next_batch(
        self,
        table: UpstreamTable,
        now_s: float,
        *,
        with_prefixes: bool,
    ) -> Batch | None:
        """Return the changes since the last batch; None if there are none."""
        names = [
            name for name in sorted(self.changed_loads) if name in table.records
        ]
        self.changed_loads.clear()
        batch = self.build_load_batch(names, table, now_s)
        self.sent_numbers.update(wire.number for wire in batch.details or ())
        batch.departures = self.next_departures() or None
        if with_prefixes:
            batch.prefixes = self.next_prefixes(table) or None
        batch.summaries = [
            report_to_wire(report, now_s)
            for report in self.pending_reports.values()
        ] or None
        self.pending_reports.clear()
        parts = (
            batch.loads,
            batch.departures,
            batch.prefixes,
            batch.summaries,
        )
        return batch if any(parts) else None

    def build_load_batch(
        self,
        names: list[str],
        table: UpstreamTable,
        now_s: float,
        *,
        all_details: bool = False,
    ) -> Batch:
        """Return a batch with the loads of the named upstreams.

        Parameters
        ----------
        all_details : bool
            True adds the details even if they were sent before.
        """
        details = []
        rows = []
        for name in names:
            record = table.records[name]
            number = self.number_of(name, table)
            if all_details or number not in self.sent_numbers:
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
                    round_up_ms(now_s - record.announced_s),
                    round_up_ms(now_s - record.measured_s),
                    record.load.running,
                    record.load.queued,
                    record.load.queued_tokens,
                ),
            )
        return Batch(details=details or None, loads=rows or None)

    def next_departures(self) -> list[Departure]:
        """Return the departures for a batch; count down their repeats."""
        departures = []
        for left, repeats in tuple(self.pending_departures.values()):
            departures.append(
                Departure(left.name, left.incarnation, left.sequence, 0),
            )
            if repeats > 1:
                self.pending_departures[left.name] = (left, repeats - 1)
            else:
                self.pending_departures.pop(left.name)
        return departures

    def next_prefixes(self, table: UpstreamTable) -> list[Prefixes]:
        """Remove and return the prefix changes for a batch, up to the limit."""
        prefix_changes = []
        for name, pending in tuple(self.pending_prefixes.items()):
            known = self.details_numbers.get(name)
            if name in table.records and known is not None:
                added, dropped = pending.next_changes()
                prefix_changes.append(Prefixes(known[0], added, dropped))
            if pending.is_empty() or name not in table.records:
                self.pending_prefixes.pop(name)
        return prefix_changes

    def full_batch(
        self,
        table: UpstreamTable,
        now_s: float,
        *,
        own_only: bool,
    ) -> Batch:
        """Return all details, loads, departures and recent prefixes.

        Parameters
        ----------
        own_only : bool
            True restricts the upstreams to those that announce to this VM.
        """
        self.announced_here &= set(table.records)
        names = sorted(self.announced_here if own_only else table.records)
        batch = self.build_load_batch(names, table, now_s, all_details=True)
        batch.departures = [
            Departure(name, tombstone.incarnation, tombstone.sequence, 0)
            for name, tombstone in table.newest_tombstones(
                MAX_DEPARTURES_PER_FETCH
            )
        ]
        batch.prefixes = [
            Prefixes(
                self.details_numbers[name][0],
                list(table.records[name].prefixes)[-PREFIXES_PER_FETCH:],
                [],
            )
            for name in names
            if table.records[name].prefixes
        ]
        return batch


@dataclass
class BatchReader:
    """Reads batches, and maps each peer's numbers to incarnations."""

    peer_numbers: dict[str, SessionNumbers] = field(default_factory=dict)

    def read(
        self,
        peer: str,
        session: int,
        batch: Batch,
        transit_s: float | None,
    ) -> tuple[list[UpstreamEvent], bool]:
        """Return the events of a batch, and whether a number was unknown.

        Parameters
        ----------
        transit_s : float or None
            Upper bound of the transit time; None if it is unknown, in which
            case the loads are ignored.

        Raises
        ------
        FrameError
            If the batch is malformed.
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
                event_from_row(
                    row, numbers[row[0]], details.get(row[0]), transit_s
                )
                for row in known
            )
        events.extend(departure_events(batch))
        events.extend(prefix_events(batch, numbers))
        return events, len(known) < len(rows)

    def numbers_of(self, peer: str, session: int) -> NumberMap:
        """Return the numbers of a peer; discard those of an earlier session."""
        known = self.peer_numbers.get(peer)
        if (
            known is None
            or known[0] != session
            or len(known[1]) > MAX_NUMBERS_PER_PEER
        ):
            known = (session, {})
            self.peer_numbers[peer] = known
        return known[1]


def split_rows(loads: list[int]) -> list[list[int]]:
    """Split the loads of a batch into rows.

    Raises
    ------
    FrameError
        If a row is incomplete or an integer is negative.
    """
    if len(loads) % INTEGERS_PER_ROW or min(loads, default=0) < 0:
        raise FrameError('Batch: malformed loads')
    starts = range(0, len(loads), INTEGERS_PER_ROW)
    return [loads[start : start + INTEGERS_PER_ROW] for start in starts]


def event_from_row(
    row: list[int],
    incarnation_id: IncarnationId,
    details: UpstreamDetails | None,
    transit_s: float,
) -> Gossiped:
    """Return the event of one row of loads."""
    return Gossiped(
        name=incarnation_id[0],
        incarnation=incarnation_id[1],
        sequence=row[1],
        load=UpstreamLoad(*row[4:]),
        age_s=row[2] / MILLISECONDS + transit_s,
        measured_age_s=row[3] / MILLISECONDS + transit_s,
        details=details,
    )


def departure_events(batch: Batch) -> list[Withdrawn]:
    """Return the departures of a batch, which are valid at any age."""
    return [
        Withdrawn(wire.name, wire.incarnation, wire.sequence)
        for wire in batch.departures or ()
    ]


def prefix_events(
    batch: Batch,
    numbers: NumberMap,
) -> list[PrefixesChanged]:
    """Return the prefix cache changes of known upstreams."""
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
    """Return a checksum of the upstreams' names and incarnations."""
    lines = sorted(
        f'{name} {record.incarnation}' for name, record in table.records.items()
    )
    return crc32c.crc32c('\n'.join(lines).encode())
