"""Skipped polls must not keep sockets or timers from being served."""

import asyncio
import socket

from godwitshunt.timer.event_loop import (
    MAX_SKIPPED_POLLS,
    SparingSelector,
    run_event_loop,
)


def test_sockets_are_read_while_callbacks_are_always_ready():
    """A task that never waits would else starve every connection."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        here, there = socket.socketpair()
        received = loop.create_future()
        loop.add_reader(here, lambda: received.set_result(here.recv(1)))
        there.send(b'x')
        rounds = 0
        while not received.done():
            rounds += 1
            await asyncio.sleep(0)
        loop.remove_reader(here)
        here.close()
        there.close()
        return rounds

    assert run_event_loop(run()) <= MAX_SKIPPED_POLLS + 2


def test_a_wait_always_polls():
    """Only polls that would not wait are skipped."""
    selector = SparingSelector()
    here, there = socket.socketpair()
    selector.register(here, 1)
    there.send(b'x')
    assert not selector.select(0)
    assert selector.select(1.0)
    assert selector.select(None)
    selector.close()
    here.close()
    there.close()
