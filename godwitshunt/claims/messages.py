"""Outcomes of a claim on an idempotency key."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoredAnswer:
    """The complete answer to a call that ran, stored for resends of its key."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True)
class Granted:
    """A majority of holders recorded the claim: the call may run once."""

    attempt: int


@dataclass(frozen=True)
class AlreadyAnswered:
    """The call ran and its answer is stored."""

    answer: StoredAnswer


@dataclass(frozen=True)
class InProgress:
    """Another attempt under the key is running.

    Parameters
    ----------
    vm : str
        The VM that runs the attempt.
    unresponsive : bool
        True if that VM does not reply, so that waiting longer may not help.
    """

    vm: str
    unresponsive: bool = False


@dataclass(frozen=True)
class RunUnknown:
    """An attempt may have run and no answer is stored; no other may run."""

    reason: str


@dataclass(frozen=True)
class KeyExpired:
    """The key's epoch has expired and its claims have been dropped."""


@dataclass(frozen=True)
class KeyMalformed:
    """The key does not start with a well-formed key stamp."""


@dataclass(frozen=True)
class KeyReused:
    """The key was already used with a different request."""


@dataclass(frozen=True)
class NoMajority:
    """Too few holders answered; this attempt does not run.

    An attempt of another VM under the same key may have run, so the outcome
    reported to the caller is unknown.

    Parameters
    ----------
    answered : int
        Holders that answered without abstaining.
    needed : int
        Size of a majority.
    """

    answered: int
    needed: int


ClaimOutcome = (
    Granted
    | AlreadyAnswered
    | InProgress
    | RunUnknown
    | KeyExpired
    | KeyMalformed
    | KeyReused
    | NoMajority
)
