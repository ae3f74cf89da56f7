"""Deadlines of requests in a process that is not scheduled in time."""

import asyncio
import socket
import time
from unittest.mock import Mock

import pytest

from godwitshunt.exchange.deadline import READ_S, STALL_S, deadline, expire


async def read_by(delay_s: float, stall_s: float) -> bytes:
    """Read an answer that arrives while the process is not scheduled."""
    here, there = socket.socketpair()
    here.setblocking(False)
    loop = asyncio.get_running_loop()
    loop.call_soon(there.sendall, b'answer')
    loop.call_soon(time.sleep, stall_s)
    try:
        async with deadline(delay_s):
            # The answer needs several passes of the loop, as a stream does.
            for _ in range(5):
                await asyncio.sleep(0)
            received = await loop.sock_recv(here, 100)
            await asyncio.sleep(0.001)
            return received
    finally:
        here.close()
        there.close()


async def test_answer_that_arrived_before_the_deadline_is_delivered():
    """A process that wakes up after the deadline drops a ready answer."""
    assert await read_by(0.02, stall_s=0.02 + 2 * STALL_S) == b'answer'


async def test_deadline_of_a_process_that_runs_is_exact():
    """Callers wait longer than they asked for."""
    with pytest.raises(TimeoutError):
        async with deadline(0.05):
            await asyncio.sleep(5)
    now_s = asyncio.get_running_loop().time()
    limit = Mock()
    expire(limit, now_s)
    end_s = limit.reschedule.call_args.args[0]
    assert end_s - now_s < STALL_S
    expire(limit, now_s - 2 * STALL_S)
    late_end_s = limit.reschedule.call_args.args[0]
    assert late_end_s - now_s >= READ_S


async def test_deadline_holds_after_a_stall_without_an_answer():
    """A request without an answer ends a moment after the process woke up."""
    asyncio.get_running_loop().call_soon(time.sleep, 0.2)
    begun_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with deadline(0.05):
            await asyncio.sleep(5)
    took_s = time.monotonic() - begun_s
    assert took_s >= 0.2 + READ_S
    assert took_s < 2


async def test_block_that_ends_in_time_is_not_cancelled_later():
    """The timer of a request that ended cancels its task."""
    async with deadline(0.01):
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
