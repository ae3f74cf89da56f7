"""The stand-ins do what the pages for upstreams say."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.tests.fakes import (
    free_address,
    raw,
    request_bytes,
)
from standins.answers import answer_text, service_answer
from standins.batching import BatchingModel, Job, PrefixCache
from standins.engine import EngineOptions, EngineStandin, StreamedAnswer
from standins.service import ServiceOptions, ServiceStandin

PROMPT = 'user\nwho?\n'


def named() -> dict[str, str]:
    """Return the options that every stand-in needs."""
    return {
        'name': 'u1',
        'region': 'kochi',
        'entries': str(free_address()),
        'listen': str(free_address()),
    }


@asynccontextmanager
async def started(standin):
    """Yield a stand-in that listens, and close it."""
    await standin.start()
    try:
        yield standin.options.address
    finally:
        async with asyncio.timeout(5):
            await standin.close()


def engine(**options) -> EngineStandin:
    """Return a fast engine."""
    fast = {'decode_rate': 2000.0, 'prefill_rate': 1e6}
    return EngineStandin(EngineOptions(**named(), **{**fast, **options}))


def chat(tokens: int = 5, **headers) -> bytes:
    """Return a streaming request to an engine."""
    document = {
        'model': 'review',
        'messages': [{'role': 'user', 'content': 'who?'}],
        'max_tokens': tokens,
        'stream': True,
    }
    body = json.dumps(document).encode()
    return request_bytes(body=body, **headers)


@pytest.mark.parametrize('offset', [0, 2, 5, 6])
async def test_engine_streams_the_prompts_own_answer_from_an_offset(offset):
    """A resumed stream has exactly the events that the caller lacks."""
    async with started(engine()) as address:
        headers = {'Godwitshunt_Resume_Offset': str(offset)} if offset else {}
        reply = await raw(address, chat(**headers))
        answer = StreamedAnswer('review', PROMPT, 5)
        events = answer.between(0, answer.last)
        assert (reply.whole, reply.body) == (True, b''.join(events[offset:]))
        told = reply.headers.get('godwitshunt-resume-offset', '0')
        assert told == str(offset)


async def test_engine_counts_runs_and_frees_the_slot_of_a_gone_caller():
    """A caller hangs up within its stream; its work is dropped and counted."""
    standin = engine(decode_rate=200.0)
    async with started(standin) as address:
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        writer.write(chat(100000, Idempotency_Key='k'))
        async with asyncio.timeout(5):
            await reader.readuntil(b'data: ')
            writer.close()
            await asyncio.wait(tuple(standin.listener.tasks))
        assert standin.runs.cancelled == 1
        assert not standin.model.running
        told = await raw(address, request_bytes('GET', '/standin/runs'))
        document = json.loads(told.body)
        assert document['runs'] == {'k': 1}
        assert document['prompts'] == {PROMPT: 1}
        assert document['region'] == 'kochi'


async def test_engine_streams_a_long_answer_from_its_first_token_on():
    """A caller asks for very many tokens and waits for the first one.

    An engine that renders the whole answer before its first event stands
    still for as long as that takes, and with it every other request.
    """
    standin = engine(decode_rate=200.0)
    async with started(standin) as address:
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        writer.write(chat(20_000_000))
        async with asyncio.timeout(5):
            await reader.readuntil(b'data: ')
        writer.close()


@pytest.mark.parametrize(('fencing', 'statuses'), [(True, 409), (False, 200)])
async def test_engine_checks_fencing_numbers_where_it_honours_them(
    fencing,
    statuses,
):
    """An old order arrives late; only some engines notice."""
    standin = engine(fencing=fencing)
    async with started(standin) as address:
        seen = []
        for number, model in ((7, 'new'), (6, 'old')):
            body = json.dumps({'action': 'load-model', 'subject': model})
            order = request_bytes(
                'PUT',
                f'/v1/orders/{number}',
                body.encode(),
                Godwitshunt_Fencing=str(number),
            )
            seen.append((await raw(address, order)).status)
        assert seen == [200, statuses]
        assert ('old' in standin.models) == (not fencing)


async def test_service_echoes_and_counts_keys():
    """The answer is a function of the call; each run of a key is counted."""
    standin = ServiceStandin(ServiceOptions(**named()))
    async with started(standin) as address:
        call = request_bytes('POST', '/a?b=1', b'{}', Idempotency_Key='k')
        for _ in range(2):
            reply = await raw(address, call)
            assert reply.body == service_answer('POST', '/a?b=1', b'{}', 'u1')
        assert standin.runs.by_key == {'k': 2}


def test_batching_gives_slots_by_priority_and_keeps_to_them():
    """Urgent prompts start before others; cached ones prefill less."""
    model = BatchingModel(2, 1000.0, 10.0, PrefixCache(3))
    jobs = [Job((1, 2), 128, 2, priority) for priority in (0, 0, 5)]
    numbers = [model.submit(job) for job in jobs]
    model.fill_slots(0.0)
    assert model.running == {numbers[2], numbers[0]}
    assert [job.ready_s for job in jobs] == [pytest.approx(0.129), 0, 0.128]
    model.decode(1.0, 2)
    assert jobs[2].finished
    assert model.load() == (0, 1, 128)
    assert model.cache.take_news(9) == ([1, 2], [])


def test_answers_differ_between_prompts():
    """An answer to another prompt is never taken for the right one."""
    assert answer_text('a', 3) != answer_text('b', 3)
