"""Quarantine status of requests and prompt parts, as one process knows it."""

import secrets
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterable,
    Iterator,
)
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from itertools import count

from godwitshunt.quarantine.answered import AnsweredParts
from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.probes import ProbeTurns
from godwitshunt.quarantine.records import SuspectRecord
from godwitshunt.quarantine.table import LostRequest, SuspectTable
from godwitshunt.quarantine.verdicts import (
    SUSPECTED_CRASHES,
    is_contested,
    is_doubtful,
)
from godwitshunt.telemetry import Metrics, log_change

# Losses are retained for this many times the length of a quarantine. A request
# that crashes another upstream after its quarantine is quarantined again at
# once.
RETENTION_FACTOR = 4
QUARANTINE_S = 900.0
SESSION_BYTES = 4


def ignore_observation() -> None:
    """Ignore an observation, where nobody is told of it."""


def ignore_records(records: list[SuspectRecord]) -> None:
    """Ignore changes of status, where nobody is told of them."""


def draw_session() -> str:
    """Return a random name for this process's clearances."""
    return secrets.token_hex(SESSION_BYTES)


class QuarantineStatus(Enum):
    """Quarantine status of a request or part; later ones are stricter.

    `clear`: not suspected. `suspected`: upstreams crashed under it, but it is
    not confirmed as the cause. `on_probation`: its quarantine has ended and it
    may be tried once. `quarantined`: it is not sent.
    """

    clear = 'clear'
    suspected = 'suspected'
    on_probation = 'on probation'
    quarantined = 'quarantined'


STRICTNESS = tuple(QuarantineStatus)
FREE_STATUSES = frozenset((QuarantineStatus.clear, QuarantineStatus.suspected))


@dataclass(frozen=True)
class Assessment:
    """The status of a request and the reasons for it.

    Parameters
    ----------
    incarnations : tuple of str
        Incarnations that crashed under the request.
    wait_s : float
        Seconds until the end of its quarantine.
    fingerprint : Fingerprint or None
        Of the request or part that the status is of; None if it is clear.
    part : str
        Name of the part; empty for the content of the request.
    """

    status: QuarantineStatus
    incarnations: tuple[str, ...] = ()
    wait_s: float = 0.0
    fingerprint: Fingerprint | None = None
    part: str = ''

    @property
    def reason(self) -> str:
        """Reason for callers and logs."""
        subject = f'prompt part {self.part} ' if self.part else ''
        incarnations = ', '.join(self.incarnations)
        return f'{self.status.value}: {subject}lost to {incarnations}'

    @property
    def strictness(self) -> int:
        """Rank of the status; higher is stricter."""
        return STRICTNESS.index(self.status)


CLEAR = Assessment(QuarantineStatus.clear)


@dataclass
class Quarantine:
    """Quarantines what crashes upstreams one after the other.

    A request is quarantined by its content, or with all requests that share a
    part of its prompt.

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
    name : str
        Name of this VM among all; empty for one that sends no requests.
    answered : AnsweredParts
        Parts of prompts that were answered whole here.
    answered_contents : AnsweredParts
        Contents of requests that were answered whole here.
    known_vms : callable
        Returns the names of all known VMs that send requests.
    on_observed : callable
        Called when this process has observed something to report.
    on_status_changed : callable
        Called with the records whose status has changed.
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
    name: str = ''
    answered: AnsweredParts = field(default_factory=AnsweredParts)
    answered_contents: AnsweredParts = field(default_factory=AnsweredParts)
    probe_turns: ProbeTurns = field(default_factory=ProbeTurns)
    known_vms: Callable[[], Collection[str]] = tuple
    on_observed: Callable[[], None] = ignore_observation
    on_status_changed: Callable[[list[SuspectRecord]], None] = ignore_records

    def record_loss(self, lost: LostRequest) -> None:
        """Record a loss that this process observed."""
        self.record_losses((lost,))

    def record_losses(self, losses: Collection[LostRequest]) -> None:
        """Record losses that this process observed."""
        self.own.record_losses(losses)
        if not self.table.record_losses(losses):
            return
        requests = sum(lost.part is None for lost in losses)
        self.metrics.count('quarantine_losses_total', requests)
        for lost in losses:
            self.prove_answered(lost.fingerprint)
        self.log_changes()
        self.on_observed()

    def join(self, records: Collection[SuspectRecord]) -> None:
        """Add what another process knows."""
        if not self.table.join(records):
            return
        proven = [self.prove_answered(record.fingerprint) for record in records]
        self.log_changes()
        if any(proven):
            self.on_observed()

    def record_answer(self, parts: Iterable[Fingerprint]) -> None:
        """Record that a prompt with some parts was answered whole here."""
        self.answered.record(parts, self.now())
        if not self.table.records:
            return
        for part in parts:
            if part in self.table.records:
                self.clear(part)

    def record_content_answer(self, fingerprint: Fingerprint) -> None:
        """Record that a request with some content was answered whole here."""
        self.answered_contents.record((fingerprint,), self.now())
        if fingerprint in self.table.records:
            self.clear(fingerprint)

    def prove_answered(self, fingerprint: Fingerprint) -> bool:
        """Report when it was answered here; False if that adds nothing."""
        record = self.table.records.get(fingerprint)
        answered_s = self.answered.last_s(
            fingerprint
        ) or self.answered_contents.last_s(fingerprint)
        if record is None or answered_s is None:
            return False
        losses = record.counted_losses()
        if not losses or answered_s <= record.cleared_until_s:
            return False
        if record.was_answered_before and answered_s < losses[0].at_s:
            return False
        self.add_clearance(record, answered_s)
        return True

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clear a request that was answered whole or released by an operator.

        Returns
        -------
        bool
            False where it had no counted losses.
        """
        record = self.table.records.get(fingerprint)
        if record is None or not record.counted_losses():
            return False
        self.add_clearance(record, self.now())
        self.log_changes()
        self.on_observed()
        return True

    def add_clearance(self, record: SuspectRecord, at_s: float) -> None:
        """Add a clearance to what this process knows and reports."""
        name = f'{self.session}-{next(self.clearance_numbers)}'
        self.table.clear(record.fingerprint, name, at_s)
        clearance = replace(record, losses={}, clearances={name: at_s})
        self.own.join((clearance,))

    def has_suspected_length(self, body_bytes: int) -> bool:
        """Tell whether any suspected request has a body of a length."""
        return self.table.has_suspected_length(body_bytes)

    def has_lost_length(self, body_bytes: int) -> bool:
        """Tell whether any lost request has a body of a length."""
        return self.table.has_lost_length(body_bytes)

    def has_suspected_parts(self) -> bool:
        """Tell whether any part of prompts is suspected."""
        self.table.evaluate()
        return self.table.has_suspected_parts

    def assess_parts(
        self,
        parts: Collection[Fingerprint],
        probed: Container[Fingerprint] = (),
    ) -> list[Assessment]:
        """Return the assessments of the parts of a prompt that were lost.

        Parameters
        ----------
        probed : container of Fingerprint
            Parts that this prompt is trying on probation.
        """
        return [
            self.assessment(part, is_probe=part in probed, companions=parts)
            for part in parts
            if part in self.table.records
        ]

    def assessment(
        self,
        fingerprint: Fingerprint,
        *,
        is_probe: bool = False,
        companions: Collection[Fingerprint] | None = None,
    ) -> Assessment:
        """Return the current assessment of a request or part.

        Parameters
        ----------
        is_probe : bool
            True for the request that is tried on probation.
        companions : collection of Fingerprint or None
            All parts of the prompt that it is assessed with; None where it is
            not to be sent.
        """
        general = self.general_assessment(fingerprint)
        if general.status in FREE_STATUSES:
            return general
        if is_probe or self.may_probe(general, companions):
            return replace(general, status=QuarantineStatus.on_probation)
        return replace(
            general,
            status=QuarantineStatus.quarantined,
            wait_s=general.wait_s or self.length_s,
        )

    def general_assessment(self, fingerprint: Fingerprint) -> Assessment:
        """Return the assessment of a request or part, whoever may try it."""
        record = self.table.records.get(fingerprint)
        if record is None:
            return CLEAR
        losses = record.counted_losses()
        assess = partial(
            Assessment,
            incarnations=tuple(loss.incarnation for loss in losses),
            fingerprint=fingerprint,
            part='' if record.part is None else record.part.name,
        )
        if fingerprint not in self.table.confirmed():
            if len(losses) < SUSPECTED_CRASHES or record.is_proven:
                return CLEAR
            return assess(QuarantineStatus.suspected)
        wait_s = record.last_loss_s() + self.length_s - self.now()
        if wait_s > 0:
            return assess(QuarantineStatus.quarantined, wait_s=wait_s)
        return assess(QuarantineStatus.on_probation)

    def may_probe(
        self,
        general: Assessment,
        companions: Collection[Fingerprint] | None,
    ) -> bool:
        """Tell whether this VM may try a quarantined request or part now.

        It may once the quarantine has ended, and earlier if its prompt lacks
        other suspected parts that may be the cause instead, or if the request
        was answered shortly before its losses. Of several VMs one has the turn.
        """
        record = self.table.records[general.fingerprint]
        if record.fingerprint in self.probing:
            return False
        now_s = self.now()
        if general.status is QuarantineStatus.on_probation:
            ended_s = record.last_loss_s() + self.length_s
            return self.probe_turns.is_due(
                record, self.name, ended_s, now_s, vms=self.known_vms()
            )
        if companions is None:
            return False
        if not self.probe_turns.is_due_early(
            record, self.name, now_s, self.known_vms()
        ):
            return False
        return is_doubtful(record) or is_contested(
            record, self.table.records.values(), companions
        )

    def begin_probe(self, fingerprint: Fingerprint) -> None:
        """Start to try a request on probation; its repeats wait."""
        self.probing.add(fingerprint)
        self.probe_turns.begin(fingerprint, self.now())
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
        self.probe_turns.expire(until_s)
        self.log_changes()
        self.metrics.gauge('quarantine_requests', len(self.table.confirmed()))

    def log_changes(self) -> None:
        """Log each change of status since the last call."""
        changed = self.table.since(self.logged_version, SUSPECTED_CRASHES)
        self.logged_version = self.table.version
        names = {record.fingerprint for record in changed} | self.logged.keys()
        logged = [name for name in names if self.log_status_change(name)]
        records = self.table.records
        changed = [records[name] for name in logged if name in records]
        if changed:
            self.on_status_changed(changed)

    def log_status_change(self, fingerprint: Fingerprint) -> bool:
        """Log a change of status; return False where there is none."""
        assessment = self.general_assessment(fingerprint)
        before = self.logged.get(fingerprint, QuarantineStatus.clear)
        if assessment.status is before:
            return False
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
        return True

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
            'part': '' if record.part is None else record.part.name,
            'organisation': record.organisation,
        }
