"""One replica of the log, as a state machine without clock, disk or network.

References
----------
Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014; Ongaro, "Consensus: Bridging Theory and Practice", 2014; Alagappan et
al., "Protocol-Aware Recovery for Consensus-Based Storage", 2018.
"""

from random import Random
from typing import Self

from godwitshunt.consensus import (
    election,
    leadership,
    lease,
    reads,
    replication,
    snapshots,
    voters,
)
from godwitshunt.consensus.events import (
    Action,
    ChangeProposed,
    ClusterStarted,
    Event,
    Proposed,
    ReadAsked,
    Received,
    SnapshotTaken,
    Synced,
    Tick,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from godwitshunt.consensus.proposals import propose
from godwitshunt.consensus.roles import become_follower
from godwitshunt.consensus.state import ReplicaOptions, ReplicaState, Role
from godwitshunt.consensus.stored import StoredState


class Replica:
    """A replica that turns events into actions.

    Parameters
    ----------
    state : ReplicaState
        All that it knows; public, to be read by the embedding program.

    Notes
    -----
    The actions of a step must be carried out in their order, and what follows
    a save waits until the save is on disk. `Synced` tells the replica so.
    """

    def __init__(self, state: ReplicaState) -> None:
        self.state = state

    @classmethod
    def from_stored(
        cls,
        stored: StoredState,
        options: ReplicaOptions,
        random: Random,
        now_s: float,
    ) -> Self:
        """Make a replica from what its disk holds.

        Parameters
        ----------
        stored : StoredState
            What the data folder was found to hold.
        options : ReplicaOptions
            Durations and sizes.
        random : random.Random
            Draws election timeouts.
        now_s : float
            Now, in seconds on the replica's monotonic clock.
        """
        state = ReplicaState(
            identity=stored.identity,
            options=options,
            random=random,
            log=stored.log,
            snapshot=stored.snapshot,
            configurations=stored.configurations(),
            term=stored.term,
            voted_for=stored.voted_for,
            heard_s=now_s,
            commit_index=stored.applied_index,
            applied_index=stored.applied_index,
            synced_index=stored.log.last_index,
        )
        state.draw_election_due(now_s)
        return cls(state)

    @property
    def identity(self) -> ReplicaId:
        """Name and incarnation."""
        return self.state.identity

    def step(self, event: Event, now_s: float) -> tuple[Action, ...]:
        """Take one event and return the actions that it asks for.

        Parameters
        ----------
        event : Event
            What has happened.
        now_s : float
            Seconds on this replica's monotonic clock; never falls.
        """
        state = self.state
        state.actions = []
        match event:
            case Received(message):
                receive(state, message, now_s)
            case Tick():
                tick(state, now_s)
            case Synced():
                replication.handle_synced(state, event, now_s)
            case SnapshotTaken():
                snapshots.handle_taken(state, event)
            case _:
                request(state, event, now_s)
        return tuple(state.actions)

    def lease_remaining_s(self, now_s: float) -> float:
        """Return for how many seconds no other replica can lead."""
        return lease.remaining_s(self.state, now_s)

    def quorum_age_s(self, now_s: float) -> float:
        """Return the seconds since a quorum was last proven alive."""
        return lease.proof_age_s(self.state, now_s)


def tick(state: ReplicaState, now_s: float) -> None:
    """Do what is due at a time."""
    if state.role is Role.leader:
        leadership.tick_leader(state, now_s)
    else:
        election.check_election(state, now_s)


def request(
    state: ReplicaState,
    event: Proposed | ReadAsked | ChangeProposed | ClusterStarted,
    now_s: float,
) -> None:
    """Handle what the embedding program asks for."""
    match event:
        case Proposed():
            propose(state, event, now_s)
        case ReadAsked():
            reads.ask(state, event, now_s)
        case ChangeProposed():
            voters.propose(state, event, now_s)
        case ClusterStarted():
            voters.start_cluster(state, event, now_s)


def receive(state: ReplicaState, message: Message, now_s: float) -> None:
    """Handle a message that is meant for this incarnation."""
    header = message.header
    if header.receiver != state.identity:
        return
    match message:
        case VoteRequest():
            election.handle_vote_request(state, message, now_s)
            return
        case VoteReply():
            election.handle_vote_reply(state, message, now_s)
            return
    if header.term > state.term:
        become_follower(state, header.term, None, now_s)
    match message:
        case AppendRequest():
            replication.handle_append_request(state, message, now_s)
        case SnapshotChunk():
            snapshots.handle_chunk(state, message, now_s)
        case AppendReply() if header.term == state.term:
            replication.handle_append_reply(state, message, now_s)
            reads.release(state, now_s)
        case SnapshotReply() if header.term == state.term:
            snapshots.handle_reply(state, message, now_s)
            reads.release(state, now_s)
