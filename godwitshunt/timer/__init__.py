"""Time as a service that other parts subscribe to."""

from godwitshunt.timer.service import (
    Subscription,
    Timer,
    TimerService,
    VirtualTimerService,
)

__all__ = ['Subscription', 'Timer', 'TimerService', 'VirtualTimerService']
