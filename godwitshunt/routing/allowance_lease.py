"""A VM's part of an allowance that all VMs share.

The parts add up to no more than the allowance in any window, whichever VMs
restart and whichever failure domains cannot reach each other, since a part

- is counted by failure domains of the settings, not by VMs that are in sight;
- is a lease: a VM that control VMs have not listed for `LEASE_S` has none, as
  others may divide the allowance without it;
- begins a window and a lease after the process: until then the process before
  may have spent it within the same window. A new process has a part of another
  share, which grows with its age: however often a process is replaced, the
  ages of those that follow add up to one window.

No I/O; callers pass the time in.

References
----------
Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

from dataclasses import dataclass
from math import inf

LEASE_S = 5.0
# Shares of the allowance that are divided among all VMs: one for established
# processes, one for new ones. The rest covers requests that upstreams make
# while they run a retry, and retries that arrive late.
ESTABLISHED_SHARE = 0.7
NEW_SHARE = 0.2


@dataclass
class AllowanceLease:
    """The time in which a VM may spend its part of an allowance.

    Parameters
    ----------
    window_s : float
        Length of the window that the allowance holds for, in seconds.
    started_s : float
        Monotonic time at which this process started.
    is_first : bool
        True where no process of this VM came before this one.
    listed_s : float
        Monotonic time at which control VMs last listed this process.

    Examples
    --------
    >>> lease = AllowanceLease(window_s=10, started_s=0)
    >>> lease.renew(14)
    >>> lease.part(now_s=5, sharers=1), lease.part(now_s=16, sharers=1)
    (0.1, 0.7)
    >>> lease.part(now_s=20, sharers=1)
    0.0
    """

    window_s: float
    started_s: float
    is_first: bool = False
    listed_s: float = -inf

    def renew(self, listed_s: float) -> None:
        """Record that control VMs listed this process at a time."""
        self.listed_s = max(self.listed_s, listed_s)

    def part(self, now_s: float, sharers: int) -> float:
        """Return this VM's part of the allowance, 0 to 1.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        sharers : int
            Equal parts that the allowance is divided into.
        """
        if now_s - self.listed_s > LEASE_S:
            return 0.0
        age_s = now_s - self.started_s
        before_s = 0.0 if self.is_first else self.window_s
        if age_s >= before_s + LEASE_S:
            return ESTABLISHED_SHARE / sharers
        return NEW_SHARE * min(1.0, age_s / self.window_s) / sharers
