"""When a VM treats itself as isolated, and which callers it then serves.

During a network partition between regions, control may accept a manifest that
this VM does not receive. What the VM does must be allowed by both manifests:
it routes only within its own region, and serves only callers whose requests
may be processed there under any manifest that control accepts without this
VM's confirmation.
"""

from dataclasses import dataclass
from enum import StrEnum


class ConnectionState(StrEnum):
    """What a VM can reach outside its region."""

    connected = 'connected'
    control_lost = 'control-lost'
    isolated = 'isolated'


@dataclass(frozen=True)
class ContactAges:
    """Seconds since the last contacts outside the region.

    Parameters
    ----------
    quorum_age_s : float
        Seconds since a control quorum was known to be alive.
    regions_age_s : float
        Seconds since another region replied; infinite if none has yet.
    """

    quorum_age_s: float
    regions_age_s: float


def connection_state(ages: ContactAges, lease_s: float) -> ConnectionState:
    """Return the connection state that contact ages imply.

    Examples
    --------
    >>> connection_state(
    ...     ContactAges(quorum_age_s=9.0, regions_age_s=0.5), lease_s=3.0
    ... )
    <ConnectionState.control_lost: 'control-lost'>
    """
    if ages.quorum_age_s < lease_s:
        return ConnectionState.connected
    if ages.regions_age_s < lease_s:
        return ConnectionState.control_lost
    return ConnectionState.isolated


def requires_isolation(state: ConnectionState) -> bool:
    """Return whether the VM must route within its own region only.

    Replies from other regions do not prove that the configuration is current:
    both sides may be partitioned from the quorum together, while a new
    manifest removes a region from those that a home allows. Requests would
    then be served in a region that the active manifest forbids.
    """
    return state is not ConnectionState.connected


def may_serve_isolated(
    allowed: frozenset[str],
    all_regions: frozenset[str],
    home: str,
    region: str,
) -> bool:
    """Return whether an isolated VM serves a caller.

    Parameters
    ----------
    allowed : frozenset of str
        Regions that the residency rule allows under the newest known
        manifest.
    all_regions : frozenset of str
        All regions of that manifest.
    home, region : str
        The caller's home region and the VM's region.

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
    return allowed == all_regions or home == region
