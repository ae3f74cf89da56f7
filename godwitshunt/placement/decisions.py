"""Which orders a control replica may send now; pure.

An order that arrives late can undo a newer one: the upstream would load an old
version and nobody would notice. Upstreams that check fencing numbers refuse
it. For the others, only the leader sends, only under a live quorum lease, and
a new leader waits until nothing of the last one can be on its way.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.configuration import ControlState
from godwitshunt.configuration.commands import OrderEnding, OrderIssued
from godwitshunt.consensus import Leadership
from godwitshunt.settings import Address

# Longest time between the last check of the lease and the end of an order's
# journey: the sender gives up and closes the connection by then.
ORDER_TRANSIT_S = 5.0
# An order is sent only where the lease lasts at least this much longer.
LEASE_MARGIN_S = 0.05
RETRY_PERIOD_S = 1.0


@dataclass(frozen=True)
class KnownUpstream:
    """An upstream as entry VMs reported it.

    Parameters
    ----------
    honours_fencing : bool
        Whether it refuses orders with an old fencing number.
    """

    name: str
    region: str
    address: Address
    honours_fencing: bool


@dataclass(frozen=True)
class Tenure:
    """How long this replica has led without interruption.

    Parameters
    ----------
    term : int or None
        The term that it leads; None where it does not lead.
    since_s : float
        Monotonic time when it was first seen to lead that term.
    """

    term: int | None = None
    since_s: float = 0


@dataclass(frozen=True)
class PlacementState:
    """What this replica remembers of orders.

    Parameters
    ----------
    sending : frozenset of str
        Upstreams with an order on its way.
    retry_at : mapping
        When an order that got no answer may be sent again.
    """

    tenure: Tenure = Tenure()
    sending: frozenset[str] = frozenset()
    retry_at: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class SendOrder:
    """Send a committed order to its upstream."""

    order: OrderIssued
    upstream: KnownUpstream


def record_leadership(
    state: PlacementState,
    leadership: Leadership,
    now: float,
) -> PlacementState:
    """Return the state after a look at who leads."""
    term = leadership.term if leadership.is_leader else None
    if term == state.tenure.term:
        return state
    return replace(state, tenure=Tenure(term, now))


def may_send(
    state: PlacementState,
    leadership: Leadership,
    upstream: KnownUpstream,
    previous_lease_s: float,
    now: float,
) -> bool:
    """Tell whether an order may leave for an upstream at this moment.

    Parameters
    ----------
    previous_lease_s : float
        Longest lease of the leader before, in seconds.
    """
    if not leadership.is_leader or state.tenure.term != leadership.term:
        return False
    if leadership.lease_remaining_s <= LEASE_MARGIN_S:
        return False
    if upstream.honours_fencing:
        return True
    return now - state.tenure.since_s >= previous_lease_s + ORDER_TRANSIT_S


def due_orders(
    state: PlacementState,
    control: ControlState,
    leadership: Leadership,
    upstreams: Mapping[str, KnownUpstream],
    previous_lease_s: float,
    now: float,
) -> Iterator[SendOrder]:
    """Give the orders to send now: for each upstream its oldest open one.

    Orders of one upstream go one after the other; two at once could arrive
    in the other order, and the older would be the one that stays.
    """
    for order in oldest_open_orders(control):
        upstream = upstreams.get(order.upstream)
        if upstream is None or order.upstream in state.sending:
            continue
        if now < state.retry_at.get(order.order, now):
            continue
        if may_send(state, leadership, upstream, previous_lease_s, now):
            yield SendOrder(order, upstream)


def oldest_open_orders(control: ControlState) -> tuple[OrderIssued, ...]:
    """Return the oldest order of each upstream that is not finished."""
    oldest: dict[str, OrderIssued] = {}
    for order in control.orders.values():
        if order.ending is OrderEnding.open:
            oldest.setdefault(order.upstream, order)
    return tuple(oldest.values())


def begin_sending(state: PlacementState, send: SendOrder) -> PlacementState:
    """Return the state with an order on its way."""
    return replace(state, sending=state.sending | {send.upstream.name})


def end_sending(
    state: PlacementState,
    send: SendOrder,
    now: float,
    *,
    answered: bool,
) -> PlacementState:
    """Return the state after an order was answered, or got no answer."""
    retry_at = dict(state.retry_at)
    retry_at.pop(send.order.order, None)
    if not answered:
        retry_at[send.order.order] = now + RETRY_PERIOD_S
    return replace(
        state,
        sending=state.sending - {send.upstream.name},
        retry_at=retry_at,
    )


def ending_from_status(status: int) -> OrderEnding:
    """Return what an upstream's status means for an order.

    Examples
    --------
    >>> ending_from_status(412).value
    'fenced'
    """
    if status < 300:
        return OrderEnding.done
    if status in {409, 412}:
        return OrderEnding.fenced
    if status < 500:
        return OrderEnding.failed
    return OrderEnding.open
