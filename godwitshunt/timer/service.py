"""Real and virtual timers with one interface.

All times are seconds on a monotonic clock with an arbitrary origin. They are
never compared between processes.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

Callback = Callable[[], None]


@dataclass
class Subscription:
    """A scheduled callback that can be cancelled.

    Parameters
    ----------
    callback : callable
        Called without arguments when it is due.
    period_s : float or None
        Seconds between calls; None for a single call.
    release : callable or None
        Drops the timer's references to the callback. Otherwise a cancelled
        deadline would keep its request in memory until it was due.
    """

    callback: Callback
    period_s: float | None = None
    cancelled: bool = False
    release: Callback | None = None

    def cancel(self) -> None:
        """Cancel further calls and drop the timer's references."""
        self.cancelled = True
        if self.release is not None:
            self.release()


class Timer(Protocol):
    """Interface of all timers."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, `delay_s` seconds from now."""

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Call back every `period_s` seconds, first after one period."""


class TimerService:
    """A timer on the running asyncio event loop."""

    def __init__(self) -> None:
        self.subscriptions: set[Subscription] = set()
        self.handles: dict[int, asyncio.TimerHandle] = {}

    def now(self) -> float:
        """Return the monotonic time in seconds, suspended time included.

        Otherwise a VM that resumes from suspension would take its leases and
        received data for as recent as before. A leader could answer a read
        under a lease although another leader has replaced it.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, `delay_s` seconds from now."""
        subscription = Subscription(callback)
        self.schedule(subscription, delay_s)
        return subscription

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Call back every `period_s` seconds, first after one period."""
        subscription = Subscription(callback, period_s)
        self.schedule(subscription, period_s)
        return subscription

    def schedule(self, subscription: Subscription, delay_s: float) -> None:
        """Schedule the next call of a subscription."""
        loop = asyncio.get_running_loop()
        number = id(subscription)
        self.handles[number] = loop.call_later(
            delay_s,
            self.fire,
            subscription,
        )
        subscription.release = partial(self.discard, number)

    def discard(self, number: int) -> None:
        """Cancel a scheduled call and drop its handle."""
        handle = self.handles.pop(number, None)
        if handle is not None:
            handle.cancel()

    def fire(self, subscription: Subscription) -> None:
        """Schedule the next call of a periodic subscription and call back."""
        self.handles.pop(id(subscription), None)
        if subscription.cancelled:
            return
        if subscription.period_s is not None:
            self.schedule(subscription, subscription.period_s)
        subscription.callback()

    def close(self) -> None:
        """Cancel all scheduled calls."""
        for handle in self.handles.values():
            handle.cancel()
        self.handles.clear()


@dataclass
class VirtualTimerService:
    """A timer for tests whose time passes only in `advance`.

    Examples
    --------
    >>> timer = VirtualTimerService()
    >>> seen = []
    >>> subscription = timer.every(2.0, lambda: seen.append(timer.now()))
    >>> timer.advance(5.0)
    >>> seen
    [2.0, 4.0]
    """

    time_s: float = 0.0
    queue: list[tuple[float, int, Subscription]] = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time_s

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, `delay_s` virtual seconds from now."""
        subscription = Subscription(callback)
        self.push(self.time_s + delay_s, subscription)
        return subscription

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Call back every `period_s` virtual seconds."""
        subscription = Subscription(callback, period_s)
        self.push(self.time_s + period_s, subscription)
        return subscription

    def push(self, due_s: float, subscription: Subscription) -> None:
        """Queue a call for a virtual time."""
        heapq.heappush(self.queue, (due_s, next(self.order), subscription))

    def advance(self, duration_s: float) -> None:
        """Advance virtual time and make each call when it is due."""
        end_s = self.time_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, subscription = heapq.heappop(self.queue)
            self.time_s = due_s
            if subscription.cancelled:
                continue
            if subscription.period_s is not None:
                self.push(due_s + subscription.period_s, subscription)
            subscription.callback()
        self.time_s = end_s
