"""Requests between regions: notes, loops, revisions, residency, not-run."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

import pytest

from godwitshunt.exchange import attempts, gateway
from godwitshunt.exchange.forwarding import request_digest, sign_note
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.tests import scripts
from godwitshunt.exchange.tests.fakes import (
    KEY,
    MANIFEST,
    InOrder,
    Upstream,
    Vm,
    chat_bytes,
    field_of,
    newer,
    raw,
    request_bytes,
    started_upstream,
    started_vm,
)
from godwitshunt.routing.messages import Forward

PROMPT = 'who covers pharmacy?'
WHOLE_STREAM = b''.join(scripts.events_for(chat_bytes(PROMPT)))


@dataclass
class TwoRegions:
    """VM k1 in kochi, which forwards to z1 and z2 in kozhikode."""

    near: Vm
    far: Vm
    second: Vm
    upstream: Upstream

    def key(self) -> str:
        """Return a key under the near VM's stamp."""
        return f'{self.near.claims.stamp()}.1'

    def page(self) -> bytes:
        """Return a call that may run once."""
        return request_bytes(
            path='/services/pages/duty',
            body=b'{}',
            Idempotency_Key=self.key(),
        )


def forward_to(vm: Vm) -> Forward:
    """Return the decision to forward to a VM."""
    return Forward('kozhikode', vm.exchange.settings.name, vm.address)


async def two_regions(stack: AsyncExitStack, service: str = 'chat'):
    """Start the VMs, and an upstream in kozhikode."""
    upstream = Upstream('zu', scripts.good, service, region='kozhikode')
    await stack.enter_async_context(started_upstream(upstream))
    far = await stack.enter_async_context(started_vm('z1', 'kozhikode'))
    second = await stack.enter_async_context(started_vm('z2', 'kozhikode'))
    near = await stack.enter_async_context(started_vm())
    far.membership.upstreams = (upstream.view,)
    second.membership.upstreams = (upstream.view,)
    near.choose.forwards = (forward_to(far), forward_to(second))
    return TwoRegions(near, far, second, upstream)


async def test_forwarded_answer_tells_who_served():
    """The home region is full; the answer comes from another, and says so."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        reply = await raw(regions.near.address, chat_bytes(PROMPT))
        assert reply.body == scripts.answer_to(chat_bytes(PROMPT))
        assert reply.headers['godwitshunt-region'] == 'kozhikode'
        assert reply.headers['godwitshunt-upstream'] == 'zu'
        assert reply.headers['godwitshunt-entry'] == 'k1'
        streamed = await raw(regions.near.address, chat_bytes(PROMPT, True))
        assert (streamed.whole, streamed.body) == (True, WHOLE_STREAM)


async def leave_without_upstreams(regions: TwoRegions) -> None:
    """Take the far VM's upstreams away."""
    regions.far.membership.upstreams = ()


async def hold_back_revision(regions: TwoRegions) -> None:
    """Give the near VM a newer revision than the far one."""
    configuration = regions.near.configuration
    configuration.revision = newer(configuration.revision)
    regions.second.configuration.revision = configuration.revision


async def drain(regions: TwoRegions) -> None:
    """Let the far VM shut down."""
    regions.far.exchange.drain()


async def choose_second_hop(regions: TwoRegions) -> None:
    """Let the far VM forward once more, back to where it came from."""
    regions.far.membership.upstreams = ()
    regions.far.exchange.parts.ports.choose.forwards = (
        forward_to(regions.near),
    )


async def forbid_region(regions: TwoRegions) -> None:
    """Let the far VM hold a newer revision that forbids its region."""
    configuration = regions.far.configuration
    callers = [
        {**caller, 'residency': 'stay'} for caller in MANIFEST['callers']
    ]
    configuration.revision = newer(configuration.revision, callers=callers)


async def isolate(regions: TwoRegions) -> None:
    """Let the far VM hear nothing of a quorum, and the caller be bound."""
    regions.far.membership.isolated = True
    callers = [
        {**caller, 'residency': 'away'} for caller in MANIFEST['callers']
    ]
    for vm in (regions.near, regions.far, regions.second):
        revision = vm.configuration.revision
        vm.configuration.revision = newer(revision, callers=callers)


REFUSING = [
    leave_without_upstreams,
    hold_back_revision,
    drain,
    choose_second_hop,
    forbid_region,
    isolate,
]


@pytest.mark.parametrize('refuse', REFUSING)
@pytest.mark.parametrize('claimed', [False, True])
async def test_vm_that_refuses_is_passed_over(refuse, claimed):
    """The first VM asked may not or cannot serve, and proves that it did not.

    So even a call that may run once goes to the next VM, and runs once.
    """
    async with AsyncExitStack() as stack:
        service = 'pages' if claimed else 'chat'
        regions = await two_regions(stack, service)
        await refuse(regions)
        sent = regions.page() if claimed else chat_bytes(PROMPT)
        reply = await raw(regions.near.address, sent)
        assert reply.body == scripts.answer_to(
            sent.replace(b'/services/pages', b'')
        )
        assert len(regions.upstream.requests) == 1


@pytest.mark.parametrize('claimed', [False, True])
async def test_not_run_is_passed_on_where_no_vm_serves(claimed):
    """Both VMs prove that nothing ran; the caller may safely ask again."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack, 'pages' if claimed else 'chat')
        regions.far.membership.upstreams = ()
        regions.second.membership.upstreams = ()
        sent = regions.page() if claimed else chat_bytes(PROMPT)
        reply = await raw(regions.near.address, sent)
        assert (reply.kind, reply.outcome) == ('no-upstream', 'not-run')
        regions.second.membership.upstreams = (regions.upstream.view,)
        reply = await raw(regions.near.address, sent)
        assert reply.status == 200
        assert len(regions.upstream.requests) == 1


async def test_unknown_outcome_of_a_claimed_call_stays_unknown():
    """The far upstream breaks; another VM must not page the doctor again."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack, 'pages')
        regions.upstream.script = scripts.short
        reply = await raw(regions.near.address, regions.page())
        assert (reply.kind, reply.outcome) == ('upstream-broken', 'unknown')
        assert len(regions.upstream.requests) == 1


async def test_stream_goes_on_at_another_vm():
    """The far VM dies within an answer; the next one goes on at its place."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        dying = Upstream('z9', scripts.cut_in_event)
        await stack.enter_async_context(started_upstream(dying))
        first = Forward('kozhikode', 'z9', dying.address)
        regions.near.choose.forwards = (first, forward_to(regions.second))
        reply = await raw(regions.near.address, chat_bytes(PROMPT, True))
        assert (reply.whole, reply.body) == (True, WHOLE_STREAM)


@pytest.mark.parametrize('frozen', [False, True])
async def test_frozen_vm_is_passed_over_and_a_slow_one_is_not(
    frozen,
    monkeypatch,
):
    """A VM freezes with a request; its connection stays open and silent.

    A VM that works on a long request tells so, and is waited for.
    """
    monkeypatch.setattr(attempts, 'SILENCE_S', 1.5)
    monkeypatch.setattr(gateway, 'SIGN_OF_LIFE_S', 0.05)

    async def slow(upstream, writer, request):
        await asyncio.sleep(2.0)
        await scripts.good(upstream, writer, request)

    async def silent(upstream, writer, request):
        await asyncio.sleep(0)

    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        regions.upstream.script = slow
        icy = Upstream('z9', silent)
        await stack.enter_async_context(started_upstream(icy))
        if frozen:
            first = Forward('kozhikode', 'z9', icy.address)
            forwards = (first, *regions.near.choose.forwards)
            regions.near.choose.forwards = forwards
        reply = await raw(regions.near.address, chat_bytes(PROMPT))
        assert reply.body == scripts.answer_to(chat_bytes(PROMPT))
        assert len(regions.upstream.requests) == 1
        assert len(icy.requests) == frozen


async def test_residency_is_checked_at_every_dispatch():
    """A manifest takes a region away while a request is being retried."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        configuration = regions.near.configuration
        revision = configuration.revision

        class Narrowing(InOrder):
            def __call__(self, view, request, objective, random):
                callers = [
                    {**caller, 'residency': 'stay'}
                    for caller in MANIFEST['callers']
                ]
                configuration.revision = newer(revision, callers=callers)
                return super().__call__(view, request, objective, random)

        choose = Narrowing(regions.near.choose.forwards)
        parts = regions.near.exchange.parts
        parts.ports = replace(parts.ports, choose=choose)
        regions.far.membership.upstreams = ()
        reply = await raw(regions.near.address, chat_bytes(PROMPT))
        assert (reply.kind, reply.outcome) == ('residency', 'not-run')
        assert not regions.upstream.requests


@pytest.mark.parametrize(
    ('caller', 'isolated', 'kind'),
    [
        ('ward', False, None),
        ('office', False, None),
        ('desk', False, 'residency'),
        ('ward', True, None),
        ('office', True, None),
        ('desk', True, 'isolated'),
    ],
)
async def test_isolated_region_serves_its_own(caller, isolated, kind):
    """A region is cut off; its own callers go on, others' rules are unknown."""
    async with AsyncExitStack() as stack:
        upstream = Upstream('ku', scripts.good)
        await stack.enter_async_context(started_upstream(upstream))
        vm = await stack.enter_async_context(started_vm())
        vm.membership.upstreams = (upstream.view,)
        vm.membership.isolated = isolated
        reply = await raw(vm.address, chat_bytes(PROMPT, caller=caller))
        if kind is None:
            assert reply.status == 200
        else:
            assert (reply.kind, reply.outcome) == (kind, 'not-run')
            assert not upstream.requests


async def test_isolated_vm_forwards_nothing():
    """A cut-off VM may hold an old revision; it sends nobody elsewhere."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        regions.near.membership.isolated = True
        reply = await raw(regions.near.address, chat_bytes(PROMPT))
        assert (reply.kind, reply.outcome) == ('isolated', 'not-run')


BODY = chat_bytes().partition(b'\r\n\r\n')[2]
PATH = '/v1/chat/completions'


def note(**changes) -> ForwardNote:
    """Return a right note to k1, with changed fields."""
    fields = {
        'path': ['z1'],
        'regions': ['kozhikode'],
        'receiver': 'k1',
        'caller': 'ward',
        'request_class': 'urgent',
        'remaining_ms': 9000,
        'revision': 7,
        'request_digest': request_digest('POST', PATH, BODY),
        'claimed': False,
        'resume_offset': 0,
    }
    return ForwardNote(**{**fields, **changes})


@pytest.mark.parametrize(
    ('changes', 'key', 'status', 'kind'),
    [
        ({}, KEY, 200, None),
        ({}, b'other key', 403, 'forbidden'),
        ({'receiver': 'k2'}, KEY, 403, 'forbidden'),
        ({'request_digest': b'0' * 32}, KEY, 403, 'forbidden'),
        ({'path': ['k1']}, KEY, 508, 'loop'),
        ({'path': ['z1', 'k1']}, KEY, 508, 'loop'),
        ({'path': ['z1', 's1']}, KEY, 508, 'loop'),
        ({'revision': 8}, KEY, 503, 'revision-behind'),
        ({'caller': 'nobody'}, KEY, 403, 'residency'),
        ({'caller': 'desk'}, KEY, 403, 'residency'),
        ({'remaining_ms': 0}, KEY, 504, 'deadline'),
    ],
)
async def test_notes_are_checked(changes, key, status, kind):
    """Someone without the cluster key, or a VM with an old view, forwards.

    What must not run here is refused, and the sender learns that it did not.
    """
    async with AsyncExitStack() as stack:
        upstream = Upstream('ku', scripts.good)
        await stack.enter_async_context(started_upstream(upstream))
        vm = await stack.enter_async_context(started_vm())
        vm.membership.upstreams = (upstream.view,)
        signed = sign_note(note(**changes), key).decode()
        sent = request_bytes(
            body=BODY,
            caller=None,
            Godwitshunt_Forward=signed,
        )
        reply = await raw(vm.address, sent)
        assert reply.status == status
        if kind is not None:
            assert (reply.kind, reply.outcome) == (kind, 'not-run')
            assert not upstream.requests


async def test_shutdown_finishes_what_is_in_progress():
    """A VM is told to end while it serves, also a request of another VM.

    Every answer comes whole; new requests are sent elsewhere, not run.
    """
    gate = asyncio.Event()

    async def slow(upstream, writer, request):
        await gate.wait()
        await scripts.good(upstream, writer, request)

    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        regions.upstream.script = slow
        regions.near.choose.forwards = (forward_to(regions.far),)
        asked = [
            asyncio.create_task(raw(vm.address, chat_bytes(PROMPT, stream)))
            for vm in (regions.near, regions.far)
            for stream in (False, True)
        ]
        async with asyncio.timeout(5):
            while len(regions.upstream.requests) < len(asked):
                regions.upstream.arrived.clear()
                await regions.upstream.arrived.wait()
        closing = [
            asyncio.create_task(vm.exchange.close())
            for vm in (regions.near, regions.far)
        ]
        await asyncio.sleep(0)
        refused = await raw(regions.near.address, chat_bytes(PROMPT))
        assert (refused.kind, refused.outcome) == ('draining', 'not-run')
        assert refused.headers['connection'] == 'close'
        assert regions.near.count('requests_while_draining_total 1')
        ready = await raw(regions.near.address, request_bytes('GET', '/readyz'))
        assert json.loads(ready.body)['reason'] == 'draining'
        regions.near.exchange.drain()
        gate.set()
        replies = await asyncio.gather(*asked)
        assert all(reply.whole for reply in replies)
        assert {reply.status for reply in replies} == {200}
        async with asyncio.timeout(5):
            await asyncio.gather(*closing)


async def heads_of_refusal(vm: Vm, *requests: bytes) -> list[bytes]:
    """Return the heads of a VM's answers on one connection."""
    address = vm.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    heads = []
    for request in requests:
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        heads.append(head)
        await reader.readexactly(int(field_of(head, b'content-length')))
    writer.close()
    return heads


async def test_refusals_of_forwarded_requests_repeat_their_ids():
    """Without them the asking VM can attribute a refusal by position only."""
    async with started_vm('z1', 'kozhikode') as vm:
        requests = [
            chat_bytes(Godwitshunt_Forward='e30=', Godwitshunt_Request=name)
            for name in ('r-1', 'r-2')
        ]
        heads = await heads_of_refusal(vm, *requests)
        told = [field_of(head, b'godwitshunt-request') for head in heads]
        assert told == [b'r-1', b'r-2']


async def test_callers_are_told_no_id_of_a_hop():
    """The id of a hop is of no use to callers."""
    async with AsyncExitStack() as stack:
        regions = await two_regions(stack)
        reply = await raw(regions.near.address, chat_bytes(PROMPT))
        assert reply.body == scripts.answer_to(chat_bytes(PROMPT))
        assert 'godwitshunt-request' not in reply.headers


async def refuse_without_id(upstream, writer, request):
    """Stand for an older VM that refuses and repeats no id."""
    body = b'{"type": "urn:godwitshunt:problem:overloaded"}'
    head = b'HTTP/1.1 503 Busy\r\nGodwitshunt-Outcome: not-run\r\n'
    writer.write(b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body))


async def test_older_vm_that_repeats_no_id_is_understood():
    """VMs of two builds serve together while a region is updated."""
    older = Upstream('z9', refuse_without_id, region='kozhikode')
    async with started_upstream(older), started_vm() as near:
        near.choose.forwards = (Forward('kozhikode', 'z9', older.address),)
        for _ in range(2):
            reply = await raw(near.address, chat_bytes(PROMPT))
            assert (reply.status, reply.outcome) == (503, 'not-run')
        assert len(older.requests) == 2
