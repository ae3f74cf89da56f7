"""Whom a VM asks for news, in which order; pure."""

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
    local = [
        vm.peer
        for vm in region_vms(current, record, VmRole.control)
        if vm.peer in control
    ]
    preferred = [] if last_good is None else [last_good]
    # Without the turn every VM of a region that has no control replica would
    # speak to the one that the settings name first.
    round_index = crc32(record.name.encode()) % max(1, len(control))
    rotated = (*control[round_index:], *control[:round_index])
    return tuple(dict.fromkeys([*local, *preferred, *rotated]))


def all_control_addresses(
    current: Revision | None,
    configured: tuple[Address, ...],
) -> tuple[Address, ...]:
    """Return the control replicas that settings name and that are listed.

    Settings may name a few only, and those may be gone; a revision lists all
    that were admitted.
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
    """Return the region's VMs, beginning with another one at each turn.

    Parameters
    ----------
    configured : tuple of Address
        Peers that the settings name, for a start without a revision.
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
    """Give the region's VMs of a role, as far as they are known."""
    if current is None:
        return
    for vm in current.vms:
        if vm.role is role and vm.region == record.region:
            yield vm
