"""The start of a new cluster; only ``godwitshunt init`` does this, once."""

import asyncio

from result import Err, Ok, Result

from godwitshunt.consensus.events import ClusterStarted
from godwitshunt.consensus.failures import (
    AlreadyInitialised,
    AlreadyMember,
    BootstrapFailure,
    ChangeUnderway,
    NotLeader,
)
from godwitshunt.consensus.members import Membership
from godwitshunt.consensus.status import Identity
from godwitshunt.consensus.task import ConsensusTask
from godwitshunt.settings import Address

IDENTIFY_TIMEOUT_S = 5.0


async def bootstrap(
    task: ConsensusTask,
    addresses: tuple[Address, ...],
) -> Result[Membership, BootstrapFailure]:
    """Start a cluster of unused replicas, and make all of them voters.

    Every replica must answer and be unused before anything is written: else a
    second cluster could come up beside one that some of them belong to. This
    replica starts alone; the others join as learners and become voters one by
    one, as in any later repair. Asked again after it broke off, it goes on.

    Parameters
    ----------
    task : ConsensusTask
        A started replica with an unused folder; it becomes the first voter.
    addresses : tuple of Address
        Peer addresses of the other replicas.
    """
    found = []
    for address in addresses:
        answer = await task.transport.identify(address, IDENTIFY_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        found.append(answer.ok_value)
    planned = replicas_to_join(task, found)
    if isinstance(planned, Err):
        return planned
    await task.driver.inbox.put(ClusterStarted(task.options.address))
    by_replica = dict(zip(found, addresses, strict=True))
    for identity in planned.ok_value:
        joined = await join(task, identity, by_replica[identity])
        if isinstance(joined, Err):
            return joined
    return Ok(task.replica.state.membership)


def replicas_to_join(
    task: ConsensusTask,
    found: list[Identity],
) -> Result[list[Identity], AlreadyInitialised]:
    """Return who has to join, or who belongs to a cluster already.

    A start that broke off is taken up again: this replica then leads a
    cluster in which some of the others are missing. The new folder of a
    voter that lost its own is not missing; that takes a repair.
    """
    own = task.identity()
    if own.unused:
        used = [one for one in found if not one.unused]
        return Err(AlreadyInitialised(used[0].replica)) if used else Ok(found)
    membership = task.replica.state.membership
    missing = [one for one in found if not membership.is_voter(one.replica)]
    if not missing or not task.leadership().is_leader:
        return Err(AlreadyInitialised(own.replica))
    names = {voter.name for voter in membership.voters}
    for identity in missing:
        is_free = identity.unused or membership.find(identity.replica)
        if identity.replica.name in names or not is_free:
            return Err(AlreadyInitialised(identity.replica))
    return Ok(missing)


async def join(
    task: ConsensusTask,
    identity: Identity,
    address: Address,
) -> Result[object, BootstrapFailure]:
    """Make an unused replica a learner, then a voter."""
    replica = identity.replica
    deadline_s = task.timer.now() + task.options.promotion_timeout_s
    while True:
        added = await task.add_learner(
            replica.name,
            replica.incarnation,
            address,
        )
        match added:
            case Ok() | Err(AlreadyMember()):
                return await task.promote(replica.name)
            # The first leader has yet to be elected, or to commit its entry.
            case Err(NotLeader() | ChangeUnderway()):
                if task.timer.now() > deadline_s:
                    return added
            case _:
                return added
        await asyncio.sleep(task.options.replica.heartbeat_s)
