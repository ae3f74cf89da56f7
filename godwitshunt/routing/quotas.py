"""How a caller's limit is divided among VMs before any demand is known.

The directory sends all of a caller's requests to the VMs that rank highest
for its name. The same ranking divides its limit, so that the quota is where
the demand comes, and who needs more knows whom to ask.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.manifest import Caller
from godwitshunt.routing.hashing import name_hash, rank_names
from godwitshunt.routing.limits import CallerQuota

# The home region may admit this part of a caller's rate with no word from
# the others, and these the rest, also while the home region is lost.
HOME_SHARE = 0.7
# Each VM of a region owns a quarter of what the one that ranks before it
# does, down to the last rank, from where all own the same. The first owns so
# much that a caller who uses half of its limit needs no loan.
RANK_RATIO = 0.25
MAX_WEIGHTED_RANK = 3
LOCAL_GRANTORS = 3
REMOTE_GRANTORS = 2


@dataclass(frozen=True)
class LimitPlan:
    """One VM's quotas, and whom it asks for more.

    Parameters
    ----------
    quotas : dict of str to CallerQuota
        By caller; quotas of all VMs add up to the caller's rate.
    grantors : dict of str to frozenset of str
        Names of the VMs to ask, by caller. There are few, so that messages
        grow with the callers that need more and not with the VMs.
    """

    quotas: dict[str, CallerQuota]
    grantors: dict[str, frozenset[str]]

    @classmethod
    def from_revision(cls, revision: Revision, name: str) -> Self:
        """Divide the limits of a revision; the VM itself may be new to it."""
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
    """Return the VMs of other regions to ask for a caller.

    The home region has most to lend; it asks some others itself.
    """
    if region != caller.home and caller.home in regions:
        return [rank_names(key, regions[caller.home])[0]]
    others = tuple(sorted(regions.keys() - {region}))
    peers = rank_names(key, others)[:REMOTE_GRANTORS]
    return [rank_names(key, regions[other])[0] for other in peers]


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
    """Return the share of a region's quota that the VM of a rank owns.

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
