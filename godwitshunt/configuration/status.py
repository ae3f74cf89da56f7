"""What operators are told of the state of a deployment."""

from typing import Any

from godwitshunt.configuration.heard import HeardVms
from godwitshunt.configuration.state import ControlState
from godwitshunt.consensus import Leadership

IN_FORCE = 'in force'
LAGGING = 'lagging'
SILENT = 'silent'


def status_document(
    state: ControlState,
    heard: HeardVms,
    leadership: Leadership,
    now: float,
) -> dict[str, Any]:
    """Return the status as JSON fields; durations are in seconds."""
    vms = {
        name: vm_status(state, heard, name, now)
        for name in state.document.section('vms')
    }
    return {
        'revision': state.revision,
        'number': state.highest_number,
        'leader': leadership.name,
        'quorum_age_s': finite(leadership.quorum_age_s),
        'vms': vms,
        'lagging': names_in(vms, LAGGING),
        'silent': names_in(vms, SILENT),
        'pending_numbers': [
            number for number, known in state.numbers.items() if known.awaited
        ],
    }


def vm_status(
    state: ControlState,
    heard: HeardVms,
    name: str,
    now: float,
) -> dict[str, Any]:
    """Return what is known of one VM."""
    entry = state.document.section('vms')[name]
    one = heard.by_name.get(name)
    if one is None or not heard.is_live(name, now):
        condition = SILENT
    elif one.revision < state.revision:
        condition = LAGGING
    else:
        condition = IN_FORCE
    return {
        'region': entry['region'],
        'role': entry['role'],
        'condition': condition,
        'revision': 0 if one is None else one.revision,
        'heard_s_ago': None if one is None else now - one.heard_at,
    }


def names_in(vms: dict[str, Any], condition: str) -> list[str]:
    """Return the names of VMs in a condition."""
    return [name for name, vm in vms.items() if vm['condition'] == condition]


def finite(seconds: float) -> float | None:
    """Return a duration, or None for one that JSON cannot hold."""
    return seconds if seconds < float('inf') else None
