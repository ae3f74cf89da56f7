"""All generations that one process is a holder in, and what it reloads."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from godwitshunt.claims.holder import (
    ClaimChanged,
    Holder,
    HolderChange,
    StandingChanged,
)
from godwitshunt.configuration.revision import HolderSet

GenerationId = tuple[str, int]


@dataclass(frozen=True)
class GenerationChange:
    """A change of one generation, for the journal."""

    generation: GenerationId
    change: HolderChange


@dataclass
class HolderTable:
    """Holders by region and generation number.

    Parameters
    ----------
    name : str
        The process's VM.
    session : str
        Drawn at the process's start.
    sets : dict
        The committed holder sets that name this VM.
    reloaded : dict
        What the journal had of generations that no revision named yet.
    """

    name: str
    session: str
    holders: dict[GenerationId, Holder] = field(default_factory=dict)
    sets: dict[GenerationId, HolderSet] = field(default_factory=dict)
    reloaded: dict[GenerationId, Holder] = field(default_factory=dict)

    def reload(self, records: Iterable[GenerationChange], now_s: float) -> None:
        """Rebuild holders from what an intact journal had."""
        for record in records:
            holder = self.reloaded.setdefault(
                record.generation,
                Holder(self.name, recovering=True, epoch_began_s=now_s),
            )
            reload_change(holder, record.change)
        for holder in self.reloaded.values():
            # When earlier epochs ended is not known any more: their claims
            # are kept for a whole further epoch.
            if holder.epoch > holder.floor:
                holder.ended.append((holder.epoch - 1, now_s))

    def apply_sets(self, sets: Iterable[HolderSet], now_s: float) -> None:
        """Follow the committed holder sets."""
        named = {
            (one.region, one.generation): one
            for one in sets
            if self.name in one.names
        }
        self.sets = named
        for gone in set(self.holders) - set(named):
            self.holders.pop(gone)
        self.forget_reloaded()
        for generation, holder_set in named.items():
            if generation not in self.holders:
                holder = self.make(generation, holder_set, now_s)
                self.holders[generation] = holder

    def forget_reloaded(self) -> None:
        """Drop generations that are older than any committed one."""
        oldest: dict[str, int] = {}
        for region, number in sorted(self.sets):
            oldest.setdefault(region, number)
        self.reloaded = {
            generation: holder
            for generation, holder in self.reloaded.items()
            if generation[1] >= oldest.get(generation[0], 0)
        }

    def floors(self) -> dict[GenerationId, int]:
        """Return the floor of every generation that still counts."""
        return {
            generation: holder.floor
            for generation, holder in (self.holders | self.reloaded).items()
        }

    def epochs(self) -> dict[GenerationId, int]:
        """Return the present epoch of every generation."""
        return {
            generation: holder.epoch
            for generation, holder in self.holders.items()
        }

    def make(
        self,
        generation: GenerationId,
        holder_set: HolderSet,
        now_s: float,
    ) -> Holder:
        """Return a holder as reloaded, as new, or as one that forgot."""
        reloaded = self.reloaded.pop(generation, None)
        if reloaded is not None:
            return reloaded
        listed = dict(zip(holder_set.names, holder_set.sessions, strict=False))
        # Only the process that was running when the set was committed knows
        # that no earlier one has voted in it. Any other that took itself for
        # new would grant again what its VM granted before a restart.
        is_first = listed.get(self.name) == self.session
        holder = Holder(
            self.name,
            recovering=not is_first,
            epoch_began_s=now_s,
        )
        if is_first:
            holder.note_standing()
        return holder

    def tick(self, now_s: float) -> None:
        """Advance epochs and drop what is below the floors."""
        for holder in self.holders.values():
            holder.tick(now_s)

    def drain_changes(self) -> Iterator[GenerationChange]:
        """Yield what the journal does not have yet."""
        for generation, holder in self.holders.items():
            for change in holder.drain_changes():
                yield GenerationChange(generation, change)

    def standings(self) -> Iterator[GenerationChange]:
        """Yield what each journal segment begins with."""
        for generation, holder in (self.holders | self.reloaded).items():
            if not holder.recovering:
                standing = StandingChanged(holder.standing(), holder.floor)
                yield GenerationChange(generation, standing)

    def recovering(self) -> tuple[GenerationId, ...]:
        """Return the generations in which this process abstains."""
        return tuple(
            generation
            for generation, holder in self.holders.items()
            if holder.recovering
        )


def reload_change(holder: Holder, change: HolderChange) -> None:
    """Apply one journal record."""
    match change:
        case StandingChanged(standing, floor):
            holder.recovering = False
            holder.incarnation = standing.incarnation
            holder.known = dict(standing.known)
            holder.epoch = standing.epoch
            holder.floor = floor
            holder.store.drop_below(floor)
        case ClaimChanged(key, record):
            if key.epoch >= holder.floor:
                holder.store.put(key, record)
