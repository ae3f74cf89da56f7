"""Callers that leave before their request is read."""

import asyncio
import time
from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace

import pytest

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import json_answer
from godwitshunt.exchange.waiting_caller import Presence, WaitingCaller
from godwitshunt.settings import LimitSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from godwitshunt.timer.stalls import StallMonitor
from standins.ports import free_address

REQUEST = b'DELETE /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
RUNS = SimpleNamespace(is_recent=partial(bool, 0))
STALLED = SimpleNamespace(is_recent=partial(bool, 1))


@asynccontextmanager
async def listening(stalls, seen):
    """Yield the address of a listener that notes each caller's presence."""

    async def handle(request, writer):
        caller = WaitingCaller.on_channel(writer.channel, stalls)
        seen.put_nowait(await caller.presence())
        await writer.whole(json_answer({}))

    address = free_address()
    listener = Listener(
        ListenerOptions(address, LimitSettings()), Metrics(), handle
    )
    await listener.start()
    try:
        yield address
    finally:
        await listener.close()


async def send(address, *, leaves):
    """Send a request; return once it is answered, or leave at once."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(REQUEST)
    if not leaves:
        await reader.readuntil(b'{}')
    writer.close()
    await writer.wait_closed()


async def see(stalls, *, leaves, count=1):
    """Return what is seen of callers that wait or leave."""
    seen = asyncio.Queue()
    async with listening(stalls, seen) as address, asyncio.timeout(5):
        for _ in range(count):
            await send(address, leaves=leaves)
        return [await seen.get() for _ in range(count)]


async def test_a_caller_that_waits_is_seen():
    """An order that is still wanted would be refused."""
    assert await see(RUNS, leaves=False) == [Presence.waiting]


async def test_the_end_behind_a_request_is_read():
    """The order of a caller that had left was carried out.

    A process that was frozen reads the request before the end of its
    connection.
    """
    seen = await see(RUNS, leaves=True, count=20)
    assert set(seen) == {Presence.gone}


async def test_a_stall_hides_the_callers_end():
    """The end of a connection may be lost while the process stands still."""
    assert await see(STALLED, leaves=False) == [Presence.unknown]


@pytest.mark.parametrize(
    ('leaves', 'presence'),
    [(True, Presence.gone), (False, Presence.waiting)],
)
async def test_a_request_long_after_its_connection(
    monkeypatch, leaves, presence
):
    """A request that was lost on its way comes before the end behind it."""
    monkeypatch.setattr(f'{WaitingCaller.__module__}.SLOW_REQUEST_S', 0.1)
    seen = asyncio.Queue()
    async with listening(RUNS, seen) as address, asyncio.timeout(5):
        _, writer = await asyncio.open_connection(address.host, address.port)
        await asyncio.sleep(0.2)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        if leaves:
            writer.close()
        assert await seen.get() == presence
        writer.close()


async def test_the_monitor_of_a_process_counts_its_stall():
    """A loop that was blocked must not take what it reads for new."""
    timer = TimerService()
    monitor = StallMonitor(timer, 0.1, 1.0)
    monitor.start()
    asyncio.get_running_loop().call_soon(time.sleep, 0.4)
    await asyncio.sleep(0)
    assert monitor.is_recent()
    monitor.close()
    timer.close()
