"""Bookkeeping of which journal segments may be deleted."""

from dataclasses import dataclass, field

from godwitshunt.claims.holder import ClaimChanged
from godwitshunt.claims.holder_table import (
    GenerationChange,
    GenerationId,
    HolderTable,
)

Epochs = dict[GenerationId, int]


@dataclass
class SegmentEpochs:
    """The highest epoch of the keys in each segment, by generation.

    Parameters
    ----------
    highest_epochs : dict
        By segment number; the last segment is the one being written.
    """

    highest_epochs: dict[int, Epochs] = field(default_factory=dict)

    def add(self, number: int, record: GenerationChange) -> None:
        """Account for a record written to a segment."""
        epochs = self.highest_epochs.setdefault(number, {})
        if isinstance(record.change, ClaimChanged):
            epoch = record.change.key.epoch
            known = epochs.get(record.generation, 0)
            epochs[record.generation] = max(epoch, known)

    def first_needed_segment(self, table: HolderTable) -> int:
        """Return the first segment with a claim at or above a floor epoch."""
        for number in sorted(self.highest_epochs):
            if self.is_needed(self.highest_epochs[number], table):
                return number
        return max(self.highest_epochs, default=0)

    def is_needed(self, epochs: Epochs, table: HolderTable) -> bool:
        """Return whether a segment has a claim that has not expired."""
        floor_epochs = table.floor_epochs()
        return any(
            generation in floor_epochs and epoch >= floor_epochs[generation]
            for generation, epoch in epochs.items()
        )

    def remove_before(self, number: int) -> None:
        """Remove the entries of deleted segments."""
        retained = [other for other in self.highest_epochs if other >= number]
        self.highest_epochs = {
            other: self.highest_epochs[other] for other in retained
        }
