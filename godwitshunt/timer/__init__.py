"""Timers that call back at a time or periodically."""

from godwitshunt.timer.service import (
    Subscription,
    Timer,
    TimerService,
    VirtualTimerService,
)
from godwitshunt.timer.signals import stop_on_signals

__all__ = [
    'Subscription',
    'Timer',
    'TimerService',
    'VirtualTimerService',
    'stop_on_signals',
]
