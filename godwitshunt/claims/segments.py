"""Which journal segments may be deleted, and when a new one begins."""

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
    highest : dict
        By segment number; the last one is being written.
    """

    highest: dict[int, Epochs] = field(default_factory=dict)

    def note(self, number: int, record: GenerationChange) -> None:
        """Note what was written to a segment."""
        epochs = self.highest.setdefault(number, {})
        if isinstance(record.change, ClaimChanged):
            epoch = record.change.key.epoch
            known = epochs.get(record.generation, 0)
            epochs[record.generation] = max(epoch, known)

    def first_needed(self, table: HolderTable) -> int:
        """Return the first segment with a claim that is not below a floor."""
        for number in sorted(self.highest):
            if self.is_needed(self.highest[number], table):
                return number
        return max(self.highest, default=0)

    def is_needed(self, epochs: Epochs, table: HolderTable) -> bool:
        """Return whether a segment holds any claim that still counts."""
        floors = table.floors()
        return any(
            generation in floors and epoch >= floors[generation]
            for generation, epoch in epochs.items()
        )

    def forget_before(self, number: int) -> None:
        """Drop what was noted of deleted segments."""
        kept = [known for known in self.highest if known >= number]
        self.highest = {known: self.highest[known] for known in kept}
