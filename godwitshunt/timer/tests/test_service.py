"""The real and the virtual timer give the same notices."""

import asyncio

import pytest

from godwitshunt.timer import TimerService, VirtualTimerService


@pytest.fixture
async def real_timer():
    """Yield a timer on the running loop."""
    timer = TimerService()
    yield timer
    timer.close()


async def test_real_timer_gives_notices_once_and_repeatedly(real_timer):
    """Both kinds of subscription fire until they are cancelled."""
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


async def test_closed_timer_gives_nothing(real_timer):
    """A part that closed must not be called again by an old subscription."""
    seen = []
    real_timer.every(0.001, lambda: seen.append(1))
    real_timer.close()
    await asyncio.sleep(0.01)
    assert not seen


async def test_cancelled_notice_is_not_held(real_timer):
    """Each request has a deadline far away and ends long before it.

    Held until then, a busy VM's memory would fill with requests of the past.
    """
    for _ in range(3):
        real_timer.after(3600.0, asyncio.Event().set).cancel()
    assert not real_timer.handles


def test_virtual_time_orders_notices():
    """Notices come in order of time, then of subscription."""
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
