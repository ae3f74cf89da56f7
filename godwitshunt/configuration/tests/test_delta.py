"""Deltas give the document that they were made for, with its order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitshunt.configuration.commands import Accepted
from godwitshunt.configuration.delta import diff, patch
from godwitshunt.configuration.document import (
    MANIFEST_SECTIONS,
    Document,
    digest_of,
    document_of,
    manifest_digest_of,
)
from godwitshunt.configuration.manifest_numbers import (
    accept_command,
    accept_manifest,
)
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.tests.fakes import manifest

NAMES = ('a', 'b', 'c')
CHAT = {'name': 'chat', 'kind': 'model'}
MAPS = {'name': 'maps', 'kind': 'plain'}


def section_of(names):
    """Return a section's entries, which depend on their names only."""
    return {name: {'name': name, 'size': len(name)} for name in names}


@given(
    st.sampled_from(MANIFEST_SECTIONS),
    st.permutations(NAMES),
    st.sets(st.sampled_from(NAMES)),
)
def test_a_section_in_another_order_is_patched(section, order, removed):
    """A section whose entries only changed places was left out."""
    base = Document({'number': 1}, {section: section_of(NAMES)})
    left = [name for name in order if name not in removed]
    target = Document({'number': 2}, {section: section_of(left)})
    patched = patch(base, diff(base, target))
    assert digest_of(patched.ok_value) == digest_of(target)


@pytest.mark.parametrize('adds_region', [False, True])
def test_a_manifest_in_another_order_is_accepted(adds_region):
    """A valid manifest with its services in another order got 503 for ever."""
    first = manifest(1, services=[CHAT, MAPS])
    changes = {'services': [MAPS, CHAT]}
    if adds_region:
        names = ('zagreb', 'split', 'rijeka')
        changes['regions'] = [{'name': name} for name in names]
    second = manifest(2, **changes)
    state, _ = accept_manifest(
        ControlState(), accept_command(ControlState(), first)
    )
    state, outcome = accept_manifest(state, accept_command(state, second))
    assert isinstance(outcome, Accepted)
    assert manifest_digest_of(state.document) == manifest_digest_of(
        document_of(second)
    )
    assert list(state.document.section('services')) == ['maps', 'chat']
