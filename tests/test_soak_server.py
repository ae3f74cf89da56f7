"""The servers of the soak make each of its faults."""

import asyncio
from contextlib import suppress
from random import Random

import pytest
import pytest_asyncio

from tests.crashing_parts import new_bad_part, render_prompt
from tests.partition_world import Cut
from tests.platform_client import render_request, send
from tests.platform_documents import NETWORK
from tests.soak_server import SoakServer
from tests.stuttering_server import LATEST_S, expected_body

HOST = f'{NETWORK}.91'
CALLER = '127.0.0.1'
ATTEMPT = 'a1'
WAIT_S = 1.0


@pytest_asyncio.fixture
async def server():
    """Return a server that listens."""
    started = SoakServer(HOST, 'llm', 'zone-a')
    started.is_over = True
    await started.start()
    yield started
    started.listener.close()


@pytest.mark.parametrize('path', ['/safe/x', '/resumed/x'])
async def test_it_answers_once_with_the_id_of_the_request(server, path):
    """A server that stutters beside a fault that is over."""
    server.stutter(Random(1))
    server.answer_once()
    answer = await ask(server, path)
    assert answer.body == expected_body(path, ATTEMPT)
    assert answer.fields['attempt-id'] == ATTEMPT
    assert not server.repeated


@pytest.mark.parametrize('is_named', [True, False])
async def test_it_repeats_an_answer_on_the_same_connection(server, is_named):
    """A soak that finds nothing, as no server answers twice."""
    server.stutter(Random(1))
    server.unframed_share = 0.0
    server.repeated_share = 1.0
    server.names_repeated = is_named
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(request(server, '/safe/x'))
    await asyncio.sleep(server.works_s + LATEST_S + 0.1)
    received = await reader.read(4096)
    writer.close()
    assert received.count(b'HTTP/1.1 200') == 2
    assert received.count(b'attempt-id:') == 1 + is_named
    assert received.count(expected_body('/safe/x', ATTEMPT)) == 2


@pytest.mark.parametrize('repeats', [True, False])
async def test_it_ends_an_unframed_answer_with_its_connection(server, repeats):
    """A soak in which all answers have a length or chunks."""
    server.stutter(Random(1))
    server.unframed_share = 1.0
    server.repeated_share = 1.0
    server.repeats_unframed = repeats
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(request(server, '/once/x'))
    async with asyncio.timeout(WAIT_S):
        received = await reader.read()
    writer.close()
    assert b'content-length' not in received.lower()
    assert b'chunked' not in received
    assert received.count(expected_body('/once/x', ATTEMPT)) == 1 + repeats


async def test_it_falls_when_it_rejects_while_strict(server):
    """A stuttering server that is brittle no more."""
    server.state_brittle()
    server.is_strict = True
    async with asyncio.TaskGroup() as tasks:
        for _ in range(20):
            tasks.create_task(ask(server, '/safe/x'))
    assert server.falls == 1


async def test_it_falls_under_a_bad_part(server):
    """A stuttering server that survives what crashes it."""
    prompt = render_prompt('a1', new_bad_part(), 'b1')
    answer = await ask(server, '/safe/x', prefix_hash=prompt)
    assert answer.status == 0
    assert (server.falls, server.bad_arrived) == (1, 1)


@pytest.mark.parametrize('kind', Cut)
async def test_it_answers_no_caller_that_is_cut_off(server, kind):
    """A stuttering server that answers through a cut."""
    server.stutter(Random(1))
    server.cut([CALLER], kind)
    assert not await first_byte(server)
    server.heal()
    assert await first_byte(server)


async def first_byte(server):
    """Return the first byte of an answer; empty where none comes."""
    with suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(request(server, '/safe/x'))
            return await reader.read(1)
    return b''


async def ask(server, path, **fields):
    """Send a request to a server; return its answer."""
    raw = request(server, path, **fields)
    return await send(HOST, server.port, raw, WAIT_S)


def request(server, path, **fields):
    """Return the bytes of a request to a server."""
    return render_request(
        path, ATTEMPT, expect_instance=server.instance, **fields
    )
