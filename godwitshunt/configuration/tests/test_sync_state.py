"""Tests of deltas and of applying updates in any order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.configuration.delta import diff, patch
from godwitshunt.configuration.document import (
    Document,
    digest_of,
    index_by_name,
    pack,
    unpack,
)
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.sync_state import (
    SyncState,
    UpdateRejected,
    apply_update,
)

entries = st.lists(
    st.builds(
        lambda name, cost: {'name': name, 'cost': cost},
        st.sampled_from('abcdef'),
        st.integers(0, 2),
    ),
    unique_by=lambda entry: entry['name'],
)
documents = st.builds(
    lambda number, callers, vms: Document(
        {'number': number},
        {
            'callers': index_by_name('callers', callers),
            'vms': index_by_name('vms', vms),
        },
    ),
    st.integers(1, 9),
    entries,
    entries,
)
SETTINGS = settings(max_examples=150, deadline=None, derandomize=True)


@given(documents, documents)
@SETTINGS
def test_patch_with_delta_gives_the_target(base, target):
    """Entries may change, move, be added or be removed."""
    delta = unpack(pack(diff(base, target))).ok_value
    assert digest_of(patch(base, delta).ok_value) == digest_of(target)


@given(st.lists(documents, min_size=2, max_size=8), st.data())
@SETTINGS
def test_updates_out_of_order_never_revert(versions, data):
    """Updates to a VM are delayed, duplicated, lost and reordered.

    Its revision never decreases and is always a committed one. After a
    complete exchange it is the newest.
    """
    history = RevisionHistory()
    committed = {}
    sent_updates = []
    sync_state = SyncState()
    for revision, document in enumerate(versions, start=1):
        committed_revision = DocumentRevision(
            revision, digest_of(document), document
        )
        committed[revision] = committed_revision.digest
        bases = [0, *history.documents]
        history.add(committed_revision)
        sent_updates += [history.make_update(base, 0) for base in bases]
    for update in data.draw(
        st.lists(st.sampled_from(sent_updates), max_size=12)
    ):
        previous_revision = (
            sync_state.latest.revision if sync_state.latest else 0
        )
        sync_state, _ = apply_update(sync_state, update, 0)
        if sync_state.latest:
            assert sync_state.latest.revision >= previous_revision
            digest = digest_of(sync_state.latest.document)
            assert digest == committed[sync_state.latest.revision]
    for _ in range(2):
        reply = history.make_update(sync_state.base_revision, 0)
        sync_state, _ = apply_update(sync_state, reply, 5)
    assert sync_state.latest.revision == len(versions)
    assert sync_state.proof_at == 5


def test_proof_needs_its_revision():
    """A VM receives a proof of the quorum with a delta to another base.

    If it used the proof, the VM would serve by an older rule although a
    change that was committed before the proof is already accepted.
    """
    history = RevisionHistory()
    for number in (1, 2):
        document = Document({'number': number}, {})
        history.add(DocumentRevision(number, digest_of(document), document))
    delta = history.make_update(next(iter(history.documents)), 0)
    sync_state, _ = apply_update(SyncState(), delta, 5)
    assert sync_state.latest is None
    assert sync_state.proof_at < 0
    assert sync_state.needs_full_document


def history_of(count):
    """Return a history of that many revisions."""
    history = RevisionHistory()
    for number in range(1, count + 1):
        document = Document({'number': number}, {})
        history.add(DocumentRevision(number, digest_of(document), document))
    return history


def test_delta_to_an_older_base_does_not_cost_a_full_document():
    """A push is a delta to a revision that the VM has replaced meanwhile.

    If the VM requested the full document, each quick succession of changes
    would send it whole to every VM.
    """
    history = history_of(2)
    sync_state, _ = apply_update(SyncState(), history.make_update(0, 0), 0)
    history = history_of(3)
    sync_state, outcome = apply_update(
        sync_state, history.make_update(1, 0), None
    )
    assert isinstance(outcome, UpdateRejected)
    assert sync_state.base_revision == 2
    reply = history.make_update(sync_state.base_revision, 0)
    assert reply.base_digest
    sync_state, _ = apply_update(sync_state, reply, 1)
    assert sync_state.latest.revision == 3


def test_second_delta_to_another_base_requests_the_full_document():
    """A replica's document of the VM's revision differs from the VM's own.

    Deltas to it never apply, so the VM would never become current.
    """
    history = history_of(3)
    other = Document({'number': 9}, {})
    held = DocumentRevision(2, digest_of(other), other)
    sync_state = SyncState(latest=held)
    for _ in range(2):
        reply = history.make_update(sync_state.base_revision, 0)
        sync_state, _ = apply_update(sync_state, reply, 0)
    assert sync_state.needs_full_document
    reply = history.make_update(sync_state.base_revision, 0)
    sync_state, _ = apply_update(sync_state, reply, 1)
    assert sync_state.latest.revision == 3


@pytest.mark.parametrize(
    ('age_s', 'asked_at', 'from_peer', 'is_accepted'),
    [
        (0, 12, False, True),
        (2, 12, False, True),
        (3, 12, False, False),
        (-1, 12, False, False),
        (0, None, False, False),
        (-1, 12, True, True),
    ],
)
def test_first_revision_after_diskless_restart(
    age_s, asked_at, from_peer, is_accepted
):
    """A VM restarts without a disk at 10 s and receives an update.

    A lagging control replica may send an older revision than was active on
    the VM before. The VM accepts one only with a proof from after the
    restart, or from a peer.
    """
    document = Document({'number': 1}, {})
    history = RevisionHistory()
    history.add(DocumentRevision(1, digest_of(document), document))
    update = history.make_update(0, age_s)
    sync_state, _ = apply_update(
        SyncState(started_at=10),
        update,
        asked_at,
        from_peer=from_peer,
    )
    assert (sync_state.latest is not None) == is_accepted
