"""What a replica finds on its disk at the start."""

from dataclasses import dataclass

from godwitshunt.consensus.codec import decode_membership
from godwitshunt.consensus.log import Log
from godwitshunt.consensus.members import Membership, ReplicaId
from godwitshunt.consensus.messages import EntryKind, Snapshot


@dataclass(frozen=True)
class StoredState:
    """What a data folder holds.

    Parameters
    ----------
    identity : ReplicaId
        Name, and the incarnation that the folder holds.
    term : int
        The newest term that the replica has taken part in.
    voted_for : ReplicaId or None
        The vote given in that term.
    log : Log
        Entries on disk.
    snapshot : Snapshot or None
        Newest snapshot on disk.
    """

    identity: ReplicaId
    term: int
    voted_for: ReplicaId | None
    log: Log
    snapshot: Snapshot | None

    @property
    def applied_index(self) -> int:
        """Last entry that the snapshot covers, 0 without one."""
        return 0 if self.snapshot is None else self.snapshot.index

    def configurations(self) -> list[tuple[int, Membership]]:
        """Return the memberships that snapshot and log state, by index."""
        first = Membership()
        if self.snapshot is not None:
            first = self.snapshot.membership
        found = [(self.applied_index, first)]
        for entry in self.log.entries:
            if entry.kind is not EntryKind.membership:
                continue
            if entry.index > self.applied_index:
                membership = decode_membership(entry.payload)
                found.append((entry.index, membership))
        return found
