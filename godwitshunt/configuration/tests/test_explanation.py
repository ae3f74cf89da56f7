"""Tests of the explanations of how a request to a route is handled."""

import pytest

from godwitshunt.configuration.document import document_of
from godwitshunt.configuration.explanation import explain_route
from godwitshunt.configuration.state import ControlState
from godwitshunt.manifest import (
    Manifest,
    Organisation,
    OrganisationLimit,
    Region,
    RequestClass,
    Route,
    RouteKind,
    Service,
    ServiceKind,
    WeightedService,
)

HOST = 'a.example'


def route(prefix: str, **changes) -> Route:
    """Return a route that requires a key."""
    fields = {
        'name': f'r{prefix}',
        'host': HOST,
        'path_prefix': prefix,
        'kind': RouteKind.idempotent,
        'services': (WeightedService(service='app'),),
        'timeout_s': 2.0,
        'rank': 2,
        'keyed': True,
    }
    return Route(**{**fields, **changes})


MANIFEST = Manifest(
    number=7,
    deployment='d',
    regions=(Region(name='kochi'), Region(name='tvm')),
    services=(Service(name='app', kind=ServiceKind.plain),),
    classes=(RequestClass(name='c'),),
    routes=(
        route('/'),
        route('/kochi/', homes=('kochi',)),
        route('/open/', keyed=False),
    ),
    organisations=(
        Organisation(
            name='wards',
            rank=0,
            limit=OrganisationLimit(per_s=9.0),
        ),
        Organisation(name='southern', homes=('tvm',)),
    ),
)
STATE = ControlState(
    revision=3, document=document_of(MANIFEST), highest_number=7
)


@pytest.mark.parametrize(
    ('path', 'organisation', 'expected'),
    [
        ('/x', None, {'answer': '401: the route asks for a key'}),
        ('/open/x', None, {'answer': 'served', 'homes': 'all'}),
        ('/x', 'wards', {'homes': 'all', 'rank_of_organisation': 0}),
        ('/kochi/x', 'wards', {'homes': ['kochi'], 'route': 'r/kochi/'}),
        ('/x', 'southern', {'homes': ['tvm'], 'limit': None}),
        ('/kochi/x', 'southern', {'homes_of_organisation': ['tvm']}),
    ],
)
def test_explanation_names_rules_of_route_and_organisation(
    path,
    organisation,
    expected,
):
    """The explanation tells which homes, rank and limit apply."""
    explanation = explain_route(STATE, HOST, path, organisation)
    assert expected.items() <= explanation.items()
    assert explanation['number'] == 7


def test_unknown_host_or_organisation_is_reported():
    """A misspelt host or organisation must not look like a refusal by rule."""
    explanation = explain_route(STATE, 'b.example', '/x', None)
    assert explanation['answer'].startswith('404')
    with pytest.raises(KeyError):
        explain_route(STATE, HOST, '/x', 'nobody')
