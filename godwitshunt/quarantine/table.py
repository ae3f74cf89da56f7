"""A bounded table of the requests that were lost recently."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectRecord
from godwitshunt.quarantine.verdicts import find_confirmed

# A crashed engine loses as many requests as it has slots; this holds twenty
# crashes of engines with 48 slots.
MAX_RECORDS = 1024
# Crashes from which on a request is reported to entry VMs, so that they record
# its whole answers.
SUSPECTED_CRASHES = 2
# Records per message; the others are sent with the next one.
MAX_DELTA_RECORDS = 256
NEVER_EVALUATED = -1


@dataclass(frozen=True)
class LostRequest:
    """A request that one VM observed to be lost."""

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    loss: Loss


@dataclass(frozen=True)
class SuspectUpdate:
    """Changed records of a table.

    Parameters
    ----------
    version : int or None
        Version that the receiver has with this update; None where none was
        requested.
    """

    records: tuple[SuspectRecord, ...]
    version: int | None


@dataclass
class SuspectTable:
    """Lost requests, and which of them are confirmed to crash upstreams.

    Parameters
    ----------
    max_records : int
        Maximum number of records.

    Examples
    --------
    >>> table = SuspectTable()
    >>> crashing = Fingerprint(bytes(16))
    >>> for number in range(3):
    ...     loss = Loss(f'i-{number}', float(number), 0.1)
    ...     _ = table.record_loss(LostRequest(crashing, '', 5, loss))
    >>> crashing in table.confirmed()
    True
    >>> table.has_suspected_length(5), table.has_suspected_length(6)
    (True, False)
    """

    max_records: int = MAX_RECORDS
    records: dict[Fingerprint, SuspectRecord] = field(default_factory=dict)
    version: int = 0
    evaluated_version: int = NEVER_EVALUATED
    confirmed_crashes: dict[Fingerprint, int] = field(default_factory=dict)
    suspected_lengths: frozenset[int] = frozenset()

    def record_loss(self, lost: LostRequest) -> bool:
        """Record a loss observed here; return False if it is known."""
        record = self.records.get(lost.fingerprint) or SuspectRecord(
            lost.fingerprint,
            lost.organisation,
            lost.body_bytes,
        )
        if not record.add_loss(lost.loss):
            return False
        self.store(record)
        self.evict()
        return True

    def clear(
        self,
        fingerprint: Fingerprint,
        name: str,
        at_s: float,
    ) -> bool:
        """Clear the losses of a request up to a time.

        Parameters
        ----------
        name : str
            Name of the clearance, unique among all processes.

        Returns
        -------
        bool
            False where it had no counted losses.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.counted_losses():
            return False
        record.add_clearance(name, at_s)
        self.store(record)
        return True

    def join(self, records: Iterable[SuspectRecord]) -> bool:
        """Add what another process knows; return False if known."""
        changes = [self.join_record(record) for record in records]
        self.evict()
        return any(changes)

    def join_record(self, other: SuspectRecord) -> bool:
        """Add what another process knows of one request."""
        record = self.records.get(other.fingerprint) or SuspectRecord(
            other.fingerprint,
            other.organisation,
            other.body_bytes,
        )
        if not record.join(other):
            return False
        self.store(record)
        return True

    def store(self, record: SuspectRecord) -> None:
        """Store a changed record under a new version."""
        self.version += 1
        record.version = self.version
        self.records[record.fingerprint] = record

    def evict(self) -> None:
        """Drop records beyond the bound.

        The bound is shared fairly between organisations, so that none can
        evict the records of others by sending many requests. The records with
        the least evidence are evicted first.
        """
        if len(self.records) <= self.max_records:
            return
        by_organisation: dict[str, list[SuspectRecord]] = {}
        for record in self.records.values():
            by_organisation.setdefault(record.organisation, []).append(record)
        share = fair_share(map(len, by_organisation.values()), self.max_records)
        for records in by_organisation.values():
            records.sort(key=eviction_key, reverse=True)
            for record in records[share:]:
                self.records.pop(record.fingerprint)

    def since(
        self,
        version: int,
        min_losses: int = 0,
    ) -> tuple[SuspectRecord, ...]:
        """Return the records that changed after a version.

        Parameters
        ----------
        min_losses : int
            Records with fewer losses are omitted unless they were cleared.
        """
        return tuple(
            record
            for record in self.records.values()
            if record.version > version
            and (len(record.losses) >= min_losses or record.clearances)
        )

    def delta(self, version: int, min_losses: int = 0) -> SuspectUpdate:
        """Return one message's worth of the changes after a version."""
        if version >= self.version:
            return SuspectUpdate((), self.version)
        records = sorted(
            self.since(version, min_losses),
            key=lambda record: record.version,
        )
        if len(records) <= MAX_DELTA_RECORDS:
            return SuspectUpdate(tuple(records), self.version)
        first = tuple(records[:MAX_DELTA_RECORDS])
        return SuspectUpdate(first, first[-1].version)

    def has_losses(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request has counted losses."""
        record = self.records.get(fingerprint)
        return record is not None and bool(record.counted_losses())

    def has_suspected_length(self, body_bytes: int) -> bool:
        """Tell whether any suspected request has a body of a length."""
        self.evaluate()
        return body_bytes in self.suspected_lengths

    def confirmed(self) -> dict[Fingerprint, int]:
        """Return the confirmed requests with their numbers of crashes."""
        self.evaluate()
        return self.confirmed_crashes

    def evaluate(self) -> None:
        """Update the confirmed requests where records have changed."""
        if self.evaluated_version == self.version:
            return
        self.evaluated_version = self.version
        self.confirmed_crashes = find_confirmed(self.records.values())
        self.suspected_lengths = frozenset(
            record.body_bytes
            for record in self.records.values()
            if len(record.counted_losses()) >= SUSPECTED_CRASHES
        )

    def expire(self, until_s: float) -> None:
        """Drop entries up to a time, and empty records."""
        changed = [
            record for record in self.records.values() if record.expire(until_s)
        ]
        for record in changed:
            self.evaluated_version = NEVER_EVALUATED
            if record.is_empty:
                self.records.pop(record.fingerprint)


def eviction_key(record: SuspectRecord) -> tuple[int, float]:
    """Return a sort key that is smallest for the first to be evicted."""
    return (len(record.counted_losses()), record.last_loss_s())


def fair_share(sizes: Iterable[int], total: int) -> int:
    """Return the max-min fair share of a total.

    What small demands leave of an equal share is split among the others.

    Examples
    --------
    >>> fair_share([2, 50, 80], total=60), fair_share([100], total=60)
    (29, 60)
    """
    ascending = sorted(sizes)
    remaining = total
    for position, size in enumerate(ascending):
        share = remaining // (len(ascending) - position)
        if size > share:
            return share
        remaining -= size
    return total
