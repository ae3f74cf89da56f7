"""Rejections of an upstream that its load does not explain; no I/O.

An upstream that is full accepts requests below some load and rejects them
above it. One that also accepts requests at the load at which it rejects others
is not full: a pause would lose the requests that it accepts. Loads are the
requests of all VMs.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 5.0
MAX_ATTEMPTS = 128
# Accepted requests from which on rejections may be unrelated to the load.
MIN_ACCEPTED = 3
# Rejections without an accepted request between them after which an upstream
# counts as full.
MAX_CONSECUTIVE = 5
# Share of the slots up to which an upstream has a low load.
LOW_LOAD_SHARE = 0.75
# Attempts by which the rejected share is divided at least, so that one of a few
# does not weigh as much as one of two.
MIN_SHARE_ATTEMPTS = 8
# Cost in seconds of a rejection: another choice, and a part of the retry
# budget.
REJECTION_COST_S = 0.05


@dataclass(frozen=True, slots=True)
class ObservedAttempt:
    """An attempt that an upstream accepted or rejected.

    Parameters
    ----------
    at_s : float
        Monotonic seconds at its end.
    in_flight : int
        Other requests at the upstream at that time.
    is_rejected : bool
        Whether the upstream rejected it.
    is_unrelated : bool
        Whether the load does not explain its rejection.
    """

    at_s: float
    in_flight: int
    is_rejected: bool = False
    is_unrelated: bool = False


@dataclass
class RejectionWindow:
    """The last attempts at an upstream.

    Parameters
    ----------
    attempts : deque of ObservedAttempt
        The last attempts, the oldest first.
    unrelated : int
        How many of them were rejected whatever the load.
    consecutive : int
        Rejections since the last accepted request.
    reported_s : float
        When this window was last reported as rejecting whatever its load.

    Examples
    --------
    >>> window = RejectionWindow()
    >>> window.record_rejected(1, slots=8, now_s=0.0)
    False
    >>> for _ in range(MIN_ACCEPTED):
    ...     window.record_accepted(1, now_s=1.0)
    >>> window.record_rejected(1, slots=8, now_s=1.0)
    True
    >>> window.record_rejected(7, slots=8, now_s=1.0)
    False
    """

    attempts: deque[ObservedAttempt] = field(default_factory=deque)
    unrelated: int = 0
    consecutive: int = 0
    reported_s: float = float('-inf')

    def record_accepted(self, in_flight: int, now_s: float) -> None:
        """Record a request that the upstream has answered.

        Parameters
        ----------
        in_flight : int
            Other requests of all VMs at the upstream.
        """
        self.expire(now_s)
        self.consecutive = 0
        self.append(ObservedAttempt(now_s, in_flight))

    def record_rejected(self, in_flight: int, slots: int, now_s: float) -> bool:
        """Record a rejection; return whether the load does not explain it.

        Parameters
        ----------
        in_flight : int
            Other requests of all VMs at the upstream.
        slots : int
            Requests that the upstream announces to run at once.
        """
        self.expire(now_s)
        self.consecutive += 1
        is_unrelated = (
            in_flight <= LOW_LOAD_SHARE * slots
            and self.consecutive <= MAX_CONSECUTIVE
            and self.accepts_at(in_flight)
        )
        self.append(ObservedAttempt(now_s, in_flight, True, is_unrelated))
        return is_unrelated

    def accepts_at(self, in_flight: int) -> bool:
        """Return whether most requests at a load or above were accepted.

        The rejection that is to be explained is not among them.
        """
        accepted = [one for one in self.attempts if not one.is_rejected]
        if len(accepted) < MIN_ACCEPTED:
            return False
        accepted_there = sum(one.in_flight >= in_flight for one in accepted)
        rejected_there = sum(
            one.is_rejected and one.in_flight >= in_flight
            for one in self.attempts
        )
        return accepted_there >= rejected_there

    def cost_s(self, now_s: float) -> float:
        """Return the expected cost in seconds of rejections without reason."""
        if not self.unrelated or now_s - self.attempts[-1].at_s > WINDOW_S:
            return 0.0
        attempts = max(len(self.attempts), MIN_SHARE_ATTEMPTS)
        return REJECTION_COST_S * self.unrelated / attempts

    def must_report(self, now_s: float) -> bool:
        """Return whether to log, once in each window, that it rejects."""
        if now_s - self.reported_s < WINDOW_S:
            return False
        self.reported_s = now_s
        return True

    def append(self, attempt: ObservedAttempt) -> None:
        """Add an attempt."""
        self.attempts.append(attempt)
        self.unrelated += attempt.is_unrelated
        if len(self.attempts) > MAX_ATTEMPTS:
            self.remove_oldest()

    def expire(self, now_s: float) -> None:
        """Remove attempts that are older than the window."""
        while self.attempts and now_s - self.attempts[0].at_s > WINDOW_S:
            self.remove_oldest()

    def remove_oldest(self) -> None:
        """Remove the oldest attempt."""
        self.unrelated -= self.attempts.popleft().is_unrelated
