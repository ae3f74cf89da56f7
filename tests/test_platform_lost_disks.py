"""Control VMs lose their disks two at a time, as processes."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from trials.lost_disks import LostDisks, lose_disks, make_world

LOSSES = 4
STILL_S = 2.0


@asynccontextmanager
async def started(folder, **options):
    """Yield a run on a deployment of its own, and close that."""
    world = make_world(folder, **options)
    try:
        await world.start()
        yield LostDisks(world, Random(1))
    finally:
        await world.close()


@pytest.mark.parametrize(
    ('seeds', 'lost'),
    [
        pytest.param(3, slice(1, 3), id='the first seed is left'),
        pytest.param(3, slice(0, 2), id='the last seed is left'),
        pytest.param(2, slice(0, 2), id='no seed is left'),
    ],
)
async def test_seeds_join_again_while_no_seed_leads(tmp_path, seeds, lost):
    """Two seeds never joined again; the next two disks took all with them."""
    async with started(tmp_path, seeds=seeds) as run:
        await run.world.move_leadership()
        await run.lose(run.world.seed_hosts[lost])
        assert run.broken == []
        await run.lose(run.world.control_hosts[-2:])
        await run.check_readable()
        assert run.broken == []


async def test_a_new_vm_joins_through_seeds_without_disks(tmp_path):
    """All VMs that a new one knows lost their disks, and know nobody."""
    async with started(tmp_path, seeds=2) as run:
        world = run.world
        await world.move_leadership()
        new = f'{world.network}.9'
        lost = await run.wipe(world.seed_hosts)
        begun_s = time.time()
        await world.start_control(new)
        await run.catch_up((*world.seed_hosts, new), begun_s)
        assert await world.knows_leader(new)
        assert await world.is_whole(lost)


async def test_two_disks_are_lost_while_a_third_vm_stands_still(tmp_path):
    """The voters are whole again soon after the third one has woken."""
    async with started(tmp_path) as run:
        world = run.world
        lost_hosts, frozen = world.control_hosts[:2], world.control_hosts[2]
        world.processes[frozen].send_signal(signal.SIGSTOP)
        lost = await run.wipe(lost_hosts)
        begun_s = time.time()
        await asyncio.sleep(STILL_S)
        world.processes[frozen].send_signal(signal.SIGCONT)
        await run.catch_up(lost_hosts, begun_s)
        assert await world.is_whole(lost)
        await run.check_readable()
        assert run.broken == []


async def test_pairs_lose_their_disks_as_often_as_is_borne(tmp_path):
    """Each pair is lost as soon as the one before counts as healthy."""
    run = await lose_disks(seed=1, losses=LOSSES, folder=tmp_path)
    assert run.broken == []
    assert len(run.repairs) == LOSSES
