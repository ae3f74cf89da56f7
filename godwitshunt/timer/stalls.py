"""Notices that this process was not scheduled for a while."""

from godwitshunt.timer.service import Subscription, Timer

PERIOD_S = 0.1


class StallMonitor:
    """Tells whether this process has stood still lately.

    What others sent meanwhile is read in the first moments after a stall; it
    may have been given up by then.

    Parameters
    ----------
    timer : Timer
        Monotonic time and the period.
    longest_s : float
        A stall above this counts, in seconds.
    memory_s : float
        Seconds after its end for which it counts as recent.
    """

    def __init__(
        self,
        timer: Timer,
        longest_s: float,
        memory_s: float,
    ) -> None:
        self.timer = timer
        self.longest_s = longest_s
        self.memory_s = memory_s
        self.ran_s = timer.now()
        self.stalled_until_s = float('-inf')
        self.subscription: Subscription | None = None

    def start(self) -> None:
        """Begin to watch."""
        self.ran_s = self.timer.now()
        self.subscription = self.timer.every(PERIOD_S, self.note_run)

    def close(self) -> None:
        """Watch no more."""
        if self.subscription is not None:
            self.subscription.cancel()

    def note_run(self) -> None:
        """Note that this process runs, and a stall that has just ended."""
        now_s = self.timer.now()
        if now_s - self.ran_s > PERIOD_S + self.longest_s:
            self.stalled_until_s = now_s
        self.ran_s = now_s

    def is_recent(self) -> bool:
        """Tell whether a stall has ended lately, also one just now.

        The first reads after a stall may come before the timers. A monitor
        that was not started knows of none.
        """
        if self.subscription is None:
            return False
        self.note_run()
        return self.ran_s - self.stalled_until_s < self.memory_s
