"""The entry side: asks the picker, and says when not to wait for it."""

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_reports import AttemptReport
from godwitshunt.picking.choices import Choice
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import DestinationRequest
from godwitshunt.picking.reports import ReportBuilder
from godwitshunt.picking.wire import choice_from_wire, question_to_wire
from godwitshunt.registry import RegistryWatch
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

# A picker is a millisecond or two away and needs half a millisecond; one that
# takes longer than this is frozen, gone or out of reach. The request then goes
# where this VM's own choice says: an eighth of the shortest objective is lost.
PLACE_TIMEOUT_S = 0.06
# Changes of this VM's requests are told together, this long after the first.
REPORT_DELAY_S = 0.01


class PickerClient:
    """Asks the picker of this VM's region.

    Parameters
    ----------
    neighbours : Neighbours
        This VM's name and region, and what it avoids.
    reports : ReportBuilder
        This VM's requests, told with each question.
    watch : RegistryWatch
        Knows who the picker is.
    links : PeerLinks
        To the picker.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts questions without answer.
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
        self.is_due = False

    async def request_destination(
        self, question: DestinationRequest
    ) -> Choice | None:
        """Return where a request goes; None where this VM must choose."""
        picker = self.watch.picker()
        if picker is None:
            return None
        name = str(picker)
        report = self.reports.make(self.watch.contacts.for_control(name).source)
        reply = await self.links.call(
            picker,
            MessageKind.place_ask,
            encode(question_to_wire(question, report)),
            PLACE_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.lose(picker, question, type(reply.err_value).__name__)
            return None
        try:
            return self.take(decode(ttypes.PlaceGiven, reply.ok_value))
        except FrameError as bad:
            self.lose(picker, question, str(bad))
            return None

    def take(self, made: ttypes.PlaceGiven) -> Choice | None:
        """Take what the picker gives."""
        self.reports.take_place(made.source, made.number or 0)
        choice = choice_from_wire(
            made,
            self.neighbours.region,
            self.timer.now(),
        )
        if choice is None:
            self.metrics.count('picking_questions_failed_total', why='unable')
        return choice

    def lose(
        self, picker: Address, question: DestinationRequest, reason: str
    ) -> None:
        """Ask this picker no more until it answers a poll."""
        self.metrics.count('picking_questions_failed_total', why='silent')
        log_change(
            'picking:picker_silent',
            picker=str(picker),
            request=question.request,
            reason=reason,
        )
        self.watch.contacts.for_control(str(picker)).record_failure()
        self.watch.start_poll(picker)

    def report_attempt(self, made: AttemptReport) -> None:
        """Tell the picker what an attempt showed."""
        self.reports.shown.append(made)
        self.schedule_report()

    def schedule_report(self) -> None:
        """Tell the picker, soon, that this VM's requests have changed."""
        if not self.is_due:
            self.is_due = True
            self.timer.after(REPORT_DELAY_S, self.report)

    def report(self) -> None:
        """Tell the picker of this VM's requests."""
        self.is_due = False
        picker = self.watch.picker()
        if picker is None:
            return
        made = self.reports.make(
            self.watch.contacts.for_control(str(picker)).source
        )
        self.links.tell(picker, MessageKind.load_report, encode(made))
