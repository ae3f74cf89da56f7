"""Persistence of a process's holders in its claim journal."""

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
    """Writes holders to a journal and tracks which segments are needed.

    Parameters
    ----------
    segment_start_epochs : dict
        The epochs when the current segment was started. A new epoch starts
        the next segment, so that whole segments of old claims can be deleted.
    """

    journal: ClaimJournal
    metrics: Metrics
    segments: SegmentEpochs = field(default_factory=SegmentEpochs)
    segment_start_epochs: dict[GenerationId, int] = field(default_factory=dict)

    def restore(self, table: HolderTable, now_s: float) -> None:
        """Restore a table from the journal and start a new segment.

        Raises
        ------
        StorageError
            If the data folder cannot be used.
        """
        records = self.read_records()
        table.restore(records, now_s)
        # The segment of each restored record is not tracked: all of them are
        # attributed to the last segment read and are deleted with it.
        for record in records:
            self.segments.add(self.journal.segments[-1], record)
        self.begin_segment(table)

    def read_records(self) -> tuple[GenerationChange, ...]:
        """Return the journal's records, or none if the journal is lost."""
        outcome = self.journal.load()
        if isinstance(outcome, Err):
            self.record_loss(outcome.err_value.reason)
            return ()
        try:
            return tuple(decode_change(body) for body in outcome.ok_value)
        except FrameError as malformed:
            self.journal.set_aside()
            self.record_loss(malformed.reason)
            return ()

    def record_loss(self, reason: str) -> None:
        """Count and log the loss of the journal."""
        self.metrics.count('claims_journal_lost_total')
        log_change('claims:journal_lost', reason=reason)

    def begin_segment(self, table: HolderTable) -> None:
        """Start a segment with the holders' statuses."""
        statuses = tuple(table.statuses())
        self.journal.begin_segment(encode_change(status) for status in statuses)
        self.segments.highest_epochs.setdefault(
            self.journal.current_segment, {}
        )
        self.segment_start_epochs = table.current_epochs()

    def write(self, changes: Iterable[GenerationChange]) -> bool:
        """Append changes; return False if the disk fails."""
        try:
            for change in changes:
                self.journal.append(encode_change(change))
                self.segments.add(self.journal.current_segment, change)
        except StorageError as failure:
            self.record_failure(failure)
            return False
        return self.journal.failure is None

    async def sync(self) -> bool:
        """Sync what was written; return False if the disk fails."""
        try:
            await self.journal.sync()
        except StorageError as failure:
            self.record_failure(failure)
            return False
        return True

    def record_failure(self, failure: StorageError) -> None:
        """Count and log a disk failure."""
        self.metrics.count('claims_journal_failed_total')
        log_change('claims:journal_failed', reason=failure.reason)

    def rotate(self, table: HolderTable) -> None:
        """Start a segment for a new epoch and delete expired segments."""
        if self.journal.failure or not self.journal.can_begin_segment():
            return
        try:
            self.rotate_segments(table)
        except StorageError as failure:
            self.record_failure(failure)

    def rotate_segments(self, table: HolderTable) -> None:
        """Rotate the segments; a disk failure raises `StorageError`."""
        if table.current_epochs() != self.segment_start_epochs:
            self.begin_segment(table)
        first_needed = self.segments.first_needed_segment(table)
        self.journal.delete_before(first_needed)
        self.segments.remove_before(first_needed)


def encode_change(record: GenerationChange) -> bytes:
    """Encode a change as a journal record."""
    return encode(change_to_wire(*record.generation, record.change))


def decode_change(body: bytes) -> GenerationChange:
    """Decode a journal record.

    Raises
    ------
    FrameError
        If the record is malformed.
    """
    wire = decode(ttypes.JournalRecord, body)
    generation = (wire.region, wire.generation)
    return GenerationChange(generation, change_from_wire(wire))
