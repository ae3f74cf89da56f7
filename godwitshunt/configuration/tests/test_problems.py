"""Tests of the problem documents of commands that were not proposed."""

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
def test_refused_change_is_reported_as_not_run(failure):
    """A membership change is refused, for instance during another one.

    If the outcome were *unknown*, the operator would look for a change that
    never began.
    """
    problem = problem_of(failure)
    assert problem.outcome == 'not-run'
    assert problem.slug != 'failed'
