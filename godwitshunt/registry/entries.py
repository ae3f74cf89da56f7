"""The entry VMs that poll a control VM.

No I/O; callers pass the time in.
"""

from dataclasses import dataclass, field

from godwitshunt.registry.records import EntryRecord

# Entry VMs poll a few times a second. After four missed polls in a row an
# entry VM is removed from the directory, well within the five seconds that
# the requirements allow.
ABSENT_AFTER_S = 2.0


@dataclass
class PolledEntry:
    """The last poll of an entry VM."""

    record: EntryRecord
    last_seen_s: float
    version: int


@dataclass
class EntryTable:
    """The entry VMs that poll this control VM, with their own records.

    Parameters
    ----------
    departed : dict
        Version at which each removed entry VM was removed, by name.
    version : int
        Rises with each change.
    """

    entries: dict[str, PolledEntry] = field(default_factory=dict)
    departed: dict[str, int] = field(default_factory=dict)
    version: int = 0

    def record_poll(self, record: EntryRecord, now_s: float) -> None:
        """Record a poll of an entry VM."""
        known = self.entries.get(record.name)
        if known is None:
            known = PolledEntry(record, now_s, self.next_version())
            self.entries[record.name] = known
            self.departed.pop(record.name, None)
        elif known.record != record:
            known.record = record
            known.version = self.next_version()
        known.last_seen_s = now_s

    def tick(self, now_s: float) -> tuple[str, ...]:
        """Remove entry VMs that stopped polling; return their names."""
        absent = tuple(
            name
            for name, known in self.entries.items()
            if now_s - known.last_seen_s > ABSENT_AFTER_S
        )
        for name in absent:
            self.entries.pop(name)
            self.departed[name] = self.next_version()
        return absent

    def accepting(self) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that accept requests from callers."""
        return tuple(
            known.record
            for known in self.entries.values()
            if known.record.accepting
        )

    def changed_since(self, version: int) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that changed after a version."""
        return tuple(
            known.record
            for known in self.entries.values()
            if known.version > version
        )

    def departed_since(self, version: int) -> tuple[str, ...]:
        """Return the names of the entry VMs removed after a version."""
        return tuple(
            name
            for name, removed_at in self.departed.items()
            if removed_at > version
        )

    def next_version(self) -> int:
        """Increment the version and return it."""
        self.version += 1
        return self.version
