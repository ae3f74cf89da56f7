"""Peer links over TCP sockets on the loopback interface."""

import asyncio
import threading
import time
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
    """Yield listening links; close them at exit."""
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


async def test_replies_are_matched_to_their_calls():
    """Replies that arrive out of order complete the right calls."""
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
    """Calls under another key fail as `NotSent`.

    The accepting side counts the refused handshake.
    """
    async with (
        started_links('a', b'one') as first,
        started_links('b', b'two') as second,
    ):
        reply = await first.call(second.options.listen, KIND, b'', 5)
        assert isinstance(reply.err_value, NotSent)
        # The connecting side fails first; the other side counts it later.
        for _ in range(200):
            text = second.metrics.render()
            if text:
                break
            await asyncio.sleep(0.01)
        assert b'peer_handshakes_refused_total' in text


async def test_peer_crash_before_the_reply_is_outcome_unknown():
    """The peer stops after it received a call and before it replies.

    The caller must not treat the call as one that never ran.
    """
    async with started_links('a') as first, started_links('b') as second:
        received = asyncio.Event()

        async def never_reply(sender: str, body: bytes) -> bytes:
            received.set()
            await asyncio.sleep(60)
            return b''

        second.subscribe(KIND, never_reply)
        call = asyncio.create_task(
            first.call(second.options.listen, KIND, b'', 60),
        )
        await received.wait()
        await second.close()
        reply = await call
        assert isinstance(reply.err_value, OutcomeUnknown)


async def test_call_to_unreachable_peer_is_not_sent():
    """No process listens on the address, as after a VM was stopped."""
    async with started_links('a') as first:
        reply = await first.call(free_address(), KIND, b'', 5)
        assert isinstance(reply.err_value, NotSent)


@pytest.mark.parametrize(
    'malformed',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        b'\xff\xff\xff\xff',
        frame(b''),
        frame(b'\xff' * 64),
        b'\x00\x00',
    ],
)
async def test_malformed_frames_close_only_their_own_connection(malformed):
    """A port scanner or a faulty process sends bytes that are not frames.

    Its connection is closed; calls of other peers continue.
    """
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        listen = second.options.listen
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(malformed)
        writer.write_eof()
        async with asyncio.timeout(10):
            await reader.read()
        writer.close()
        reply = await first.call(listen, KIND, b'still here', 5)
        assert reply.ok_value == b'still here'


def make_tls(folder, authority: trustme.CA, name: str) -> TlsSettings:
    """Write a certificate for the loopback address; return its settings."""
    certificate = authority.issue_cert('127.0.0.1')
    settings = TlsSettings(
        certificate=folder / f'{name}.pem',
        key=folder / f'{name}.key',
        authority=folder / f'{name}.ca',
    )
    certificate.cert_chain_pems[0].write_to_path(settings.certificate)
    certificate.private_key_pem.write_to_path(settings.key)
    authority.cert_pem.write_to_path(settings.authority)
    return settings


async def test_tls_requires_a_certificate_of_the_same_authority(tmp_path):
    """A VM with the key and a certificate of another authority is refused.

    VMs with certificates of the deployment's authority exchange messages.
    """
    authority = trustme.CA()
    own = make_tls(tmp_path, authority, 'own')
    other = make_tls(tmp_path, authority, 'other')
    foreign = make_tls(tmp_path, trustme.CA(), 'foreign')
    async with (
        started_links('a', tls=own) as first,
        started_links('b', tls=other) as second,
        started_links('c', tls=foreign) as third,
    ):

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        listen = second.options.listen
        reply = await first.call(listen, KIND, b'known', 5)
        assert reply.ok_value == b'known'
        refused = await third.call(listen, KIND, b'unknown', 5)
        assert isinstance(refused.err_value, NotSent)


async def test_closing_connected_links_reports_no_error():
    """A regular shutdown with connected peers logs no traceback.

    Operators would take it for a fault.
    """
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reported.append(context))
    async with started_links('a') as first, started_links('b') as second:

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        await first.call(second.options.listen, KIND, b'', 5)
        await second.close()
        await asyncio.sleep(0.01)
    assert not reported


async def test_lost_connection_attempt_is_retried(
    monkeypatch,
):
    """The first SYN is lost because the peer's VM is still booting.

    The kernel retransmits it after 1 s, which would delay the link by as
    much; a second attempt must succeed within the call's timeout.
    """
    async with started_links('a') as first, started_links('b') as second:
        lost = []
        connect = asyncio.open_connection

        async def lose_first_attempt(*endpoint, **options):
            if not lost:
                lost.append(endpoint)
                await asyncio.Event().wait()
            return await connect(*endpoint, **options)

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        second.subscribe(KIND, echo)
        monkeypatch.setattr(asyncio, 'open_connection', lose_first_attempt)
        reply = await first.call(second.options.listen, KIND, b'x', 1.0)
        assert reply.ok_value == b'x'
        assert lost


async def test_idle_link_is_closed_and_reopened(monkeypatch):
    """An entry VM queries five control VMs once, and then only one of them.

    If the idle links stayed open, each of hundreds of VMs would ping the
    other four across regions indefinitely.
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


async def test_link_with_a_pending_call_is_not_idle(monkeypatch):
    """The link stays open for a call that outlasts the idle timeout."""
    monkeypatch.setattr('godwitshunt.peer.link.IDLE_AFTER_S', 0.05)
    monkeypatch.setattr('godwitshunt.peer.link.PING_AFTER_S', 0.02)
    async with started_links('a') as first, started_links('b') as second:

        async def reply_late(sender: str, body: bytes) -> bytes:
            await asyncio.sleep(0.3)
            return body

        second.subscribe(KIND, reply_late)
        reply = await first.call(second.options.listen, KIND, b'late', 5)
        assert reply.ok_value == b'late'


async def test_handler_exception_fails_only_its_own_call():
    """A bug in a handler must not break the connection.

    A message that raised in its handler and was retried broke all calls on
    the link, at one process after another.
    """
    async with started_links('a') as first, started_links('b') as second:

        async def handle_body(sender: str, body: bytes) -> bytes:
            if body == b'bad':
                raise KeyError('bug in the handler')
            await asyncio.sleep(0.1)
            return body

        second.subscribe(KIND, handle_body)
        address = second.options.listen
        good, bad = await asyncio.gather(
            first.call(address, KIND, b'good', 2),
            first.call(address, KIND, b'bad', 0.5),
        )
        assert good.ok_value == b'good'
        assert isinstance(bad.err_value, OutcomeUnknown)
        assert b'peer_handlers_failed_total' in second.metrics.render()


@pytest.mark.parametrize('quiet_s', [0.0, 0.3])
async def test_a_connection_that_carries_nothing_is_replaced(
    quiet_s, monkeypatch
):
    """A connection stalls without a reset, in use or after a quiet time.

    All calls on it would time out, one after another, although a new
    connection works.
    """
    monkeypatch.setattr('godwitshunt.peer.link.PING_AFTER_S', 0.05)
    monkeypatch.setattr('godwitshunt.peer.link.UNRESPONSIVE_AFTER_S', 0.2)
    async with started_links('a') as first, started_links('b') as second:
        stalled = False

        async def echo(sender: str, body: bytes) -> bytes | None:
            return None if stalled else body

        second.subscribe(KIND, echo)
        second.subscribe(MessageKind.ping, echo)
        address = second.options.listen
        assert (await first.call(address, KIND, b'one', 5)).ok_value == b'one'
        await asyncio.sleep(quiet_s)
        stalled = True
        reply = await first.call(address, KIND, b'two', 2)
        assert 'unresponsive' in reply.err_value.reason
        stalled = False
        await asyncio.sleep(0.2)
        reply = await first.call(address, KIND, b'three', 2)
        assert reply.ok_value == b'three'


async def test_a_peer_that_answered_everything_is_not_pinged(monkeypatch):
    """An idle entry VM polls a few times a second and is answered each time.

    Pings between polls, and their answers, were most of its messages.
    """
    monkeypatch.setattr('godwitshunt.peer.link.PING_AFTER_S', 0.02)
    async with started_links('a') as first, started_links('b') as second:
        pings = []

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        async def count(sender: str, body: bytes) -> bytes:
            pings.append(body)
            return body

        second.subscribe(KIND, echo)
        second.subscribe(MessageKind.ping, count)
        address = second.options.listen
        for _ in range(3):
            await first.call(address, KIND, b'x', 5)
            await asyncio.sleep(0.1)
        assert not pings
        first.notify(address, KIND, b'x')
        await asyncio.sleep(0.1)
        assert pings


class ThreadedServer:
    """Links in a thread of their own, which answer while others stall."""

    def __init__(self) -> None:
        self.address = None
        self.started = threading.Event()
        self.stopped = None
        self.thread = threading.Thread(target=asyncio.run, args=(self.run(),))

    async def run(self) -> None:
        """Answer each call after 20 ms."""

        async def reply(sender: str, body: bytes) -> bytes:
            await asyncio.sleep(0.02)
            return body

        self.stopped = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        async with started_links('server') as links:
            links.subscribe(KIND, reply)
            self.address = links.options.listen
            self.started.set()
            await self.stopped.wait()

    def __enter__(self):
        self.thread.start()
        assert self.started.wait(5)
        return self

    def __exit__(self, *raised):
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.thread.join()


async def test_reply_that_arrived_while_the_caller_stalled_is_read(
    monkeypatch,
):
    """A process that waits for its interpreter lock blames its peer.

    It gets the lock after it has looked for received bytes, and before it
    looks for timers that are due.
    """
    selector = asyncio.get_running_loop()._selector
    select = selector.select
    stalls = []

    def select_and_stall(timeout_s):
        ready = select(timeout_s)
        if stalls:
            time.sleep(stalls.pop())
        return ready

    monkeypatch.setattr(selector, 'select', select_and_stall)
    with ThreadedServer() as server:
        async with started_links('a') as caller:
            await caller.call(server.address, KIND, b'', 5)
            call = caller.call(server.address, KIND, b'reply', 0.06)
            calling = asyncio.create_task(call)
            await asyncio.sleep(0)
            stalls.append(0.1)
            # The next pass of the loop looks for bytes without waiting.
            await asyncio.sleep(0)
            outcome = await calling
            assert not stalls
            assert outcome.is_ok(), outcome
            assert b'peer_replies_read_late_total' in caller.metrics.render()


async def test_call_fails_in_time_without_a_reply():
    """The passes after the timeout wait for a peer that does not reply."""
    with ThreadedServer() as server:
        async with started_links('a') as caller:
            await caller.call(server.address, KIND, b'', 5)
            outcome = await caller.call(server.address, KIND, b'', 0.005)
            assert isinstance(outcome.err_value, OutcomeUnknown)


async def test_message_is_pushed_over_a_connection_of_the_peer():
    """A peer that only asks cannot be told anything in between."""
    pushed = asyncio.Queue()

    async def reply(sender: str, body: bytes) -> bytes:
        return body

    async def receive(sender: str, body: bytes) -> None:
        await pushed.put((sender, body))

    async with started_links('a') as asker, started_links('b') as server:
        server.subscribe(KIND, reply)
        asker.subscribe(MessageKind.load_report, receive)
        assert not server.push('a', MessageKind.load_report, b'early')
        address = server.options.listen
        await asker.call(address, KIND, b'', 5)
        assert server.push('a', MessageKind.load_report, b'news')
        received = await asyncio.wait_for(pushed.get(), 5)
        assert received == (str(address), b'news')
        after = await asker.call(address, KIND, b'still', 5)
        assert after.ok_value == b'still'
        await asker.links.pop(address).close()
        # The server reads the end of the connection a little later.
        for _ in range(200):
            if not server.push('a', MessageKind.load_report, b'late'):
                break
            await asyncio.sleep(0.01)
        assert not server.push('a', MessageKind.load_report, b'late')


async def test_reply_after_the_timeout_is_passed_on_once():
    """What a peer has reserved for the caller is never returned."""
    late = asyncio.Queue()
    with ThreadedServer() as server:
        async with started_links('a') as caller:
            await caller.call(server.address, KIND, b'', 5)
            outcome = await caller.call(
                server.address, KIND, b'late', 0.005, late.put_nowait
            )
            assert isinstance(outcome.err_value, OutcomeUnknown)
            assert await asyncio.wait_for(late.get(), 5) == b'late'
            assert not caller.link(server.address).late


async def test_reply_to_a_cancelled_call_is_passed_on():
    """A request ends while its process waits for a peer that reserves."""
    late = asyncio.Queue()
    with ThreadedServer() as server:
        async with started_links('a') as caller:
            await caller.call(server.address, KIND, b'', 5)
            call = caller.call(server.address, KIND, b'x', 5, late.put_nowait)
            calling = asyncio.create_task(call)
            await asyncio.sleep(0)
            calling.cancel()
            assert await asyncio.wait_for(late.get(), 5) == b'x'
