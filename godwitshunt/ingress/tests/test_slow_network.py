"""Callers that read slowly and upstreams that stop reading.

An upstream ends an answer that stays unread for seconds, so its answer is
read on and held. Without a bound a thousand such answers exceed a VM's memory.
"""

import asyncio
import sys
from pathlib import Path

import pytest

from godwitshunt.ingress.tests.slow_network import (
    EVENT_BYTES,
    HOST,
    Caller,
    Upstream,
    network,
)
from godwitshunt.settings import Address

MEBIBYTE = 1024 * 1024
ROOT = Path(__file__).resolve().parents[3]
BUDGET = 4 * MEBIBYTE
# Longer than an upstream keeps an unread answer.
PAUSE_S = 3.5
SLOW_READERS = 400
# Until all of their answers were read or ended, beside other load.
SETTLED_S = 60.0


@pytest.mark.parametrize(
    ('buffer_bytes', 'complete'), [(8 * BUDGET, True), (None, False)]
)
async def test_answer_of_a_caller_that_pauses_is_delivered_late(
    buffer_bytes, complete
):
    """The caller reads nothing for longer than the upstream waits.

    Without a budget the upstream's answer stays unread, and is lost.
    """
    async with network(buffer_bytes) as (_, upstream, make_caller):
        caller = await make_caller()
        await caller.send('stream-3000')
        await asyncio.sleep(PAUSE_S)
        assert await caller.read_answer() == complete
        assert upstream.completed == int(complete)


async def test_upstream_is_slowed_before_its_answer_is_held():
    """A caller that pauses for a moment costs no memory."""
    async with network(8 * BUDGET) as (gateway, upstream, make_caller):
        caller = await make_caller()
        await caller.send('stream-3000')
        await asyncio.sleep(0.6)
        assert gateway.peak_bytes < 1000 * EVENT_BYTES
        assert not upstream.completed
        assert await caller.read_answer()


async def test_one_answer_is_not_read_on_without_end():
    """One caller must not use the memory of all others."""
    async with network(BUDGET) as (gateway, _, make_caller):
        caller = await make_caller()
        await caller.send('stream-3000')
        await asyncio.sleep(PAUSE_S)
        assert gateway.peak_bytes < 1.3 * gateway.budget.connection_bytes
        assert not gateway.ended(0)


async def test_a_thousand_slow_readers_stay_within_the_budget():
    """They would hold 60 MB; the budget is 4 MiB.

    Urgent requests are read at once, and all of them are answered while the
    budget is full.
    """
    async with network(BUDGET) as (gateway, _, make_caller):
        slow = []
        for number in range(1000):
            caller = await make_caller()
            slow.append(await caller.send('stream-60', rank=1 + number % 2))
        for _ in range(40):
            urgent = await make_caller()
            await urgent.send('stream-8')
            assert await urgent.read_answer()
            urgent.close()
            await asyncio.sleep(0.05)
        assert gateway.peak_bytes <= BUDGET
        assert gateway.ended(2) == 500
        assert gateway.ended(1) < 500
        assert not gateway.ended(0)
        answers = await asyncio.gather(*[each.read_answer() for each in slow])
        # What is within the budget is delivered, late.
        assert sum(answers) == 1000 - gateway.ended(1) - gateway.ended(2)
        assert sum(answers) > 30
        gateway.budget.measure(0.0)
        assert not gateway.budget.held_bytes


async def test_upstream_that_stops_reading_in_mid_body():
    """Its requests are held, and end before the memory does."""
    body = b'x' * 500_000
    async with network(BUDGET) as (gateway, _, make_caller):
        held = []
        for _ in range(20):
            caller = await make_caller()
            held.append(await caller.send('stop', body, rank=1))
        await asyncio.sleep(1.2)
        urgent = await make_caller()
        await urgent.send('stream-8', body)
        assert await urgent.read_answer()
        assert gateway.peak_bytes <= BUDGET
        assert 20 - BUDGET // len(body) <= gateway.ended(1) < 20
        assert not gateway.ended(0)


async def test_body_is_released_with_its_answer():
    """A connection that is kept must not keep the memory of its request."""
    async with network(BUDGET) as (gateway, _, make_caller):
        caller = await make_caller()
        for _ in range(3):
            await caller.send('stream-2', b'x' * 90_000)
            assert await caller.read_answer()
        await asyncio.sleep(0.05)
        assert not gateway.budget.held_bytes


async def test_long_answer_is_held_once():
    """A copy of the body in the send buffer would double the memory."""
    async with network(BUDGET) as (gateway, _, make_caller):
        caller = await make_caller()
        await caller.send('whole-2000')
        await asyncio.sleep(0.5)
        gateway.measure()
        gateway.budget.measure(0.0)
        held_bytes = gateway.budget.held_bytes
        assert 1_200 * EVENT_BYTES < held_bytes < 2_100 * EVENT_BYTES
        read_bytes = 0
        while read_bytes < 2_000 * EVENT_BYTES:
            chunk = await caller.read()
            assert chunk
            read_bytes += len(chunk)


async def test_process_memory_at_the_bound():
    """The process must need little more than what the budget counts.

    Four hundred slow readers would hold 60 MB of a budget of 16 MiB. Send
    buffers that grow in turn fragment the heap to more than twice their size.
    What the process needs is read once it has taken every answer, which uses
    seconds of processor time.
    """
    budget = 16 * MEBIBYTE
    upstream = Upstream()
    address = await upstream.start()
    gateway = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'godwitshunt.ingress.tests.slow_network',
        str(address.port),
        str(budget),
        str(SLOW_READERS),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    port, start_bytes = map(int, (await gateway.stdout.readline()).split())
    callers = []
    for _ in range(SLOW_READERS):
        caller = await Caller().connect(Address(host=HOST, port=port))
        callers.append(await caller.send('stream-150', rank=1))
    async with asyncio.timeout(SETTLED_S):
        line = await gateway.stdout.readline()
    peak_bytes, held_bytes, ended = map(int, line.split())
    gateway.stdin.close()
    await gateway.wait()
    for caller in callers:
        caller.close()
    upstream.close()
    assert 0.9 * budget < held_bytes <= budget
    assert ended > 200, f'{upstream.completed=}, {upstream.unread=}'
    # Connections with a request in progress need 12 kB each.
    assert peak_bytes - start_bytes < 2 * budget + SLOW_READERS * 12_000
