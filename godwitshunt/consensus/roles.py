"""Becoming a follower, and hearing a leader."""

from godwitshunt.consensus import lease
from godwitshunt.consensus.events import ReadRefused
from godwitshunt.consensus.failures import NotLeader
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.state import ReplicaState, Role


def become_follower(
    state: ReplicaState,
    term: int,
    leader: ReplicaId | None,
    now_s: float,
) -> None:
    """Follow in a term, which becomes the replica's own where it is higher."""
    if state.role is Role.leader:
        leave_leadership(state, now_s)
    if term > state.term:
        state.term = term
        state.voted_for = None
        state.leader = None
        state.save_vote()
    if leader != state.leader:
        # Send times of another leader mean nothing beside this one's.
        state.replied.clear()
        state.incoming = None
    state.role = Role.follower
    state.leader = leader
    state.votes.clear()


def leave_leadership(state: ReplicaState, now_s: float) -> None:
    """Refuse the waiting reads, and keep what is known of the quorum."""
    state.proof_s = now_s - lease.proof_age_s(state, now_s)
    for read in state.reads:
        state.emit(ReadRefused(read.number, NotLeader(None)))
    state.reads.clear()
    state.progress.clear()
    state.draw_election_due(now_s)


def hear_leader(state: ReplicaState, leader: ReplicaId, now_s: float) -> None:
    """Note a message of this term's leader."""
    become_follower(state, state.term, leader, now_s)
    state.heard_s = now_s
    state.draw_election_due(now_s)
