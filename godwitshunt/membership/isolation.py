"""When a VM holds itself isolated, and whom it serves then.

While regions are cut from each other, control may accept a manifest that this
VM cannot see. What it may still do must be right under both: it serves only
inside its own region, and there only callers whose requests may be in this
region under any manifest that control accepts without asking it.
"""

from dataclasses import dataclass
from enum import StrEnum


class Connection(StrEnum):
    """What a VM hears from outside its region."""

    connected = 'connected'
    control_lost = 'control-lost'
    isolated = 'isolated'


@dataclass(frozen=True)
class News:
    """Ages in seconds of the last proofs of the outside world.

    Parameters
    ----------
    quorum_age_s : float
        Since a control quorum was known to be alive.
    regions_age_s : float
        Since another region answered; infinite where none ever did.
    """

    quorum_age_s: float
    regions_age_s: float


def connection(news: News, lease_s: float) -> Connection:
    """Return what the VM is cut off from.

    Examples
    --------
    >>> connection(News(quorum_age_s=9.0, regions_age_s=0.5), lease_s=3.0)
    <Connection.control_lost: 'control-lost'>
    """
    if news.quorum_age_s < lease_s:
        return Connection.connected
    if news.regions_age_s < lease_s:
        return Connection.control_lost
    return Connection.isolated


def holds_itself_isolated(state: Connection) -> bool:
    """Return whether the VM keeps to its own region.

    Other regions alone are no proof that a configuration is current: both
    sides may be cut from the quorum together, while it takes a region away
    from a home. One would notice it by an answer from a region that the
    manifest in force no longer allows.
    """
    return state is not Connection.connected


def may_serve_isolated(
    allowed: frozenset[str],
    every_region: frozenset[str],
    home: str,
    region: str,
) -> bool:
    """Return whether an isolated VM serves a caller.

    Parameters
    ----------
    allowed : frozenset of str
        Regions that residency allows under the newest known manifest.
    every_region : frozenset of str
        All regions of that manifest.
    home, region : str
        The caller's home and the VM's region.

    Examples
    --------
    >>> both = frozenset(('split', 'zagreb'))
    >>> may_serve_isolated(both, both, home='split', region='zagreb')
    True
    >>> may_serve_isolated(frozenset(('zagreb',)), both, 'split', 'zagreb')
    False
    """
    if region not in allowed:
        return False
    return allowed == every_region or home == region
