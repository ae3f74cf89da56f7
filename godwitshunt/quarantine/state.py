"""Quarantine status of requests, as one process knows it."""

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

# Losses are retained for this many times the length of a quarantine. A request
# that crashes another upstream after its quarantine is quarantined again at
# once.
RETENTION_FACTOR = 4
QUARANTINE_S = 900.0
SESSION_BYTES = 4


def draw_session() -> str:
    """Return a random name for this process's clearances."""
    return secrets.token_hex(SESSION_BYTES)


class QuarantineStatus(Enum):
    """Quarantine status of a request.

    `clear`: not suspected. `suspected`: upstreams crashed under it, but it is
    not confirmed as the cause. `on_probation`: its quarantine has ended and it
    may be tried once. `quarantined`: it is not sent.
    """

    clear = 'clear'
    suspected = 'suspected'
    on_probation = 'on probation'
    quarantined = 'quarantined'


@dataclass(frozen=True)
class Assessment:
    """The status of a request and the reasons for it.

    Parameters
    ----------
    incarnations : tuple of str
        Incarnations that crashed under the request.
    wait_s : float
        Seconds until the end of its quarantine.
    """

    status: QuarantineStatus
    incarnations: tuple[str, ...] = ()
    wait_s: float = 0.0

    @property
    def reason(self) -> str:
        """Reason for callers and logs."""
        return f'{self.status.value}: lost to {", ".join(self.incarnations)}'


CLEAR = Assessment(QuarantineStatus.clear)


@dataclass
class Quarantine:
    """Quarantines requests under which upstreams crash one after the other.

    Parameters
    ----------
    length_s : float
        Seconds from the last crash to the end of a quarantine.
    now : callable
        Returns monotonic seconds.
    metrics : Metrics
        Counts losses and quarantined requests.
    table : SuspectTable
        All that this process knows.
    own : SuspectTable
        What this process observed itself, for reports to others.
    logged : dict
        Last logged status of each request that is not clear.
    probing : set
        Requests on probation that are in flight.
    session : str
        Prefix of the names of this process's clearances.
    """

    length_s: float
    now: Callable[[], float]
    metrics: Metrics
    table: SuspectTable = field(default_factory=SuspectTable)
    own: SuspectTable = field(default_factory=SuspectTable)
    logged: dict[Fingerprint, QuarantineStatus] = field(default_factory=dict)
    logged_version: int = 0
    probing: set[Fingerprint] = field(default_factory=set)
    session: str = field(default_factory=draw_session)
    clearance_numbers: Iterator[int] = field(default_factory=count)

    def record_loss(self, lost: LostRequest) -> None:
        """Record a loss that this process observed."""
        self.own.record_loss(lost)
        if self.table.record_loss(lost):
            self.metrics.count('quarantine_losses_total')
            self.log_changes()

    def join(self, records: Iterable[SuspectRecord]) -> None:
        """Add what another process knows."""
        if self.table.join(records):
            self.log_changes()

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clear a request that was answered whole or released by an operator.

        Returns
        -------
        bool
            False where it had no counted losses.
        """
        now_s = self.now()
        name = f'{self.session}-{next(self.clearance_numbers)}'
        if not self.table.clear(fingerprint, name, now_s):
            return False
        record = self.table.records[fingerprint]
        clearance = replace(record, losses={}, clearances={name: now_s})
        self.own.join((clearance,))
        self.log_changes()
        return True

    def has_suspected_length(self, body_bytes: int) -> bool:
        """Tell whether any suspected request has a body of a length."""
        return self.table.has_suspected_length(body_bytes)

    def assessment(
        self,
        fingerprint: Fingerprint,
        *,
        is_probe: bool = False,
    ) -> Assessment:
        """Return the current assessment of a request.

        Parameters
        ----------
        is_probe : bool
            True for the request that is tried on probation.
        """
        record = self.table.records.get(fingerprint)
        if record is None:
            return CLEAR
        incarnations = tuple(
            loss.incarnation for loss in record.counted_losses()
        )
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
        """Start to try a request on probation; its repeats wait."""
        self.probing.add(fingerprint)
        log_change('quarantine:probe_began', fingerprint=str(fingerprint))

    def end_probe(self, fingerprint: Fingerprint) -> None:
        """Record that a request on probation has ended."""
        self.probing.discard(fingerprint)

    def describe(self) -> list[dict[str, object]]:
        """Return all requests that are not clear, for operators."""
        return [
            {
                'fingerprint': str(fingerprint),
                'standing': status.value,
                **self.evidence(fingerprint),
            }
            for fingerprint, status in self.logged.items()
        ]

    def tick(self) -> None:
        """Expire old entries, log changes and update metrics."""
        until_s = self.now() - RETENTION_FACTOR * self.length_s
        for table in (self.table, self.own):
            table.expire(until_s)
        self.log_changes()
        self.metrics.gauge('quarantine_requests', len(self.table.confirmed()))

    def log_changes(self) -> None:
        """Log each change of status since the last call."""
        changed = self.table.since(self.logged_version)
        self.logged_version = self.table.version
        names = {record.fingerprint for record in changed} | self.logged.keys()
        for fingerprint in names:
            self.log_status_change(fingerprint)

    def log_status_change(self, fingerprint: Fingerprint) -> None:
        """Log a change of status of one request."""
        assessment = self.assessment(fingerprint)
        before = self.logged.get(fingerprint, QuarantineStatus.clear)
        if assessment.status is before:
            return
        self.logged[fingerprint] = assessment.status
        if assessment.status is QuarantineStatus.clear:
            self.logged.pop(fingerprint)
        log_change(
            'quarantine:standing_changed',
            fingerprint=str(fingerprint),
            now=assessment.status.value,
            before=before.value,
            **self.evidence(fingerprint),
        )

    def evidence(self, fingerprint: Fingerprint) -> dict[str, object]:
        """Return the counted losses of a request, for logs."""
        record = self.table.records.get(fingerprint)
        if record is None:
            return {'losses': []}
        now_s = self.now()
        return {
            'losses': [
                f'{loss.incarnation} {now_s - loss.at_s:.2f}s ago '
                f'after {loss.exposure_s:.3f}s'
                for loss in record.counted_losses()
            ],
            'body_bytes': record.body_bytes,
            'organisation': record.organisation,
        }
