"""Entries, snapshots, and the messages between replicas.

Every message names its sender and its receiver with their incarnations: a
replica ignores what is meant for an earlier folder of its VM.
"""

from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.consensus.members import Membership, ReplicaId


class EntryKind(IntEnum):
    """What an entry of the log is for."""

    no_op = 0
    payload = 1
    membership = 2


@dataclass(frozen=True)
class Entry:
    """One entry of the log; the payload is opaque to consensus."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''


@dataclass(frozen=True)
class Snapshot:
    """The applied state up to and including an entry.

    Parameters
    ----------
    index, term : int
        The last entry that it covers.
    membership : Membership
        In force at that entry.
    state : bytes
        What the embedding program's state machine made of the entries.
    """

    index: int
    term: int
    membership: Membership
    state: bytes


@dataclass(frozen=True)
class Header:
    """What every message carries: the sender's term, from whom, to whom."""

    term: int
    sender: ReplicaId
    receiver: ReplicaId


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote, or whether one would be given (pre-vote)."""

    header: Header
    last_index: int
    last_term: int
    pre_vote: bool


@dataclass(frozen=True)
class VoteReply:
    """Answers a `VoteRequest`."""

    header: Header
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class AppendRequest:
    """Entries from the leader; without entries it is a heartbeat.

    Parameters
    ----------
    prev_index, prev_term : int
        The entry before the first one sent.
    commit_index : int
        Last entry that the leader knows to be committed.
    sent_s : float
        When it was sent, in seconds on the leader's own monotonic clock. Only
        the leader reads it, from the reply.
    acknowledged_s : float
        The newest `sent_s` that this follower has brought back.
    quorum_age_s : float
        Seconds since the leader last had proof of a quorum.
    """

    header: Header
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_s: float
    acknowledged_s: float
    quorum_age_s: float


@dataclass(frozen=True)
class AppendReply:
    """Answers an `AppendRequest`, or the last `SnapshotChunk`.

    Parameters
    ----------
    success : bool
        Whether the entries are on the follower's disk.
    index : int
        Last index known to match the leader's log; without success, the
        index that the leader should try to match next.
    sent_s : float
        Of the request.
    """

    header: Header
    success: bool
    index: int
    sent_s: float


@dataclass(frozen=True)
class SnapshotChunk:
    """A part of a snapshot, for a follower whose entries were compacted."""

    header: Header
    index: int
    index_term: int
    membership: Membership
    offset: int
    total: int
    chunk: bytes
    sent_s: float


@dataclass(frozen=True)
class SnapshotReply:
    """Tells how many bytes of a snapshot have arrived."""

    header: Header
    index: int
    offset: int
    sent_s: float


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
