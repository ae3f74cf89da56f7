"""What a replica is told, and what it asks its task to do.

Actions are carried out in their order. A `Send`, `Apply` or reply that
follows a save waits until the save is on disk; a `Send` before it need not.
"""

from dataclasses import dataclass

from godwitshunt.consensus.failures import ChangeFailure, ProposalFailure
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import Entry, Message, Snapshot
from godwitshunt.settings import Address


@dataclass(frozen=True)
class Tick:
    """Time has passed; told several times a heartbeat."""


@dataclass(frozen=True)
class Received:
    """A message came."""

    message: Message


@dataclass(frozen=True)
class Proposed:
    """Payloads to commit, each with a number that its outcome names."""

    payloads: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True)
class AddLearner:
    """Send the log to one more replica, which does not count for a quorum."""

    replica: ReplicaId
    address: Address


@dataclass(frozen=True)
class PromoteLearner:
    """Make a learner that is caught up a voter."""

    replica: ReplicaId


@dataclass(frozen=True)
class RemoveMember:
    """Take a voter or a learner out."""

    replica: ReplicaId


MemberChange = AddLearner | PromoteLearner | RemoveMember


@dataclass(frozen=True)
class ChangeProposed:
    """A change of members to commit; its outcome names the number."""

    number: int
    change: MemberChange


@dataclass(frozen=True)
class ReadAsked:
    """A read that must see every commit before it; numbered like proposals."""

    number: int


@dataclass(frozen=True)
class Synced:
    """Saved entries up to this one are on disk."""

    index: int
    term: int


@dataclass(frozen=True)
class SnapshotTaken:
    """The state machine's state after the entry at an index."""

    index: int
    state: bytes


@dataclass(frozen=True)
class ClusterStarted:
    """An operator starts a new cluster with this replica as its only voter."""

    address: Address


Event = (
    Tick
    | Received
    | Proposed
    | ChangeProposed
    | ReadAsked
    | Synced
    | SnapshotTaken
    | ClusterStarted
)


@dataclass(frozen=True)
class SaveVote:
    """Put the term, and the vote given in it, on disk."""

    term: int
    voted_for: ReplicaId | None


@dataclass(frozen=True)
class SaveEntries:
    """Put entries on disk; they replace everything from the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Put a snapshot on disk, then a log with only the entries that are left.

    Parameters
    ----------
    base_index, base_term : int
        The entry before the first one left.
    """

    snapshot: Snapshot
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Send:
    """Send a message to the receiver that its header names; may be lost."""

    message: Message


@dataclass(frozen=True)
class Apply:
    """Entries are committed: give them to the state machine in this order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class InstallState:
    """Replace the state machine's state by a snapshot's."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ProposalAccepted:
    """A proposal stands in the log; it is committed once applied."""

    number: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """A proposal was not taken into the log."""

    number: int
    failure: ChangeFailure


@dataclass(frozen=True)
class ReadReady:
    """A read may be answered from a state that has applied an index."""

    number: int
    index: int


@dataclass(frozen=True)
class ReadRefused:
    """A read cannot be answered here."""

    number: int
    failure: ProposalFailure


Save = SaveVote | SaveEntries | SaveSnapshot
Action = (
    Save
    | Send
    | Apply
    | InstallState
    | ProposalAccepted
    | ProposalRefused
    | ReadReady
    | ReadRefused
)
