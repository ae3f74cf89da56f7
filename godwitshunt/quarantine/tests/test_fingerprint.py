"""Which requests have equal fingerprints."""

import pytest

from godwitshunt.quarantine import Fingerprint

PARTS = {
    'method': 'POST',
    'host': b'a.example',
    'target': b'/x/?q=1',
    'organisation': 'o-1',
    'body': b'hello',
}


@pytest.mark.parametrize(
    ('change', 'is_same'),
    [
        ({}, True),
        ({'host': b'A.Example'}, True),
        ({'method': 'PUT'}, False),
        ({'host': b'b.example'}, False),
        ({'target': b'/x/?q=2'}, False),
        ({'organisation': 'o-2'}, False),
        ({'body': b'hellp'}, False),
        ({'target': b'/x/?q=1h', 'body': b'ello'}, False),
    ],
)
def test_repeat_is_recognised_by_content_alone(change, is_same):
    """A repeat has a new id and must not be taken for a new request."""
    first = Fingerprint.from_parts(**PARTS)
    second = Fingerprint.from_parts(**{**PARTS, **change})
    assert (first == second) is is_same
