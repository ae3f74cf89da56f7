"""Making and repairing the cluster when answers and steps are lost."""

from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from godwitshunt.configuration.cluster import Cluster
from godwitshunt.consensus import (
    AlreadyInitialised,
    CommitUnknown,
    Identity,
    Leadership,
    MemberStatus,
    NotLeader,
    UnknownMember,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.settings import Address

ADDRESSES = tuple(Address(host='127.0.0.1', port=port) for port in (1, 2, 3))
VOTERS = {'c1/a', 'c2/a', 'c3/a'}


@dataclass
class FakeConsensus:
    """Members that change by steps; one step is lost, done or not."""

    members_now: dict[ReplicaId, bool]
    folders: dict[Address, Identity]
    lost_step: int = 0
    lost_is_done: bool = False
    leads: bool = True
    steps: int = 0
    log: list[str] = field(default_factory=list)

    @property
    def transport(self):
        """Stand in for the links, too."""
        return self

    async def identify(self, address, timeout_s):
        """Tell whose folder is at an address."""
        return Ok(self.folders[address])

    def identity(self):
        """Tell the first replica's identity."""
        return self.folders[ADDRESSES[0]]

    def leadership(self):
        """Tell whether the first replica leads."""
        return Leadership('c1', 1, self.leads, 1, 0)

    def members(self):
        """Return the members."""
        by_name = dict(zip(('c1', 'c2', 'c3'), ADDRESSES, strict=True))
        return tuple(
            MemberStatus(one, by_name[one.name], voter, 0, 0, True)
            for one, voter in self.members_now.items()
        )

    def step(self, replica, voter):
        """Change a member, unless this is the lost step."""
        self.steps += 1
        is_lost = self.steps == self.lost_step
        if not is_lost or self.lost_is_done:
            self.members_now.pop(replica, None)
            if voter is not None:
                self.members_now[replica] = voter
        quorum = sum(self.members_now.values())
        self.log.append(f'{quorum} voters')
        return Err(CommitUnknown('lost')) if is_lost else Ok(None)

    async def add_learner(self, name, incarnation, address):
        """Add a learner."""
        return self.step(ReplicaId(name, incarnation), voter=False)

    async def promote(self, name):
        """Make the learner of a name a voter."""
        for replica, voter in tuple(self.members_now.items()):
            if replica.name == name and not voter:
                return self.step(replica, voter=True)
        return Err(UnknownMember(ReplicaId(name, '')))

    async def remove(self, name, incarnation):
        """Take a member out."""
        return self.step(ReplicaId(name, incarnation), voter=None)

    def voters(self):
        """Return the voters."""
        return {str(one) for one, voter in self.members_now.items() if voter}


def replicas(members: str, folders: str, **more) -> FakeConsensus:
    """Return a cluster, for instance of ``a a b``: one letter a folder."""
    names = ('c1', 'c2', 'c3')
    now = {
        ReplicaId(name, letter): True
        for name, letter in zip(names, members.split(), strict=False)
    }
    found = {
        address: Identity(
            ReplicaId(name, letter), ReplicaId(name, letter) not in now
        )
        for name, letter, address in zip(
            names, folders.split(), ADDRESSES, strict=True
        )
    }
    return FakeConsensus(now, found, **more)


@pytest.mark.parametrize('lost_step', [0, 1, 2, 3])
@pytest.mark.parametrize('lost_is_done', [False, True])
async def test_replace_can_be_repeated_at_each_step(lost_step, lost_is_done):
    """A disk was lost; the answer to one step of the repair is lost, too.

    The operator runs the command again and ends with three voters; at no
    step were there fewer, so that a second loss would cost nothing.
    """
    consensus = replicas(
        'a a a',
        'a a b',
        lost_step=lost_step,
        lost_is_done=lost_is_done,
    )
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    first = await cluster.replace('c3', None)
    assert isinstance(first, Err) == bool(lost_step)
    await cluster.replace('c3', None)
    assert consensus.voters() == {'c1/a', 'c2/a', 'c3/b'}
    assert not {'1 voters', '2 voters'} & set(consensus.log)
    steps = consensus.steps
    await cluster.replace('c3', None)
    assert consensus.steps == steps


@pytest.mark.parametrize('lost_step', [1, 2, 3, 4])
async def test_init_that_was_cut_off_goes_on(lost_step):
    """The first replica is started; joining another one is cut off.

    The operator runs ``init`` again and ends with three voters. Once they
    are, it is refused, also where a disk was lost since.
    """
    consensus = replicas('a', 'a a a', lost_step=lost_step)
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert isinstance(await cluster.initialise(), Err)
    assert isinstance(await cluster.initialise(), Ok)
    assert consensus.voters() == VOTERS
    lost = replicas('a a a', 'a a b')
    refused = await Cluster(lost, ADDRESSES, ADDRESSES[0]).initialise()
    assert isinstance(refused.err_value, AlreadyInitialised)
    assert lost.voters() == VOTERS


async def test_refusals():
    """A follower is asked, or a replica that never was a member."""
    consensus = replicas('a a a', 'a a b', leads=False)
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert (await cluster.replace('c3', None)).err_value == NotLeader('c1')
    consensus.leads = True
    unknown = await cluster.replace('c9', None)
    assert isinstance(unknown.err_value, UnknownMember)
    assert consensus.steps == 0
