"""What one replica knows, and the small steps that all of its parts share."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from godwitshunt.consensus.events import Action, Apply, SaveVote, Send
from godwitshunt.consensus.log import Log
from godwitshunt.consensus.members import Membership, ReplicaId
from godwitshunt.consensus.messages import Header, Message, Snapshot

NEVER = float('-inf')
# Least part of an election timeout between two elections that nobody wins.
RETRY_SHARE = 0.3


class Role(StrEnum):
    """What a replica does in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True)
class ReplicaOptions:
    """Durations and sizes of the protocol; the same on every replica.

    Parameters
    ----------
    election_timeout_s : float
        Shortest time in seconds without a leader until votes are asked for or
        given. The time that a replica waits is drawn between this and twice
        this.
    heartbeat_s : float
        Seconds between heartbeats of a leader.
    clock_drift : float
        Bound on the relative difference of two replicas' clock rates. A
        leader's lease is this share shorter than the election timeout.
    entry_bytes : int
        Longest payload of an entry, below what a frame of the peer links
        may hold: an entry that cannot be sent would hold up all after it.
    append_bytes : int
        Payload bytes of one append, at most (one entry goes always).
    chunk_bytes : int
        Bytes of a snapshot in one message.
    retained_entries : int
        Entries kept before a snapshot, so that a replica which is a little
        behind needs no snapshot.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    clock_drift: float = 0.05
    entry_bytes: int = 3 * 1024 * 1024
    append_bytes: int = 512 * 1024
    chunk_bytes: int = 256 * 1024
    retained_entries: int = 500

    @property
    def lease_s(self) -> float:
        """How long a quorum's replies to a heartbeat prove leadership.

        A follower gives no vote for an election timeout on its own clock,
        which may run fast against the leader's by the stated drift.
        """
        return self.election_timeout_s * (1 - self.clock_drift)


@dataclass
class Progress:
    """What a leader knows of one other member.

    Parameters
    ----------
    next_index : int
        First entry to send next; runs ahead of replies.
    match_index : int
        Last entry known to be on the member's disk.
    acknowledged_s : float
        When the newest message was sent that the member has answered, on
        this replica's clock.
    chunk_offset : int
        Bytes of the snapshot that the member has, while one is sent.
    """

    next_index: int
    match_index: int = 0
    acknowledged_s: float = NEVER
    chunk_offset: int = 0

    def note_answer(self, sent_s: float) -> None:
        """Note that a message of this term, sent at a time, was answered."""
        self.acknowledged_s = max(self.acknowledged_s, sent_s)


@dataclass
class PendingRead:
    """A read that waits for a quorum to answer messages sent after it."""

    number: int
    index: int
    asked_s: float


@dataclass
class IncomingSnapshot:
    """A snapshot of which not all chunks have come."""

    index: int
    received: bytearray = field(default_factory=bytearray)


@dataclass
class ReplicaState:
    """State of one replica. Times are seconds on its own monotonic clock.

    Parameters
    ----------
    identity : ReplicaId
        Name and incarnation.
    random : random.Random
        Draws election timeouts; seeded by the embedding program.
    configurations : list
        Memberships by the index that states them, oldest first; the last one
        is in use, committed or not.
    heard_s : float
        When a message of a current leader came last, or the start.
    proof_s : float
        Bound on when this replica, or the leader it follows, last had proof
        that a quorum is alive.
    campaign_s : float
        When this replica last asked for votes.
    """

    identity: ReplicaId
    options: ReplicaOptions
    random: Random
    log: Log
    snapshot: Snapshot | None
    configurations: list[tuple[int, Membership]]
    term: int
    voted_for: ReplicaId | None
    heard_s: float
    election_due_s: float = 0.0
    role: Role = Role.follower
    leader: ReplicaId | None = None
    commit_index: int = 0
    applied_index: int = 0
    proof_s: float = NEVER
    campaign_s: float = NEVER
    replied: dict[float, float] = field(default_factory=dict)
    incoming: IncomingSnapshot | None = None
    votes: set[ReplicaId] = field(default_factory=set)
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    leader_since_s: float = NEVER
    heartbeat_due_s: float = 0.0
    first_own_index: int = 0
    synced_index: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)

    @property
    def membership(self) -> Membership:
        """The membership in use: the newest in the log, committed or not."""
        return self.configurations[-1][1]

    @property
    def others(self) -> tuple[ReplicaId, ...]:
        """Every other member."""
        return tuple(
            one.replica
            for one in self.membership.members
            if one.replica != self.identity
        )

    def emit(self, action: Action) -> None:
        """Add an action to those of this step."""
        self.actions.append(action)

    def send(self, message: Message) -> None:
        """Add the sending of a message to the actions of this step."""
        self.emit(Send(message))

    def header(self, receiver: ReplicaId, term: int | None = None) -> Header:
        """Return the header of a message in this replica's term."""
        return Header(
            term=self.term if term is None else term,
            sender=self.identity,
            receiver=receiver,
        )

    def save_vote(self) -> None:
        """Have the term and the vote put on disk before what follows."""
        self.emit(SaveVote(self.term, self.voted_for))

    def draw_election_due(self, now_s: float) -> None:
        """Draw when to ask for votes if no leader is heard until then."""
        share = 1 + self.random.random()
        self.election_due_s = now_s + self.options.election_timeout_s * share

    def draw_retry_due(self, now_s: float) -> None:
        """Draw when to ask again after an election that nobody won.

        After a loss of all power every replica asks at about the same time,
        and votes split. No leader is heard then, so the next election need
        not wait for a whole timeout: half of one, spread over several round
        trips, lets one of them be first.
        """
        share = RETRY_SHARE + self.random.random()
        self.election_due_s = now_s + self.options.election_timeout_s * share

    def commit_to(self, index: int) -> None:
        """Move the commit index up and apply what that commits."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        entries = self.log.between(self.applied_index + 1, index)
        self.applied_index = index
        self.emit(Apply(entries))

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Tell whether a log that ends so holds all that this one may."""
        own = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own

    def may_lead(self) -> bool:
        """Tell whether this replica is a voter, or still one of the last.

        A voter whose removal is not committed may be the only one that can
        win: its log is longer by the removal than any other.
        """
        last = self.configurations[-1][0]
        memberships = [self.membership_at(self.commit_index), self.membership]
        memberships.extend(
            membership
            for stated_at, membership in self.configurations
            if self.commit_index < stated_at < last
        )
        return any(one.is_voter(self.identity) for one in memberships)

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at an index."""
        found = self.configurations[0][1]
        for stated_at, membership in self.configurations:
            if stated_at <= index:
                found = membership
        return found
