"""Shares of upstreams' slots for entry VMs that choose by themselves."""

from collections.abc import Collection

from godwitshunt.routing.hashing import name_hash, rank_weight


def slot_share(
    upstream: str, slots: int, vm_name: str, vm_names: Collection[str]
) -> int:
    """Return the slots of an upstream that one entry VM may use.

    The shares of all VMs add up to the slots. Those that get one more, or any
    at all, differ between upstreams.

    Parameters
    ----------
    upstream : str
        Name of the incarnation.
    vm_names : collection of str
        The entry VMs that divide the slots, the VM itself among them.

    Examples
    --------
    >>> names = ('a', 'b', 'c')
    >>> sum(slot_share('i-1', 8, name, names) for name in names)
    8
    """
    key = name_hash(upstream)
    own_rank = (rank_weight(key, vm_name), vm_name)
    before = sum((rank_weight(key, name), name) > own_rank for name in vm_names)
    share, rest = divmod(slots, max(1, len(vm_names)))
    return share + (before < rest)
