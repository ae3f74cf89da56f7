"""Operators' commands to initialise and repair the replicas of the log."""

import asyncio
from typing import Any

from result import Err, Ok, Result

from godwitshunt.consensus import (
    AlreadyInitialised,
    BootstrapFailure,
    ConsensusTask,
    Identity,
    MemberStatus,
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
        replicas that are not members of it then join. A name that is already
        a member is never added again: its folder was lost, which `replace`
        repairs.
        """
        async with self.lock:
            if self.consensus.identity().unused:
                return await bootstrap(self.consensus, self.other_replicas)
            if not self.consensus.leadership().is_leader:
                return Err(
                    AlreadyInitialised(self.consensus.identity().replica)
                )
            return await self.join_missing()

    async def join_missing(self) -> Result[object, BootstrapFailure]:
        """Make voters of the named replicas that are not members yet."""
        own = self.consensus.identity().replica
        outcome: Result[object, BootstrapFailure] = Err(AlreadyInitialised(own))
        for address in self.other_replicas:
            identified = await self.consensus.transport.identify(
                address,
                IDENTIFY_TIMEOUT_S,
            )
            if isinstance(identified, Err):
                return identified
            identity = identified.ok_value
            if self.is_missing(identity):
                outcome = await self.make_voter(identity, address, ())
                if isinstance(outcome, Err):
                    return outcome
        return outcome

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
