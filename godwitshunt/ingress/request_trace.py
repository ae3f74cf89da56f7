"""What a request went through, for its one log line and for counters."""

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
from godwitshunt.telemetry import Metrics, log_change


class Stage(StrEnum):
    """What a request has reached for the first time.

    `admitted`: its route and its key are known; `placed`: it is known where
    it goes; `connected`: there is a connection to it; `sent`: it is written
    out; `heard`: the head of an answer has come.
    """

    admitted = 'admitted'
    placed = 'placed'
    connected = 'connected'
    sent = 'sent'
    heard = 'heard'


@dataclass
class RequestAccount:
    """Choices, attempts and times of one request.

    Parameters
    ----------
    choices : list of str
        Where it was to go, and from which candidates, best first.
    attempts : list of str
        Where it went, and what became of that.
    first_s : float or None
        Seconds until the caller got the first of its answer.
    longest_gap_s : float
        Longest pause between bytes of the caller's stream.
    control_age_s : float
        Age of what control told when the last choice was made, in seconds.
    stages : dict
        Milliseconds from its arrival to each stage.
    """

    request: RoutedRequest
    choices: list[str] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    first_s: float | None = None
    heard_s: float | None = None
    longest_gap_s: float = 0.0
    control_age_s: float = 0.0
    stages: dict[str, float] = field(default_factory=dict)

    def note_stage(self, stage: Stage, now_s: float) -> None:
        """Note when a stage is reached for the first time."""
        if stage not in self.stages:
            took_s = now_s - self.request.arrived_s
            self.stages[stage.value] = round(took_s * MILLISECONDS, 1)

    def note_choice(self, choice: Choice, control_age_s: float) -> None:
        """Note a choice with its candidates, and how old its news was."""
        self.control_age_s = control_age_s
        match choice:
            case SendHere(upstream=upstream):
                place = upstream.announcement.incarnation
            case HandOver(entry=entry):
                place = f'{entry.region}/{entry.name}'
            case NoPlace(overloaded=overloaded):
                place = 'overloaded' if overloaded else 'no upstream'
            case Limited():
                place = 'limited'
        candidates = ' '.join(map(describe_candidate, choice.ranked))
        if isinstance(choice, NoPlace) and choice.exclusions:
            candidates = f'none: {", ".join(choice.exclusions)}'
        candidates = candidates or 'none'
        self.choices.append(f'{place} of {candidates}')

    def note_attempt(
        self,
        place: str,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Note an attempt; None where the request ended under way."""
        became = 'ended' if outcome is None else type(outcome).__name__
        self.attempts.append(f'{place}:{became}')

    def record_first_try(self, now_s: float) -> None:
        """Note when the caller gets the first of its answer."""
        if self.first_s is None:
            self.first_s = now_s - self.request.arrived_s

    def note_bytes(self, now_s: float) -> None:
        """Note that bytes of the caller's stream came."""
        if self.heard_s is not None:
            gap_s = now_s - self.heard_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.heard_s = now_s

    def close(
        self,
        ending: str,
        progress: Progress,
        revision: int,
        metrics: Metrics,
        now_s: float,
    ) -> None:
        """Log and count how the request ended."""
        request = self.request
        took_s = now_s - request.arrived_s
        kind = request.route.kind.value
        metrics.count('ingress_requests_total', kind=kind, ending=ending)
        metrics.observe('ingress_request_seconds', took_s, kind=kind)
        if request.organisation is not None and not request.handed_over:
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
            handed_over=request.handed_over,
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
        )
