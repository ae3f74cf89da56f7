"""Order in which a VM polls control replicas and peers; no I/O."""

from collections.abc import Iterator
from zlib import crc32

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.settings import Address


def control_poll_order(
    current: Revision | None,
    record: VmRecord,
    control: tuple[Address, ...],
    last_good: Address | None,
) -> tuple[Address, ...]:
    """Return the control replicas in the order in which to poll them.

    Replicas of the VM's region come first, then the one that last proved a
    quorum, then the others.

    Parameters
    ----------
    current : Revision or None
        The active revision, which holds the regions of control replicas.
    record : VmRecord
        The VM that polls.
    control : tuple of Address
        All control replicas.
    preferred : Address or None
        The replica that last proved a quorum.
    """
    local = [
        vm.peer
        for vm in region_vms(current, record, VmRole.control)
        if vm.peer in control
    ]
    preferred = [] if last_good is None else [last_good]
    # Without the rotation all VMs of a region without a control replica would
    # poll the replica that the settings name first.
    offset = crc32(record.name.encode()) % max(1, len(control))
    rotated = (*control[offset:], *control[:offset])
    return tuple(dict.fromkeys([*local, *preferred, *rotated]))


def all_control_addresses(
    current: Revision | None,
    configured: tuple[Address, ...],
) -> tuple[Address, ...]:
    """Return the control replicas of the settings and of the revision.

    The settings may name only some replicas, and these may have been removed;
    a revision lists all admitted ones.
    """
    listed = () if current is None else current.vms
    peers = [vm.peer for vm in listed if vm.role is VmRole.control]
    return tuple(dict.fromkeys((*configured, *peers)))


def peer_poll_order(
    current: Revision | None,
    record: VmRecord,
    configured: tuple[Address, ...],
    round_index: int,
) -> tuple[Address, ...]:
    """Return the entry VMs of the region, rotated by `round_index`.

    Parameters
    ----------
    configured : tuple of Address
        Peers that the settings name, for a start without a revision.
    round_index : int
        Number of the poll round; each round begins with another peer.
    """
    listed = [vm.peer for vm in region_vms(current, record, VmRole.entry)]
    peers = [
        address
        for address in dict.fromkeys([*listed, *configured])
        if address != record.peer
    ]
    start = round_index % len(peers) if peers else 0
    return tuple(peers[start:] + peers[:start])


def region_vms(
    current: Revision | None,
    record: VmRecord,
    role: VmRole,
) -> Iterator[VmRecord]:
    """Yield the VMs of a role in the region that the revision lists."""
    if current is None:
        return
    for vm in current.vms:
        if vm.role is role and vm.region == record.region:
            yield vm
