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
        self.others = tuple(one for one in control if one != own)
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
                return await bootstrap(self.consensus, self.others)
            if not self.consensus.leadership().is_leader:
                return Err(
                    AlreadyInitialised(self.consensus.identity().replica)
                )
            return await self.join_missing()

    async def join_missing(self) -> Result[object, BootstrapFailure]:
        """Make voters of the named replicas that are no members yet."""
        own = self.consensus.identity().replica
        done: Result[object, BootstrapFailure] = Err(AlreadyInitialised(own))
        for address in self.others:
            found = await self.consensus.transport.identify(
                address,
                IDENTIFY_TIMEOUT_S,
            )
            if isinstance(found, Err):
                return found
            identity = found.ok_value
            if self.is_missing(identity):
                done = await self.put_in_place(identity, address, ())
                if isinstance(done, Err):
                    return done
        return done

    def is_missing(self, identity: Identity) -> bool:
        """Tell whether a replica is not a voter, nor its name any member."""
        named = self.members_of(identity.replica.name)
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
            lost = self.members_of(name)
            if not lost:
                return Err(UnknownMember(ReplicaId(name, '')))
            identified = await self.consensus.transport.identify(
                address or lost[0].address,
                IDENTIFY_TIMEOUT_S,
            )
            if isinstance(identified, Err):
                return identified
            return await self.put_in_place(
                identified.ok_value,
                address or lost[0].address,
                tuple(one.replica for one in lost),
            )

    async def put_in_place(
        self,
        identity: Identity,
        address: Address,
        lost: tuple[ReplicaId, ...],
    ) -> Result[object, BootstrapFailure]:
        """Add, promote and remove, as far as that is not done yet."""
        new = identity.replica
        known = {one.replica: one for one in self.consensus.members()}
        done: Result[object, BootstrapFailure] = Ok(None)
        if new not in known:
            done = await self.consensus.add_learner(
                new.name,
                new.incarnation,
                address,
            )
        if isinstance(done, Ok) and not (new in known and known[new].voter):
            done = await self.consensus.promote(new.name)
        for old in lost:
            if isinstance(done, Ok) and old != new:
                done = await self.consensus.remove(old.name, old.incarnation)
        return done

    def members_of(self, name: str) -> tuple[MemberStatus, ...]:
        """Return the members of a VM, one for each of its folders."""
        return tuple(
            one for one in self.consensus.members() if one.replica.name == name
        )

    def describe(self) -> dict[str, Any]:
        """Return voters, learners and whether one more loss is survivable."""
        members = self.consensus.members()
        return {
            'voters': [describe(one) for one in members if one.voter],
            'learners': [describe(one) for one in members if not one.voter],
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
