"""The log in memory: entries after a base, everything before compacted."""

from dataclasses import dataclass, field

from godwitshunt.consensus.messages import Entry


@dataclass
class Log:
    """Consecutive entries after `base_index`.

    Parameters
    ----------
    base_index, base_term : int
        The last entry that is no longer held; 0 where none was dropped.
    entries : list of Entry
        The entries held, the first with index ``base_index + 1``.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 for an empty log."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 for an empty log."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None where it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : last - self.base_index])

    def batch(self, first: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` on, at least one, up to a size."""
        batch: list[Entry] = []
        size_bytes = 0
        for index in range(first, self.last_index + 1):
            entry = self.entries[index - self.base_index - 1]
            size_bytes += len(entry.payload)
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def first_of_term(self, index: int) -> int:
        """Return the first held index of the term that `index` has."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index > self.base_index + 1:
            index -= 1
        return index

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries; everything from the first one on is replaced."""
        keep = entries[0].index - self.base_index - 1
        del self.entries[keep:]
        self.entries.extend(entries)

    def compact(self, index: int) -> None:
        """Drop entries up to and including `index`."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop every entry and go on after a snapshot."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term
