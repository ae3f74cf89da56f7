"""Transitions of the admitted VMs and of each region's claim holders."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from godwitshunt.configuration.commands import Applied, ChangeVms
from godwitshunt.configuration.document import vm_to_entry
from godwitshunt.configuration.state import (
    MAX_GENERATIONS,
    ControlState,
    Step,
)


def change_vms(state: ControlState, command: ChangeVms) -> Step:
    """Admit and remove VMs; without a change the revision stays."""
    before = state.document.section('vms')
    removed_names = {*command.removed, *command.absent}
    after = {
        name: entry
        for name, entry in before.items()
        if name not in removed_names
    }
    for vm in command.admitted:
        after[vm.name] = vm_to_entry(vm)
    state = replace(state, absent=absent_after(state, command))
    if after != before:
        state = state.with_document(state.document.with_section('vms', after))
    return state, Applied(state.revision)


def absent_after(state: ControlState, command: ChangeVms) -> dict[str, str]:
    """Return the absent VMs after a change.

    A VM is no longer absent once an operator removes it, which means that it
    has stopped, or once it is admitted again.
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

    A restarted VM has a new session and may have lost its votes; in a new
    generation, without any votes yet, it can vote at once. Keys stay bound to
    the generation of their stamp; the last `MAX_GENERATIONS` stay listed so
    that their claims can still be found.
    """
    before = state.document.section('holders')
    region_sets = [
        entry for entry in before.values() if entry['region'] == region
    ]
    sessions = sessions_of(state, names)
    if region_sets and is_unchanged(region_sets[-1], names, sessions):
        return state, Applied(state.revision)
    generation = region_sets[-1]['generation'] + 1 if region_sets else 1
    dropped_keys = {
        f'{region}.{entry["generation"]}'
        for entry in region_sets[: 1 - MAX_GENERATIONS]
    }
    after = {
        key: entry for key, entry in before.items() if key not in dropped_keys
    }
    after[f'{region}.{generation}'] = {
        'region': region,
        'generation': generation,
        'names': list(names),
        'sessions': sessions,
    }
    state = state.with_document(state.document.with_section('holders', after))
    return state, Applied(state.revision)


def sessions_of(state: ControlState, names: tuple[str, ...]) -> list[str]:
    """Return the committed session of each VM, empty for an unknown one."""
    vms = state.document.section('vms')
    return [vms.get(name, {}).get('session', '') for name in names]


def is_unchanged(
    entry: Mapping[str, Any],
    names: tuple[str, ...],
    sessions: list[str],
) -> bool:
    """Return whether a generation has these holders and sessions."""
    return entry['names'] == list(names) and entry['sessions'] == sessions
