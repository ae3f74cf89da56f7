"""A part of prompts that crashes engines, against the real processes."""

import asyncio
import json

import pytest
import pytest_asyncio

from tests.crashing_parts import PartWorld, Traffic
from tests.partition_world import running
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

NETWORK = f'{ADDRESS_PREFIX}.18'
PLAYED_S = 12.0
MOST_CRASHES = 5
# From this long after the third crash on, all VMs know the part.
KNOWN_S = 1.0
SETTLED_S = 2.0
LEAST_SERVED = 0.97
# Of engines that crash by themselves; two attempts are rarely both lost.
CRASH_PERIOD_S = 2.0
REFUSED = 503


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment(tmp_path_factory):
    """Return a deployment whose engines crash under bad parts of prompts."""
    started = PartWorld(tmp_path_factory.mktemp('parts'), NETWORK)
    async with running(started):
        yield started


@pytest_asyncio.fixture(loop_scope='module')
async def world(deployment):
    """Return the deployment, with all engines up."""
    await asyncio.sleep(2.5)
    await until(deployment.is_serving, 20.0)
    return deployment


async def play(world, path, position=1, seconds=PLAYED_S, **changes):
    """Send sound requests beside those with a bad part."""
    world.prepare(**changes)
    traffic = Traffic(tuple(world.entry_zones), path, position)
    await traffic.run(seconds)
    return traffic


def check_quarantined(world, traffic):
    """Check that a bad part is known soon, and that sound ones are served."""
    crashed = world.crash_times()
    known_s = crashed[2] + KNOWN_S
    late = [at_s for at_s in world.arrival_times() if at_s > known_s]
    assert (len(crashed) <= MOST_CRASHES, len(late)) == (True, 0), len(crashed)
    assert traffic.share_served(known_s + SETTLED_S) >= LEAST_SERVED


@pytest.mark.parametrize('path', ['/once/x', '/resumed/x'])
@pytest.mark.parametrize('position', [0, 1, 2])
async def test_part_that_crashes_upstreams_is_sent_no_more(
    world, path, position
):
    """Requests of one bad part, no two alike, crash one engine by one."""
    traffic = await play(world, path, position, is_sized=True)
    check_quarantined(world, traffic)


@pytest.mark.parametrize('path', ['/once/x', '/resumed/x', '/engines/x'])
async def test_crash_is_not_taken_for_the_end_of_an_answer(world, path):
    """Callers get a part for the whole, and it clears the bad part."""
    traffic = await play(world, path, is_sized=False)
    whole = world.answered()
    cut = [
        one
        for one in traffic.sound + traffic.bad
        if one.is_served and one.attempt not in whole
    ]
    assert not cut, len(cut)
    check_quarantined(world, traffic)


async def test_crashes_without_a_bad_part_turn_nobody_away(world):
    """Parts are found guilty of crashes that have nothing in common."""
    world.prepare(is_sized=True)
    traffic = Traffic(tuple(world.entry_zones), '/resumed/x', 0, bad_period_s=0)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(traffic.run(PLAYED_S))
        tasks.create_task(world.crash_engines(PLAYED_S, CRASH_PERIOD_S))
    problems = [
        json.loads(one.answer.body)['type']
        for one in traffic.sound
        if one.answer.status == REFUSED
    ]
    assert not any(kind.endswith(':quarantined') for kind in problems)
    assert traffic.share_served(0) >= LEAST_SERVED
