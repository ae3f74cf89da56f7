"""Static division of a caller's limit among VMs.

The directory sends a caller's requests to the VMs that rank highest for its
name. The same ranking divides its limit, so that the quota is where the demand
arrives, and a VM that needs more knows which peers to request leases from.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.manifest import Caller
from godwitshunt.routing.hashing import name_hash, rank_names
from godwitshunt.routing.limits import CallerQuota

# Share of a caller's rate that the home region may admit without any message
# from the others. The others may admit the rest, even during an outage of the
# home region.
HOME_SHARE = 0.7
# Each VM of a region owns a quarter of the quota of the VM ranked before it,
# up to `MAX_WEIGHTED_RANK`; all further ones own the same. The first VM's quota
# is large enough that a caller that uses half of its limit needs no lease.
RANK_RATIO = 0.25
MAX_WEIGHTED_RANK = 3
LOCAL_GRANTORS = 3
REMOTE_GRANTORS = 2


@dataclass(frozen=True)
class LimitPlan:
    """One VM's quotas, and the peers that it requests leases from.

    Parameters
    ----------
    quotas : dict of str to CallerQuota
        By caller; the quotas of all VMs add up to the caller's rate.
    grantors : dict of str to frozenset of str
        Names of the VMs to request leases from, by caller. They are few, so
        that traffic grows with the callers over quota, not with the VMs.
    """

    quotas: dict[str, CallerQuota]
    grantors: dict[str, frozenset[str]]

    @classmethod
    def from_revision(cls, revision: Revision, name: str) -> Self:
        """Divide the limits of a revision; empty if it lacks the VM."""
        regions = names_by_region(revision.vms)
        own = next((vm for vm in revision.vms if vm.name == name), None)
        if own is None:
            return cls({}, {})
        quotas = {}
        grantors = {}
        for caller in revision.manifest.callers:
            key = name_hash(caller.name)
            ranked = rank_names(key, regions[own.region])
            share = region_share(caller.home, own.region, regions)
            share *= rank_share(ranked.index(name), len(ranked))
            quotas[caller.name] = CallerQuota(
                caller.requests_per_s * share,
                max(1.0, caller.burst * share),
            )
            peers = set(ranked[:LOCAL_GRANTORS])
            peers.update(remote_grantors(caller, key, own.region, regions))
            grantors[caller.name] = frozenset(peers - {name})
        return cls(quotas, grantors)


def remote_grantors(
    caller: Caller,
    key: int,
    region: str,
    regions: Mapping[str, tuple[str, ...]],
) -> list[str]:
    """Return the VMs of other regions to request a caller's leases from.

    This is a VM of the home region, which has the largest quota; the home
    region itself requests leases from `REMOTE_GRANTORS` other regions.
    """
    if region != caller.home and caller.home in regions:
        return [rank_names(key, regions[caller.home])[0]]
    others = tuple(sorted(regions.keys() - {region}))
    ranked = rank_names(key, others)[:REMOTE_GRANTORS]
    return [rank_names(key, regions[other])[0] for other in ranked]


def names_by_region(vms: tuple[VmRecord, ...]) -> dict[str, tuple[str, ...]]:
    """Return the names of the VMs that admit requests, by region."""
    regions: dict[str, list[str]] = {}
    for vm in entry_vms(vms):
        regions.setdefault(vm.region, []).append(vm.name)
    return {region: tuple(names) for region, names in regions.items()}


def region_share(
    home: str,
    region: str,
    regions: Mapping[str, tuple[str, ...]],
) -> float:
    """Return the share of a caller's rate that a region owns.

    Examples
    --------
    >>> region_share('kochi', 'kochi', {'kochi': ('a',), 'kozhikode': ('b',)})
    0.7
    >>> region_share('kochi', 'kozhikode', {'kozhikode': ('b',)})
    1.0
    """
    if len(regions) == 1 or home not in regions:
        return 1.0 / len(regions)
    if region == home:
        return HOME_SHARE
    return (1.0 - HOME_SHARE) / (len(regions) - 1)


def rank_share(rank: int, count: int) -> float:
    """Return the share of a region's quota owned by the VM of a rank.

    Examples
    --------
    >>> rank_share(0, 1)
    1.0
    >>> round(sum(rank_share(rank, 25) for rank in range(25)), 9)
    1.0
    """
    weights = [
        RANK_RATIO ** min(each, MAX_WEIGHTED_RANK) for each in range(count)
    ]
    return weights[rank] / sum(weights)


def entry_vms(vms: tuple[VmRecord, ...]) -> tuple[VmRecord, ...]:
    """Return the VMs that admit requests."""
    return tuple(vm for vm in vms if vm.role is VmRole.entry)
