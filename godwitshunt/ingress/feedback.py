"""Feedback from attempts about upstreams and other VMs."""

from dataclasses import dataclass
from functools import partial

from godwitshunt.ingress.attempt import SUCCESS, Attempt
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
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import HandOver, SendHere
from godwitshunt.registry import UpstreamAnnounced
from godwitshunt.routing.upstream_paths import Suspicion
from godwitshunt.telemetry import log_change

# An attempt that ends after this long without any answer counts against its
# upstream, whichever side ended it.
UNRESPONSIVE_AFTER_S = 2.0
AVOID_VM_S = 1.0
AVOID_REGION_S = 0.5
# Whole answers to bodies up to this length are remembered by content. Longer
# ones are seldom sent alike, and take long to hash.
HASHED_BYTES = 4096
# Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 16


@dataclass(frozen=True)
class CompletedAttempt:
    """A completed attempt at an upstream.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None where the caller disconnected or the deadline passed.
    first_s : float or None
        Seconds until the first activity of the answer.
    took_s : float
        Duration in seconds.
    answer_tokens : int or None
        Length of a complete stream; None if it is not known.
    """

    choice: SendHere
    attempt: Attempt
    outcome: AttemptOutcome | None
    first_s: float | None
    took_s: float
    answer_tokens: int | None = None

    @property
    def incarnation(self) -> str:
        """Incarnation of the upstream."""
        return self.choice.upstream.announcement.incarnation

    @property
    def suspicion(self) -> Suspicion | None:
        """What the attempt shows of this VM's path; None for nothing."""
        match self.outcome:
            case None:
                is_silent = self.attempt_result is AttemptResult.nothing
                return Suspicion.silence if is_silent else None
            case _ if not self.attempt.connected:
                return Suspicion.connection
            case Lost() if self.attempt.closed_by_peer:
                return Suspicion.connection
            case Lost() if not self.attempt.answer_started:
                return Suspicion.silence
        return None

    @property
    def attempt_result(self) -> AttemptResult | None:
        """What the attempt shows of the upstream; None for nothing."""
        match self.outcome:
            case _ if self.attempt.misdirected:
                return AttemptResult.replaced
            case None:
                is_unresponsive = (
                    self.first_s is None and self.took_s > UNRESPONSIVE_AFTER_S
                )
                return AttemptResult.nothing if is_unresponsive else None
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
class AttemptFeedback:
    """Reports the attempts of one request to its recorder and to the picker."""

    context: IngressContext
    request: RoutedRequest

    def report_upstream(self, completed: CompletedAttempt) -> None:
        """Report an attempt at an upstream of this region."""
        if completed.suspicion is not None:
            self.context.path_monitor.suspect(
                completed.suspicion, completed.incarnation, self.request.id
            )
        if isinstance(completed.outcome, Lost):
            self.record_loss(completed, completed.outcome)
        if isinstance(completed.outcome, (Answered, Streamed, Failed)):
            self.record_whole_answer(completed.outcome)
        attempt_result = completed.attempt_result
        if attempt_result is None:
            return
        choice = completed.choice
        report = AttemptReport(
            instance=completed.incarnation,
            service=self.request.service.name,
            shown=attempt_result,
            first_s=completed.first_s,
            took_s=completed.took_s,
            predicted_s=choice.predicted_s,
            unread_tokens=choice.unread_tokens,
            was_held_up=bool(choice.waiting_tokens) or choice.is_cold,
            route=self.request.route.name,
            answer_tokens=completed.answer_tokens,
        )
        if attempt_result is AttemptResult.answered:
            self.count_long_prompt(choice)
        if completed.suspicion is None:
            self.record(report)
            return
        if attempt_result is AttemptResult.unreached:
            self.context.upstreams.record_connect_failure(
                report.instance, self.context.timer.now()
            )
        self.context.path_monitor.when_checked(
            partial(self.record_failure, report)
        )

    def record(self, report: AttemptReport) -> None:
        """Record an attempt and report it to the picker."""
        now_s = self.context.timer.now()
        self.context.attempt_recorder.record(
            report, self.request.service, now_s
        )
        self.context.picker.report_attempt(report)

    def record_failure(self, report: AttemptReport) -> None:
        """Record a failure, unless this VM has lost all its paths."""
        if self.context.path_monitor.are_lost:
            self.context.metrics.count('ingress_reports_withheld_total')
            return
        self.record(report)

    def record_loss(self, completed: CompletedAttempt, lost: Lost) -> None:
        """Record an attempt that ended without a whole answer.

        Repeats of a request have one fingerprint, whatever their ids. An
        upstream that is leaving ends as announced, whatever it runs.
        """
        announcement = completed.choice.upstream.announcement
        if completed.attempt.closed_by_peer and not self.has_reason_to_end(
            announcement
        ):
            self.context.crash_detector.record_loss(
                self.request,
                target_incarnation(completed.choice),
                announcement.address,
                completed.took_s,
            )
        first_s = completed.first_s
        log_change(
            'ingress:attempt_lost',
            request=self.request.id,
            fingerprint=str(self.request.fingerprint),
            parts=describe_parts(self.request.prompt),
            instance=completed.incarnation,
            after_s=round(completed.took_s, 4),
            first_s=None if first_s is None else round(first_s, 4),
            closed=completed.attempt.closed_by_peer,
            reason=lost.reason,
        )

    def has_reason_to_end(self, announcement: UpstreamAnnounced) -> bool:
        """Tell whether an upstream ends whatever it runs.

        A brittle one fails because of the requests that it rejects.
        """
        brittle = self.context.upstreams.brittle
        return brittle.is_brittle(announcement.service) or self.is_leaving(
            announcement
        )

    def is_leaving(self, announcement: UpstreamAnnounced) -> bool:
        """Tell whether an upstream has announced that it leaves."""
        watch = self.context.watch
        current = watch.view().upstreams.get(announcement.incarnation)
        is_draining = current is not None and current.announcement.draining
        has_stated = (
            announcement.incarnation in self.context.upstreams.departures
        )
        return is_draining or has_stated or watch.has_ended(announcement)

    def record_whole_answer(
        self, outcome: Answered | Streamed | Failed
    ) -> None:
        """Clear a lost request, and parts, that were answered whole.

        A request that many callers send alike is cleared after its first loss
        already: a loss long ago would otherwise count beside those of a short
        outage.

        An upstream may refuse a request before it processes the prompt; so
        only a success shows that the parts crash nothing.
        """
        quarantine = self.context.quarantine
        body_bytes = len(self.request.http.body)
        if body_bytes <= HASHED_BYTES:
            quarantine.record_content_answer(self.request.fingerprint)
        elif quarantine.has_lost_length(body_bytes):
            quarantine.clear(self.request.fingerprint)
        if is_success(outcome) and self.request.prompt.shared_parts:
            quarantine.record_answer(self.request.part_fingerprints)

    def count_long_prompt(self, choice: SendHere) -> None:
        """Count whether a long prompt's shared parts were cached."""
        prompt = self.request.prompt
        if prompt.is_worth_caching:
            self.context.metrics.count(
                'ingress_long_prompts_total',
                kept='yes' if choice.is_cached else 'no',
            )

    def report_vm(
        self,
        choice: HandOver,
        attempt: Attempt,
        outcome: AttemptOutcome,
        took_s: float,
    ) -> str | None:
        """Record a forwarded attempt; return what to exclude from now on.

        Returns
        -------
        str or None
            Name of the VM, its region where that has no capacity, or the grant
            that was not honoured.
        """
        now_s = self.context.timer.now()
        entry = choice.entry
        neighbours = self.context.neighbours
        if isinstance(outcome, (Answered, Streamed, Failed)):
            self.record_whole_answer(outcome)
        if isinstance(outcome, Lost) and attempt.closed_by_peer:
            self.context.crash_detector.record_loss(
                self.request,
                target_incarnation(choice),
                entry.hop,
                took_s,
            )
        if has_vm_failed(attempt, outcome):
            neighbours.avoid(entry.name, now_s + AVOID_VM_S)
            log_change(
                'ingress:vm_avoided',
                request=self.request.id,
                vm=entry.name,
                region=entry.region,
                avoid_s=AVOID_VM_S,
                reason=outcome.reason,
            )
            return entry.name
        if isinstance(outcome, NotRun) and outcome.has_no_paths:
            neighbours.avoid(entry.name, now_s + AVOID_VM_S)
            log_change(
                'ingress:vm_without_paths',
                request=self.request.id,
                vm=entry.name,
                region=entry.region,
                avoid_s=AVOID_VM_S,
            )
            return entry.name
        if isinstance(outcome, NotRun):
            if choice.grant is not None:
                return choice.grant.grant_name
            if not outcome.arrived and NO_ATTEMPT in outcome.reason:
                key = f'{entry.region} {self.request.service.name}'
                neighbours.avoid(key, now_s + AVOID_REGION_S)
                log_change(
                    'ingress:region_avoided',
                    request=self.request.id,
                    vm=entry.name,
                    region=entry.region,
                    service=self.request.service.name,
                    avoid_s=AVOID_REGION_S,
                    reason=outcome.reason,
                )
            return entry.region
        return None


def is_success(outcome: Answered | Streamed | Failed) -> bool:
    """Tell whether a whole answer is a success."""
    match outcome:
        case Streamed():
            return True
        case Answered(answer):
            return answer.status in SUCCESS
    return False


def has_vm_failed(attempt: Attempt, outcome: AttemptOutcome) -> bool:
    """Tell whether a forwarded attempt shows that the other VM is unusable.

    A VM that reports a loss, or breaks off an answer that has started, does so
    because its upstream failed. If it terminated instead, the next connection
    to it is refused.
    """
    if not attempt.connected:
        return True
    if not isinstance(outcome, Lost) or outcome.is_reported:
        return False
    return not (attempt.answer_started and attempt.closed_by_peer)


def describe_parts(prompt: Prompt) -> list[str]:
    """Return the first shared parts of a prompt, for logs."""
    return [f'{part.key:x}' for part in prompt.shared_parts[:MAX_LOGGED_PARTS]]


def target_incarnation(choice: SendHere | HandOver) -> str:
    """Return the incarnation of the process that a request is sent to.

    Each restart of an upstream or an entry VM is a new incarnation.
    """
    match choice:
        case SendHere(upstream=upstream):
            return upstream.announcement.incarnation
        case HandOver(entry=entry):
            return f'{entry.region}/{entry.name}~{entry.session}'
