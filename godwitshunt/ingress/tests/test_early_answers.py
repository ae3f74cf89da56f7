"""Upstreams that answer before they have read a long body."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.outcomes import Answered, Lost
from godwitshunt.ingress.tests.test_mixed_answers import (
    LONG_BODY,
    SEAL,
    answer,
    attempt,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

LIMIT_S = 10.0
STALLED_S = 0.8
REJECTION = answer(b'r-1', status=413)
SUCCESS = answer(b'r-1', fields=SEAL)
PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'


@asynccontextmanager
async def upstream(early, stalled_s, late, *, reads=True):
    """Yield the address of a server, and the lengths of bodies that it read."""
    lengths = asyncio.Queue()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(early)
        await asyncio.sleep(stalled_s)
        if reads:
            with suppress(asyncio.IncompleteReadError):
                body = await reader.readexactly(len(LONG_BODY))
                lengths.put_nowait(len(body))
            writer.write(late)
            await reader.read()
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(host=host, port=port), lengths
    finally:
        server.close()


async def send(address):
    """Return the outcome of a request with a long body."""
    pool = UpstreamPool(Metrics())
    try:
        async with asyncio.timeout(LIMIT_S):
            return await attempt(pool, address, 'r-1', 'POST', LONG_BODY)
    finally:
        pool.close()


@pytest.mark.parametrize('reads', [False, True])
async def test_a_rejection_is_read_from_an_upstream_that_stalls(reads):
    """The caller waited for its deadline, or heard of a broken connection."""
    async with upstream(REJECTION, STALLED_S, b'', reads=reads) as (address, _):
        outcome = await send(address)
        assert isinstance(outcome, Answered)
        assert outcome.answer.status == 413


async def test_a_sign_of_life_ends_no_body():
    """A stalled upstream that works on the request got a part of its body."""
    async with upstream(PROCESSING, STALLED_S, SUCCESS) as (address, lengths):
        outcome = await send(address)
        assert isinstance(outcome, Answered)
        assert lengths.get_nowait() == len(LONG_BODY)


async def test_an_early_answer_ends_no_body_that_is_read_on():
    """An upstream that answers and reads on got a part of the body."""
    async with upstream(REJECTION, 0.0, b'') as (address, lengths):
        assert isinstance(await send(address), Answered)
        async with asyncio.timeout(LIMIT_S):
            assert await lengths.get() == len(LONG_BODY)


async def test_an_upstream_that_goes_without_an_answer_is_lost():
    """A broken connection, taken for an early answer."""
    async with upstream(b'', 0.0, b'', reads=False) as (address, _):
        assert isinstance(await send(address), Lost)
