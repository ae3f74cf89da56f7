"""What an operator is told of a request of a route, and why."""

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
    """Return a route that asks for keys."""
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
    ('path', 'organisation', 'told'),
    [
        ('/x', None, {'answer': '401: the route asks for a key'}),
        ('/open/x', None, {'answer': 'served', 'homes': 'all'}),
        ('/x', 'wards', {'homes': 'all', 'rank_of_organisation': 0}),
        ('/kochi/x', 'wards', {'homes': ['kochi'], 'route': 'r/kochi/'}),
        ('/x', 'southern', {'homes': ['tvm'], 'limit': None}),
        ('/kochi/x', 'southern', {'homes_of_organisation': ['tvm']}),
    ],
)
def test_a_request_is_explained_by_its_route_and_its_organisation(
    path,
    organisation,
    told,
):
    """An operator asks why an organisation's request was refused."""
    found = explain_route(STATE, HOST, path, organisation)
    assert told.items() <= found.items()
    assert found['number'] == 7


def test_what_is_not_declared_is_told():
    """A misspelt host or organisation must not look like a rule."""
    found = explain_route(STATE, 'b.example', '/x', None)
    assert found['answer'].startswith('404')
    with pytest.raises(KeyError):
        explain_route(STATE, HOST, '/x', 'nobody')
