"""The replicas of the log, as operators make and repair them."""

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
    """Where the new replica is; None for the lost one's address."""

    address: Address | None = None


class Cluster:
    """Makes the cluster once, and puts new replicas in lost ones' places.

    Parameters
    ----------
    consensus : ConsensusTask
        Of this replica.
    control : tuple of Address
        Peer addresses of all control replicas, the same on each of them.
    own : Address
        The one of this replica.
    """

    def __init__(
        self,
        consensus: ConsensusTask,
        control: tuple[Address, ...],
        own: Address,
    ) -> None:
        self.consensus = consensus
        self.other_replicas = tuple(
            member for member in control if member != own
        )
        # Two operators who start the cluster at once at two replicas would
        # make two clusters; so only the replica named first ever does.
        self.is_first = control[0] == own
        self.lock = asyncio.Lock()

    async def initialise(self) -> Result[object, BootstrapFailure]:
        """Start the log with all named replicas as voters, or go on with it.

        A start that was cut off half-way has left a cluster of fewer voters;
        the replicas that are still unused and no members of it then join. A
        name that is a member already is never added again: its folder was
        lost, and `replace` is what repairs that.
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
        """Make voters of the named replicas that are no members yet."""
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
        """Tell whether a replica is not a voter, nor its name any member."""
        named = self.members_on_vm(identity.replica.name)
        if not named:
            return identity.unused
        return named[0].replica == identity.replica and not named[0].voter

    async def replace(
        self,
        name: str,
        address: Address | None,
    ) -> Result[object, BootstrapFailure]:
        """Make a new replica a voter, then take the lost one out.

        Parameters
        ----------
        name : str
            The lost replica's VM.
        address : Address or None
            Peer address of the new replica; None for the lost one's.

        Notes
        -----
        The new replica is a learner until it has every committed entry. A
        second loss right after the repair then loses nothing. Each step can
        be repeated, so an operator who lost the answer sends the same again.
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
        """Add, promote and remove, as far as that is not done yet."""
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
        """Return the members of a VM, one for each of its folders."""
        return tuple(
            member
            for member in self.consensus.members()
            if member.replica.name == name
        )

    def describe(self) -> dict[str, Any]:
        """Return voters, learners and whether one more loss is survivable."""
        members = self.consensus.members()
        return {
            'voters': [describe(member) for member in members if member.voter],
            'learners': [
                describe(member) for member in members if not member.voter
            ],
            'survives_one_more_loss': self.consensus.survives_one_loss(),
        }


def describe(member: MemberStatus) -> dict[str, Any]:
    """Return a member as JSON fields."""
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
