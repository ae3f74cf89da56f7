"""What attempts show of upstreams and of other VMs."""

from dataclasses import dataclass

from godwitshunt.ingress.attempt import Attempt
from godwitshunt.ingress.choices import (
    HandOver,
    SendHere,
)
from godwitshunt.ingress.outcomes import (
    NO_ATTEMPT,
    Answered,
    AttemptOutcome,
    Failed,
    Lost,
    NotRun,
    Streamed,
)
from godwitshunt.ingress.parts import IngressParts
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.upstreams import of_service
from godwitshunt.registry import Load
from godwitshunt.routing import outliers
from godwitshunt.routing.upstream_health import FULL_S
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
        return self.choice.seen.told.incarnation

    @property
    def answered(self) -> bool:
        """True where a whole answer came."""
        whole = isinstance(self.outcome, (Answered, Streamed))
        return whole and self.first_s is not None


@dataclass
class Lessons:
    """Learns from the attempts of one request."""

    parts: IngressParts
    request: RoutedRequest

    def of_upstream(self, made: UpstreamAttempt) -> None:
        """Learn from an attempt at an upstream of this region."""
        now_s = self.parts.timer.now()
        health = self.parts.upstreams.of(made.instance)
        outcome = made.outcome
        if made.attempt.misdirected:
            self.parts.watch.leave(made.instance)
        if outcome is not None and not made.attempt.connected:
            health.miss(now_s)
        if isinstance(outcome, NotRun) and outcome.arrived:
            health.full_until_s = now_s + FULL_S
        if made.answered:
            self.note_answer(made, now_s)
            self.count_prompt(made.choice)
        elif self.failed(made):
            self.note_outcome(made.instance, outliers.Failed(), now_s)

    def note_answer(self, made: UpstreamAttempt, now_s: float) -> None:
        """Learn from a whole answer.

        How late it was is learned as a delay; an upstream that is slow since
        it is busy must not be left out as an outlier, or the others would
        have to bear its load, and be left out in their turn.
        """
        health = self.parts.upstreams.of(made.instance)
        predicted_s = made.choice.predicted_s
        health.note_time(made.first_s, predicted_s, now_s)
        if self.in_flight(made.choice) < made.choice.seen.told.slots:
            learned = self.parts.upstreams.learned(self.request.service)
            learned.note(made.first_s, made.took_s)
            choice = made.choice
            if not (choice.waiting_tokens or choice.is_cold):
                learned.note_reading(made.first_s, choice.unread_tokens)
        in_time = outliers.Answered(predicted_s, predicted_s)
        self.note_outcome(made.instance, in_time, now_s)

    def count_prompt(self, choice: SendHere) -> None:
        """Count whether a long prompt's shared parts were kept there."""
        prompt = self.request.prompt
        if prompt.worth_keeping:
            self.parts.metrics.count(
                'ingress_long_prompts_total',
                kept='yes' if choice.is_kept else 'no',
            )

    def failed(self, made: UpstreamAttempt) -> bool:
        """Tell whether an attempt counts against its upstream."""
        if isinstance(made.outcome, (Lost, Failed)):
            return True
        if isinstance(made.outcome, NotRun):
            return made.outcome.arrived and self.has_room(made.choice)
        return made.first_s is None and made.took_s > MUTE_S

    def has_room(self, choice: SendHere) -> bool:
        """Tell whether an upstream that turned a request away has room.

        A full one that turns requests away is sound; counted as failing, all
        upstreams of a busy region were left out by turns.
        """
        return self.in_flight(choice) < choice.seen.told.slots

    def in_flight(self, choice: SendHere) -> int:
        """Return the requests of all VMs at a chosen upstream."""
        instance = choice.seen.told.incarnation
        others = self.parts.watch.view().loads.get(instance, Load())
        return others.in_flight + self.parts.upstreams.of(instance).in_flight

    def note_outcome(
        self,
        instance: str,
        shown: outliers.AttemptOutcome,
        now_s: float,
    ) -> None:
        """Count what an attempt showed, for the detection of outliers."""
        service = self.request.service.name
        view = self.parts.watch.view()
        present = [one.told.incarnation for one in of_service(view, service)]
        left_out = self.parts.upstreams.note_outcome(
            service,
            instance,
            shown,
            present,
            now_s,
        )
        if left_out:
            log_change(
                'ingress:upstream_left_out',
                instance=instance,
                request=self.request.id,
                load=self.parts.upstreams.of(instance).in_flight,
            )

    def of_vm(
        self,
        choice: HandOver,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> str | None:
        """Learn from a hand-over; return what not to choose again.

        Returns
        -------
        str or None
            The VM's name, or its region where the VM has no place there.
        """
        now_s = self.parts.timer.now()
        entry = choice.entry
        neighbours = self.parts.neighbours
        if not attempt.connected or isinstance(outcome, Lost):
            neighbours.avoid(entry.name, now_s + AVOID_VM_S)
            return entry.name
        if isinstance(outcome, NotRun):
            if not outcome.arrived and NO_ATTEMPT in outcome.reason:
                place = f'{entry.region} {self.request.service.name}'
                neighbours.avoid(place, now_s + AVOID_REGION_S)
            return entry.region
        return None
