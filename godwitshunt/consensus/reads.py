"""Reads that see every commit before them.

With a live lease the leader answers at once; else it waits until a quorum has
answered a message that was sent after the read was asked.
"""

from godwitshunt.consensus import lease, replication
from godwitshunt.consensus.events import ReadAsked, ReadReady, ReadRefused
from godwitshunt.consensus.failures import NotLeader
from godwitshunt.consensus.state import PendingRead, ReplicaState, Role


def ask(state: ReplicaState, event: ReadAsked, now_s: float) -> None:
    """Answer a read at once, or keep it until a quorum has answered."""
    if state.role is not Role.leader:
        refuse(state, event.number)
        return
    # A new leader knows what is committed only after its first own entry.
    index = max(state.commit_index, state.first_own_index)
    if lease.remaining_s(state, now_s) > 0:
        state.emit(ReadReady(event.number, index))
        return
    state.reads.append(PendingRead(event.number, index, now_s))
    replication.broadcast(state, now_s)


def release(state: ReplicaState, now_s: float) -> None:
    """Answer the reads that a quorum's replies now cover."""
    if not state.reads:
        return
    proven_s = lease.acknowledged_s(state, now_s)
    waiting = []
    for read in state.reads:
        if read.asked_s <= proven_s:
            state.emit(ReadReady(read.number, read.index))
        else:
            waiting.append(read)
    state.reads = waiting


def refuse(state: ReplicaState, number: int) -> None:
    """Refuse a read that only the leader can answer."""
    leader = None if state.leader is None else state.leader.name
    state.emit(ReadRefused(number, NotLeader(leader)))
