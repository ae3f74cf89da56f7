"""The border with operators: what is refused, and how it is told."""

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
VALID = manifest().model_dump_json().encode()
UNKNOWN_FIELD = b'{"colour": "red"}'


@pytest.fixture
async def deployment():
    """Yield two control replicas over one log."""
    made = Deployment()
    made.add_control('c1', 'zagreb')
    made.add_control('c2', 'split', 1)
    await made.run(2)
    yield made
    await made.close()


async def ask(deployment, method, path, body=b'', token=TOKEN, at='c1'):
    """Make a call; return its status and document."""
    apis = {
        name: OperatorApi(service, TOKEN_SHA256)
        for name, service in deployment.services.items()
    }
    for api in apis.values():
        api.start()
    request = OperatorRequest(method, path, token, body)
    answer = await apis[at].handle(request)
    if answer.content_type.startswith('text/plain'):
        return answer.status, {}
    return answer.status, json.loads(answer.body)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'token', 'status', 'slug'),
    [
        ('POST', '/v1/manifest', VALID, 'wrong', 401, 'unauthorized'),
        ('POST', '/v1/manifest', VALID, '', 401, 'unauthorized'),
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
async def test_refusals(deployment, method, path, body, token, status, slug):
    """A stranger or a mistaken pipeline sends something else.

    It is told what is wrong by a type, and nothing changes.
    """
    before = deployment.services['c1'].state
    told, problem = await ask(deployment, method, path, body, token)
    assert told == status
    assert problem['type'].endswith(f':{slug}')
    assert problem['outcome'] == 'not-run'
    assert TOKEN_SHA256 not in json.dumps(problem)
    assert deployment.services['c1'].state == before


async def test_every_wrong_field_is_named(deployment):
    """A manifest has several mistakes; the pipeline shows all at once."""
    body = json.dumps({'number': 0, 'colour': 'red'}).encode()
    _, problem = await ask(deployment, 'POST', '/v1/manifest', body)
    fields = {one['field'] for one in problem['problems']}
    assert {'number', 'colour', 'regions'} <= fields


async def test_follower_passes_calls_on(deployment):
    """The pipeline reaches only a replica that does not lead.

    The leader's answer comes back through it; without a leader the refusal
    says that nothing was changed.
    """
    follower = deployment.services['c2']
    follower.log = deployment.follower_log
    follower.machine.log = deployment.follower_log
    status, answer = await ask(
        deployment,
        'POST',
        '/v1/manifest',
        VALID,
        at='c2',
    )
    assert (status, answer['outcome']) == (200, 'accepted')
    deployment.log.leading = False
    status, problem = await ask(
        deployment,
        'POST',
        '/v1/manifest',
        VALID,
        at='c2',
    )
    assert (status, problem['outcome']) == (503, 'not-run')


async def test_open_paths_need_no_token(deployment):
    """Probes and the metrics' scraper hold no token."""
    for path in ('/healthz', '/readyz', '/metrics'):
        status, _ = await ask(deployment, 'GET', path, token='')
        assert status == 200
    deployment.log.leading = False
    status, answer = await ask(deployment, 'GET', '/readyz', token='')
    assert (status, answer) == (503, {'ready': False})
    assert (await ask(deployment, 'GET', '/healthz', token=''))[0] == 200


async def test_explain_and_status(deployment):
    """An operator asks why a request would go where, and who has what."""
    await ask(deployment, 'POST', '/v1/manifest', VALID)
    asked = {'caller': 'site', 'service': 'chat', 'model': 'review'}
    body = json.dumps(asked).encode()
    _, told = await ask(deployment, 'POST', '/v1/explain', body)
    assert told['allowed_regions'] == ['split', 'zagreb']
    assert told['residency_rule'] == 'both'
    _, status = await ask(deployment, 'GET', '/v1/status')
    assert status['number'] == 1
    assert set(status['vms']) == {'c1', 'c2'}


async def test_operators_over_tls(deployment, tmp_path):
    """The replicas have certificates; the token must not go in clear text.

    A client that trusts another authority, or talks plain HTTP, gets nothing.
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
