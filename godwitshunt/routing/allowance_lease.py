"""A VM's part of an allowance that all VMs share.

The parts add up to no more than the allowance in any window, whichever VMs
restart or cannot reach each other, since a part

- is counted by failure domains of the settings, not by VMs that are in sight;
- is a lease: a VM that control VMs have not listed for `LEASE_S` has none, as
  others may divide the allowance without it;
- begins a window and a lease after the process: until then the process before
  may have spent it within the same window.

No I/O; callers pass the time in.

References
----------
Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

from dataclasses import dataclass
from math import inf

LEASE_S = 5.0


@dataclass
class AllowanceLease:
    """The time in which a VM may spend its part of an allowance.

    Parameters
    ----------
    window_s : float
        Length of the window that the allowance holds for, in seconds.
    started_s : float
        Monotonic time at which this process started.
    listed_s : float
        Monotonic time at which control VMs last listed this process.

    Examples
    --------
    >>> lease = AllowanceLease(window_s=10, started_s=0)
    >>> lease.renew(14)
    >>> lease.part(now_s=14, sharers=4), lease.part(now_s=16, sharers=4)
    (0.0, 0.25)
    >>> lease.part(now_s=20, sharers=4)
    0.0
    """

    window_s: float
    started_s: float
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
        is_new = now_s - self.started_s < self.window_s + LEASE_S
        is_expired = now_s - self.listed_s > LEASE_S
        return 0.0 if is_new or is_expired else 1 / sharers
