"""What operators are told of commands that were never proposed."""

import pytest

from godwitshunt.configuration.problems import problem_of
from godwitshunt.consensus import (
    AlreadyMember,
    ChangeUnderway,
    EntryTooLarge,
    LastVoter,
    QuorumWouldBeLost,
)
from godwitshunt.consensus.members import ReplicaId

REPLICA = ReplicaId('c1', '1')


@pytest.mark.parametrize(
    'failure',
    [
        ChangeUnderway(),
        AlreadyMember(REPLICA),
        LastVoter(REPLICA),
        QuorumWouldBeLost(1, 2),
        EntryTooLarge(9, 8),
    ],
)
def test_change_that_was_not_begun_is_told_as_such(failure):
    """An operator repairs a replica while another change is under way.

    Told *unknown*, the operator would look for a change that never began.
    """
    problem = problem_of(failure)
    assert problem.outcome == 'not-run'
    assert problem.slug != 'failed'
