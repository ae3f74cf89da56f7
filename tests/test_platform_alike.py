"""Requests that many callers send alike, and engines that fall under them."""

import asyncio
import json

import pytest
import pytest_asyncio

from tests.brittle_server import DOWN_S, BrittleWorld
from tests.partition_world import running
from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

NETWORK = f'{ADDRESS_PREFIX}.17'
# An engine has this request for a second.
PATH = '/resumed/slow'
REQUESTS = 4
OK = 200
UNDER_WAY_S = 0.2
# Two crashes so far apart are known to be two.
APART_S = 0.6
ROUNDS = 4
# A request that may be no cause is tried within some seconds.
RECOVERY_S = 10.0


@pytest_asyncio.fixture(loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment with two engines."""
    deployment = BrittleWorld(tmp_path_factory.mktemp('alike'), NETWORK)
    async with running(deployment):
        yield deployment


async def fall_under_requests(world, count):
    """Let engines fall one after the other while they have alike requests."""
    async with asyncio.TaskGroup() as tasks:
        for engine in world.engines[:count]:
            for entry in world.north:
                for _ in range(REQUESTS):
                    tasks.create_task(ask(entry, PATH))
            await asyncio.sleep(UNDER_WAY_S)
            engine.fall()
            await asyncio.sleep(APART_S - UNDER_WAY_S)
    await asyncio.sleep(DOWN_S)


async def is_served(entry):
    """Tell whether the request is served at an entry VM."""
    _, answer = await ask(entry, PATH)
    return answer.status == OK


async def ask_everywhere(world):
    """Return the statuses and problem types of answers at all entry VMs."""
    answers = await asyncio.gather(*(ask(entry, PATH) for entry in world.north))
    return [(answer.status, read_problem(answer.body)) for _, answer in answers]


def read_problem(body):
    """Return the type of a problem; the body where it is none."""
    if body.startswith(b'{'):
        return json.loads(body)['type'].rpartition(':')[2]
    return body.decode()


async def test_answers_between_crashes_clear_a_request_sent_alike(world):
    """A crash long ago and two in an outage had it refused for minutes."""
    await fall_under_requests(world, 1)
    for _ in range(ROUNDS):
        served = await ask_everywhere(world)
        assert {status for status, _ in served} == {OK}
    await fall_under_requests(world, 2)
    await until(world.is_serving, 10.0)
    answers = await ask_everywhere(world)
    assert set(answers) == {(OK, 'late')}


@pytest.mark.parametrize('entry_number', [0, 1, 2])
async def test_requests_sent_alike_are_served_after_an_outage(
    world, entry_number
):
    """Three crashes without an answer in between had them refused for minutes.

    Clients may use any one entry VM.
    """
    served = await ask_everywhere(world)
    assert {status for status, _ in served} == {OK}
    await fall_under_requests(world, 2)
    await fall_under_requests(world, 1)
    entry = world.north[entry_number]
    await until(lambda: is_served(entry), RECOVERY_S)
