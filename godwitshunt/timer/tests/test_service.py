"""The real and the virtual timer."""

import asyncio

import pytest

from godwitshunt.timer import TimerService, VirtualTimerService


@pytest.fixture
async def real_timer():
    """Yield a timer on the running loop."""
    timer = TimerService()
    yield timer
    timer.close()


async def test_real_timer_calls_once_and_periodically(real_timer):
    """Both kinds of subscriptions call back until they are cancelled."""
    once = asyncio.Event()
    thrice = asyncio.Event()
    seen = []

    def count() -> None:
        seen.append(real_timer.now())
        if len(seen) == 3:
            repeated.cancel()
            thrice.set()

    real_timer.after(0.001, once.set)
    repeated = real_timer.every(0.001, count)
    async with asyncio.timeout(30):
        await once.wait()
        await thrice.wait()
    assert seen == sorted(seen)


async def test_closed_timer_makes_no_calls(real_timer):
    """A closed component must not be called by an old subscription."""
    seen = []
    real_timer.every(0.001, lambda: seen.append(1))
    real_timer.close()
    await asyncio.sleep(0.01)
    assert not seen


async def test_cancelled_callback_is_released(real_timer):
    """Requests have deadlines far in the future and end long before them.

    If their callbacks were kept until then, the memory of a busy VM would fill
    with ended requests.
    """
    for _ in range(3):
        real_timer.after(3600.0, asyncio.Event().set).cancel()
    assert not real_timer.handles


def test_virtual_timer_orders_calls():
    """Calls are ordered by time, then by subscription."""
    timer = VirtualTimerService()
    seen = []
    timer.after(2.0, lambda: seen.append('late'))
    timer.after(1.0, lambda: seen.append('first'))
    timer.after(1.0, lambda: seen.append('second'))
    cancelled = timer.after(1.5, lambda: seen.append('cancelled'))
    cancelled.cancel()
    timer.advance(3.0)
    assert seen == ['first', 'second', 'late']
    assert timer.now() == pytest.approx(3)
