"""Orders to upstreams, each with one fencing number."""

from dataclasses import replace

from godwitshunt.configuration.commands import (
    IssueOrder,
    OrderConflict,
    OrderEnding,
    OrderIssued,
    OrderUnknown,
    Outcome,
)
from godwitshunt.configuration.state import MAX_ORDERS, ControlState, Step


def issue_order(state: ControlState, command: IssueOrder) -> Step:
    """Issue an order under the next fencing number, once per name."""
    known = state.orders.get(command.order)
    if known is not None:
        return state, repeated_order(known, command)
    issued = OrderIssued(
        command.order,
        command.upstream,
        command.action,
        command.subject,
        state.fencing + 1,
    )
    orders = dict(state.orders)
    if len(orders) >= MAX_ORDERS:
        drop_oldest(orders)
    orders[command.order] = issued
    state = replace(
        state,
        fencing=issued.fencing,
        orders=orders,
        weight_units=state.weight_units + command.weight_units,
    )
    return state, issued


def drop_oldest(orders: dict[str, OrderIssued]) -> None:
    """Remove the oldest finished order, else the oldest of all."""
    finished = (
        name
        for name, issued in orders.items()
        if issued.ending is not OrderEnding.open
    )
    orders.pop(next(finished, next(iter(orders))))


def finish_order(
    state: ControlState,
    order: str,
    ending: OrderEnding,
) -> Step:
    """Record an upstream's answer, so that no leader resends the order."""
    known = state.orders.get(order)
    if known is None:
        return state, OrderUnknown(order)
    finished = replace(known, ending=ending)
    orders = {**state.orders, order: finished}
    return replace(state, orders=orders), finished


def repeated_order(known: OrderIssued, command: IssueOrder) -> Outcome:
    """Return the answer for an order whose name was used before."""
    original = (known.upstream, known.action, known.subject)
    if original == (command.upstream, command.action, command.subject):
        return replace(known, repeated=True)
    return OrderConflict(command.order)
