"""Requests to a holder and its answers."""

from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import RunUnknown, StoredAnswer


@dataclass(frozen=True)
class Attempt:
    """One attempt by one VM to run a call.

    Parameters
    ----------
    number : int
        Random number. Of attempts that split the votes, the one with the
        highest number continues.
    request_digest : bytes
        Digest of the request, equal for resends.
    """

    key: ClaimKey
    request_digest: bytes
    vm: str
    number: int


@dataclass(frozen=True)
class Claim:
    """Record the attempt unless another one is recorded."""

    attempt: Attempt


@dataclass(frozen=True)
class Query:
    """Return what is recorded without recording anything."""

    attempt: Attempt


@dataclass(frozen=True)
class Release:
    """Discard the attempt: it has not run and never will."""

    attempt: Attempt


@dataclass(frozen=True)
class Finish:
    """Record the run result of an attempt that ran or may have run."""

    attempt: Attempt
    run_result: StoredAnswer | RunUnknown


HolderRequest = Claim | Query | Release | Finish


class Verdict(IntEnum):
    """A holder's decision on a request.

    Attributes
    ----------
    granted
        The claim is recorded.
    held
        Another attempt is recorded for the key.
    free
        No attempt is recorded for the key.
    answered
        An attempt ran and its answer is stored.
    unknown
        An attempt may have run and no answer is stored.
    reused
        The key is recorded for a different request.
    expired
        The key's epoch is below the floor epoch; its claims may be dropped.
    done
        The release or run result is recorded.
    abstained
        The holder cannot decide.
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
    """A holder's verdict and its details.

    Parameters
    ----------
    holder_status : HolderStatus or None
        The holder's status when it gave the verdict.
    vm, attempt : str, int
        VM and number of the recorded attempt, for `held`, `answered` and
        `unknown`.
    run_result : StoredAnswer, RunUnknown or None
        Run result of the attempt, for `answered` and `unknown`.
    """

    verdict: Verdict
    holder_status: HolderStatus | None = None
    vm: str = ''
    attempt: int = 0
    run_result: StoredAnswer | RunUnknown | None = None
