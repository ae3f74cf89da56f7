"""Whether a request may be sent, as one process knows it now."""

import secrets
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import count

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import SuspectRecord
from godwitshunt.quarantine.table import (
    SUSPECTED_CRASHES,
    LostRequest,
    SuspectTable,
)
from godwitshunt.telemetry import Metrics, log_change

# Losses are remembered for this many times the length of a quarantine: what
# crashes one more upstream after its end is kept back again at once.
REMEMBERED_TIMES = 4
QUARANTINE_S = 900.0
SESSION_BYTES = 4


def draw_session() -> str:
    """Return a name for this process's clearances."""
    return secrets.token_hex(SESSION_BYTES)


class QuarantineStatus(Enum):
    """What is held against a request.

    `clear`: nothing that matters. `suspected`: upstreams ended under it, and
    it is not known whether by it. `on_probation`: its quarantine is over, it
    may be tried once. `quarantined`: it is not sent.
    """

    clear = 'clear'
    suspected = 'suspected'
    on_probation = 'on probation'
    quarantined = 'quarantined'


@dataclass(frozen=True)
class Assessment:
    """A standing with its reasons.

    Parameters
    ----------
    incarnations : tuple of str
        Those that ended under the request.
    wait_s : float
        Seconds until the end of its quarantine.
    """

    status: QuarantineStatus
    incarnations: tuple[str, ...] = ()
    wait_s: float = 0.0

    @property
    def reason(self) -> str:
        """What is told to callers and in logs."""
        return f'{self.status.value}: lost to {", ".join(self.incarnations)}'


CLEAR = Assessment(QuarantineStatus.clear)


@dataclass
class Quarantine:
    """Keeps back requests under which upstreams end, one after the other.

    Parameters
    ----------
    length_s : float
        Seconds from the last end of an upstream to the end of a quarantine.
    now : callable
        Returns monotonic seconds.
    metrics : Metrics
        Counts losses, and tells how many requests are kept back.
    table : SuspectTable
        What this process has seen and was told.
    own : SuspectTable
        What it has seen itself, for telling others.
    told : dict
        Standings that were logged, but for clear ones.
    probing : set
        Requests on probation that are under way.
    session : str
        Names this process's clearances.
    """

    length_s: float
    now: Callable[[], float]
    metrics: Metrics
    table: SuspectTable = field(default_factory=SuspectTable)
    own: SuspectTable = field(default_factory=SuspectTable)
    told: dict[Fingerprint, QuarantineStatus] = field(default_factory=dict)
    told_version: int = 0
    probing: set[Fingerprint] = field(default_factory=set)
    session: str = field(default_factory=draw_session)
    numbers: Iterator[int] = field(default_factory=count)

    def record_loss(self, lost: LostRequest) -> None:
        """Take a loss that was seen here."""
        self.own.record_loss(lost)
        if self.table.record_loss(lost):
            self.metrics.count('quarantine_losses_total')
            self.tell_changes()

    def join(self, told: Iterable[SuspectRecord]) -> None:
        """Take what another process knows."""
        if self.table.join(told):
            self.tell_changes()

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Hold nothing against a request: it was answered whole, or pardoned.

        Returns
        -------
        bool
            False where nothing was held against it.
        """
        now_s = self.now()
        name = f'{self.session}-{next(self.numbers)}'
        if not self.table.clear(fingerprint, name, now_s):
            return False
        record = self.table.records[fingerprint]
        said = replace(record, losses={}, clearances={name: now_s})
        self.own.join((said,))
        self.tell_changes()
        return True

    def knows_length(self, body_bytes: int) -> bool:
        """Tell whether a request of a length may be a suspected one."""
        return self.table.knows_length(body_bytes)

    def assessment(
        self,
        fingerprint: Fingerprint,
        *,
        is_probe: bool = False,
    ) -> Assessment:
        """Return what is held against a request now.

        Parameters
        ----------
        is_probe : bool
            True for the one that is tried on probation.
        """
        record = self.table.records.get(fingerprint)
        if record is None:
            return CLEAR
        incarnations = tuple(one.incarnation for one in record.held())
        if fingerprint not in self.table.confirmed():
            if len(incarnations) < SUSPECTED_CRASHES:
                return CLEAR
            return Assessment(QuarantineStatus.suspected, incarnations)
        wait_s = record.last_loss_s() + self.length_s - self.now()
        if wait_s > 0:
            return Assessment(
                QuarantineStatus.quarantined, incarnations, wait_s
            )
        if fingerprint in self.probing and not is_probe:
            return Assessment(
                QuarantineStatus.quarantined, incarnations, self.length_s
            )
        return Assessment(QuarantineStatus.on_probation, incarnations)

    def begin_probe(self, fingerprint: Fingerprint) -> None:
        """Try a request on probation; others like it wait for its end."""
        self.probing.add(fingerprint)
        log_change('quarantine:probe_began', fingerprint=str(fingerprint))

    def end_probe(self, fingerprint: Fingerprint) -> None:
        """Note that a request on probation has ended."""
        self.probing.discard(fingerprint)

    def describe(self) -> list[dict[str, object]]:
        """Return what is held against requests, for operators."""
        return [
            {
                'fingerprint': str(fingerprint),
                'standing': status.value,
                **self.evidence(fingerprint),
            }
            for fingerprint, status in self.told.items()
        ]

    def tick(self) -> None:
        """Forget what was long ago."""
        until_s = self.now() - REMEMBERED_TIMES * self.length_s
        for table in (self.table, self.own):
            table.forget(until_s)
        self.tell_changes()
        self.metrics.gauge('quarantine_requests', len(self.table.confirmed()))

    def tell_changes(self) -> None:
        """Log each change of what is held against a request."""
        changed = self.table.since(self.told_version)
        self.told_version = self.table.version
        names = {one.fingerprint for one in changed} | self.told.keys()
        for fingerprint in names:
            self.tell_change(fingerprint)

    def tell_change(self, fingerprint: Fingerprint) -> None:
        """Log a change of what is held against one request."""
        assessment = self.assessment(fingerprint)
        before = self.told.get(fingerprint, QuarantineStatus.clear)
        if assessment.status is before:
            return
        self.told[fingerprint] = assessment.status
        if assessment.status is QuarantineStatus.clear:
            self.told.pop(fingerprint)
        log_change(
            'quarantine:standing_changed',
            fingerprint=str(fingerprint),
            now=assessment.status.value,
            before=before.value,
            **self.evidence(fingerprint),
        )

    def evidence(self, fingerprint: Fingerprint) -> dict[str, object]:
        """Return what speaks for and against a request, for logs."""
        record = self.table.records.get(fingerprint)
        if record is None:
            return {'losses': []}
        now_s = self.now()
        return {
            'losses': [
                f'{one.incarnation} {now_s - one.at_s:.2f}s ago '
                f'after {one.exposure_s:.3f}s'
                for one in record.held()
            ],
            'body_bytes': record.body_bytes,
            'organisation': record.organisation,
        }
