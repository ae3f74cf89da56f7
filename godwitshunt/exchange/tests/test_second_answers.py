"""Upstreams of the older entry program that answer a request twice."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

from godwitshunt.exchange.tests import scripts
from godwitshunt.exchange.tests.fakes import (
    Upstream,
    chat_bytes,
    raw,
    started_upstream,
    started_vm,
)


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
