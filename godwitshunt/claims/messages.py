"""Claims on idempotency keys, and what a claim comes back with."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoredAnswer:
    """The whole answer of a call that ran, kept for resends of its key."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True)
class Granted:
    """A majority of holders recorded the claim: the call may run, once."""

    attempt: int


@dataclass(frozen=True)
class AlreadyAnswered:
    """The call ran and its answer was kept."""

    answer: StoredAnswer


@dataclass(frozen=True)
class InProgress:
    """Another attempt under the key is running now.

    Parameters
    ----------
    vm : str
        The entry VM that runs it.
    unresponsive : bool
        True where that VM does not answer: waiting on may be in vain.
    """

    vm: str
    unresponsive: bool = False


@dataclass(frozen=True)
class RunUnknown:
    """An attempt may have run and no answer is kept; it never runs again."""

    reason: str


@dataclass(frozen=True)
class KeyExpired:
    """The key's epoch is over and its claims are gone."""


@dataclass(frozen=True)
class KeyMalformed:
    """The key bears no stamp that the directory gave out."""


@dataclass(frozen=True)
class KeyReused:
    """The key was used before with another request."""


@dataclass(frozen=True)
class NoMajority:
    """Too few holders answered; this attempt runs nothing.

    Another VM's attempt under the same key may have run, so the outcome that
    the caller is told is unknown.
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
