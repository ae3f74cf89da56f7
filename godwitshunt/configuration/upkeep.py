"""What a leader commits by itself: VMs, claim holders, confirmations; pure."""

from collections.abc import Iterator, Mapping

from godwitshunt.configuration.commands import (
    AwaitedVm,
    ChangeHolders,
    ChangeVms,
    Command,
    ConfirmManifest,
)
from godwitshunt.configuration.document import vm_to_entry
from godwitshunt.configuration.heard import HeardVms
from godwitshunt.configuration.members import is_unchanged, sessions_of
from godwitshunt.configuration.revision import VmRole
from godwitshunt.configuration.state import ControlState

MAX_HOLDERS = 5
# Longest isolation lease that settings allow, and a margin for clocks that
# run at slightly different speeds.
ISOLATION_LEASE_LIMIT_S = 10.0
CLOCK_MARGIN_S = 1.0
ABSENT_AFTER_S = 3600.0


def due_commands(
    state: ControlState,
    heard: HeardVms,
    seen_at: Mapping[int, float],
    led_since: float,
    now: float,
) -> Iterator[Command]:
    """Give what the leader should commit now.

    Parameters
    ----------
    state : ControlState
        As applied.
    heard : HeardVms
        The VMs' heartbeats.
    seen_at : mapping
        When this leader first saw each pending number as committed, in
        monotonic seconds.
    led_since : float
        When this replica began to lead, in monotonic seconds.
    now : float
        Monotonic seconds.
    """
    admitted = tuple(
        one.vm
        for one in heard.live(now)
        if state.document.section('vms').get(one.vm.name) != vm_to_entry(one.vm)
    )
    absent = absent_vms(state, heard, led_since, now)
    if admitted or absent:
        yield ChangeVms(admitted, absent=absent)
    yield from due_holders(state, heard, now)
    for number, record in state.numbers.items():
        if record.awaited and not still_awaited(
            state,
            number,
            heard,
            seen_at.get(number, now),
            now,
        ):
            yield ConfirmManifest(number)


def still_awaited(
    state: ControlState,
    number: int,
    heard: HeardVms,
    seen_at: float,
    now: float,
) -> tuple[AwaitedVm, ...]:
    """Return the VMs that a number's acceptance still waits for.

    A VM that was taken out by an operator is known to have stopped. One that
    is silent is isolated at the latest one lease after the commit, since any
    later proof of a quorum would have brought it the revision.
    """
    record = state.numbers[number]
    lease_over = now - seen_at > ISOLATION_LEASE_LIMIT_S + CLOCK_MARGIN_S
    return tuple(
        vm
        for vm in record.awaited
        if is_running(state, vm.name)
        and not heard.has_applied(vm.name, record.revision)
        and not (vm.lease_suffices and lease_over)
    )


def is_running(state: ControlState, name: str) -> bool:
    """Tell whether a VM may be running: no operator said that it stopped."""
    return name in state.document.section('vms') or name in state.absent


def absent_vms(
    state: ControlState,
    heard: HeardVms,
    led_since: float,
    now: float,
) -> tuple[str, ...]:
    """Return the VMs that were silent for long.

    Without this the list of VMs would grow with every VM that is replaced
    under another name. A new leader waits as long before it judges: it may
    not have been told of what its predecessor heard.
    """
    return tuple(
        name
        for name in state.document.section('vms')
        if now - max(heard.heard_at(name), led_since) > ABSENT_AFTER_S
    )


def due_holders(
    state: ControlState,
    heard: HeardVms,
    now: float,
) -> Iterator[ChangeHolders]:
    """Give the claim holders of each region that has to change them."""
    vms = state.document.section('vms').values()
    for region in sorted({vm['region'] for vm in vms}):
        holders = state.document.section('holders').values()
        own = [entry for entry in holders if entry['region'] == region]
        current = tuple(own[-1]['names']) if own else ()
        chosen = choose_holders(state, region, current, heard, now)
        sessions = sessions_of(state, chosen)
        if chosen and not (own and is_unchanged(own[-1], chosen, sessions)):
            yield ChangeHolders(region, chosen)


def choose_holders(
    state: ControlState,
    region: str,
    current: tuple[str, ...],
    heard: HeardVms,
    now: float,
) -> tuple[str, ...]:
    """Choose a region's claim holders.

    A holder stays while it is live, since each change makes keys of earlier
    generations wait on the old holders. A silent one is replaced only by a
    live VM that is none yet, never dropped without another in its place:
    fewer holders would make a majority easier to lose, not harder.
    """
    vms = state.document.section('vms')
    here = [vm for vm in vms.values() if vm['region'] == region]
    kept = [name for name in current if name in vms]
    live = [
        vm['name']
        for vm in sorted(here, key=holder_rank)
        if heard.is_live(vm['name'], now) and vm['name'] not in kept
    ]
    for place, name in enumerate(kept):
        if live and len(kept) >= MAX_HOLDERS and not heard.is_live(name, now):
            kept[place] = live.pop(0)
    return tuple(kept + live[: MAX_HOLDERS - len(kept)])


def holder_rank(vm: Mapping) -> tuple[bool, str]:
    """Order candidates: the control replica, which has a disk, first."""
    return vm['role'] != VmRole.control.value, vm['name']
