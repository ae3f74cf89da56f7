"""Whom a VM asks for news, in which order; pure."""

from collections.abc import Iterator
from zlib import crc32

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.settings import Address


def control_order(
    current: Revision | None,
    record: VmRecord,
    control: tuple[Address, ...],
    preferred: Address | None,
) -> tuple[Address, ...]:
    """Return control replicas: the own region's, the last good one, the rest.

    Parameters
    ----------
    current : Revision or None
        In force; tells the regions of control replicas.
    record : VmRecord
        The VM that asks.
    control : tuple of Address
        All control replicas.
    preferred : Address or None
        The one that proved a quorum last.
    """
    own_region = [
        vm.peer
        for vm in region_vms(current, record, VmRole.control)
        if vm.peer in control
    ]
    last_good = [] if preferred is None else [preferred]
    # Without the turn every VM of a region that has no control replica would
    # speak to the one that the settings name first.
    turn = crc32(record.name.encode()) % max(1, len(control))
    turned = (*control[turn:], *control[:turn])
    return tuple(dict.fromkeys([*own_region, *last_good, *turned]))


def all_control_addresses(
    current: Revision | None,
    named: tuple[Address, ...],
) -> tuple[Address, ...]:
    """Return the control replicas that settings name and that are listed.

    Settings may name a few only, and those may be gone; a revision lists all
    that were admitted.
    """
    listed = () if current is None else current.vms
    peers = [vm.peer for vm in listed if vm.role is VmRole.control]
    return tuple(dict.fromkeys((*named, *peers)))


def peer_order(
    current: Revision | None,
    record: VmRecord,
    named: tuple[Address, ...],
    turn: int,
) -> tuple[Address, ...]:
    """Return the region's VMs, beginning with another one at each turn.

    Parameters
    ----------
    named : tuple of Address
        Peers that the settings name, for a start without a revision.
    """
    known = [vm.peer for vm in region_vms(current, record, VmRole.entry)]
    peers = [
        address
        for address in dict.fromkeys([*known, *named])
        if address != record.peer
    ]
    start = turn % len(peers) if peers else 0
    return tuple(peers[start:] + peers[:start])


def region_vms(
    current: Revision | None,
    record: VmRecord,
    role: VmRole,
) -> Iterator[VmRecord]:
    """Give the region's VMs of a role, as far as they are known."""
    if current is None:
        return
    for vm in current.vms:
        if vm.role is role and vm.region == record.region:
            yield vm
