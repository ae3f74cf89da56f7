"""Tests of the control state: manifest numbers, orders and snapshots."""

from dataclasses import asdict, replace

import pytest

from godwitshunt.configuration.commands import (
    Accepted,
    AcceptManifest,
    Applied,
    BaseChanged,
    ChangeHolders,
    ChangeVms,
    IssueOrder,
    ManifestUnreadable,
    NumberConflict,
    NumberTooOld,
    OrderConflict,
)
from godwitshunt.configuration.document import (
    document_of,
    manifest_digest_of,
    pack_document,
    revision_of,
)
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.tests.fakes import manifest, vm
from godwitshunt.configuration.transitions import apply_command
from godwitshunt.configuration.wire import (
    decode_command,
    encode_command,
    pack_state,
    unpack_state,
)
from godwitshunt.manifest import manifest_digest


def accept_command(
    number: int, cost: float = 0, base: str = ''
) -> AcceptManifest:
    """Return a command; `cost` varies the manifest of a number."""
    document = document_of(manifest(number, objective={'cost': cost}))
    digest = manifest_digest_of(document)
    return AcceptManifest(number, digest, base, pack_document(document))


def apply_all(state: ControlState, *commands, compacted: bool = False):
    """Apply commands in order; return the state and the last outcome.

    With `compacted`, the state goes through a snapshot after each command.
    """
    outcome = None
    for command in commands:
        payload = encode_command(command)[1]
        state, outcome = apply_command(state, decode_command(payload)[1])
        if compacted:
            state = unpack_state(pack_state(state)).ok_value
    return state, outcome


@pytest.mark.parametrize('later_count', [0, 1, 300])
@pytest.mark.parametrize('compacted', [False, True])
def test_resent_manifest_gets_the_first_answer(later_count, compacted):
    """An operator does not receive the answer and resends the manifest.

    In between, others made changes and the log was compacted. The answer
    names the first revision and the number that superseded it; the state
    does not change.
    """
    state, first = apply_all(ControlState(), accept_command(1))
    changes = [accept_command(number) for number in range(2, later_count + 2)]
    state, _ = apply_all(state, *changes, compacted=compacted)
    same, repeated = apply_all(state, accept_command(1), compacted=compacted)
    superseded_by = later_count + 1 if later_count else None
    assert repeated == Accepted(
        1,
        first.digest,
        first.revision,
        superseded_by,
        repeated=True,
    )
    assert same == state


@pytest.mark.parametrize(
    ('accepted', 'sent', 'expected'),
    [
        ([accept_command(1)], accept_command(1, cost=2), (NumberConflict, 1)),
        (
            [accept_command(1), accept_command(7)],
            accept_command(5),
            (NumberConflict, 7),
        ),
        (
            [accept_command(1), accept_command(7)],
            accept_command(1, cost=2),
            (NumberConflict, 1),
        ),
        (
            [accept_command(1), accept_command(5000)],
            accept_command(1),
            (NumberTooOld, 905),
        ),
        (
            [accept_command(1), accept_command(5000)],
            accept_command(905),
            (NumberConflict, 5000),
        ),
        (
            [accept_command(1)],
            accept_command(2, base='another'),
            (BaseChanged, None),
        ),
    ],
)
def test_conflicting_or_old_number_is_refused(accepted, sent, expected):
    """Two operators send at once, or one sends an outdated number.

    A number stands for one manifest; the refusal names the number that won
    or the oldest one still known.
    """
    state, _ = apply_all(ControlState(), *accepted)
    same, outcome = apply_all(state, sent)
    outcome_type, expected_number = expected
    assert isinstance(outcome, outcome_type)
    assert same == state
    fields = asdict(outcome)
    assert expected_number in {
        fields.get('winner_number'),
        fields.get('oldest_known'),
    }


def test_body_that_does_not_match_its_digest_is_refused():
    """A faulty leader commits a body with the digest of another one.

    Each replica refuses the command; otherwise VMs would apply a manifest
    that no operator sent.
    """
    mismatched = AcceptManifest(1, 'f' * 64, '', accept_command(1).body)
    state, outcome = apply_all(ControlState(), mismatched)
    assert isinstance(outcome, ManifestUnreadable)
    assert state == ControlState()


def test_document_digest_equals_the_manifest_digest():
    """Replicas verify a document by the digest that operators compute."""
    document = document_of(manifest())
    assert manifest_digest_of(document) == manifest_digest(manifest())
    assert revision_of(3, document).manifest == manifest()


def test_last_holder_generations_are_retained():
    """Claim holders change often while older keys are still in use.

    The last eight generations stay listed, so that their claims are found.
    """
    state, _ = apply_all(
        ControlState(), accept_command(1), ChangeVms((vm('e1', 'split', 1),))
    )
    names = [('e1',), ('e1', 'e2'), ('e2',), ('e2',), ('e3',), ('e4',)]
    names += [('e5',), ('e6',), ('e7',), ('e8',)]
    for holder_names in names:
        state, _ = apply_all(state, ChangeHolders('split', holder_names))
    holders = revision_of(state.revision, state.document).holders
    assert [listed.generation for listed in holders] == [2, 3, 4, 5, 6, 7, 8, 9]
    same, outcome = apply_all(state, ChangeHolders('split', ('e8',)))
    assert same == state
    assert outcome == Applied(state.revision)


def test_repeated_order_keeps_its_fencing_number():
    """The answer to an order is lost, and the order is sent again.

    It keeps its fencing number; another order of the same name is refused.
    """
    first = IssueOrder('o1', 'engine-1', 'load', 'review', 3)
    other = IssueOrder('o2', 'engine-1', 'load', 'other', 2)
    state, issued = apply_all(ControlState(), first)
    state, second_issued = apply_all(state, other)
    state, repeated = apply_all(state, first, compacted=True)
    assert (issued.fencing, second_issued.fencing, repeated.fencing) == (
        1,
        2,
        1,
    )
    assert repeated.repeated
    assert state.weight_units == 5
    conflicting = IssueOrder('o1', 'engine-2', 'load', 'review', 3)
    assert apply_all(state, conflicting) == (state, OrderConflict('o1'))


def test_restarted_holder_starts_a_new_generation():
    """The process of a claim holder restarts and has lost its votes.

    A new generation lists its new session, so that it votes on new keys at
    once. The old generation keeps the old session, so that the holder
    abstains for older keys.
    """
    first = replace(vm('e1', 'split', 1), session='before')
    restarted = replace(first, session='after')
    state, _ = apply_all(
        ControlState(),
        accept_command(1),
        ChangeVms((first,)),
        ChangeHolders('split', ('e1',)),
        ChangeVms((restarted,)),
        ChangeHolders('split', ('e1',)),
        ChangeHolders('split', ('e1',)),
    )
    holders = revision_of(state.revision, state.document).holders
    sessions = [(listed.generation, listed.sessions) for listed in holders]
    assert sessions == [(1, ('before',)), (2, ('after',))]
