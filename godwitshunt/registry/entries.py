"""The entry VMs that poll a control VM; pure."""

from dataclasses import dataclass, field

from godwitshunt.registry.records import EntryRecord

# Entry VMs poll a few times a second; one that missed four polls in a row is
# taken from the directory, well within the five seconds that users allow.
ABSENT_AFTER_S = 2.0


@dataclass
class PolledEntry:
    """The last poll of an entry VM."""

    record: EntryRecord
    heard_s: float
    version: int


@dataclass
class EntryTable:
    """Every entry VM that polls, with what it says of itself."""

    entries: dict[str, PolledEntry] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)
    version: int = 0

    def hear(self, record: EntryRecord, now_s: float) -> None:
        """Take a poll."""
        known = self.entries.get(record.name)
        if known is None:
            known = PolledEntry(record, now_s, self.next_version())
            self.entries[record.name] = known
            self.gone.pop(record.name, None)
        elif known.record != record:
            known.record = record
            known.version = self.next_version()
        known.heard_s = now_s

    def tick(self, now_s: float) -> tuple[str, ...]:
        """Drop entry VMs that poll no more; return their names."""
        absent = tuple(
            name
            for name, known in self.entries.items()
            if now_s - known.heard_s > ABSENT_AFTER_S
        )
        for name in absent:
            self.entries.pop(name)
            self.gone[name] = self.next_version()
        return absent

    def accepting(self) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that take requests of callers."""
        return tuple(
            known.record
            for known in self.entries.values()
            if known.record.accepting
        )

    def changed_since(self, version: int) -> tuple[EntryRecord, ...]:
        """Return the entry VMs with news after a version."""
        return tuple(
            known.record
            for known in self.entries.values()
            if known.version > version
        )

    def gone_since(self, version: int) -> tuple[str, ...]:
        """Return the entry VMs that fell silent after a version."""
        return tuple(
            name for name, left_at in self.gone.items() if left_at > version
        )

    def next_version(self) -> int:
        """Return the version of the next change."""
        self.version += 1
        return self.version
