"""A leader's lease and the age of its quorum proof, on its own clock.

References
----------
Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4.1.
"""

from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.state import NEVER, ReplicaState, Role


def acknowledged_s(state: ReplicaState, now_s: float) -> float:
    """Return when the newest message was sent that a quorum has answered."""
    times = sorted(
        (
            voter_acknowledged_s(state, voter, now_s)
            for voter in state.membership.voters
        ),
        reverse=True,
    )
    quorum = state.membership.quorum
    return times[quorum - 1] if len(times) >= quorum else NEVER


def voter_acknowledged_s(
    state: ReplicaState,
    voter: ReplicaId,
    now_s: float,
) -> float:
    """Return when the newest message was sent that a voter has answered."""
    if voter == state.identity:
        return now_s
    progress = state.progress.get(voter)
    return NEVER if progress is None else progress.acknowledged_s


def silence_s(state: ReplicaState, now_s: float) -> float:
    """Return how long a leader has led without a quorum's answers."""
    newest_s = max(acknowledged_s(state, now_s), state.leader_since_s)
    return max(0.0, now_s - newest_s)


def proof_age_s(state: ReplicaState, now_s: float) -> float:
    """Return the seconds since a quorum was last proven alive."""
    proof_s = state.proof_s
    if state.role is Role.leader:
        proof_s = max(proof_s, acknowledged_s(state, now_s))
    return max(0.0, now_s - proof_s)


def remaining_s(state: ReplicaState, now_s: float) -> float:
    """Return how long no other replica can lead, in seconds; 0 for none.

    The lease counts from when the answered message was *sent*: a follower
    gives no vote for an election timeout from when it came.
    """
    if state.role is not Role.leader:
        return 0.0
    until_s = acknowledged_s(state, now_s) + state.options.lease_s
    return max(0.0, until_s - now_s)
