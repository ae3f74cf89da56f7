"""Links between processes, over real sockets on free ports."""

import asyncio
from contextlib import asynccontextmanager

import pytest
import trustme

from godwitshunt.peer import (
    MessageKind,
    NotSent,
    OutcomeUnknown,
    PeerLinks,
    PeerOptions,
    client_context,
    server_context,
)
from godwitshunt.peer.frames import frame
from godwitshunt.settings import TlsSettings
from godwitshunt.telemetry import Metrics
from standins.ports import free_address

KIND = MessageKind.vm_heartbeat


@asynccontextmanager
async def started_links(
    name: str,
    key: bytes = b'key',
    tls: TlsSettings | None = None,
):
    """Yield links that listen, and close them."""
    links = PeerLinks.from_config(
        PeerOptions(
            name=name,
            listen=free_address(),
            key=key,
            server_tls=server_context(tls),
            client_tls=client_context(tls),
        ),
        Metrics(),
    )
    await links.start()
    try:
        yield links
    finally:
        await links.close()


async def test_call_gets_its_own_reply():
    """Replies that come in another order reach the right calls."""
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            await asyncio.sleep(0.02 if body == b'slow' else 0)
            return sender.encode() + body

        second.subscribe(KIND, echo)
        address = second.options.listen
        replies = await asyncio.gather(
            first.call(address, KIND, b'slow', 5),
            first.call(address, KIND, b'fast', 5),
        )
        assert [reply.ok_value for reply in replies] == [b'aslow', b'afast']


async def test_wrong_key_is_refused():
    """A process with another key is started by mistake.

    Its calls fail as not sent, and the other side counts the handshake.
    """
    async with (
        started_links('a', b'one') as first,
        started_links('b', b'two') as second,
    ):
        reply = await first.call(second.options.listen, KIND, b'', 5)
        assert isinstance(reply.err_value, NotSent)
        # The side that connects learns of it first, and leaves.
        for _ in range(200):
            text = second.metrics.render()
            if text:
                break
            await asyncio.sleep(0.01)
        assert b'peer_handshakes_refused_total' in text


async def test_peer_that_dies_after_the_call_leaves_the_outcome_unknown():
    """The peer stops between receiving a call and replying.

    The sender must not take the call for one that never ran.
    """
    async with started_links('a') as first, started_links('b') as second:
        received = asyncio.Event()

        async def never(sender: str, body: bytes) -> bytes:
            received.set()
            await asyncio.sleep(60)
            return b''

        second.subscribe(KIND, never)
        call = asyncio.create_task(
            first.call(second.options.listen, KIND, b'', 60),
        )
        await received.wait()
        await second.close()
        reply = await call
        assert isinstance(reply.err_value, OutcomeUnknown)


async def test_unreachable_peer_fails_as_not_sent():
    """Nothing listens at the address, as after a VM was stopped."""
    async with started_links('a') as first:
        reply = await first.call(free_address(), KIND, b'', 5)
        assert isinstance(reply.err_value, NotSent)


@pytest.mark.parametrize(
    'garbage',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        b'\xff\xff\xff\xff',
        frame(b''),
        frame(b'\xff' * 64),
        b'\x00\x00',
    ],
)
async def test_garbage_closes_only_its_own_connection(garbage):
    """A scanner or a broken process sends bytes that are no frames.

    Its connection is closed; calls of real peers go on.
    """
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        listen = second.options.listen
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(garbage)
        writer.write_eof()
        async with asyncio.timeout(10):
            await reader.read()
        writer.close()
        reply = await first.call(listen, KIND, b'still here', 5)
        assert reply.ok_value == b'still here'


def make_tls(folder, authority: trustme.CA, name: str) -> TlsSettings:
    """Write a certificate for the loopback address and return its settings."""
    certificate = authority.issue_cert('127.0.0.1')
    paths = TlsSettings(
        certificate=folder / f'{name}.pem',
        key=folder / f'{name}.key',
        authority=folder / f'{name}.ca',
    )
    certificate.cert_chain_pems[0].write_to_path(paths.certificate)
    certificate.private_key_pem.write_to_path(paths.key)
    authority.cert_pem.write_to_path(paths.authority)
    return paths


async def test_links_over_tls_need_a_certificate_of_the_authority(tmp_path):
    """A VM of another deployment knows the key but has another authority.

    It is refused before any message; VMs with the right authority talk.
    """
    authority = trustme.CA()
    own = make_tls(tmp_path, authority, 'own')
    other = make_tls(tmp_path, authority, 'other')
    strange = make_tls(tmp_path, trustme.CA(), 'strange')
    async with (
        started_links('a', tls=own) as first,
        started_links('b', tls=other) as second,
        started_links('c', tls=strange) as third,
    ):

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        listen = second.options.listen
        reply = await first.call(listen, KIND, b'known', 5)
        assert reply.ok_value == b'known'
        refused = await third.call(listen, KIND, b'unknown', 5)
        assert isinstance(refused.err_value, NotSent)


async def test_closing_links_report_no_fault():
    """A VM is shut down while peers are connected.

    Tracebacks in its log would send an operator after a fault that is none.
    """
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, fault: reported.append(fault))
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        await first.call(second.options.listen, KIND, b'', 5)
        await second.close()
        await asyncio.sleep(0.01)
    assert not reported


async def test_a_peer_that_gets_power_is_reached_by_a_second_attempt(
    monkeypatch,
):
    """The opening packet is lost, since its receiver has no power yet.

    The kernel sends the next one after a second; all that a VM learns through
    the link would come so much later.
    """
    async with started_links('a') as first, started_links('b') as second:
        lost = []
        connect = asyncio.open_connection

        async def open_later(*places, **options):
            if not lost:
                lost.append(places)
                await asyncio.Event().wait()
            return await connect(*places, **options)

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        monkeypatch.setattr(asyncio, 'open_connection', open_later)
        reply = await first.call(second.options.listen, KIND, b'x', 1.0)
        assert reply.ok_value == b'x'
        assert lost


async def test_a_link_that_nothing_uses_is_closed_and_made_again(monkeypatch):
    """An entry VM asks five control VMs once, and then one of them only.

    The links to the others would be pinged for ever, between regions, by each
    of hundreds of VMs.
    """
    monkeypatch.setattr('godwitshunt.peer.link.IDLE_AFTER_S', 0.2)
    monkeypatch.setattr('godwitshunt.peer.link.PING_AFTER_S', 0.05)
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        address = second.options.listen
        assert (await first.call(address, KIND, b'one', 5)).ok_value == b'one'
        assert second.inbound
        for _ in range(100):
            if not second.inbound:
                break
            await asyncio.sleep(0.02)
        assert not second.inbound
        assert (await first.call(address, KIND, b'two', 5)).ok_value == b'two'


async def test_a_link_is_kept_while_a_call_waits(monkeypatch):
    """The peer needs longer for an answer than links may idle."""
    monkeypatch.setattr('godwitshunt.peer.link.IDLE_AFTER_S', 0.05)
    monkeypatch.setattr('godwitshunt.peer.link.PING_AFTER_S', 0.02)
    async with started_links('a') as first, started_links('b') as second:

        async def take_time(sender: str, body: bytes) -> bytes:
            await asyncio.sleep(0.3)
            return body

        second.subscribe(KIND, take_time)
        reply = await first.call(second.options.listen, KIND, b'late', 5)
        assert reply.ok_value == b'late'


async def test_message_that_a_handler_fails_on_ends_no_other_call():
    """A message that its reader has a fault with, sent on and on.

    It took down the link with all calls on it, at one process after another.
    """
    async with started_links('a') as first, started_links('b') as second:

        async def read(sender: str, body: bytes) -> bytes:
            if body == b'bad':
                raise KeyError('a fault of the reader')
            await asyncio.sleep(0.1)
            return body

        second.subscribe(KIND, read)
        address = second.options.listen
        good, bad = await asyncio.gather(
            first.call(address, KIND, b'good', 2),
            first.call(address, KIND, b'bad', 0.5),
        )
        assert good.ok_value == b'good'
        assert isinstance(bad.err_value, OutcomeUnknown)
        assert b'peer_handlers_failed_total' in second.metrics.render()
