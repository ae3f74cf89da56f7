"""Lost links of one entry VM beside other faults, against real processes."""

import asyncio
import signal

import pytest
import pytest_asyncio

from tests.partition_world import (
    Cut,
    PartitionWorld,
    ask_all,
    heal_and_use,
    running,
    served_share,
)
from tests.platform_documents import ADDRESS_PREFIX

pytestmark = pytest.mark.asyncio(loop_scope='module')

NETWORK = f'{ADDRESS_PREFIX}.15'
CUT_S = 4.0
HEALED_S = 2.0
# Seconds after the cut from which callers of the VM are served.
KNOWN_S = 1.5
LEAST_SHARE = 0.97


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with three entry VMs in one region."""
    folder = tmp_path_factory.mktemp('paths')
    async with running(PartitionWorld(folder, NETWORK)) as deployment:
        yield deployment


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment with all paths, and connections in use."""
    return await heal_and_use(started)


def direct_requests(world, host):
    """Return how many requests upstreams got from an entry VM itself."""
    return sum(
        vm == host
        for server in world.servers.values()
        for _, vm in server.arrivals
    )


@pytest.mark.parametrize('kind', Cut)
async def test_vm_uses_its_paths_again_after_a_cut(world, kind):
    """A VM whose links are back goes on to burden the VMs beside it."""
    cut_off = world.north[0]
    world.cut([cut_off], kind)
    await ask_all([cut_off], KNOWN_S)
    world.heal()
    await ask_all([cut_off], HEALED_S)
    before = direct_requests(world, cut_off)
    sent = await ask_all([cut_off], 1.0)
    assert served_share(sent, [cut_off]) == 1
    assert direct_requests(world, cut_off) - before >= LEAST_SHARE * len(sent)


async def test_links_that_fail_now_and_then_cost_few_requests(world):
    """Links are cut for half a second in each one and a half."""
    cut_off = world.north[0]
    asking = asyncio.create_task(ask_all(world.entry_zones, 6.0))
    for _ in range(4):
        world.cut([cut_off], Cut.silent)
        await asyncio.sleep(0.5)
        world.heal()
        await asyncio.sleep(1.0)
    sent = await asking
    assert served_share(sent, world.entry_zones) >= LEAST_SHARE


async def test_cut_off_vm_is_served_beside_frozen_pickers(world):
    """All control processes of the region stop as well."""
    cut_off = world.north[:1]
    controls = [world.processes[host] for host in world.control_hosts]
    world.cut(cut_off, Cut.silent)
    for process in controls:
        process.send_signal(signal.SIGSTOP)
    try:
        sent = await ask_all(world.north, CUT_S)
    finally:
        for process in controls:
            process.send_signal(signal.SIGCONT)
    assert served_share(sent, cut_off, KNOWN_S) >= LEAST_SHARE
    assert served_share(sent, world.north[1:]) >= LEAST_SHARE


async def test_cut_off_vm_is_served_beside_a_frozen_vm(world):
    """One of the two VMs that requests are relayed to does not run."""
    cut_off = world.north[:1]
    frozen = world.processes[world.north[1]]
    world.cut(cut_off, Cut.silent)
    await ask_all(cut_off, KNOWN_S)
    frozen.send_signal(signal.SIGSTOP)
    try:
        sent = await ask_all(cut_off, CUT_S)
    finally:
        frozen.send_signal(signal.SIGCONT)
    assert served_share(sent, cut_off, 2 * KNOWN_S) >= LEAST_SHARE


async def test_one_upstream_out_of_reach_costs_no_request(world):
    """A VM does not reach one engine, and the others reach it."""
    engine = world.servers['north-llm']
    engine.arrivals.clear()
    engine.cut(world.north[:1], Cut.silent)
    sent = await ask_all(world.north, CUT_S)
    assert served_share(sent, world.north, KNOWN_S) == 1
    assert any(vm == world.north[1] for _, vm in engine.arrivals)


@pytest.mark.parametrize('names', [('north-llm',), None])
async def test_upstreams_that_are_silent_for_a_second_serve_on(world, names):
    """Sound upstreams, one or all, answer nothing for a second.

    Fewer requests come meanwhile than fill the only upstream of a service.
    """
    asking = asyncio.create_task(ask_all(world.entry_zones, 4.0, per_s=5))
    await asyncio.sleep(0.5)
    for name in names or world.servers:
        world.servers[name].be_silent(1.0)
    sent = await asking
    once = [one for one in sent if one.path in {'/unsafe/x', '/once/x'}]
    assert served_share(once, world.entry_zones) == 1
    assert served_share(sent, world.entry_zones) >= LEAST_SHARE
