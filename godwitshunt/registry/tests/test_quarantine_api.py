"""An operator looks at what is kept back, and lets it go."""

import json

import pytest

from godwitshunt.configuration.operator_http import OperatorRequest
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
)
from godwitshunt.registry.quarantine_api import QuarantineApi
from godwitshunt.registry.tests.deployment import Deployment

LETHAL = Fingerprint(bytes(range(16)))


@pytest.fixture
async def deployment():
    """Return a deployment in which a request is kept back."""
    made = Deployment({1: 'a', 2: 'b'})
    for number in range(3):
        made.timer.advance(1)
        loss = Loss(f'i-{number}', made.timer.now(), 0.1)
        lost = LostRequest(LETHAL, '', 5, loss)
        made.controls[1].quarantine.record_loss(lost)
    await made.exchange()
    made.timer.advance(1)
    return made


def api(deployment, number=2):
    """Return the routes of a control VM."""
    return QuarantineApi(deployment.controls[number].quarantine)


def request(method, path, document=None):
    """Return an operator's request."""
    body = b'' if document is None else json.dumps(document).encode()
    return OperatorRequest(method, path, '', body)


async def test_operator_sees_what_is_kept_back_and_why(deployment):
    """A caller asks why its request is refused, and nobody can tell."""
    came = await api(deployment).show(request('GET', '/v1/quarantine'))
    told = json.loads(came.body)['requests'][0]
    assert told['fingerprint'] == str(LETHAL)
    assert told['standing'] == 'quarantined'
    assert len(told['losses']) == 3


async def test_released_request_is_sent_again_by_all(deployment):
    """The service was mended, and its callers go on being refused."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    assessment = watch.quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined
    asked = {'fingerprint': str(LETHAL)}
    path = '/v1/quarantine/release'
    came = await api(deployment).release(request('POST', path, asked))
    assert came.status == 200
    await deployment.exchange()
    await deployment.poll(watch, 1)
    assert watch.quarantine.assessment(LETHAL).status is QuarantineStatus.clear
    again = await api(deployment).release(request('POST', path, asked))
    assert again.status == 404


@pytest.mark.parametrize('asked', [{}, {'fingerprint': 'x'}, {'other': 1}])
async def test_malformed_release_is_refused(deployment, asked):
    """An operator's tool sends something else."""
    path = '/v1/quarantine/release'
    came = await api(deployment).release(request('POST', path, asked))
    assert came.status == 400
    status = deployment.controls[1].quarantine.assessment(LETHAL).status
    assert status is QuarantineStatus.quarantined
