"""Connections that are kept to upstreams which start again."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.upstream_messages import OutgoingRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'


@asynccontextmanager
async def answering():
    """Yield an upstream's address, and how many connections it got."""
    made = []

    async def serve(reader, writer):
        made.append(writer)
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(ANSWER)
        except (EOFError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield Address(host=host, port=port), made
    for writer in made:
        writer.close()
    server.close()


async def ask(pool, address, origin):
    """Have one request answered."""
    request = OutgoingRequest('GET', '/', (), b'', 'r-1', origin=origin)
    call = (await pool.open(address, request)).ok_value
    await call.send(request)
    await call.head(request)
    assert await call.chunk() == b'hi'
    assert not await call.chunk()
    call.release()


@pytest.mark.parametrize(
    ('second', 'connections'),
    [('i-1~1000', 1), ('i-1~2000', 2)],
)
async def test_a_connection_goes_with_who_answered_on_it(second, connections):
    """An upstream lost power and started again at its address.

    Connections to the start before it look open, and what is sent on them is
    lost.
    """
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        await ask(pool, address, 'i-1~1000')
        await ask(pool, address, second)
        pool.close()
        assert len(made) == connections


async def test_connections_to_who_is_gone_are_closed():
    """Each upstream that leaves would else cost descriptors for good."""
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        for origin in ('i-1', 'i-2', ''):
            await ask(pool, address, origin)
        pool.remove_absent({'i-2'})
        kept = sorted(place.origin for place in pool.idle)
        pool.close()
        assert (len(made), kept) == (3, ['', 'i-2'])
