"""Attempts at upstreams whose answers are not the request's own."""

import asyncio
from contextlib import asynccontextmanager, closing, suppress
from types import SimpleNamespace

import pytest

from godwitshunt.exchange.upstream_messages import OutgoingRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.attempt import Attempt, ResponseTimeouts
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.outcomes import Answered, Lost, NotRun
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

NAMES = HeaderNames()
WRITER = SimpleNamespace(channel=SimpleNamespace(held=None), begun=False)


def answer(request, status='200 OK', *, framed=True, proof=False):
    """Return an answer; an empty request's id is left out."""
    lines = [f'HTTP/1.1 {status}', 'godwitshunt-signature: s']
    if request:
        lines.append(f'godwitshunt-request: {request}')
    if framed:
        lines.append('content-length: 2')
    if proof:
        lines.append('godwitshunt-not-run: 1')
    return '\r\n'.join([*lines, '', 'hi']).encode()


@asynccontextmanager
async def upstream(*answers):
    """Yield the address of an upstream that gives answers in turn."""
    left = list(answers)

    async def serve(reader, writer):
        with suppress(EOFError, ConnectionError):
            while left:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(left.pop(0))
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    with closing(server), closing(UpstreamPool(Metrics())) as pool:
        yield Address(host=host, port=port), pool


async def attempt(address, pool, request):
    """Return a completed attempt and its outcome."""
    outgoing = OutgoingRequest(
        'GET',
        '/',
        (),
        b'',
        request,
        longest_idle_s=9.0,
        id_header=NAMES.request_id,
        until_close=True,
        repeats_id=True,
        origin='i-1',
    )
    made = Attempt(
        NAMES,
        address,
        outgoing,
        NumberedEvents(),
        ResponseTimeouts(),
        1000,
        lambda: None,
        lambda: None,
        lambda stage: None,
        lambda head: None,
    )
    return made, await made.run(pool, WRITER)


@pytest.mark.parametrize(
    'second',
    [
        answer(''),
        answer('', '503 Full', proof=True),
        answer('', '421 No'),
        answer('r-2', framed=False),
    ],
)
async def test_doubtful_answer_is_lost(second):
    """An answer that proves nothing, taken for a success or a refusal."""
    async with upstream(answer('r-1'), second) as (address, pool):
        _, first = await attempt(address, pool, 'r-1')
        assert isinstance(first, Answered)
        made, outcome = await attempt(address, pool, 'r-2')
        assert isinstance(outcome, Lost)
        assert made.answer_started


async def test_refusal_on_a_new_connection_is_believed():
    """An upstream that repeats no id in refusals, never believed."""
    refusal = answer('', '503 Full', proof=True)
    async with upstream(refusal) as (address, pool):
        _, outcome = await attempt(address, pool, 'r-1')
        assert isinstance(outcome, NotRun)
