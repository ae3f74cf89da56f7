"""A short soak of the platform's programs, from a fixed seed."""

import asyncio
from contextlib import suppress
from functools import partial
from types import SimpleNamespace

import pytest

from tests.platform_client import FRONT, Answer
from tests.platform_documents import NETWORK
from tests.soak_client import WatchedConnection
from tests.stuttering_server import event, plain_body
from trials.soak import Findings, Seen, Soak, soak

OWN = {'attempt-id': 'a', 'server-seal': '3e1b'}
OTHER = {**OWN, 'attempt-id': 'b'}
WHOLE = plain_body('a')
STREAM = b''.join(event('a', number) for number in range(1, 9))
BEGUN = event('a', 1) + event('a', 2)
ENTRY = f'{NETWORK}.90'
REFUSED = b'HTTP/1.1 429 Wait\r\nContent-Length: 0\r\n\r\n'
NO_HEAD = b'id: 1\r\n\r\n'
SURPLUS = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


async def test_promises_hold_while_processes_come_and_go(tmp_path):
    """Processes are killed, paused and stopped while callers ask."""
    run = await soak(seed=1, seconds=8.0, folder=tmp_path)
    assert run.findings.broken == []
    assert run.findings.checks['whole and own'] > 20
    assert run.findings.checks['at most once'] > 20
    assert run.findings.checks['carries its id'] > 20
    assert run.findings.checks['nothing unasked'] > 20
    assert run.count_repeated() > 5
    assert len(run.faults) > 5


@pytest.mark.parametrize(
    ('path', 'answer', 'runs', 'promises'),
    [
        ('/unsafe/x', Answer(200, OWN, WHOLE[:-1]), 1, ['whole and own']),
        (
            '/unsafe/x',
            Answer(200, {}, WHOLE),
            1,
            ['carries its id', 'whole and own'],
        ),
        (
            '/unsafe/x',
            Answer(200, OTHER, WHOLE),
            1,
            ['carries its id', 'whole and own'],
        ),
        (
            '/unsafe/x',
            Answer(200, {'attempt-id': 'a'}, WHOLE),
            1,
            ['whole and own'],
        ),
        ('/unsafe/x', Answer(200, OWN, plain_body('b')), 1, ['whole and own']),
        ('/unsafe/x', Answer(200, OWN, WHOLE + WHOLE), 1, ['whole and own']),
        (
            '/once/x',
            Answer(200, OWN, STREAM + SURPLUS + STREAM),
            1,
            ['whole and own'],
        ),
        (
            '/once/x',
            Answer(200, OWN, STREAM.replace(event('a', 5), event('b', 5))),
            1,
            ['whole and own'],
        ),
        (
            '/resumed/x',
            Answer(200, OWN, event('a', 2), complete=False),
            1,
            ['begun and own'],
        ),
        (
            '/resumed/x',
            Answer(200, OWN, BEGUN + event('b', 3), complete=False),
            1,
            ['begun and own'],
        ),
        (
            '/once/x',
            Answer(200, OWN, BEGUN + event('a', 2), complete=False),
            1,
            ['begun and own'],
        ),
        (
            '/safe/x',
            Answer(200, OWN, plain_body('b'), complete=False),
            1,
            ['begun and own'],
        ),
        (
            '/resumed/x',
            Answer(206, OTHER, BEGUN, complete=False),
            1,
            ['carries its id'],
        ),
        ('/once/x', Answer(502, {}, b''), 2, ['at most once']),
        ('/unsafe/x', Answer(503, {}, b''), 1, ['not run is true']),
    ],
)
def test_a_broken_promise_is_found(path, answer, runs, promises):
    """A check that cannot turn red proves nothing."""
    checked = Soak(None, None, Findings())
    checked.check_answer(Seen(path, 'a', answer), runs)
    assert broken_promises(checked) == promises


@pytest.mark.parametrize(
    ('path', 'body', 'complete'),
    [
        ('/unsafe/x', WHOLE, True),
        ('/unsafe/x', WHOLE[:3], False),
        ('/once/x', STREAM, True),
        ('/once/x', BEGUN, False),
    ],
)
def test_an_own_answer_breaks_no_promise(path, body, complete):
    """A check that is always red proves nothing either."""
    checked = Soak(None, None, Findings())
    checked.check_answer(Seen(path, 'a', Answer(200, OWN, body, complete)), 1)
    assert broken_promises(checked) == []


@pytest.mark.parametrize(
    ('surplus', 'promises'),
    [
        (b'', []),
        (SURPLUS, ['nothing unasked']),
        (STREAM, ['nothing unasked']),
    ],
)
async def test_bytes_without_a_request_are_found(surplus, promises):
    """Bytes beyond an answer that are read as a part of the next one."""
    checked = Soak(None, None, Findings())
    async with await asyncio.start_server(
        partial(answer_twice, REFUSED, surplus), ENTRY, FRONT
    ):
        connection = WatchedConnection(ENTRY)
        await checked.ask_once(connection, '/safe/x')
        await asyncio.sleep(0.05)
        await checked.ask_once(connection, '/safe/x')
        connection.close()
        await asyncio.sleep(0.05)
    checked.check_answers({})
    assert [one.answer.status for one in checked.seen] == [429, 429]
    assert broken_promises(checked) == promises


async def test_an_unreadable_answer_is_found():
    """Events where the head of an answer is due, taken for no answer."""
    checked = Soak(None, None, Findings())
    async with await asyncio.start_server(
        partial(answer_twice, NO_HEAD, b''), ENTRY, FRONT
    ):
        await checked.ask_apart(ENTRY, '/once/x')
        await asyncio.sleep(0.05)
    assert broken_promises(checked) == ['readable']


async def answer_twice(first, second, reader, writer):
    """Answer each request, and write more a moment later."""
    with suppress(EOFError):
        while True:
            await reader.readuntil(b'hello')
            writer.write(first)
            await asyncio.sleep(0.02)
            writer.write(second)
    writer.close()


async def test_a_platform_that_does_not_recover_is_found(monkeypatch):
    """A run that ends without its other findings, or passes."""
    monkeypatch.setattr('trials.soak.RECOVERY_S', 0.1)
    world = SimpleNamespace(is_serving=serves_nothing, entry_zones=(ENTRY,))
    checked = Soak(world, None, Findings())
    await checked.check_serving('all paths')
    assert broken_promises(checked) == ['serves again']
    assert f'{ENTRY} /safe/x: 0' in checked.findings.broken[0]


async def serves_nothing():
    """Tell that a path is not served."""
    return False


def broken_promises(checked):
    """Return the names of the promises that were broken."""
    return [one.partition(':')[0] for one in checked.findings.broken]
