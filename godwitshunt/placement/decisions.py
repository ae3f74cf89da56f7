"""Decision which orders a control replica may send now; no I/O.

A delayed order can undo a newer one: the upstream would load an old version
unnoticed. Upstreams that check fencing numbers refuse it. For the others, only
the leader sends, only under a valid quorum lease, and a new leader waits until
no order of the previous one can still be in transit.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.configuration import ControlState
from godwitshunt.configuration.commands import OrderEnding, OrderIssued
from godwitshunt.consensus import Leadership
from godwitshunt.settings import Address

# Maximum time between the last check of the lease and the arrival of an order:
# the sender times out and closes the connection by then.
ORDER_TRANSIT_S = 5.0
# An order is sent only if the lease remains valid for more than this.
LEASE_MARGIN_S = 0.05
RETRY_PERIOD_S = 1.0


@dataclass(frozen=True)
class KnownUpstream:
    """An upstream as reported by entry VMs.

    Parameters
    ----------
    honours_fencing : bool
        Whether it refuses orders with an outdated fencing number.
    """

    name: str
    region: str
    address: Address
    honours_fencing: bool


@dataclass(frozen=True)
class Tenure:
    """Period for which this replica has led without interruption.

    Parameters
    ----------
    term : int or None
        The term that it leads; None if it does not lead.
    since_s : float
        Monotonic time when it was first observed to lead that term.
    """

    term: int | None = None
    since_s: float = 0


@dataclass(frozen=True)
class PlacementState:
    """State of this replica's orders in progress.

    Parameters
    ----------
    tenure : Tenure
        Current leadership of this replica.
    sending : frozenset of str
        Upstreams with an order in transit.
    retry_at : mapping of str to float
        Monotonic time when an unanswered order may be resent, by order.
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
    """Return the state for the current leadership."""
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
    """Return whether an order may be sent to an upstream now.

    Parameters
    ----------
    previous_lease_s : float
        Maximum lease of the previous leader in seconds.
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
    """Yield the orders to send now: the oldest open one of each upstream.

    Orders to one upstream are sent sequentially; two concurrent ones could be
    reordered, and the older one would take effect last.
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
    """Return the oldest unfinished order of each upstream."""
    oldest: dict[str, OrderIssued] = {}
    for order in control.orders.values():
        if order.ending is OrderEnding.open:
            oldest.setdefault(order.upstream, order)
    return tuple(oldest.values())


def begin_sending(state: PlacementState, send: SendOrder) -> PlacementState:
    """Return the state with an order in transit."""
    return replace(state, sending=state.sending | {send.upstream.name})


def end_sending(
    state: PlacementState,
    send: SendOrder,
    now: float,
    *,
    answered: bool,
) -> PlacementState:
    """Return the state after an order was answered or timed out."""
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
    """Return the result of an order for an upstream's HTTP status.

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
