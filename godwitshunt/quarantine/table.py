"""All requests that were lost to upstreams of late, bounded; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.quarantine.crash_causes import find_confirmed
from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectRecord

# Requests that are remembered. An engine that ends takes up to its slots of
# requests with it; this holds twenty such ends of 48.
MOST_RECORDS = 1024
# Losses from which on a request is told to entry VMs, which take note of its
# answers from then on.
SUSPECTED_CRASHES = 2
# Records that one message tells, at most; the rest come with the next one.
MOST_TOLD = 256
NEVER_JUDGED = -1


@dataclass(frozen=True)
class LostRequest:
    """A request that was lost to a place, as one VM saw it."""

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    loss: Loss


@dataclass(frozen=True)
class SuspectUpdate:
    """What is new in a table.

    Parameters
    ----------
    version : int or None
        That whoever hears it holds from then on; None where nobody asked.
    """

    records: tuple[SuspectRecord, ...]
    version: int | None


@dataclass
class SuspectTable:
    """Requests that were lost, and which of them crash upstreams.

    Parameters
    ----------
    most : int
        Records that it holds.

    Examples
    --------
    >>> table = SuspectTable()
    >>> lethal = Fingerprint(bytes(16))
    >>> for number in range(3):
    ...     loss = Loss(f'i-{number}', float(number), 0.1)
    ...     _ = table.record_loss(LostRequest(lethal, '', 5, loss))
    >>> lethal in table.confirmed()
    True
    >>> table.knows_length(5), table.knows_length(6)
    (True, False)
    """

    most: int = MOST_RECORDS
    records: dict[Fingerprint, SuspectRecord] = field(default_factory=dict)
    version: int = 0
    judged_version: int = NEVER_JUDGED
    judged: dict[Fingerprint, int] = field(default_factory=dict)
    lengths: frozenset[int] = frozenset()

    def record_loss(self, lost: LostRequest) -> bool:
        """Take a loss that was seen here; False where it is known."""
        record = self.records.get(lost.fingerprint) or SuspectRecord(
            lost.fingerprint,
            lost.organisation,
            lost.body_bytes,
        )
        if not record.add_loss(lost.loss):
            return False
        self.keep(record)
        self.trim()
        return True

    def clear(
        self,
        fingerprint: Fingerprint,
        name: str,
        at_s: float,
    ) -> bool:
        """Hold nothing until a moment against a request.

        Parameters
        ----------
        name : str
            Names this moment among all processes.

        Returns
        -------
        bool
            False where nothing was held against it.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.held():
            return False
        record.add_clearance(name, at_s)
        self.keep(record)
        return True

    def join(self, told: Iterable[SuspectRecord]) -> bool:
        """Take what another process knows; False for nothing new."""
        changes = [self.join_one(one) for one in told]
        self.trim()
        return any(changes)

    def join_one(self, told: SuspectRecord) -> bool:
        """Take what another process knows of one request."""
        record = self.records.get(told.fingerprint) or SuspectRecord(
            told.fingerprint,
            told.organisation,
            told.body_bytes,
        )
        if not record.join(told):
            return False
        self.keep(record)
        return True

    def keep(self, record: SuspectRecord) -> None:
        """Note that a record has changed."""
        self.version += 1
        record.version = self.version
        self.records[record.fingerprint] = record

    def trim(self) -> None:
        """Drop records beyond the bound.

        Each organisation has an equal share, and what others leave of theirs:
        nobody can push out what others' requests have shown by sending many.
        What yields has the least against it.
        """
        if len(self.records) <= self.most:
            return
        owned: dict[str, list[SuspectRecord]] = {}
        for record in self.records.values():
            owned.setdefault(record.organisation, []).append(record)
        share = fair_share(map(len, owned.values()), self.most)
        for records in owned.values():
            records.sort(key=need, reverse=True)
            for record in records[share:]:
                self.records.pop(record.fingerprint)

    def since(
        self,
        version: int,
        least_losses: int = 0,
    ) -> tuple[SuspectRecord, ...]:
        """Return the records that changed after a version.

        Parameters
        ----------
        least_losses : int
            Those that were lost less often are left out, but for those that
            were cleared.
        """
        return tuple(
            one
            for one in self.records.values()
            if one.version > version
            and (len(one.losses) >= least_losses or one.clearances)
        )

    def delta(self, version: int, least_losses: int = 0) -> SuspectUpdate:
        """Return what one message tells of the records after a version."""
        if version >= self.version:
            return SuspectUpdate((), self.version)
        records = sorted(
            self.since(version, least_losses),
            key=lambda one: one.version,
        )
        if len(records) <= MOST_TOLD:
            return SuspectUpdate(tuple(records), self.version)
        told = tuple(records[:MOST_TOLD])
        return SuspectUpdate(told, told[-1].version)

    def has_losses(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was lost before."""
        record = self.records.get(fingerprint)
        return record is not None and bool(record.held())

    def knows_length(self, body_bytes: int) -> bool:
        """Tell whether a suspected request has a body of a length."""
        self.judge()
        return body_bytes in self.lengths

    def confirmed(self) -> dict[Fingerprint, int]:
        """Return the requests that crash upstreams, with their ends."""
        self.judge()
        return self.judged

    def judge(self) -> None:
        """Judge anew where something has changed."""
        if self.judged_version == self.version:
            return
        self.judged_version = self.version
        self.judged = find_confirmed(self.records.values())
        self.lengths = frozenset(
            one.body_bytes
            for one in self.records.values()
            if len(one.held()) >= SUSPECTED_CRASHES
        )

    def forget(self, until_s: float) -> None:
        """Drop what was until a moment, and records without anything."""
        changed = [
            record for record in self.records.values() if record.forget(until_s)
        ]
        for record in changed:
            self.judged_version = NEVER_JUDGED
            if record.is_empty:
                self.records.pop(record.fingerprint)


def need(record: SuspectRecord) -> tuple[int, float]:
    """Return a key that sorts what may be forgotten first."""
    return (len(record.held()), record.last_loss_s())


def fair_share(sizes: Iterable[int], total: int) -> int:
    """Return how much each of several may have of a total.

    Who wants less than an equal share leaves the rest to the others.

    Examples
    --------
    >>> fair_share([2, 50, 80], total=60), fair_share([100], total=60)
    (29, 60)
    """
    listed = sorted(sizes)
    left = total
    for incarnation, size in enumerate(listed):
        share = left // (len(listed) - incarnation)
        if size > share:
            return share
        left -= size
    return total
