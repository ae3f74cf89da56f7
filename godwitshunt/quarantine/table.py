"""A bounded table of the requests that were lost recently."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import Self

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectPart, SuspectRecord
from godwitshunt.quarantine.verdicts import (
    SUSPECTED_CRASHES,
    find_confirmed,
)

# A crashed engine loses as many requests as it has slots; this holds twenty
# crashes of engines with 48 slots, and as many parts of prompts beside.
MAX_RECORDS = 1024
# Records per message; the others are sent with the next one.
MAX_DELTA_RECORDS = 256
NEVER_EVALUATED = -1
# Records whose last loss is older than the last of all by this are evicted
# before the others.
RECENT_S = 60.0


@dataclass(frozen=True)
class LostRequest:
    """A request, or a part of its prompt, that one VM observed to be lost.

    Parameters
    ----------
    part : SuspectPart or None
        None for the content of the request.
    """

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    loss: Loss
    part: SuspectPart | None = None


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
    """Lost requests and parts, and which are confirmed to crash upstreams.

    Parameters
    ----------
    max_records : int
        Maximum number of records of requests, and of parts of prompts.
    find_confirmed : callable
        Returns the confirmed ones of the records, with their crashes.

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
    lost_lengths: frozenset[int] = frozenset()
    has_suspected_parts: bool = False
    find_confirmed: Callable[
        [Iterable[SuspectRecord]], dict[Fingerprint, int]
    ] = find_confirmed

    def record_loss(self, lost: LostRequest) -> bool:
        """Record a loss observed here; return False if it is known."""
        return self.record_losses((lost,))

    def record_losses(self, losses: Iterable[LostRequest]) -> bool:
        """Record losses observed here; return False if all are known."""
        changes = [self.record_without_bound(lost) for lost in losses]
        self.evict()
        return any(changes)

    def record_without_bound(self, lost: LostRequest) -> bool:
        """Record a loss; records beyond the bound remain."""
        record = self.records.get(lost.fingerprint) or SuspectRecord(
            lost.fingerprint,
            lost.organisation,
            lost.body_bytes,
            part=lost.part,
        )
        if not record.add_loss(lost.loss):
            return False
        self.store(record)
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
            part=other.part,
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

        Requests and parts of prompts are bounded separately, as a crash loses
        several parts with each request.
        """
        if len(self.records) <= self.max_records:
            return
        for is_part in (False, True):
            self.evict_among(
                [
                    record
                    for record in self.records.values()
                    if (record.part is not None) is is_part
                ]
            )

    def evict_among(self, records: Iterable[SuspectRecord]) -> None:
        """Drop those of some records that are beyond the bound.

        The bound is shared fairly between organisations, so that none can
        evict the records of others by sending many requests. The records with
        the least evidence are evicted first.
        """
        by_organisation: dict[str, list[SuspectRecord]] = {}
        for record in records:
            by_organisation.setdefault(record.organisation, []).append(record)
        share = fair_share(map(len, by_organisation.values()), self.max_records)
        for owned in by_organisation.values():
            if len(owned) <= share:
                continue
            evidence = list(map(Evidence.from_record, owned))
            recent_s = max(each.last_s for each in evidence) - RECENT_S
            evidence.sort(key=partial(eviction_key, recent_s), reverse=True)
            for each in evidence[share:]:
                self.records.pop(each.fingerprint)

    def since(
        self,
        version: int,
        min_losses: int = 0,
    ) -> tuple[SuspectRecord, ...]:
        """Return the records that changed after a version.

        Parameters
        ----------
        min_losses : int
            Records with fewer losses are omitted, unless they are of requests
            that were cleared and whose losses are not known.
        """
        return tuple(
            record
            for record in self.records.values()
            if record.version > version
            and (
                len(record.losses) >= min_losses
                or (record.part is None and not record.losses)
            )
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
        """Tell whether a request or part has losses that count against it."""
        record = self.records.get(fingerprint)
        if record is None or record.is_proven:
            return False
        return bool(record.counted_losses())

    def has_suspected_length(self, body_bytes: int) -> bool:
        """Tell whether any suspected request has a body of a length."""
        self.evaluate()
        return body_bytes in self.suspected_lengths

    def has_lost_length(self, body_bytes: int) -> bool:
        """Tell whether any lost request has a body of a length."""
        self.evaluate()
        return body_bytes in self.lost_lengths

    def confirmed(self) -> dict[Fingerprint, int]:
        """Return the confirmed requests with their numbers of crashes."""
        self.evaluate()
        return self.confirmed_crashes

    def evaluate(self) -> None:
        """Update the confirmed requests where records have changed."""
        if self.evaluated_version == self.version:
            return
        self.evaluated_version = self.version
        lost = [
            record
            for record in self.records.values()
            if record.losses and record.counted_losses()
        ]
        suspected = [
            record
            for record in lost
            if len(record.losses) >= SUSPECTED_CRASHES
            and len(record.counted_losses()) >= SUSPECTED_CRASHES
        ]
        self.confirmed_crashes = self.find_confirmed(suspected)
        self.lost_lengths = frozenset(
            record.body_bytes for record in lost if record.part is None
        )
        self.suspected_lengths = frozenset(
            record.body_bytes for record in suspected if record.part is None
        )
        self.has_suspected_parts = any(
            record.part is not None for record in suspected
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


@dataclass(frozen=True, slots=True)
class Evidence:
    """How likely a request or part is to be a cause, for evictions."""

    fingerprint: Fingerprint
    crashes: int
    is_proven: bool
    last_s: float
    exposure_s: float

    @classmethod
    def from_record(cls, record: SuspectRecord) -> Self:
        """Return the evidence that a record contains."""
        losses = record.counted_losses()
        return cls(
            record.fingerprint,
            len(losses),
            record.is_proven,
            losses[-1].at_s if losses else -inf,
            sum(loss.exposure_s for loss in losses),
        )


def eviction_key(
    recent_s: float, evidence: Evidence
) -> tuple[int, bool, bool, float]:
    """Return a sort key that is smallest for the first to be evicted.

    Of those lost equally often and recently, the one that its upstreams had
    for longest is the least likely cause.
    """
    return (
        evidence.crashes,
        not evidence.is_proven,
        evidence.last_s > recent_s,
        -evidence.exposure_s,
    )


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
