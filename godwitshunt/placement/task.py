"""Sending of committed orders to upstreams by the leading replica."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Self

from result import Err, Ok, Result

from godwitshunt.configuration import ConfigurationService
from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.commands import (
    FinishOrder,
    IssueOrder,
    OrderEnding,
    Outcome,
)
from godwitshunt.configuration.http_calls import (
    HttpAnswer,
    HttpCall,
    HttpFailure,
    Permit,
    call_http,
)
from godwitshunt.consensus import NoQuorum, NotLeader, ProposalFailure
from godwitshunt.peer import MessageKind, PeerLinks
from godwitshunt.placement.bucket import BucketOptions, WeightBucket
from godwitshunt.placement.decisions import (
    ORDER_TRANSIT_S,
    KnownUpstream,
    PlacementState,
    SendOrder,
    begin_sending,
    due_orders,
    end_sending,
    ending_from_status,
    may_send,
    record_leadership,
)
from godwitshunt.placement.reports import decode_report
from godwitshunt.settings import Address, ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICK_S = 0.1
UPSTREAM_EXPIRY_S = 30.0
FENCING_HEADER = 'godwitshunt-fencing'

CallUpstream = Callable[
    [Address, HttpCall, Permit],
    Awaitable[Result[HttpAnswer, HttpFailure]],
]


@dataclass(frozen=True)
class WeightStoreBusy:
    """The weight store's bucket lacks units; no order was committed.

    Parameters
    ----------
    wait_s : float
        Seconds until it has them.
    """

    wait_s: float


@dataclass(frozen=True)
class BurstExceeded:
    """The order needs more units than the weight store's burst."""

    units: int
    burst: float


@dataclass(frozen=True)
class UpstreamUnknown:
    """No entry VM has recently reported an upstream of this name."""

    upstream: str


IssueFailure = (
    ProposalFailure | WeightStoreBusy | BurstExceeded | UpstreamUnknown
)


@dataclass(frozen=True)
class PlacementOptions:
    """Options of placement from the settings.

    Parameters
    ----------
    previous_lease_s : float
        Maximum lease of a previous leader in seconds.
    bucket : BucketOptions
        Limits of the weight store.
    """

    previous_lease_s: float
    bucket: BucketOptions


class PlacementTask:
    """Commits orders with fencing numbers to the log, then sends them.

    Parameters
    ----------
    options : PlacementOptions
        Lease and weight store.
    service : ConfigurationService
        Commits commands and holds the control state.
    links : PeerLinks
        Deliver the reports of entry VMs.
    timer : Timer
        Provides the time and the period.
    metrics : Metrics
        Counts sent orders by result.
    call : callable
        Sends one HTTP request to an upstream.
    """

    def __init__(
        self,
        options: PlacementOptions,
        service: ConfigurationService,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        call: CallUpstream = call_http,
    ) -> None:
        self.options = options
        self.service = service
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.call = call
        self.placement = PlacementState()
        self.bucket = WeightBucket.empty(options.bucket, 0, 0)
        self.reserved_units = 0
        self.upstreams: dict[str, KnownUpstream] = {}
        self.reported_s: dict[str, float] = {}
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        service: ConfigurationService,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Return the task of a control replica."""
        bucket = BucketOptions(
            settings.weight_store_units_per_s,
            settings.weight_store_burst,
        )
        options = PlacementOptions(settings.election_timeout_s, bucket)
        return cls(options, service, links, timer, metrics)

    def start(self) -> None:
        """Start to receive reports and to send orders that are due."""
        self.links.subscribe(MessageKind.placement_report, self.handle_report)
        self.subscription = self.timer.every(TICK_S, self.tick)

    async def close(self) -> None:
        """Stop sending; cancel orders in transit."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    async def handle_report(self, sender: str, body: bytes) -> None:
        """Record the upstreams of a report."""
        now = self.timer.now()
        for upstream in decode_report(body):
            self.upstreams[upstream.name] = upstream
            self.reported_s[upstream.name] = now

    def refresh(self) -> None:
        """Update the leadership and the bucket, and expire old reports."""
        now = self.timer.now()
        acquired = self.service.state.weight_units
        previous = self.placement.tenure
        leadership = self.service.log.leadership()
        self.placement = record_leadership(self.placement, leadership, now)
        if self.placement.tenure == previous:
            self.bucket = self.bucket.observe(acquired, now)
        else:
            self.bucket = WeightBucket.empty(self.options.bucket, acquired, now)
        for name, reported_s in tuple(self.reported_s.items()):
            if now - reported_s > UPSTREAM_EXPIRY_S:
                self.reported_s.pop(name)
                self.upstreams.pop(name)

    def tick(self) -> None:
        """Start sending the orders that are due."""
        self.refresh()
        due = due_orders(
            self.placement,
            self.service.state,
            self.service.log.leadership(),
            self.upstreams,
            self.options.previous_lease_s,
            self.timer.now(),
        )
        for send in tuple(due):
            if not self.background.is_running(send.upstream.name):
                self.placement = begin_sending(self.placement, send)
                work = partial(self.send, send)
                self.background.run(send.upstream.name, work)

    async def issue(
        self,
        order: IssueOrder,
    ) -> Result[Outcome, IssueFailure]:
        """Commit an order with its fencing number; `tick` sends it.

        Returns
        -------
        Result
            `OrderIssued` or `OrderConflict`; no order is committed without a
            valid quorum lease or without units of the weight store.
        """
        self.refresh()
        leadership = self.service.log.leadership()
        if not leadership.is_leader:
            return Err(NotLeader(leadership.name))
        if leadership.lease_remaining_s <= 0:
            return Err(NoQuorum(leadership.quorum_age_s))
        if order.order in self.service.state.orders:
            return await self.service.propose(order)
        if order.upstream not in self.upstreams:
            return Err(UpstreamUnknown(order.upstream))
        units = order.weight_units
        if units > self.options.bucket.burst:
            return Err(BurstExceeded(units, self.options.bucket.burst))
        wait_s = self.bucket.wait_s(units + self.reserved_units) if units else 0
        if wait_s > 0:
            return Err(WeightStoreBusy(wait_s))
        self.reserved_units += units
        try:
            return await self.service.propose(order)
        finally:
            self.reserved_units -= units

    def is_permitted(self, send: SendOrder) -> bool:
        """Return whether to send, as the last check before the first byte.

        If this process was suspended after its decision, another leader may
        have sent a newer order by now. Monotonic time advances meanwhile, so
        the lease has expired in that case.
        """
        leadership = self.service.log.leadership()
        now = self.timer.now()
        return may_send(
            record_leadership(self.placement, leadership, now),
            leadership,
            send.upstream,
            self.options.previous_lease_s,
            now,
        )

    async def send(self, send: SendOrder) -> None:
        """Send one order and commit its result."""
        call = order_call(send)
        answer = await self.call(
            send.upstream.address,
            call,
            partial(self.is_permitted, send),
        )
        ending = OrderEnding.open
        if isinstance(answer, Ok):
            ending = ending_from_status(answer.ok_value.status)
        self.metrics.count('placement_orders_sent_total', ending=ending.value)
        answered = ending is not OrderEnding.open
        if answered:
            finish = FinishOrder(send.order.order, ending)
            answered = isinstance(await self.service.propose(finish), Ok)
            log_change(
                'placement:order_answered',
                order=send.order.order,
                fencing=send.order.fencing,
                ending=ending.value,
            )
        self.placement = end_sending(
            self.placement,
            send,
            self.timer.now(),
            answered=answered,
        )

    def describe(self) -> dict[str, Any]:
        """Return open orders and the weight store's level as JSON fields."""
        self.refresh()
        orders = self.service.state.orders.values()
        return {
            'open_orders': [
                order.order
                for order in orders
                if order.ending is OrderEnding.open
            ],
            'last_fencing': self.service.state.fencing,
            'weight_store_level': self.bucket.level,
            'upstreams_known': len(self.upstreams),
        }


def order_call(send: SendOrder) -> HttpCall:
    """Return the HTTP request for an order."""
    order = send.order
    body = {
        'order': order.order,
        'fencing': order.fencing,
        'action': order.action,
        'subject': order.subject,
    }
    return HttpCall(
        'PUT',
        f'/v1/orders/{order.fencing}',
        json.dumps(body).encode(),
        headers=(
            ('content-type', 'application/json'),
            (FENCING_HEADER, str(order.fencing)),
        ),
        timeout_s=ORDER_TRANSIT_S,
    )
