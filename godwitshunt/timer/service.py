"""Real and virtual timers with one interface.

All times are seconds on a monotonic clock that starts at an arbitrary point;
they are never compared between processes.
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
    """A notice that will be given until it is cancelled.

    Parameters
    ----------
    callback : callable
        Called without arguments when the time has come.
    period_s : float or None
        Seconds between notices; None for a notice that is given once.
    release : callable or None
        Frees what the timer holds for the notice. Without it a cancelled
        deadline would keep its request in memory until its time had come.
    """

    callback: Callback
    period_s: float | None = None
    cancelled: bool = False
    release: Callback | None = None

    def cancel(self) -> None:
        """Give this notice no more, and hold nothing for it."""
        self.cancelled = True
        if self.release is not None:
            self.release()


class Timer(Protocol):
    """What parts of the system ask of time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Give a notice once, `delay_s` seconds from now."""

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Give a notice each `period_s` seconds, first one period from now."""


class TimerService:
    """A timer on the running asyncio loop."""

    def __init__(self) -> None:
        self.subscriptions: set[Subscription] = set()
        self.handles: dict[int, asyncio.TimerHandle] = {}

    def now(self) -> float:
        """Return the monotonic time in seconds, suspended time included.

        A VM that was suspended and wakes would else hold its leases, and what
        it heard, for as fresh as before: a leader would answer a read from a
        lease that another leader has long replaced.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Give a notice once, `delay_s` seconds from now."""
        subscription = Subscription(callback)
        self.arm(subscription, delay_s)
        return subscription

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Give a notice each `period_s` seconds."""
        subscription = Subscription(callback, period_s)
        self.arm(subscription, period_s)
        return subscription

    def arm(self, subscription: Subscription, delay_s: float) -> None:
        """Wait for the next notice of a subscription."""
        loop = asyncio.get_running_loop()
        number = id(subscription)
        self.handles[number] = loop.call_later(
            delay_s,
            self.give,
            subscription,
        )
        subscription.release = partial(self.drop, number)

    def drop(self, number: int) -> None:
        """Forget a notice that is not to be given."""
        handle = self.handles.pop(number, None)
        if handle is not None:
            handle.cancel()

    def give(self, subscription: Subscription) -> None:
        """Give one notice and wait for the next where there is one."""
        self.handles.pop(id(subscription), None)
        if subscription.cancelled:
            return
        if subscription.period_s is not None:
            self.arm(subscription, subscription.period_s)
        subscription.callback()

    def close(self) -> None:
        """Give no more notices."""
        for handle in self.handles.values():
            handle.cancel()
        self.handles.clear()


@dataclass
class VirtualTimerService:
    """A timer for tests whose time passes only by `advance`.

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
        """Give a notice once, `delay_s` virtual seconds from now."""
        subscription = Subscription(callback)
        self.push(self.time_s + delay_s, subscription)
        return subscription

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Give a notice each `period_s` virtual seconds."""
        subscription = Subscription(callback, period_s)
        self.push(self.time_s + period_s, subscription)
        return subscription

    def push(self, due_s: float, subscription: Subscription) -> None:
        """Queue a notice for the given virtual time."""
        heapq.heappush(self.queue, (due_s, next(self.order), subscription))

    def advance(self, duration_s: float) -> None:
        """Let virtual seconds pass, giving each notice at its time."""
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
