"""Tests of the operator API: refusals, forwarding, probes and TLS."""

import hashlib
import json

import pytest
import trustme

from godwitshunt.configuration.http_calls import HttpCall
from godwitshunt.configuration.operator_api import OperatorApi
from godwitshunt.configuration.operator_client import call_any
from godwitshunt.configuration.operator_http import OperatorRequest
from godwitshunt.configuration.tests.fakes import Deployment, manifest
from godwitshunt.exchange.caller_tls import caller_context
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.peer.tests.test_links import make_tls
from godwitshunt.programs.operator_session import read_authority
from godwitshunt.settings import LimitSettings
from standins.ports import free_address

TOKEN = 'token'
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()
VALID_MANIFEST = manifest().model_dump_json().encode()
UNKNOWN_FIELD = b'{"colour": "red"}'


@pytest.fixture
async def deployment():
    """Yield two control replicas over one log."""
    running = Deployment()
    running.add_control('c1', 'zagreb')
    running.add_control('c2', 'split', 1)
    await running.run(2)
    yield running
    await running.close()


async def send_request(
    deployment, method, path, body=b'', token=TOKEN, replica='c1'
):
    """Send a request to a replica; return the status and the JSON document."""
    apis = {
        name: OperatorApi(service, TOKEN_SHA256)
        for name, service in deployment.services.items()
    }
    for api in apis.values():
        api.start()
    request = OperatorRequest(method, path, token, body)
    answer = await apis[replica].handle(request)
    if answer.content_type.startswith('text/plain'):
        return answer.status, {}
    return answer.status, json.loads(answer.body)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'token', 'status', 'slug'),
    [
        ('POST', '/v1/manifest', VALID_MANIFEST, 'wrong', 401, 'unauthorized'),
        ('POST', '/v1/manifest', VALID_MANIFEST, '', 401, 'unauthorized'),
        ('GET', '/v1/status', b'', 'wrong', 401, 'unauthorized'),
        ('POST', '/v1/manifest', b'{', TOKEN, 400, 'invalid-document'),
        ('POST', '/v1/manifest', b'\xff', TOKEN, 400, 'invalid-document'),
        ('POST', '/v1/manifest', UNKNOWN_FIELD, TOKEN, 400, 'invalid-document'),
        ('POST', '/v1/manifest', b'[' * 9999, TOKEN, 400, 'invalid-document'),
        ('POST', '/v1/explain', b'{}', TOKEN, 400, 'invalid-document'),
        ('POST', '/v1/explain', b'[]', TOKEN, 400, 'invalid-document'),
        ('DELETE', '/v1/manifest', b'', TOKEN, 404, 'not-found'),
        ('GET', '/v2', b'', TOKEN, 404, 'not-found'),
    ],
)
async def test_invalid_requests_are_refused(
    deployment, method, path, body, token, status, slug
):
    """A request has no valid token, body or path.

    The problem type tells which, and the state does not change.
    """
    before = deployment.services['c1'].state
    actual_status, problem = await send_request(
        deployment, method, path, body, token
    )
    assert actual_status == status
    assert problem['type'].endswith(f':{slug}')
    assert problem['outcome'] == 'not-run'
    assert TOKEN_SHA256 not in json.dumps(problem)
    assert deployment.services['c1'].state == before


async def test_problem_names_every_invalid_field(deployment):
    """A manifest with several errors is answered with all of them at once."""
    body = json.dumps({'number': 0, 'colour': 'red'}).encode()
    _, problem = await send_request(deployment, 'POST', '/v1/manifest', body)
    fields = {entry['field'] for entry in problem['problems']}
    assert {'number', 'colour', 'regions'} <= fields


async def test_follower_forwards_requests_to_the_leader(deployment):
    """The client reaches only a follower.

    The follower returns the answer of the leader. Without a leader, the
    refusal says that nothing was changed.
    """
    follower = deployment.services['c2']
    follower.log = deployment.follower_log
    follower.machine.log = deployment.follower_log
    status, answer = await send_request(
        deployment,
        'POST',
        '/v1/manifest',
        VALID_MANIFEST,
        replica='c2',
    )
    assert (status, answer['outcome']) == (200, 'accepted')
    deployment.log.leading = False
    status, problem = await send_request(
        deployment,
        'POST',
        '/v1/manifest',
        VALID_MANIFEST,
        replica='c2',
    )
    assert (status, problem['outcome']) == (503, 'not-run')


async def test_probes_and_metrics_need_no_token(deployment):
    """Health probes and the metrics scraper have no token."""
    for path in ('/healthz', '/readyz', '/metrics'):
        status, _ = await send_request(deployment, 'GET', path, token='')
        assert status == 200
    deployment.log.leading = False
    status, answer = await send_request(deployment, 'GET', '/readyz', token='')
    assert (status, answer) == (503, {'ready': False})
    assert (await send_request(deployment, 'GET', '/healthz', token=''))[
        0
    ] == 200


async def test_explain_and_status(deployment):
    """Operators query the regions of a request and the revision of each VM."""
    await send_request(deployment, 'POST', '/v1/manifest', VALID_MANIFEST)
    query = {'caller': 'site', 'service': 'chat', 'model': 'review'}
    body = json.dumps(query).encode()
    _, explanation = await send_request(deployment, 'POST', '/v1/explain', body)
    assert explanation['allowed_regions'] == ['split', 'zagreb']
    assert explanation['residency_rule'] == 'both'
    _, status = await send_request(deployment, 'GET', '/v1/status')
    assert status['number'] == 1
    assert set(status['vms']) == {'c1', 'c2'}


async def test_operator_api_over_tls(deployment, tmp_path):
    """The API is served over TLS, as the token must not go in clear text.

    A client that trusts another authority, or uses plain HTTP, gets an error.
    """
    authority = trustme.CA()
    address = free_address()
    tls = make_tls(tmp_path, authority, 'control')
    authority.cert_pem.write_to_path(tmp_path / 'authority.pem')
    trustme.CA().cert_pem.write_to_path(tmp_path / 'other.pem')
    api = OperatorApi(deployment.services['c1'], TOKEN_SHA256)
    listener = Listener(
        ListenerOptions(address, LimitSettings(), caller_context(tls)),
        api.service.metrics,
        api.serve,
    )
    await listener.start()
    call = HttpCall('GET', '/v1/status')
    answers = [
        await call_any((address,), call, TOKEN, context)
        for context in (
            read_authority(tmp_path / 'authority.pem'),
            read_authority(tmp_path / 'other.pem'),
            None,
        )
    ]
    await listener.close()
    assert [answer.is_ok() for answer in answers] == [True, False, False]
    assert answers[0].ok_value.status == 200
