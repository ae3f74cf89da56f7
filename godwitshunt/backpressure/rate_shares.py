"""Division of upstreams' rate limits among the processes that send to them.

There is no shared counter: an upstream's limit is divided among the pickers of
its region and the entry VMs that choose without a picker, so that it holds
even if they cannot communicate. The first picker by name assigns nearly all
requests and gets the largest share.

Upstreams tolerate, in any `WINDOW_S` seconds, `RATE_FACTOR` times their limit
and `ALLOWANCE` requests more. The shares use no more than that together.
"""

from collections.abc import Collection
from dataclasses import dataclass

WINDOW_S = 4.0
RATE_FACTOR = 1.5
ALLOWANCE = 5


@dataclass(frozen=True)
class RateShare:
    """Share of upstreams' rate limits that one process may use.

    In any window of `w` seconds it sends at most ``rate * limit * w`` requests
    and one burst.

    Parameters
    ----------
    rate : float
        Rate relative to the limit.
    burst : float
        Size of a burst, in requests.
    burst_s : float
        Further size of a burst, in seconds of the limit.
    """

    rate: float = 0.0
    burst: float = 0.0
    burst_s: float = 0.0

    def divided_by(self, count: int) -> 'RateShare':
        """Return the equal share of each of several processes."""
        return RateShare(
            self.rate / count, self.burst / count, self.burst_s / count
        )

    def capacity(self, per_s: float) -> float:
        """Return the size of a burst for a limit, in requests."""
        return self.burst + self.burst_s * per_s


NO_SHARE = RateShare()
FIRST_PICKER = RateShare(rate=0.9, burst=1, burst_s=0.1)
OTHER_PICKERS = RateShare(rate=0.3, burst=1)
ENTRY_VMS = RateShare(rate=0.2, burst=2, burst_s=0.3)
ENTRY_VMS_ALONE = RateShare(rate=1.4, burst=4, burst_s=0.4)


def picker_share(
    own: str, pickers: Collection[str], unlocated: int
) -> RateShare:
    """Return the share of a region's picker.

    Parameters
    ----------
    own : str
        Name of the picker.
    pickers : collection of str
        Names of the known pickers of the region.
    unlocated : int
        Number of control VMs whose region is unknown. One of them may be the
        first picker of this region.

    Examples
    --------
    >>> picker_share('a', ['a', 'b'], unlocated=0) == FIRST_PICKER
    True
    >>> picker_share('b', ['a', 'b'], unlocated=0).rate
    0.3
    """
    is_first = own == min(pickers, default=own)
    if is_first and not unlocated:
        return FIRST_PICKER
    others = len(set(pickers) | {own}) - 1 + unlocated
    return OTHER_PICKERS.divided_by(max(1, others))


def entry_share(*, has_pickers: bool, count: int) -> RateShare:
    """Return the share of an entry VM that chooses without a picker.

    Parameters
    ----------
    has_pickers : bool
        True if the region is known to have control VMs.
    count : int
        Number of entry VMs of the region.
    """
    total = ENTRY_VMS if has_pickers else ENTRY_VMS_ALONE
    return total.divided_by(max(1, count))
