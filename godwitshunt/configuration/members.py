"""Admitted VMs and the claim holders of each region."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from godwitshunt.configuration.commands import Applied, ChangeVms
from godwitshunt.configuration.document import vm_to_entry
from godwitshunt.configuration.state import (
    KEPT_GENERATIONS,
    ControlState,
    Step,
)


def change_vms(state: ControlState, command: ChangeVms) -> Step:
    """Admit and remove VMs; without a difference the revision stays."""
    before = state.document.section('vms')
    gone = {*command.removed, *command.absent}
    after = {name: entry for name, entry in before.items() if name not in gone}
    for vm in command.admitted:
        after[vm.name] = vm_to_entry(vm)
    state = replace(state, absent=absent_after(state, command))
    if after != before:
        state = state.with_document(state.document.with_section('vms', after))
    return state, Applied(state.revision)


def absent_after(state: ControlState, command: ChangeVms) -> dict[str, str]:
    """Return the absent VMs after a change.

    One that an operator removes has stopped; one that is admitted is back.
    """
    vms = state.document.section('vms')
    absent = dict(state.absent)
    for name in command.absent:
        vm = vms.get(name)
        if vm is not None:
            absent[name] = vm['region']
    for name in (*command.removed, *(vm.name for vm in command.admitted)):
        absent.pop(name, None)
    return absent


def change_holders(
    state: ControlState,
    region: str,
    names: tuple[str, ...],
) -> Step:
    """Begin a new generation of a region's claim holders.

    A VM that restarts has another session and may have forgotten votes; a new
    generation, in which nobody voted yet, lets it vote at once. Keys stay
    bound to the generation that they were stamped under; the last
    `KEPT_GENERATIONS` stay listed so that their claims can still be found.
    """
    before = state.document.section('holders')
    own = [entry for entry in before.values() if entry['region'] == region]
    sessions = sessions_of(state, names)
    if own and is_unchanged(own[-1], names, sessions):
        return state, Applied(state.revision)
    generation = own[-1]['generation'] + 1 if own else 1
    dropped = {
        f'{region}.{entry["generation"]}'
        for entry in own[: 1 - KEPT_GENERATIONS]
    }
    after = {key: entry for key, entry in before.items() if key not in dropped}
    after[f'{region}.{generation}'] = {
        'region': region,
        'generation': generation,
        'names': list(names),
        'sessions': sessions,
    }
    state = state.with_document(state.document.with_section('holders', after))
    return state, Applied(state.revision)


def sessions_of(state: ControlState, names: tuple[str, ...]) -> list[str]:
    """Return the committed session of each named VM."""
    vms = state.document.section('vms')
    return [vms.get(name, {}).get('session', '') for name in names]


def is_unchanged(
    entry: Mapping[str, Any],
    names: tuple[str, ...],
    sessions: list[str],
) -> bool:
    """Tell whether a generation has these holders in these sessions."""
    return entry['names'] == list(names) and entry['sessions'] == sessions
