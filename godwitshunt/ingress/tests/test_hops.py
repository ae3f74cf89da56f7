"""Requests that another entry VM forwards."""

from types import SimpleNamespace

import pytest
from result import Ok

from godwitshunt.exchange.forwarding import (
    FORWARD_HEADER,
    request_digest,
    sign_note,
)
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.grants import GrantUse
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.hops import read_forwarded_request
from godwitshunt.ingress.tests.test_authorization import (
    OTHERS,
    WARDS,
    active_revision,
)

KEY = b'cluster'
CONTEXT = SimpleNamespace(
    settings=SimpleNamespace(name='e-2'),
    cluster_key=KEY,
    names=HeaderNames(),
    timer=SimpleNamespace(now=lambda: 5.0),
)


def forwarded_request(organisation: str, **fields) -> HttpRequest:
    """Return a request of an organisation as another VM forwards it."""
    note = ForwardNote(
        path=['e-1'],
        regions=['tvm'],
        receiver='e-2',
        caller='-',
        request_class='-',
        remaining_ms=1000,
        revision=0,
        request_digest=request_digest('GET', '/x', b''),
        claimed=False,
        resume_offset=0,
        service_name='app',
        request_id='q-1',
        repeat=False,
        resume_after=-1,
        host='a.example',
        path_prefix='/',
        organisation=organisation,
        **fields,
    )
    headers = (
        (b'host', b'a.example'),
        (FORWARD_HEADER, sign_note(note, KEY)),
    )
    return HttpRequest('GET', '/x', '', headers, b'')


@pytest.mark.parametrize(
    ('fields', 'cost'), [({}, 0.0), ({'due_cost': 7.5}, 7.5)]
)
def test_forwarded_request_costs_what_is_due(fields, cost):
    """Its sender has charged a hand-over to another region, but no relay."""
    request = forwarded_request('wards', **fields)
    outcome = read_forwarded_request(request, active_revision(WARDS), CONTEXT)
    assert outcome.ok_value.cost == pytest.approx(cost)


@pytest.mark.parametrize(
    ('fields', 'grant'),
    [
        ({}, None),
        ({'grant_source': 'p', 'grant_number': 7}, None),
        (
            {'grant_source': 'p', 'grant_number': 7, 'grant_slot': 0},
            GrantUse('p', 7, 0),
        ),
    ],
)
def test_note_names_the_grant(fields, grant):
    """A note of the previous build, or with a part of a grant, names none."""
    request = forwarded_request('wards', **fields)
    outcome = read_forwarded_request(request, active_revision(WARDS), CONTEXT)
    assert outcome.ok_value.grant == grant


@pytest.mark.parametrize(
    ('organisation', 'is_accepted'),
    [('wards', True), ('others', False)],
)
def test_forwarded_request_of_unknown_organisation_is_refused(
    organisation,
    is_accepted,
):
    """A VM one revision behind does not know the homes of the request."""
    outcome = read_forwarded_request(
        forwarded_request(organisation), active_revision(WARDS), CONTEXT
    )
    assert isinstance(outcome, Ok) is is_accepted
    if is_accepted:
        assert outcome.ok_value.organisation == WARDS
        return
    assert outcome.err_value.reason == 'revision'
    later = read_forwarded_request(
        forwarded_request(organisation), active_revision(WARDS, OTHERS), CONTEXT
    )
    assert later.ok_value.organisation == OTHERS
