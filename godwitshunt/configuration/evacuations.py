"""Failure domains whose upstreams receive no requests.

An operator who gets no answer sends the same change again, to any replica. So
a copy of it may be read, relayed or committed long after the operator had the
answer to another copy, and has sent a newer change. Each change is therefore
bound to the revision that was current when the operator still waited for it.

References
----------
The conditional requests of HTTP (RFC 9110, section 13) bind a change to the
version of a resource in the same way.
"""

from dataclasses import replace

from godwitshunt.configuration.commands import (
    Applied,
    ChangeEvacuation,
    EvacuationSuperseded,
)
from godwitshunt.configuration.document import EVACUATIONS
from godwitshunt.configuration.state import (
    MAX_EVACUATIONS_CHANGED,
    ControlState,
    Step,
)


def change_evacuation(state: ControlState, command: ChangeEvacuation) -> Step:
    """Begin or end an evacuation; without a change the revision stays.

    A domain that is as the command wants it is acknowledged in any case: this
    may be the command that made it so.
    """
    before = state.document.section(EVACUATIONS)
    name = command.failure_domain
    if (name in before) == command.evacuated:
        return state, Applied(state.revision)
    if is_superseded(state, command):
        return state, EvacuationSuperseded(name, state.revision)
    after = {key: entry for key, entry in before.items() if key != name}
    if command.evacuated:
        after[name] = {'name': name}
    document = state.document.with_section(EVACUATIONS, after)
    state = note_change(state.with_document(document), name)
    return state, Applied(state.revision)


def is_superseded(state: ControlState, command: ChangeEvacuation) -> bool:
    """Tell whether the domain was changed after the command was wanted."""
    if command.based_on is None:
        return False
    changed = state.evacuations_changed.get(
        command.failure_domain,
        state.evacuations_forgotten,
    )
    return changed > command.based_on


def note_change(state: ControlState, name: str) -> ControlState:
    """Note that the newest revision changed a domain's evacuation."""
    changed = {
        known: revision
        for known, revision in state.evacuations_changed.items()
        if known != name
    }
    changed[name] = state.revision
    forgotten = state.evacuations_forgotten
    if len(changed) > MAX_EVACUATIONS_CHANGED:
        forgotten = changed.pop(next(iter(changed)))
    return replace(
        state,
        evacuations_changed=changed,
        evacuations_forgotten=forgotten,
    )
