"""The trace of one request, for its log line and metrics."""

from dataclasses import dataclass, field
from enum import StrEnum

from godwitshunt.ingress.outcomes import AttemptOutcome, Progress
from godwitshunt.ingress.requests import MILLISECONDS, RoutedRequest
from godwitshunt.picking.choices import (
    Choice,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
    describe_candidate,
)
from godwitshunt.routing.retry_window import RetryDecision
from godwitshunt.telemetry import Metrics, log_change


class Stage(StrEnum):
    """Stages that a request passes, each recorded when it is first reached.

    `admitted`: route and key are known; `placed`: the destination is chosen;
    `connected`: a connection to it is open; `sent`: the request is written;
    `answer_started`: the head of an answer was received.
    """

    admitted = 'admitted'
    placed = 'placed'
    connected = 'connected'
    sent = 'sent'
    answer_started = 'heard'


@dataclass
class RequestTrace:
    """Choices, attempts and times of one request.

    Parameters
    ----------
    choices : list of str
        Each chosen destination with its candidates, best first.
    attempts : list of str
        The destination and the outcome of each attempt.
    first_s : float or None
        Seconds until the answer to the caller started.
    last_bytes_s : float or None
        When bytes of the caller's stream were last received, in monotonic
        seconds.
    longest_gap_s : float
        Longest pause between bytes of the caller's stream.
    control_age_s : float
        Age in seconds of the control VMs' data at the last choice.
    stages : dict
        Milliseconds from the request's arrival to each stage.
    first_tries : int
        How often the retry window counted the request as a first try.
    """

    request: RoutedRequest
    choices: list[str] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    first_s: float | None = None
    last_bytes_s: float | None = None
    longest_gap_s: float = 0.0
    control_age_s: float = 0.0
    stages: dict[str, float] = field(default_factory=dict)
    first_tries: int = 0

    def record_stage(self, stage: Stage, now_s: float) -> None:
        """Record the first time that a stage is reached."""
        if stage not in self.stages:
            took_s = now_s - self.request.arrived_s
            self.stages[stage.value] = round(took_s * MILLISECONDS, 1)

    def record_choice(self, choice: Choice, control_age_s: float) -> None:
        """Record a choice, its candidates and the age of control's data."""
        self.control_age_s = control_age_s
        match choice:
            case SendHere(upstream=upstream):
                destination = upstream.announcement.incarnation
            case HandOver(entry=entry):
                destination = f'{entry.region}/{entry.name}'
            case NoPlace(overloaded=overloaded):
                destination = 'overloaded' if overloaded else 'no upstream'
            case Limited():
                destination = 'limited'
        candidates = ' '.join(map(describe_candidate, choice.ranked))
        if isinstance(choice, NoPlace) and choice.exclusions:
            candidates = f'none: {", ".join(choice.exclusions)}'
        candidates = candidates or 'none'
        self.choices.append(f'{destination} of {candidates}')

    def record_attempt(
        self,
        destination: str,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record an attempt; None where the request ended during it."""
        attempt_result = 'ended' if outcome is None else type(outcome).__name__
        self.attempts.append(f'{destination}:{attempt_result}')

    def record_retry(
        self,
        decision: RetryDecision,
        progress: Progress,
        sharers: int,
        process_age_s: float,
        metrics: Metrics,
    ) -> None:
        """Write the log line and the metrics of a retry's decision.

        Parameters
        ----------
        sharers : int
            Parts that the fixed allowance was divided into.
        process_age_s : float
            Seconds since this process started.
        """
        service = self.request.service.name
        kind = progress.last_outcome
        allowed = decision.is_allowed
        metrics.count(
            'ingress_retries_total',
            service=service,
            kind=kind,
            allowed='yes' if allowed else 'no',
        )
        if not allowed:
            metrics.count('ingress_retries_denied_total')
        log_change(
            'ingress:retry_decided',
            request=self.request.id,
            service=service,
            allowed=allowed,
            kind=kind,
            arrivals=progress.arrivals,
            first_tries=decision.first_tries,
            retries=decision.retries,
            allowance=round(decision.allowance, 2),
            sharers=sharers,
            process_age_s=round(process_age_s, 2),
        )

    def record_answer_start(self, now_s: float) -> None:
        """Record the first time that the caller is sent answer data."""
        if self.first_s is None:
            self.first_s = now_s - self.request.arrived_s

    def record_bytes(self, now_s: float) -> None:
        """Record that bytes of the caller's stream were received."""
        if self.last_bytes_s is not None:
            gap_s = now_s - self.last_bytes_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_bytes_s = now_s

    def close(
        self,
        ending: str,
        progress: Progress,
        revision: int,
        metrics: Metrics,
        now_s: float,
    ) -> None:
        """Write the log line and the metrics of the ended request."""
        request = self.request
        took_s = now_s - request.arrived_s
        kind = request.route.kind.value
        metrics.count('ingress_requests_total', kind=kind, ending=ending)
        metrics.observe('ingress_request_seconds', took_s, kind=kind)
        if request.organisation is not None and not request.is_forwarded:
            metrics.count(
                'ingress_organisation_requests_total',
                organisation=request.organisation_name,
                ending=ending,
            )
        first_s = self.first_s
        if first_s is not None:
            metrics.observe('ingress_first_seconds', first_s, kind=kind)
            first_s = round(first_s, 4)
        log_change(
            'ingress:request_ended',
            request=request.id,
            route=request.route.name,
            service=request.service.name,
            organisation=request.organisation_name,
            handed_over=request.is_forwarded,
            ending=ending,
            took_s=round(took_s, 4),
            first_s=first_s,
            objective_s=request.route.objective_s,
            longest_gap_s=round(self.longest_gap_s, 3),
            gap_s=request.route.longest_gap_s,
            left_s=round(request.remaining_s(now_s), 3),
            choices=self.choices,
            attempts=self.attempts,
            reasons=progress.reasons,
            revision=revision,
            prompt_tokens=request.prompt.prompt_tokens,
            shared_tokens=request.prompt.shared_tokens,
            control_age_s=round(self.control_age_s, 2),
            stages=self.stages,
            first_tries=self.first_tries,
        )
