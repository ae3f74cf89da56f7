"""Reports of an entry VM to its region's picker."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitshunt.manifest import Manifest
from godwitshunt.organisations import LimitPool, limits_of
from godwitshunt.picking.attempt_reports import AttemptReport, attempts_to_wire
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.picking.wire_limits import (
    brittle_to_wire,
    rate_limits_to_wire,
)
from godwitshunt.quarantine import SuspectTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import Report
from godwitshunt.registry.prefixes import PrefixTable
from godwitshunt.registry.suspect_wire import suspects_to_wire
from godwitshunt.registry.wire import (
    admitted_to_wire,
    prefixes_to_wire,
    report_to_wire,
)

# Maximum number of attempts that are stored until the next report. Older ones
# are of no use to a picker that could not be reached for some time.
MAX_STORED_ATTEMPTS = 64


@dataclass
class ReportBuilder:
    """Builds the load reports of one process.

    Parameters
    ----------
    session : str
        Identifier of this run of the process.
    upstreams : Upstreams
        This VM's requests in flight at each upstream.
    prefixes : PrefixTable
        Prompt prefixes that this VM's requests found cached.
    now : callable
        Returns monotonic seconds.
    limits : LimitPool
        Units that this VM has admitted without a picker.
    suspects : SuspectTable
        Requests of this VM during which upstreams crashed.
    number : int
        Number of the last report.
    attempts : deque of AttemptReport
        Attempts since the last report.
    assigned_by : str
        Control process that made the last assignment.
    last_assignment : int
        Number of that assignment.
    prefixes_version_sent, suspects_version_sent : int
        Versions of the two tables in the last report.
    """

    session: str
    upstreams: Upstreams
    prefixes: PrefixTable
    now: Callable[[], float]
    limits: LimitPool = field(default_factory=LimitPool)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    number: int = 0
    attempts: deque[AttemptReport] = field(
        default_factory=lambda: deque(maxlen=MAX_STORED_ATTEMPTS),
    )
    assigned_by: str = ''
    last_assignment: int = 0
    prefixes_version_sent: int = 0
    suspects_version_sent: int = 0

    def configure(self, manifest: Manifest, now_s: float) -> None:
        """Apply the limits of a newer revision."""
        self.limits.configure(limits_of(manifest), now_s, starts=False)

    def record_assignment(self, source: str, number: int) -> None:
        """Record an assignment, which later reports include."""
        if source != self.assigned_by:
            self.assigned_by = source
            self.last_assignment = 0
            self.prefixes_version_sent = 0
            self.suspects_version_sent = 0
        self.last_assignment = max(self.last_assignment, number)

    def make_withdrawal(
        self, source: str, last_assignment: int = 0
    ) -> ttypes.LoadReport:
        """Return a report without requests, which replaces earlier ones.

        Parameters
        ----------
        source : str
            Control process that this VM does not report to any more.
        last_assignment : int
            Number of an assignment of that process that is not used.
        """
        self.number += 1
        last = self.last_assignment if source == self.assigned_by else 0
        last = max(last, last_assignment)
        report = Report(self.session, self.number, {}, last)
        return report_to_wire(report, source, self.now())

    def make(self, source: str) -> ttypes.LoadReport:
        """Return a report with the changes since the last one.

        Parameters
        ----------
        source : str
            Control process that receives it.
        """
        now_s = self.now()
        self.number += 1
        last = self.last_assignment if source == self.assigned_by else 0
        report = Report(
            self.session,
            self.number,
            self.upstreams.load_reports(),
            last,
        )
        load_report = report_to_wire(report, source, now_s)
        load_report.shown = attempts_to_wire(self.attempts)
        self.attempts.clear()
        load_report.rate_limits = rate_limits_to_wire(
            self.upstreams.observed_limits.limited(), now_s
        )
        load_report.brittle = brittle_to_wire(
            self.upstreams.observed_brittle.stated(), now_s
        )
        load_report.leaving = sorted(self.upstreams.departures.present())
        load_report.admitted = admitted_to_wire(self.limits.admitted)
        load_report.prefixes = prefixes_to_wire(
            self.prefixes.since(self.prefixes_version_sent),
            now_s,
        )
        self.prefixes_version_sent = self.prefixes.version
        delta = self.suspects.delta(self.suspects_version_sent)
        load_report.suspects = suspects_to_wire(delta.records, now_s)
        self.suspects_version_sent = delta.version
        return load_report
