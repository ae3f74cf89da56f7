"""Which change of members a leader should make next, without an operator.

Pure: a leader that follows these rules never takes out a voter that is alive
while its place would stay empty. Silence alone proves nothing, since a cut
looks the same; a VM that answers with another folder proves that the folder
before is gone.
"""

from dataclasses import dataclass, field, replace

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
    confirmed : bool
        Whether the leader called the address of the member that this replica
        replaces, and it answered. A request to join may be old when it is
        read; an answer is newer than the call.
    """

    replica: ReplicaId
    address: Address
    heard_s: float
    confirmed: bool = False


@dataclass
class Candidates:
    """Replicas that asked to join, one for each VM.

    Parameters
    ----------
    options : HealingOptions
        How long one counts as alive.
    """

    options: HealingOptions
    by_name: dict[str, Candidate] = field(default_factory=dict)

    def note(self, candidate: Candidate) -> None:
        """Note a candidate; a late request replaces no confirmed one."""
        name = candidate.replica.name
        known = self.by_name.get(name)
        if known is not None and known.confirmed and not candidate.confirmed:
            if known.replica == candidate.replica:
                self.by_name[name] = replace(known, heard_s=candidate.heard_s)
                return
            if self.is_alive(known, candidate.heard_s):
                return
        self.by_name[name] = candidate

    def alive(self, now_s: float) -> tuple[Candidate, ...]:
        """Return the candidates that asked lately; forget the others."""
        self.by_name = {
            name: one
            for name, one in self.by_name.items()
            if self.is_alive(one, now_s)
        }
        return tuple(self.by_name.values())

    def is_alive(self, candidate: Candidate, now_s: float) -> bool:
        """Tell whether a candidate asked lately."""
        return now_s - candidate.heard_s <= self.options.candidate_s


def next_change(
    members: tuple[MemberStatus, ...],
    alive: tuple[Candidate, ...],
    options: HealingOptions,
) -> MemberChange | None:
    """Return the one change to make now; None where nothing is to be done.

    Parameters
    ----------
    members : tuple of MemberStatus
        As the leader knows them.
    alive : tuple of Candidate
        Replicas that asked to join lately.
    options : HealingOptions
        Sizes and durations.
    """
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
    such voters of five, and the next loss ends the quorum. Where the answer
    is not confirmed the member must be silent, too, so that a late message of
    an older folder takes nobody out.
    """
    by_name = {one.replica.name: one for one in alive}
    for member in members:
        newer = by_name.get(member.replica.name)
        if newer is None or newer.replica == member.replica:
            continue
        if newer.confirmed or is_silent(member, options.candidate_s / 2):
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
