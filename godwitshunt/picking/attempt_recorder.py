"""Update of upstream statistics from attempts.

An entry VM records its own attempts, a picker those of its region.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import isfinite

from godwitshunt.manifest import Service
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.upstreams import Upstreams, of_service
from godwitshunt.registry import Load, RegistryView, UpstreamSeen
from godwitshunt.routing import outliers
from godwitshunt.telemetry import Metrics, log_change

NO_LOAD = Load()


@dataclass(frozen=True)
class Reporter:
    """An entry VM that reports an attempt.

    Parameters
    ----------
    entries : int
        Number of entry VMs that report to the same picker.
    """

    name: str
    entries: int


@dataclass
class AttemptRecorder:
    """Records attempts in the upstream statistics.

    Parameters
    ----------
    upstreams : Upstreams
        The statistics.
    view : callable
        Returns the known upstreams and the loads of other VMs there.
    mark_replaced : callable
        Called with an incarnation that is no longer at its address.
    metrics : Metrics
        Counts rejections.
    """

    upstreams: Upstreams
    view: Callable[[], RegistryView]
    mark_replaced: Callable[[str], None]
    metrics: Metrics = field(default_factory=Metrics)

    def __post_init__(self) -> None:
        self.listed_for: Mapping[str, UpstreamSeen] | None = None
        self.listed: dict[str, tuple[str, ...]] = {}

    def record(
        self,
        attempt: AttemptReport,
        service: Service,
        now_s: float,
        reporter: Reporter | None = None,
    ) -> None:
        """Record one attempt.

        Parameters
        ----------
        reporter : Reporter or None
            The entry VM that made the attempt; None for this process itself.
        """
        match attempt.shown:
            case AttemptResult.answered:
                self.record_answer(attempt, service, now_s)
            case AttemptResult.replaced:
                self.mark_replaced(attempt.instance)
            case AttemptResult.unreached if reporter is not None:
                self.record_failed_path(attempt, reporter, now_s)
            case AttemptResult.unreached:
                self.upstreams.record_connect_failure(attempt.instance, now_s)
            case AttemptResult.full:
                self.record_rejection(attempt, now_s)
            case _:
                self.record_outcome(attempt, outliers.Failed(), now_s)

    def record_rejection(self, attempt: AttemptReport, now_s: float) -> None:
        """Record that an upstream rejected a request as not run.

        It gets no requests for a moment, unless its load does not explain the
        rejection.
        """
        is_unrelated = self.is_unrelated_to_load(attempt, now_s)
        self.metrics.count(
            'picking_rejections_total',
            service=attempt.service,
            why='unrelated' if is_unrelated else 'load',
        )
        if is_unrelated:
            return
        health = self.upstreams.health_of(attempt.instance)
        backoff_s = self.upstreams.full_backoff_s(attempt.service)
        health.full_until_s = now_s + backoff_s
        if self.has_free_slot(attempt.instance):
            self.record_outcome(attempt, outliers.Failed(), now_s)

    def is_unrelated_to_load(
        self, attempt: AttemptReport, now_s: float
    ) -> bool:
        """Return whether an upstream's load does not explain a rejection.

        Brittle upstreams fail when they reject requests, and the outcome of an
        ejected one ends its probe, whatever the reason.
        """
        instance = attempt.instance
        upstream = self.view().upstreams.get(instance)
        if (
            upstream is None
            or self.upstreams.brittle.is_brittle(attempt.service)
            or self.upstreams.is_ejected(attempt.service, instance)
        ):
            return False
        in_flight = self.in_flight(instance)
        slots = upstream.announcement.slots
        window = self.upstreams.health_of(instance).rejections
        is_unrelated = window.record_rejected(in_flight, slots, now_s)
        if is_unrelated and window.must_report(now_s):
            log_change(
                'picking:upstream_rejects',
                instance=instance,
                load=in_flight,
                slots=slots,
                rejected=window.unrelated,
                attempts=len(window.attempts),
            )
        return is_unrelated

    def record_failed_path(
        self, attempt: AttemptReport, reporter: Reporter, now_s: float
    ) -> None:
        """Record that one of several entry VMs failed to connect."""
        health = self.upstreams.health_of(attempt.instance)
        is_down = health.record_failed_path(
            reporter.name, now_s, reporter.entries
        )
        log_change(
            'picking:connection_failed',
            instance=attempt.instance,
            source=reporter.name,
            failed_at=sorted(health.failed_connections),
            heard_s=round(now_s - health.last_seen_s, 3)
            if isfinite(health.last_seen_s)
            else None,
            unreachable=is_down,
        )

    def record_answer(
        self,
        attempt: AttemptReport,
        service: Service,
        now_s: float,
    ) -> None:
        """Record a complete answer.

        Lateness is recorded as a delay only and never as a failure. An
        upstream that is slow because it is busy must not be ejected as an
        outlier: its load would move to the others, which would be ejected next.
        """
        if attempt.answer_tokens is not None:
            self.upstreams.answers.record(attempt.route, attempt.answer_tokens)
        health = self.upstreams.health_of(attempt.instance)
        health.record_response_time(attempt.first_s, attempt.predicted_s, now_s)
        in_flight = self.in_flight(attempt.instance)
        health.rejections.record_accepted(in_flight, now_s)
        if self.has_free_slot(attempt.instance):
            speed = self.upstreams.learned_speed(service)
            speed.record_answer(attempt.first_s, attempt.took_s)
            if not attempt.was_held_up:
                speed.record_first_event(attempt.first_s, attempt.unread_tokens)
        in_time = outliers.Answered(attempt.predicted_s, attempt.predicted_s)
        self.record_outcome(attempt, in_time, now_s)

    def has_free_slot(self, instance: str) -> bool:
        """Return whether an upstream has a free slot.

        A full upstream that refuses requests is healthy. When such refusals
        counted as failures, all upstreams of a busy region were ejected in
        turn.
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
        attempt: AttemptReport,
        outcome: outliers.AttemptOutcome,
        now_s: float,
    ) -> None:
        """Record the outcome of an attempt for outlier detection."""
        present = self.present(attempt.service)
        is_ejected = self.upstreams.record_outcome(
            attempt.service,
            attempt.instance,
            outcome,
            present,
            now_s,
        )
        if is_ejected:
            log_change(
                'picking:upstream_left_out',
                instance=attempt.instance,
                load=self.in_flight(attempt.instance),
            )

    def present(self, service: str) -> tuple[str, ...]:
        """Return the incarnations of a service; kept until the view changes."""
        view = self.view()
        if view.upstreams is not self.listed_for:
            self.listed_for = view.upstreams
            self.listed.clear()
        if service not in self.listed:
            self.listed[service] = tuple(
                upstream.announcement.incarnation
                for upstream in of_service(view, service)
            )
        return self.listed[service]
