"""Upstreams of the older entry program that answer a request twice."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from godwitshunt.exchange.tests import scripts
from godwitshunt.exchange.tests.fakes import (
    Upstream,
    chat_bytes,
    raw,
    request_bytes,
    started_upstream,
    started_vm,
)

# Time between a late second answer and the answer that is due.
ANSWER_S = 0.03
PIECE_S = 0.001


def without_id(answer: bytes) -> bytes:
    """Return an answer that names no request."""
    return b'\r\n'.join(
        line
        for line in answer.split(b'\r\n')
        if not line.startswith(b'Godwitshunt-Request')
    )


@dataclass
class Stuttering:
    """Script of an upstream that repeats an answer where the next is due.

    Parameters
    ----------
    repeats_ids, repeats_ids_late : bool
        Whether its answers repeat ids, and whether the second ones do.
    """

    repeats_ids: bool
    repeats_ids_late: bool
    former: dict = field(default_factory=dict)

    async def __call__(self, upstream, writer, request):
        """Send the second answer to the request before, then the first."""
        writer.write(self.former.get(writer, b''))
        await writer.drain()
        await asyncio.sleep(ANSWER_S)
        named = scripts.whole(request)
        unnamed = without_id(named)
        writer.write(named if self.repeats_ids else unnamed)
        self.former[writer] = named if self.repeats_ids_late else unnamed


@asynccontextmanager
async def deployed(script, service='chat'):
    """Yield a VM with an upstream that stutters and one that does not."""
    async with AsyncExitStack() as stack:
        vm = await stack.enter_async_context(started_vm())
        first = Upstream('u1', script, service)
        second = Upstream('u2', scripts.good, service)
        for upstream in (first, second):
            await stack.enter_async_context(started_upstream(upstream))
        vm.membership.upstreams = (first.view, second.view)
        yield vm


STUTTERING = [(True, True), (True, False), (False, False)]


@pytest.mark.parametrize('ids', STUTTERING)
async def test_callers_get_no_second_answer_of_another_request(ids):
    """A second answer comes where the answer to the next request is due."""
    async with deployed(Stuttering(*ids)) as vm:
        for number in range(6):
            prompt = f'question {number}'
            reply = await raw(vm.address, chat_bytes(prompt))
            assert reply.body == f'answer to {prompt}'.encode()


@pytest.mark.parametrize('ids', STUTTERING)
async def test_no_second_answer_is_taken_for_a_call_that_runs_once(ids):
    """A call without a key that is not declared as safe is sent once."""
    async with deployed(Stuttering(*ids), 'pages') as vm:
        for number in range(4):
            path = f'/services/pages/{number}'
            reply = await raw(vm.address, request_bytes('PUT', path))
            assert reply.body == f'answer to /{number}'.encode()


@pytest.mark.parametrize(
    ('repeats_ids', 'connections'), [(True, 1), (False, 5)]
)
async def test_connections_are_kept_where_answers_repeat_ids(
    repeats_ids, connections
):
    """Each request would else cost a connection."""

    async def answer(upstream, writer, request):
        answer = scripts.whole(request)
        writer.write(answer if repeats_ids else without_id(answer))

    async with deployed(answer) as vm:
        for _ in range(5):
            await raw(vm.address, chat_bytes('who?'))
        assert vm.count(f'upstream_connects_total {connections}')


async def test_surplus_after_an_answer_without_an_id_is_noticed():
    """What came may be a part of a longer answer."""
    async with deployed(scripts.long) as vm:
        reply = await raw(vm.address, chat_bytes('who?'))
        assert reply.body == b'answer to who?'


async def sized_stream(upstream, writer, request):
    """Stream with a length, and another answer within the stream."""
    content = b''.join(scripts.events_for(request))
    head = scripts.STREAM_HEAD.replace(
        b'Transfer-Encoding: chunked', b'Content-Length: %d' % len(content)
    )
    cut = content.index(b'\n\n') + 2
    writer.writelines((head, b'\r\n', content[:cut]))
    writer.write(b'HTTP/1.1 200 OK\r\n\r\ndata: foreign\n\n')
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(content[cut:])


async def test_a_stream_that_is_not_chunked_is_not_passed_on():
    """Another answer within it is taken for events.

    They are counted as delivered, so the stream that is resumed elsewhere
    ends cleanly although its caller has foreign events and lacks own ones.
    """
    async with deployed(sized_stream) as vm:
        reply = await raw(vm.address, chat_bytes('who?', stream=True))
        assert b'foreign' not in reply.body
        assert reply.body == b''.join(scripts.events_for(chat_bytes('who?')))


LONG_PROMPT = '.' * 400
FOREIGN_STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
    b'10\r\ndata: foreign\n\n\r\n0\r\n\r\n'
)


async def second_answer_within_a_chunk(upstream, writer, request):
    """Stream in one chunk, written in two parts, with an answer between."""
    content = b''.join(scripts.events_for(request))
    cut = content.index(b'\n\n') + 2
    head = scripts.stream_head(request)[0]
    writer.writelines((head, b'%x\r\n' % len(content), content[:cut]))
    writer.write(FOREIGN_STREAM)
    await writer.drain()
    await asyncio.sleep(ANSWER_S)
    writer.writelines((content[cut:], b'\r\n0\r\n\r\n'))


async def test_no_event_of_another_answer_within_a_chunk_is_passed_on():
    """The upstream writes a chunk in parts, and another answer between them.

    The chunk's length then ends elsewhere, but events came before.
    """
    async with deployed(second_answer_within_a_chunk) as vm:
        reply = await raw(vm.address, chat_bytes(LONG_PROMPT, stream=True))
        whole = scripts.events_for(chat_bytes(LONG_PROMPT))
        assert reply.body == b''.join(whole)


@dataclass
class SecondAnswerWithinBody:
    """Script of an upstream that repeats an answer within the next one."""

    former: dict = field(default_factory=dict)

    async def __call__(self, upstream, writer, request):
        """Write head, second answer to the request before, then the body."""
        own = scripts.whole(request)
        cut = own.index(b'\r\n\r\n') + 4
        writer.write(own[:cut])
        writer.write(self.former.get(writer, b''))
        for byte in own[cut:]:
            await writer.drain()
            await asyncio.sleep(PIECE_S)
            writer.write(bytes((byte,)))
        self.former[writer] = own


async def test_no_answer_within_another_ones_body_is_passed_on():
    """The body's length then ends within the other answer."""
    async with deployed(SecondAnswerWithinBody()) as vm:
        for number in range(4):
            prompt = f'question {number}'
            if number % 2:
                prompt = f'{prompt} {LONG_PROMPT}'
            reply = await raw(vm.address, chat_bytes(prompt))
            assert reply.body == f'answer to {prompt}'.encode()
