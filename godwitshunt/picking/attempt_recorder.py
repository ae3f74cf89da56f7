"""Learning of upstreams from what attempts showed.

An entry VM learns from its own attempts, a picker from those of its region.
"""

from collections.abc import Callable
from dataclasses import dataclass

from godwitshunt.manifest import Service
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.upstreams import Upstreams, of_service
from godwitshunt.registry import Load, RegistryView
from godwitshunt.routing import outliers
from godwitshunt.routing.upstream_health import FULL_BACKOFF_S
from godwitshunt.telemetry import log_change

NO_LOAD = Load()


@dataclass
class AttemptRecorder:
    """Learns from attempts.

    Parameters
    ----------
    upstreams : Upstreams
        What is known of them.
    view : callable
        Returns which upstreams there are, and others' requests there.
    leave : callable
        Told of incarnations that are no longer at their address.
    """

    upstreams: Upstreams
    view: Callable[[], RegistryView]
    leave: Callable[[str], None]

    def record(
        self, made: AttemptReport, service: Service, now_s: float
    ) -> None:
        """Learn from one attempt."""
        health = self.upstreams.health_of(made.instance)
        match made.shown:
            case AttemptResult.answered:
                self.note_answer(made, service, now_s)
            case AttemptResult.replaced:
                self.leave(made.instance)
            case AttemptResult.unreached:
                health.record_connect_failure(now_s)
            case AttemptResult.full:
                health.full_until_s = now_s + FULL_BACKOFF_S
                if self.has_room(made.instance):
                    self.record_outcome(made, outliers.Failed(), now_s)
            case _:
                self.record_outcome(made, outliers.Failed(), now_s)

    def note_answer(
        self,
        made: AttemptReport,
        service: Service,
        now_s: float,
    ) -> None:
        """Learn from a whole answer.

        How late it was is learned as a delay; an upstream that is slow since
        it is busy must not be left out as an outlier, or the others would
        have to bear its load, and be left out in their turn.
        """
        health = self.upstreams.health_of(made.instance)
        health.record_response_time(made.first_s, made.predicted_s, now_s)
        if self.has_room(made.instance):
            learned = self.upstreams.learned_speed(service)
            learned.note(made.first_s, made.took_s)
            if not made.was_held_up:
                learned.note_reading(made.first_s, made.unread_tokens)
        in_time = outliers.Answered(made.predicted_s, made.predicted_s)
        self.record_outcome(made, in_time, now_s)

    def has_room(self, instance: str) -> bool:
        """Tell whether an upstream has a free slot.

        A full one that turns requests away is sound; counted as failing, all
        upstreams of a busy region were left out by turns.
        """
        upstream = self.view().upstreams.get(instance)
        if upstream is None:
            return False
        return self.in_flight(instance) < upstream.announcement.slots

    def in_flight(self, instance: str) -> int:
        """Return the requests of all VMs at an upstream."""
        others = self.view().loads.get(instance, NO_LOAD)
        return others.in_flight + self.upstreams.health_of(instance).in_flight

    def record_outcome(
        self,
        made: AttemptReport,
        outcome: outliers.AttemptOutcome,
        now_s: float,
    ) -> None:
        """Count what an attempt showed, for the detection of outliers."""
        present = [
            one.announcement.incarnation
            for one in of_service(self.view(), made.service)
        ]
        exclusions = self.upstreams.record_outcome(
            made.service,
            made.instance,
            outcome,
            present,
            now_s,
        )
        if exclusions:
            log_change(
                'picking:upstream_left_out',
                instance=made.instance,
                load=self.in_flight(made.instance),
            )
