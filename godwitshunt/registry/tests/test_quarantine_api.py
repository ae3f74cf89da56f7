"""Operators list quarantined requests and release them."""

import json

import pytest

from godwitshunt.configuration.operator_http import OperatorRequest
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
    SuspectPart,
)
from godwitshunt.registry.quarantine_api import QuarantineApi
from godwitshunt.registry.tests.deployment import Deployment

LETHAL = Fingerprint(bytes(range(16)))


@pytest.fixture
async def deployment():
    """Return a deployment in which a request is quarantined."""
    deployment = Deployment({1: 'a', 2: 'b'})
    for number in range(3):
        deployment.timer.advance(1)
        loss = Loss(f'i-{number}', deployment.timer.now(), 0.1)
        lost = LostRequest(LETHAL, '', 5, loss)
        deployment.controls[1].quarantine.record_loss(lost)
    await deployment.exchange()
    deployment.timer.advance(1)
    return deployment


def api(deployment, number=2):
    """Return the quarantine API of a control VM."""
    return QuarantineApi(deployment.controls[number].quarantine)


def request(method, path, document=None):
    """Return an operator's request."""
    body = b'' if document is None else json.dumps(document).encode()
    return OperatorRequest(method, path, '', body)


async def test_quarantined_requests_are_listed_with_their_losses(deployment):
    """Operators must be able to explain a caller why a request is rejected."""
    answer = await api(deployment).show(request('GET', '/v1/quarantine'))
    listed = json.loads(answer.body)['requests'][0]
    assert listed['fingerprint'] == str(LETHAL)
    assert listed['standing'] == 'quarantined'
    assert len(listed['losses']) == 3


async def test_released_request_is_released_on_all_vms(deployment):
    """After the service is fixed, no VM may go on rejecting the request."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    assessment = watch.quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined
    document = {'fingerprint': str(LETHAL)}
    path = '/v1/quarantine/release'
    answer = await api(deployment).release(request('POST', path, document))
    assert answer.status == 200
    await deployment.exchange()
    await deployment.poll(watch, 1)
    assert watch.quarantine.assessment(LETHAL).status is QuarantineStatus.clear
    again = await api(deployment).release(request('POST', path, document))
    assert again.status == 404


@pytest.mark.parametrize('document', [{}, {'fingerprint': 'x'}, {'other': 1}])
async def test_malformed_release_is_rejected(deployment, document):
    """A document without a valid fingerprint releases nothing."""
    path = '/v1/quarantine/release'
    answer = await api(deployment).release(request('POST', path, document))
    assert answer.status == 400
    status = deployment.controls[1].quarantine.assessment(LETHAL).status
    assert status is QuarantineStatus.quarantined


async def test_parts_of_prompts_are_listed_by_name(deployment):
    """Nobody recognises a part by its fingerprint."""
    part = Fingerprint.from_prompt_part('llm', '', 0xBAD)
    for number in range(3):
        deployment.timer.advance(1)
        loss = Loss(f'j-{number}', deployment.timer.now(), 0.1)
        lost = LostRequest(part, '', 0, loss, SuspectPart('llm bad', 1))
        deployment.controls[2].quarantine.record_loss(lost)
    answer = await api(deployment).show(request('GET', '/v1/quarantine'))
    parts = {each['part'] for each in json.loads(answer.body)['requests']}
    assert parts == {'', 'llm bad'}
