"""Client of the picker in an entry VM, with a timeout."""

from math import inf

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_reports import AttemptReport
from godwitshunt.picking.choices import Choice
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import DestinationRequest
from godwitshunt.picking.reports import ReportBuilder
from godwitshunt.picking.wire import choice_from_wire, query_to_wire
from godwitshunt.registry import RegistryWatch
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# The round trip to a picker takes one or two milliseconds and a choice half a
# millisecond, so a picker that takes longer than this is frozen, terminated or
# unreachable. The VM then chooses by itself; the delay is an eighth of the
# shortest objective.
PICKER_TIMEOUT_S = 0.06
# Changes of this VM's requests are reported together, this long after the
# first of them. Each question carries a whole report and replaces a scheduled
# one. With 10 ms a VM sent one report for each request beside its questions.
REPORT_DELAY_S = 0.015
# A request that the picker placed counts there from its assignment on, so its
# start is reported later. The report must arrive before the assignment expires
# in the picker, after `ledger.RESERVATION_TTL_S`.
START_REPORT_DELAY_S = 0.2


class PickerClient:
    """Queries the picker of this VM's region.

    Parameters
    ----------
    neighbours : Neighbours
        Name and region of this VM.
    reports : ReportBuilder
        Builds the report of this VM's requests that each query carries.
    watch : RegistryWatch
        Determines the current picker.
    links : PeerLinks
        Connection to the picker.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts failed queries.
    """

    def __init__(
        self,
        neighbours: Neighbours,
        reports: ReportBuilder,
        watch: RegistryWatch,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.neighbours = neighbours
        self.reports = reports
        self.watch = watch
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.scheduled: Subscription | None = None
        self.due_s = inf

    async def request_destination(
        self, query: DestinationRequest
    ) -> Choice | None:
        """Return the picker's choice; None if this VM must choose itself."""
        picker = self.watch.picker()
        if picker is None:
            return None
        name = str(picker)
        self.cancel_report()
        report = self.reports.make(self.watch.contacts.for_control(name).source)
        reply = await self.links.call(
            picker,
            MessageKind.place_ask,
            encode(query_to_wire(query, report)),
            PICKER_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.record_failure(picker, query, type(reply.err_value).__name__)
            return None
        try:
            return self.apply_reply(decode(ttypes.PlaceGiven, reply.ok_value))
        except FrameError as bad:
            self.record_failure(picker, query, str(bad))
            return None

    def apply_reply(self, reply: ttypes.PlaceGiven) -> Choice | None:
        """Record the picker's assignment and return its choice."""
        self.reports.record_assignment(reply.source, reply.number or 0)
        choice = choice_from_wire(
            reply,
            self.neighbours.region,
            self.timer.now(),
        )
        if choice is None:
            self.metrics.count('picking_questions_failed_total', why='unable')
        return choice

    def record_failure(
        self, picker: Address, query: DestinationRequest, reason: str
    ) -> None:
        """Stop querying this picker until it answers a poll."""
        self.metrics.count('picking_questions_failed_total', why='silent')
        log_change(
            'picking:picker_silent',
            picker=str(picker),
            request=query.request,
            reason=reason,
        )
        self.watch.contacts.for_control(str(picker)).record_failure()
        self.watch.start_poll(picker)

    def report_attempt(self, attempt: AttemptReport) -> None:
        """Report an attempt to the picker."""
        self.reports.attempts.append(attempt)
        self.schedule_report()

    def schedule_start_report(self) -> None:
        """Schedule a report of a start that the picker has counted."""
        self.schedule_report(START_REPORT_DELAY_S)

    def schedule_report(self, delay_s: float = REPORT_DELAY_S) -> None:
        """Schedule a report of this VM's requests to the picker."""
        due_s = self.timer.now() + delay_s
        if due_s < self.due_s:
            self.cancel_report()
            self.due_s = due_s
            self.scheduled = self.timer.after(delay_s, self.send_report)

    def cancel_report(self) -> None:
        """Cancel the scheduled report."""
        if self.scheduled is not None:
            self.scheduled.cancel()
            self.scheduled = None
            self.due_s = inf

    def send_report(self) -> None:
        """Send a report of this VM's requests to the picker."""
        self.cancel_report()
        picker = self.watch.picker()
        if picker is None:
            return
        report = self.reports.make(
            self.watch.contacts.for_control(str(picker)).source
        )
        self.links.notify(picker, MessageKind.load_report, encode(report))
