"""Servers that state in their answers that they leave, and real processes."""

import asyncio
import signal

import pytest
import pytest_asyncio

from tests.limited_server import Hosts, LimitedWorld, ask_steadily
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

HOSTS = Hosts(f'{ADDRESS_PREFIX}.12')
CONTROL_HOSTS = HOSTS.control
ENTRIES = HOSTS.entries
NORTH, NORTH_2, SOUTH = ENTRIES
ENGINES = ('north-llm', 'north-llm-2')
OK = 200
PER_S = 40
# The platform's bound: requests reach a leaving server for so long.
DRAIN_S = 3.0
POLLED_S = 1.5


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with two entry VMs and two engines in one region."""
    deployment = LimitedWorld(tmp_path_factory.mktemp('leaving'), HOSTS)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment with two engines that do not leave."""
    server = started.servers['north-llm']
    if server.stated:
        started.servers['north-llm'] = server.reborn()
        await started.servers['north-llm'].start()
    await until(lambda: is_served_by_all(started), 15.0)
    return started


async def is_served_by_all(deployment):
    """Tell whether each VM of the region sends to both engines."""
    engines = [deployment.servers[name] for name in ENGINES]
    for engine in engines:
        engine.arrivals.clear()
    await ask_steadily((NORTH, NORTH_2), '/once/x', 0.5, PER_S)
    senders = [{vm for _, vm in one.arrivals} for one in engines]
    return all(vms == {NORTH, NORTH_2} for vms in senders)


async def late_requests(server, seconds, path='/once/x'):
    """Return the requests that came too late, and the answers of all of them.

    The platform counts for each VM from its first answer that states it.
    """
    server.state_leaving()
    stated_s = asyncio.get_running_loop().time()
    answers = await ask_steadily(ENTRIES, path, seconds, PER_S)
    told: dict[str, float] = {}
    late = []
    for at_s, vm in server.arrivals:
        if at_s >= stated_s and at_s > told.setdefault(vm, at_s) + DRAIN_S:
            late.append((at_s - stated_s, vm))
    assert server.times(stated_s)
    return late, answers


async def test_server_that_states_that_it_leaves_gets_no_requests(world):
    """A server whose heartbeats say nothing of its leaving."""
    server = world.servers['north-llm']
    stated_s = asyncio.get_running_loop().time()
    late, answers = await late_requests(server, 5.0)
    assert not late, len(late)
    assert not server.times(stated_s + DRAIN_S)
    assert all(answer.status == OK for _, _, answer in answers)


async def test_all_vms_of_the_region_know_of_one_answer(world):
    """A VM that has not been answered yet goes on sending to it."""
    server = world.servers['north-llm']
    server.state_leaving()
    server.arrivals.clear()
    while not server.arrivals:
        await ask_steadily((NORTH,), '/once/x', 0.1, PER_S)
    await asyncio.sleep(0.5)
    server.arrivals.clear()
    await ask_steadily((NORTH_2,), '/once/x', 2.0, PER_S)
    assert not server.arrivals


async def test_vms_know_of_one_answer_without_their_pickers(world):
    """A VM that was not answered itself chooses, and its pickers are frozen."""
    await asyncio.sleep(POLLED_S)
    server = world.servers['north-llm']
    server.state_leaving()
    server.arrivals.clear()
    while not server.arrivals:
        await ask_steadily((NORTH,), '/once/x', 0.1, PER_S)
    await asyncio.sleep(0.5)
    server.arrivals.clear()
    controls = [world.processes[host] for host in CONTROL_HOSTS]
    for process in controls:
        process.send_signal(signal.SIGSTOP)
    try:
        answers = await ask_steadily((NORTH_2,), '/once/x', 2.0, PER_S)
    finally:
        for process in controls:
            process.send_signal(signal.SIGCONT)
    assert not server.arrivals
    assert all(answer.status == OK for _, _, answer in answers)


async def test_vms_that_choose_by_themselves_know_it(world):
    """All pickers are frozen when the server states that it leaves."""
    # Each VM has polled the engines, which its own choice is made from.
    await asyncio.sleep(POLLED_S)
    controls = [world.processes[host] for host in CONTROL_HOSTS]
    for process in controls:
        process.send_signal(signal.SIGSTOP)
    try:
        late, _ = await late_requests(world.servers['north-llm'], 5.0)
    finally:
        for process in controls:
            process.send_signal(signal.SIGCONT)
    assert not late, len(late)


async def test_restarted_picker_knows_it(world):
    """A picker that starts anew assigns the server at once."""
    server = world.servers['north-llm']
    traffic = asyncio.create_task(late_requests(server, 7.0))
    await asyncio.sleep(1.5)
    host = CONTROL_HOSTS[0]
    world.processes[host].kill()
    await world.processes[host].wait()
    await world.start_process(host, 'zone-a', control=True)
    late, _ = await traffic
    assert not late, len(late)


async def test_resumed_and_repeated_requests_avoid_it(world):
    """Streams that break at a leaving server, or go on at one."""
    server = world.servers['north-llm']
    late, _ = await late_requests(server, 5.0, '/resumed/breaks')
    assert not late, len(late)


async def test_answer_that_is_never_whole_tells_it(world):
    """A server that breaks off each answer after its head."""
    server = world.servers['north-llm']
    server.breaks = True
    late, _ = await late_requests(server, 5.0)
    assert not late, len(late)


async def test_other_texts_change_nothing_and_are_logged(world):
    """A server that states something else and gets nothing more."""
    server = world.servers['north-llm']
    for text in ('0', 'yes', '-1', '+1', 'nan', '1e999'):
        server.state_leaving(text)
        server.arrivals.clear()
        await ask_steadily(ENTRIES, '/once/x', 0.6, PER_S)
        assert server.arrivals, text
        ignored = [
            line['content']
            for entry in (NORTH, NORTH_2)
            for line in world.logged(entry, 'ingress:header_ignored')
        ]
        assert text in ignored


async def test_another_server_at_the_address_does_not_leave(world):
    """A server that took over the address of one that left."""
    late, _ = await late_requests(world.servers['north-llm'], 4.0)
    assert not late
    new = world.servers['north-llm'].reborn()
    await new.start()
    world.servers['north-llm'] = new
    await until(lambda: is_served_by_all(world), 10.0)
