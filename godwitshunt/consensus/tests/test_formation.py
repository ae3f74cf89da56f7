"""Clusters that form without an operator, and heal their membership."""

from random import Random

import pytest

from godwitshunt.consensus import DataFolder, ReplicaId
from godwitshunt.consensus.events import (
    AddLearner,
    PromoteLearner,
    RemoveMember,
)
from godwitshunt.consensus.formation import (
    FIRST_INCARNATION,
    FirstVoter,
    first_entry,
)
from godwitshunt.consensus.healing import (
    Candidate,
    Candidates,
    HealingOptions,
    next_change,
)
from godwitshunt.consensus.replica import Replica
from godwitshunt.consensus.state import ReplicaOptions
from godwitshunt.consensus.status import MemberStatus
from godwitshunt.consensus.tests.disk import (
    MemoryFileSystem,
    PowerLoss,
)
from godwitshunt.settings import Address

OPTIONS = HealingOptions()


def address(number):
    """Return a replica's address."""
    return Address(host=f'10.0.0.{number}', port=7660)


VOTERS = tuple(FirstVoter(f'vm-{one}', address(one)) for one in (1, 2, 3))


def open_folder(disk, first=None, name='vm-1'):
    """Open a folder as a process does at its start."""
    return DataFolder.open(disk, name, lambda: 'random', first)


def test_first_voters_write_the_same_entry():
    """Seeds start in any order, and each lists the others in its own."""
    entries = {first_entry(VOTERS), first_entry(tuple(reversed(VOTERS)))}
    assert len(entries) == 1


@pytest.mark.parametrize('keeps_cache', [True, False])
@pytest.mark.parametrize('stop_at', range(12))
def test_first_start_is_taken_up_after_a_crash(stop_at, keeps_cache):
    """The process is killed, or power is lost, while its folder is made.

    Found half-made, the folder would have the identity of a first voter and
    no first entry, and a later start could give it another one.
    """
    disk = MemoryFileSystem(stop_at=stop_at, keeps_cache=keeps_cache)
    try:
        open_folder(disk, first_entry(VOTERS)).close()
    except PowerLoss:
        disk.stop()
    disk.stop_at = None
    later = open_folder(disk)
    formed = later.stored.log.last_index == 1
    first = ReplicaId('vm-1', FIRST_INCARNATION)
    assert (later.stored.identity == first) is formed


def test_lost_folder_is_no_first_voter():
    """A seed loses its disk right after the start.

    Its folder may have voted; back under the same identity it could vote
    once more in the same term, and two replicas would lead.
    """
    folder = open_folder(MemoryFileSystem())
    assert folder.stored.identity == ReplicaId('vm-1', 'random')
    assert folder.stored.log.last_index == 0


def test_replica_without_a_log_never_campaigns():
    """A new VM starts with an empty folder while the others are away."""
    folder = open_folder(MemoryFileSystem(), name='vm-9')
    replica = Replica.from_stored(
        folder.stored,
        ReplicaOptions(),
        Random(1),
        0.0,
    )
    assert not replica.state.may_lead()


def member(number, voter=True, silent_s=0.1, caught_up=False, folder='a'):
    """Return a member as its leader knows it."""
    return MemberStatus(
        replica=ReplicaId(f'vm-{number}', folder),
        address=address(number),
        voter=voter,
        missing=0,
        silent_s=silent_s,
        caught_up=caught_up,
    )


def candidate(number, folder='b', heard_s=100.0, confirmed=False):
    """Return a replica that asked to join."""
    replica = ReplicaId(f'vm-{number}', folder)
    return Candidate(replica, address(number), heard_s, confirmed)


FIVE = tuple(member(number) for number in range(1, 6))
THREE = FIVE[:3]


@pytest.mark.parametrize(
    ('members', 'candidates', 'change'),
    [
        pytest.param(FIVE, (), None, id='whole'),
        pytest.param(
            THREE,
            (candidate(4),),
            AddLearner(ReplicaId('vm-4', 'b'), address(4)),
            id='a VM beyond the seeds joins',
        ),
        pytest.param(
            (*THREE, member(4, voter=False, caught_up=True)),
            (),
            PromoteLearner(ReplicaId('vm-4', 'a')),
            id='and votes once it has every entry',
        ),
        pytest.param(
            (*THREE, member(4, voter=False)),
            (),
            None,
            id='but not before',
        ),
        pytest.param(
            (*FIVE[:4], member(5, silent_s=9.0)),
            (),
            None,
            id='a silent voter without a spare stays',
        ),
        pytest.param(
            (*FIVE[:4], member(5, silent_s=9.0)),
            (candidate(5),),
            RemoveMember(ReplicaId('vm-5', 'a')),
            id='its VM answers with another folder: the old one is gone',
        ),
        pytest.param(
            FIVE,
            (candidate(5, confirmed=True),),
            RemoveMember(ReplicaId('vm-5', 'a')),
            id='its VM answers a call with another folder: no silence needed',
        ),
        pytest.param(
            FIVE,
            (
                candidate(5, folder='a', confirmed=True),
                candidate(5, folder='old'),
            ),
            None,
            id='a late message after the answer to a call counts for nothing',
        ),
        pytest.param(
            FIVE,
            (
                candidate(5, confirmed=True),
                candidate(5, heard_s=100.5),
            ),
            RemoveMember(ReplicaId('vm-5', 'a')),
            id='a replica that asks again stays confirmed',
        ),
        pytest.param(
            FIVE,
            (candidate(5, folder='old'),),
            AddLearner(ReplicaId('vm-5', 'old'), address(5)),
            id='a late message of an older folder takes nobody out',
        ),
        pytest.param(
            (
                *FIVE[:4],
                member(5, silent_s=9.0),
                member(6, voter=False, caught_up=True),
            ),
            (),
            PromoteLearner(ReplicaId('vm-6', 'a')),
            id='a replaced VM: the spare first',
        ),
        pytest.param(
            (*FIVE[:4], member(5, silent_s=9.0), member(6)),
            (),
            RemoveMember(ReplicaId('vm-5', 'a')),
            id='then the silent one',
        ),
        pytest.param(
            (*FIVE, member(6)),
            (),
            None,
            id='one voter too many, all alive: nobody goes',
        ),
        pytest.param(
            (*FIVE, member(6, voter=False, silent_s=20.0)),
            (),
            RemoveMember(ReplicaId('vm-6', 'a')),
            id='a learner that is gone',
        ),
        pytest.param(
            THREE,
            (candidate(4, heard_s=90.0),),
            None,
            id='one that asked long ago may be gone again',
        ),
    ],
)
def test_next_change(members, candidates, change):
    """VMs of control join, lose their disks, fall silent, are replaced."""
    asked = Candidates(OPTIONS)
    for one in candidates:
        asked.note(one)
    assert next_change(members, asked.alive(100.0), OPTIONS) == change
