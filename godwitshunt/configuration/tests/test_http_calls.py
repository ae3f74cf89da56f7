"""Answers to the calls of operators, and to orders."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from godwitshunt.configuration.http_calls import (
    AnswerLost,
    HttpCall,
    call_http,
)
from godwitshunt.settings import Address


def answer(status: int, body: bytes = b'own') -> bytes:
    """Return an answer as it goes over the wire."""
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s'
    return head % (status, len(body), body)


@asynccontextmanager
async def answering(*parts: bytes, reads: bool = True):
    """Yield the address of a server that sends parts, each a little later."""
    made = []

    async def serve(reader, writer):
        made.append(writer)
        if reads:
            await reader.readuntil(b'\r\n\r\n')
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(host=host, port=port), made
    finally:
        server.close()


@pytest.mark.parametrize(
    'parts',
    [
        (answer(200), answer(503, b'late')),
        (answer(200) + answer(503, b'late'),),
    ],
)
async def test_a_second_answer_reaches_no_other_call(parts):
    """An operator would be told what became of another call."""
    async with answering(*parts) as (address, made):
        calls = [call_http(address, HttpCall('GET', '/')) for _ in range(3)]
        answers = [(await call).ok_value for call in calls]
        assert {(told.status, told.body) for told in answers} == {(200, b'own')}
        assert len(made) == 3


@pytest.mark.parametrize('interim', [b'100 Continue', b'102 Processing'])
async def test_an_interim_answer_is_not_the_answer(interim):
    """An order that was carried out would be sent again."""
    part = b'HTTP/1.1 %s\r\n\r\n' % interim
    async with answering(part, answer(200)) as (address, _):
        told = await call_http(address, HttpCall('PUT', '/', b'{}'))
        assert told.ok_value.status == 200


async def test_a_part_of_an_answer_is_none():
    """The server ends within its answer."""
    async with answering(answer(200)[:-1]) as (address, _):
        told = await call_http(address, HttpCall('GET', '/'))
        assert isinstance(told.err_value, AnswerLost)
