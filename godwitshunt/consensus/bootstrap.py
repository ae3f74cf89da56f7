"""The start of a new cluster; only ``godwitshunt init`` does this, once."""

import asyncio

from result import Err, Ok, Result

from godwitshunt.consensus.events import ClusterStarted
from godwitshunt.consensus.failures import (
    AlreadyInitialised,
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
    one, as in any later repair.

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
    for identity in (task.identity(), *found):
        if not identity.unused:
            return Err(AlreadyInitialised(identity.replica))
    await task.driver.inbox.put(ClusterStarted(task.options.address))
    for identity, address in zip(found, addresses, strict=True):
        joined = await join(task, identity, address)
        if isinstance(joined, Err):
            return joined
    return Ok(task.replica.state.membership)


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
            case Ok():
                return await task.promote(replica.name)
            # The first leader has yet to be elected, or to commit its entry.
            case Err(NotLeader() | ChangeUnderway()):
                if task.timer.now() > deadline_s:
                    return added
            case _:
                return added
        await asyncio.sleep(task.options.replica.heartbeat_s)
