"""Connections that are kept to upstreams which start again."""

import asyncio
import itertools
import socket
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.liveness import INCOMING, acknowledged_s
from godwitshunt.exchange.upstream_messages import OutgoingRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.settings import Address, LimitSettings
from godwitshunt.telemetry import Metrics
from standins.ports import free_address

request_numbers = itertools.count(1)
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'


@asynccontextmanager
async def answering(idle_s=None):
    """Yield an upstream's address, and how many connections it got.

    It closes connections that were idle for `idle_s` after an answer.
    """
    made = []

    async def serve(reader, writer):
        made.append(writer)
        try:
            while True:
                async with asyncio.timeout(idle_s):
                    await reader.readuntil(b'\r\n\r\n')
                writer.write(ANSWER)
        except (EOFError, ConnectionError, TimeoutError):
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield Address(host=host, port=port), made
    for writer in made:
        writer.close()
    server.close()


async def ask(pool, address, origin, **limits):
    """Have one request answered."""
    request = OutgoingRequest(
        'GET',
        '/',
        (),
        b'',
        f'r-{next(request_numbers)}',
        origin=origin,
        **limits,
    )
    call = (await pool.open(address, request)).ok_value
    await call.send(request)
    await call.head(request)
    assert await call.chunk() == b'hi'
    assert not await call.chunk()
    call.release()


@pytest.mark.parametrize(
    ('second', 'connections'),
    [('i-1~1000', 1), ('i-1~2000', 2)],
)
async def test_a_connection_goes_with_who_answered_on_it(second, connections):
    """An upstream lost power and started again at its address.

    Connections to the start before it look open, and what is sent on them is
    lost.
    """
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        await ask(pool, address, 'i-1~1000')
        await ask(pool, address, second)
        pool.close()
        assert len(made) == connections


async def test_connections_to_who_is_gone_are_closed():
    """Each upstream that leaves would else cost descriptors for good."""
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        for origin in ('i-1', 'i-2', ''):
            await ask(pool, address, origin)
        pool.remove_absent({'i-2'})
        kept = sorted(place.origin for place in pool.idle)
        pool.close()
        assert (len(made), kept) == (3, ['', 'i-2'])


UNREPEATABLE = {'longest_idle_s': 0.0, 'longest_live_idle_s': 9.0}


def forget_answers(pool):
    """Let the pool's last answers be long ago."""
    pool.heard_s = dict.fromkeys(pool.heard_s, 0.0)


async def test_a_probed_connection_is_used_for_a_request_that_runs_once():
    """A VM with many upstreams sends to each of them each few seconds.

    Without the kernel's probes it would open a connection each time.
    """
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        await ask(pool, address, 'i-1', **UNREPEATABLE)
        await asyncio.sleep(2.4)
        forget_answers(pool)
        await ask(pool, address, 'i-1', **UNREPEATABLE)
        pool.close()
        assert len(made) == 1


@pytest.mark.parametrize('told_s', [None, 1.5])
async def test_a_connection_of_a_silent_machine_is_not_used(
    told_s, monkeypatch
):
    """The upstream's machine lost power, and no probe is answered.

    A request sent on the kept connection would be lost, and nobody would know
    whether it ran. The connection stays for requests that may be repeated.
    """
    target = 'godwitshunt.exchange.upstream_connection.acknowledged_s'
    monkeypatch.setattr(target, lambda _: told_s)
    async with answering() as (address, made):
        pool = UpstreamPool(Metrics())
        await ask(pool, address, 'i-1', **UNREPEATABLE)
        forget_answers(pool)
        await ask(pool, address, 'i-1', **UNREPEATABLE)
        assert len(made) == 2
        forget_answers(pool)
        await ask(pool, address, 'i-1')
        pool.close()
        assert len(made) == 2


async def test_an_unanswered_probe_tells_no_time():
    """The last acknowledgement is recent, but a later probe has no answer."""

    class Probed:
        """A connection with one unanswered probe."""

        family = socket.AF_INET

        def getsockopt(self, *_):
            return bytes((1, 0, 0, 1)) + bytes(100)

    assert acknowledged_s(Probed()) is None


async def test_an_upstreams_idle_time_out_is_learned():
    """An upstream that tells no time-out closes connections after one.

    A request that crosses the close is reset, and nobody knows whether it ran.
    """
    async with answering(idle_s=0.6) as (address, made):
        pool = UpstreamPool(Metrics())
        await ask(pool, address, 'i-1')
        await asyncio.sleep(0.8)
        assert not pool.idle[next(iter(pool.idle))]
        await ask(pool, address, 'i-1')
        await asyncio.sleep(0.3)
        await ask(pool, address, 'i-1')
        pool.close()
        assert len(made) == 3


async def test_callers_connections_are_probed():
    """A caller's machine loses power, and its connection stays open for good.

    The options are set on the listening socket, which passes them on.
    """
    options = ListenerOptions(free_address(), LimitSettings())
    found = {}

    def accept(channel):
        made = channel.transport.get_extra_info('socket')
        for level, option in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        ):
            found[option] = made.getsockopt(level, option)

    listener = Listener(options, Metrics(), None)
    listener.accept = accept
    await listener.start()
    host, port = listener.server.sockets[0].getsockname()
    _, writer = await asyncio.open_connection(host, port)
    await asyncio.sleep(0.05)
    writer.close()
    listener.server.close()
    assert found == {
        socket.SO_KEEPALIVE: 1,
        socket.TCP_KEEPIDLE: INCOMING.idle_s,
        socket.TCP_USER_TIMEOUT: INCOMING.unread_s * 1000,
    }
