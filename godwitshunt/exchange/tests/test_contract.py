"""The border with upstreams: each fault, for each kind of request.

Every row checks what the caller got against what ran: an answer is the one
for its own prompt, a call with a key ran at most once, and *not-run* is said
only where nothing ran.
"""

import asyncio
import socket
from contextlib import AsyncExitStack

import pytest

from godwitshunt.exchange.liveness import OUTGOING
from godwitshunt.exchange.tests import scripts
from godwitshunt.exchange.tests.fakes import (
    Reply,
    Upstream,
    Vm,
    chat_bytes,
    raw,
    request_bytes,
    started_upstream,
    started_vm,
)
from godwitshunt.exchange.upstream_messages import (
    Place,
)

PROMPT = 'who covers pharmacy?'
WHOLE_STREAM = b''.join(scripts.events_for(chat_bytes(PROMPT)))


async def refused(upstream, writer, request):
    """Stand for an upstream that nothing listens for."""


class Deployment:
    """A VM and two upstreams, of which the first fails."""

    def __init__(self, vm: Vm, first: Upstream, second: Upstream) -> None:
        self.vm = vm
        self.first = first
        self.second = second

    @property
    def ran(self) -> int:
        """Whole requests that reached an upstream."""
        return len(self.first.requests) + len(self.second.requests)

    async def ask(self, sent: bytes) -> Reply:
        """Send a request to the VM."""
        return await raw(self.vm.address, sent)

    def new_key(self) -> str:
        """Return a key under the VM's stamp."""
        return f'{self.vm.claims.stamp()}.1'


async def deploy(
    stack: AsyncExitStack,
    fault,
    service: str = 'chat',
    *,
    reads: bool = True,
) -> Deployment:
    """Start a VM, an upstream with a fault, and one that is well."""
    vm = await stack.enter_async_context(started_vm(answer_bytes=10000))
    first = Upstream('u1', fault, service, read_requests=reads)
    second = Upstream('u2', scripts.good, service)
    if fault is not refused:
        await stack.enter_async_context(started_upstream(first))
    await stack.enter_async_context(started_upstream(second))
    vm.membership.upstreams = (first.view, second.view)
    return Deployment(vm, first, second)


FAULTS = [
    (refused, True),
    (scripts.reset, False),
    (scripts.reset, True),
    (scripts.short, True),
    (scripts.long, True),
    (scripts.unsized, True),
    (scripts.malformed, True),
    (scripts.for_another, True),
    (scripts.huge, True),
]


@pytest.mark.parametrize(('fault', 'reads'), [*FAULTS, (scripts.busy, True)])
async def test_repeatable_request_is_answered_by_another_upstream(fault, reads):
    """An upstream fails a question in some way; the caller notices nothing."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault, reads=reads)
        reply = await deployed.ask(chat_bytes(PROMPT))
        assert reply.body == scripts.answer_to(chat_bytes(PROMPT))
        assert reply.headers['godwitshunt-upstream'] == 'u2'
        assert not +deployed.vm.membership.in_progress


@pytest.mark.parametrize(('fault', 'reads'), FAULTS)
async def test_claimed_call_never_runs_twice(fault, reads):
    """An upstream fails a call that pages a doctor; a second run pages twice.

    Only where no connection came about may another upstream get it. Else the
    caller is told that the outcome is unknown, also when it asks again.
    """
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault, 'pages', reads=reads)
        call = request_bytes(
            path='/services/pages/duty',
            body=b'{}',
            Idempotency_Key=deployed.new_key(),
        )
        replies = [await deployed.ask(call) for _ in range(2)]
        if fault is refused:
            assert {reply.body for reply in replies} == {b'answer to /duty'}
            assert replies[1].headers['godwitshunt-kept'] == 'true'
            assert deployed.ran == 1
        else:
            kinds = [reply.kind for reply in replies]
            assert kinds == ['upstream-broken', 'run-unknown']
            assert {reply.outcome for reply in replies} == {'unknown'}
            assert not deployed.second.requests
            assert deployed.ran <= 1


@pytest.mark.parametrize('fault', [scripts.reset, scripts.short, scripts.long])
async def test_undeclared_post_without_key_is_sent_once(fault):
    """A write that nobody declared breaks; trying again could write twice."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault, 'pages')
        patch = request_bytes('PATCH', '/services/pages/x', b'{}')
        reply = await deployed.ask(patch)
        assert (reply.kind, reply.outcome) == ('upstream-broken', 'unknown')
        assert deployed.ran == 1


@pytest.mark.parametrize('fault', [refused, scripts.reset])
async def test_no_upstream_left(fault):
    """Both upstreams are away; the refusal tells truly whether one ran."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault)
        deployed.vm.membership.upstreams = (deployed.first.view,)
        reply = await deployed.ask(chat_bytes(PROMPT))
        assert reply.status in {502, 503}
        assert (reply.outcome == 'not-run') == (fault is refused)
        assert reply.outcome == 'unknown' or not deployed.ran


BROKEN_STREAMS = [
    scripts.cut_before_events,
    scripts.cut_at_event,
    scripts.cut_in_event,
    scripts.no_marker,
    scripts.bad_chunk,
    scripts.reset,
]


@pytest.mark.parametrize('fault', BROKEN_STREAMS)
async def test_broken_stream_goes_on_where_it_broke(fault):
    """An engine dies while a nurse reads its answer; the text just goes on.

    No word comes twice and none is missing.
    """
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault)
        reply = await deployed.ask(chat_bytes(PROMPT, stream=True))
        assert reply.whole
        assert reply.body == WHOLE_STREAM
        assert deployed.vm.count('answers_total{away="false"} 1')


async def test_broken_stream_without_another_engine_ends_visibly():
    """No engine can go on; a clean end would pass a part for the whole."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.cut_in_event)
        deployed.vm.membership.upstreams = (deployed.first.view,)
        reply = await deployed.ask(chat_bytes(PROMPT, stream=True))
        assert not reply.whole
        assert WHOLE_STREAM.startswith(reply.body)
        assert reply.body.count(b'\n\n') == 2


async def test_engine_that_ignores_the_offset_is_not_believed():
    """The second engine starts anew; its beginning would be read twice."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.cut_at_event)
        deployed.second.script = scripts.ignores_offset
        reply = await deployed.ask(chat_bytes(PROMPT, stream=True))
        assert not reply.whole
        assert WHOLE_STREAM.startswith(reply.body)


@pytest.mark.parametrize('fault', [scripts.doubled, scripts.good])
async def test_surplus_answer_reaches_nobody_else(fault):
    """An upstream sends its answer twice; the next caller must not get it."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, fault)
        deployed.vm.membership.upstreams = (deployed.first.view,)
        for number in range(3):
            prompt = f'question {number}'
            reply = await deployed.ask(chat_bytes(prompt))
            assert reply.body == f'answer to {prompt}'.encode()
            await asyncio.sleep(0.05)
        is_doubled = fault is scripts.doubled
        discarded = deployed.vm.count('connections_discarded_total 1')
        assert discarded == is_doubled
        connects = 3 if is_doubled else 1
        assert deployed.vm.count(f'upstream_connects_total {connects}\n')


@pytest.mark.parametrize('stream', [False, True])
async def test_stalled_upstream_is_given_up_at_the_deadline(stream):
    """An engine hangs; the caller is told at its deadline and not later."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.stalled)
        sent = chat_bytes(PROMPT, stream, Godwitshunt_Deadline_Ms='150')
        reply = await deployed.ask(sent)
        if stream:
            assert not reply.whole
        else:
            assert (reply.kind, reply.outcome) == ('deadline', 'unknown')
        async with asyncio.timeout(5):
            await deployed.first.gone.wait()


@pytest.mark.parametrize('stream', [False, True])
async def test_work_stops_when_the_caller_goes(stream):
    """A caller hangs up; the engine's slot is free for others at once."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.stalled)
        address = deployed.vm.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(chat_bytes(PROMPT, stream))
        async with asyncio.timeout(5):
            await deployed.first.arrived.wait()
            writer.close()
            await deployed.first.gone.wait()
        assert not deployed.second.requests


async def test_claimed_call_goes_on_when_the_caller_goes():
    """A clerk's connection breaks while a certificate is filed.

    The resend gets the answer of the run that went on, and nothing runs again.
    """
    gate = asyncio.Event()

    async def slow(upstream, writer, request):
        await gate.wait()
        await scripts.good(upstream, writer, request)

    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, slow, 'pages')
        call = request_bytes(
            path='/services/pages/duty',
            body=b'{}',
            Idempotency_Key=deployed.new_key(),
        )
        address = deployed.vm.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(call)
        async with asyncio.timeout(5):
            await deployed.first.arrived.wait()
        writer.transport.abort()
        await asyncio.sleep(0.01)
        gate.set()
        reply = await deployed.ask(call)
        assert reply.body == b'answer to /duty'
        assert reply.headers['godwitshunt-kept'] == 'true'
        assert deployed.ran == 1


async def test_upstream_cannot_speak_in_the_gateways_name():
    """An upstream claims that nothing ran, or that another one answered."""

    async def lying(upstream, writer, request):
        writer.write(
            b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n'
            b'Godwitshunt-Outcome: not-run\r\nGodwitshunt-Upstream: u9\r\n\r\n',
        )

    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, lying)
        reply = await deployed.ask(chat_bytes(PROMPT))
        assert (reply.status, reply.outcome) == (500, None)
        assert reply.headers['godwitshunt-upstream'] == 'u1'


async def test_callers_key_and_hop_headers_stay_with_the_gateway():
    """A caller's key in an upstream's log would let others use it."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.good)
        sent = chat_bytes(
            PROMPT, Connection='X-Secret', X_Secret='s', X_Other='o'
        )
        await deployed.ask(sent)
        head = deployed.first.requests[0].lower()
        assert b'authorization' not in head
        assert b'x-secret' not in head
        assert b'x-other: o' in head
        assert b'godwitshunt-priority: 3' in head


async def test_slow_caller_slows_its_engine_only():
    """A caller reads nothing for a while; the VM must not hold its answer.

    Memory would fill with the answers of slow callers until the VM dies.
    """
    taken = 0
    size = 32 * 1024 * 1024

    async def endless(upstream, writer, request):
        nonlocal taken
        writer.write(scripts.stream_head(request)[0])
        while taken < size:
            writer.write(scripts.chunk(b'data: %s\n\n' % (b'a' * 4000)))
            await writer.drain()
            taken += 4000

    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, endless)
        address = deployed.vm.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(chat_bytes(PROMPT, stream=True))
        async with asyncio.timeout(5):
            await deployed.first.arrived.wait()
        deployed.vm.membership.upstreams = (deployed.second.view,)
        other = await deployed.ask(chat_bytes(PROMPT, stream=True))
        assert other.body == WHOLE_STREAM
        held = -1
        while held < taken:
            held = taken
            await asyncio.sleep(0.1)
        assert taken < size
        writer.transport.abort()


async def test_fault_of_ours_ends_one_request_only():
    """A bug is met by one request; the others and the VM go on."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.good)
        deployed.vm.membership.upstreams = None
        reply = await deployed.ask(chat_bytes(PROMPT))
        assert (reply.kind, reply.outcome) == ('internal', 'unknown')
        deployed.vm.membership.upstreams = (deployed.second.view,)
        assert (await deployed.ask(chat_bytes(PROMPT))).status == 200


async def test_connections_are_probed():
    """A VM loses power within a call; no end of its bytes ever comes.

    Probes of the kernel end the connection within seconds.
    """
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.good)
        await deployed.ask(chat_bytes(PROMPT))
        pool = deployed.vm.exchange.parts.pool
        kept = pool.idle[Place(deployed.first.address)][0]
        made = kept.channel.transport.get_extra_info('socket')
        told = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert made.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert told == OUTGOING.unread_s * 1000


async def test_kept_answer_goes_to_its_own_caller_only():
    """Another caller learns a key and sends the same call under it."""
    async with AsyncExitStack() as stack:
        deployed = await deploy(stack, scripts.good, 'pages')
        key = deployed.new_key()
        replies = [
            await deployed.ask(
                request_bytes(
                    path='/services/pages/duty',
                    body=b'{}',
                    caller=caller,
                    Idempotency_Key=key,
                ),
            )
            for caller in ('ward', 'office')
        ]
        assert replies[0].body == b'answer to /duty'
        assert (replies[1].kind, replies[1].outcome) == (
            'key-reused',
            'unknown',
        )
        assert deployed.ran == 1
