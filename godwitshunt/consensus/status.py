"""What a replica tells of itself and of the other members."""

from dataclasses import dataclass

from godwitshunt.consensus import lease, voters
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.state import NEVER, ReplicaState, Role
from godwitshunt.settings import Address


@dataclass(frozen=True)
class Committed:
    """A proposal is committed and applied here."""

    index: int


@dataclass(frozen=True)
class Identity:
    """Who answers at an address.

    Parameters
    ----------
    replica : ReplicaId
        Name and incarnation.
    unused : bool
        Whether its folder holds no log yet.
    """

    replica: ReplicaId
    unused: bool


@dataclass(frozen=True)
class Leadership:
    """Who leads, as one replica knows it.

    Parameters
    ----------
    name : str or None
        The leader's name; None where none is known.
    term : int
        This replica's term.
    is_leader : bool
        Whether this replica leads.
    lease_remaining_s : float
        Seconds for which no other replica can lead; 0 where this replica does
        not lead or has no live quorum lease. Orders and answers that claim to
        be current need more than 0.
    quorum_age_s : float
        Seconds since a quorum was last proven alive; infinite where it never
        was since the start.
    """

    name: str | None
    term: int
    is_leader: bool
    lease_remaining_s: float
    quorum_age_s: float


@dataclass(frozen=True)
class MemberStatus:
    """A member, as one replica knows it.

    Parameters
    ----------
    missing : int or None
        Entries of the leader's log that it lacks; None where this replica
        does not lead.
    silent_s : float or None
        Seconds since a message was sent that it has answered; None where
        this replica does not lead.
    caught_up : bool
        Whether a learner could become a voter now.
    """

    replica: ReplicaId
    address: Address
    voter: bool
    missing: int | None
    silent_s: float | None
    caught_up: bool


def leadership(state: ReplicaState, now_s: float) -> Leadership:
    """Return who leads, as a replica knows it."""
    return Leadership(
        name=None if state.leader is None else state.leader.name,
        term=state.term,
        is_leader=state.role is Role.leader,
        lease_remaining_s=lease.remaining_s(state, now_s),
        quorum_age_s=lease.proof_age_s(state, now_s),
    )


def members(state: ReplicaState, now_s: float) -> tuple[MemberStatus, ...]:
    """Return every member, as a replica knows it."""
    return tuple(
        MemberStatus(
            replica=one.replica,
            address=one.address,
            voter=one.voter,
            missing=missing(state, one.replica),
            silent_s=silent_s(state, one.replica, now_s),
            caught_up=is_caught_up(state, one.replica, now_s),
        )
        for one in state.membership.members
    )


def missing(state: ReplicaState, replica: ReplicaId) -> int | None:
    """Return how many entries of the leader's log a member lacks."""
    if state.role is not Role.leader:
        return None
    if replica == state.identity:
        return 0
    return state.log.last_index - state.progress[replica].match_index


def silent_s(
    state: ReplicaState,
    replica: ReplicaId,
    now_s: float,
) -> float | None:
    """Return how long a member has not answered its leader, in seconds."""
    if state.role is not Role.leader:
        return None
    return now_s - lease.voter_acknowledged_s(state, replica, now_s)


def is_caught_up(
    state: ReplicaState,
    replica: ReplicaId,
    now_s: float,
) -> bool:
    """Tell whether a learner could become a voter now."""
    if state.role is not Role.leader:
        return False
    return voters.promotion_refusal(state, replica, now_s) is None


def survives_one_loss(state: ReplicaState, now_s: float) -> bool:
    """Tell whether the log would go on after the loss of any one voter.

    True only on a leader whose voters, less the one of them that answers
    best, still hold a majority that answers and has every committed entry.
    """
    if state.role is not Role.leader:
        return False
    timeout_s = state.options.election_timeout_s
    alive = 0
    for member in members(state, now_s):
        behind = max(0, member.missing - uncommitted(state))
        if member.voter and member.silent_s <= timeout_s and not behind:
            alive += 1
    return alive > state.membership.quorum


def uncommitted(state: ReplicaState) -> int:
    """Return how many entries of the own log are not committed."""
    return state.log.last_index - state.commit_index


UNKNOWN = Leadership(
    name=None,
    term=0,
    is_leader=False,
    lease_remaining_s=0.0,
    quorum_age_s=-NEVER,
)
