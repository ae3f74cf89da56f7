"""Events and actions of a request's life."""

from dataclasses import dataclass

from godwitshunt.claims.messages import ClaimOutcome, StoredAnswer
from godwitshunt.exchange.problems import Problem, WholeAnswer
from godwitshunt.routing.messages import Decision, Forward, Serve

Target = Serve | Forward


@dataclass(frozen=True)
class Admitted:
    """The request was read, its caller is known and within limits."""


@dataclass(frozen=True)
class ClaimSettled:
    """The claim holders answered."""

    outcome: ClaimOutcome


@dataclass(frozen=True)
class Decided:
    """The routing decision, checked against residency in force now."""

    decision: Decision


@dataclass(frozen=True)
class RetryDenied:
    """The retry budget is spent."""


@dataclass(frozen=True)
class PauseEnded:
    """A pause is over."""


@dataclass(frozen=True)
class AttemptFailed:
    """No answer came of an attempt.

    Parameters
    ----------
    sent : bool
        False only where the connection failed, which proves that nothing ran.
    reason : str
        For counters and the problem's detail.
    """

    sent: bool
    reason: str


@dataclass(frozen=True)
class NotRunTold:
    """The VM that the request was forwarded to refused it, not run."""

    problem: Problem


@dataclass(frozen=True)
class AnswerArrived:
    """A whole answer came, its length checked."""

    answer: WholeAnswer


@dataclass(frozen=True)
class HeadArrived:
    """A stream's head came."""


@dataclass(frozen=True)
class StreamEnded:
    """A stream came to its clean end and its final marker."""


@dataclass(frozen=True)
class StreamBroke:
    """A stream ended otherwise.

    Parameters
    ----------
    delivered : int
        Whole events that the caller has been sent, over all attempts.
    begun : bool
        True where the caller has been sent the head.
    reason : str
        For counters.
    """

    delivered: int
    begun: bool
    reason: str


@dataclass(frozen=True)
class DeadlinePassed:
    """The request's time is over."""


@dataclass(frozen=True)
class CallerGone:
    """The caller closed its connection."""


Event = (
    Admitted
    | ClaimSettled
    | Decided
    | RetryDenied
    | PauseEnded
    | AttemptFailed
    | NotRunTold
    | AnswerArrived
    | HeadArrived
    | StreamEnded
    | StreamBroke
    | DeadlinePassed
    | CallerGone
)


@dataclass(frozen=True)
class Claim:
    """Ask the holders for the right to run the call."""


@dataclass(frozen=True)
class Choose:
    """Ask for a routing decision on the newest revision.

    Parameters
    ----------
    excluded : frozenset of str
        Upstreams and VMs that failed this request.
    spend_retry : bool
        True where the attempt has to be paid from the retry budget.
    """

    excluded: frozenset[str]
    spend_retry: bool


@dataclass(frozen=True)
class Pause:
    """Wait before the next step; `PauseEnded` follows."""

    delay_s: float


@dataclass(frozen=True)
class Dispatch:
    """Send the request.

    Parameters
    ----------
    target : Serve or Forward
        An upstream here, or a VM of another region.
    resume_offset : int
        Whole events that the caller already has.
    """

    target: Target
    resume_offset: int


@dataclass(frozen=True)
class Relay:
    """Pass the stream on until it ends."""


@dataclass(frozen=True)
class SendWhole:
    """Send the caller a whole answer."""

    answer: WholeAnswer


@dataclass(frozen=True)
class SendKept:
    """Send the caller the answer that was kept for its key."""

    answer: StoredAnswer


@dataclass(frozen=True)
class RefuseWith:
    """Send the caller a refusal."""

    problem: Problem


@dataclass(frozen=True)
class EndStream:
    """Send the final chunk."""


@dataclass(frozen=True)
class BreakOff:
    """Close the caller's connection without a final chunk."""


@dataclass(frozen=True)
class CancelAttempt:
    """Close the connection of the attempt, which cancels it there."""


@dataclass(frozen=True)
class KeepAnswer:
    """Have the holders keep the answer for resends."""

    answer: WholeAnswer


@dataclass(frozen=True)
class ReleaseClaim:
    """Tell the holders that nothing ran: the key may be claimed again."""


@dataclass(frozen=True)
class AbandonClaim:
    """Tell the holders that the call may have run and no answer is kept."""


Action = (
    Claim
    | Choose
    | Pause
    | Dispatch
    | Relay
    | SendWhole
    | SendKept
    | RefuseWith
    | EndStream
    | BreakOff
    | CancelAttempt
    | KeepAnswer
    | ReleaseClaim
    | AbandonClaim
)
