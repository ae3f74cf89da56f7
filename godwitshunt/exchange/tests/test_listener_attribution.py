"""Answers on callers' connections belong to the request that waits."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.settings import LimitSettings
from godwitshunt.telemetry import Metrics
from standins.ports import free_address

# Longer than any answer here takes.
QUIET_S = 0.2
LARGE = b'x' * 4_000_000


def request_for(path: str, body: bytes = b'') -> bytes:
    """Return a request as it goes over the wire."""
    return b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s' % (
        path.encode(),
        len(body),
        body,
    )


def answer_to(path: str) -> WholeAnswer:
    """Return the only right answer to a request."""
    return WholeAnswer(200, (), f'answer to {path}'.encode())


@asynccontextmanager
async def connected(handler):
    """Yield a caller's connection to a listener, and the paths it handled."""
    handled = []

    async def handle(request, writer):
        handled.append(request.path)
        await handler(request, writer)

    options = ListenerOptions(free_address(), LimitSettings())
    listener = Listener(options, Metrics(), handle)
    await listener.start()
    address = options.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        yield reader, writer, handled
    finally:
        writer.close()
        async with asyncio.timeout(5):
            await listener.close()


async def read_until_quiet(reader) -> bytes:
    """Return what comes until the end or a pause."""
    parts = []
    while True:
        try:
            async with asyncio.timeout(QUIET_S):
                part = await reader.read(1 << 20)
        except (TimeoutError, ConnectionError):
            break
        if not part:
            break
        parts.append(part)
    return b''.join(parts)


async def fault_after_begin(request, writer):
    """Fail within an answer."""
    await writer.begin(200, ())
    await writer.send(b'a part')
    raise ValueError('a fault within an answer')


async def refuse_after_begin(request, writer):
    """Write a refusal within an answer."""
    await writer.begin(200, ())
    await writer.send(b'a part')
    await writer.whole(WholeAnswer(503, (), b'refused'))


@pytest.mark.parametrize('handler', [fault_after_begin, refuse_after_begin])
async def test_no_refusal_is_written_into_a_begun_answer(handler):
    """The caller would take the refusal for a part of its answer."""
    async with connected(handler) as (reader, writer, handled):
        writer.write(request_for('/1') + request_for('/2'))
        received = await read_until_quiet(reader)
        assert received.count(b'HTTP/1.1 ') == 1
        assert received.endswith(b'a part\r\n')
        assert handled == ['/1']


async def test_a_request_gets_one_answer():
    """A second answer would be taken for the one to the next request."""

    async def answer_twice(request, writer):
        await writer.whole(answer_to(request.path))
        await writer.whole(answer_to('another'))

    async with connected(answer_twice) as (reader, writer, _):
        writer.write(request_for('/1') + request_for('/2'))
        received = await read_until_quiet(reader)
        assert received.count(b'HTTP/1.1 ') == 1
        assert received.endswith(b'answer to /1')


@pytest.mark.parametrize('is_whole', [True, False])
async def test_nothing_is_written_once_a_request_has_ended(is_whole):
    """A task outlives its request; its answer would reach the next one."""
    late = []

    async def answer_late(request, writer):
        await writer.whole(answer_to(request.path))
        if request.path == '/1':
            late.append(asyncio.create_task(write_late(writer)))

    async def write_late(writer):
        await asyncio.sleep(QUIET_S / 4)
        if is_whole:
            await writer.whole(answer_to('late'))
        else:
            await writer.begin(200, ())

    async with connected(answer_late) as (reader, writer, _):
        writer.write(request_for('/1'))
        assert (await read_until_quiet(reader)).endswith(b'answer to /1')
        writer.write(request_for('/2'))
        received = await read_until_quiet(reader)
        assert received.count(b'HTTP/1.1 ') == 1
        assert received.endswith(b'answer to /2')
        with pytest.raises(ConnectionResetError):
            await late[0]


async def test_nothing_follows_an_answer_that_was_broken_off():
    """The caller reads slowly, so the part is sent after the break."""

    async def break_off(request, writer):
        await writer.begin(200, ())
        writer.put(LARGE)
        writer.break_off()
        with pytest.raises(ConnectionResetError):
            await writer.send(b'surplus')
        with pytest.raises(ConnectionResetError):
            await writer.finish()

    async with connected(break_off) as (reader, writer, _):
        writer.write(request_for('/1'))
        received = await read_until_quiet(reader)
        assert len(received) > len(LARGE)
        assert b'surplus' not in received
        assert not received.endswith(b'0\r\n\r\n')


async def test_bad_input_waits_for_the_answer_before_it():
    """A caller sends garbage while its request runs."""

    async def answer_slowly(request, writer):
        await writer.begin(200, ())
        await asyncio.sleep(QUIET_S / 4)
        await writer.send(b'whole')
        await writer.finish()

    async with connected(answer_slowly) as (reader, writer, handled):
        writer.writelines((request_for('/1'), b'GARBAGE\r\n\r\n'))
        received = await read_until_quiet(reader)
        first, _, second = received.partition(b'0\r\n\r\n')
        assert first.endswith(b'whole\r\n')
        assert second.startswith(b'HTTP/1.1 400 ')
        assert handled == ['/1']


async def test_a_caller_that_is_gone_has_nothing_run():
    """A caller sends two requests and closes its side during the first."""

    async def run_to_the_end(request, writer):
        await asyncio.sleep(QUIET_S / 4)
        try:
            await writer.whole(answer_to(request.path))
        except ConnectionError:
            handled_gone.append(request.path)

    handled_gone = []
    async with connected(run_to_the_end) as (_, writer, handled):
        writer.write(request_for('/1') + request_for('/2'))
        writer.write_eof()
        await asyncio.sleep(QUIET_S)
        assert handled in ([], ['/1'])
        assert handled_gone == handled


@pytest.mark.parametrize('line_breaks', [(b'\r\n',), (b'\r', b'\n'), (b'\n',)])
@pytest.mark.parametrize('is_pipelined', [True, False])
async def test_empty_lines_between_requests_get_no_answer(
    line_breaks, is_pipelined
):
    """Some callers send a line break after a body (RFC 9112, section 2.2).

    A refusal of it would be taken for the answer to the next request.
    """

    async def answer(request, writer):
        await writer.whole(answer_to(request.path))

    async with connected(answer) as (reader, writer, _):
        writer.writelines((request_for('/1', b'{}'), *line_breaks))
        if not is_pipelined:
            received = await read_until_quiet(reader)
            assert received.endswith(b'answer to /1')
        writer.write(request_for('/2'))
        received = await read_until_quiet(reader)
        assert received.endswith(b'answer to /2')
        assert received.count(b'HTTP/1.1 200 ') == 1 + is_pipelined
