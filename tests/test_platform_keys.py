"""Tenants' keys, homes and quotas against the real processes.

Only a key tells whose a request is. It must open nothing that its tenant may
not use, never reach a server or a log, and open nothing once it was taken
away, on any machine.
"""

import asyncio
import json
import secrets
import signal
import time

import pytest
import pytest_asyncio

from tests.platform_client import FRONT, HOST, ask, call, send
from tests.platform_documents import (
    CONTROL_HOSTS,
    READY,
    REVOKE_MS,
    configuration,
    route,
)
from tests.platform_server import fields_of
from tests.platform_world import NORTH, SOUTH, World, until

pytestmark = pytest.mark.asyncio(loop_scope='module')

WARDS, WARDS_NEXT = 'k-wards-4f81c2', 'k-wards-9d07aa'
SOUTHERN, SMALL = 'k-southern-1b2c3d', 'k-small-77e0f1'
ADDED = 'k-added-c0ffee11'
KEYS = (WARDS, WARDS_NEXT, SOUTHERN, SMALL, ADDED)
UNLIMITED = {'unit': 'tokens', 'uncached_tokens': 200, 'rate_per_s': 0}
TENANTS = [
    {
        'name': 'wards',
        'api_keys': [WARDS, WARDS_NEXT],
        'priority': 0,
        **UNLIMITED,
    },
    {
        'name': 'southern',
        'api_keys': [SOUTHERN],
        'home_regions': ['south'],
        **UNLIMITED,
    },
    {
        'name': 'small',
        'api_keys': [SMALL],
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': 400,
        'burst': 800,
    },
]


def with_tenants(version, tenants, **changes):
    """Return a configuration whose routes ask for keys, but one."""
    document = configuration(version, tenants=tenants, **changes)
    document['routes'].append(route('safe', '/open/', public=True))
    return document


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment with tenants that serves."""
    started = World(tmp_path_factory.mktemp('keys'))
    try:
        await begin(started)
        yield started
    finally:
        await started.close()


async def begin(world):
    """Start a deployment and have it ask for keys."""
    await world.start()
    await put(world, with_tenants(10, TENANTS))
    await until(asks_for_keys, 5)


async def asks_for_keys():
    """Tell whether all entries have heard of tenants."""
    return await refuses(NORTH, 'unknown') and await refuses(SOUTH, 'unknown')


async def put(world, document):
    """Have a configuration acknowledged."""

    async def acknowledged():
        answer = await world.control('PUT', '/-/config', document)
        return answer.status == 200

    await until(acknowledged, 10)


async def serves(entry, key, path='/safe/x'):
    """Tell whether an entry serves a key's request."""
    _, answer = await ask(entry, path, Api_Key=key)
    return answer.status == 200


async def refuses(entry, key, status=401):
    """Tell whether an entry refuses a key's request."""
    _, answer = await ask(entry, '/safe/x', Api_Key=key)
    return answer.status == status


def heads_of(world, attempt):
    """Return what servers got of a request."""
    return [
        head
        for server in world.servers.values()
        for head in server.heads
        if attempt in head
    ]


@pytest.mark.parametrize('entry', [NORTH, SOUTH])
@pytest.mark.parametrize(
    'path',
    ['/safe/x', '/unsafe/x', '/once/x', '/resumed/breaks', '/south/x'],
)
async def test_servers_get_the_tenants_name_and_no_key(world, entry, path):
    """A first attempt, a resumed stream, and a hop; a forged name beside."""
    attempt, answer = await ask(entry, path, Api_Key=WARDS, Tenant='forged')
    assert answer.status == 200
    heads = heads_of(world, attempt)
    assert heads
    for head in heads:
        assert head.lower().count('tenant: ') == 1
        assert fields_of(head.encode())['tenant'] == 'wards'
        assert 'api-key' not in head.lower()
        assert WARDS not in head


async def test_public_route_needs_no_key_and_takes_no_name(world):
    """Nobody's request must not look like some tenant's."""
    attempt, answer = await ask(NORTH, '/open/x', Api_Key=WARDS, Tenant='wards')
    assert answer.status == 200
    head = heads_of(world, attempt)[0].lower()
    assert 'tenant' not in head
    assert 'api-key' not in head
    _, answer = await ask(NORTH, '/open/x')
    assert answer.status == 200


@pytest.mark.parametrize(
    ('lines', 'status'),
    [
        ([], 401),
        (['Api-Key: '], 401),
        (['Api-Key: unknown'], 401),
        ([f'Api-Key: {WARDS}, {WARDS_NEXT}'], 401),
        ([f'Api-Key: {WARDS}', f'Api-Key: {SOUTHERN}'], 401),
        ([f'Api-Key: {WARDS}', f'Api-Key: {WARDS}'], 401),
        ([f'Api-Key: {WARDS.upper()}'], 401),
        ([f'Api-Key: Bearer {WARDS}'], 401),
        ([f'api-KEY: {WARDS_NEXT}'], 200),
        ([f'Api-Key:   {WARDS}  '], 200),
    ],
)
async def test_key_is_read_by_the_protocols_rules(world, lines, status):
    """Names fold case and blanks around a field's content don't count."""
    attempt = secrets.token_hex(8)
    head = ''.join(f'{line}\r\n' for line in lines)
    raw = (
        f'GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n'
        f'Deadline-Ms: 2000\r\n{head}\r\n'
    )
    answer = await send(NORTH, FRONT, raw.encode())
    assert answer.status == status
    assert bool(heads_of(world, attempt)) is (status == 200)


async def test_homes_of_a_tenant_bind(world):
    """A request comes to the other region and must be served at home."""
    attempt, answer = await ask(NORTH, '/safe/x', Api_Key=SOUTHERN)
    assert answer.status == 200
    ran = [one for one in world.servers.values() if attempt in one.ran]
    assert [one.zone for one in ran] == ['zone-b']


async def test_quota_is_kept_and_told_when_it_opens(world):
    """One tenant asks for many times its tokens, beside another one."""
    statuses = []
    started_s = time.monotonic()
    for _ in range(12):
        _, answer = await ask(
            NORTH,
            '/safe/x',
            Api_Key=SMALL,
            Token_Count='150,50',
        )
        statuses.append(answer.status)
        if answer.status == 429:
            assert float(answer.fields['retry-after']) > 0
    elapsed_s = time.monotonic() - started_s
    assert statuses[0] == 200
    assert set(statuses) == {200, 429}
    assert statuses.count(200) * 200 <= 800 + 400 * elapsed_s
    assert await serves(NORTH, WARDS)
    await asyncio.sleep(1.2)
    assert await serves(NORTH, SMALL)


def bad(**changes):
    """Return a tenant with a fault."""
    return {'name': 'other', 'api_keys': ['k-other-1'], **changes}


@pytest.mark.parametrize(
    'tenant',
    [
        bad(api_keys=[WARDS]),
        bad(name='wards'),
        bad(api_keys=['']),
        bad(api_keys=['with blank']),
        bad(api_keys=['line\nbreak']),
        bad(api_keys=WARDS),
        bad(rate_per_s=-1),
        bad(burst=-1),
        bad(unit='words'),
        bad(home_regions=['nowhere']),
        bad(name=None),
    ],
)
async def test_faulty_tenant_is_refused_and_changes_nothing(world, tenant):
    """An operator mistypes a tenant; all others go on as before."""
    document = with_tenants(99, [*TENANTS, tenant])
    answer = await world.control('PUT', '/-/config', document)
    assert answer.status == 400
    assert WARDS not in answer.body.decode()
    assert await serves(NORTH, WARDS)
    held = await world.control('GET', '/-/config')
    assert json.loads(held.body)['version'] < 99


async def test_key_that_was_just_added_opens_everywhere(world):
    """Its caller must not be told *unknown* by a machine that is behind."""
    tenants = [*TENANTS, {'name': 'added', 'api_keys': [ADDED], **UNLIMITED}]
    await put(world, with_tenants(20, tenants))
    for entry in (NORTH, SOUTH):
        assert await serves(entry, ADDED)


async def test_key_that_was_taken_away_opens_nothing(world):
    """A tenant changes over from one key to another."""
    changed = [{**TENANTS[0], 'api_keys': [WARDS]}, *TENANTS[1:]]
    await put(world, with_tenants(30, changed))

    async def is_closed():
        return await refuses(NORTH, WARDS_NEXT) and await refuses(
            SOUTH,
            WARDS_NEXT,
        )

    await until(is_closed, 3)
    assert await serves(NORTH, WARDS)
    assert await serves(SOUTH, WARDS)


async def test_machine_cut_off_from_control_ceases_to_serve_keys(world):
    """All control machines stand still; keys may be taken away meanwhile.

    A machine cannot know which keys still hold. It says so, and that it is
    not ready, until it has heard that its configuration is the newest.
    """
    send_to_control(world, signal.SIGSTOP)
    try:
        await is_refused_in_time()
    finally:
        send_to_control(world, signal.SIGCONT)
    await until(lambda: serves(NORTH, WARDS), 10)


def send_to_control(world, number):
    """Send all control processes a signal."""
    for host in CONTROL_HOSTS:
        world.processes[host].send_signal(number)


async def is_refused_in_time():
    """Check that a machine without news serves on, and then ceases to."""
    assert await serves(NORTH, WARDS)
    await asyncio.sleep(REVOKE_MS / 1000)
    assert await refuses(NORTH, WARDS, 503)
    ready = await call(NORTH, READY, 'GET', '/-/readyz')
    assert ready.status == 503


async def test_no_log_shows_a_key(world):
    """Whoever reads a log must not be able to send requests."""
    logs = list(world.folder.glob('*.log'))
    assert logs
    for log in logs:
        text = log.read_text()
        shown = [key for key in KEYS if key in text]
        assert not shown, log.name
