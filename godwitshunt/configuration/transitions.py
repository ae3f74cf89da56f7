"""How each command of the log changes the control state.

`apply_command` is a pure function, so that every replica that has applied the
same entries holds the same state and gives the same answers.
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
        The state after every earlier entry.
    command : Command or None
        None for an entry of a kind that this version does not know.

    Returns
    -------
    tuple
        The state after the entry, and the outcome for who proposed it.
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
