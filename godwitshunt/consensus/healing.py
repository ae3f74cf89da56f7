"""Which change of members a leader should make next, without an operator.

Pure: a leader that follows these rules never takes out a voter that is alive
while its place would stay empty. Silence alone proves nothing, since a cut
looks the same; a VM that answers with another folder proves that the folder
before is gone.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitshunt.consensus.events import (
    AddLearner,
    MemberChange,
    PromoteLearner,
    RemoveMember,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.status import MemberStatus
from godwitshunt.settings import Address


@dataclass(frozen=True)
class HealingOptions:
    """How many voters, and how patient a leader is.

    Parameters
    ----------
    voters : int
        Voters of a whole cluster: five bear the loss of any two.
    silent_voter_s : float
        Seconds of silence after which a spare takes a voter's place. Above
        two election timeouts, so that a busy voter keeps its place; below the
        four seconds after which users count a replaced VM as healthy.
    silent_learner_s : float
        Seconds of silence after which a learner is forgotten.
    candidate_s : float
        Seconds for which a replica that asked to join counts as alive.
    """

    voters: int = 5
    silent_voter_s: float = 2.5
    silent_learner_s: float = 15.0
    candidate_s: float = 2.0


@dataclass(frozen=True)
class Candidate:
    """A replica that asked to join.

    Parameters
    ----------
    heard_s : float
        When it asked last, on the leader's monotonic clock.
    """

    replica: ReplicaId
    address: Address
    heard_s: float


def next_change(
    members: tuple[MemberStatus, ...],
    candidates: Iterable[Candidate],
    options: HealingOptions,
    now_s: float,
) -> MemberChange | None:
    """Return the one change to make now; None where nothing is to be done.

    Parameters
    ----------
    members : tuple of MemberStatus
        As the leader knows them.
    candidates : iterable of Candidate
        Replicas that asked to join.
    options : HealingOptions
        Sizes and durations.
    now_s : float
        Seconds on the leader's monotonic clock.
    """
    alive = tuple(
        one for one in candidates if now_s - one.heard_s <= options.candidate_s
    )
    due = (
        remove_proven_gone(members, alive, options),
        promote_caught_up(members, options),
        remove_replaced(members, options),
        admit(members, alive),
        forget_learner(members, options),
    )
    return next((change for change in due if change is not None), None)


def remove_proven_gone(
    members: tuple[MemberStatus, ...],
    alive: tuple[Candidate, ...],
    options: HealingOptions,
) -> MemberChange | None:
    """Take out a folder whose VM answers with another one.

    Left in, it counts for majorities that it can never be part of again: two
    such voters of five, and the next loss ends the quorum. The member must be
    silent, too, so that a late message of an older folder takes nobody out.
    """
    by_name = {one.replica.name: one.replica for one in alive}
    for member in members:
        newer = by_name.get(member.replica.name)
        if newer is None or newer == member.replica:
            continue
        if is_silent(member, options.candidate_s / 2):
            return RemoveMember(member.replica)
    return None


def promote_caught_up(
    members: tuple[MemberStatus, ...],
    options: HealingOptions,
) -> MemberChange | None:
    """Make a learner a voter where a place is free or its voter is silent."""
    voters = [one for one in members if one.voter]
    silent = [one for one in voters if is_silent(one, options.silent_voter_s)]
    is_whole = len(voters) - len(silent) >= options.voters
    # One replacement at a time: with a voter more than planned, the silent
    # one it replaces goes first.
    if is_whole or len(voters) > options.voters:
        return None
    for member in members:
        if not member.voter and member.caught_up:
            return PromoteLearner(member.replica)
    return None


def remove_replaced(
    members: tuple[MemberStatus, ...],
    options: HealingOptions,
) -> MemberChange | None:
    """Take out the most silent voter once another stands in its place."""
    voters = [one for one in members if one.voter]
    if len(voters) <= options.voters:
        return None
    silent = [one for one in voters if is_silent(one, options.silent_voter_s)]
    if not silent:
        return None
    longest = max(silent, key=lambda one: one.silent_s)
    return RemoveMember(longest.replica)


def admit(
    members: tuple[MemberStatus, ...],
    alive: tuple[Candidate, ...],
) -> MemberChange | None:
    """Let a replica that asked to join get the log."""
    known = {one.replica for one in members}
    for candidate in alive:
        if candidate.replica not in known:
            return AddLearner(candidate.replica, candidate.address)
    return None


def forget_learner(
    members: tuple[MemberStatus, ...],
    options: HealingOptions,
) -> MemberChange | None:
    """Send the log no longer to a learner that is gone."""
    for member in members:
        if not member.voter and is_silent(member, options.silent_learner_s):
            return RemoveMember(member.replica)
    return None


def is_silent(member: MemberStatus, limit_s: float) -> bool:
    """Tell whether a member has not answered its leader for so long."""
    return member.silent_s is not None and member.silent_s > limit_s
