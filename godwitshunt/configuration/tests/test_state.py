"""The control state: one contents a number, orders once, snapshots whole."""

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


def accept(number: int, cost: float = 0, base: str = '') -> AcceptManifest:
    """Return a command; another cost gives other contents."""
    document = document_of(manifest(number, objective={'cost': cost}))
    digest = manifest_digest_of(document)
    return AcceptManifest(number, digest, base, pack_document(document))


def run(state: ControlState, *commands, compacted: bool = False):
    """Apply commands in order; return the state and the last outcome."""
    outcome = None
    for command in commands:
        payload = encode_command(command)[1]
        state, outcome = apply_command(state, decode_command(payload)[1])
        if compacted:
            state = unpack_state(pack_state(state)).ok_value
    return state, outcome


@pytest.mark.parametrize('later', [0, 1, 300])
@pytest.mark.parametrize('compacted', [False, True])
def test_resend_gets_the_first_answer(later, compacted):
    """An operator loses the answer and sends the manifest again.

    Meanwhile others made changes, and the log was compacted. He is told the
    first revision and what superseded it, and nothing changes.
    """
    state, first = run(ControlState(), accept(1))
    changes = [accept(number) for number in range(2, later + 2)]
    state, _ = run(state, *changes, compacted=compacted)
    same, again = run(state, accept(1), compacted=compacted)
    superseded_by = later + 1 if later else None
    assert again == Accepted(
        1,
        first.digest,
        first.revision,
        superseded_by,
        repeated=True,
    )
    assert same == state


@pytest.mark.parametrize(
    ('taken', 'sent', 'expected'),
    [
        ([accept(1)], accept(1, cost=2), (NumberConflict, 1)),
        ([accept(1), accept(7)], accept(5), (NumberConflict, 7)),
        ([accept(1), accept(7)], accept(1, cost=2), (NumberConflict, 1)),
        ([accept(1), accept(5000)], accept(1), (NumberTooOld, 905)),
        ([accept(1), accept(5000)], accept(905), (NumberConflict, 5000)),
        ([accept(1)], accept(2, base='another'), (BaseChanged, None)),
    ],
)
def test_number_that_cannot_be_taken(taken, sent, expected):
    """Two operators race, or one sends a number that lies behind.

    Only one contents belongs to a number; the loser is told who won.
    """
    state, _ = run(ControlState(), *taken)
    same, outcome = run(state, sent)
    kind, told = expected
    assert isinstance(outcome, kind)
    assert same == state
    fields = asdict(outcome)
    assert told in {
        fields.get('winner_number'),
        fields.get('oldest_known'),
    }


def test_body_of_another_digest_changes_nothing():
    """A proposing replica with a fault commits a body and a wrong digest.

    Every replica refuses it alike; otherwise VMs would run a manifest that
    no operator sent.
    """
    bad = AcceptManifest(1, 'f' * 64, '', accept(1).body)
    state, outcome = run(ControlState(), bad)
    assert isinstance(outcome, ManifestUnreadable)
    assert state == ControlState()


def test_cheap_digest_equals_the_manifest_digest():
    """Replicas check a delta by the same digest that operators compute."""
    document = document_of(manifest())
    assert manifest_digest_of(document) == manifest_digest(manifest())
    assert revision_of(3, document).manifest == manifest()


def test_vms_and_holders_keep_the_last_generations():
    """Holders change often while keys of earlier generations are in use.

    The last eight generations stay listed, so that their claims are found.
    """
    state, _ = run(
        ControlState(), accept(1), ChangeVms((vm('e1', 'split', 1),))
    )
    names = [('e1',), ('e1', 'e2'), ('e2',), ('e2',), ('e3',), ('e4',)]
    names += [('e5',), ('e6',), ('e7',), ('e8',)]
    for chosen in names:
        state, _ = run(state, ChangeHolders('split', chosen))
    holders = revision_of(state.revision, state.document).holders
    assert [one.generation for one in holders] == [2, 3, 4, 5, 6, 7, 8, 9]
    same, outcome = run(state, ChangeHolders('split', ('e8',)))
    assert same == state
    assert outcome == Applied(state.revision)


def test_orders_are_numbered_once():
    """An order's answer is lost and it is asked for again by its name.

    It keeps its fencing number; another order under the name is refused.
    """
    first = IssueOrder('o1', 'engine-1', 'load', 'review', 3)
    other = IssueOrder('o2', 'engine-1', 'load', 'other', 2)
    state, issued = run(ControlState(), first)
    state, later = run(state, other)
    state, again = run(state, first, compacted=True)
    assert (issued.fencing, later.fencing, again.fencing) == (1, 2, 1)
    assert again.repeated
    assert state.weight_units == 5
    clash = IssueOrder('o1', 'engine-2', 'load', 'review', 3)
    assert run(state, clash) == (state, OrderConflict('o1'))


def test_restarted_holder_begins_a_new_generation():
    """A holder's process restarts and has forgotten votes of its keys.

    A new generation lists its new session, so that it votes on new keys at
    once; the old generation keeps the old session, in which it must abstain.
    """
    first = replace(vm('e1', 'split', 1), session='before')
    again = replace(first, session='after')
    state, _ = run(
        ControlState(),
        accept(1),
        ChangeVms((first,)),
        ChangeHolders('split', ('e1',)),
        ChangeVms((again,)),
        ChangeHolders('split', ('e1',)),
        ChangeHolders('split', ('e1',)),
    )
    holders = revision_of(state.revision, state.document).holders
    sessions = [(one.generation, one.sessions) for one in holders]
    assert sessions == [(1, ('before',)), (2, ('after',))]
