"""Typed failures of what a program asks of consensus."""

from dataclasses import dataclass

from godwitshunt.consensus.members import ReplicaId


@dataclass(frozen=True)
class NotLeader:
    """Nothing was proposed: another replica leads, or none is known to."""

    leader: str | None


@dataclass(frozen=True)
class NoQuorum:
    """Nothing was proposed: this leader has lost touch with a majority.

    Parameters
    ----------
    quorum_age_s : float
        Seconds since the last proof of a quorum.
    """

    quorum_age_s: float


@dataclass(frozen=True)
class EntryTooLarge:
    """Nothing was proposed: no message could carry the payload."""

    size_bytes: int
    limit_bytes: int


@dataclass(frozen=True)
class CommitUnknown:
    """The entry was proposed; whether it commits is not known here."""

    reason: str


@dataclass(frozen=True)
class StorageFailed:
    """The data folder here failed, and the replica takes part no more."""

    reason: str


@dataclass(frozen=True)
class ChangeUnderway:
    """Another voter change, or the leader's first entry, is not committed."""


@dataclass(frozen=True)
class NotCaughtUp:
    """The learner lacks entries that are committed, or does not answer.

    Parameters
    ----------
    missing : int
        Number of entries that it lacks.
    """

    missing: int


@dataclass(frozen=True)
class UnknownMember:
    """No such member, or not in a role that allows the change."""

    replica: ReplicaId


@dataclass(frozen=True)
class AlreadyMember:
    """The replica is a member already."""

    replica: ReplicaId


@dataclass(frozen=True)
class LastVoter:
    """The only voter cannot be removed."""

    replica: ReplicaId


@dataclass(frozen=True)
class QuorumWouldBeLost:
    """Too few of the voters that would be left answer.

    Parameters
    ----------
    answering : int
        Voters that would be left and answer.
    quorum : int
        Voters that must.
    """

    answering: int
    quorum: int


@dataclass(frozen=True)
class AlreadyInitialised:
    """A replica that was named for a new cluster belongs to one already."""

    replica: ReplicaId


@dataclass(frozen=True)
class Unreachable:
    """A replica that was named for a new cluster did not answer."""

    address: str


ProposalFailure = (
    NotLeader | NoQuorum | EntryTooLarge | CommitUnknown | StorageFailed
)
ChangeFailure = (
    ProposalFailure
    | ChangeUnderway
    | NotCaughtUp
    | UnknownMember
    | AlreadyMember
    | LastVoter
    | QuorumWouldBeLost
)
BootstrapFailure = AlreadyInitialised | Unreachable | ChangeFailure
