"""What attempts show of upstreams and of other VMs."""

from dataclasses import dataclass

from godwitshunt.ingress.attempt import Attempt
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.outcomes import (
    NO_ATTEMPT,
    Answered,
    AttemptOutcome,
    Failed,
    Lost,
    NotRun,
    Streamed,
)
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import HandOver, SendHere
from godwitshunt.registry import UpstreamAnnounced
from godwitshunt.telemetry import log_change

# Without a sign of an answer for so long, an attempt that ends counts against
# its upstream, whoever ended it.
MUTE_S = 2.0
AVOID_VM_S = 1.0
AVOID_REGION_S = 0.5


@dataclass(frozen=True)
class UpstreamAttempt:
    """An attempt at an upstream that is over.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None where the caller went away, or the deadline passed.
    first_s : float or None
        Seconds until the first sign of an answer.
    took_s : float
        Seconds that it took.
    """

    choice: SendHere
    attempt: Attempt
    outcome: AttemptOutcome | None
    first_s: float | None
    took_s: float

    @property
    def instance(self) -> str:
        """The upstream."""
        return self.choice.upstream.announcement.incarnation

    @property
    def shown(self) -> AttemptResult | None:
        """What it showed of the upstream; None for nothing at all."""
        match self.outcome:
            case _ if self.attempt.misdirected:
                return AttemptResult.replaced
            case None:
                is_mute = self.first_s is None and self.took_s > MUTE_S
                return AttemptResult.nothing if is_mute else None
            case _ if not self.attempt.connected:
                return AttemptResult.unreached
            case Answered() | Streamed() if self.first_s is not None:
                return AttemptResult.answered
            case NotRun(arrived=True):
                return AttemptResult.full
            case Lost() | Failed():
                return AttemptResult.failed
        return None


@dataclass
class Lessons:
    """Learns from the attempts of one request, and tells the picker."""

    context: IngressContext
    request: RoutedRequest

    def of_upstream(self, made: UpstreamAttempt) -> None:
        """Learn from an attempt at an upstream of this region."""
        if isinstance(made.outcome, Lost):
            self.record_loss(made, made.outcome)
        if isinstance(made.outcome, (Answered, Streamed, Failed)):
            self.note_survival()
        shown = made.shown
        if shown is None:
            return
        choice = made.choice
        told = AttemptReport(
            instance=made.instance,
            service=self.request.service.name,
            shown=shown,
            first_s=made.first_s,
            took_s=made.took_s,
            predicted_s=choice.predicted_s,
            unread_tokens=choice.unread_tokens,
            was_held_up=bool(choice.waiting_tokens) or choice.is_cold,
        )
        now_s = self.context.timer.now()
        self.context.attempt_recorder.record(told, self.request.service, now_s)
        self.context.picker.report_attempt(told)
        if shown is AttemptResult.answered:
            self.count_prompt(choice)

    def record_loss(self, made: UpstreamAttempt, lost: Lost) -> None:
        """Note that an attempt ended without a whole answer.

        Repeats of a request have one fingerprint, whatever their ids. One
        that leaves ends as it said, whatever it runs.
        """
        told = made.choice.upstream.announcement
        if made.attempt.closed and not self.leaves(told):
            self.context.witness.record_loss(
                self.request,
                place_of(made.choice),
                told.address,
                made.took_s,
            )
        first_s = made.first_s
        log_change(
            'ingress:attempt_lost',
            request=self.request.id,
            fingerprint=str(self.request.fingerprint),
            instance=made.instance,
            after_s=round(made.took_s, 4),
            first_s=None if first_s is None else round(first_s, 4),
            closed=made.attempt.closed,
            reason=lost.reason,
        )

    def leaves(self, told: UpstreamAnnounced) -> bool:
        """Tell whether an upstream said that it leaves."""
        watch = self.context.watch
        known = watch.view().upstreams.get(told.incarnation)
        is_draining = known is not None and known.announcement.draining
        return is_draining or watch.has_ended(told)

    def note_survival(self) -> None:
        """Note a whole answer where upstreams were lost before."""
        quarantine = self.context.quarantine
        if quarantine.knows_length(len(self.request.http.body)):
            quarantine.clear(self.request.fingerprint)

    def count_prompt(self, choice: SendHere) -> None:
        """Count whether a long prompt's shared parts were kept there."""
        prompt = self.request.prompt
        if prompt.worth_keeping:
            self.context.metrics.count(
                'ingress_long_prompts_total',
                kept='yes' if choice.is_cached else 'no',
            )

    def of_vm(
        self,
        choice: HandOver,
        attempt: Attempt,
        outcome: AttemptOutcome,
        took_s: float,
    ) -> str | None:
        """Learn from a hand-over; return what not to choose again.

        Returns
        -------
        str or None
            The VM's name, or its region where the VM has no place there.
        """
        now_s = self.context.timer.now()
        entry = choice.entry
        neighbours = self.context.neighbours
        if isinstance(outcome, Lost) and attempt.closed:
            self.context.witness.record_loss(
                self.request,
                place_of(choice),
                entry.hop,
                took_s,
            )
        if not attempt.connected or isinstance(outcome, Lost):
            neighbours.avoid(entry.name, now_s + AVOID_VM_S)
            return entry.name
        if isinstance(outcome, NotRun):
            if not outcome.arrived and NO_ATTEMPT in outcome.reason:
                place = f'{entry.region} {self.request.service.name}'
                neighbours.avoid(place, now_s + AVOID_REGION_S)
            return entry.region
        return None


def place_of(choice: SendHere | HandOver) -> str:
    """Return the process that a request is sent to.

    An upstream's or an entry VM's next start is another one.
    """
    match choice:
        case SendHere(upstream=upstream):
            return upstream.announcement.incarnation
        case HandOver(entry=entry):
            return f'{entry.region}/{entry.name}~{entry.session}'
