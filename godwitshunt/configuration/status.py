"""Status of a deployment for operators."""

from typing import Any

from godwitshunt.configuration.heartbeats import HeartbeatTable
from godwitshunt.configuration.state import ControlState
from godwitshunt.consensus import Leadership

IN_FORCE = 'in force'
LAGGING = 'lagging'
SILENT = 'silent'


def status_document(
    state: ControlState,
    heartbeats: HeartbeatTable,
    leadership: Leadership,
    now: float,
) -> dict[str, Any]:
    """Return the JSON fields of the status; durations are in seconds."""
    vms = {
        name: vm_status(state, heartbeats, name, now)
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
    heartbeats: HeartbeatTable,
    name: str,
    now: float,
) -> dict[str, Any]:
    """Return the JSON fields of one VM."""
    entry = state.document.section('vms')[name]
    heartbeat = heartbeats.by_name.get(name)
    if heartbeat is None or not heartbeats.is_live(name, now):
        condition = SILENT
    elif heartbeat.revision < state.revision:
        condition = LAGGING
    else:
        condition = IN_FORCE
    return {
        'region': entry['region'],
        'role': entry['role'],
        'condition': condition,
        'revision': 0 if heartbeat is None else heartbeat.revision,
        'heard_s_ago': None
        if heartbeat is None
        else now - heartbeat.received_at,
    }


def names_in(vms: dict[str, Any], condition: str) -> list[str]:
    """Return the names of the VMs in a condition."""
    return [name for name, vm in vms.items() if vm['condition'] == condition]


def finite(seconds: float) -> float | None:
    """Return a duration, or None if it is infinite."""
    return seconds if seconds < float('inf') else None
