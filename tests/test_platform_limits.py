"""Servers that state a rate limit, against the real processes."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio

from tests.limited_server import (
    Hosts,
    LimitedWorld,
    allowed,
    ask_steadily,
    most_in_a_window,
)
from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

HOSTS = Hosts(f'{ADDRESS_PREFIX}.10')
CONTROL_HOSTS = HOSTS.control
ENTRIES = HOSTS.entries
NORTH, NORTH_2, SOUTH = ENTRIES
OK, REFUSED = 200, 503
# The platform's bound: a limit is kept this long after it was first stated.
CONTACT_S = 5.0
PER_S = 40
AT_ONCE_S = 0.5
ENGINES = ('north-llm', 'north-llm-2')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with two entry VMs and two engines in one region."""
    deployment = LimitedWorld(tmp_path_factory.mktemp('limits'), HOSTS)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment with no limit in force."""
    for server in started.servers.values():
        server.state_limit(None)
        server.breaks = False
    await until(lambda: is_unlimited(started), 15.0)
    for server in started.servers.values():
        server.arrivals.clear()
    return started


async def is_unlimited(deployment):
    """Tell whether both engines get requests at the usual rate."""
    engines = [deployment.servers[name] for name in ENGINES]
    for engine in engines:
        engine.arrivals.clear()
    await ask_steadily(ENTRIES, '/once/x', 0.5, PER_S)
    return min(len(one.arrivals) for one in engines) >= PER_S / 8


def statuses(answers):
    """Return the statuses of answers."""
    return [answer.status for _, _, answer in answers]


async def test_server_that_states_a_limit_gets_no_more(world):
    """All VMs of a region go on sending their usual requests to it."""
    server = world.servers['north-llm']
    server.state_limit('2')
    started_s = asyncio.get_running_loop().time()
    answers = await ask_steadily(ENTRIES, '/once/x', 10.0, PER_S)
    most = most_in_a_window(server.times(), started_s + CONTACT_S)
    assert most <= allowed(2), most
    assert all(answer.status == OK for _, _, answer in answers)
    assert len(server.times(started_s + 1)) >= 0.7 * 2 * 9


async def test_callers_are_refused_at_once_where_all_servers_are_limited(
    world,
):
    """Callers that wait for nothing, or are told to come back too soon."""
    world.state('llm', '3')
    started_s = asyncio.get_running_loop().time()
    answers = await ask_steadily(ENTRIES, '/once/x', 6.0, PER_S)
    refused = [one for one in answers if one[2].status == REFUSED]
    assert set(statuses(answers)) == {OK, REFUSED}
    for sent_s, answered_s, answer in refused:
        assert answered_s - sent_s < AT_ONCE_S
        assert json.loads(answer.body)['outcome'] == 'not-run'
        assert float(answer.fields['retry-after']) > 0
    for name in ENGINES:
        times = world.servers[name].times()
        assert most_in_a_window(times, started_s + 1) <= allowed(3)
        assert len(world.servers[name].times(started_s + 1)) >= 0.7 * 3 * 5


async def test_retry_after_is_true(world):
    """A caller that comes back when it was told to, and is refused again."""
    world.state('llm', '1')
    await ask_steadily(ENTRIES, '/once/x', 0.3, PER_S)
    status, answer = OK, None
    while status == OK:
        _, answer = await ask(NORTH, '/once/x')
        status = answer.status
    await asyncio.sleep(float(answer.fields['retry-after']))
    _, answer = await ask(NORTH, '/once/x')
    assert answer.status == OK


async def test_full_traffic_returns_once_the_limit_has_ended(world):
    """A server that recovered and still gets next to nothing."""
    world.state('llm', '2')
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    world.state('llm', None)
    await asyncio.sleep(1.0)
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    answers = await ask_steadily(ENTRIES, '/once/x', 2.0, PER_S)
    assert set(statuses(answers)) == {OK}


async def test_invalid_limits_change_nothing_and_are_logged(world):
    """Words, signs and special values that stop or free all traffic."""
    for text in ('many', '-3', '+3', 'nan', '1e999'):
        world.state('llm', text)
        answers = await ask_steadily(ENTRIES, '/once/x', 0.6, PER_S)
        assert set(statuses(answers)) == {OK}, text
        ignored = world.logged(NORTH, 'ingress:header_ignored')
        assert text in {line['content'] for line in ignored}


async def test_limit_is_read_from_answers_that_are_never_whole(world):
    """A server that breaks off every answer, under full traffic."""
    server = world.servers['north-llm']
    server.state_limit('2')
    server.breaks = True
    started_s = asyncio.get_running_loop().time()
    await ask_steadily(ENTRIES, '/once/x', 5.0, PER_S)
    most = most_in_a_window(server.times(), started_s + 1)
    assert 0 < most <= allowed(2), most


async def test_resumed_and_repeated_requests_count(world):
    """Streams that break and go on at a limited server, one after another."""
    world.state('llm', '2')
    started_s = asyncio.get_running_loop().time()
    await ask_steadily(ENTRIES, '/resumed/breaks', 6.0, PER_S / 2)
    for name in ENGINES:
        times = world.servers[name].times()
        assert 0 < most_in_a_window(times, started_s + 1) <= allowed(2)


async def test_vms_that_choose_by_themselves_keep_the_limit(world):
    """All pickers are frozen: each VM decides without knowing the others."""
    world.state('llm', '2')
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    started_s = asyncio.get_running_loop().time()
    controls = [world.processes[host] for host in CONTROL_HOSTS]
    for process in controls:
        process.send_signal(signal.SIGSTOP)
    try:
        await ask_steadily(ENTRIES, '/once/x', 7.0, PER_S)
    finally:
        for process in controls:
            process.send_signal(signal.SIGCONT)
    for name in ENGINES:
        server = world.servers[name]
        assert most_in_a_window(server.times(), started_s) <= allowed(2)
        assert server.times(started_s + 3)


async def test_limit_outlives_restarts_of_vms_and_pickers(world):
    """A process that starts anew and sends the usual load again."""
    world.state('llm', '2')
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    started_s = asyncio.get_running_loop().time()
    traffic = asyncio.create_task(
        ask_steadily((NORTH, SOUTH), '/once/x', 9.0, PER_S)
    )
    for host, control in ((CONTROL_HOSTS[0], True), (NORTH_2, False)):
        world.processes[host].kill()
        await world.processes[host].wait()
        await asyncio.sleep(1.0)
        await world.start_process(host, 'zone-a', control=control)
    await traffic
    for name in ENGINES:
        times = world.servers[name].times()
        assert 0 < most_in_a_window(times, started_s) <= allowed(2)


async def test_another_server_at_the_address_is_not_limited(world):
    """A server that took over the address of a limited one."""
    old = world.servers['north-llm']
    old.state_limit('1')
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    new = old.reborn()
    new.state_limit(None)
    await new.start()
    world.servers['north-llm'] = new
    await until(lambda: is_unlimited(world), 10.0)
