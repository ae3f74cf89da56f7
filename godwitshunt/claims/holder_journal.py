"""Keeps a process's holders in its claim journal."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_table import (
    GenerationChange,
    GenerationId,
    HolderTable,
)
from godwitshunt.claims.journal import ClaimJournal
from godwitshunt.claims.segments import SegmentEpochs
from godwitshunt.claims.wire import change_from_wire, change_to_wire
from godwitshunt.exceptions import FrameError, StorageError
from godwitshunt.peer import decode, encode
from godwitshunt.telemetry import Metrics, log_change


@dataclass
class HolderJournal:
    """A journal, and which of its segments are still needed.

    Parameters
    ----------
    begun_epochs : dict
        The epochs when the present segment began; a later one begins the
        next segment, so that old claims go with whole segments.
    """

    journal: ClaimJournal
    metrics: Metrics
    segments: SegmentEpochs = field(default_factory=SegmentEpochs)
    begun_epochs: dict[GenerationId, int] = field(default_factory=dict)

    def reload(self, table: HolderTable, now_s: float) -> None:
        """Rebuild a table from the journal and begin a segment.

        Raises
        ------
        StorageError
            Where the data folder cannot be used.
        """
        records = self.read_records()
        table.reload(records, now_s)
        # Which segment a record came from is not kept: all count as the last
        # one that was read, and go with it.
        for record in records:
            self.segments.note(self.journal.segments[-1], record)
        self.begin_segment(table)

    def read_records(self) -> tuple[GenerationChange, ...]:
        """Return the journal's records; none where it is lost."""
        outcome = self.journal.load()
        if isinstance(outcome, Err):
            self.note_lost(outcome.err_value.reason)
            return ()
        try:
            return tuple(parse_record(body) for body in outcome.ok_value)
        except FrameError as malformed:
            self.journal.set_aside()
            self.note_lost(malformed.reason)
            return ()

    def note_lost(self, reason: str) -> None:
        """Count and log that what was recorded is gone."""
        self.metrics.count('claims_journal_lost_total')
        log_change('claims:journal_lost', reason=reason)

    def begin_segment(self, table: HolderTable) -> None:
        """Begin a segment with the holders' standings."""
        standings = tuple(table.standings())
        self.journal.begin_segment(
            record_body(standing) for standing in standings
        )
        self.segments.highest.setdefault(self.journal.number, {})
        self.begun_epochs = table.epochs()

    def write(self, changes: Iterable[GenerationChange]) -> bool:
        """Append changes; False where the disk refuses."""
        try:
            for change in changes:
                self.journal.append(record_body(change))
                self.segments.note(self.journal.number, change)
        except StorageError as failed:
            self.note_failed(failed)
            return False
        return self.journal.failed is None

    async def sync(self) -> bool:
        """Wait until what was written lasts; False where it does not."""
        try:
            await self.journal.sync()
        except StorageError as failed:
            self.note_failed(failed)
            return False
        return True

    def note_failed(self, failed: StorageError) -> None:
        """Count a refusal of the disk."""
        self.metrics.count('claims_journal_failed_total')
        log_change('claims:journal_failed', reason=failed.reason)

    def rotate(self, table: HolderTable) -> None:
        """Begin a segment for a new epoch, and delete what is over."""
        if self.journal.failed or not self.journal.can_begin():
            return
        try:
            self.try_rotate(table)
        except StorageError as failed:
            self.note_failed(failed)

    def try_rotate(self, table: HolderTable) -> None:
        """Rotate on a disk that takes writes."""
        if table.epochs() != self.begun_epochs:
            self.begin_segment(table)
        needed = self.segments.first_needed(table)
        self.journal.drop_before(needed)
        self.segments.forget_before(needed)


def record_body(record: GenerationChange) -> bytes:
    """Return the bytes of a journal record."""
    return encode(change_to_wire(*record.generation, record.change))


def parse_record(body: bytes) -> GenerationChange:
    """Read a journal record."""
    wire = decode(ttypes.JournalRecord, body)
    generation = (wire.region, wire.generation)
    return GenerationChange(generation, change_from_wire(wire))
