"""Servers that refuse a VM and ask it for rest, against the real processes."""

import pytest
import pytest_asyncio

from tests.limited_server import (
    ENTRIES,
    LimitedWorld,
    ask_steadily,
    most_within_a_rest,
)

pytestmark = pytest.mark.asyncio(loop_scope='module')

OK = 200
PER_S = 40
REST_S = 3.0
# The platform lets so many requests of a VM reach a server within a rest.
REQUESTS_ALLOWED = 2


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with two entry VMs and two engines in one region."""
    deployment = LimitedWorld(tmp_path_factory.mktemp('rests'))
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment with no rest in force."""
    for server in started.servers.values():
        server.rest = ''
    await ask_steadily(ENTRIES, '/once/x', REST_S + 1, PER_S)
    for server in started.servers.values():
        server.arrivals.clear()
        server.rested.clear()
    return started


async def test_server_that_asks_for_rest_gets_no_requests_of_that_vm(world):
    """A VM that sends to the server again after a fraction of a second."""
    server = world.servers['north-llm']
    server.rest = str(int(REST_S))
    answers = await ask_steadily(ENTRIES, '/once/x', 5.0, PER_S)
    most = most_within_a_rest(server, REST_S)
    assert most <= REQUESTS_ALLOWED, most
    assert all(answer.status == OK for _, _, answer in answers)
