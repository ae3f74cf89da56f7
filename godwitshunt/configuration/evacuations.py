"""Failure domains whose upstreams receive no requests."""

from godwitshunt.configuration.commands import Applied, ChangeEvacuation
from godwitshunt.configuration.document import EVACUATIONS
from godwitshunt.configuration.state import ControlState, Step


def change_evacuation(state: ControlState, command: ChangeEvacuation) -> Step:
    """Begin or end an evacuation; without a change the revision stays."""
    before = state.document.section(EVACUATIONS)
    name = command.failure_domain
    after = {key: entry for key, entry in before.items() if key != name}
    if command.evacuated:
        after[name] = {'name': name}
    if after.keys() != before.keys():
        document = state.document.with_section(EVACUATIONS, after)
        state = state.with_document(document)
    return state, Applied(state.revision)
