"""The claimer's side, as pure logic: what holders' answers come to.

An attempt runs only with the votes of a majority, all of present lives. An
attempt that does not run is withdrawn. Where several attempts split the
votes, the one with the highest number goes on and the others withdraw, so
that one of them gets a majority.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from godwitshunt.claims.messages import (
    AlreadyAnswered,
    ClaimOutcome,
    InProgress,
    KeyExpired,
    KeyReused,
    NoMajority,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.standing import majority, of_present_lives
from godwitshunt.claims.verdicts import HolderAnswer, Verdict


@dataclass(frozen=True)
class Run:
    """A majority voted for this attempt."""


@dataclass(frozen=True)
class Wait:
    """Wait for further answers."""


@dataclass(frozen=True)
class AskAgain:
    """Every holder answered or failed: ask those once more, soon."""


@dataclass(frozen=True)
class Yield:
    """Withdraw: another attempt has a majority or goes before this one."""

    vm: str


@dataclass(frozen=True)
class ClaimAnew:
    """The attempt that was waited for has withdrawn: claim with a new one."""


@dataclass(frozen=True)
class End:
    """Withdraw, and tell the caller."""

    outcome: ClaimOutcome


ClaimStep = Run | Wait | AskAgain | Yield | ClaimAnew | End

Answers = Mapping[str, HolderAnswer]


def decide_claim(
    number: int,
    holder_count: int,
    answers: Answers,
    pending: int,
) -> ClaimStep:
    """Return what an attempt does next.

    Parameters
    ----------
    number : int
        The attempt's number.
    holder_count : int
        Holders of the key's generation.
    answers : mapping of str to HolderAnswer
        The newest answer of each holder.
    pending : int
        Holders that may still answer.
    """
    needed = majority(holder_count)
    granted = of_present_lives(
        {
            holder: answer.standing
            for holder, answer in answers.items()
            if answer.verdict is Verdict.granted and answer.standing
        },
    )
    if len(granted) >= needed:
        return Run()
    ending = final_outcome(holder_count, answers)
    if ending is not None:
        return End(ending)
    rivals = rival_votes(answers)
    strongest = max(rivals, key=rivals.get, default=None)
    if strongest is not None and rivals[strongest] >= needed:
        return Yield(rival_vm(strongest, answers))
    if pending:
        return Wait()
    highest = max(rivals, default=0)
    if highest > number:
        return Yield(rival_vm(highest, answers))
    return AskAgain()


def decide_wait(holder_count: int, answers: Answers) -> ClaimStep:
    """Return what an attempt that has yielded does next."""
    ending = final_outcome(holder_count, answers)
    if ending is not None:
        return End(ending)
    free = count_verdicts(answers, Verdict.free)
    if free >= majority(holder_count):
        return ClaimAnew()
    return Wait()


def decide_deadline(
    holder_count: int,
    answers: Answers,
    yielded_to: str | None,
) -> ClaimOutcome:
    """Return what the caller is told when time is up."""
    if yielded_to is not None:
        return InProgress(yielded_to)
    useful = [
        answer
        for answer in answers.values()
        if answer.verdict is not Verdict.abstained
    ]
    return NoMajority(len(useful), majority(holder_count))


def final_outcome(holder_count: int, answers: Answers) -> ClaimOutcome | None:
    """Return an outcome that no further answer can change."""
    for answer in answers.values():
        match answer.ending:
            case StoredAnswer():
                return AlreadyAnswered(answer.ending)
            case RunUnknown():
                return answer.ending
    if count_verdicts(answers, Verdict.reused):
        return KeyReused()
    expired = count_verdicts(answers, Verdict.expired)
    if holder_count - expired < majority(holder_count):
        return KeyExpired()
    return None


def count_verdicts(answers: Answers, verdict: Verdict) -> int:
    """Return how many holders gave a verdict."""
    return sum(answer.verdict is verdict for answer in answers.values())


def rival_votes(answers: Answers) -> Counter[int]:
    """Return the votes of each other attempt, by its number."""
    return Counter(
        answer.attempt
        for answer in answers.values()
        if answer.verdict is Verdict.held
    )


def rival_vm(number: int, answers: Answers) -> str:
    """Return the VM that another attempt belongs to."""
    return next(
        answer.vm
        for answer in answers.values()
        if answer.verdict is Verdict.held and answer.attempt == number
    )
