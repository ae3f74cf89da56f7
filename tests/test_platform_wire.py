"""The platform's wire against the real processes, table by table."""

import asyncio
import json
import signal
import time

import pytest
import pytest_asyncio

from godwitshunt.tracing import build_timeline, read_logs
from tests.platform_client import FRONT, HOST, ask, call, send
from tests.platform_documents import (
    CONTROL_HOSTS,
    DIRECTORY,
    READY,
    configuration,
    route,
)
from tests.platform_server import fields_of
from tests.platform_world import NORTH, SOUTH, World, until

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment that serves."""
    started = World(tmp_path_factory.mktemp('world'))
    try:
        await started.start()
        yield started
    finally:
        await started.close()


@pytest.mark.parametrize('entry', [NORTH, SOUTH])
@pytest.mark.parametrize(
    'path',
    ['/safe/x', '/unsafe/x', '/once/x', '/resumed/x', '/south/x'],
)
async def test_each_kind_is_served_whole(world, entry, path):
    """Every kind of request, from both regions, over one hop at most."""
    attempt, answer = await ask(entry, path)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.fields['attempt-id'] == attempt
    assert 'server-seal' in answer.fields
    ran = [one for one in world.servers.values() if attempt in one.ran]
    assert len(ran) == 1
    if path.startswith('/south'):
        assert ran[0].zone == 'zone-b'
    if 'resumed' in path or 'once' in path:
        assert answer.body.count(b'data:') == 8


async def test_upstream_gets_what_it_must_and_nothing_forged(world):
    """A caller sets headers that only this system may set."""
    attempt, answer = await ask(
        NORTH,
        '/unsafe/x?q=1',
        Expect_Instance='i-forged',
        Kv_From='10.0.0.1:1/h',
        Hold='h',
        X_Own='kept',
    )
    assert answer.status == 200
    server = world.servers['north-app']
    head = next(one for one in server.heads if attempt in one)
    fields = fields_of(head.encode())
    assert head.startswith('POST /unsafe/x?q=1 ')
    assert fields['host'] == HOST
    assert fields['x-own'] == 'kept'
    assert fields['expect-instance'] == server.instance
    assert 2000 < int(fields['deadline-ms']) <= 3000
    assert not {'kv-from', 'hold'} & fields.keys()


async def test_stream_goes_on_after_a_break(world):
    """An engine crashes in the middle of an event."""
    _, answer = await ask(NORTH, '/resumed/breaks')
    assert answer.complete
    numbers = [
        int(line[3:])
        for line in answer.body.split(b'\n')
        if line.startswith(b'id:')
    ]
    assert numbers == list(range(1, 9))


async def test_stream_that_may_not_be_repeated_ends_broken(world):
    """An engine crashes; a clean end would make a part look whole."""
    attempt, answer = await ask(NORTH, '/once/breaks')
    assert not answer.complete
    assert b'id: 4' not in answer.body
    assert sum(attempt in one.ran for one in world.servers.values()) == 1


@pytest.mark.parametrize(
    ('path', 'status', 'runs'),
    [
        ('/unsafe/reset', 502, 1),
        ('/unsafe/unsigned', 502, 1),
        ('/unsafe/other', 200, 1),
        ('/unsafe/fails', 500, 1),
        ('/unsafe/full', 503, 0),
        ('/safe/reset', 502, 2),
        ('/nowhere/x', 404, 0),
    ],
)
async def test_faults_of_servers_are_told_truly(world, path, status, runs):
    """Servers reset, answer for others, forge, fail and are full.

    *Not run* is said only of what no server ran; a success only of what one
    signed.
    """
    # Servers that just turned a request away are left alone for a moment.
    await asyncio.sleep(0.7)
    await until(lambda: served(NORTH), 10)
    attempt, answer = await ask(NORTH, path)
    assert answer.status == status
    ran = sum(one.ran.count(attempt) for one in world.servers.values())
    assert ran == runs
    if status == 503:
        assert float(answer.fields['retry-after']) > 0
    if path == '/unsafe/other':
        assert answer.body == b'yours'


async def served(entry):
    """Tell whether an entry serves at this moment."""
    _, answer = await ask(entry, '/safe/x')
    return answer.status == 200


async def test_no_more_upstreams_run_a_request_than_its_route_allows(world):
    """Both of another region's servers fail what they run.

    The machine that takes the request over and the one that handed it over
    both count; each with attempts of its own, three servers ran it.
    """
    await asyncio.sleep(0.7)
    attempt, answer = await ask(SOUTH, '/engines/fails')
    assert answer.status == 500
    ran = sum(one.ran.count(attempt) for one in world.servers.values())
    assert 1 <= ran <= 2


async def test_prompt_beyond_every_engine_reaches_none(world):
    """A prompt longer than an engine's memory, offered to one after another.

    Each turns it away as if it were full, and is left alone for a moment.
    """
    longest = {'Token_Count': '9001,10', 'Prefix_Hash': '5c1e07a2:9001'}
    attempt, answer = await ask(NORTH, '/once/x', **longest)
    assert answer.status == 503
    assert json.loads(answer.body)['outcome'] == 'not-run'
    assert 'retry-after' not in answer.fields
    heads = [one for server in world.servers.values() for one in server.heads]
    assert not any(attempt in head for head in heads)


async def test_caller_that_goes_stops_the_work(world):
    """A caller hangs up; half a second later nobody may work for it."""
    _, writer = await asyncio.open_connection(NORTH, FRONT)
    attempt = 'leaves-at-once'
    head = (
        f'GET /unsafe/slow HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n\r\n'
    )
    writer.write(head.encode())
    server = world.servers['north-app']
    await until(lambda: is_in(attempt, server.ran), 3)
    writer.transport.abort()
    await until(lambda: is_in(attempt, server.left), 0.5)


async def is_in(attempt, listed):
    """Tell whether an attempt is listed."""
    return attempt in listed


BAD_REQUESTS = {
    'two lengths': b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
    'length and chunked': (
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'no number': b'Content-Length: x\r\n\r\n',
    'too long a body': b'Content-Length: 70000\r\n\r\n',
    'too long a head': b'X: %s\r\n\r\n' % (b'x' * 9000),
    'half a head, then silence': b'X-Half',
    'half a body, then silence': b'Content-Length: 50\r\n\r\nhalf',
    'no header': b'nonsense\r\n\r\n',
}


@pytest.mark.parametrize('name', BAD_REQUESTS)
async def test_bad_requests_reach_no_server(world, name):
    """Input that two servers would read in two ways, or that never ends."""
    attempt = name.replace(' ', '-').replace(',', '')
    start = (
        f'POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n'
    )
    raw = start.encode() + BAD_REQUESTS[name]
    answer = await send(NORTH, FRONT, raw)
    assert answer.status in {0, 400, 408, 413, 431}
    assert all(attempt not in one.ran for one in world.servers.values())


async def test_chunked_body_arrives_whole(world):
    """A caller sends its body in chunks."""
    raw = (
        f'POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: chunked\r\n'
        'Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
    )
    answer = await send(NORTH, FRONT, raw.encode())
    assert (answer.status, answer.body) == (200, b'hello')


def bad(**changes):
    """Return a configuration of a higher version with something wrong."""
    return configuration(version=1000, **changes)


BAD_CONFIGURATIONS = {
    'cut short': json.dumps(bad()).encode()[:-20],
    'no object': b'[]',
    'no version': {
        key: part for key, part in bad().items() if key != 'version'
    },
    'unknown service': bad(routes=[route('safe', '/x/', service='none')]),
    'same place twice': bad(
        routes=[route('safe', '/x/'), route('unsafe', '/x/')],
    ),
    'no weight': bad(
        routes=[
            route(
                'safe',
                '/x/',
                service=None,
                weighted_services=[{'service': 'app', 'weight': 0}],
            ),
        ],
    ),
    'no time': bad(routes=[route('safe', '/x/', timeout_ms=0)]),
    'unknown kind': bad(routes=[route('perhaps', '/x/')]),
    'routes are a word': bad(routes='none'),
}


@pytest.mark.parametrize('name', BAD_CONFIGURATIONS)
async def test_invalid_configuration_leaves_no_trace(world, name):
    """An operator's pipeline sends what cannot be obeyed."""
    answer = await world.control('PUT', '/-/config', BAD_CONFIGURATIONS[name])
    assert answer.status == 400
    kept = await world.control('GET', '/-/config', host=CONTROL_HOSTS[2])
    assert kept.status == 200
    assert json.loads(kept.body)['version'] < 1000


@pytest.mark.parametrize(
    'body',
    [b'{"service"', b'[]', b'{}', b'{"service": 1, "sequence": "x"}'],
)
async def test_malformed_heartbeat_is_refused(world, body):
    """A server's heartbeat was cut, or is of another version."""
    answer = await world.control('PUT', '/-/instances/i-bad', body)
    assert answer.status == 400


async def test_configuration_is_read_back_as_sent_from_every_machine(world):
    """The highest version wins; older and equal ones change nothing."""
    newest = configuration(version=7)
    sent = await world.control('PUT', '/-/config', newest)
    again = await world.control('PUT', '/-/config', newest, CONTROL_HOSTS[1])
    older = await world.control('PUT', '/-/config', configuration(version=3))
    other = configuration(version=7, routes=[])
    forged = await world.control('PUT', '/-/config', other)
    statuses = [one.status for one in (sent, again, older, forged)]
    assert statuses == [200, 200, 200, 200]
    for host in CONTROL_HOSTS:
        answer = await world.control('GET', '/-/config', host=host)
        assert json.loads(answer.body) == newest


@pytest.mark.parametrize('asked', [NORTH, SOUTH])
async def test_edge_machines_answer_the_directory(world, asked):
    """Both control machines of a zone are dark, and clients ask on.

    Each look-up there costs its client a second; edge machines are near, too.
    """
    answers = []
    for region, zone in (('north', 'zone-a'), ('south', 'zone-b')):
        path = f'/-/resolve?name={HOST}&region={region}&zone={zone}'
        told = await call(asked, DIRECTORY, 'GET', path)
        answers.append(json.loads(told.body)['addresses'])
    assert answers == [[f'{NORTH}:{FRONT}'], [f'{SOUTH}:{FRONT}']]


@pytest.mark.parametrize('asked', [CONTROL_HOSTS[0], NORTH])
async def test_clients_of_other_regions_are_sent_to_homes(world, asked):
    """A region has no machine, and one route of the host has a home.

    Sent elsewhere, bodies of that route would be in a region that is neither
    its home nor their clients'.
    """
    path = f'/-/resolve?name={HOST}&region=west&zone=zone-w'
    told = await call(asked, DIRECTORY, 'GET', path)
    assert json.loads(told.body)['addresses'] == [f'{SOUTH}:{FRONT}']


async def test_directory_names_ready_machines_of_the_region(world):
    """Clients ask where to connect."""
    for host in CONTROL_HOSTS:
        path = f'/-/resolve?name={HOST}&region=south&zone=zone-b'
        answer = await call(host, DIRECTORY, 'GET', path)
        named = json.loads(answer.body)
        assert named['addresses'] == [f'{SOUTH}:{FRONT}']
        assert 0 < named['ttl_s'] <= 5
    ready = await call(SOUTH, READY, 'GET', '/-/readyz')
    assert ready.status == 200


async def test_draining_server_gets_nothing_more(world):
    """A server says that it leaves, and is told that this is known.

    Three seconds later it may exit, and whatever it runs then is cut.
    """
    server = world.servers['north-llm-2']
    world.silent.add('north-llm-2')
    said = await world.announce('north-llm-2', 1, state='draining')
    assert said.status == 200
    await asyncio.sleep(1.0)
    before = len(server.ran)
    for _ in range(12):
        await ask(NORTH, '/resumed/x')
    assert len(server.ran) == before


async def test_drained_server_that_starts_again_gets_work(world):
    """A server was emptied for an update and starts again under its id.

    Its count of heartbeats begins anew. Held against the count before, they
    would be late ones, and the server would stay drained for good.
    """
    server = world.servers['north-llm-2']
    world.silent.add('north-llm-2')
    await world.announce('north-llm-2', 1, state='draining')
    server.sequence = 0
    born = int(time.time() * 1000)
    said = await world.announce('north-llm-2', 2, born=born)
    assert said.status == 200
    await asyncio.sleep(1.0)
    before = len(server.ran)
    for _ in range(12):
        await ask(NORTH, '/resumed/x')
    assert len(server.ran) > before


async def test_evacuated_zone_gets_nothing_until_it_is_taken_back(world):
    """An operator empties a zone, and changes his mind."""
    path = '/-/evacuations/zone-a'
    assert (await world.control('POST', path)).status == 200
    await asyncio.sleep(1.0)
    before = len(world.servers['north-app'].ran)
    for _ in range(5):
        _, answer = await ask(NORTH, '/safe/x')
        assert answer.status == 200
    assert len(world.servers['north-app'].ran) == before
    assert (await world.control('DELETE', path)).status == 200
    await until(lambda: runs_here(world), 5)


async def runs_here(world):
    """Tell whether the north's own server runs its requests."""
    attempt, _ = await ask(NORTH, '/safe/x')
    return attempt in world.servers['north-app'].ran


async def test_request_id_leads_to_its_decisions(world):
    """Someone on call asks what became of a request."""
    attempt, _ = await ask(NORTH, '/safe/x')
    await until(lambda: is_logged(world, attempt), 3)
    lines = world.logged(NORTH, 'ingress:request_ended')
    line = next(one for one in lines if one['request'] == attempt)
    assert line['ending'] == 'answered 200'
    assert line['attempts'][0].endswith(':Answered')
    assert world.servers['north-app'].instance in line['choices'][0]
    logs = tuple(world.folder.glob('*.log'))
    timeline = build_timeline(attempt, read_logs(logs))
    instance = world.servers['north-app'].instance
    assert f'tried {instance} (Answered); answered 200' in timeline.summary


async def is_logged(world, attempt):
    """Tell whether the north has written of an attempt."""
    lines = world.logged(NORTH, 'ingress:request_ended')
    return any(one['request'] == attempt for one in lines)


@pytest.mark.parametrize('entry', [NORTH, SOUTH])
async def test_ready_answer_is_delivered_by_a_vm_that_was_frozen(world, entry):
    """A VM that wakes up after the deadline refuses what was answered."""
    attempt = asyncio.create_task(ask(entry, '/unsafe/slow'))
    await asyncio.sleep(0.3)
    process = world.processes[entry]
    process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(3.0)
    finally:
        process.send_signal(signal.SIGCONT)
    _, answer = await attempt
    assert (answer.status, answer.body) == (200, b'late')
    await until(world.is_serving, 10.0)


async def test_stopped_entry_finishes_what_it_took(world):
    """A machine is told to stop while it answers."""
    slow = asyncio.create_task(ask(SOUTH, '/unsafe/slow'))
    await asyncio.sleep(0.2)
    world.processes[SOUTH].send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    ready = await call(SOUTH, READY, 'GET', '/-/readyz')
    assert ready.status == 503
    _, answer = await slow
    assert answer.status == 200
    async with asyncio.timeout(8):
        assert await world.processes[SOUTH].wait() == 0
