"""Servers that refuse a VM and ask it for rest, against the real processes."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio

from tests.limited_server import (
    Hosts,
    LimitedWorld,
    ask_steadily,
    most_within_a_rest,
)
from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

HOSTS = Hosts(f'{ADDRESS_PREFIX}.11')
CONTROL_HOSTS = HOSTS.control
ENTRIES = HOSTS.entries
NORTH, NORTH_2, SOUTH = ENTRIES
OK, REFUSED = 200, 503
AT_ONCE_S = 0.5
ENGINES = ('north-llm', 'north-llm-2')
PER_S = 40
REST_S = 3.0
# The platform lets so many requests of a VM reach a server within a rest.
REQUESTS_ALLOWED = 2


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with two entry VMs and two engines in one region."""
    deployment = LimitedWorld(tmp_path_factory.mktemp('rests'), HOSTS)
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


async def test_callers_are_refused_at_once_while_all_servers_rest(world):
    """Callers that wait for nothing, or are told to come back within a rest."""
    for name in ENGINES:
        world.servers[name].rest = str(int(REST_S))
    await ask_steadily((NORTH,), '/once/x', 0.3, PER_S)
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    _, answer = await ask(NORTH, '/once/x')
    assert loop.time() - sent_s < AT_ONCE_S
    assert answer.status == REFUSED
    assert json.loads(answer.body)['outcome'] == 'not-run'
    for name in ENGINES:
        world.servers[name].rest = ''
    await asyncio.sleep(float(answer.fields['retry-after']))
    _, answer = await ask(NORTH, '/once/x')
    assert answer.status == OK


async def test_other_vms_send_to_the_server_meanwhile(world):
    """A server that asked one machine for rest and is left by all."""
    server = world.servers['north-llm']
    server.rest = str(int(REST_S))
    while not server.rested:
        await ask(NORTH, '/once/x')
    server.rest = ''
    await asyncio.sleep(0.5)
    server.arrivals.clear()
    await ask_steadily((NORTH_2,), '/once/x', 1.0, PER_S)
    assert NORTH_2 in {vm for _, vm in server.arrivals}


async def test_full_traffic_returns_after_the_rest(world):
    """A server that has rested and still gets nothing."""
    server = world.servers['north-llm']
    server.rest = '1'
    await ask_steadily(ENTRIES, '/once/x', 0.5, PER_S)
    server.rest = ''
    await asyncio.sleep(2.0)
    await ask_steadily(ENTRIES, '/once/x', 2.0, PER_S)
    await until(lambda: gets_a_share(server), 10.0)


async def gets_a_share(server):
    """Tell whether a server gets a usual share of the requests of each VM."""
    server.arrivals.clear()
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    senders = {vm for _, vm in server.arrivals}
    return len(server.arrivals) >= PER_S / 4 and senders == {NORTH, NORTH_2}


async def test_invalid_rests_change_nothing_and_are_logged(world):
    """A refusal with words, signs or special values in place of seconds."""
    server = world.servers['north-llm']
    for text in ('soon', '-3', '+3', 'nan', '1e999'):
        server.rest = text
        answers = await ask_steadily(ENTRIES, '/once/x', 0.5, PER_S)
        assert all(answer.status == OK for _, _, answer in answers), text
        ignored = [
            line['content']
            for entry in (NORTH, NORTH_2)
            for line in world.logged(entry, 'ingress:header_ignored')
        ]
        assert text in ignored
    server.rest = ''
    await until(lambda: gets_a_share(server), 10.0)


async def test_requests_of_all_kinds_respect_a_rest(world):
    """Repeated, resumed and forwarded requests, sent to a server that rests."""
    server = world.servers['north-llm']
    server.rest = str(int(REST_S))
    await asyncio.gather(
        ask_steadily((NORTH, NORTH_2), '/engines/x', 5.0, PER_S / 4),
        ask_steadily((NORTH, NORTH_2), '/resumed/breaks', 5.0, PER_S / 4),
        ask_steadily((SOUTH,), '/once/x', 5.0, PER_S / 2),
    )
    assert server.rested
    assert most_within_a_rest(server, REST_S) <= REQUESTS_ALLOWED


async def test_vm_that_chooses_by_itself_respects_a_rest(world):
    """All pickers are frozen while a server rests."""
    server = world.servers['north-llm']
    controls = [world.processes[host] for host in CONTROL_HOSTS]
    for process in controls:
        process.send_signal(signal.SIGSTOP)
    try:
        server.rest = str(int(REST_S))
        await ask_steadily(ENTRIES, '/once/x', 5.0, PER_S)
    finally:
        for process in controls:
            process.send_signal(signal.SIGCONT)
    assert server.rested
    assert most_within_a_rest(server, REST_S) <= REQUESTS_ALLOWED


async def test_rest_outlives_a_restart_of_the_picker(world):
    """A picker that starts anew and assigns the server at once."""
    server = world.servers['north-llm']
    server.rest = str(int(REST_S))
    traffic = asyncio.create_task(
        ask_steadily(ENTRIES, '/once/x', 6.0, PER_S),
    )
    await asyncio.sleep(1.0)
    host = CONTROL_HOSTS[0]
    world.processes[host].kill()
    await world.processes[host].wait()
    await world.start_process(host, 'zone-a', control=True)
    await traffic
    assert server.rested
    assert most_within_a_rest(server, REST_S) <= REQUESTS_ALLOWED


async def test_another_server_at_the_address_is_not_spared(world):
    """A server that took over the address of one that rests."""
    old = world.servers['north-llm']
    old.rest = '60'
    await ask_steadily(ENTRIES, '/once/x', 1.0, PER_S)
    new = old.reborn()
    await new.start()
    world.servers['north-llm'] = new
    await until(lambda: gets_a_share(new), 10.0)
