"""Deltas give the same document, and news in any order never goes back."""

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
from godwitshunt.configuration.sync_state import SyncState, apply_update

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
def test_delta_gives_the_target(base, target):
    """Whatever entries change, move, come or go, the digests agree."""
    delta = unpack(pack(diff(base, target))).ok_value
    assert digest_of(patch(base, delta).ok_value) == digest_of(target)


@given(st.lists(documents, min_size=2, max_size=8), st.data())
@SETTINGS
def test_news_out_of_order_never_reverts(versions, data):
    """News is delayed, doubled, lost and overtaken on its way to a VM.

    The revision in force never falls, every one is a committed one, and after
    one whole exchange the VM has the newest.
    """
    history = RevisionHistory()
    committed = {}
    sent = []
    sync_state = SyncState()
    for revision, document in enumerate(versions, start=1):
        held = DocumentRevision(revision, digest_of(document), document)
        committed[revision] = held.digest
        bases = [0, *history.documents]
        history.add(held)
        sent += [history.make_update(base, 0) for base in bases]
    for news in data.draw(st.lists(st.sampled_from(sent), max_size=12)):
        before = sync_state.latest.revision if sync_state.latest else 0
        sync_state, _ = apply_update(sync_state, news, 0)
        if sync_state.latest:
            assert sync_state.latest.revision >= before
            digest = digest_of(sync_state.latest.document)
            assert digest == committed[sync_state.latest.revision]
    for _ in range(2):
        answer = history.make_update(sync_state.base_revision, 0)
        sync_state, _ = apply_update(sync_state, answer, 5)
    assert sync_state.latest.revision == len(versions)
    assert sync_state.proof_at == 5


def test_proof_counts_only_with_its_revision():
    """A VM hears of a live quorum together with a delta that does not fit.

    If the proof counted, the VM would serve by an older rule while a change
    that was committed before the proof is already accepted.
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


@pytest.mark.parametrize(
    ('age_s', 'asked_at', 'from_peer', 'begins'),
    [
        (0, 12, False, True),
        (2, 12, False, True),
        (3, 12, False, False),
        (-1, 12, False, False),
        (0, None, False, False),
        (-1, 12, True, True),
    ],
)
def test_start_without_a_revision(age_s, asked_at, from_peer, begins):
    """A VM restarts without a disk at second 10 and hears of a revision.

    A control replica that lags may tell of an older one than the VM had in
    force; only a proof from after the restart, or a peer's word, will do.
    """
    document = Document({'number': 1}, {})
    history = RevisionHistory()
    history.add(DocumentRevision(1, digest_of(document), document))
    news = history.make_update(0, age_s)
    sync_state, _ = apply_update(
        SyncState(started_at=10),
        news,
        asked_at,
        from_peer=from_peer,
    )
    assert (sync_state.latest is not None) == begins
