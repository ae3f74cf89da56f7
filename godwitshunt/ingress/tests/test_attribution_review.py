"""Answers of upstreams, as far as callers can receive more than their own."""

import asyncio
from contextlib import asynccontextmanager, closing, suppress
from types import SimpleNamespace
from unittest.mock import Mock

import h11
import pytest

from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_messages import OutgoingRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.attempt import ResponseTimeouts
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.outcomes import Lost, Progress, Streamed
from godwitshunt.ingress.sending import Sender
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

NAMES = SimpleNamespace(
    request_id=b'request', signature=b'signature', not_run=b'not-run'
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nrequest: r-1\r\nsignature: s\r\n'
    b'content-type: text/event-stream\r\n'
)
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
REFUSAL = (
    b'HTTP/1.1 404 No\r\nrequest: r-1\r\nsignature: s\r\n'
    b'content-length: 2\r\n\r\nno'
)


def event(number, content=b'own'):
    """Return one event."""
    return b'id: %d\ndata: %s\n\n' % (number, content)


def chunked(*contents):
    """Return the chunks of a body without the last one."""
    return b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in contents)


class CallerChannel:
    """A caller's connection that keeps what is written."""

    def __init__(self):
        self.written = b''
        self.ended = False
        self.write_paused = False
        self.held = None
        self.on_writable = None

    def write(self, chunk):
        """Keep a part of the answer."""
        self.written += chunk

    async def drain(self):
        """Wait for nothing."""


def caller_writer():
    """Return the writer of an answer whose request was read."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    while connection.their_state is not h11.DONE:
        connection.next_event()
    return AnswerWriter(connection, CallerChannel())


def caller_body(writer):
    """Return the body that a caller has received."""
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method='GET', target='/', headers=[('host', 'x')])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    connection.receive_data(writer.channel.written)
    body = b''
    received = connection.next_event()
    while isinstance(received, (h11.Response, h11.Data)):
        if isinstance(received, h11.Data):
            body += received.data
        received = connection.next_event()
    return body


class OneRequest(Sender):
    """The attempts of one request at given upstreams."""

    def __init__(self):
        limits = SimpleNamespace(answer_bytes=10_000)
        self.context = Mock(
            names=NAMES, settings=SimpleNamespace(limits=limits)
        )
        self.progress = Progress(repeatable=True, attempts=4)
        self.events = NumberedEvents()
        self.trace = Mock()
        self.request = Mock()
        self.watched = None
        self.prompt_reader = None
        self.writer = caller_writer()
        self.pool = UpstreamPool(Metrics())

    async def attempt(self, address):
        """Return the outcome of an attempt at an address."""
        outgoing = OutgoingRequest(
            'GET',
            '/',
            (),
            b'',
            'r-1',
            id_header=NAMES.request_id,
            until_close=True,
            repeats_id=True,
            origin='i-1',
        )
        made = self.make_attempt(
            address,
            outgoing,
            ResponseTimeouts(),
            Mock(),
            on_head=Mock(),
        )
        return await made.run(self.pool, self.writer)


@asynccontextmanager
async def upstream(sent):
    """Yield the address of an upstream that sends bytes and closes."""

    async def serve(reader, writer):
        with suppress(EOFError, ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(sent)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    with closing(server):
        yield Address(host=host, port=port)


async def outcomes_of(request, *answers):
    """Return the outcomes of attempts at upstreams that answer so."""
    outcomes = []
    with closing(request.pool):
        for sent in answers:
            async with upstream(sent) as address:
                outcomes.append(await request.attempt(address))
    return outcomes


@pytest.mark.parametrize('framing', [CHUNKED, b'\r\n'])
async def test_start_of_an_event_is_no_part_of_the_next_attempt(framing):
    """An event that begins with a part of one by another upstream."""
    first = b'id: 1\ndata: lost'
    if framing == CHUNKED:
        first = chunked(first)
    second = chunked(event(1), event(2))
    request = OneRequest()
    seen = await outcomes_of(
        request,
        b''.join((STREAM_HEAD, framing, first)),
        b''.join((STREAM_HEAD, CHUNKED, second, LAST_CHUNK)),
    )
    assert [type(one) for one in seen] == [Lost, Streamed]
    await request.writer.finish()
    assert caller_body(request.writer) == b''.join((event(1), event(2)))


async def test_failure_does_not_follow_the_events_of_a_stream():
    """An answer counted as delivered although its caller saw a break."""
    begun = chunked(event(1), b'id: 2\nda')
    seen = await outcomes_of(
        OneRequest(), b''.join((STREAM_HEAD, CHUNKED, begun)), REFUSAL
    )
    assert [type(one) for one in seen] == [Lost, Lost]
