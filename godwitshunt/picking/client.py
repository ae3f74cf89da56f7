"""Client of the picker in an entry VM, with a timeout."""

from functools import partial
from math import inf

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_reports import AttemptReport
from godwitshunt.picking.choices import Choice, Queued
from godwitshunt.picking.destinations import DestinationRequest
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.reports import ReportBuilder
from godwitshunt.picking.upstream_notices import NoticeReceiver
from godwitshunt.picking.waiting import WaitingRequests
from godwitshunt.picking.wire import (
    AssignmentKind,
    choice_from_wire,
    query_to_wire,
)
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
# one.
REPORT_DELAY_S = 0.015
# A request that the picker placed counts there from its assignment on, so its
# start is reported later. The report must arrive before the assignment expires
# in the picker, after `ledger.RESERVATION_TTL_S`.
START_REPORT_DELAY_S = 0.2
# Pickers that may lose a request from their queue before this VM chooses.
MAX_QUEUED = 4


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
        self.report_timer: Subscription | None = None
        self.due_s = inf
        # The picker that has this VM's last report.
        self.reported_to: Address | None = None
        # When the first query failed since one was answered.
        self.silent_since_s: float | None = None
        # Services whose requests the picker queues.
        self.scheduled: set[str] = set()
        self.waiting = WaitingRequests(
            neighbours.name,
            self.make_report,
            links,
            self.record_silent,
            self.return_assignment,
        )
        self.notices = NoticeReceiver(reports.upstreams, timer.now)

    def start(self) -> None:
        """Receive what upstreams have stated to other entry VMs."""
        self.links.subscribe(
            MessageKind.upstream_notices, self.notices.handle_pushed
        )
        self.watch.on_notices = self.notices.apply

    async def request_destination(
        self, query: DestinationRequest
    ) -> Choice | None:
        """Return the picker's choice; None if this VM must choose itself.

        Waits while the picker has the request in its queue. A picker that
        loses it is asked again, or the next one is, with the time waited.
        """
        begun_s = self.timer.now()
        for _ in range(MAX_QUEUED):
            picker = self.watch.picker()
            if picker is None:
                break
            waited_s = self.timer.now() - begun_s
            choice = await self.query(picker, query.after(waited_s))
            if not isinstance(choice, Queued):
                return choice
        return None

    async def query(
        self, picker: Address, query: DestinationRequest
    ) -> Choice | Queued | None:
        """Return a picker's choice; `Queued` if it must be asked again."""
        name = str(picker)
        self.cancel_report()
        self.record_reported(picker)
        report = self.reports.make(self.watch.contacts.for_control(name).source)
        sent_s = self.timer.now()
        reply = await self.links.call(
            picker,
            MessageKind.place_ask,
            encode(query_to_wire(query, report)),
            PICKER_TIMEOUT_S,
            partial(self.return_late, picker),
        )
        if isinstance(reply, Err):
            failure = reply.err_value
            self.record_silent(
                picker,
                f'{type(failure).__name__}: {failure.reason}',
                query.request,
                self.timer.now() - sent_s,
            )
            return None
        try:
            return await self.await_decision(
                picker, query, decode(ttypes.PlaceGiven, reply.ok_value)
            )
        except FrameError as bad:
            self.record_silent(picker, str(bad), query.request)
            return None

    async def await_decision(
        self,
        picker: Address,
        query: DestinationRequest,
        reply: ttypes.PlaceGiven,
    ) -> Choice | Queued | None:
        """Return the choice in an answer, or the one that follows it."""
        self.silent_since_s = None
        self.record_scheduled(query.service, reply)
        choice = self.apply_reply(reply)
        if not isinstance(choice, Queued):
            return choice
        place = await self.waiting.wait(picker, reply.source, choice.ticket)
        return choice if place is None else self.apply_reply(place)

    def has_been_silent(self, seconds: float) -> bool:
        """Return whether no picker has answered for some time."""
        if self.silent_since_s is None:
            return False
        return self.timer.now() - self.silent_since_s >= seconds

    def return_late(self, picker: Address, body: bytes) -> None:
        """Return an assignment that arrived after the timeout of its query.

        The request has been sent elsewhere meanwhile. Without this, a picker
        that was frozen for a moment would keep a slot for each query that had
        arrived by then, or have it in its queue.
        """
        try:
            reply = decode(ttypes.PlaceGiven, body)
        except FrameError as bad:
            log_change(
                'picking:reply_malformed', picker=str(picker), reason=str(bad)
            )
            return
        if reply.kind == AssignmentKind.queued:
            self.waiting.abandon(picker, reply.source, reply.ticket)
        else:
            self.return_assignment(picker, reply)

    def return_assignment(
        self, picker: Address, reply: ttypes.PlaceGiven
    ) -> None:
        """Return the slot of an assignment that no request uses.

        A report that includes the assignment, without a request for it,
        releases the slot.
        """
        self.metrics.count('picking_decisions_unused_total')
        if not reply.number:
            return
        if picker != self.reported_to:
            withdrawal = self.reports.make_withdrawal(
                reply.source, reply.number
            )
            self.links.notify(
                picker, MessageKind.load_report, encode(withdrawal)
            )
        elif (
            reply.source == self.watch.contacts.for_control(str(picker)).source
        ):
            self.reports.record_assignment(reply.source, reply.number)
            self.schedule_report()

    def make_report(
        self, picker: Address, source: str
    ) -> ttypes.LoadReport | None:
        """Return a report for a picker; None if another one has the last."""
        return self.reports.make(source) if picker == self.reported_to else None

    def record_scheduled(self, service: str, reply: ttypes.PlaceGiven) -> None:
        """Record whether the requests to a service are queued."""
        if reply.is_scheduled:
            self.scheduled.add(service)
        elif reply.kind != AssignmentKind.unable:
            self.scheduled.discard(service)

    def apply_reply(self, reply: ttypes.PlaceGiven) -> Choice | Queued | None:
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

    def record_silent(
        self,
        picker: Address,
        reason: str,
        request: str = '',
        waited_s: float = 0.0,
    ) -> None:
        """Stop querying this picker until it answers a poll.

        Parameters
        ----------
        waited_s : float
            Seconds since the query was sent. If this process was not scheduled
            meanwhile, it exceeds the timeout.
        """
        if self.silent_since_s is None:
            self.silent_since_s = self.timer.now()
        self.metrics.count('picking_questions_failed_total', why='silent')
        log_change(
            'picking:picker_silent',
            picker=str(picker),
            request=request,
            reason=reason,
            waited_s=round(waited_s, 4),
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
            self.report_timer = self.timer.after(delay_s, self.send_report)

    def cancel_report(self) -> None:
        """Cancel the scheduled report."""
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
            self.due_s = inf

    def send_report(self) -> None:
        """Send a report of this VM's requests to the picker."""
        self.cancel_report()
        picker = self.watch.picker()
        if picker is None:
            return
        self.record_reported(picker)
        report = self.reports.make(
            self.watch.contacts.for_control(str(picker)).source
        )
        self.links.notify(picker, MessageKind.load_report, encode(report))

    def record_reported(self, picker: Address) -> None:
        """Record which picker gets a report; withdraw the last one elsewhere.

        Pickers add up what each of them counts. A report that stays with a
        picker that was queried for a moment would be counted twice.
        """
        before = self.reported_to
        self.reported_to = picker
        if before is None or before == picker:
            return
        source = self.watch.contacts.for_control(str(before)).source
        withdrawal = self.reports.make_withdrawal(source)
        self.links.notify(before, MessageKind.load_report, encode(withdrawal))
