"""Dispatch of the commands of the log to their state transitions.

`apply_command` is a pure function, so that all replicas that have applied the
same entries have the same state and give the same answers.
"""

from godwitshunt.configuration.commands import (
    AcceptManifest,
    ChangeEvacuation,
    ChangeHolders,
    ChangeVms,
    Command,
    CommandUnknown,
    ConfirmManifest,
    FinishOrder,
    IssueOrder,
)
from godwitshunt.configuration.evacuations import change_evacuation
from godwitshunt.configuration.manifest_numbers import (
    accept_manifest,
    confirm_manifest,
)
from godwitshunt.configuration.members import change_holders, change_vms
from godwitshunt.configuration.orders import finish_order, issue_order
from godwitshunt.configuration.state import ControlState, Step


def apply_command(state: ControlState, command: Command | None) -> Step:
    """Apply one committed entry.

    Parameters
    ----------
    state : ControlState
        State after all earlier entries.
    command : Command or None
        Decoded command; None for an entry of an unknown kind.

    Returns
    -------
    tuple
        State after the entry, and the outcome for its proposer.
    """
    match command:
        case AcceptManifest():
            return accept_manifest(state, command)
        case ConfirmManifest(number):
            return confirm_manifest(state, number)
        case ChangeVms():
            return change_vms(state, command)
        case ChangeHolders(region, names):
            return change_holders(state, region, names)
        case ChangeEvacuation():
            return change_evacuation(state, command)
        case IssueOrder():
            return issue_order(state, command)
        case FinishOrder(order, ending):
            return finish_order(state, order, ending)
        case _:
            return state, CommandUnknown()
