"""Servers that reject a part of their requests, and real processes."""

import pytest
import pytest_asyncio

from tests.limited_server import Hosts
from tests.platform_documents import ADDRESS_PREFIX
from tests.rejecting_server import (
    RejectingWorld,
    ask_for,
    excess_retries,
    served_share,
)

pytestmark = pytest.mark.asyncio(loop_scope='module')

HOSTS = Hosts(f'{ADDRESS_PREFIX}.19')
NORTH = HOSTS.entries[:2]
PATHS = ('/safe/x', '/unsafe/x', '/once/x', '/resumed/x')
ENGINES = ('north-llm', 'north-llm-2')
REJECTED_SHARE = 0.3
SECONDS = 14.0
CALM_S = 2.0
# What the retry budget can make of six servers that reject alike, and what a
# second server that rejects nothing can.
LEAST_SERVED = 0.8
LEAST_SERVED_BESIDE_ANOTHER = 0.95


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment of three entry VMs and six servers."""
    deployment = RejectingWorld(tmp_path_factory.mktemp('rejections'), HOSTS)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment after some seconds without rejections."""
    started.reject(0.0)
    await ask_for(HOSTS.entries, PATHS, CALM_S)
    return started


def excess_by_service(deployment):
    """Return the most retries beyond the budget, for each service."""
    servers = deployment.servers.values()
    return [
        excess_retries(one for one in servers if one.service == service)
        for service in ('app', 'llm')
    ]


async def test_servers_that_reject_at_random_are_not_full(world):
    """Each rejection closes an idle server for all VMs."""
    world.reject(REJECTED_SHARE)
    answers = await ask_for(HOSTS.entries, PATHS, SECONDS)
    assert max(excess_by_service(world)) <= 0
    assert served_share(answers) >= LEAST_SERVED


async def test_another_server_is_preferred_to_one_that_rejects(world):
    """Requests go on to a server that rejects them while another is idle."""
    world.reject(REJECTED_SHARE, ENGINES[:1])
    answers = await ask_for(NORTH, ('/engines/x', '/once/x'), SECONDS)
    assert max(excess_by_service(world)) <= 0
    assert served_share(answers) >= LEAST_SERVED_BESIDE_ANOTHER
