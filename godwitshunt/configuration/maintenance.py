"""Commands that a leader proposes by itself; no I/O.

These are admissions and removals of VMs, changes of claim holders and
confirmations of manifests.
"""

from collections.abc import Iterator, Mapping

from godwitshunt.configuration.commands import (
    AwaitedVm,
    ChangeHolders,
    ChangeVms,
    Command,
    ConfirmManifest,
)
from godwitshunt.configuration.document import vm_to_entry
from godwitshunt.configuration.heartbeats import HeartbeatTable
from godwitshunt.configuration.members import is_unchanged, sessions_of
from godwitshunt.configuration.revision import VmRole
from godwitshunt.configuration.state import ControlState

MAX_HOLDERS = 5
# Longest isolation lease that the settings allow, and a margin for clocks that
# run at slightly different rates.
ISOLATION_LEASE_LIMIT_S = 10.0
CLOCK_MARGIN_S = 1.0
ABSENT_AFTER_S = 3600.0


def due_commands(
    state: ControlState,
    heartbeats: HeartbeatTable,
    seen_at: Mapping[int, float],
    leading_since: float,
    now: float,
) -> Iterator[Command]:
    """Yield the commands that the leader should propose now.

    Parameters
    ----------
    state : ControlState
        The applied state.
    heartbeats : HeartbeatTable
        Last heartbeats of the VMs.
    seen_at : mapping
        When this leader first saw each pending number as committed, in
        monotonic seconds.
    leading_since : float
        When this replica became leader, in monotonic seconds.
    now : float
        Current time in monotonic seconds.
    """
    changed_vms = tuple(
        heartbeat.vm
        for heartbeat in heartbeats.live(now)
        if state.document.section('vms').get(heartbeat.vm.name)
        != vm_to_entry(heartbeat.vm)
    )
    absent = absent_vms(state, heartbeats, leading_since, now)
    if changed_vms or absent:
        yield ChangeVms(changed_vms, absent=absent)
    yield from due_holders(state, heartbeats, now)
    for number, record in state.numbers.items():
        if record.awaited and not still_awaited(
            state,
            number,
            heartbeats,
            seen_at.get(number, now),
            now,
        ):
            yield ConfirmManifest(number)


def still_awaited(
    state: ControlState,
    number: int,
    heartbeats: HeartbeatTable,
    seen_at: float,
    now: float,
) -> tuple[AwaitedVm, ...]:
    """Return the VMs that a number's acceptance still waits for.

    A VM that an operator removed is known to have stopped. One without
    heartbeats is isolated at the latest one lease after the commit, since any
    later proof of a quorum would have brought it the revision.
    """
    record = state.numbers[number]
    lease_expired = now - seen_at > ISOLATION_LEASE_LIMIT_S + CLOCK_MARGIN_S
    return tuple(
        vm
        for vm in record.awaited
        if is_running(state, vm.name)
        and not heartbeats.has_applied(vm.name, record.revision)
        and not (vm.lease_suffices and lease_expired)
    )


def is_running(state: ControlState, name: str) -> bool:
    """Return whether a VM may be running: no operator has removed it."""
    return name in state.document.section('vms') or name in state.absent


def absent_vms(
    state: ControlState,
    heartbeats: HeartbeatTable,
    leading_since: float,
    now: float,
) -> tuple[str, ...]:
    """Return the VMs without a heartbeat for `ABSENT_AFTER_S`.

    Without this the list of VMs would grow with every VM that is replaced
    under another name. A new leader waits for the same time first, since it
    may not know the last heartbeats that its predecessor received.
    """
    return tuple(
        name
        for name in state.document.section('vms')
        if now - max(heartbeats.received_at(name), leading_since)
        > ABSENT_AFTER_S
    )


def due_holders(
    state: ControlState,
    heartbeats: HeartbeatTable,
    now: float,
) -> Iterator[ChangeHolders]:
    """Yield the new claim holders of each region whose holders must change."""
    vms = state.document.section('vms').values()
    for region in sorted({vm['region'] for vm in vms}):
        holders = state.document.section('holders').values()
        region_sets = [entry for entry in holders if entry['region'] == region]
        current = tuple(region_sets[-1]['names']) if region_sets else ()
        chosen = choose_holders(state, region, current, heartbeats, now)
        sessions = sessions_of(state, chosen)
        if chosen and not (
            region_sets and is_unchanged(region_sets[-1], chosen, sessions)
        ):
            yield ChangeHolders(region, chosen)


def choose_holders(
    state: ControlState,
    region: str,
    current: tuple[str, ...],
    heartbeats: HeartbeatTable,
    now: float,
) -> tuple[str, ...]:
    """Choose a region's claim holders.

    A live holder stays, since after a change the keys of earlier generations
    still depend on the old holders. One that is not live is only replaced by a
    live VM, never removed without a replacement: with fewer holders a majority
    would be easier to lose.
    """
    vms = state.document.section('vms')
    region_vms = [vm for vm in vms.values() if vm['region'] == region]
    retained = [name for name in current if name in vms]
    live = [
        vm['name']
        for vm in sorted(region_vms, key=holder_rank)
        if heartbeats.is_live(vm['name'], now) and vm['name'] not in retained
    ]
    for index, name in enumerate(retained):
        if (
            live
            and len(retained) >= MAX_HOLDERS
            and not heartbeats.is_live(name, now)
        ):
            retained[index] = live.pop(0)
    return tuple(retained + live[: MAX_HOLDERS - len(retained)])


def holder_rank(vm: Mapping) -> tuple[bool, str]:
    """Return the sort key of a candidate.

    Control replicas come first because they have a disk.
    """
    return vm['role'] != VmRole.control.value, vm['name']
