"""The entry VMs that poll a control VM, and their requests in sum; pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from godwitshunt.registry.records import EntryRecord, Load

# Entry VMs poll a few times a second; one that missed four polls in a row is
# taken from the directory, well within the five seconds that users allow.
ABSENT_AFTER_S = 2.0


@dataclass
class PolledEntry:
    """The last poll of an entry VM."""

    record: EntryRecord
    heard_s: float
    version: int
    loads: Mapping[str, Load] = field(default_factory=dict)


@dataclass
class EntryTable:
    """Every entry VM that polls, with what it says of itself."""

    entries: dict[str, PolledEntry] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)
    totals: dict[str, Load] = field(default_factory=dict)
    version: int = 0

    def hear(
        self,
        record: EntryRecord,
        loads: Mapping[str, Load],
        now_s: float,
    ) -> None:
        """Take a poll."""
        known = self.entries.get(record.name)
        if known is None:
            known = PolledEntry(record, now_s, self.next_version())
            self.entries[record.name] = known
            self.gone.pop(record.name, None)
        elif known.record != record:
            known.record = record
            known.version = self.next_version()
        self.change_loads(known.loads, loads)
        known.loads = loads
        known.heard_s = now_s

    def change_loads(
        self,
        before: Mapping[str, Load],
        after: Mapping[str, Load],
    ) -> None:
        """Put one entry VM's new requests in the place of its old ones."""
        for instance, load in before.items():
            self.totals[instance] = self.totals[instance] - load
        for instance, load in after.items():
            self.totals[instance] = self.totals.get(instance, Load()) + load
        for instance in before:
            if self.totals[instance] == Load():
                self.totals.pop(instance)

    def tick(self, now_s: float) -> tuple[str, ...]:
        """Drop entry VMs that poll no more; return their names."""
        absent = tuple(
            name
            for name, known in self.entries.items()
            if now_s - known.heard_s > ABSENT_AFTER_S
        )
        for name in absent:
            self.change_loads(self.entries.pop(name).loads, {})
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

    def loads_without(self, name: str) -> Iterable[tuple[str, Load]]:
        """Give the requests of all entry VMs but one at each upstream."""
        known = self.entries.get(name)
        own = {} if known is None else known.loads
        for instance, total in self.totals.items():
            others = total - own.get(instance, Load())
            if others != Load():
                yield instance, others

    def next_version(self) -> int:
        """Return the version of the next change."""
        self.version += 1
        return self.version
