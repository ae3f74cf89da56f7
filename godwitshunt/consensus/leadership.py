"""A leader's hold on its term: its first entry, check-quorum, heartbeats."""

from godwitshunt.consensus import lease, replication
from godwitshunt.consensus.messages import EntryKind
from godwitshunt.consensus.roles import become_follower
from godwitshunt.consensus.state import Progress, ReplicaState, Role


def become_leader(state: ReplicaState, now_s: float) -> None:
    """Lead the term that a majority has voted for.

    The empty entry commits what earlier terms left: an entry of an earlier
    term must not be counted as committed by its copies alone.
    """
    state.role = Role.leader
    state.leader = state.identity
    state.leader_since_s = now_s
    state.proof_s = max(state.proof_s, state.campaign_s)
    state.first_own_index = state.log.last_index + 1
    state.progress = {
        other: Progress(next_index=state.first_own_index)
        for other in state.others
    }
    replication.append_own(state, ((EntryKind.no_op, b''),), now_s)


def tick_leader(state: ReplicaState, now_s: float) -> None:
    """Step down without a quorum, else send the heartbeat that is due."""
    if lease.silence_s(state, now_s) > state.options.election_timeout_s:
        # A leader that is cut off would else be taken for one without end.
        become_follower(state, state.term, None, now_s)
        return
    if now_s >= state.heartbeat_due_s:
        replication.broadcast(state, now_s)
