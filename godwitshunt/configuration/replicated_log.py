"""What this slice asks of a replicated log, and a log for one process."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

Apply = Callable[[int, int, bytes], None]


@dataclass(frozen=True)
class NotLeader:
    """Nothing was proposed: another replica leads, or none is known to."""

    leader: str | None


@dataclass(frozen=True)
class NoQuorum:
    """Nothing was proposed: this leader has lost touch with a majority."""

    quorum_age_s: float


@dataclass(frozen=True)
class CommitUnknown:
    """The entry was proposed; whether it commits is not known here."""

    reason: str


@dataclass(frozen=True)
class StorageFailed:
    """The replica's data folder failed, and it takes part no more."""

    reason: str


ProposalFailure = NotLeader | NoQuorum | CommitUnknown | StorageFailed


@dataclass(frozen=True)
class Leadership:
    """What a replica knows of its leader and of the quorum.

    Parameters
    ----------
    leader : str or None
        Name of the leader's VM, where one is known.
    lease_remaining_s : float
        Seconds for which this leader may act on its own; 0 for followers.
    quorum_age_s : float
        Seconds since the last proof of a live quorum.
    """

    leader: str | None
    is_leader: bool
    lease_remaining_s: float
    quorum_age_s: float


class ReplicatedLog(Protocol):
    """Entries in one order on every replica."""

    async def propose(self, payload: bytes) -> Result[int, ProposalFailure]:
        """Commit an entry; return its index."""

    def leadership(self) -> Leadership:
        """Tell who leads and how old the last proof of a quorum is."""

    def subscribe(self, apply: Apply) -> None:
        """Give every committed entry to `apply`, in order, once."""


class SingleLog:
    """A log of one process, without copies and without a disk.

    It stands in for the replicated log in tests and in programs that embed
    the configuration without agreement.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.entries: list[bytes] = []
        self.followers: list[Apply] = []
        self.leading = True

    async def propose(self, payload: bytes) -> Result[int, ProposalFailure]:
        """Append an entry and apply it at once."""
        if not self.leading:
            return Err(NotLeader(None))
        self.entries.append(payload)
        index = len(self.entries)
        for apply in self.followers:
            apply(index, 1, payload)
        return Ok(index)

    def leadership(self) -> Leadership:
        """Tell whether this process leads."""
        if not self.leading:
            return Leadership(None, False, 0, float('inf'))
        return Leadership(self.name, True, float('inf'), 0)

    def subscribe(self, apply: Apply) -> None:
        """Give every later entry to `apply`."""
        self.followers.append(apply)
