"""Models, digest and residency rules of the manifest."""

import copy
import json

import pytest

from godwitshunt.exceptions import ManifestError
from godwitshunt.manifest import (
    Manifest,
    allowed_regions,
    manifest_digest,
    parse_manifest,
)

DOCUMENT = {
    'number': 1,
    'deployment': 'statika',
    'regions': [{'name': 'zagreb'}, {'name': 'split'}],
    'services': [{'name': 'chat', 'kind': 'model'}],
    'models': [{'name': 'review', 'service': 'chat', 'regions': ['split']}],
    'classes': [{'name': 'urgent'}],
    'residency': [{'name': 'home', 'regions': ['zagreb']}],
    'callers': [
        {
            'name': 'site',
            'key_sha256': '0' * 64,
            'home': 'zagreb',
            'request_class': 'urgent',
            'residency': 'home',
        },
    ],
}


def document_with(path: str, value: object) -> dict:
    """Return the document with one field replaced; the path is dotted."""
    document = copy.deepcopy(DOCUMENT)
    target = document
    *parents, last = path.split('.')
    for part in parents:
        target = target[int(part) if part.isdigit() else part]
    target[last] = value
    return document


@pytest.mark.parametrize(
    ('path', 'value', 'message_part'),
    [
        ('number', 0, 'number'),
        ('number', '1x', 'number'),
        ('colour', 'red', 'colour'),
        ('regions', [], 'regions'),
        ('callers.0.home', 'rijeka', 'callers.site.home'),
        ('callers.0.key_sha256', 'secret', 'key_sha256'),
        ('callers.0.residency', 'nowhere', 'callers.site.residency'),
        ('models.0.service', 'talk', 'models.review.service'),
        ('regions.1.name', 'zagreb', 'stands twice'),
        ('services.0.kind', 'magic', 'kind'),
    ],
)
def test_invalid_field_is_named(path, value, message_part):
    """A misspelt field or an undeclared reference rejects the manifest.

    The error names the field.
    """
    with pytest.raises(ManifestError) as caught:
        parse_manifest(as_json(document_with(path, value)))
    assert message_part in str(caught.value)


def as_json(document: dict) -> bytes:
    """Return a document as JSON bytes."""
    return json.dumps(document).encode()


def test_digest_ignores_key_order():
    """The same fields in another order have the same digest."""
    reordered = dict(reversed(DOCUMENT.items()))
    original = Manifest.model_validate(DOCUMENT)
    assert manifest_digest(original) == manifest_digest(
        Manifest.model_validate(reordered),
    )


def test_residency_and_model_regions_intersect():
    """A caller's residency rule and a model's regions both restrict.

    No region may serve a request if the two have none in common.
    """
    manifest = Manifest.model_validate(DOCUMENT)
    caller = manifest.callers[0]
    assert allowed_regions(manifest, caller) == {'zagreb'}
    assert allowed_regions(manifest, caller, 'review') == frozenset()
