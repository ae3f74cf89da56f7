"""What a holder is asked, and what it answers."""

from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import RunUnknown, StoredAnswer
from godwitshunt.claims.standing import Standing


@dataclass(frozen=True)
class Attempt:
    """One attempt of one VM to run a call.

    Parameters
    ----------
    number : int
        Drawn at random for each attempt; of two that split the votes, the
        higher goes on.
    request_digest : bytes
        Digest of the request, equal for true resends.
    """

    key: ClaimKey
    request_digest: bytes
    vm: str
    number: int


@dataclass(frozen=True)
class Claim:
    """Record the attempt, unless another one is recorded."""

    attempt: Attempt


@dataclass(frozen=True)
class Query:
    """Tell what is recorded, and record nothing."""

    attempt: Attempt


@dataclass(frozen=True)
class Release:
    """Forget the attempt: it has not run and never will."""

    attempt: Attempt


@dataclass(frozen=True)
class Finish:
    """The attempt ran, and this came of it."""

    attempt: Attempt
    ending: StoredAnswer | RunUnknown


HolderRequest = Claim | Query | Release | Finish


class Verdict(IntEnum):
    """A holder's answer.

    `granted` to a claim: recorded. `held`: by another attempt. `free`: by
    none. `answered`, `unknown`: an attempt ran. `reused`: by another request.
    `expired`: below the floor, so that claims may have been dropped. `done`:
    a release or a finish was recorded. `abstained`: it cannot tell.
    """

    granted = 1
    held = 2
    free = 3
    answered = 4
    unknown = 5
    reused = 6
    expired = 7
    done = 8
    abstained = 9


@dataclass(frozen=True)
class HolderAnswer:
    """A holder's verdict and what belongs to it.

    Parameters
    ----------
    standing : Standing or None
        The holder's standing when it gave the verdict.
    vm, attempt : str, int
        Whose attempt is recorded, for `held`.
    ending : StoredAnswer, RunUnknown or None
        What came of the attempt, for `answered` and `unknown`.
    """

    verdict: Verdict
    standing: Standing | None = None
    vm: str = ''
    attempt: int = 0
    ending: StoredAnswer | RunUnknown | None = None
