"""What an entry VM reports to its region's picker."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitshunt.manifest import Manifest
from godwitshunt.organisations import LimitPool, limits_of
from godwitshunt.picking.attempt_reports import AttemptReport, shown_to_wire
from godwitshunt.picking.upstreams import Upstreams
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

# What attempts showed is kept until it is reported, this much at most: a VM
# that has had no picker for a while has nothing new to tell of a second ago.
MOST_SHOWN = 64


@dataclass
class ReportBuilder:
    """Makes the reports of one process.

    Parameters
    ----------
    session : str
        Drawn at each start of the process.
    upstreams : Upstreams
        This VM's own requests at each.
    prefixes : PrefixTable
        What this VM's requests have shown of kept prompts.
    now : callable
        Returns monotonic seconds.
    limits : LimitPool
        What this VM has admitted without a picker.
    suspects : SuspectTable
        What this VM's requests were lost to upstreams.
    """

    session: str
    upstreams: Upstreams
    prefixes: PrefixTable
    now: Callable[[], float]
    limits: LimitPool = field(default_factory=LimitPool)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    number: int = 0
    shown: deque[AttemptReport] = field(
        default_factory=lambda: deque(maxlen=MOST_SHOWN),
    )
    places_of: str = ''
    places_taken: int = 0
    prefixes_told: int = 0
    suspects_told: int = 0

    def configure(self, manifest: Manifest, now_s: float) -> None:
        """Take the limits of a newer revision."""
        self.limits.configure(limits_of(manifest), now_s, starts=False)

    def take_place(self, source: str, number: int) -> None:
        """Note a place that this VM was given, which it uses from now on."""
        if source != self.places_of:
            self.places_of = source
            self.places_taken = 0
            self.prefixes_told = 0
            self.suspects_told = 0
        self.places_taken = max(self.places_taken, number)

    def make(self, source: str) -> ttypes.LoadReport:
        """Return a report for a control process, with what is new to it."""
        now_s = self.now()
        self.number += 1
        taken = self.places_taken if source == self.places_of else 0
        report = Report(
            self.session,
            self.number,
            self.upstreams.load_reports(),
            taken,
        )
        made = report_to_wire(report, source, now_s)
        made.shown = shown_to_wire(self.shown)
        self.shown.clear()
        made.admitted = admitted_to_wire(self.limits.admitted)
        made.prefixes = prefixes_to_wire(
            self.prefixes.since(self.prefixes_told),
            now_s,
        )
        self.prefixes_told = self.prefixes.version
        delta = self.suspects.delta(self.suspects_told)
        made.suspects = suspects_to_wire(delta.records, now_s)
        self.suspects_told = delta.version
        return made
