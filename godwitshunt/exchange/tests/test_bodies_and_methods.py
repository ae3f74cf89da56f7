"""Answers that end elsewhere than their connection's next request begins."""

import asyncio
import secrets
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.upstream_messages import (
    BrokenAnswerError,
    OutgoingRequest,
)
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

# More than the send and receive buffers of a connection hold.
LONG_BODY = b'x' * 16_000_000
WAIT_S = 0.3


@asynccontextmanager
async def upstream(answer):
    """Yield an upstream's address, and how many connections it got.

    It calls `answer` with each request's head.
    """
    made = []

    async def serve(reader, writer):
        made.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await answer(head, reader, writer)
        except (EOFError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(host=host, port=port), made
    finally:
        for writer in made:
            writer.close()
        server.close()


def own_answer(head: bytes) -> bytes:
    """Return the only right answer to a request."""
    path = head.split(b' ', 2)[1]
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(path),
        path,
    )


async def ask(pool, address, target, method='GET', body=b''):
    """Return status and body of the answer to a request."""
    request_id = secrets.token_hex(8)
    request = OutgoingRequest(method, target, (), body, request_id)
    call = (await pool.open(address, request)).ok_value
    try:
        return await exchange(call, request)
    finally:
        call.abandon()


async def exchange(call, request):
    """Send a request on an open connection and read its answer."""
    await call.send(request)
    head = await call.head(request)
    parts = [await call.chunk()]
    while parts[-1]:
        parts.append(await call.chunk())
    call.release()
    return head.status, b''.join(parts)


async def test_an_early_answer_lets_the_rest_of_the_body_go_first():
    """The upstream rejects a long body, reads it on and takes the next.

    Were the connection used before the whole body was written, the next
    request would be read as a part of it.
    """

    async def reject_and_read_on(head, reader, writer):
        if not head.startswith(b'POST'):
            writer.write(own_answer(head))
            return
        writer.write(b'HTTP/1.1 413 Long\r\nContent-Length: 2\r\n\r\nno')
        await asyncio.sleep(0.05)
        assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY

    async with upstream(reject_and_read_on) as (address, made):
        pool = UpstreamPool(Metrics())
        for number in range(3):
            told = await ask(pool, address, '/long', 'POST', LONG_BODY)
            assert told == (413, b'no')
            own = f'/{number}'
            assert await ask(pool, address, own) == (200, own.encode())
        pool.close()
        assert len(made) == 1


async def test_a_connection_with_an_unread_body_is_not_used_again():
    """The upstream rejects a long body and never reads it."""

    async def reject(head, reader, writer):
        if head.startswith(b'POST'):
            writer.write(b'HTTP/1.1 413 Long\r\nContent-Length: 2\r\n\r\nno')
            await asyncio.sleep(60)
        writer.write(own_answer(head))

    async with upstream(reject) as (address, made):
        pool = UpstreamPool(Metrics())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(WAIT_S):
                await ask(pool, address, '/long', 'POST', LONG_BODY)
        assert await ask(pool, address, '/1') == (200, b'/1')
        pool.close()
        assert len(made) == 2


BODILESS = [
    ('GET', b'HTTP/1.1 204 None\r\n'),
    ('DELETE', b'HTTP/1.1 204 None\r\n'),
    ('GET', b'HTTP/1.1 304 Same\r\n'),
    ('HEAD', b'HTTP/1.1 200 OK\r\n'),
]
FOREIGN = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign'


@pytest.mark.parametrize(('method', 'status_line'), BODILESS)
@pytest.mark.parametrize('delay_s', [0, 0.02])
async def test_a_body_where_none_may_be_reaches_no_other_request(
    method, status_line, delay_s
):
    """Some upstreams send a body with 204, 304 or after HEAD."""

    async def answer_with_body(head, reader, writer):
        if b' /next ' in head:
            writer.write(own_answer(head))
            return
        writer.writelines(
            (status_line, b'Content-Length: %d\r\n\r\n' % len(FOREIGN))
        )
        await writer.drain()
        await asyncio.sleep(delay_s)
        writer.write(FOREIGN)

    async with upstream(answer_with_body) as (address, made):
        pool = UpstreamPool(Metrics())
        for _ in range(3):
            _, body = await ask(pool, address, '/first', method)
            assert not body
            await asyncio.sleep(2 * delay_s)
            assert await ask(pool, address, '/next') == (200, b'/next')
        pool.close()
        assert len(made) > 1


@pytest.mark.parametrize(
    'interim',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 102 Processing\r\nX: y\r\n\r\n',
        b'HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n' * 20,
    ],
)
async def test_interim_answers_are_read_past(interim):
    """An interim answer ends no request."""

    async def answer(head, reader, writer):
        writer.write(interim)
        await asyncio.sleep(0.02)
        writer.write(own_answer(head))

    async with upstream(answer) as (address, made):
        pool = UpstreamPool(Metrics())
        for number in range(3):
            own = f'/{number}'
            assert await ask(pool, address, own) == (200, own.encode())
        pool.close()
        assert len(made) == 1


async def test_a_change_of_protocol_is_no_answer():
    """Nobody asked for it; what follows is not HTTP."""

    async def switch(head, reader, writer):
        writer.write(b'HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\nraw')

    async with upstream(switch) as (address, _):
        pool = UpstreamPool(Metrics())
        with pytest.raises(BrokenAnswerError):
            await ask(pool, address, '/1')
        pool.close()
