"""The task that heals the membership, without a network."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from godwitshunt.consensus.healer import PROBE_AFTER_S, Healer
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.status import Identity, MemberStatus
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

ADDRESS = Address(host='10.0.0.2', port=7660)
OLD, NEW = ReplicaId('vm-2', 'a'), ReplicaId('vm-2', 'b')


class FakeConsensus:
    """A leader with one other voter, whose changes never commit.

    Parameters
    ----------
    answering : ReplicaId
        Who answers at the voter's address.
    """

    def __init__(self, answering, silent_s):
        self.answering = answering
        self.silent_s = silent_s
        self.leads = True
        self.metrics = Metrics()
        self.options = SimpleNamespace(address=Address(host='10.0.0.1', port=1))
        self.replica = SimpleNamespace(
            state=SimpleNamespace(leader_since_s=0.0),
        )
        self.transport = SimpleNamespace(identify=self.identify)
        self.proposed = []
        self.ended = asyncio.Event()

    async def identify(self, address, timeout_s):
        """Return who answers."""
        return Ok(Identity(self.answering, unused=True))

    def leadership(self):
        """Tell whether this replica leads."""
        return SimpleNamespace(is_leader=self.leads, name='vm-1')

    def members(self):
        """Return the other voter."""
        return (MemberStatus(OLD, ADDRESS, True, 0, self.silent_s, False),)

    def spawn(self, work):
        """Run work in a task."""
        return asyncio.create_task(work)

    async def change_members(self, change):
        """Take a change and never commit it."""
        self.proposed.append(change.replica)
        try:
            await asyncio.Event().wait()
        finally:
            self.ended.set()


def make_healer(consensus):
    """Return the healer of a leader that has led for long."""
    timer = VirtualTimerService(time_s=100.0)
    return Healer(consensus, tuple, None, timer)


@pytest.mark.parametrize(
    ('answering', 'silent_s', 'removed'),
    [
        (NEW, 2 * PROBE_AFTER_S, [OLD]),
        (OLD, 2 * PROBE_AFTER_S, []),
        (NEW, 0.0, []),
    ],
)
async def test_a_silent_member_is_asked_for_its_folder(
    answering, silent_s, removed
):
    """A VM without its disk that knows nobody was never let in."""
    consensus = FakeConsensus(answering, silent_s)
    healer = make_healer(consensus)
    healer.check()
    await asyncio.sleep(0.01)
    assert consensus.proposed == removed


async def test_changes_end_with_their_leadership():
    """A change of an ended leadership held up the next one for seconds."""
    consensus = FakeConsensus(NEW, 2 * PROBE_AFTER_S)
    healer = make_healer(consensus)
    healer.check()
    await asyncio.sleep(0.01)
    assert consensus.proposed
    consensus.leads = False
    healer.is_leaderless = bool
    healer.check()
    async with asyncio.timeout(1):
        await consensus.ended.wait()
