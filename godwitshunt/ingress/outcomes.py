"""Outcomes of attempts and the next steps of requests, without I/O."""

from dataclasses import dataclass, field

from godwitshunt.exchange.problems import Outcome, ProblemKind, WholeAnswer

# Attempts of any kind per request. Each refusal takes time, and after several
# of them the remaining candidates are unlikely to do better.
MAX_SENDS = 4
# Refusals by VMs that reach no upstream, beside these attempts.
MAX_USELESS_HOPS = 3
# Another attempt would not be answered in less time than this.
MIN_REMAINING_S = 0.05
NO_ATTEMPT = 'no attempt was made'


@dataclass(frozen=True)
class NotRun:
    """The request did not run, and this attempt will never run it.

    Parameters
    ----------
    reason : str
        For logs and metrics.
    arrived : bool
        True where an upstream received and refused it.
    is_final : bool
        True where it must not be sent elsewhere.
    has_no_paths : bool
        True where another VM refused it because that VM reaches no upstream.
    """

    reason: str
    arrived: bool = False
    is_final: bool = False
    has_no_paths: bool = False


@dataclass(frozen=True)
class Lost:
    """No whole answer was received, and the request may have run.

    Parameters
    ----------
    reason : str
        For logs and metrics.
    is_reported : bool
        True where another VM answered that the request was lost there.
    """

    reason: str
    is_reported: bool = False


@dataclass(frozen=True)
class Failed:
    """The upstream ran the request and answered with a failure."""

    answer: WholeAnswer


@dataclass(frozen=True)
class Answered:
    """A whole answer was received."""

    answer: WholeAnswer


@dataclass(frozen=True)
class Streamed:
    """A stream was relayed to its regular end."""


AttemptOutcome = NotRun | Lost | Failed | Answered | Streamed


@dataclass(frozen=True)
class Retry:
    """Make another attempt."""


@dataclass(frozen=True)
class Deliver:
    """Send the caller an upstream's answer."""

    answer: WholeAnswer


@dataclass(frozen=True)
class Finish:
    """Send the end of a stream."""


@dataclass(frozen=True)
class BreakOff:
    """Close the caller's connection within an answer."""


@dataclass(frozen=True)
class RefuseWith:
    """Send the caller a refusal by this system."""

    kind: ProblemKind
    detail: str
    outcome: Outcome


Step = Retry | Deliver | Finish | BreakOff | RefuseWith


@dataclass
class Progress:
    """Progress of a request over its attempts.

    Parameters
    ----------
    repeatable : bool
        True where the request may run more than once.
    attempts : int
        Attempts that may run it.
    runs : int
        Attempts that may have run it so far.
    sends : int
        Attempts of any kind so far.
    useless_hops : int
        Refusals by VMs that reach no upstream, up to the most that do not
        count as attempts.
    arrivals : int
        Attempts that reached an upstream.
    begun : bool
        True where the caller has been sent the head of an answer.
    fallback : WholeAnswer or None
        An upstream's failure, returned where no better answer is received.
    reasons : list of str
        Why each attempt did not succeed.
    last_outcome : str
        Kind of the last attempt's outcome, for logs and metrics.
    """

    repeatable: bool
    attempts: int
    runs: int = 0
    sends: int = 0
    useless_hops: int = 0
    arrivals: int = 0
    begun: bool = False
    fallback: WholeAnswer | None = None
    reasons: list[str] = field(default_factory=list)
    last_outcome: str = ''

    def next_step(self, outcome: AttemptOutcome, remaining_s: float) -> Step:
        """Record the outcome of an attempt; return the next step."""
        settled = self.record(outcome)
        return (
            self.retry_or_give_up(remaining_s) if settled is None else settled
        )

    def record(self, outcome: AttemptOutcome) -> Step | None:
        """Record the outcome of an attempt.

        Done at the end of the attempt: a deadline that passes later is told
        by what is recorded whether the request may have run.

        Returns
        -------
        Step or None
            The last step, None where another attempt may follow.
        """
        self.count_send(outcome)
        self.last_outcome = type(outcome).__name__
        match outcome:
            case Streamed():
                return Finish()
            case Answered(answer):
                return Deliver(answer)
            case NotRun(reason, arrived, is_final):
                self.arrivals += arrived
                self.reasons.append(reason)
                if is_final:
                    return self.refuse_quarantined(reason)
            case Failed(answer):
                self.record_run(f'status {answer.status}')
                self.fallback = answer
            case Lost(reason):
                self.record_run(reason)
        return None

    def retry_or_give_up(self, remaining_s: float) -> Step:
        """Return the step after an attempt that did not settle the request."""
        if self.may_retry(remaining_s):
            return Retry()
        return self.give_up()

    def count_send(self, outcome: AttemptOutcome) -> None:
        """Count an attempt; a few hops to VMs without paths are free."""
        is_useless = isinstance(outcome, NotRun) and outcome.has_no_paths
        if is_useless and self.useless_hops < MAX_USELESS_HOPS:
            self.useless_hops += 1
        else:
            self.sends += 1

    def record_run(self, reason: str) -> None:
        """Record an attempt that may have run."""
        self.runs += 1
        self.arrivals += 1
        self.reasons.append(reason)

    def may_retry(self, remaining_s: float) -> bool:
        """Tell whether another attempt is allowed and has enough time."""
        if self.sends >= MAX_SENDS or remaining_s < MIN_REMAINING_S:
            return False
        if not self.runs:
            return True
        return self.repeatable and self.runs < self.attempts

    def give_up(self) -> Step:
        """Return the last step of a request without an answer.

        The outcome is *not run* only where no attempt can have run: callers
        repeat such requests, which must not run twice.
        """
        if self.begun:
            return BreakOff()
        if self.fallback is not None:
            return Deliver(self.fallback)
        detail = ', '.join(self.reasons) or NO_ATTEMPT
        if self.runs:
            kind = ProblemKind.upstream_broken
            return RefuseWith(kind, detail, Outcome.unknown)
        return RefuseWith(ProblemKind.no_upstream, detail, Outcome.not_run)

    def refuse_quarantined(self, reason: str) -> Step:
        """Return the last step of a quarantined request."""
        if reason not in self.reasons:
            self.reasons.append(reason)
        step = self.give_up()
        is_refused = isinstance(step, RefuseWith)
        if is_refused and step.outcome is Outcome.not_run:
            return RefuseWith(ProblemKind.quarantined, reason, Outcome.not_run)
        return step

    def expire(self, *, in_flight: bool) -> Step:
        """Return the last step of a request whose deadline has passed."""
        if self.begun:
            return BreakOff()
        if self.fallback is not None:
            return Deliver(self.fallback)
        if self.runs or in_flight:
            detail = 'the deadline passed'
            return RefuseWith(ProblemKind.deadline, detail, Outcome.unknown)
        detail = 'the deadline passed before any attempt'
        return RefuseWith(ProblemKind.overloaded, detail, Outcome.not_run)
