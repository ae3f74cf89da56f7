"""Tests of creating and repairing the cluster when replies are lost."""

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
    """Consensus of which one membership change gets no reply.

    `lost_reply_applied` says whether the change `lost_reply_at` (counted
    from 1; 0 is none) takes effect.
    """

    voter_flags: dict[ReplicaId, bool]
    identities: dict[Address, Identity]
    lost_reply_at: int = 0
    lost_reply_applied: bool = False
    is_leader: bool = True
    change_count: int = 0
    voter_log: list[str] = field(default_factory=list)

    @property
    def transport(self):
        """Return this object, which also replaces the transport."""
        return self

    async def identify(self, address, timeout_s):
        """Return the identity that is stored at an address."""
        return Ok(self.identities[address])

    def identity(self):
        """Return the identity of the first replica."""
        return self.identities[ADDRESSES[0]]

    def leadership(self):
        """Return the leadership as the first replica knows it."""
        return Leadership('c1', 1, self.is_leader, 1, 0)

    def members(self):
        """Return the status of each member."""
        by_name = dict(zip(('c1', 'c2', 'c3'), ADDRESSES, strict=True))
        return tuple(
            MemberStatus(replica, by_name[replica.name], voter, 0, 0, True)
            for replica, voter in self.voter_flags.items()
        )

    def change_member(self, replica, voter):
        """Add, promote or remove a member; `voter` is None to remove it."""
        self.change_count += 1
        is_reply_lost = self.change_count == self.lost_reply_at
        if not is_reply_lost or self.lost_reply_applied:
            self.voter_flags.pop(replica, None)
            if voter is not None:
                self.voter_flags[replica] = voter
        voter_count = sum(self.voter_flags.values())
        self.voter_log.append(f'{voter_count} voters')
        return Err(CommitUnknown('lost')) if is_reply_lost else Ok(None)

    async def add_learner(self, name, incarnation, address):
        """Add a learner."""
        return self.change_member(ReplicaId(name, incarnation), voter=False)

    async def promote(self, name):
        """Promote the learner with this name to a voter."""
        for replica, voter in tuple(self.voter_flags.items()):
            if replica.name == name and not voter:
                return self.change_member(replica, voter=True)
        return Err(UnknownMember(ReplicaId(name, '')))

    async def remove(self, name, incarnation):
        """Remove a member."""
        return self.change_member(ReplicaId(name, incarnation), voter=None)

    def voters(self):
        """Return the voters as `name/incarnation`."""
        return {
            str(replica) for replica, voter in self.voter_flags.items() if voter
        }


def make_consensus(members: str, stored: str, **options) -> FakeConsensus:
    """Return a consensus of replicas c1 to c3.

    Each letter is the incarnation of one replica: in `members` as the
    cluster knows it, in `stored` as the replica has it on disk.
    """
    names = ('c1', 'c2', 'c3')
    current = {
        ReplicaId(name, incarnation): True
        for name, incarnation in zip(names, members.split(), strict=False)
    }
    identities = {
        address: Identity(
            ReplicaId(name, incarnation),
            ReplicaId(name, incarnation) not in current,
        )
        for name, incarnation, address in zip(
            names, stored.split(), ADDRESSES, strict=True
        )
    }
    return FakeConsensus(current, identities, **options)


@pytest.mark.parametrize('lost_reply_at', [0, 1, 2, 3])
@pytest.mark.parametrize('lost_reply_applied', [False, True])
async def test_replace_can_be_repeated_after_any_lost_reply(
    lost_reply_at,
    lost_reply_applied,
):
    """A replica lost its disk, and the reply to one membership change is lost.

    Running the command again yields three voters. There are never fewer in
    between, so that the cluster tolerates one more failed replica throughout.
    """
    consensus = make_consensus(
        'a a a',
        'a a b',
        lost_reply_at=lost_reply_at,
        lost_reply_applied=lost_reply_applied,
    )
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    first = await cluster.replace('c3', None)
    assert isinstance(first, Err) == bool(lost_reply_at)
    await cluster.replace('c3', None)
    assert consensus.voters() == {'c1/a', 'c2/a', 'c3/b'}
    assert not {'1 voters', '2 voters'} & set(consensus.voter_log)
    change_count = consensus.change_count
    await cluster.replace('c3', None)
    assert consensus.change_count == change_count


@pytest.mark.parametrize('lost_reply_at', [1, 2, 3, 4])
async def test_interrupted_init_can_be_repeated(lost_reply_at):
    """The first replica is initialised; adding another one is interrupted.

    Running ``init`` again yields three voters. It is refused if a replica has
    lost its disk since.
    """
    consensus = make_consensus('a', 'a a a', lost_reply_at=lost_reply_at)
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert isinstance(await cluster.initialise(), Err)
    assert isinstance(await cluster.initialise(), Ok)
    assert consensus.voters() == VOTERS
    disk_lost = make_consensus('a a a', 'a a b')
    outcome = await Cluster(disk_lost, ADDRESSES, ADDRESSES[0]).initialise()
    assert isinstance(outcome.err_value, AlreadyInitialised)
    assert disk_lost.voters() == VOTERS


async def test_init_succeeds_again_after_its_answer_was_lost():
    """An operator is told that the replicas belong to another cluster."""
    consensus = make_consensus('a a a', 'a a a')
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert isinstance(await cluster.initialise(), Ok)
    assert consensus.change_count == 0


async def test_new_leader_resumes_an_interrupted_init():
    """The first replica lost its leadership before all were voters.

    It can do nothing more, and refused the command for good.
    """
    consensus = make_consensus('a a', 'a a a', is_leader=False)
    first = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert (await first.initialise()).err_value == NotLeader('c1')
    consensus.is_leader = True
    identities = consensus.identities
    consensus.identity = lambda: identities[ADDRESSES[1]]
    second = Cluster(consensus, ADDRESSES, ADDRESSES[1])
    assert isinstance(await second.initialise(), Ok)
    assert consensus.voters() == VOTERS


async def test_unused_replica_starts_no_second_cluster():
    """The command reaches a replica that is not the first one named."""
    consensus = make_consensus('', 'a a a')
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[1])
    assert (await cluster.initialise()).err_value == NotLeader(None)


async def test_interrupted_init_does_not_say_that_nothing_was_done():
    """The leader loses its quorum after one replica has joined."""
    consensus = make_consensus('a', 'a a a')

    async def lose_leadership(name):
        return Err(NotLeader(None))

    consensus.promote = lose_leadership
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    outcome = await cluster.initialise()
    assert isinstance(outcome.err_value, CommitUnknown)


async def test_replace_is_refused_by_follower_and_for_unknown_member():
    """A refused replacement changes no member."""
    consensus = make_consensus('a a a', 'a a b', is_leader=False)
    cluster = Cluster(consensus, ADDRESSES, ADDRESSES[0])
    assert (await cluster.replace('c3', None)).err_value == NotLeader('c1')
    consensus.is_leader = True
    outcome = await cluster.replace('c9', None)
    assert isinstance(outcome.err_value, UnknownMember)
    assert consensus.change_count == 0
