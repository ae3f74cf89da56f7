"""Operators' commands to initialise and repair the replicas of the log."""

import asyncio
from typing import Any

from result import Err, Ok, Result

from godwitshunt.consensus import (
    AlreadyInitialised,
    BootstrapFailure,
    ChangeUnderway,
    CommitUnknown,
    ConsensusTask,
    Identity,
    MemberStatus,
    NoQuorum,
    NotLeader,
    UnknownMember,
    bootstrap,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.manifest.base import StrictModel
from godwitshunt.settings import Address

IDENTIFY_TIMEOUT_S = 2.0


class ReplaceRequest(StrictModel):
    """Body of a replace call.

    Parameters
    ----------
    address : Address or None
        Peer address of the new replica; None for that of the lost one.
    """

    address: Address | None = None


class Cluster:
    """Initialises the cluster once and replaces lost replicas.

    Parameters
    ----------
    consensus : ConsensusTask
        Consensus task of this replica.
    control : tuple of Address
        Peer addresses of all control replicas, the same on each of them.
    own : Address
        Peer address of this replica.
    """

    def __init__(
        self,
        consensus: ConsensusTask,
        control: tuple[Address, ...],
        own: Address,
    ) -> None:
        self.consensus = consensus
        self.other_replicas = tuple(
            address for address in control if address != own
        )
        # Two operators who initialise at two replicas at once would create two
        # clusters; so only the replica named first accepts the command.
        self.is_first = control[0] == own
        self.lock = asyncio.Lock()

    async def initialise(self) -> Result[object, BootstrapFailure]:
        """Bootstrap the log with all named replicas as voters, or resume it.

        An interrupted bootstrap leaves a cluster with fewer voters; unused
        replicas that are not members of it then join. Whichever replica leads
        by then resumes it. A name that is already a member is never added
        again: its folder was lost, which `replace` repairs.

        The command is idempotent: if all named replicas are voters, it
        succeeds again. So an operator who did not receive the answer learns
        the outcome.
        """
        async with self.lock:
            if self.consensus.identity().unused:
                if not self.is_first:
                    return Err(NotLeader(None))
                started = await bootstrap(self.consensus, self.other_replicas)
                return self.as_interrupted(started)
            leadership = self.consensus.leadership()
            if not leadership.is_leader:
                return Err(NotLeader(leadership.name))
            return self.as_interrupted(await self.join_missing())

    def as_interrupted(
        self, outcome: Result[object, BootstrapFailure]
    ) -> Result[object, BootstrapFailure]:
        """Return what a failure means once the cluster has been started.

        A leader that loses its quorum while replicas join has changed the
        membership already, so its failure is no proof that nothing was done.
        """
        is_interrupted = isinstance(outcome, Err) and isinstance(
            outcome.err_value, (NotLeader, NoQuorum, ChangeUnderway)
        )
        if is_interrupted and not self.consensus.identity().unused:
            reason = f'not all replicas are voters yet: {outcome.err_value!r}'
            return Err(CommitUnknown(reason))
        return outcome

    async def join_missing(self) -> Result[object, BootstrapFailure]:
        """Make voters of the named replicas that are not members yet."""
        foreign: ReplicaId | None = None
        for address in self.other_replicas:
            identified = await self.consensus.transport.identify(
                address,
                IDENTIFY_TIMEOUT_S,
            )
            if isinstance(identified, Err):
                return identified
            identity = identified.ok_value
            if self.is_missing(identity):
                joined = await self.make_voter(identity, address, ())
                if isinstance(joined, Err):
                    return joined
            elif not self.is_voter(identity):
                foreign = identity.replica
        return Ok(None) if foreign is None else Err(AlreadyInitialised(foreign))

    def is_voter(self, identity: Identity) -> bool:
        """Return whether a replica is a voter with the folder that it has."""
        return any(
            member.voter and member.replica == identity.replica
            for member in self.consensus.members()
        )

    def is_missing(self, identity: Identity) -> bool:
        """Return whether a replica has yet to become a voter.

        That is an unused replica whose name is not a member, or a learner.
        """
        members = self.members_on_vm(identity.replica.name)
        if not members:
            return identity.unused
        return members[0].replica == identity.replica and not members[0].voter

    async def replace(
        self,
        name: str,
        address: Address | None,
    ) -> Result[object, BootstrapFailure]:
        """Make a new replica a voter, then remove the lost one.

        Parameters
        ----------
        name : str
            Name of the lost replica's VM.
        address : Address or None
            Peer address of the new replica; None for the address of the lost
            one.

        Notes
        -----
        The new replica is a learner until it has every committed entry, so
        that a second loss right after the repair loses no entry. Each step is
        idempotent: an operator who did not receive the answer sends the same
        command again.
        """
        async with self.lock:
            if not self.consensus.leadership().is_leader:
                return Err(NotLeader(self.consensus.leadership().name))
            lost = self.members_on_vm(name)
            if not lost:
                return Err(UnknownMember(ReplicaId(name, '')))
            identified = await self.consensus.transport.identify(
                address or lost[0].address,
                IDENTIFY_TIMEOUT_S,
            )
            if isinstance(identified, Err):
                return identified
            return await self.make_voter(
                identified.ok_value,
                address or lost[0].address,
                tuple(member.replica for member in lost),
            )

    async def make_voter(
        self,
        identity: Identity,
        address: Address,
        lost: tuple[ReplicaId, ...],
    ) -> Result[object, BootstrapFailure]:
        """Add and promote the new replica and remove the lost ones.

        Steps that are already done are skipped.
        """
        new = identity.replica
        known = {member.replica: member for member in self.consensus.members()}
        outcome: Result[object, BootstrapFailure] = Ok(None)
        if new not in known:
            outcome = await self.consensus.add_learner(
                new.name,
                new.incarnation,
                address,
            )
        if isinstance(outcome, Ok) and not (new in known and known[new].voter):
            outcome = await self.consensus.promote(new.name)
        for old in lost:
            if isinstance(outcome, Ok) and old != new:
                outcome = await self.consensus.remove(old.name, old.incarnation)
        return outcome

    def members_on_vm(self, name: str) -> tuple[MemberStatus, ...]:
        """Return the members of a VM, one for each data folder it has used."""
        return tuple(
            member
            for member in self.consensus.members()
            if member.replica.name == name
        )

    def describe(self) -> dict[str, Any]:
        """Return the JSON fields of the voters and learners."""
        members = self.consensus.members()
        return {
            'voters': [describe(member) for member in members if member.voter],
            'learners': [
                describe(member) for member in members if not member.voter
            ],
            'survives_one_more_loss': self.consensus.survives_one_loss(),
        }


def describe(member: MemberStatus) -> dict[str, Any]:
    """Return the JSON fields of a member."""
    silent_s = member.silent_s
    if silent_s is not None and silent_s == float('inf'):
        silent_s = None
    return {
        'name': member.replica.name,
        'incarnation': member.replica.incarnation,
        'address': str(member.address),
        'missing_entries': member.missing,
        'silent_s': silent_s,
    }
