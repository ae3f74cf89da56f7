"""Answers of upstreams on connections that several requests use."""

import asyncio
from contextlib import asynccontextmanager, closing, suppress

import pytest

from godwitshunt.exchange.attribution import StrayBytesError, StrayKind
from godwitshunt.exchange.upstream_messages import (
    BrokenAnswerError,
    OutgoingRequest,
)
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

ID = b'request'
SIGNATURE = b'signature'
NAMES = (ID, SIGNATURE)
LATE_S = 0.05


def answer(request='', body=b'hi', *, framed=True):
    """Return an answer that repeats an id, if there is one."""
    lines = [b'HTTP/1.1 200 OK', b'signature: s']
    if request:
        lines.append(b'request: %s' % request.encode())
    if framed:
        lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


def join(*parts):
    """Return bytes that are sent one after the other."""
    return b''.join(parts)


class Upstream:
    """An upstream that sends given bytes for each request in turn.

    Parameters
    ----------
    answers : list of bytes
        What it sends for each request; it closes the connection after an
        answer without a length.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.connections = []
        self.address = None

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections.append(writer)
        with suppress(EOFError, ConnectionError):
            await self.answer(reader, writer)
        writer.close()

    async def answer(self, reader, writer):
        """Answer requests until an answer ends with its connection."""
        while self.answers:
            await reader.readuntil(b'\r\n\r\n')
            sent = self.answers.pop(0)
            writer.write(sent)
            if b'content-length' not in sent:
                return

    def close(self):
        """Close all connections."""
        for writer in self.connections:
            writer.close()


@asynccontextmanager
async def running(*answers):
    """Yield an upstream and a pool."""
    upstream = Upstream(answers)
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    upstream.address = Address(host=host, port=port)
    pool = UpstreamPool(Metrics())
    with closing(server), closing(upstream), closing(pool):
        yield upstream, pool


def outgoing(request, method='GET'):
    """Return a request to an upstream that repeats ids."""
    return OutgoingRequest(
        method,
        '/',
        (),
        b'',
        request,
        longest_idle_s=9.0,
        id_header=ID,
        until_close=True,
        repeats_id=True,
        origin='i-1',
    )


async def ask(upstream, pool, request, method='GET'):
    """Return the whole body of the answer to a request."""
    sent = outgoing(request, method)
    call = (await pool.open(upstream.address, sent)).ok_value
    try:
        return await receive(call, sent)
    finally:
        call.abandon()


async def receive(call, sent):
    """Send a request and return the whole body of its answer."""
    await call.send(sent)
    await call.head(sent)
    body = b''
    chunk = await call.chunk()
    while chunk:
        body += chunk
        chunk = await call.chunk()
    call.release()
    call.check_body(body, NAMES)
    return body


def strays(pool, kind):
    """Return how many stray bytes of a kind a pool has counted."""
    key = ('upstream_stray_bytes_total', (('kind', kind.value),))
    return pool.metrics.increases.get(key, 0)


CHUNKS = b'transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n'


async def test_answer_within_chunks_is_found():
    """An upstream that stutters within a stream, and is sent more requests."""
    head = b'HTTP/1.1 200 OK\r\nrequest: r-2\r\n'
    second = join(head, CHUNKS, answer('r-1'), b'0\r\n\r\n')
    async with running(answer('r-1'), second) as (up, pool):
        await ask(up, pool, 'r-1')
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-2')
        assert strays(pool, StrayKind.malformed) == 1


async def test_several_answers_to_others_are_read_past():
    """A request lost as two late answers came before its own."""
    late = answer('r-0', b'late') * 2
    async with running(answer('r-1'), join(late, answer('r-2'))) as (up, pool):
        await ask(up, pool, 'r-1')
        assert await ask(up, pool, 'r-2') == b'hi'
        assert strays(pool, StrayKind.skipped) == 2


async def test_answer_after_a_head_request_is_not_read_past():
    """The body of a GET's answer taken for none, as that of a HEAD's."""
    first = b'HTTP/1.1 200 OK\r\nrequest: r-1\r\ncontent-length: 2\r\n\r\n'
    late = answer('r-0', b'late')
    async with running(first, join(late, answer('r-2'))) as (up, pool):
        assert not await ask(up, pool, 'r-1', 'HEAD')
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-2')
        assert strays(pool, StrayKind.foreign) == 1


@pytest.mark.parametrize(
    ('second', 'kind'),
    [
        (answer(''), StrayKind.unnamed),
        (answer('r-2', framed=False), StrayKind.unframed),
        (
            answer('r-2', body=join(b'h', answer('r-1'), b'i')),
            StrayKind.embedded,
        ),
        (join(answer('r-2'), b'rest'), StrayKind.surplus),
    ],
)
async def test_answer_that_may_hold_another_one_is_broken(second, kind):
    """A late answer taken for the next request's, or for a part of it."""
    async with running(answer('r-1'), second) as (up, pool):
        await ask(up, pool, 'r-1')
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-2')
        assert strays(pool, kind) == 1


@pytest.mark.parametrize(
    ('first', 'body'),
    [
        (answer(''), b'hi'),
        (answer('r-1', framed=False), b'hi'),
        (join(answer('r-1'), b'rest'), b'hi'),
        (answer('r-1') * 2, b'hi'),
        (answer('r-1', body=answer('')[:20]), answer('')[:20]),
    ],
)
async def test_first_answer_on_a_connection_is_its_requests(first, body):
    """Answers refused although nothing else can be in them."""
    async with running(first) as (up, pool):
        assert await ask(up, pool, 'r-1') == body


async def test_unframed_answer_that_repeats_itself_is_broken():
    """An answer without a length delivered with its repetition."""
    twice = answer('r-1', framed=False) * 2
    async with running(twice) as (up, pool):
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-1')
        assert strays(pool, StrayKind.embedded) == 1


@pytest.mark.parametrize(
    'first',
    [
        answer('r-1') * 2,
        answer('r-1', framed=False),
    ],
)
async def test_connections_are_used_once_after_doubtful_answers(first):
    """A late answer that meets another request on its connection."""
    async with running(first, *map(answer, ('r-2', 'r-3'))) as (up, pool):
        for request in ('r-1', 'r-2', 'r-3'):
            await ask(up, pool, request)
        assert len(up.connections) == 3


async def test_connections_are_kept_again_after_a_while(monkeypatch):
    """New connections for good after one late answer."""
    monkeypatch.setattr(UpstreamPool.use_once, '__defaults__', (0.1,))
    answers = [answer(f'r-{one}') for one in (1, 2, 3)]
    answers[0] *= 2
    async with running(*answers) as (up, pool):
        await ask(up, pool, 'r-1')
        await asyncio.sleep(0.15)
        await ask(up, pool, 'r-2')
        await ask(up, pool, 'r-3')
        assert len(up.connections) == 2


async def test_rare_answers_without_a_length_are_not_lost(monkeypatch):
    """One of them refused after each end of single use."""
    monkeypatch.setattr(UpstreamPool.use_once, '__defaults__', (0.1,))
    unframed = answer('r-1', framed=False)
    answers = (unframed, answer('r-2'), answer('r-3', framed=False))
    async with running(*answers) as (up, pool):
        await ask(up, pool, 'r-1')
        await asyncio.sleep(0.15)
        await ask(up, pool, 'r-2')
        assert await ask(up, pool, 'r-3') == b'hi'


async def test_bytes_on_an_idle_connection_end_it():
    """A late answer that waits on an idle connection for its next request."""
    async with running(answer('r-1'), answer('r-2')) as (up, pool):
        await ask(up, pool, 'r-1')
        up.connections[0].write(answer('r-1', b'late'))
        await asyncio.sleep(LATE_S)
        assert not any(pool.idle.values())
        assert strays(pool, StrayKind.idle) == 1
        assert await ask(up, pool, 'r-2') == b'hi'
        assert len(up.connections) == 2


async def test_request_is_not_sent_twice_on_one_connection():
    """A late answer to the first attempt taken for that to the second."""
    async with running(answer('r-1'), answer('r-1', b'ho')) as (up, pool):
        await ask(up, pool, 'r-1')
        assert await ask(up, pool, 'r-1') == b'ho'
        assert len(up.connections) == 2


async def test_shared_connections_cost_no_new_ones_in_calm():
    """A new connection for each request although no upstream stutters."""
    names = [f'r-{one}' for one in range(20)]
    async with running(*map(answer, names)) as (up, pool):
        for request in names:
            await ask(up, pool, request)
        assert len(up.connections) == 1


async def test_foreign_answer_without_an_end_is_broken():
    """An unframed answer to another request, read past to the close."""
    late = answer('r-0', framed=False)
    async with running(answer('r-1'), late) as (up, pool):
        await ask(up, pool, 'r-1')
        with pytest.raises(BrokenAnswerError):
            await ask(up, pool, 'r-2')
