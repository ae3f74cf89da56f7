"""Where a request stands, and what never changes while it lives."""

from dataclasses import dataclass
from enum import Enum, auto

from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.problems import Problem


class Phase(Enum):
    """What a request waits for."""

    new = auto()
    claiming = auto()
    choosing = auto()
    sending = auto()
    relaying = auto()
    ended = auto()


@dataclass(frozen=True)
class RequestFacts:
    """What does not change while a request lives.

    Parameters
    ----------
    repeatable : bool
        True where running the call twice does no harm.
    claimed : bool
        True where it must be claimed under its key before it is sent.
    forwarded : bool
        True where another VM sent it here; that VM holds the claim.
    """

    repeatable: bool
    claimed: bool = False
    forwarded: bool = False


@dataclass(frozen=True)
class RequestState:
    """Where a request stands.

    Parameters
    ----------
    holds_claim : bool
        True from the holders' grant on.
    may_have_run : bool
        True from the first byte that went to an upstream without proof that
        nothing ran.
    begun : bool
        True where the caller has been sent the head of an answer.
    delivered : int
        Whole events of a stream that the caller has.
    target : Serve, Forward or None
        Where the present attempt went.
    excluded : frozenset of str
        Upstreams and VMs that failed this request.
    """

    facts: RequestFacts
    phase: Phase = Phase.new
    holds_claim: bool = False
    may_have_run: bool = False
    begun: bool = False
    delivered: int = 0
    attempts: int = 0
    polls: int = 0
    target: msg.Target | None = None
    excluded: frozenset[str] = frozenset()
    last_problem: Problem | None = None


@dataclass
class UnexpectedEventError(Exception):
    """An event that cannot come in this phase: a fault of the task."""

    phase: Phase
    event: msg.Event
