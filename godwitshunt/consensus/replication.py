"""Replication of entries, from both sides, and what counts as committed."""

from godwitshunt.consensus import lease, snapshots
from godwitshunt.consensus.codec import decode_membership
from godwitshunt.consensus.events import SaveEntries, Synced
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
)
from godwitshunt.consensus.roles import become_follower, hear_leader
from godwitshunt.consensus.state import Progress, ReplicaState, Role

REPLIES_REMEMBERED = 32


def append_own(
    state: ReplicaState,
    payloads: tuple[tuple[EntryKind, bytes], ...],
    now_s: float,
) -> tuple[Entry, ...]:
    """Append a leader's new entries, send them, and have them saved.

    They are sent before the own save, so that both disks work at once; the
    own copy counts only after `Synced`.
    """
    first = state.log.last_index + 1
    entries = tuple(
        Entry(first + offset, state.term, kind, payload)
        for offset, (kind, payload) in enumerate(payloads)
    )
    take_entries(state, entries)
    follow_membership(state)
    broadcast(state, now_s)
    state.emit(SaveEntries(entries))
    return entries


def take_entries(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    """Put entries into the log, and take up the memberships they state."""
    first = entries[0].index
    state.log.append(entries)
    state.synced_index = min(state.synced_index, first - 1)
    while state.configurations[-1][0] >= first:
        state.configurations.pop()
    for entry in entries:
        if entry.kind is EntryKind.membership:
            membership = decode_membership(entry.payload)
            state.configurations.append((entry.index, membership))


def follow_membership(state: ReplicaState) -> None:
    """Keep the progress of exactly the other members."""
    others = state.others
    for gone in set(state.progress).difference(others):
        state.progress.pop(gone)
    for other in others:
        state.progress.setdefault(other, Progress(state.log.last_index))


def broadcast(state: ReplicaState, now_s: float) -> None:
    """Send what each other member lacks; to the others, a heartbeat."""
    state.heartbeat_due_s = now_s + state.options.heartbeat_s
    for other in state.others:
        send_entries(state, other, now_s)


def send_entries(
    state: ReplicaState,
    receiver: ReplicaId,
    now_s: float,
) -> None:
    """Send a member the entries after those it was sent."""
    progress = state.progress[receiver]
    prev_index = progress.next_index - 1
    prev_term = state.log.term_at(prev_index)
    if prev_term is None:
        snapshots.send_chunk(state, receiver, now_s)
        return
    entries = state.log.batch(progress.next_index, state.options.append_bytes)
    progress.next_index += len(entries)
    state.send(
        AppendRequest(
            header=state.header(receiver),
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit_index=state.commit_index,
            sent_s=now_s,
            acknowledged_s=progress.acknowledged_s,
            quorum_age_s=lease.proof_age_s(state, now_s),
        ),
    )


def handle_append_request(
    state: ReplicaState,
    request: AppendRequest,
    now_s: float,
) -> None:
    """Take a leader's entries; the reply waits until they are on disk."""
    if request.header.term < state.term:
        reply(state, request, success=False, index=state.log.last_index)
        return
    hear_leader(state, request.header.sender, now_s)
    note_proof(state, request, now_s)
    mismatch = next_to_try(state, request)
    if mismatch is not None:
        reply(state, request, success=False, index=mismatch)
        return
    take_missing(state, request.entries)
    last = request.prev_index + len(request.entries)
    state.commit_to(min(request.commit_index, last))
    reply(state, request, success=True, index=last)


def next_to_try(state: ReplicaState, request: AppendRequest) -> int | None:
    """Return where the leader should look for a match, None on a match."""
    if request.prev_index <= state.commit_index:
        return None
    term = state.log.term_at(request.prev_index)
    if term == request.prev_term:
        return None
    if term is None:
        return state.log.last_index
    # One step over a whole term, where one entry a round trip would take
    # long after a partition.
    return state.log.first_of_term(request.prev_index) - 1


def take_missing(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    """Save the entries from the first one that this log lacks.

    A late or repeated request must not cut entries that came after it, so
    the log is only cut where an entry has another term. Committed entries
    are the same in every leader's log and are passed over.
    """
    for offset, entry in enumerate(entries):
        if entry.index <= state.commit_index:
            continue
        if state.log.term_at(entry.index) != entry.term:
            missing = entries[offset:]
            take_entries(state, missing)
            state.emit(SaveEntries(missing))
            return


def note_proof(
    state: ReplicaState,
    request: AppendRequest,
    now_s: float,
) -> None:
    """Bound the age of the leader's quorum proof on this replica's clock.

    A message that was held up on its way would make old proof look new. The
    request was sent after the leader got the reply that it names, hence
    after this replica sent that reply; so the proof is no older than that
    moment less the stated age.
    """
    replied_s = state.replied.get(request.acknowledged_s)
    if replied_s is not None:
        proof_s = replied_s - request.quorum_age_s
        state.proof_s = max(state.proof_s, proof_s)
    state.replied.setdefault(request.sent_s, now_s)
    while len(state.replied) > REPLIES_REMEMBERED:
        state.replied.pop(next(iter(state.replied)))


def reply(
    state: ReplicaState,
    request: AppendRequest,
    success: bool,
    index: int,
) -> None:
    """Answer an append request."""
    state.send(
        AppendReply(
            header=state.header(request.header.sender),
            success=success,
            index=index,
            sent_s=request.sent_s,
        ),
    )


def handle_append_reply(
    state: ReplicaState,
    answer: AppendReply,
    now_s: float,
) -> None:
    """Note how far a member's log matches, and send what it lacks."""
    sender = answer.header.sender
    progress = state.progress.get(sender)
    if state.role is not Role.leader or progress is None:
        return
    progress.note_answer(answer.sent_s)
    if answer.success:
        progress.match_index = max(progress.match_index, answer.index)
        progress.next_index = max(progress.next_index, answer.index + 1)
        advance_commit(state, now_s)
    elif answer.index < progress.match_index:
        # Late, or from a disk that lost what it had synced. Answered at once,
        # the latter would refuse again, as fast as the network carries it.
        return
    else:
        back = min(progress.next_index - 1, answer.index + 1)
        progress.next_index = max(progress.match_index + 1, back)
    if sender in state.progress and progress.next_index <= state.log.last_index:
        send_entries(state, sender, now_s)


def handle_synced(state: ReplicaState, event: Synced, now_s: float) -> None:
    """Count the own copy of entries that are now on disk."""
    if state.log.term_at(event.index) == event.term:
        state.synced_index = max(state.synced_index, event.index)
    if state.role is Role.leader:
        advance_commit(state, now_s)


def advance_commit(state: ReplicaState, now_s: float) -> None:
    """Commit up to the last entry that a majority of voters has on disk.

    Only an entry of the leader's own term counts by its copies (Raft, figure
    8): an entry of an earlier term may stand on a majority and still be
    replaced by a later leader.
    """
    copies = sorted(
        (match_of(state, voter) for voter in state.membership.voters),
        reverse=True,
    )
    index = copies[state.membership.quorum - 1] if copies else 0
    if state.log.term_at(index) == state.term:
        state.commit_to(index)
        retire(state, now_s)


def match_of(state: ReplicaState, voter: ReplicaId) -> int:
    """Return the last entry known to be on a voter's disk."""
    if voter == state.identity:
        return state.synced_index
    progress = state.progress.get(voter)
    return 0 if progress is None else progress.match_index


def retire(state: ReplicaState, now_s: float) -> None:
    """Stop leading once the own removal is committed."""
    stated_at, membership = state.configurations[-1]
    if stated_at > state.commit_index:
        return
    if not membership.is_voter(state.identity):
        become_follower(state, state.term, None, now_s)
