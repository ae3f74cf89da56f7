"""Elections: pre-vote and votes.

References
----------
Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014; Ongaro, "Consensus: Bridging Theory and Practice", 2014, sections 4.2.3
and 9.6 (pre-vote, and refusing votes while a leader is heard).
"""

from godwitshunt.consensus import leadership
from godwitshunt.consensus.messages import VoteReply, VoteRequest
from godwitshunt.consensus.roles import become_follower
from godwitshunt.consensus.state import ReplicaState, Role


def check_election(state: ReplicaState, now_s: float) -> None:
    """Ask for pre-votes where no leader was heard for long enough.

    A replica that cannot win must not raise its term: on its return the
    higher term would depose a leader that serves. So it first asks whether
    a majority would vote for it.
    """
    if now_s < state.election_due_s:
        return
    if not state.may_lead():
        return
    if state.role is Role.follower:
        state.draw_election_due(now_s)
    else:
        state.draw_retry_due(now_s)
    state.role = Role.pre_candidate
    state.leader = None
    ask_votes(state, pre_vote=True)
    count_votes(state, now_s)


def ask_votes(state: ReplicaState, pre_vote: bool) -> None:
    """Ask every other voter, and count the own vote."""
    state.votes = {state.identity}
    term = state.term + 1 if pre_vote else state.term
    for voter in state.membership.voters:
        if voter == state.identity:
            continue
        state.send(
            VoteRequest(
                header=state.header(voter, term),
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=pre_vote,
            ),
        )


def count_votes(state: ReplicaState, now_s: float) -> None:
    """Go on to the next stage of the election once a majority has voted.

    Only voters of the membership in use count: what a learner, or a new
    folder of a voter's VM answers, adds nothing.
    """
    if not state.membership.has_quorum(state.votes):
        return
    if state.role is Role.candidate:
        leadership.become_leader(state, now_s)
    elif state.role is Role.pre_candidate:
        stand(state, now_s)


def stand(state: ReplicaState, now_s: float) -> None:
    """Start a term and ask for votes in it."""
    state.role = Role.candidate
    state.campaign_s = now_s
    state.term += 1
    state.voted_for = state.identity
    # The own vote counts only once it is on disk: after a crash the replica
    # could else vote for another in the same term, and both would lead.
    state.save_vote()
    ask_votes(state, pre_vote=False)
    count_votes(state, now_s)


def handle_vote_request(
    state: ReplicaState,
    request: VoteRequest,
    now_s: float,
) -> None:
    """Vote, or tell whether this replica would."""
    granted = may_vote(state, request, now_s)
    if granted and not request.pre_vote:
        give_vote(state, request, now_s)
    term = request.header.term if granted else state.term
    state.send(
        VoteReply(
            header=state.header(request.header.sender, term),
            granted=granted,
            pre_vote=request.pre_vote,
        ),
    )


def may_vote(state: ReplicaState, request: VoteRequest, now_s: float) -> bool:
    """Decide on a vote without giving it."""
    if state.log.last_index == 0:
        # An empty folder has promised nothing and may have lost everything
        # that it had promised: its vote could elect a leader without
        # committed entries.
        return False
    if hears_leader(state, now_s):
        return False
    if not state.is_up_to_date(request.last_index, request.last_term):
        return False
    if request.header.term > state.term:
        return True
    if request.pre_vote or request.header.term < state.term:
        return False
    return state.voted_for in {None, request.header.sender}


def hears_leader(state: ReplicaState, now_s: float) -> bool:
    """Tell whether a leader's lease may still count on this replica.

    The lease is sound only if no voter that answered a heartbeat votes for
    another within an election timeout. `heard_s` begins at the start: a
    replica that restarts has forgotten whom it answered just before.
    """
    if state.role is Role.leader:
        return True
    return now_s - state.heard_s < state.options.election_timeout_s


def give_vote(
    state: ReplicaState,
    request: VoteRequest,
    now_s: float,
) -> None:
    """Record a vote; the reply that follows waits until it is on disk."""
    become_follower(state, request.header.term, None, now_s)
    state.voted_for = request.header.sender
    state.save_vote()
    state.draw_election_due(now_s)


def handle_vote_reply(
    state: ReplicaState,
    reply: VoteReply,
    now_s: float,
) -> None:
    """Count a vote for the election under way."""
    if reply.header.term > state.term and not reply.granted:
        become_follower(state, reply.header.term, None, now_s)
        return
    asked = Role.pre_candidate if reply.pre_vote else Role.candidate
    term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not asked or reply.header.term != term:
        return
    if reply.granted:
        state.votes.add(reply.header.sender)
        count_votes(state, now_s)
