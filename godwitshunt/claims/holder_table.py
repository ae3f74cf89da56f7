"""All holders of one process, by region and generation."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from godwitshunt.claims.holder import (
    ClaimChanged,
    Holder,
    HolderChange,
    HolderStatusChanged,
)
from godwitshunt.configuration.revision import HolderSet

GenerationId = tuple[str, int]


@dataclass(frozen=True)
class GenerationChange:
    """A journal entry: a change and the generation that it belongs to."""

    generation: GenerationId
    change: HolderChange


@dataclass
class HolderTable:
    """Holders by region and generation number.

    Parameters
    ----------
    name : str
        Name of the process's VM.
    session : str
        Random id of this process.
    holder_sets : dict
        The committed holder sets that include this VM.
    restored : dict
        Holders restored from the journal whose generation no revision has
        listed yet.
    """

    name: str
    session: str
    holders: dict[GenerationId, Holder] = field(default_factory=dict)
    holder_sets: dict[GenerationId, HolderSet] = field(default_factory=dict)
    restored: dict[GenerationId, Holder] = field(default_factory=dict)

    def restore(
        self, records: Iterable[GenerationChange], now_s: float
    ) -> None:
        """Restore holders from the records of an intact journal."""
        for record in records:
            holder = self.restored.setdefault(
                record.generation,
                Holder(self.name, recovering=True, epoch_began_s=now_s),
            )
            restore_change(holder, record.change)
        for holder in self.restored.values():
            # The journal does not say when earlier epochs ended: their
            # claims are retained for one more whole epoch.
            if holder.epoch > holder.floor_epoch:
                holder.ended_epochs.append((holder.epoch - 1, now_s))

    def apply_holder_sets(
        self, holder_sets: Iterable[HolderSet], now_s: float
    ) -> None:
        """Apply the committed holder sets."""
        own_sets = {
            (candidate.region, candidate.generation): candidate
            for candidate in holder_sets
            if self.name in candidate.names
        }
        self.holder_sets = own_sets
        for removed in set(self.holders) - set(own_sets):
            self.holders.pop(removed)
        self.discard_obsolete()
        for generation, holder_set in own_sets.items():
            if generation not in self.holders:
                holder = self.create_holder(generation, holder_set, now_s)
                self.holders[generation] = holder

    def discard_obsolete(self) -> None:
        """Discard restored generations older than the committed ones."""
        oldest: dict[str, int] = {}
        for region, number in sorted(self.holder_sets):
            oldest.setdefault(region, number)
        self.restored = {
            generation: holder
            for generation, holder in self.restored.items()
            if generation[1] >= oldest.get(generation[0], 0)
        }

    def floor_epochs(self) -> dict[GenerationId, int]:
        """Return the floor epoch of every generation in use."""
        return {
            generation: holder.floor_epoch
            for generation, holder in (self.holders | self.restored).items()
        }

    def current_epochs(self) -> dict[GenerationId, int]:
        """Return the current epoch of every generation."""
        return {
            generation: holder.epoch
            for generation, holder in self.holders.items()
        }

    def create_holder(
        self,
        generation: GenerationId,
        holder_set: HolderSet,
        now_s: float,
    ) -> Holder:
        """Return a restored holder, a new one, or one that must recover."""
        restored = self.restored.pop(generation, None)
        if restored is not None:
            return restored
        committed_sessions = dict(
            zip(holder_set.names, holder_set.sessions, strict=False)
        )
        # Only the process that was running when the set was committed can be
        # sure that no earlier process of its VM voted in it. Any other one
        # could grant again what its VM granted before a restart.
        is_original_process = committed_sessions.get(self.name) == self.session
        holder = Holder(
            self.name,
            recovering=not is_original_process,
            epoch_began_s=now_s,
        )
        if is_original_process:
            holder.record_status()
        return holder

    def tick(self, now_s: float) -> None:
        """Advance epochs and drop claims below the floor epochs."""
        for holder in self.holders.values():
            holder.tick(now_s)

    def drain_changes(self) -> Iterator[GenerationChange]:
        """Yield and clear the changes not yet in the journal."""
        for generation, holder in self.holders.items():
            for change in holder.drain_changes():
                yield GenerationChange(generation, change)

    def statuses(self) -> Iterator[GenerationChange]:
        """Yield the statuses with which each journal segment starts."""
        for generation, holder in (self.holders | self.restored).items():
            if not holder.recovering:
                status = HolderStatusChanged(
                    holder.status(), holder.floor_epoch
                )
                yield GenerationChange(generation, status)

    def recovering_generations(self) -> tuple[GenerationId, ...]:
        """Return the generations in which this process abstains."""
        return tuple(
            generation
            for generation, holder in self.holders.items()
            if holder.recovering
        )


def restore_change(holder: Holder, change: HolderChange) -> None:
    """Apply one journal record to a holder."""
    match change:
        case HolderStatusChanged(status, floor_epoch):
            holder.recovering = False
            holder.incarnation = status.incarnation
            holder.known_incarnations = dict(status.known_incarnations)
            holder.epoch = status.epoch
            holder.floor_epoch = floor_epoch
            holder.store.drop_below(floor_epoch)
        case ClaimChanged(key, record):
            if key.epoch >= holder.floor_epoch:
                holder.store.put(key, record)
