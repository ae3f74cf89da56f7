"""Snapshots: compaction of the own log, and sending them in chunks."""

from godwitshunt.consensus.events import (
    InstallState,
    SaveSnapshot,
    SnapshotTaken,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import (
    AppendReply,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from godwitshunt.consensus.roles import hear_leader
from godwitshunt.consensus.state import IncomingSnapshot, ReplicaState, Role


def handle_taken(state: ReplicaState, event: SnapshotTaken) -> None:
    """Keep a snapshot of the own state machine, and compact the log."""
    term = state.log.term_at(event.index)
    if term is None or event.index > state.applied_index:
        return
    if state.snapshot is not None and event.index <= state.snapshot.index:
        return
    state.snapshot = Snapshot(
        index=event.index,
        term=term,
        membership=state.membership_at(event.index),
        state=event.state,
    )
    state.log.compact(event.index - state.options.retained_entries)
    forget_configurations(state)
    save(state)


def forget_configurations(state: ReplicaState) -> None:
    """Drop memberships that the snapshot's has replaced."""
    snapshot = state.snapshot
    later = [one for one in state.configurations if one[0] > snapshot.index]
    state.configurations = [(snapshot.index, snapshot.membership), *later]


def save(state: ReplicaState) -> None:
    """Have the snapshot and the entries that are left put on disk."""
    log = state.log
    state.emit(
        SaveSnapshot(
            snapshot=state.snapshot,
            base_index=log.base_index,
            base_term=log.base_term,
            entries=tuple(log.entries),
        ),
    )


def send_chunk(state: ReplicaState, receiver: ReplicaId, now_s: float) -> None:
    """Send the part of the snapshot that a member has not yet."""
    progress = state.progress[receiver]
    snapshot = state.snapshot
    start = min(progress.chunk_offset, len(snapshot.state))
    state.send(
        SnapshotChunk(
            header=state.header(receiver),
            index=snapshot.index,
            index_term=snapshot.term,
            membership=snapshot.membership,
            offset=start,
            total=len(snapshot.state),
            chunk=snapshot.state[start : start + state.options.chunk_bytes],
            sent_s=now_s,
        ),
    )


def handle_chunk(
    state: ReplicaState,
    chunk: SnapshotChunk,
    now_s: float,
) -> None:
    """Take a part of a leader's snapshot; install it once it is whole."""
    if chunk.header.term < state.term:
        answer(state, chunk, success=False, index=state.log.last_index)
        return
    hear_leader(state, chunk.header.sender, now_s)
    if chunk.index <= state.commit_index:
        answer(state, chunk, success=True, index=state.commit_index)
        return
    incoming = incoming_for(state, chunk)
    if chunk.offset == len(incoming.received):
        incoming.received.extend(chunk.chunk)
    if len(incoming.received) >= chunk.total:
        install(state, chunk)
        return
    state.send(
        SnapshotReply(
            header=state.header(chunk.header.sender),
            index=chunk.index,
            offset=len(incoming.received),
            sent_s=chunk.sent_s,
        ),
    )


def incoming_for(state: ReplicaState, chunk: SnapshotChunk) -> IncomingSnapshot:
    """Return the snapshot under way; a new one where another has begun."""
    incoming = state.incoming
    if incoming is None or incoming.index != chunk.index:
        incoming = IncomingSnapshot(chunk.index)
        state.incoming = incoming
    return incoming


def install(state: ReplicaState, chunk: SnapshotChunk) -> None:
    """Go on from a whole snapshot; entries after it are kept if they match."""
    snapshot = Snapshot(
        index=chunk.index,
        term=chunk.index_term,
        membership=chunk.membership,
        state=bytes(state.incoming.received),
    )
    state.incoming = None
    state.snapshot = snapshot
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
        forget_configurations(state)
    else:
        state.log.reset(snapshot.index, snapshot.term)
        state.configurations = [(snapshot.index, snapshot.membership)]
    state.synced_index = min(state.synced_index, state.log.last_index)
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    save(state)
    state.emit(InstallState(snapshot))
    answer(state, chunk, success=True, index=snapshot.index)


def answer(
    state: ReplicaState,
    chunk: SnapshotChunk,
    success: bool,
    index: int,
) -> None:
    """Tell the leader how far the log matches."""
    state.send(
        AppendReply(
            header=state.header(chunk.header.sender),
            success=success,
            index=index,
            sent_s=chunk.sent_s,
        ),
    )


def handle_reply(
    state: ReplicaState,
    reply: SnapshotReply,
    now_s: float,
) -> None:
    """Send a member the next part."""
    progress = state.progress.get(reply.header.sender)
    if state.role is not Role.leader or progress is None:
        return
    progress.note_answer(reply.sent_s)
    if state.snapshot is None or reply.index != state.snapshot.index:
        progress.chunk_offset = 0
        return
    progress.chunk_offset = reply.offset
    if state.log.term_at(progress.next_index - 1) is None:
        send_chunk(state, reply.header.sender, now_s)
