"""What this slice asks of a replicated log, and a log for one process."""

from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from godwitshunt.consensus import (
    Committed,
    Leadership,
    NotLeader,
    ProposalFailure,
)

ApplyEntry = Callable[[int, int, bytes], None]
TakeSnapshot = Callable[[], bytes]
InstallSnapshot = Callable[[bytes], None]


class ReplicatedLog(Protocol):
    """Entries in one order on every replica; `ConsensusTask` is one."""

    async def propose(
        self,
        payload: bytes,
    ) -> Result[Committed, ProposalFailure]:
        """Commit an entry."""

    async def read_barrier(self) -> Result[Committed, ProposalFailure]:
        """Wait until the state includes every commit before the call."""

    def leadership(self) -> Leadership:
        """Tell who leads and how old the last proof of a quorum is."""

    def subscribe(
        self,
        apply_callback: ApplyEntry,
        take_snapshot: TakeSnapshot | None = None,
        install_snapshot: InstallSnapshot | None = None,
    ) -> None:
        """Give every committed entry, in order, once."""


class SingleLog:
    """A log of one process, without copies and without a disk.

    It stands in for the replicated log in tests and in programs that embed
    the configuration without agreement.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.entries: list[bytes] = []
        self.subscribers: list[ApplyEntry] = []
        self.term = 1
        self.leading = True
        self.lease_s = 1.0

    async def propose(
        self,
        payload: bytes,
    ) -> Result[Committed, ProposalFailure]:
        """Append an entry and apply it at once."""
        if not self.leading:
            return Err(NotLeader(None))
        self.entries.append(payload)
        index = len(self.entries)
        for apply in self.subscribers:
            apply(index, self.term, payload)
        return Ok(Committed(index))

    async def read_barrier(self) -> Result[Committed, ProposalFailure]:
        """Return at once: every entry is applied."""
        if not self.leading:
            return Err(NotLeader(None))
        return Ok(Committed(len(self.entries)))

    def leadership(self) -> Leadership:
        """Tell whether this process leads."""
        if not self.leading:
            return Leadership(None, self.term, False, 0, float('inf'))
        return Leadership(self.name, self.term, True, self.lease_s, 0)

    def subscribe(
        self,
        apply_callback: ApplyEntry,
        take_snapshot: TakeSnapshot | None = None,
        install_snapshot: InstallSnapshot | None = None,
    ) -> None:
        """Give every later entry to a state machine."""
        self.subscribers.append(apply_callback)
