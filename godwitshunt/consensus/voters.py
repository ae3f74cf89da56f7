"""Changes of the membership: one at a time, learners before voters."""

from godwitshunt.consensus import lease, replication
from godwitshunt.consensus.codec import encode_membership
from godwitshunt.consensus.events import (
    AddLearner,
    ChangeProposed,
    ClusterStarted,
    MemberChange,
    PromoteLearner,
    ProposalAccepted,
    ProposalRefused,
    RemoveMember,
    SaveEntries,
)
from godwitshunt.consensus.failures import (
    AlreadyMember,
    ChangeFailure,
    ChangeUnderway,
    LastVoter,
    NotCaughtUp,
    NotLeader,
    QuorumWouldBeLost,
    UnknownMember,
)
from godwitshunt.consensus.members import Membership, ReplicaId
from godwitshunt.consensus.messages import Entry, EntryKind
from godwitshunt.consensus.state import ReplicaState, Role


def propose(state: ReplicaState, event: ChangeProposed, now_s: float) -> None:
    """Append a change of members, or refuse it."""
    failure = refusal(state, event.change, now_s)
    if failure is not None:
        state.emit(ProposalRefused(event.number, failure))
        return
    membership = changed(state.membership, event.change)
    payload = encode_membership(membership)
    entries = replication.append_own(
        state,
        ((EntryKind.membership, payload),),
        now_s,
    )
    state.emit(ProposalAccepted(event.number, entries[0].index, state.term))


def refusal(
    state: ReplicaState,
    change: MemberChange,
    now_s: float,
) -> ChangeFailure | None:
    """Return why a change cannot be made now, None where it can."""
    if state.role is not Role.leader:
        leader = None if state.leader is None else state.leader.name
        return NotLeader(leader)
    if is_change_underway(state):
        return ChangeUnderway()
    match change:
        case AddLearner(replica):
            known = state.membership.find(replica)
            return None if known is None else AlreadyMember(replica)
        case PromoteLearner(replica):
            return promotion_refusal(state, replica, now_s)
        case RemoveMember(replica):
            return removal_refusal(state, replica, now_s)


def is_change_underway(state: ReplicaState) -> bool:
    """Tell whether majorities before and after a change might not overlap.

    They overlap only if the change before is committed, and if this leader
    has committed an entry of its own term: an earlier leader may have left a
    change on a minority that could come back (Ongaro, raft-dev, July 2015).
    """
    stated_at = state.configurations[-1][0]
    if stated_at > state.commit_index:
        return True
    return state.commit_index < state.first_own_index


def promotion_refusal(
    state: ReplicaState,
    replica: ReplicaId,
    now_s: float,
) -> ChangeFailure | None:
    """Return why a learner cannot become a voter now.

    A voter without the committed entries counts for a quorum that has not
    all of them: if another voter then fails, they are lost.
    """
    member = state.membership.find(replica)
    if member is None or member.voter:
        return UnknownMember(replica)
    progress = state.progress[replica]
    missing = max(0, state.commit_index - progress.match_index)
    silent_s = now_s - progress.acknowledged_s
    if missing or silent_s > state.options.election_timeout_s:
        return NotCaughtUp(missing)
    return None


def removal_refusal(
    state: ReplicaState,
    replica: ReplicaId,
    now_s: float,
) -> ChangeFailure | None:
    """Return why a member cannot be removed.

    Removing a voter that answers, in place of one that is lost, would leave
    a set without a majority, and no further change could mend it.
    """
    if state.membership.find(replica) is None:
        return UnknownMember(replica)
    if state.membership.voters == (replica,):
        return LastVoter(replica)
    left = state.membership.without(replica)
    answering = {
        voter for voter in left.voters if is_answering(state, voter, now_s)
    }
    if left.has_quorum(answering):
        return None
    return QuorumWouldBeLost(len(answering), left.quorum)


def is_answering(state: ReplicaState, voter: ReplicaId, now_s: float) -> bool:
    """Tell whether a voter has answered within an election timeout."""
    answered_s = lease.voter_acknowledged_s(state, voter, now_s)
    return now_s - answered_s <= state.options.election_timeout_s


def changed(membership: Membership, change: MemberChange) -> Membership:
    """Return a membership after a change."""
    match change:
        case AddLearner(replica, address):
            return membership.with_learner(replica, address)
        case PromoteLearner(replica):
            return membership.with_voter(replica)
        case RemoveMember(replica):
            return membership.without(replica)


def start_cluster(
    state: ReplicaState,
    event: ClusterStarted,
    now_s: float,
) -> None:
    """Write the first entry of a new cluster: this replica, alone.

    Further voters come in as learners, so that a cluster never counts on a
    replica that has not its log. Only an unused folder may start one.
    """
    if state.log.last_index:
        return
    first = Membership().with_learner(state.identity, event.address)
    payload = encode_membership(first.with_voter(state.identity))
    entry = Entry(1, 1, EntryKind.membership, payload)
    state.term = 1
    state.save_vote()
    replication.take_entries(state, (entry,))
    state.emit(SaveEntries((entry,)))
    state.election_due_s = now_s
