"""Decisions of a claimant from the holders' answers, as pure functions.

An attempt runs only with the votes of a majority of holders, each cast in the
holder's current incarnation. An attempt that does not run is withdrawn. If
several attempts split the votes, the one with the highest number continues
and the others withdraw, so that one of them gets a majority.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from godwitshunt.claims.holder_status import current_statuses, majority
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
from godwitshunt.claims.verdicts import HolderAnswer, Verdict


@dataclass(frozen=True)
class Run:
    """A majority has voted for this attempt: run the call."""


@dataclass(frozen=True)
class Wait:
    """Wait for more answers."""


@dataclass(frozen=True)
class PollAgain:
    """Every holder answered or failed without a decision: poll again."""


@dataclass(frozen=True)
class Yield:
    """Withdraw in favour of another attempt, which runs on `vm`."""

    vm: str


@dataclass(frozen=True)
class StartNewAttempt:
    """The competing attempt was withdrawn: make a new attempt."""


@dataclass(frozen=True)
class End:
    """Withdraw and return the outcome to the caller."""

    outcome: ClaimOutcome


ClaimStep = Run | Wait | PollAgain | Yield | StartNewAttempt | End

Answers = Mapping[str, HolderAnswer]


def next_voting_step(
    number: int,
    holder_count: int,
    answers: Answers,
    pending: int,
) -> ClaimStep:
    """Return the next step of an attempt that collects votes.

    Parameters
    ----------
    number : int
        The attempt's number.
    holder_count : int
        Number of holders in the key's generation.
    answers : mapping of str to HolderAnswer
        The newest answer of each holder.
    pending : int
        Number of holders that may still answer.
    """
    needed = majority(holder_count)
    granted = current_statuses(
        {
            holder: answer.holder_status
            for holder, answer in answers.items()
            if answer.verdict is Verdict.granted and answer.holder_status
        },
    )
    if len(granted) >= needed:
        return Run()
    outcome = final_outcome(holder_count, answers)
    if outcome is not None:
        return End(outcome)
    competitors = competing_votes(answers)
    leading = max(competitors, key=competitors.get, default=None)
    if leading is not None and competitors[leading] >= needed:
        return Yield(competing_vm(leading, answers))
    if pending:
        return Wait()
    highest = max(competitors, default=0)
    if highest > number:
        return Yield(competing_vm(highest, answers))
    return PollAgain()


def next_waiting_step(holder_count: int, answers: Answers) -> ClaimStep:
    """Return the next step of a claim that waits for a competitor."""
    outcome = final_outcome(holder_count, answers)
    if outcome is not None:
        return End(outcome)
    free = count_verdicts(answers, Verdict.free)
    if free >= majority(holder_count):
        return StartNewAttempt()
    return Wait()


def outcome_at_deadline(
    holder_count: int,
    answers: Answers,
    yielded_to: str | None,
) -> ClaimOutcome:
    """Return the outcome of a claim whose deadline has passed."""
    if yielded_to is not None:
        return InProgress(yielded_to)
    votes = [
        answer
        for answer in answers.values()
        if answer.verdict is not Verdict.abstained
    ]
    return NoMajority(len(votes), majority(holder_count))


def final_outcome(holder_count: int, answers: Answers) -> ClaimOutcome | None:
    """Return an outcome that no further answer can change, or None."""
    for answer in answers.values():
        match answer.run_result:
            case StoredAnswer():
                return AlreadyAnswered(answer.run_result)
            case RunUnknown():
                return answer.run_result
    if count_verdicts(answers, Verdict.reused):
        return KeyReused()
    expired = count_verdicts(answers, Verdict.expired)
    if holder_count - expired < majority(holder_count):
        return KeyExpired()
    return None


def count_verdicts(answers: Answers, verdict: Verdict) -> int:
    """Return how many holders gave a verdict."""
    return sum(answer.verdict is verdict for answer in answers.values())


def competing_votes(answers: Answers) -> Counter[int]:
    """Return the votes for each other attempt, by attempt number."""
    return Counter(
        answer.attempt
        for answer in answers.values()
        if answer.verdict is Verdict.held
    )


def competing_vm(number: int, answers: Answers) -> str:
    """Return the VM that made a competing attempt."""
    return next(
        answer.vm
        for answer in answers.values()
        if answer.verdict is Verdict.held and answer.attempt == number
    )
