"""A process that stands still for a while notices it when it goes on."""

import pytest

from godwitshunt.timer import VirtualTimerService
from godwitshunt.timer.stalls import PERIOD_S, StallMonitor

LONGEST_S, MEMORY_S = 0.8, 1.0


def make_monitor():
    """Return a monitor that has watched for a while, and its timer."""
    timer = VirtualTimerService(time_s=100.0)
    monitor = StallMonitor(timer, LONGEST_S, MEMORY_S)
    monitor.start()
    timer.advance(5.0)
    return monitor, timer


def test_a_process_that_runs_has_not_stalled():
    """A monitor that always warns would have every order refused."""
    monitor, timer = make_monitor()
    assert not monitor.is_recent()
    timer.advance(60.0)
    assert not monitor.is_recent()


def test_a_stall_is_noticed_before_any_timer_fires():
    """The first read after a stall came before the timers that are due."""
    monitor, timer = make_monitor()
    timer.time_s += LONGEST_S + 2 * PERIOD_S
    assert monitor.is_recent()


@pytest.mark.parametrize(
    ('later_s', 'recent'), [(0.5, True), (MEMORY_S + PERIOD_S, False)]
)
def test_a_stall_is_forgotten(later_s, recent):
    """A stall of long ago would have orders refused for ever."""
    monitor, timer = make_monitor()
    timer.time_s += 5.0
    assert monitor.is_recent()
    timer.advance(later_s)
    assert monitor.is_recent() is recent


def test_a_monitor_that_was_not_started_knows_of_no_stall():
    """A part that is not started yet would have its first order refused."""
    timer = VirtualTimerService()
    monitor = StallMonitor(timer, LONGEST_S, MEMORY_S)
    timer.advance(60.0)
    assert not monitor.is_recent()


def test_a_short_stall_is_none():
    """A pause below a caller's patience says nothing about its request."""
    monitor, timer = make_monitor()
    timer.time_s += LONGEST_S / 2
    assert not monitor.is_recent()
