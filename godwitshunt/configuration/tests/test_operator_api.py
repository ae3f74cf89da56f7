"""Tests of the operator API: refusals, forwarding, probes and TLS."""

import hashlib
import json

import pytest
import trustme

from godwitshunt.configuration.document import EVACUATIONS
from godwitshunt.configuration.gen.wire.ttypes import (
    OperatorCall,
    OperatorReply,
)
from godwitshunt.configuration.http_calls import HttpCall
from godwitshunt.configuration.operator_api import (
    EVACUATIONS_PATH,
    OperatorApi,
)
from godwitshunt.configuration.operator_client import call_any
from godwitshunt.configuration.operator_http import OperatorRequest
from godwitshunt.configuration.tests.fakes import Deployment, manifest
from godwitshunt.exchange.caller_tls import caller_context
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.waiting_caller import Presence
from godwitshunt.peer import decode, encode
from godwitshunt.peer.tests.test_links import make_tls
from godwitshunt.programs.operator_session import read_authority
from godwitshunt.settings import LimitSettings
from standins.ports import free_address

TOKEN = 'token'
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()
VALID_MANIFEST = manifest().model_dump_json().encode()
OLDER_MANIFEST = manifest(1, objective={'cost': 3}).model_dump_json().encode()
NEWER_MANIFEST = manifest(2).model_dump_json().encode()
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


class FakeCaller:
    """A caller whose presence a test sets.

    Parameters
    ----------
    *presences : Presence
        What is seen in turn; the last one stays.
    """

    def __init__(self, *presences):
        self.presences = list(presences)

    async def presence(self):
        """Return what is seen next."""
        if len(self.presences) > 1:
            return self.presences.pop(0)
        return self.presences[0]


def make_apis(deployment):
    """Return the started API of each replica."""
    apis = {
        name: OperatorApi(service, TOKEN_SHA256)
        for name, service in deployment.services.items()
    }
    for api in apis.values():
        api.start()
    return apis


async def evacuate(api, method, *presences):
    """Give an order as a caller of some presence; return the answer."""
    caller = FakeCaller(*(presences or (Presence.waiting,)))
    path = f'{EVACUATIONS_PATH}zone-a'
    return await api.handle_trusted(
        OperatorRequest(method, path, '', b'', caller),
    )


def is_evacuated(deployment, replica='c1'):
    """Tell whether the domain is evacuated, as a replica knows it."""
    state = deployment.services[replica].state
    return 'zone-a' in state.document.section(EVACUATIONS)


def lag(deployment, state):
    """Make the second replica a follower that has an old state only."""
    follower = deployment.services['c2']
    follower.log = deployment.follower_log
    follower.machine.log = deployment.follower_log
    follower.machine.state = state


@pytest.mark.parametrize('presence', [Presence.gone, Presence.unknown])
async def test_an_order_that_was_given_up_has_no_effect(deployment, presence):
    """A frozen replica carried out an order whose caller had left."""
    api = make_apis(deployment)['c1']
    reply = await evacuate(api, 'PUT', presence)
    assert reply.status == 503
    assert json.loads(reply.body)['outcome'] == 'not-run'
    assert not is_evacuated(deployment)


async def test_reads_are_answered_whoever_waits(deployment):
    """A read changes nothing, and needs no proof of a caller."""
    await send_request(deployment, 'POST', '/v1/manifest', VALID_MANIFEST)
    api = make_apis(deployment)['c1']
    request = OperatorRequest(
        'GET', '/v1/manifest', '', b'', FakeCaller(Presence.unknown)
    )
    assert (await api.handle_trusted(request)).status == 200


async def test_a_manifest_is_accepted_whoever_waits(deployment):
    """A manifest whose sender is gone has a number, and is accepted once."""
    api = make_apis(deployment)['c1']
    caller = FakeCaller(Presence.gone)
    for body, status in ((NEWER_MANIFEST, 200), (OLDER_MANIFEST, 409)):
        reply = await api.handle_trusted(
            OperatorRequest('POST', '/v1/manifest', '', body, caller)
        )
        assert reply.status == status
    assert deployment.services['c1'].state.highest_number == 2


async def test_a_relayed_order_is_bound_to_when_it_was_read(deployment):
    """A relay that was held up on its way undid a newer order."""
    apis = make_apis(deployment)
    await evacuate(apis['c1'], 'PUT')
    based_on = deployment.services['c2'].state.revision
    await evacuate(apis['c1'], 'DELETE')
    await evacuate(apis['c1'], 'PUT')
    entries = len(deployment.log.entries)
    path = f'{EVACUATIONS_PATH}zone-a'
    call = OperatorCall('DELETE', path, b'', based_on)
    reply = decode(OperatorReply, await apis['c1'].on_call('c2', encode(call)))
    assert reply.status == 503
    assert is_evacuated(deployment)
    assert len(deployment.log.entries) == entries


async def test_an_order_at_a_replica_that_lags_is_acknowledged(deployment):
    """A follower does not know of the newest order yet, its caller does."""
    apis = make_apis(deployment)
    before = deployment.services['c2'].state
    await evacuate(apis['c1'], 'PUT')
    lag(deployment, before)
    reply = await evacuate(apis['c2'], 'DELETE')
    assert reply.status == 200
    assert not is_evacuated(deployment)


async def test_an_order_is_repeated_only_while_its_caller_waits(deployment):
    """A replica that lags repeated an order whose caller had left."""
    apis = make_apis(deployment)
    before = deployment.services['c2'].state
    await evacuate(apis['c1'], 'PUT')
    lag(deployment, before)
    waits_once = (Presence.waiting, Presence.waiting, Presence.gone)
    reply = await evacuate(apis['c2'], 'DELETE', *waits_once)
    assert reply.status == 503
    assert is_evacuated(deployment)


async def test_an_order_read_after_a_stall_of_the_leader_is_refused(
    deployment,
):
    """A relayed order waited in the socket of a leader that was frozen."""
    apis = make_apis(deployment)
    deployment.timer.time_s += 5.0
    path = f'{EVACUATIONS_PATH}zone-a'
    call = OperatorCall('PUT', path, b'', 0)
    reply = decode(OperatorReply, await apis['c1'].on_call('c2', encode(call)))
    assert reply.status == 503
    assert not is_evacuated(deployment)
