"""How a caller's limit is divided among VMs before any demand is known."""

from collections import Counter
from collections.abc import Mapping

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.routing.hashing import name_hash, rank_names
from godwitshunt.routing.limits import CallerQuota

# The home region may admit this part of a caller's rate with no word from
# the others, and these the rest, also while the home region is lost.
HOME_SHARE = 0.5
PARTNERS_ELSEWHERE = 2


def caller_quotas(revision: Revision, region: str) -> dict[str, CallerQuota]:
    """Return one VM's quota of each caller.

    Parameters
    ----------
    revision : Revision
        The configuration in force.
    region : str
        The VM's region.

    Returns
    -------
    dict of str to CallerQuota
        Quotas of all VMs add up to the caller's rate.
    """
    sizes = Counter(vm.region for vm in entry_vms(revision.vms))
    total = sum(sizes.values()) or 1
    return {
        caller.name: CallerQuota(
            caller.requests_per_s * vm_share(caller.home, region, sizes),
            max(1.0, caller.burst / total),
        )
        for caller in revision.manifest.callers
    }


def vm_share(home: str, region: str, sizes: Mapping[str, int]) -> float:
    """Return the share of a caller's rate that each VM of a region owns.

    Examples
    --------
    >>> vm_share('kochi', 'kochi', {'kochi': 2, 'kozhikode': 2})
    0.25
    >>> vm_share('kochi', 'kozhikode', {'kozhikode': 2})
    0.5
    """
    size = sizes.get(region, 0)
    if not size:
        return 0.0
    others = len(sizes) - 1
    if home not in sizes:
        return 1.0 / len(sizes) / size
    if not others:
        return 1.0 / size
    if region == home:
        return HOME_SHARE / size
    return (1.0 - HOME_SHARE) / others / size


def entry_vms(vms: tuple[VmRecord, ...]) -> tuple[VmRecord, ...]:
    """Return the VMs that admit requests."""
    return tuple(vm for vm in vms if vm.role is VmRole.entry)


def gossip_partners(
    vms: tuple[VmRecord, ...],
    name: str,
    region: str,
) -> tuple[VmRecord, ...]:
    """Return the VMs to ask for loans: the region's, and a few of each other.

    So the messages grow with the region and the number of regions, and not
    with the deployment.
    """
    partners = []
    by_region: dict[str, dict[str, VmRecord]] = {}
    for vm in entry_vms(vms):
        if vm.name != name:
            by_region.setdefault(vm.region, {})[vm.name] = vm
    for other, members in sorted(by_region.items()):
        names = rank_names(name_hash(name), tuple(members))
        if other != region:
            names = names[:PARTNERS_ELSEWHERE]
        partners.extend(members[partner] for partner in names)
    return tuple(partners)
