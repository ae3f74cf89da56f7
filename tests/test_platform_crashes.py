"""One request under which engines end, against the real processes."""

import json

import pytest
import pytest_asyncio

from godwitshunt.tracing import build_timeline, read_logs
from tests.crashing_server import (
    LETHAL,
    CrashingServer,
    CrashingWorld,
    lethal_times,
    play,
)
from tests.platform_client import ask
from tests.platform_documents import CONTROL_HOSTS
from tests.platform_world import NORTH, SOUTH, until

pytestmark = pytest.mark.asyncio(loop_scope='module')

PLAYED_S = 16.0
# The platform's bound: machines in touch know so long after the third end.
CONTACT_S = 5.0
ENDS_KNOWN_BY = 3
# The platform lets so many repeats reach a server after that.
REPEATS_ALLOWED = 3


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment whose engines end under one body."""
    folder = tmp_path_factory.mktemp('crashes')
    started = CrashingWorld(folder, server_type=CrashingServer)
    try:
        await started.start()
        yield started
    finally:
        await started.close()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def played(world):
    """Return the world once the lethal request has been repeated in it."""
    _, statuses = await play(PLAYED_S)
    return world, statuses


async def test_request_that_crashes_upstreams_is_sent_no_more(played):
    """A repeated request that ends each server that runs it, one by one."""
    world, bystanders = played
    ended, arrived = lethal_times(world)
    known_s = ended[ENDS_KNOWN_BY - 1] + CONTACT_S
    late = [at_s for at_s in arrived if at_s > known_s]
    assert len(late) <= REPEATS_ALLOWED, (len(ended), len(late))
    assert not bystanders['quarantined']


async def test_its_callers_are_told_the_truth_at_once(played):
    """A caller that is told to come back soon, or that it may have run."""
    world, _ = played
    before = len(lethal_times(world)[1])
    for entry in (NORTH, SOUTH):
        _, answer = await ask(entry, '/once/x', body=LETHAL)
        told = json.loads(answer.body)
        assert (answer.status, told['outcome']) == (503, 'not-run')
        assert told['type'].endswith(':quarantined')
        assert float(answer.fields['retry-after']) > CONTACT_S
    assert len(lethal_times(world)[1]) == before


@pytest.mark.parametrize('entry', [NORTH, SOUTH])
async def test_other_requests_of_the_route_are_served(played, entry):
    """Requests of other bodies, refused with the one that is kept back."""
    assert played
    other = LETHAL.replace(b'no', b'any')
    for path, body in (('/once/x', other), ('/resumed/x', b'hello')):
        _, answer = await ask(entry, path, body=body)
        assert answer.status == 200


async def test_machine_that_starts_anew_sends_it_no_more(played):
    """A machine that forgot what the request did, and tries once more."""
    world, _ = played
    world.processes[SOUTH].kill()
    await world.processes[SOUTH].wait()
    await world.start_process(SOUTH, 'zone-b', control=False)
    await until(world.is_serving, 20.0)
    before = len(lethal_times(world)[1])
    _, answer = await ask(SOUTH, '/once/x', body=LETHAL)
    assert answer.status == 503
    assert len(lethal_times(world)[1]) == before


async def test_logs_lead_from_its_id_to_its_cause(played):
    """Someone on call asks why a request was refused."""
    world, _ = played
    attempt, _ = await ask(NORTH, '/once/x', body=LETHAL)
    await until(lambda: is_logged(world, attempt), 3)
    timeline = build_timeline(
        attempt, read_logs(tuple(world.folder.glob('*.log')))
    )
    ended = [one.ended_s for one in world.servers.values()]
    assert sum(map(len, ended)) >= ENDS_KNOWN_BY
    assert 'quarantined: lost to ' in timeline.summary
    changes = world.logged(CONTROL_HOSTS[0], 'quarantine:standing_changed')
    assert changes[-1]['now'] == 'quarantined'
    assert len(changes[-1]['losses']) >= ENDS_KNOWN_BY


async def is_logged(world, attempt):
    """Tell whether the north has written of an attempt."""
    lines = world.logged(NORTH, 'ingress:request_ended')
    return any(one['request'] == attempt for one in lines)
